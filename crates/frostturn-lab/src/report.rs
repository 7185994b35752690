//! Output of a run: text for people and one JSON object for programs.

use crate::check::Rules;
use serde::Serialize;

/// A measured value and its limit.
#[derive(Clone, Debug, Serialize)]
pub struct Bound {
    /// Its name, with the unit.
    pub name: &'static str,
    /// The measured value.
    pub value: f64,
    /// The limit.
    pub limit: f64,
    /// Whether the value is within the limit.
    pub kept: bool,
}

impl Bound {
    /// Creates a bound with an upper limit.
    pub fn most(name: &'static str, value: f64, limit: f64) -> Self {
        Self { name, value: (value * 1e4).round() / 1e4, limit, kept: value <= limit }
    }

    /// Creates a bound with a lower limit.
    pub fn least(name: &'static str, value: f64, limit: f64) -> Self {
        Self { name, value: (value * 1e4).round() / 1e4, limit, kept: value >= limit }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Seed of the run.
    pub seed: u64,
    /// Number of requests by their result.
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Worth of the requests answered within their aim, divided by the worth of all requests.
    pub worth: f64,
    /// Latency of served requests, in milliseconds.
    pub p50_ms: f64,
    pub p99_ms: f64,
    /// The daemon's CPU time per request, in microseconds, and its peak memory, in MB.
    pub cpu_us: f64,
    pub memory_mb: f64,
    /// Rule violations.
    pub rules: Rules,
    /// Measured values and their limits.
    pub bounds: Vec<Bound>,
    /// Descriptions of some violations.
    #[serde(skip)]
    pub examples: Vec<String>,
}

impl Report {
    /// Returns whether no rule was violated and each bound is kept.
    pub fn good(&self) -> bool {
        self.rules.kept() && self.bounds.iter().all(|bound| bound.kept)
    }

    /// Prints the report, and as JSON on the last line if `json` is set.
    pub fn print(&self, json: bool) {
        let Self { scenario, seed, requests, served, refused, failed, .. } = self;
        println!("{scenario}, seed {seed}: {requests} requests, {served} served, {refused} refused, {failed} failed");
        println!(
            "  worth answered in time {:.4}; latency p50 {:.2} ms, p99 {:.1} ms; {:.0} µs CPU a request, {:.1} MB",
            self.worth, self.p50_ms, self.p99_ms, self.cpu_us, self.memory_mb
        );
        let Rules { lost, doubled, drain, cold, purge } = self.rules;
        println!("  rules broken: lost {lost}, doubled {doubled}, drain {drain}, cold {cold}, purge {purge}");
        for bound in &self.bounds {
            let word = if bound.kept { "kept" } else { "NOT KEPT" };
            println!("  {} {} (limit {}): {word}", bound.name, bound.value, bound.limit);
        }
        self.examples.iter().for_each(|example| println!("  {example}"));
        if json {
            println!("{}", serde_json::to_string(self).unwrap_or_default());
        }
    }
}
