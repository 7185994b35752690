//! What real routers said, from the lines that they log: by a clock that all processes of a machine share.

use super::check::{Said, Word};
use frostturn::fleet::{QuorumStatus, State};

/// Milliseconds of the clock that the daemon's lines name.
pub fn boot_ms() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as f64 * 1e3 + time.tv_nsec as f64 / 1e6
}

/// The words of one process's log, and the number of its start; `start` is which of its router's it is.
pub fn read(log: &str, by: usize, start: usize) -> (Vec<Said>, u64) {
    let (mut said, mut number) = (Vec::new(), 0);
    for line in log.lines() {
        if let Some((_, rest)) = line.split_once(", start ") {
            number = rest.trim().parse().unwrap_or(number);
            continue;
        }
        let Some((_, line)) = line.split_once("fleet: ") else { continue };
        let word = standing(line).or_else(|| changed(line));
        said.extend(word.map(|(at, word)| Said { at, by, start, word }));
    }
    (said, number)
}

fn between<'a>(line: &'a str, from: &str, to: &str) -> Option<&'a str> {
    line.split_once(from)?.1.split_once(to).map(|(found, _)| found)
}

fn standing(line: &str) -> Option<(f64, Word)> {
    let (word, _) = line.split_once(" in term ")?;
    let says = match word {
        "majority" => QuorumStatus::Majority,
        "cut-off" => QuorumStatus::CutOff,
        "joining" => QuorumStatus::Joining,
        _ => return None,
    };
    let term = between(line, " in term ", " since")?.parse().ok()?;
    let (since, at) =
        (between(line, "since ", ",")?.parse().ok()?, between(line, " at ", ";")?.parse().ok()?);
    Some((at, Word::Standing { says, term, since }))
}

fn changed(line: &str) -> Option<(f64, Word)> {
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
    Some((at, Word::Of { other, start, term, state }))
}

#[cfg(test)]
mod tests;
