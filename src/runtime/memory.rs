//! Figures of the memory in use, and log lines while requests are refused for it.

use super::Runtime;
use crate::api::Millis;
use crate::log_line;
use crate::memory::{measure, Figures};

/// Interval between two log lines while requests are refused for memory.
const RELIEF_LOG_INTERVAL_MS: Millis = 1000.0;
/// After so long without a refusal for memory, relief is over.
const RELIEF_END_MS: Millis = 1000.0;

/// A time in which requests are refused for memory.
#[derive(Clone, Copy, Debug)]
pub(super) struct Relief {
    since: Millis,
    last_refusal_at: Millis,
    next_log_at: Millis,
    refused: u64,
    /// The largest use of memory that was seen.
    peak: Figures,
}

impl Runtime {
    /// Returns the memory in use.
    pub(super) fn memory_figures(&self) -> Figures {
        Figures {
            limit: self.memory_bytes,
            resident: measure::resident_bytes(),
            allocated: measure::allocated_bytes(),
            incomplete: self.incoming_bytes,
            held: self.held_bytes,
            queued: self.inbox.body_bytes(),
            bodies: self.reducer.body_bytes(),
            answers: self.answer_memory.charged(),
        }
    }

    /// Records that an incomplete request was refused for memory.
    pub(super) fn record_relief(&mut self, now: Millis) {
        if self.memory_relief.is_none() {
            let peak = self.memory_figures();
            log_line!("memory for incomplete requests is full, refusing the longest stalled: {peak}");
            let next_log_at = now + RELIEF_LOG_INTERVAL_MS;
            self.memory_relief =
                Some(Relief { since: now, last_refusal_at: now, next_log_at, refused: 0, peak });
        }
        let incomplete = self.incoming_bytes;
        if let Some(relief) = &mut self.memory_relief {
            relief.refused += 1;
            relief.last_refusal_at = now;
            relief.peak.incomplete = relief.peak.incomplete.max(incomplete);
            relief.peak.allocated = relief.peak.allocated.max(measure::allocated_bytes());
        }
    }

    /// Logs once a second how requests are refused for memory, and the end of it.
    pub(super) fn log_memory_relief(&mut self, now: Millis) {
        let Some(relief) = self.memory_relief else { return };
        let is_over = now - relief.last_refusal_at >= RELIEF_END_MS;
        if !is_over && now < relief.next_log_at {
            return;
        }
        let (ms, refused, peak) = (now - relief.since, relief.refused, relief.peak);
        let (incomplete, allocated, figures) = (peak.incomplete, peak.allocated, self.memory_figures());
        let state = if is_over { "over" } else { "at work" };
        log_line!("memory relief {state} after {ms:.0} ms: refused={refused} peak_incomplete={incomplete} peak_allocated={allocated}; {figures}");
        let next_log_at = now + RELIEF_LOG_INTERVAL_MS;
        self.memory_relief = (!is_over).then_some(Relief { next_log_at, ..relief });
    }
}
