//! `frostturn plugin …`: tools for authors of plug-ins, which need no running router.

use crate::plugins::engine::{Hook, Instance};
use crate::plugins::{Loaded, Spec};
use crate::runtime::read_program;
use clap::Subcommand;
use frostturn_plugin_kit as kit;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// The number of calls that `bench` measures.
const BENCH_CALLS: usize = 20_000;
/// The number of machines in the view that `bench` uses.
const BENCH_MACHINES: u64 = 20;

#[derive(Debug, Subcommand)]
pub(crate) enum Plugin {
    /// Compile and start a plug-in, and print its hooks
    Check {
        /// The WebAssembly program, as binary or text
        file: PathBuf,
        /// A setting for the plug-in's init, as NAME=VALUE; may be repeated
        #[arg(long, value_name = "NAME=VALUE")]
        set: Vec<String>,
    },
    /// Run a plug-in on recorded views and print its advice
    Run {
        /// The WebAssembly program, as binary or text
        file: PathBuf,
        /// The recorded views, one per line in hex digits
        #[arg(long, value_name = "FILE")]
        views: PathBuf,
        /// A setting for the plug-in's init, as NAME=VALUE
        #[arg(long, value_name = "NAME=VALUE")]
        set: Vec<String>,
    },
    /// Measure a plug-in's request hook on a view of 20 machines
    Bench {
        /// The WebAssembly program, as binary or text
        file: PathBuf,
        /// A setting for the plug-in's init, as NAME=VALUE
        #[arg(long, value_name = "NAME=VALUE")]
        set: Vec<String>,
    },
    /// Print a commented template as WebAssembly text
    New,
}

pub(crate) fn run(plugin: &Plugin) -> ExitCode {
    let done = match plugin {
        Plugin::Check { file, set } => load(file, set).map(|mut loaded| check(loaded.instance())),
        Plugin::Run { file, views, set } => load(file, set).and_then(|loaded| replay(loaded, views)),
        Plugin::Bench { file, set } => load(file, set).and_then(bench),
        Plugin::New => {
            print!("{}", include_str!("../examples/plugins/new.wat"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

/// Reads, compiles and starts a plug-in with the settings `set`.
fn load(file: &Path, set: &[String]) -> Result<Loaded, String> {
    let mut spec = Spec::new("plug-in", file.to_owned());
    for setting in set {
        let (name, value) = setting.split_once('=').ok_or_else(|| format!("{setting} is not NAME=VALUE"))?;
        spec.settings.push((name.to_owned(), value.to_owned()));
    }
    let program = read_program(file)?;
    Loaded::new(spec, program).map_err(|fault| format!("{}: {fault}", file.display()))
}

/// Prints the hooks of a plug-in and the lines that it logged at its start.
fn check(instance: &mut Instance) {
    let hooks = [
        (Hook::Request, "request"),
        (Hook::Outcome, "outcome"),
        (Hook::Machines, "machines"),
        (Hook::Tick, "tick"),
    ];
    let names: Vec<&str> =
        hooks.iter().filter(|(hook, _)| instance.has(*hook)).map(|(_, name)| *name).collect();
    println!("valid; hooks: {}", if names.is_empty() { "none".to_owned() } else { names.join(", ") });
    instance.take_lines().iter().for_each(|line| println!("log: {line}"));
}

/// Decodes a line of hex digits.
fn decode_hex(line: &str) -> Option<Vec<u8>> {
    let line = line.trim();
    if !line.len().is_multiple_of(2) || !line.is_ascii() {
        return None;
    }
    (0..line.len()).step_by(2).map(|at| u8::from_str_radix(&line[at..at + 2], 16).ok()).collect()
}

/// Runs a plug-in on recorded views and prints its advice.
fn replay(mut loaded: Loaded, views: &Path) -> Result<(), String> {
    let bytes = crate::operator::read_bytes(views).map_err(|e| format!("{}: {e}", views.display()))?;
    let text = String::from_utf8(bytes).map_err(|_| format!("{}: not text", views.display()))?;
    let fuel = loaded.spec.fuel;
    for (at, line) in text.lines().filter(|line| !line.trim().is_empty()).enumerate() {
        let place = format!("{}:{}", views.display(), at + 1);
        let view = decode_hex(line).ok_or_else(|| format!("{place}: not hex digits"))?;
        if kit::View::read(&view).is_none() {
            return Err(format!("{place}: not a valid view"));
        }
        let (advice, fuel_used) = loaded.instance().call(Hook::Request, &view, fuel);
        match advice {
            Ok(None) => println!("{}: no advice, fuel {fuel_used}", at + 1),
            Ok(Some(bytes)) => {
                let advice: Vec<String> = kit::advice(&bytes).map(|one| format!("{one:?}")).collect();
                println!("{}: {}, fuel {fuel_used}", at + 1, advice.join(" "));
            }
            Err(fault) => println!("{}: {fault}, fuel {fuel_used}", at + 1),
        }
        loaded.instance().take_lines().iter().for_each(|line| println!("{}: log: {line}", at + 1));
    }
    Ok(())
}

/// Returns the view of a sample request with [`BENCH_MACHINES`] machines.
pub(crate) fn sample_view(turn: u64) -> Vec<u8> {
    let machine = |at: u64| kit::Machine {
        name: at,
        load: Some((at as f32 * 0.037 + turn as f32 * 0.01) % 1.0),
        age_ms: Some(40.0),
        warm: 1.0,
        in_flight: (at % 5) as u32,
        size: 4.0,
        flags: kit::NEAR,
    };
    let machines: Vec<kit::Machine> = (0..BENCH_MACHINES).map(machine).collect();
    let mut view = Vec::new();
    let head = kit::ViewHead {
        flags: kit::OBJECT,
        object: turn % 97,
        time_left_ms: 1400,
        size_kb: 40.0,
        ..kit::ViewHead::default()
    };
    head.write(&machines, &mut view);
    view
}

/// Measures the request hook and prints percentiles of its duration.
fn bench(mut loaded: Loaded) -> Result<(), String> {
    let fuel = loaded.spec.fuel;
    let views: Vec<Vec<u8>> = (0..100).map(sample_view).collect();
    let (mut times, mut max_fuel) = (Vec::with_capacity(BENCH_CALLS), 0);
    for turn in 0..BENCH_CALLS + BENCH_CALLS / 10 {
        let start = Instant::now();
        let (advice, fuel_used) = loaded.instance().call(Hook::Request, &views[turn % views.len()], fuel);
        let duration_us = start.elapsed().as_secs_f64() * 1e6;
        advice.map_err(|fault| format!("call {turn}: {fault}"))?;
        loaded.instance().take_lines();
        max_fuel = max_fuel.max(fuel_used);
        if turn >= BENCH_CALLS / 10 {
            times.push(duration_us);
        }
    }
    times.sort_by(f64::total_cmp);
    let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    println!(
        "request on {BENCH_MACHINES} machines, {BENCH_CALLS} calls: p50 {:.2} µs, p99 {:.2} µs, most {:.2} µs; \
         fuel {max_fuel} at most",
        at(0.5),
        at(0.99),
        at(1.0)
    );
    Ok(())
}
