//! State of one connection to a machine: the frames that are queued or outstanding on it, how far each has
//! come, and the reading of the machine's answers.

use super::frame::Frame;
use super::wire::{parse_cache_status, Fields};
use super::{
    EndpointEvent, Remainder, ANSWER_STALL_MS, ANSWER_TIMEOUT_MS, CLOSED_IDS_KEPT, CLOSED_ID_LIFETIME_MS,
    CROWDED_ATTEMPTS, IDLE_TIMEOUT_SHARE, UNRESPONSIVE_MS, WRONG_NAME,
};
use crate::addresses::{AddressTable, DialRace, Endpoint};
use crate::api::*;
use crate::reducer::{Answer, AttemptKey, Progress};
use crate::resp::{Decoder, ProtocolError};
use std::collections::{HashMap, VecDeque};

/// Parts of a complete answer: id, status, fields and body.
const ANSWER_PARTS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Purpose {
    Attempt(AttemptKey),
    Probe,
    /// Verifies that the machine answers and, if names are verified, which machine it is.
    Greeting,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) machine: CacheId,
    /// The endpoint that is connected.
    pub(super) endpoint: Option<Endpoint>,
    /// The race of dials, until one is connected.
    pub(super) race: Option<DialRace>,
    pub(super) dialed_at: Millis,
    pub(super) connected_at: Option<Millis>,
    /// Deadline for the machine's answer to the greeting. Until it answers, no attempt or probe is sent.
    pub(super) greeting_deadline: Option<Millis>,
    /// The endpoint that this connection tests after a failure; `None` once a request or probe is answered
    /// over it.
    pub(super) trial: Option<Endpoint>,
    /// Whether this connection's silence was recorded as a failure of its endpoint.
    pub(super) silence_reported: bool,
    pub(super) retired: bool,
    /// When the wait for any byte began, if a completely written request is unanswered.
    pub(super) silent_since: Option<Millis>,
    /// Since when the connection is idle. Meaningful only while it carries nothing.
    pub(super) idle_since: Millis,
    pub(super) output: VecDeque<Frame>,
    pub(super) written: usize,
    pub(super) outstanding: HashMap<String, Outstanding>,
    /// Ids that are no longer outstanding, with the time at which they were closed.
    pub(super) closed_ids: VecDeque<(String, Millis)>,
    pub(super) decoder: Decoder,
    /// Nothing is read because the current answer's body awaits memory. The machine can't show any progress
    /// meanwhile.
    pub(super) paused: bool,
    /// When bytes were last received.
    pub(super) last_received_at: Millis,
    /// When the partial answer in the decoder began.
    pub(super) answer_started_at: Millis,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Outstanding {
    pub(super) purpose: Purpose,
    pub(super) progress: Progress,
    pub(super) exclusive: bool,
}

impl Connection {
    pub(super) fn is_unresponsive(&self, now: Millis) -> bool {
        !self.paused && self.silent_since.is_some_and(|since| now - since > UNRESPONSIVE_MS)
    }

    pub(super) fn accepts(
        &self,
        now: Millis,
        addresses: &AddressTable,
        id: &str,
        max_outstanding: usize,
    ) -> bool {
        let may_use = match (&self.trial, &self.endpoint) {
            // A single request at a time tests whether the endpoint works again.
            (Some(tested), Some(_)) => {
                self.greeting_deadline.is_none()
                    && self.outstanding.is_empty()
                    && addresses.may_dial(now, &self.machine, tested)
            }
            (Some(_), None) => false,
            (None, Some(endpoint)) => addresses.accepts_requests(now, &self.machine, endpoint),
            (None, None) => true,
        };
        let has_room = self.outstanding.len() < max_outstanding && !self.outstanding.contains_key(id);
        // A late answer under this id would be taken for the new one's.
        let id_unused = !self.closed_ids.iter().any(|(closed, _)| closed == id);
        has_room && id_unused && may_use && !self.retired && !self.is_unresponsive(now)
    }

    /// Returns what remains of an attempt that is stopped. One that is partly written is completed only if its
    /// request may be repeated at any time and the close would end the attempts of others: a client that gives
    /// its requests up must not cost them theirs.
    pub(super) fn remainder(&self, now: Millis, stopped: Outstanding) -> Remainder {
        let begun = |open: &Outstanding| open.progress > Progress::NotConnected;
        let others_begun = || self.outstanding.values().any(begun);
        match stopped.progress {
            Progress::NotConnected => Remainder::Nothing,
            Progress::PartlyWritten if stopped.exclusive || !others_begun() => Remainder::Partial,
            Progress::WrittenWhole if stopped.exclusive && self.is_unresponsive(now) => Remainder::Partial,
            Progress::WrittenWhole if stopped.exclusive => Remainder::Late,
            Progress::PartlyWritten | Progress::WrittenWhole | Progress::Answered => Remainder::Stopped,
        }
    }

    /// Whether a further request should rather go to another connection.
    pub(super) fn is_crowded(&self, exclusive: bool) -> bool {
        let max = if exclusive || self.outstanding.values().any(|open| open.exclusive) {
            1
        } else {
            CROWDED_ATTEMPTS
        };
        self.outstanding.len() >= max
    }

    /// Closes an id: what still arrives under it is not the answer to a later request.
    pub(super) fn close_id(&mut self, now: Millis, id: String) {
        self.closed_ids.push_back((id, now));
        let [min, max] = CLOSED_IDS_KEPT;
        let expired = |ids: &VecDeque<(String, Millis)>| {
            ids.front().is_some_and(|(_, at)| now - at > CLOSED_ID_LIFETIME_MS)
        };
        while self.closed_ids.len() > max || (self.closed_ids.len() > min && expired(&self.closed_ids)) {
            self.closed_ids.pop_front();
        }
    }

    /// Returns when the connection must be checked: a dial or greeting times out, an answer stalls, or the
    /// connection has been idle for too long.
    pub(super) fn deadline(&self, idle_timeout_ms: Millis) -> Option<Millis> {
        match self.connected_at {
            None if self.retired && self.outstanding.is_empty() => Some(self.idle_since),
            None => self.race.as_ref().map(DialRace::deadline),
            Some(_) if self.greeting_deadline.is_some() => self.greeting_deadline,
            Some(_) if self.paused => None,
            Some(_) if self.decoder.has_partial_frame() => Some(
                (self.last_received_at + ANSWER_STALL_MS).min(self.answer_started_at + ANSWER_TIMEOUT_MS),
            ),
            Some(_) if !self.outstanding.is_empty() || !self.output.is_empty() => None,
            Some(_) if self.retired => Some(self.idle_since),
            Some(_) => Some(self.idle_since + IDLE_TIMEOUT_SHARE * idle_timeout_ms),
        }
    }
}

impl Connection {
    pub(super) fn handle_frame(
        &mut self,
        now: Millis,
        frame: Vec<Vec<u8>>,
        verify_name: bool,
    ) -> Result<EndpointEvent, ProtocolError> {
        let mut frame = frame;
        // Taken out rather than copied, as it may be large.
        let body = if frame.len() == ANSWER_PARTS { frame.pop() } else { None };
        let [id, status, rest @ ..] = &frame[..] else {
            return Err(ProtocolError("answer with fewer than two parts"));
        };
        let id = std::str::from_utf8(id).map_err(|_| ProtocolError("answer id is not UTF-8"))?;
        // Nothing can be answered before it is completely written. Accepting such an answer would free the
        // id, which the frame would then open a second time.
        let answered = self.outstanding.get(id).filter(|open| open.progress == Progress::WrittenWhole);
        let Some(purpose) = answered.map(|open| open.purpose) else {
            let late = self.closed_ids.iter().any(|(closed, _)| closed == id);
            return Ok(if late { EndpointEvent::Late } else { EndpointEvent::Unknown });
        };
        let fields = match (purpose, rest, &body) {
            (Purpose::Probe | Purpose::Greeting, [], _) => &b"-"[..],
            (Purpose::Probe | Purpose::Greeting, [fields, ..], _) => &fields[..],
            (Purpose::Attempt(_), [fields], Some(_)) => &fields[..],
            _ => return Err(ProtocolError("answer with an unexpected number of parts")),
        };
        let fields =
            Fields(std::str::from_utf8(fields).map_err(|_| ProtocolError("answer fields are not UTF-8"))?);
        let report = fields.report();
        let outcome = match (purpose, status.as_slice()) {
            (Purpose::Probe | Purpose::Greeting, b"FIT") => Outcome::Ok,
            (Purpose::Probe | Purpose::Greeting, b"UNFIT") => Outcome::Error,
            (Purpose::Attempt(_), b"DONE" | b"KEEP") => Outcome::Ok,
            (Purpose::Attempt(_), b"LACK") => Outcome::Miss,
            (Purpose::Attempt(_), b"WAIT") => Outcome::Full,
            (Purpose::Attempt(_), b"BROKE") => Outcome::Error,
            (Purpose::Attempt(_), b"PAST") => Outcome::Moot,
            _ => return Err(ProtocolError("unknown answer status")),
        };
        if purpose == Purpose::Greeting && verify_name && fields.get("name") != Some(self.machine.as_str()) {
            return Err(WRONG_NAME);
        }
        self.outstanding.remove(id);
        self.close_id(now, id.to_owned());
        Ok(match purpose {
            Purpose::Greeting => {
                self.greeting_deadline = None;
                EndpointEvent::Greeted
            }
            Purpose::Probe => EndpointEvent::Probe(self.machine.clone(), outcome, report),
            Purpose::Attempt(attempt) => EndpointEvent::Answer(
                attempt,
                Answer {
                    outcome,
                    unchanged: status == b"KEEP",
                    body: body.unwrap_or_default(),
                    cache_status: fields.get("tell").and_then(parse_cache_status),
                    source_ttfb_ms: fields.number("took"),
                    report,
                },
            ),
        })
    }
}
