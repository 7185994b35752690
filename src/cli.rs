//! The command line: what to do, and where the files are that say how.
//!
//! Exit codes: 0, it ended as told, or every file is good; 1, it couldn't start, or a file is not good; 2, the
//! command line itself can't be understood.

use crate::config::{Config, Sources};
use crate::fleet::Fleet;
use crate::log::{Format, Level};
use crate::log_line;
use crate::operator::{self, OperatorConfig};
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

/// Routes requests to cache boxes, their fills and their origin.
#[derive(Debug, Parser)]
#[command(name = "frostturn", version, about, long_about = LONG_ABOUT, args_conflicts_with_subcommands = false)]
pub struct Cli {
    /// The JSON config of the platform; needed to serve
    #[arg(long, env = "PROXY_CONFIG", value_name = "FILE", global = true)]
    config: Option<PathBuf>,
    /// This router's name; goes before the config's
    #[arg(long, env = "PROXY_NAME", value_name = "NAME", global = true)]
    name: Option<String>,
    /// Where clients connect, as 127.0.0.1:7001 or [::1]:7001; goes before the config's
    #[arg(long, env = "PROXY_LISTEN", value_name = "ADDRESS", global = true)]
    listen: Option<String>,
    /// Where operators call, as 127.0.0.1:9600; goes before the config's; neither: nowhere. For `ctl` a socket's path, too
    #[arg(long, env = "PROXY_OPS", value_name = "ADDRESS", global = true)]
    ops: Option<String>,
    /// The operator's file (S-expressions) that switches on further subsystems; without it none is on
    #[arg(long, env = "FROSTTURN_OPERATOR", value_name = "FILE", global = true)]
    operator: Option<PathBuf>,
    /// How log lines are written to standard error
    #[arg(long, env = "FROSTTURN_LOG", value_enum, default_value = "text", global = true)]
    log: LogFormat,
    /// How much is written: what operators need, or each event of each request and connection as well
    #[arg(long, env = "FROSTTURN_LOG_LEVEL", value_enum, default_value = "info", global = true)]
    log_level: LogLevel,
    #[command(subcommand)]
    command: Option<Command>,
}

const LONG_ABOUT: &str = "Routes requests to cache boxes, their fills and their origin.\n\n\
With no command it serves. SIGTERM lets it finish, SIGHUP has the config and the operator's file read again, \
SIGUSR1 prints the counters.\n\n\
Exit codes: 0, it ended as told, or every file is good; 1, it couldn't start, or a file is not good; 2, the \
command line can't be understood.";

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve until told to end; what is done without a command, too
    Serve,
    /// Read operator's files or JSON configs and report every fault, with line and column
    Check {
        /// The files; one that begins with `{` is read as a JSON config
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
    },
    /// Check, run and time plug-ins, or print a starting point for one
    Plugin {
        #[command(subcommand)]
        plugin: crate::cli_plugin::Plugin,
    },
    /// Ask a running router what operators ask: over --ops, or the Unix socket of the operator's file
    ///
    /// Exit codes: 0, yes; 1, no; 3, nobody answers; 4, it could not be done.
    Ctl {
        #[command(subcommand)]
        ctl: crate::cli_ctl::Ctl,
    },
    /// Print a completion script for a shell
    Completions {
        /// Which shell
        shell: clap_complete::Shell,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogFormat {
    /// `frostturn: ` and the words, for people
    Text,
    /// One JSON object a line, for machines
    Json,
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum LogLevel {
    /// Few lines, limited in rate
    Info,
    /// Nothing held back: for following one request id
    Debug,
}

/// Does what the process's arguments and environment say.
pub fn main() -> ExitCode {
    // The platform starts it with no word at all: the parser's pages then needn't be in a small router's memory.
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
            let given = |text: Option<String>| text.filter(|text| !text.is_empty());
            let named = |path: Option<PathBuf>| path.filter(|path| !path.as_os_str().is_empty());
            let sources = Sources {
                config: named(cli.config),
                name: given(cli.name),
                listen: given(cli.listen),
                ops: given(cli.ops),
                operator: named(cli.operator),
            };
            serve_by(format, level, sources)
        }
        Some(Command::Check { files }) => check(&files, cli.name.as_deref()),
        Some(Command::Plugin { plugin }) => crate::cli_plugin::run(&plugin),
        Some(Command::Ctl { ctl }) => {
            let place =
                cli.ops.filter(|text| !text.is_empty()).or_else(|| socket_of(cli.operator.as_deref()));
            crate::cli_ctl::run(place.as_deref(), &ctl)
        }
        Some(Command::Completions { shell }) => {
            clap_complete::generate(shell, &mut Cli::command(), "frostturn", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Serves by what the environment says alone, under the names that the options give.
pub fn serve() -> ExitCode {
    let var = |name| std::env::var(name).ok().filter(|value: &String| !value.is_empty());
    let format = match var("FROSTTURN_LOG").as_deref() {
        None | Some("text") => Format::Text,
        Some("json") => Format::Json,
        Some(other) => {
            eprintln!("FROSTTURN_LOG is neither text nor json: {other}");
            return ExitCode::from(2);
        }
    };
    let level = match var("FROSTTURN_LOG_LEVEL").as_deref() {
        None | Some("info") => Level::Info,
        Some("debug") => Level::Debug,
        Some(other) => {
            eprintln!("FROSTTURN_LOG_LEVEL is neither info nor debug: {other}");
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
    serve_by(format, level, sources)
}

fn serve_by(format: Format, level: Level, sources: Sources) -> ExitCode {
    crate::log::start(format, level);
    match crate::runtime::run(sources) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            log_line!(always; "cannot start: {reason}");
            ExitCode::FAILURE
        }
    }
}

/// The Unix socket that an operator's file names.
fn socket_of(operator: Option<&std::path::Path>) -> Option<String> {
    let operator = OperatorConfig::load(operator.filter(|path| !path.as_os_str().is_empty())?);
    let operator = operator.map_err(|why| eprintln!("{why}")).ok()?;
    operator.ops_socket.map(|path| path.display().to_string())
}

/// Reports each file's faults on standard error and each good one on standard output.
fn check(files: &[PathBuf], name: Option<&str>) -> ExitCode {
    let mut good = true;
    for path in files {
        let shown = path.display();
        let faults = match operator::read_bytes(path) {
            Err(e) => vec![format!("{shown}: {e}")],
            Ok(bytes) if bytes.trim_ascii_start().starts_with(b"{") => {
                Config::read(bytes, None, None).err().into_iter().collect()
            }
            Ok(bytes) => match OperatorConfig::read(&bytes) {
                // Whether it is among its own peers shows where the command line names this router.
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
        good &= faults.is_empty();
        faults.iter().for_each(|fault| eprintln!("{fault}"));
    }
    if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

#[cfg(test)]
mod tests;
