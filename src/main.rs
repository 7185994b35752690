//! The daemon's executable: runs the command given on the command line; without one, serves until it is
//! terminated.

#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    frostturn::cli::main()
}
