//! The laboratory: the real daemon against stand-ins on loopback. It shows what the users' benches can't.

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
    /// A first look: a small site served for some seconds, with a summary
    Up(Flags),
    /// The scenarios there are
    List,
    /// Run one; code 0 only if no rule was broken and every bound kept
    Run {
        /// Its name, as `list` prints it
        scenario: String,
        #[command(flatten)]
        flags: Flags,
    },
    /// The daemon itself, as the other commands start it
    #[command(hide = true)]
    Daemon,
}

#[derive(Args, Clone, Debug)]
struct Flags {
    /// Draws failures and load
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Print one JSON object as the last line
    #[arg(long)]
    json: bool,
    /// Write figures as CSV into this folder
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// Measure another build of the daemon
    #[arg(long, value_name = "FILE")]
    daemon: Option<PathBuf>,
    /// Tell the daemon of each machine's first address alone, for comparison
    #[arg(long)]
    first_only: bool,
    /// Give the daemon no operator's file: one address each, as on the platform
    #[arg(long)]
    plain: bool,
    /// No failures
    #[arg(long)]
    calm: bool,
    /// Play a schedule of faults that was printed, instead of the seed's (fleet)
    #[arg(long, value_name = "FILE")]
    replay: Option<PathBuf>,
    /// Print the seed's schedule of faults, a JSON line a step, and play nothing (fleet)
    #[arg(long)]
    schedule: bool,
    /// Keep the daemons' files in this folder, with each event of each request in their logs
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
    /// A share of the daemons' system calls fails, of all or of those named: socket, connect, setsockopt, epoll_ctl,
    /// accept, read, write, sever
    #[arg(long, value_name = "SHARE[:CALLS]")]
    syscalls: Option<String>,
    /// A share of the daemons' writes, syncs, renames and creations of files fails
    #[arg(long, value_name = "SHARE")]
    disk: Option<f64>,
    /// The daemons' wall clock steps by so many milliseconds, so many seconds after the start; may be given again
    #[arg(long, value_name = "MS@SECONDS", allow_hyphen_values = true)]
    clock_step: Vec<ClockStep>,
    /// Seconds of load
    #[arg(long)]
    seconds: Option<f64>,
    /// Requests a second
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
        eprintln!("no scenario {name:?}; there are {}", known.join(", "));
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
