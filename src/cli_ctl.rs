//! `frostturn ctl`: calls of operators from the command line.
//!
//! Exit codes: 0, accepted or yes; 1, rejected or no; 2, invalid command line; 3, no answer; 4, the call
//! failed.

use crate::fleet::View;
use crate::ops::control::{self, Answer, OpsAddress, MAX_ANSWER_BYTES};
use crate::ops::Call;
use clap::Subcommand;
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::unix::net::UnixStream;
use std::process::ExitCode;
use std::time::Duration;

/// A router answers within a second unless it hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// A call to a running router.
#[derive(Clone, Debug, Subcommand)]
pub enum Ctl {
    /// Check whether the router is ready to serve
    Ready,
    /// Send nothing more to a machine, even if discovery lists it
    Exclude {
        /// The machine's name as discovery lists it
        id: String,
    },
    /// Let a machine serve again, starting cold
    Include {
        /// The machine's name
        id: String,
    },
    /// Move all clients to other routers; the router keeps running
    Evacuate,
    /// Accept clients again
    Rejoin,
    /// Print the telemetry as JSON
    Status,
    /// Print the other routers of the fleet and the quorum status
    Fleet {
        /// Print one JSON object instead of a table
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

/// Calls the router at `address` and prints its answer.
pub fn run(address: Option<&str>, ctl: &Ctl) -> ExitCode {
    let Some(address) = address else {
        eprintln!(
            "no router address: use --ops ADDRESS or PATH, PROXY_OPS, or (ops (unix …)) in the operator's file"
        );
        return ExitCode::from(2);
    };
    let address: OpsAddress = match address.parse() {
        Ok(address) => address,
        Err(why) => {
            eprintln!("{why}");
            return ExitCode::from(2);
        }
    };
    let answer = send_call(&address, &control::write(&ctl.call())).map_err(|e| e.to_string());
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
            eprintln!("{address}: {status}: {text}");
            ExitCode::from(4)
        }
        Err(why) => {
            eprintln!("{address}: {why}");
            ExitCode::from(3)
        }
    }
}

/// Formats the JSON view of a fleet as a table; `None` if it is of a later version, which is printed as it
/// is.
fn fleet_table(json: &str) -> Option<String> {
    let view: View = simd_json::from_slice(&mut json.as_bytes().to_vec()).ok()?;
    let me = view.me;
    let mut rows = vec![["router", "state", "path", "for", "why"].map(str::to_owned)];
    for member in view.members {
        let since = format!("{:.1} s", member.since_ms as f64 / 1e3);
        rows.push([
            member.name,
            member.state.as_str().to_owned(),
            member.path.as_str().to_owned(),
            since,
            member.why,
        ]);
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

/// Sends a call and returns the bytes of the answer.
fn send_call(address: &OpsAddress, call: &[u8]) -> io::Result<Vec<u8>> {
    match address {
        OpsAddress::Tcp(address) => {
            let mut stream = TcpStream::connect_timeout(address, ANSWER_TIMEOUT)?;
            stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
            stream.write_all(call)?;
            stream.shutdown(Shutdown::Write)?;
            read_answer(stream)
        }
        OpsAddress::Unix(path) => {
            let mut stream = UnixStream::connect(path)?;
            stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
            stream.write_all(call)?;
            stream.shutdown(Shutdown::Write)?;
            read_answer(stream)
        }
    }
}

/// Reads an answer up to the maximum size.
fn read_answer(stream: impl Read) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    stream.take(MAX_ANSWER_BYTES as u64).read_to_end(&mut bytes)?;
    Ok(bytes)
}
