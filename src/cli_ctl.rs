//! `frostturn ctl`: an operator's calls from the command line.
//!
//! Exit codes: 0, yes; 1, no; 2, the command line can't be understood; 3, nobody answers; 4, it could not be done.

use crate::fleet::View;
use crate::ops::control::{self, Answer, OpsAddress, MAX_ANSWER_BYTES};
use crate::ops::Call;
use clap::Subcommand;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::time::Duration;

/// A router answers within a second; one that doesn't may hang.
const PATIENCE: Duration = Duration::from_millis(1500);

/// What to ask a running router for.
#[derive(Clone, Debug, Subcommand)]
pub enum Ctl {
    /// Whether it is ready to serve
    Ready,
    /// Send nothing more to a machine, whatever the board says
    Exclude {
        /// The machine's name, as the board lists it
        id: String,
    },
    /// Let a machine serve again, as a cold one
    Include {
        /// The machine's name
        id: String,
    },
    /// Empty the router: it goes on running, and clients go elsewhere
    Evacuate,
    /// Take clients again
    Rejoin,
    /// What it has done and holds, as JSON
    Status,
    /// Who else routes here, and whether it is cut off
    Fleet {
        /// One JSON object instead of a table
        #[arg(long)]
        json: bool,
    },
}

impl Ctl {
    fn call(&self) -> Call {
        match self {
            Self::Ready => Call::Ready,
            Self::Exclude { id } => Call::Exclude(id.clone()),
            Self::Include { id } => Call::Include(id.clone()),
            Self::Evacuate => Call::Evacuate,
            Self::Rejoin => Call::Rejoin,
            Self::Status => Call::Telemetry,
            Self::Fleet { .. } => Call::Fleet,
        }
    }
}

/// Calls the router at `place` and says what it answered.
pub fn run(place: Option<&str>, ctl: &Ctl) -> ExitCode {
    let Some(place) = place else {
        eprintln!("where? --ops ADDRESS or PATH, PROXY_OPS, or (ops (unix …)) in the operator's file");
        return ExitCode::from(2);
    };
    let place: OpsAddress = match place.parse() {
        Ok(place) => place,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(2);
        }
    };
    let answer = ask(&place, &control::write(&ctl.call())).map_err(|e| e.to_string());
    match answer.and_then(|bytes| control::read(&bytes).map_err(str::to_owned)) {
        Ok(Answer::Accepted(text)) => {
            match ctl {
                Ctl::Fleet { json: false } => println!("{}", fleet_table(&text).unwrap_or(text)),
                _ => println!("{text}"),
            }
            ExitCode::SUCCESS
        }
        Ok(Answer::Rejected(text)) => {
            println!("{text}");
            ExitCode::from(1)
        }
        Ok(Answer::Failed(status, text)) => {
            eprintln!("{place}: {status}: {text}");
            ExitCode::from(4)
        }
        Err(why) => {
            eprintln!("{place}: {why}");
            ExitCode::from(3)
        }
    }
}

/// The picture of a fleet as a table, from its JSON; none: a later version's, which is shown as it is.
fn fleet_table(json: &str) -> Option<String> {
    let view: View = simd_json::from_slice(&mut json.as_bytes().to_vec()).ok()?;
    let me = view.me;
    let mut rows = vec![["router", "state", "path", "for", "why"].map(str::to_owned)];
    for one in view.members {
        let since = format!("{:.1} s", one.since_ms as f64 / 1e3);
        rows.push([one.name, one.state.as_str().to_owned(), one.path.as_str().to_owned(), since, one.why]);
    }
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths = [width(0), width(1), width(2), width(3)];
    let mut out =
        format!("{}: {}, term {}, {} of {} answer", me.name, me.standing, me.term, me.heard_by, me.of);
    for row in &rows {
        let cells: Vec<String> =
            row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        out.push_str(&format!("\n{}  {}", cells.join("  "), row[4]));
    }
    Some(out)
}

fn ask(place: &OpsAddress, call: &[u8]) -> io::Result<Vec<u8>> {
    match place {
        OpsAddress::Tcp(address) => {
            let mut stream = TcpStream::connect_timeout(address, PATIENCE)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.write_all(call)?;
            stream.shutdown(Shutdown::Write)?;
            whole(stream)
        }
        OpsAddress::Unix(path) => {
            let mut stream = UnixStream::connect(path)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.write_all(call)?;
            stream.shutdown(Shutdown::Write)?;
            whole(stream)
        }
    }
}

fn whole(stream: impl Read) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER_BYTES as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}
