//! Connections to machines: what is on which, how far it has come, and which answer is whose.
//!
//! Where a machine may be reached is [`crate::addresses`]'s: a connection begins as a race of dials and goes on
//! over the one that was up first. Frames wait for that, so that no byte is ever on a loser.

mod connection;
mod dials;
mod wire;

use crate::addresses::{Book, DialKey, Endpoint, Failure, Listing, Rules};
use crate::api::*;
use crate::reasons::EndpointClose;
use crate::reducer::{Answer, AttemptKey, OutgoingRequest, Progress};
use crate::resp::{self, Fault};
use connection::{Frame, Link, Open, What};
use dials::left;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::{limit as request_limit, request};

/// A connection with something out that has said nothing for so long gets nothing more: its machine may have
/// vanished, which nobody tells. A new connection shows it.
const MUTE_MS: Millis = 500.0;
/// An answer that has begun comes to its end without a longer pause than that: machines send it once they have it.
/// One that stops short will never be whole, and hides all that would follow it.
const STALL_MS: Millis = 300.0;
/// Nor does one take longer than that in all: a few bytes now and then would otherwise hide what follows for ever.
const WHOLE_MS: Millis = 1000.0;
/// Times that an unsent attempt moves on when its connection closes.
const MAX_MOVES: u8 = 3;
/// Attempts on one connection from which another is opened beside it, and connections to one machine. One spoilt
/// answer ends its connection with all that is on it, so few share one.
const CROWDED: usize = 2;
const MAX_LINKS: usize = 8;
/// Part of all connections from which no further one is opened beside others.
const FURTHER: f64 = 0.75;
/// Part of the machines' idle time after which a connection is closed from this side, before a request can
/// cross the close from theirs.
const IDLE_SHARE: f64 = 0.8;
/// A machine that has no other way says its name within that, or who answers there isn't known.
const GREET_MS: Millis = 500.0;
/// Ids given up or answered under which something may still be on its way: how many are kept at least, as long as they
/// are young, and at most. A request's id comes back with each of its attempts.
const MAX_PAST: [usize; 2] = [64, 1024];
const PAST_MS: Millis = 10_000.0;

/// What a greeting was answered with by another machine than the one that was meant.
pub const WRONG_NAME: Fault = Fault("another machine answers there");

/// A connection's number, never used again.
pub type LinkKey = u64;

/// What a connection brings.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    /// An attempt's answer.
    Answer(AttemptKey, Answer),
    /// A probe's.
    Probe(CacheId, Outcome, LoadReport),
    /// One that was given up, or another copy of one that has come.
    Late,
    /// One whose id isn't known.
    Unknown,
    /// The machine has answered the greeting: the connection may carry work. Stays inside.
    Greeted,
}

/// What was on a connection that has ended.
#[derive(Debug, Default, PartialEq)]
pub struct Ended {
    /// Attempts that are lost with it, and how far each had come.
    pub lost: Vec<(AttemptKey, Progress)>,
    /// Probes that are.
    pub probes: Vec<CacheId>,
    /// The connections on which the rest goes on: it was up, and no byte of them had left.
    pub moved: BTreeSet<LinkKey>,
    /// Dials for it that are to be closed.
    pub dials: Vec<DialKey>,
    /// Ways that are left alone for it.
    pub left: Vec<Leave>,
}

/// Why something was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// There is no room for another connection: that says nothing about the machine.
    NoRoom,
    /// No address is known that is its own now.
    NoPath,
}

/// How a dial ended without a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEnd {
    /// The path is at fault.
    Failed(Failure),
    /// No route leads there just now.
    Unreachable,
    /// This machine lacked something for it: that says nothing about the path.
    NoRoom,
}

/// What is to be done about dials.
#[derive(Clone, Debug, PartialEq)]
pub enum Dialling {
    /// Dial for a connection.
    Start(LinkKey, DialKey, Endpoint),
    /// Close one that isn't wanted any more.
    Close(DialKey),
    /// A path is left alone until then.
    Left(Leave),
}

/// A path that is left alone.
#[derive(Clone, Debug, PartialEq)]
pub struct Leave {
    /// Whose.
    pub member: CacheId,
    /// Which.
    pub endpoint: Endpoint,
    /// Why.
    pub why: Failure,
    /// For how long.
    pub pause_ms: Millis,
}

/// All connections to machines.
#[derive(Debug)]
pub struct Links {
    links: BTreeMap<LinkKey, Link>,
    book: Book,
    /// Connections that aren't up.
    racing: BTreeSet<LinkKey>,
    next_dial: DialKey,
    on: HashMap<AttemptKey, (LinkKey, String)>,
    next: LinkKey,
    next_probe: u64,
    dial_ms: Millis,
    idle_ms: Millis,
    streams: usize,
    most: usize,
}

impl Links {
    /// None yet. `most` bounds them all.
    pub fn new(dial_ms: Millis, idle_ms: Millis, streams: usize, most: usize) -> Self {
        Self::with_rules(dial_ms, idle_ms, streams, most, None, 0)
    }

    /// As [`Links::new`], with several addresses to a machine; `seed` draws the jitter of pauses.
    pub fn with_rules(
        dial_ms: Millis,
        idle_ms: Millis,
        streams: usize,
        most: usize,
        rules: Option<Rules>,
        seed: u64,
    ) -> Self {
        Self {
            links: BTreeMap::new(),
            book: Book::new(rules, seed),
            racing: BTreeSet::new(),
            next_dial: 0,
            on: HashMap::new(),
            next: 0,
            next_probe: 0,
            dial_ms,
            idle_ms,
            streams: streams.max(1),
            most,
        }
    }

    /// The notice board has spoken of a machine.
    pub fn list(&mut self, member: &CacheId, listing: Listing) {
        self.book.list(member, listing);
        self.refresh(Some(member));
    }

    /// A machine is forgotten.
    pub fn forget(&mut self, member: &CacheId) {
        self.book.forget(member);
        self.refresh(Some(member));
    }

    /// Takes over other rules: connections over ways that are gone end once they carry nothing.
    pub fn set_rules(&mut self, rules: Option<Rules>) {
        self.book.set_rules(rules);
        self.refresh(None);
    }

    /// What is known of the ways to machines.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Connections over ways that are gone are retired.
    fn refresh(&mut self, member: Option<&CacheId>) {
        let concerned = |link: &&mut Link| member.is_none_or(|member| link.member == *member);
        for link in self.links.values_mut().filter(concerned) {
            let gone = link.endpoint.as_ref().is_some_and(|e| !self.book.lists(&link.member, e));
            link.retired |= gone;
        }
    }

    /// Takes over another bound on all connections; those beyond it end as they fall idle.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Queues an attempt. The connection, and whether it is new, so that [`Links::poll`] has it dialled.
    pub fn send(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        member: &CacheId,
        call: &OutgoingRequest,
    ) -> Result<(LinkKey, bool), Unsent> {
        let id = call.request.id.clone();
        let frame = Frame {
            bytes: request(call, call.fetch.timeout_ms),
            call: Some(call.clone()),
            opens: Some(id),
            alone: call.exclusive_connection,
            moves: 0,
        };
        self.queue(now, What::Attempt(attempt), member, frame, true)
    }

    /// Queues a probe; as [`Links::send`].
    pub fn probe(&mut self, now: Millis, member: &CacheId) -> Result<(LinkKey, bool), Unsent> {
        self.next_probe += 1;
        let tag = format!("probe{}", self.next_probe);
        let bytes = resp::frame(&[b"STAT", tag.as_bytes()]);
        let frame = Frame { bytes, call: None, opens: Some(tag), alone: false, moves: 0 };
        self.queue(now, What::Probe, member, frame, true)
    }

    fn queue(
        &mut self,
        now: Millis,
        what: What,
        member: &CacheId,
        frame: Frame,
        old_will_do: bool,
    ) -> Result<(LinkKey, bool), Unsent> {
        let id = frame.opens.clone().unwrap_or_default();
        let own = || self.links.iter().filter(|(_, link)| link.member == *member);
        let (mut count, mut racing) = (0, 0);
        for (_, link) in own() {
            (count, racing) = (count + 1, racing + usize::from(link.up.is_none()));
        }
        let will_do = |link: &Link| old_will_do || link.up.is_none();
        // What must not be repeated is no trial.
        let suits = |link: &Link| will_do(link) && !(frame.alone && link.trial.is_some());
        let fits = own().filter(|(_, link)| suits(link) && link.takes(now, &self.book, &id, self.streams));
        // One on trial goes first. One that is up goes before one that is dialled, a better way before a worse
        // one, so that those fall idle once it is back, and the less it carries the better; but a crowded one
        // comes last, or each further attempt would have one more dialled.
        let full = |link: &Link| link.full(frame.alone);
        let rank = |l: &Link| l.endpoint.as_ref().map_or(0, |endpoint| self.book.rank(member, endpoint));
        let best = fits.min_by_key(|(_, l)| {
            (l.trial.is_none(), full(l), !full(l) && l.up.is_none(), rank(l), l.open.len())
        });
        let best = best.map(|(key, link)| (*key, full(link)));
        // Further connections leave room for first ones to machines that come; at the bound one that rests
        // makes it. Nor are more dialled at once than there are dials to be had.
        let beside = count < MAX_LINKS
            && (self.links.len() as f64) < FURTHER * self.most as f64
            && (racing == 0 || racing < self.book.most_races(now, member));
        let (key, new) = match best {
            Some((key, crowded)) if !(crowded && beside) => (key, false),
            None if self.links.len() >= self.most && !self.rest_one(now) => return Err(Unsent::NoRoom),
            _ => {
                let candidates = self.book.candidates(now, member);
                if candidates.is_empty() {
                    return Err(Unsent::NoPath);
                }
                (self.open(now, member, candidates, false), true)
            }
        };
        let Some(link) = self.links.get_mut(&key) else { return Err(Unsent::NoRoom) };
        if let What::Attempt(attempt) = what {
            self.on.insert(attempt, (key, id.clone()));
        }
        link.open.insert(id, Open { what, progress: Progress::NotConnected, alone: frame.alone });
        link.out.push_back(frame);
        Ok((key, new))
    }

    /// Has the longest idle connection closed; false if none is idle.
    fn rest_one(&mut self, now: Millis) -> bool {
        let idle = |link: &&mut Link| link.up.is_some() && link.open.is_empty() && link.out.is_empty();
        let idle = self.links.values_mut().filter(idle).filter(|link| !link.retired);
        let first = idle.min_by(|a, b| a.idle.total_cmp(&b.idle));
        first.map(|link| (link.retired, link.idle) = (true, link.idle.min(now))).is_some()
    }

    /// Gives an attempt up: takes it from the queue if no byte has left, else tells the machine. The
    /// connection that has something to write.
    pub fn stop(&mut self, now: Millis, attempt: AttemptKey) -> Option<LinkKey> {
        let (key, id) = self.on.remove(&attempt)?;
        let link = self.links.get_mut(&key)?;
        if link.open.remove(&id)?.progress == Progress::NotConnected {
            link.out.retain(|frame| frame.opens.as_ref() != Some(&id));
        } else {
            let bytes = resp::frame(&[b"STOP", id.as_bytes()]);
            link.out.push_back(Frame { bytes, call: None, opens: None, alone: false, moves: 0 });
            link.over(now, id);
        }
        link.idle = now;
        Some(key)
    }

    /// Whether a connection is up.
    pub fn is_up(&self, key: LinkKey) -> bool {
        self.links.get(&key).is_some_and(|link| link.up.is_some())
    }

    /// Whether nothing but unsent frames is on it, so that it may have been closed unseen.
    pub fn rested(&self, key: LinkKey) -> bool {
        let sent =
            |link: &Link| link.written > 0 || link.open.values().any(|o| o.progress > Progress::NotConnected);
        self.links.get(&key).is_some_and(|link| !sent(link))
    }

    /// The attempt whose frame is next to be written, and no byte of which has left: it may still be withheld.
    pub fn unbegun(&self, key: LinkKey) -> Option<AttemptKey> {
        let link = self.links.get(&key).filter(|link| link.up.is_some() && link.written == 0)?;
        let id = link.out.front()?.opens.as_ref()?;
        match link.open.get(id)?.what {
            What::Attempt(attempt) => Some(attempt),
            What::Probe | What::Greeting => None, // They are nobody's request.
        }
    }

    /// The next frame may begin to leave, with this as its attempt's time.
    pub fn begin(&mut self, key: LinkKey, limit_ms: Millis) {
        let Some(frame) = self.links.get_mut(&key).and_then(|link| link.out.front_mut()) else { return };
        if let Some(call) = &frame.call {
            if request_limit(call.fetch.timeout_ms) != request_limit(limit_ms) {
                frame.bytes = request(call, limit_ms);
            }
        }
    }

    /// Takes the next frame back, no byte of which has left.
    pub fn withhold(&mut self, now: Millis, key: LinkKey) {
        let Some(link) = self.links.get_mut(&key).filter(|link| link.written == 0) else { return };
        let Some(frame) = link.out.pop_front() else { return };
        link.idle = now;
        let open = frame.opens.and_then(|id| link.open.remove(&id));
        if let Some(What::Attempt(attempt)) = open.map(|open| open.what) {
            self.on.remove(&attempt);
        }
    }

    /// The next bytes to write.
    pub fn output(&self, key: LinkKey) -> Option<&[u8]> {
        let link = self.links.get(&key).filter(|link| link.up.is_some())?;
        let greets = |frame: &&Frame| {
            let id = frame.opens.as_ref().and_then(|id| link.open.get(id));
            link.greeting.is_none() || id.is_some_and(|open| open.what == What::Greeting)
        };
        link.out.front().filter(greets).map(|frame| &frame.bytes[link.written..])
    }

    /// So many of them have been written; the attempt that has come further by it.
    pub fn wrote(&mut self, now: Millis, key: LinkKey, bytes: usize) -> Option<(AttemptKey, Progress)> {
        let link = self.links.get_mut(&key)?;
        link.written += bytes;
        let frame = link.out.front()?;
        let whole = link.written >= frame.bytes.len();
        let progress = if whole { Progress::WrittenWhole } else { Progress::PartlyWritten };
        let open = frame.opens.as_ref().and_then(|id| link.open.get_mut(id));
        let what = open.map(|open| {
            open.progress = progress;
            open.what
        });
        if whole {
            link.unheard = link.unheard.or(frame.opens.as_ref().map(|_| now));
            link.out.pop_front();
            link.written = 0;
        }
        match what {
            Some(What::Attempt(attempt)) => Some((attempt, progress)),
            _ => None,
        }
    }

    /// Takes bytes in. After a fault the connection is to be closed.
    pub fn receive(&mut self, now: Millis, key: LinkKey, bytes: &[u8]) -> (Vec<Heard>, Option<Fault>) {
        let mut heard = Vec::new();
        let Some(link) = self.links.get_mut(&key) else { return (heard, None) };
        // The bytes behind a whole frame came with its last ones, now.
        let (mut begins, mut answered) = (!link.decoder.midway(), false);
        link.decoder.feed(bytes);
        let fault = loop {
            let frame = link.decoder.next_frame();
            begins |= matches!(frame, Ok(Some(_)));
            match frame {
                Ok(Some(frame)) => {
                    match link.frame(now, &frame, self.book.rules().is_some_and(|r| r.names)) {
                        Ok(Heard::Greeted) => {}
                        Ok(one) => {
                            answered |= matches!(one, Heard::Answer(..) | Heard::Probe(..));
                            if let Heard::Answer(attempt, _) = &one {
                                self.on.remove(attempt);
                            }
                            heard.push(one);
                        }
                        Err(fault) => break Some(fault),
                    }
                }
                Ok(None) => break None,
                Err(fault) => break Some(fault),
            }
        };
        if let Some(endpoint) = link.endpoint.as_ref().filter(|_| answered) {
            self.book.answered(now, &link.member, endpoint);
            (link.blamed, link.trial) = (false, None);
        }
        (link.idle, link.heard) = (now, now);
        link.begun = if begins { now } else { link.begun };
        let out = link.open.values().any(|open| open.progress == Progress::WrittenWhole);
        link.unheard = out.then_some(now);
        (heard, fault)
    }

    /// A connection has ended, or never came up. What had not begun to leave one that was up moves on to
    /// another: nothing is known against the machine. `blame` is what it says about its path.
    pub fn down(&mut self, now: Millis, key: LinkKey, blame: Option<Failure>) -> Ended {
        let mut ended = Ended::default();
        let Some(mut link) = self.links.remove(&key) else { return ended };
        self.racing.remove(&key);
        ended.dials =
            link.race.as_ref().map_or(Vec::new(), |race| race.open().iter().map(|d| d.key).collect());
        if let Some(race) = link.race.as_ref().filter(|_| !link.retired) {
            for dial in race.open() {
                ended.left.extend(left(&mut self.book, now, &link.member, &dial.endpoint, Failure::NotUp));
            }
        }
        if let Some(endpoint) = &link.endpoint {
            if let Some(why) = blame {
                ended.left.extend(left(&mut self.book, now, &link.member, endpoint, why));
            }
        }
        if let Some(tried) = &link.trial {
            self.book.untried(now, &link.member, tried);
        }
        // Another connection that is up may be as dead, unless it goes another way.
        let other_way =
            link.endpoint.as_ref().is_some_and(|endpoint| !self.book.takes(now, &link.member, endpoint));
        for (id, Open { what, progress, .. }) in std::mem::take(&mut link.open) {
            if link.up.is_some() && progress == Progress::NotConnected && what != What::Greeting {
                let frame = link.out.iter().position(|frame| frame.opens.as_ref() == Some(&id));
                let frame = frame.and_then(|at| link.out.remove(at)).filter(|frame| frame.moves < MAX_MOVES);
                if let Some(mut frame) = frame {
                    frame.moves += 1;
                    if let Ok((to, _)) = self.queue(now, what, &link.member, frame, other_way) {
                        ended.moved.insert(to);
                        continue;
                    }
                }
            }
            match what {
                What::Attempt(attempt) => {
                    self.on.remove(&attempt);
                    ended.lost.push((attempt, progress));
                }
                What::Probe => ended.probes.push(link.member.clone()),
                What::Greeting => {}
            }
        }
        ended.lost.sort_unstable();
        ended
    }

    /// The connection that an attempt is on.
    pub fn carrier(&self, attempt: AttemptKey) -> Option<LinkKey> {
        self.on.get(&attempt).map(|(key, _)| *key)
    }

    /// Where a connection leads, once it is up.
    pub fn endpoint(&self, key: LinkKey) -> Option<&Endpoint> {
        self.links.get(&key)?.endpoint.as_ref()
    }

    /// Whose a connection is.
    pub fn member(&self, key: LinkKey) -> Option<&CacheId> {
        self.links.get(&key).map(|link| &link.member)
    }

    /// Dials that are open for a connection, and where they lead.
    pub fn dials(&self, key: LinkKey) -> Vec<(DialKey, Endpoint)> {
        let race = self.links.get(&key).and_then(|link| link.race.as_ref());
        race.map_or(Vec::new(), |race| race.open().iter().map(|d| (d.key, d.endpoint.clone())).collect())
    }

    /// A machine leaves: its connections end once they carry nothing.
    pub fn retire(&mut self, member: &CacheId) {
        self.links.values_mut().filter(|link| link.member == *member).for_each(|link| link.retired = true);
    }

    /// Connections to a machine that were dialled before it started anew.
    pub fn older(&self, member: &CacheId, at: Millis) -> Vec<LinkKey> {
        let old = self.links.iter().filter(|(_, link)| link.member == *member && link.dialed < at);
        old.map(|(key, _)| *key).collect()
    }

    /// Connections that are due to be closed, and why.
    pub fn expired(&self, now: Millis) -> Vec<(LinkKey, EndpointClose)> {
        let due = |link: &Link| {
            let empty = link.open.is_empty() && link.out.is_empty();
            let passed = link.due(self.idle_ms).is_some_and(|at| at <= now);
            match link.up {
                None if link.retired && empty => Some(EndpointClose::NotNeeded),
                None => {
                    link.race.as_ref().filter(|race| race.over(now)).map(|race| match race.lacks_room() {
                        true => EndpointClose::NoRoom,
                        false => EndpointClose::ConnectTimeout,
                    })
                }
                Some(_) if link.greeting.is_some() => passed.then_some(EndpointClose::NoGreeting),
                Some(_) if link.decoder.midway() => passed.then_some(EndpointClose::Stalled),
                Some(_) => (passed || (empty && link.mute(now))).then_some(EndpointClose::Idle),
            }
        };
        self.links.iter().filter_map(|(key, link)| Some((*key, due(link)?))).collect()
    }

    /// When to look for expired ones, mute ones and dials next.
    pub fn next_due(&self) -> Option<Millis> {
        let links = self.links.values().filter_map(|link| link.due(self.idle_ms)).reduce(f64::min);
        let rules = self.book.rules();
        let unheard =
            || self.links.values().filter(|l| l.up.is_some() && !l.blamed).filter_map(|l| l.unheard);
        let mute = rules.and_then(|_| unheard().map(|since| since + MUTE_MS + 1.0).reduce(f64::min));
        [links, mute, self.book.next_due()].into_iter().flatten().reduce(f64::min)
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.links.len()
    }
}
