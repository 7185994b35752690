//! Memory for input: nothing is read from a client before there is room for it. Room is made by refusing
//! incomplete requests, which is logged with the memory in use.

use super::clients::{client_input, PORTION_BYTES};
use super::{Runtime, Source};
use crate::api::Millis;
use crate::front::{ShedOrder, MAX_RECEIVE_OVERHEAD_BYTES};
use crate::log_line;
use crate::memory::{self, measure, Figures};
use crate::reasons::{ClientClose, Refusal};
use std::collections::BinaryHeap;

/// Room that must be free before a client is read once, and so the most by which a read fills its share. Requests
/// that become complete leave the share for that of held requests, which they pass by what this share holds at most.
pub(super) const READ_ROOM_BYTES: usize = PORTION_BYTES + MAX_RECEIVE_OVERHEAD_BYTES;
/// Share of the memory for incomplete requests that is freed at once.
const RELIEF_SHARE: f64 = 0.125;
/// Requests refused at once.
const MAX_REFUSALS: usize = 512;
/// Pause before reading again from clients for which there was no memory.
const INPUT_PAUSE_MS: Millis = 5.0;

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
            queued: self.inbox.request_bytes(),
            bodies: self.reducer.body_bytes(),
            answers: self.answer_memory.charged(),
        }
    }

    /// Makes room for reading once from a client. Returns false if there is none.
    pub(super) fn make_input_room(&mut self) -> bool {
        if self.inbox.request_bytes() > self.max_incoming_bytes {
            return false; // What was read is handled first.
        }
        // Where freeing has just failed, it is tried again after the pause, not for each client.
        if !self.has_input_room() && self.resume_input_at.is_none() {
            self.free_input_memory();
        }
        self.has_input_room()
    }

    fn has_input_room(&self) -> bool {
        let has_share = self.incoming_bytes + READ_ROOM_BYTES <= self.max_incoming_bytes;
        has_share && self.allocation_room() >= READ_ROOM_BYTES
    }

    /// Returns how many bytes the process may still allocate.
    pub(super) fn allocation_room(&self) -> usize {
        memory::allocation_room(self.memory_bytes, measure::allocated_bytes())
    }

    /// Has a client read again after a pause.
    pub(super) fn await_input_room(&mut self, key: u64) {
        self.reducer.counters.reads_delayed += 1;
        self.awaiting_input_room.insert(key);
        let resume_at = self.now() + INPUT_PAUSE_MS;
        self.resume_input_at.get_or_insert(resume_at);
    }

    /// Whether a client's input was not read for lack of memory.
    pub(super) fn awaits_input_room(&self, key: u64) -> bool {
        self.awaiting_input_room.contains(&key)
    }

    /// Schedules the clients from which nothing was read for lack of memory.
    pub(super) fn resume_input(&mut self) {
        self.resume_input_at = None;
        let waiting = std::mem::take(&mut self.awaiting_input_room);
        self.runnable.extend(waiting.into_iter().map(Source::Front));
    }

    /// Refuses incomplete requests in their [`ShedOrder`] until a share of their memory is free. If that is not
    /// enough, closes connections that hold parts of other records.
    fn free_input_memory(&mut self) {
        let freed = READ_ROOM_BYTES.max((self.max_incoming_bytes as f64 * RELIEF_SHARE) as usize);
        let target = self.max_incoming_bytes.min(self.incoming_bytes).saturating_sub(freed);
        while self.incoming_bytes > target {
            let candidates = self.first_to_refuse();
            if candidates.is_empty() {
                break;
            }
            for (_, key, request) in candidates {
                if self.incoming_bytes <= target {
                    return;
                }
                self.refuse_for_memory(key, request);
            }
        }
        let has_no_share = |state: &Self| state.incoming_bytes + READ_ROOM_BYTES > state.max_incoming_bytes;
        while has_no_share(self) && self.close_undecoded() {}
    }

    /// Returns the incomplete requests that are refused first, in this order, with their clients.
    fn first_to_refuse(&self) -> Vec<(ShedOrder, u64, u16)> {
        let now = self.now();
        let mut first = BinaryHeap::with_capacity(MAX_REFUSALS + 1);
        for (key, (socket, conn)) in &self.clients {
            let has_unread = conn.has_incomplete_requests() && socket.has_unread_input();
            for (order, request) in conn.shed_candidates(now, has_unread) {
                first.push((order, *key, request));
                if first.len() > MAX_REFUSALS {
                    first.pop();
                }
            }
        }
        first.into_sorted_vec()
    }

    fn refuse_for_memory(&mut self, key: u64, request: u16) {
        let now = self.now();
        let Some((_, conn)) = self.clients.get_mut(&key) else { return };
        let before = conn.buffered_bytes();
        let refused = conn.refuse(request, Refusal::BodyMemoryFull);
        self.incoming_bytes = self.incoming_bytes + conn.buffered_bytes() - before;
        self.inbox.extend(refused.into_iter().map(|event| client_input(key, event)));
        self.reducer.counters.incomplete_shed += 1;
        self.record_relief(now);
    }

    /// Closes the connection with the most input that is no part of a request. Returns false if there is none.
    fn close_undecoded(&mut self) -> bool {
        let undecoded = self.clients.iter().map(|(key, (_, conn))| (conn.undecoded_bytes(), *key));
        let Some((_, key)) = undecoded.filter(|(bytes, _)| *bytes > 0).max() else { return false };
        self.stop_reading_client(key, ClientClose::MemoryFull);
        true
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
