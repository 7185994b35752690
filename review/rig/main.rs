//! The cases of the review, each a function that returns its exit code: 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod bad_size;
mod base;
mod burst_memory;
mod drain_slow_reader;
mod slow_board;

use std::io::Write;
use std::path::Path;
use std::process::ExitCode;

/// Prints a line; nobody has to read it.
fn say(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig CASE RECORD");
        return ExitCode::from(2);
    };
    let Ok(record) = base::Record::create(Path::new(record)) else { return ExitCode::from(2) };
    let result = match name.as_str() {
        "drain-slow-reader" => drain_slow_reader::run(&record, drain_slow_reader::What::Drain),
        "restart-slow-reader" => drain_slow_reader::run(&record, drain_slow_reader::What::Restart),
        "bad-size" => bad_size::run(&record),
        "slow-board" => slow_board::run(&record),
        "burst-memory" => burst_memory::run(&record),
        _ => Err("no such case".into()),
    };
    let code = match result {
        Ok(broken) if broken.is_empty() => {
            record.line("result: the rule held");
            say("the rule held");
            0
        }
        Ok(broken) => {
            for line in &broken {
                record.line(format!("BROKEN: {line}"));
                say(&format!("BROKEN: {line}"));
            }
            1
        }
        Err(why) => {
            record.line(format!("the case could not run: {why}"));
            eprintln!("the case could not run: {why}");
            2
        }
    };
    ExitCode::from(code)
}
