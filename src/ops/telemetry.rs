//! The telemetry that operators poll, as JSON under the names that their tools expect.

use std::collections::BTreeMap;
use std::fmt::Write;

/// The final result of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Disposition {
    /// Served, with a body or with the confirmation that the client's copy is current.
    Succeeded,
    /// Refused.
    Declined,
    /// Failed, or aborted by the client.
    Aborted,
}

impl Disposition {
    /// Returns the name in the telemetry.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Succeeded => "succeeded",
            Self::Declined => "declined",
            Self::Aborted => "aborted",
        }
    }
}

/// Counts of ended requests by class and disposition; bounded by the number of classes in the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Results(BTreeMap<(String, Disposition), u64>);

impl Results {
    /// Counts one request.
    pub fn count(&mut self, class: &str, how: Disposition) {
        match self.0.iter_mut().find(|((name, disposition), _)| name == class && *disposition == how) {
            Some((_, count)) => *count += 1,
            None => drop(self.0.insert((class.to_owned(), how), 1)),
        }
    }

    fn total(&self, how: Disposition) -> u64 {
        self.0.iter().filter(|((_, disposition), _)| *disposition == how).map(|(_, count)| count).sum()
    }
}

/// Counts since the start, and the current state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Telemetry {
    /// Ended requests.
    pub results: Results,
    /// Attempts sent.
    pub forwards: u64,
    /// Requests that are waiting for their answer.
    pub outstanding: usize,
    /// Machines that discovery lists and that may serve now.
    pub discovered: usize,
    /// The number of these that are ejected because of failures.
    pub ejected: usize,
    /// Reloads on SIGHUP: applied ones, and ones rejected because a file is invalid.
    pub reloads: [u64; 2],
    /// Statistics of the fleet, if this process takes part in one.
    pub fleet: Option<FleetStats>,
}

/// A router's statistics of its fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FleetStats {
    /// The quorum status by its name.
    pub quorum_status: &'static str,
    /// The number of other routers in each state, by the state's name.
    pub states: Vec<(&'static str, usize)>,
    /// Datagrams sent, accepted, rejected, and not sent because the system call failed.
    pub datagrams: [u64; 4],
}

impl FleetStats {
    fn json(&self) -> String {
        let mut out = format!("{{\"standing\":\"{}\"", self.quorum_status);
        let names = ["sent", "taken", "refused", "unsent"];
        let datagrams = names.iter().zip(self.datagrams).map(|(name, count)| (*name, count));
        for (name, count) in self.states.iter().map(|(name, count)| (*name, *count as u64)).chain(datagrams) {
            let _ = write!(out, ",\"{name}\":{count}"); // Writing to a String can't fail.
        }
        out.push('}');
        out
    }
}

impl Telemetry {
    /// Encodes the telemetry as one JSON object. Only the class names need escaping.
    pub fn json(&self) -> String {
        let total = |how| self.results.total(how);
        let figures = [
            ("succeeded", total(Disposition::Succeeded)),
            ("declined", total(Disposition::Declined)),
            ("aborted", total(Disposition::Aborted)),
            ("forwards", self.forwards),
            ("outstanding", self.outstanding as u64),
            ("discovered", self.discovered as u64),
            ("ejected", self.ejected as u64),
            ("sighup_applied", self.reloads[0]),
            ("sighup_rejected", self.reloads[1]),
        ];
        let mut out = String::from("{");
        for (name, value) in figures {
            let _ = write!(out, "\"svc_{name}\":{value},"); // Writing to a String can't fail.
        }
        let row = |((class, how), count): (&(String, Disposition), &u64)| {
            format!(
                "{{\"service\":{},\"disposition\":\"{}\",\"count\":{count}}}",
                quoted(class),
                how.as_str()
            )
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

/// Encodes a JSON string.
fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for char in text.chars() {
        match char {
            '"' | '\\' => out.extend(['\\', char]),
            char if char.is_control() => {
                let _ = write!(out, "\\u{:04x}", char as u32);
            }
            char => out.push(char),
        }
    }
    out.push('"');
    out
}

#[cfg(test)]
mod tests;
