//! One connection: what is on it, how far that has come, and what its answers mean.

use super::wire::{parse_note, Fields};
use super::{
    EndpointEvent, ANSWER_STALL_MS, ANSWER_TIMEOUT_MS, CLOSED_IDS_KEPT, CLOSED_ID_LIFETIME_MS,
    CROWDED_ATTEMPTS, IDLE_TIMEOUT_SHARE, UNRESPONSIVE_MS, WRONG_NAME,
};
use crate::addresses::{AddressTable, DialRace, Endpoint};
use crate::api::*;
use crate::reducer::{Answer, AttemptKey, OutgoingRequest, Progress};
use crate::resp::{Decoder, ProtocolError};
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Purpose {
    Attempt(AttemptKey),
    Probe,
    /// Who is there, and whether it answers at all.
    Greeting,
}

#[derive(Clone, Debug)]
pub(super) struct Frame {
    pub(super) bytes: Vec<u8>,
    /// What it says, if it is a request's: its time is worded anew as it leaves.
    pub(super) call: Option<OutgoingRequest>,
    /// The id it opens; a STOP opens none.
    pub(super) opens_id: Option<String>,
    /// It must not be repeated: what it shares a connection with could cost it its answer.
    pub(super) alone: bool,
    /// How often it has moved on from a connection that closed.
    pub(super) moves: u8,
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) machine: CacheId,
    /// The way it goes, once it is up.
    pub(super) endpoint: Option<Endpoint>,
    /// The dials for it, until it is up.
    pub(super) race: Option<DialRace>,
    pub(super) dialed_at: Millis,
    pub(super) connected_at: Option<Millis>,
    /// It carries nothing until its machine has answered a greeting, for which it waits until then.
    pub(super) greeting_deadline: Option<Millis>,
    /// It is there to see whether this path works, until something is answered on it.
    pub(super) trial: Option<Endpoint>,
    /// Its silence was told to the book.
    pub(super) silence_reported: bool,
    pub(super) retired: bool,
    /// Since when something asked whole has met no sound at all.
    pub(super) silent_since: Option<Millis>,
    /// Since when it carries nothing.
    pub(super) idle_since: Millis,
    pub(super) output: VecDeque<Frame>,
    pub(super) written: usize,
    pub(super) outstanding: HashMap<String, Outstanding>,
    /// Ids that are no longer open, and since when.
    pub(super) closed_ids: VecDeque<(String, Millis)>,
    pub(super) decoder: Decoder,
    /// When something last came.
    pub(super) last_received_at: Millis,
    /// When the answer that is coming began to.
    pub(super) answer_started_at: Millis,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Outstanding {
    pub(super) purpose: Purpose,
    pub(super) progress: Progress,
    pub(super) alone: bool,
}

impl Connection {
    pub(super) fn is_unresponsive(&self, now: Millis) -> bool {
        self.silent_since.is_some_and(|since| now - since > UNRESPONSIVE_MS)
    }

    pub(super) fn accepts(&self, now: Millis, addresses: &AddressTable, id: &str, streams: usize) -> bool {
        let may_use = match (&self.trial, &self.endpoint) {
            // One request at a time shows whether a path works again.
            (Some(tried), Some(_)) => {
                self.greeting_deadline.is_none()
                    && self.outstanding.is_empty()
                    && addresses.may_dial(now, &self.machine, tried)
            }
            (Some(_), None) => false,
            (None, Some(endpoint)) => addresses.accepts_requests(now, &self.machine, endpoint),
            (None, None) => true,
        };
        let free = self.outstanding.len() < streams && !self.outstanding.contains_key(id);
        let fresh = !self.closed_ids.iter().any(|(past, _)| past == id); // Its late answer would be taken for ours.
        free && fresh && may_use && !self.retired && !self.is_unresponsive(now)
    }

    /// Whether one more had better go elsewhere.
    pub(super) fn is_crowded(&self, alone: bool) -> bool {
        let max =
            if alone || self.outstanding.values().any(|open| open.alone) { 1 } else { CROWDED_ATTEMPTS };
        self.outstanding.len() >= max
    }

    /// An id is no longer open: what still comes under it is no answer to a later request.
    pub(super) fn close_id(&mut self, now: Millis, id: String) {
        self.closed_ids.push_back((id, now));
        let [min, max] = CLOSED_IDS_KEPT;
        let old = |past: &VecDeque<(String, Millis)>| {
            past.front().is_some_and(|(_, at)| now - at > CLOSED_ID_LIFETIME_MS)
        };
        while self.closed_ids.len() > max || (self.closed_ids.len() > min && old(&self.closed_ids)) {
            self.closed_ids.pop_front();
        }
    }

    /// When it is to be looked at: a dial takes too long, an answer stops short, or it has been idle.
    pub(super) fn deadline(&self, idle_ms: Millis) -> Option<Millis> {
        match self.connected_at {
            None if self.retired && self.outstanding.is_empty() => Some(self.idle_since),
            None => self.race.as_ref().map(DialRace::deadline),
            Some(_) if self.greeting_deadline.is_some() => self.greeting_deadline,
            Some(_) if self.decoder.has_partial_frame() => Some(
                (self.last_received_at + ANSWER_STALL_MS).min(self.answer_started_at + ANSWER_TIMEOUT_MS),
            ),
            Some(_) if !self.outstanding.is_empty() || !self.output.is_empty() => None,
            Some(_) if self.retired => Some(self.idle_since),
            Some(_) => Some(self.idle_since + IDLE_TIMEOUT_SHARE * idle_ms),
        }
    }
}

impl Connection {
    pub(super) fn handle_frame(
        &mut self,
        now: Millis,
        frame: &[Vec<u8>],
        verify_name: bool,
    ) -> Result<EndpointEvent, ProtocolError> {
        let [id, status, rest @ ..] = frame else { return Err(ProtocolError("an answer is cut short")) };
        let id = std::str::from_utf8(id).map_err(|_| ProtocolError("an id can't be read"))?;
        // An answer to what has not left whole is none: its frame would go on to open the id a second time.
        let asked = self.outstanding.get(id).filter(|open| open.progress == Progress::WrittenWhole);
        let Some(purpose) = asked.map(|open| open.purpose) else {
            let late = self.closed_ids.iter().any(|(past, _)| past == id);
            return Ok(if late { EndpointEvent::Late } else { EndpointEvent::Unknown });
        };
        let (fields, body) = match (purpose, rest) {
            (Purpose::Probe | Purpose::Greeting, []) => (&b"-"[..], None),
            (Purpose::Probe | Purpose::Greeting, [fields, ..]) => (&fields[..], None),
            (Purpose::Attempt(_), [fields, body]) => (&fields[..], Some(body)),
            _ => return Err(ProtocolError("an answer has other parts")),
        };
        let fields = Fields(std::str::from_utf8(fields).map_err(|_| ProtocolError("fields can't be read"))?);
        let report = fields.report();
        let outcome = match (purpose, status.as_slice()) {
            (Purpose::Probe | Purpose::Greeting, b"FIT") => Outcome::Ok,
            (Purpose::Probe | Purpose::Greeting, b"UNFIT") => Outcome::Error,
            (Purpose::Attempt(_), b"DONE" | b"KEEP") => Outcome::Ok,
            (Purpose::Attempt(_), b"LACK") => Outcome::Miss,
            (Purpose::Attempt(_), b"WAIT") => Outcome::Full,
            (Purpose::Attempt(_), b"BROKE") => Outcome::Error,
            (Purpose::Attempt(_), b"PAST") => Outcome::Moot,
            _ => return Err(ProtocolError("an answer says nothing that is known")),
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
                    body: body.cloned().unwrap_or_default(),
                    unchanged: status == b"KEEP",
                    cache_status: fields.get("tell").and_then(parse_note),
                    source_ttfb_ms: fields.number("took"),
                    report,
                },
            ),
        })
    }
}
