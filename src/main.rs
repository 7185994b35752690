//! One request router: reads its config and serves until it is told to end.

#![forbid(unsafe_code)]

use frostturn::config::Config;
use frostturn::{runtime, say};
use std::process::ExitCode;

fn main() -> ExitCode {
    match Config::from_env().and_then(runtime::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            say!(always; "cannot start: {reason}");
            ExitCode::FAILURE
        }
    }
}
