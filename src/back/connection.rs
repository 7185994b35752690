//! One connection: what is on it, how far that has come, and what its answers mean.

use super::wire::{note, Fields};
use super::{Heard, CROWDED, IDLE_SHARE, MAX_PAST, MUTE_MS, PAST_MS, STALL_MS, WHOLE_MS, WRONG_NAME};
use crate::addresses::{Book, Endpoint, Race};
use crate::api::*;
use crate::reducer::{Answer, AttemptKey, OutgoingRequest, Progress};
use crate::resp::{Decoder, Fault};
use std::collections::{HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum What {
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
    pub(super) opens: Option<String>,
    /// It must not be repeated: what it shares a connection with could cost it its answer.
    pub(super) alone: bool,
    /// How often it has moved on from a connection that closed.
    pub(super) moves: u8,
}

#[derive(Debug)]
pub(super) struct Link {
    pub(super) member: CacheId,
    /// The way it goes, once it is up.
    pub(super) endpoint: Option<Endpoint>,
    /// The dials for it, until it is up.
    pub(super) race: Option<Race>,
    pub(super) dialed: Millis,
    pub(super) up: Option<Millis>,
    /// It carries nothing until its machine has answered a greeting, for which it waits until then.
    pub(super) greeting: Option<Millis>,
    /// It is there to see whether this path works, until something is answered on it.
    pub(super) trial: Option<Endpoint>,
    /// Its silence was told to the book.
    pub(super) blamed: bool,
    pub(super) retired: bool,
    /// Since when something asked whole has met no sound at all.
    pub(super) unheard: Option<Millis>,
    /// Since when it carries nothing.
    pub(super) idle: Millis,
    pub(super) out: VecDeque<Frame>,
    pub(super) written: usize,
    pub(super) open: HashMap<String, Open>,
    /// Ids that are no longer open, and since when.
    pub(super) past: VecDeque<(String, Millis)>,
    pub(super) decoder: Decoder,
    /// When something last came.
    pub(super) heard: Millis,
    /// When the answer that is coming began to.
    pub(super) begun: Millis,
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Open {
    pub(super) what: What,
    pub(super) progress: Progress,
    pub(super) alone: bool,
}

impl Link {
    pub(super) fn mute(&self, now: Millis) -> bool {
        self.unheard.is_some_and(|since| now - since > MUTE_MS)
    }

    pub(super) fn takes(&self, now: Millis, book: &Book, id: &str, streams: usize) -> bool {
        let way = match (&self.trial, &self.endpoint) {
            // One request at a time shows whether a path works again.
            (Some(tried), Some(_)) => {
                self.greeting.is_none() && self.open.is_empty() && book.own(now, &self.member, tried)
            }
            (Some(_), None) => false,
            (None, Some(endpoint)) => book.takes(now, &self.member, endpoint),
            (None, None) => true,
        };
        let free = self.open.len() < streams && !self.open.contains_key(id);
        let fresh = !self.past.iter().any(|(past, _)| past == id); // Its late answer would be taken for ours.
        free && fresh && way && !self.retired && !self.mute(now)
    }

    /// Whether one more had better go elsewhere.
    pub(super) fn full(&self, alone: bool) -> bool {
        let most = if alone || self.open.values().any(|open| open.alone) { 1 } else { CROWDED };
        self.open.len() >= most
    }

    /// An id is no longer open: what still comes under it is no answer to a later request.
    pub(super) fn over(&mut self, now: Millis, id: String) {
        self.past.push_back((id, now));
        let [least, most] = MAX_PAST;
        let old = |past: &VecDeque<(String, Millis)>| past.front().is_some_and(|(_, at)| now - at > PAST_MS);
        while self.past.len() > most || (self.past.len() > least && old(&self.past)) {
            self.past.pop_front();
        }
    }

    /// When it is to be looked at: a dial takes too long, an answer stops short, or it has been idle.
    pub(super) fn due(&self, idle_ms: Millis) -> Option<Millis> {
        match self.up {
            None if self.retired && self.open.is_empty() => Some(self.idle),
            None => self.race.as_ref().map(Race::due),
            Some(_) if self.greeting.is_some() => self.greeting,
            Some(_) if self.decoder.midway() => Some((self.heard + STALL_MS).min(self.begun + WHOLE_MS)),
            Some(_) if !self.open.is_empty() || !self.out.is_empty() => None,
            Some(_) if self.retired => Some(self.idle),
            Some(_) => Some(self.idle + IDLE_SHARE * idle_ms),
        }
    }
}

impl Link {
    pub(super) fn frame(&mut self, now: Millis, frame: &[Vec<u8>], named: bool) -> Result<Heard, Fault> {
        let [id, word, rest @ ..] = frame else { return Err(Fault("an answer is cut short")) };
        let id = std::str::from_utf8(id).map_err(|_| Fault("an id can't be read"))?;
        // An answer to what has not left whole is none: its frame would go on to open the id a second time.
        let asked = self.open.get(id).filter(|open| open.progress == Progress::WrittenWhole);
        let Some(what) = asked.map(|open| open.what) else {
            let late = self.past.iter().any(|(past, _)| past == id);
            return Ok(if late { Heard::Late } else { Heard::Unknown });
        };
        let (fields, body) = match (what, rest) {
            (What::Probe | What::Greeting, []) => (&b"-"[..], None),
            (What::Probe | What::Greeting, [fields, ..]) => (&fields[..], None),
            (What::Attempt(_), [fields, body]) => (&fields[..], Some(body)),
            _ => return Err(Fault("an answer has other parts")),
        };
        let fields = Fields(std::str::from_utf8(fields).map_err(|_| Fault("fields can't be read"))?);
        let report = fields.report();
        let outcome = match (what, word.as_slice()) {
            (What::Probe | What::Greeting, b"FIT") => Outcome::Ok,
            (What::Probe | What::Greeting, b"UNFIT") => Outcome::Error,
            (What::Attempt(_), b"DONE" | b"KEEP") => Outcome::Ok,
            (What::Attempt(_), b"LACK") => Outcome::Miss,
            (What::Attempt(_), b"WAIT") => Outcome::Full,
            (What::Attempt(_), b"BROKE") => Outcome::Error,
            (What::Attempt(_), b"PAST") => Outcome::Moot,
            _ => return Err(Fault("an answer says nothing that is known")),
        };
        if what == What::Greeting && named && fields.get("name") != Some(self.member.as_str()) {
            return Err(WRONG_NAME);
        }
        self.open.remove(id);
        self.over(now, id.to_owned());
        Ok(match what {
            What::Greeting => {
                self.greeting = None;
                Heard::Greeted
            }
            What::Probe => Heard::Probe(self.member.clone(), outcome, report),
            What::Attempt(attempt) => Heard::Answer(
                attempt,
                Answer {
                    outcome,
                    body: body.cloned().unwrap_or_default(),
                    unchanged: word == b"KEEP",
                    cache_status: fields.get("tell").and_then(note),
                    source_ttfb_ms: fields.number("took"),
                    report,
                },
            ),
        })
    }
}
