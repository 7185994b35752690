//! The command line: commands, options and their environment variables.
//!
//! Exit codes: 0, shut down on request, or every file is valid; 1, the start failed, or a file is invalid; 2,
//! invalid command line.

use crate::config::{Config, Sources};
use crate::fleet::Fleet;
use crate::log::{Format, Level};
use crate::log_line;
use crate::operator::{self, OperatorConfig};
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

/// Routes requests to cache servers, their parents and the origin.
#[derive(Debug, Parser)]
#[command(name = "frostturn", version, about, long_about = LONG_ABOUT, args_conflicts_with_subcommands = false)]
pub struct Cli {
    /// The JSON config of the platform; required to serve
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// This router's name; overrides the config
    #[arg(long, env = "PROXY_NAME", value_name = "NAME", global = true)]
    name: Option<String>,
    /// The address on which clients connect, as 127.0.0.1:7001 or [::1]:7001; overrides the config
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS", global = true)]
    listen: Option<String>,
    /// The address for operators' calls, as 127.0.0.1:9600; overrides the config; without either there is no
    /// TCP listener for them. For `ctl` also a socket's path
    #[arg(long, env = "PROXY_OPS", value_name = "ADDRESS", global = true)]
    ops: Option<String>,
    /// The operator's file (S-expressions), which enables optional subsystems
    #[arg(long, env = "FROSTTURN_OPERATOR", value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    /// The format of log lines on standard error
    #[arg(long, env = "FROSTTURN_LOG", value_enum, default_value = "text", global = true)]
    log: LogFormat,
    /// The log level: events for operators only, or also each event of each request and connection
    #[arg(long, env = "FROSTTURN_LOG_LEVEL", value_enum, default_value = "info", global = true)]
    log_level: LogLevel,
    #[command(subcommand)]
    command: Option<Command>,
}

const LONG_ABOUT: &str = "Routes requests to cache servers, their parents and the origin.\n\n\
Without a command it serves. SIGTERM shuts it down gracefully, SIGHUP reloads the config and the operator's \
file, SIGUSR1 prints the counters.\n\n\
Exit codes: 0, shut down on request, or every file is valid; 1, the start failed, or a file is invalid; 2, \
invalid command line.";

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until shut down (the default)
    Serve,
    /// Validate operator's files or JSON configs and report every fault with line and column
    Check {
        /// The files; one that begins with `{` is read as a JSON config
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Check, run and measure plug-ins, or print a template
    Plugin {
        #[command(subcommand)]
        plugin: crate::cli_plugin::Plugin,
    },
    /// Call a running router at --ops or at the Unix socket of the operator's file
    ///
    /// Exit codes: 0, accepted or yes; 1, rejected or no; 3, no answer; 4, the call failed.
    Ctl {
        #[command(subcommand)]
        ctl: crate::cli_ctl::Ctl,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// Plain text, each line prefixed with `frostturn: `
    Text,
    /// One JSON object per line
    Json,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogLevel {
    /// Events for operators, limited in rate
    Info,
    /// All events, without a rate limit, for tracing single requests
    Debug,
}

/// Runs the command that the process's arguments and environment select.
pub fn main() -> ExitCode {
    // The platform starts the router without arguments. Skipping the parser then saves the memory of its code
    // pages.
    if std::env::args_os().len() <= 1 {
        return serve();
    }
    let cli = Cli::parse();
    let format = match cli.log {
        LogFormat::Text => Format::Text,
        LogFormat::Json => Format::Json,
    };
    let level = match cli.log_level {
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match cli.command {
        None | Some(Command::Serve) => {
            let non_empty = |text: Option<String>| text.filter(|text| !text.is_empty());
            let non_empty_path = |path: Option<PathBuf>| path.filter(|path| !path.as_os_str().is_empty());
            let sources = Sources {
                config: non_empty_path(cli.config),
                name: non_empty(cli.name),
                listen: non_empty(cli.listen),
                ops: non_empty(cli.ops),
                operator: non_empty_path(cli.operator),
            };
            serve_with(format, level, sources)
        }
        Some(Command::Check { files }) => check(&files, cli.name.as_deref()),
        Some(Command::Plugin { plugin }) => crate::cli_plugin::run(&plugin),
        Some(Command::Ctl { ctl }) => {
            let address =
                cli.ops.filter(|text| !text.is_empty()).or_else(|| ops_socket_path(cli.operator.as_deref()));
            crate::cli_ctl::run(address.as_deref(), &ctl)
        }
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "frostturn", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Serves as configured by the environment variables alone, without parsing options.
pub fn serve() -> ExitCode {
    let var = |name| std::env::var(name).ok().filter(|value: &String| !value.is_empty());
    let format = match var("FROSTTURN_LOG").as_deref() {
        None | Some("text") => Format::Text,
        Some("json") => Format::Json,
        Some(other) => {
            eprintln!("FROSTTURN_LOG must be text or json, not {other}");
            return ExitCode::from(2);
        }
    };
    let level = match var("FROSTTURN_LOG_LEVEL").as_deref() {
        None | Some("info") => Level::Info,
        Some("debug") => Level::Debug,
        Some(other) => {
            eprintln!("FROSTTURN_LOG_LEVEL must be info or debug, not {other}");
            return ExitCode::from(2);
        }
    };
    let sources = Sources {
        config: var("PROXY_CONFIG").map(PathBuf::from),
        name: var("PROXY_NAME"),
        listen: var("PROXY_LISTEN"),
        ops: var("PROXY_OPS"),
        operator: var("FROSTTURN_OPERATOR").map(PathBuf::from),
    };
    serve_with(format, level, sources)
}

fn serve_with(format: Format, level: Level, sources: Sources) -> ExitCode {
    crate::log::start(format, level);
    match crate::runtime::run(sources) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            log_line!(always; "cannot start: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// Returns the path of the Unix socket for operators' calls from the operator's file.
fn ops_socket_path(operator: Option<&std::path::Path>) -> Option<String> {
    let operator = OperatorConfig::load(operator.filter(|path| !path.as_os_str().is_empty())?);
    let operator = operator.map_err(|why| eprintln!("{why}")).ok()?;
    operator.ops_socket.map(|path| path.display().to_string())
}

/// Validates files: reports their faults on standard error and the valid files on standard output.
fn check(files: &[PathBuf], name: Option<&str>) -> ExitCode {
    let mut all_valid = true;
    for path in files {
        let shown = path.display();
        let faults = match operator::read_bytes(path) {
            Err(e) => vec![format!("{shown}: {e}")],
            Ok(bytes) if bytes.trim_ascii_start().starts_with(b"{") => {
                Config::read(bytes, None, None).err().into_iter().collect()
            }
            Ok(bytes) => match OperatorConfig::read(&bytes) {
                // The peers can be checked against the router's own name only if the command line gives it.
                Ok(operator) => match (name, operator.fleet) {
                    (Some(name), Some(fleet)) => {
                        Fleet::new(fleet, name, 1, 0.0, 0).err().into_iter().collect()
                    }
                    _ => Vec::new(),
                },
                Err(faults) => faults.0.iter().map(|fault| format!("{shown}:{fault}")).collect(),
            },
        };
        if faults.is_empty() {
            println!("{shown}: good");
        }
        all_valid &= faults.is_empty();
        faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    if all_valid {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

#[cfg(test)]
mod tests;
