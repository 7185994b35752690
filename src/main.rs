//! One request router: does what its command line says; with none, it serves until it is told to end.

#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    frostturn::cli::main()
}
