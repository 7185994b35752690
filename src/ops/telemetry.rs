//! What operators are told of a router's work, under the names that they gave.

use std::collections::BTreeMap;
use std::fmt::Write;

/// How a request ended, for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disposition {
    /// Served, whole or by saying that the client's copy is the one.
    Succeeded,
    /// Refused.
    Declined,
    /// Failed, or its client stopped waiting.
    Aborted,
}

impl Disposition {
    /// The operators' word.
    pub fn word(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Declined => "declined",
            Self::Aborted => "aborted",
        }
    }
}

/// Requests that ended, by class and how. Bounded by the classes of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Results(BTreeMap<(String, Disposition), u64>);

impl Results {
    /// One more.
    pub fn count(&mut self, class: &str, how: Disposition) {
        match self.0.iter_mut().find(|((name, disposition), _)| name == class && *disposition == how) {
            Some((_, count)) => *count += 1,
            None => drop(self.0.insert((class.to_owned(), how), 1)),
        }
    }

    fn of(&self, how: Disposition) -> u64 {
        self.0.iter().filter(|((_, disposition), _)| *disposition == how).map(|(_, count)| count).sum()
    }
}

/// What is told: counts since the start, and what holds now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Telemetry {
    /// Requests that ended.
    pub results: Results,
    /// Attempts made.
    pub forwards: u64,
    /// Requests that are owed an answer now.
    pub outstanding: usize,
    /// Machines that the board lists and that may serve now.
    pub discovered: usize,
    /// Of these, those that are left alone since they failed.
    pub ejected: usize,
    /// Signals to read the files again that were followed, and those that changed nothing as a file was bad.
    pub reloads: [u64; 2],
    /// What is told of the fleet, where there is one and this process speaks in it.
    pub fleet: Option<FleetStats>,
}

/// A router's part in its fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetStats {
    /// Its standing, by its word.
    pub quorum_status: &'static str,
    /// Other routers in each state, by its word.
    pub states: Vec<(&'static str, usize)>,
    /// Datagrams sent, taken, refused, and not sent as the system didn't take them.
    pub datagrams: [u64; 4],
}

impl FleetStats {
    fn json(&self) -> String {
        let mut out = format!("{{\"standing\":\"{}\"", self.quorum_status);
        let names = ["sent", "taken", "refused", "unsent"];
        let datagrams = names.iter().zip(self.datagrams).map(|(name, count)| (*name, count));
        for (name, count) in self.states.iter().map(|(name, count)| (*name, *count as u64)).chain(datagrams) {
            let _ = write!(out, ",\"{name}\":{count}"); // A String takes all that is written to it.
        }
        out.push('}');
        out
    }
}

impl Telemetry {
    /// One JSON object. Names are plain words; classes are escaped.
    pub fn json(&self) -> String {
        let sum = |how| self.results.of(how);
        let figures = [
            ("succeeded", sum(Disposition::Succeeded)),
            ("declined", sum(Disposition::Declined)),
            ("aborted", sum(Disposition::Aborted)),
            ("forwards", self.forwards),
            ("outstanding", self.outstanding as u64),
            ("discovered", self.discovered as u64),
            ("ejected", self.ejected as u64),
            ("sighup_applied", self.reloads[0]),
            ("sighup_rejected", self.reloads[1]),
        ];
        let mut out = String::from("{");
        for (name, value) in figures {
            let _ = write!(out, "\"svc_{name}\":{value},"); // A String takes all that is written to it.
        }
        let row = |((class, how), count): (&(String, Disposition), &u64)| {
            format!("{{\"service\":{},\"disposition\":\"{}\",\"count\":{count}}}", quoted(class), how.word())
        };
        let rows: Vec<String> = self.results.0.iter().map(row).collect();
        let _ = write!(out, "\"results\":[{}]", rows.join(","));
        if let Some(fleet) = &self.fleet {
            let _ = write!(out, ",\"fleet\":{}", fleet.json());
        }
        out.push('}');
        out
    }
}

/// A JSON string.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for one in text.chars() {
        match one {
            '"' | '\\' => out.extend(['\\', one]),
            one if one.is_control() => {
                let _ = write!(out, "\\u{:04x}", one as u32);
            }
            one => out.push(one),
        }
    }
    out.push('"');
    out
}

#[cfg(test)]
mod tests;
