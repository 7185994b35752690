//! Command line of the laboratory: runs the real daemon against stand-ins on loopback.

#![forbid(unsafe_code)]

use clap::{Args, Parser, Subcommand};
use frostturn_lab::scenarios::{Options, Scenario, ALL};
use frostturn_lab::shims::{ClockStep, Shims};
use std::path::PathBuf;
use std::process::ExitCode;

/// Runs the real daemon against stand-ins on loopback.
#[derive(Debug, Parser)]
#[command(name = "frostturn-lab", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve a small site for some seconds and print a summary
    Up(Flags),
    /// List the scenarios
    List,
    /// Run a scenario; exits with 0 only if no rule is violated and every bound is kept
    Run {
        /// Name of the scenario, as `list` prints it
        scenario: String,
        #[command(flatten)]
        flags: Flags,
    },
    /// Run the daemon itself, as the other commands start it
    #[command(hide = true)]
    Daemon,
}

#[derive(Args, Clone, Debug)]
struct Flags {
    /// Seed of faults and load
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object as the last line
    #[arg(long)]
    json: bool,
    /// Write measurements as CSV into this folder
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Test another build of the daemon
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
    /// Configure only the first address of each machine, for comparison
    #[arg(long)]
    first_only: bool,
    /// Run the daemon without an operator's file: one address per machine, as on the platform
    #[arg(long)]
    plain: bool,
    /// Inject no faults
    #[arg(long)]
    calm: bool,
    /// Run this printed fault schedule instead of the seed's (fleet)
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// Print the seed's fault schedule, one JSON line per step, and run nothing (fleet)
    #[arg(long)]
    schedule: bool,
    /// Keep the daemons' files in this folder, with each event of each request in their logs
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// Share of the daemons' system calls that fail, of all or of those named: socket, connect, setsockopt,
    /// epoll_ctl, accept, read, write, sever
    #[arg(long, value_name = "SHARE[:CALLS]")]
    syscalls: Option<String>,
    /// Share of the daemons' writes, syncs, renames and creations of files that fail
    #[arg(long, value_name = "SHARE")]
    disk: Option<f64>,
    /// Step the daemons' wall clock by this many milliseconds, this many seconds after the start; may be
    /// repeated
    #[arg(long, value_name = "MS@SECONDS", allow_hyphen_values = true)]
    clock_step: Vec<ClockStep>,
    /// Seconds of load
    #[arg(long)]
    seconds: Option<f64>,
    /// Requests per second
    #[arg(long)]
    rate: Option<f64>,
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::Daemon => frostturn::cli::serve(),
        Command::List => {
            ALL.iter().for_each(|one| println!("{:12} {}", one.name, one.about));
            ExitCode::SUCCESS
        }
        Command::Up(flags) => run("up", &flags),
        Command::Run { scenario, flags } => run(&scenario, &flags),
    }
}

fn run(name: &str, flags: &Flags) -> ExitCode {
    let Some(Scenario { run, .. }) = ALL.iter().find(|one| one.name == name) else {
        let known: Vec<&str> = ALL.iter().map(|one| one.name).collect();
        eprintln!("unknown scenario {name:?}; known scenarios: {}", known.join(", "));
        return ExitCode::from(2);
    };
    let flags = flags.clone();
    let Flags {
        seed, json, out, daemon, first_only, plain, calm, replay, schedule, logs, seconds, rate, ..
    } = flags;
    let shims = Shims { syscalls: flags.syscalls, disk: flags.disk, clock_steps: flags.clock_step };
    if schedule {
        print!("{}", frostturn_lab::scenarios::fleet::schedule(seed, seconds).print());
        return ExitCode::SUCCESS;
    }
    match run(&Options { seed, daemon, first_only, plain, calm, replay, seconds, rate, out, logs, shims }) {
        Ok(report) => {
            report.print(json);
            if report.good() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}
