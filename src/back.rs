//! Connections to machines: what is on which, how far it has come, and which answer is whose.
//!
//! Where a machine may be reached is [`crate::addresses`]'s: a connection begins as a race of dials and goes on
//! over the one that was up first. Frames wait for that, so that no byte is ever on a loser.

use crate::addresses::{Book, DialKey, Endpoint, Failure, Listing, Race, Rules, Step};
use crate::api::*;
use crate::config;
use crate::reducer::{Answer, AttemptKey, Call, Progress};
use crate::resp::{self, Decoder, Fault};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

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
/// Ids given up or answered under which something may still be on its way.
const MAX_PAST: usize = 64;

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

#[derive(Clone, Copy, Debug, PartialEq)]
enum What {
    Attempt(AttemptKey),
    Probe,
    /// Who is there, and whether it answers at all.
    Greeting,
}

#[derive(Debug)]
struct Frame {
    bytes: Vec<u8>,
    /// The id it opens; a STOP opens none.
    opens: Option<String>,
    /// It must not be repeated: what it shares a connection with could cost it its answer.
    alone: bool,
    /// How often it has moved on from a connection that closed.
    moves: u8,
}

#[derive(Debug)]
struct Link {
    member: CacheId,
    /// The way it goes, once it is up.
    endpoint: Option<Endpoint>,
    /// The dials for it, until it is up.
    race: Option<Race>,
    dialed: Millis,
    up: Option<Millis>,
    /// It carries nothing until its machine has answered a greeting, for which it waits until then.
    greeting: Option<Millis>,
    /// It is there to see whether this path works, until something is answered on it.
    trial: Option<Endpoint>,
    /// Its silence was told to the book.
    blamed: bool,
    retired: bool,
    /// Since when something asked whole has met no sound at all.
    unheard: Option<Millis>,
    /// Since when it carries nothing.
    idle: Millis,
    out: VecDeque<Frame>,
    written: usize,
    open: HashMap<String, Open>,
    /// Ids that are no longer open.
    past: VecDeque<String>,
    decoder: Decoder,
    /// When something last came.
    heard: Millis,
    /// When the answer that is coming began to.
    begun: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    what: What,
    progress: Progress,
    alone: bool,
}

impl Link {
    fn mute(&self, now: Millis) -> bool {
        self.unheard.is_some_and(|since| now - since > MUTE_MS)
    }

    fn takes(&self, now: Millis, book: &Book, id: &str, streams: usize) -> bool {
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
        let fresh = !self.past.iter().any(|past| past == id); // Its late answer would be taken for ours.
        free && fresh && way && !self.retired && !self.mute(now)
    }

    /// Whether one more had better go elsewhere.
    fn full(&self, alone: bool) -> bool {
        let most = if alone || self.open.values().any(|open| open.alone) { 1 } else { CROWDED };
        self.open.len() >= most
    }

    /// An id is no longer open: what still comes under it is no answer to a later request.
    fn over(&mut self, id: String) {
        self.past.push_back(id);
        if self.past.len() > MAX_PAST {
            self.past.pop_front();
        }
    }

    /// When it is to be looked at: a dial takes too long, an answer stops short, or it has been idle.
    fn due(&self, idle_ms: Millis) -> Option<Millis> {
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
        call: &Call,
    ) -> Result<(LinkKey, bool), Unsent> {
        let id = call.ask.id.clone();
        let frame = Frame { bytes: request(call), opens: Some(id), alone: call.alone, moves: 0 };
        self.queue(now, What::Attempt(attempt), member, frame, true)
    }

    /// Queues a probe; as [`Links::send`].
    pub fn probe(&mut self, now: Millis, member: &CacheId) -> Result<(LinkKey, bool), Unsent> {
        self.next_probe += 1;
        let tag = format!("probe{}", self.next_probe);
        let bytes = resp::frame(&[b"STAT", tag.as_bytes()]);
        let frame = Frame { bytes, opens: Some(tag), alone: false, moves: 0 };
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

    /// A new connection, to be dialled.
    fn open(&mut self, now: Millis, member: &CacheId, ways: Vec<Endpoint>, trial: bool) -> LinkKey {
        self.next += 1;
        let trial = ways.first().filter(|_| trial).cloned();
        let delay = self.book.delay(member, ways.first());
        let link = Link {
            member: member.clone(),
            endpoint: None,
            race: Some(Race::new(now, ways, delay, now + self.dial_ms)),
            dialed: now,
            up: None,
            greeting: None,
            trial,
            blamed: false,
            retired: false,
            unheard: None,
            idle: now,
            out: VecDeque::new(),
            written: 0,
            open: HashMap::new(),
            past: VecDeque::new(),
            decoder: Decoder::default(),
            heard: now,
            begun: now,
        };
        self.links.insert(self.next, link);
        self.racing.insert(self.next);
        self.next
    }

    /// What is to be dialled and closed now. To be asked again after each dial that ends.
    pub fn poll(&mut self, now: Millis) -> Vec<Dialling> {
        let mut todo = Vec::new();
        for (member, endpoint) in self.book.trials(now) {
            if (self.links.len() as f64) < FURTHER * self.most as f64 {
                self.open(now, &member, vec![endpoint], true);
            } else {
                self.book.untried(&member, &endpoint);
            }
        }
        if self.racing.is_empty() {
            return todo;
        }
        let most_in_all = self.book.rules().map_or(usize::MAX, |rules| rules.in_all);
        let mut in_all = 0;
        let mut by_member: HashMap<CacheId, usize> = HashMap::new();
        for link in self.racing.iter().filter_map(|key| self.links.get(key)) {
            let open = link.race.as_ref().map_or(0, |race| race.open().len());
            in_all += open;
            *by_member.entry(link.member.clone()).or_default() += open;
        }
        for key in &self.racing {
            let Some(link) = self.links.get_mut(key) else { continue };
            let Some(race) = &mut link.race else { continue };
            let own = by_member.entry(link.member.clone()).or_default();
            // The ways may have changed since: by the board, a claim, a new file, or another's failure.
            let ways = match &link.trial {
                Some(tried) if self.book.own(now, &link.member, tried) => vec![tried.clone()],
                Some(_) => Vec::new(),
                None => self.book.candidates(now, &link.member),
            };
            for dial in race.restrict(&ways) {
                (in_all, *own) = (in_all - 1, *own - 1);
                todo.push(Dialling::Close(dial));
            }
            if link.retired {
                continue;
            }
            let most = self.book.most_dials(now, &link.member);
            let free = most.saturating_sub(*own).min(most_in_all.saturating_sub(in_all));
            for step in race.poll(now, free, &mut self.next_dial) {
                match step {
                    Step::Start(dial, endpoint) => {
                        (in_all, *own) = (in_all + 1, *own + 1);
                        todo.push(Dialling::Start(*key, dial, endpoint));
                    }
                    Step::Drop(dial, endpoint) => {
                        (in_all, *own) = (in_all - 1, *own - 1);
                        todo.push(Dialling::Close(dial));
                        let leave = left(&mut self.book, now, &link.member, &endpoint, Failure::Overtaken);
                        todo.extend(leave.map(Dialling::Left));
                    }
                }
            }
        }
        todo
    }

    /// A dial has failed; `None`: for a reason of this side's, which says nothing about the path. To be
    /// followed by [`Links::poll`].
    pub fn dial_failed(
        &mut self,
        now: Millis,
        key: LinkKey,
        dial: DialKey,
        why: Option<Failure>,
    ) -> Option<Leave> {
        let link = self.links.get_mut(&key)?;
        let endpoint = link.race.as_mut()?.failed(now, dial)?;
        match why {
            Some(why) => left(&mut self.book, now, &link.member, &endpoint, why),
            None => {
                self.book.untried(&link.member, &endpoint);
                None
            }
        }
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
            link.out.push_back(Frame { bytes, opens: None, alone: false, moves: 0 });
            link.over(id);
        }
        link.idle = now;
        Some(key)
    }

    /// A dial is up: its connection goes on over it. What is to be closed and left for that; `None`: nobody
    /// waits for it any more, and it is to be closed itself.
    pub fn up(&mut self, now: Millis, key: LinkKey, dial: DialKey) -> Option<Vec<Dialling>> {
        let link = self.links.get_mut(&key)?;
        // Where there is another way, this one has as long to greet as it would have had to come up.
        let others = self.book.candidates(now, &link.member).len() > 1;
        let delay = self.book.rules().filter(|_| others).map(|rules| rules.attempt_delay.1);
        let wait = delay.unwrap_or(GREET_MS);
        let won = match link.race.take()?.won(now, dial) {
            Ok(won) => won,
            Err(race) => {
                link.race = Some(race);
                return None;
            }
        };
        self.racing.remove(&key);
        (link.up, link.idle, link.heard) = (Some(now), now, now);
        self.book.connected(&link.member, &won.endpoint, won.took_ms);
        link.endpoint = Some(won.endpoint);
        if link.trial.is_some() || self.book.rules().is_some_and(|rules| rules.names) {
            self.next_probe += 1;
            let tag = format!("hello{}", self.next_probe);
            let bytes = resp::frame(&[b"HELO", tag.as_bytes()]);
            let progress = Progress::NotConnected;
            link.open.insert(tag.clone(), Open { what: What::Greeting, progress, alone: false });
            link.out.push_front(Frame { bytes, opens: Some(tag), alone: false, moves: 0 });
            link.greeting = Some(now + wait);
        }
        let mut todo = Vec::new();
        for (dial, endpoint, overtaken) in won.losers {
            todo.push(Dialling::Close(dial));
            if overtaken {
                let leave = left(&mut self.book, now, &link.member, &endpoint, Failure::Overtaken);
                todo.extend(leave.map(Dialling::Left));
            }
        }
        Some(todo)
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
                Ok(Some(frame)) => match link.frame(&frame, self.book.rules().is_some_and(|r| r.names)) {
                    Ok(Heard::Greeted) => {}
                    Ok(one) => {
                        answered |= matches!(one, Heard::Answer(..) | Heard::Probe(..));
                        if let Heard::Answer(attempt, _) = &one {
                            self.on.remove(attempt);
                        }
                        heard.push(one);
                    }
                    Err(fault) => break Some(fault),
                },
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
            self.book.untried(&link.member, tried);
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

    /// What has just fallen mute: its path is left, and what has not begun to leave moves to another one. Only
    /// where machines have several ways; else the next request shows it.
    pub fn mute(&mut self, now: Millis) -> (Vec<Leave>, BTreeSet<LinkKey>) {
        let (mut leaves, mut moved) = (Vec::new(), BTreeSet::new());
        if self.book.rules().is_none() {
            return (leaves, moved);
        }
        let newly = |link: &Link| link.up.is_some() && !link.blamed && link.mute(now);
        let keys: Vec<LinkKey> =
            self.links.iter().filter(|(_, link)| newly(link)).map(|(key, _)| *key).collect();
        for key in keys {
            let Some(link) = self.links.get_mut(&key) else { continue };
            link.blamed = true;
            let (member, Some(endpoint)) = (link.member.clone(), link.endpoint.clone()) else { continue };
            leaves.extend(left(&mut self.book, now, &member, &endpoint, Failure::Mute));
            if self.book.takes(now, &member, &endpoint) {
                continue; // There is no other way.
            }
            let waits = |open: &Open| matches!(open.what, What::Attempt(_) | What::Probe);
            let unsent = link.open.iter().filter(|(_, o)| waits(o) && o.progress == Progress::NotConnected);
            let unsent: Vec<(String, What)> = unsent.map(|(id, open)| (id.clone(), open.what)).collect();
            for (id, what) in unsent {
                let Some(link) = self.links.get_mut(&key) else { break };
                let at = link.out.iter().position(|f| f.opens.as_ref() == Some(&id) && f.moves < MAX_MOVES);
                let Some(mut frame) = at.and_then(|at| link.out.remove(at)) else { continue };
                frame.moves += 1;
                let back = Frame { bytes: frame.bytes.clone(), opens: frame.opens.clone(), ..frame };
                let Some(open) = link.open.remove(&id) else { continue };
                match self.queue(now, what, &member, frame, true) {
                    Ok((to, _)) => drop(moved.insert(to)),
                    Err(_) => {
                        let Some(link) = self.links.get_mut(&key) else { break };
                        link.open.insert(id, open);
                        link.out.push_back(back);
                    }
                }
            }
        }
        (leaves, moved)
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
    pub fn expired(&self, now: Millis) -> Vec<(LinkKey, &'static str)> {
        let due = |link: &Link| {
            let empty = link.open.is_empty() && link.out.is_empty();
            let passed = link.due(self.idle_ms).is_some_and(|at| at <= now);
            match link.up {
                None if link.retired && empty => Some("not wanted any more"),
                None => link.race.as_ref().is_some_and(|race| race.over(now)).then_some("not up in time"),
                Some(_) if link.greeting.is_some() => passed.then_some("no greeting"),
                Some(_) if link.decoder.midway() => passed.then_some("an answer stopped short"),
                Some(_) => (passed || (empty && link.mute(now))).then_some("idle"),
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

/// Has the book leave a path alone; what there is to say of it.
fn left(book: &mut Book, now: Millis, member: &CacheId, endpoint: &Endpoint, why: Failure) -> Option<Leave> {
    let until = book.failed(now, member, endpoint, why)?;
    Some(Leave { member: member.clone(), endpoint: endpoint.clone(), why, pause_ms: until - now })
}

impl Link {
    fn frame(&mut self, frame: &[Vec<u8>], named: bool) -> Result<Heard, Fault> {
        let [id, word, rest @ ..] = frame else { return Err(Fault("an answer is cut short")) };
        let id = std::str::from_utf8(id).map_err(|_| Fault("an id can't be read"))?;
        // An answer to what has not left whole is none: its frame would go on to open the id a second time.
        let asked = self.open.get(id).filter(|open| open.progress == Progress::WrittenWhole);
        let Some(what) = asked.map(|open| open.what) else {
            let late = self.past.iter().any(|past| past == id);
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
        self.over(id.to_owned());
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
                    note: fields.get("tell").and_then(note),
                    source_wait_ms: fields.number("took"),
                    report,
                },
            ),
        })
    }
}

/// `name=value,name=value`, or `-` for none.
#[derive(Clone, Copy)]
struct Fields<'a>(&'a str);

impl<'a> Fields<'a> {
    fn get(self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(given, _)| *given == name).map(|(_, value)| value)
    }

    fn number(self, name: &str) -> Option<f64> {
        self.get(name)?.parse().ok().filter(|number: &f64| number.is_finite())
    }

    fn report(self) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in
            self.get("meter").unwrap_or("").split(';').filter_map(|pair| pair.split_once(':'))
        {
            if let Some(slot) = config::report_value(&mut report, name) {
                *slot = value.parse().ok().filter(|number: &f64| number.is_finite());
            }
        }
        report
    }
}

fn note(name: &str) -> Option<Note> {
    Some(match name {
        "cached" => Note::Hit,
        "fetched" => Note::Filled,
        "fetched_root" => Note::FilledFromOrigin,
        "merged" => Note::Joined,
        "past_fresh" => Note::Stale,
        "up_refused" => Note::SourceRefused,
        "up_lost" => Note::SourceLost,
        "up_empty" => Note::SourceLacks,
        "fills_full" => Note::NoFillPlace,
        "root_failed" => Note::OriginFailed,
        _ => return None,
    })
}

/// The bytes of a request.
fn request(call: &Call) -> Vec<u8> {
    let (ask, fetch) = (&call.ask, &call.fetch);
    let mut fields = format!("cls={}", ask.class);
    let mut field = |name: &str, value: String| fields.extend([",", name, "=", &value]);
    if let Some(object) = &ask.object {
        field("item", object.clone());
    }
    if let Some(piece) = ask.piece {
        field("chunk", piece.to_string());
    }
    if fetch.timeout_ms > 0.0 {
        field("limit", (fetch.timeout_ms.ceil() as u64).to_string());
    }
    if fetch.source != fetch.cache {
        field("fetch", fetch.source.to_string());
    }
    match fetch.keep {
        Keep::No => {}
        Keep::Low => field("retain", "1".to_owned()),
        Keep::Middle => field("retain", "2".to_owned()),
        Keep::High => field("retain", "3".to_owned()),
    }
    if let Some(age) = fetch.max_age_ms {
        field("newer", (age.floor().max(1.0) as u64).to_string());
    }
    let how = [(fetch.join, "coalesce"), (fetch.held_only, "shallow"), (fetch.renew, "freshen")];
    let how: Vec<&str> = how.iter().filter(|(wanted, _)| *wanted).map(|(_, word)| *word).collect();
    if !how.is_empty() {
        field("handle", how.join("+"));
    }
    if let Some(tag) = &ask.holds {
        field("holds", tag.clone());
    }
    resp::frame(&[b"REQ", ask.id.as_bytes(), fields.as_bytes(), &ask.body])
}
