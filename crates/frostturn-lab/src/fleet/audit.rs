//! Reads fleet events from the log lines of real routers, with times of the boot clock, which all processes
//! of a machine share.

use super::check::{FleetEvent, LoggedEvent};
use frostturn::fleet::{QuorumStatus, State};

/// Returns the boot clock in milliseconds, as in the daemon's log lines.
pub fn boot_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// Parses the events in one process's log, and the number of its start. `start` is the index of the process
/// among those of its router.
pub fn parse_log(log: &str, by: usize, start: usize) -> (Vec<LoggedEvent>, u64) {
    let (mut logged, mut number) = (Vec::new(), 0);
    for line in log.lines() {
        if let Some((_, rest)) = line.split_once(", start ") {
            number = rest.trim().parse().unwrap_or(number);
            continue;
        }
        let Some((_, line)) = line.split_once("fleet: ") else { continue };
        let event = status_changed(line).or_else(|| member_changed(line));
        logged.extend(event.map(|(at, event)| LoggedEvent { at, by, start, event }));
    }
    (logged, number)
}

fn between<'a>(line: &'a str, from: &str, to: &str) -> Option<&'a str> {
    line.split_once(from)?.1.split_once(to).map(|(found, _)| found)
}

fn status_changed(line: &str) -> Option<(f64, FleetEvent)> {
    let (name, _) = line.split_once(" in term ")?;
    let status = match name {
        "majority" => QuorumStatus::Majority,
        "cut-off" => QuorumStatus::CutOff,
        "joining" => QuorumStatus::Joining,
        _ => return None,
    };
    let term = between(line, " in term ", " since")?.parse().ok()?;
    let (since, at) =
        (between(line, "since ", ",")?.parse().ok()?, between(line, " at ", ";")?.parse().ok()?);
    Some((at, FleetEvent::StatusChanged { status, term, since }))
}

fn member_changed(line: &str) -> Option<(f64, FleetEvent)> {
    let (name, rest) = line.split_once(" is ")?;
    let (state, rest) = rest.split_once(" at ")?;
    let state = match state {
        "joining" => State::Joining,
        "alive" => State::Alive,
        "suspect" => State::Suspect,
        "gone" => State::Gone,
        "left" => State::Left,
        _ => return None,
    };
    let other = name.strip_prefix('n')?.parse().ok()?;
    let at = rest.split_once(' ')?.0.parse().ok()?;
    let start = between(rest, "(start ", ",")?.parse().ok()?;
    let term = between(rest, "term ", ")")?.parse().ok()?;
    Some((at, FleetEvent::MemberChanged { other, start, term, state }))
}

#[cfg(test)]
mod tests;
