//! Connections to machines: what is on which, how far it has come, and which answer is whose.

use crate::api::*;
use crate::config;
use crate::reducer::{Answer, AttemptKey, Call, Progress};
use crate::resp::{self, Decoder, Fault};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

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
/// Ids given up or answered under which something may still be on its way.
const MAX_PAST: usize = 64;

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
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum What {
    Attempt(AttemptKey),
    Probe,
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
    address: SocketAddr,
    dialed: Millis,
    up: Option<Millis>,
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

    fn takes(&self, now: Millis, address: SocketAddr, id: &str, streams: usize) -> bool {
        let free = self.open.len() < streams && !self.open.contains_key(id);
        let fresh = !self.past.iter().any(|past| past == id); // Its late answer would be taken for ours.
        free && fresh && !self.retired && !self.mute(now) && self.address == address
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
    fn due(&self, dial_ms: Millis, idle_ms: Millis) -> Option<Millis> {
        match self.up {
            None => Some(self.dialed + dial_ms),
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
        let (links, on) = (BTreeMap::new(), HashMap::new());
        Self { links, on, next: 0, next_probe: 0, dial_ms, idle_ms, streams: streams.max(1), most }
    }

    /// Takes over another bound on all connections; those beyond it end as they fall idle.
    pub fn set_most(&mut self, most: usize) {
        self.most = most;
    }

    /// Queues an attempt. The connection, and whether it is new and to be dialled; `None`: there is no room.
    pub fn send(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        member: &CacheId,
        address: SocketAddr,
        call: &Call,
    ) -> Option<(LinkKey, bool)> {
        let id = call.ask.id.clone();
        let frame = Frame { bytes: request(call), opens: Some(id), alone: call.alone, moves: 0 };
        self.queue(now, What::Attempt(attempt), member, address, frame, true)
    }

    /// Queues a probe; as [`Links::send`].
    pub fn probe(&mut self, now: Millis, member: &CacheId, address: SocketAddr) -> Option<(LinkKey, bool)> {
        self.next_probe += 1;
        let tag = format!("probe{}", self.next_probe);
        let bytes = resp::frame(&[b"STAT", tag.as_bytes()]);
        let frame = Frame { bytes, opens: Some(tag), alone: false, moves: 0 };
        self.queue(now, What::Probe, member, address, frame, true)
    }

    fn queue(
        &mut self,
        now: Millis,
        what: What,
        member: &CacheId,
        address: SocketAddr,
        frame: Frame,
        old_will_do: bool,
    ) -> Option<(LinkKey, bool)> {
        let id = frame.opens.clone().unwrap_or_default();
        let own = || self.links.iter().filter(|(_, link)| link.member == *member);
        let count = own().count();
        let will_do = |link: &Link| old_will_do || link.up.is_none();
        let fits = own().filter(|(_, link)| will_do(link) && link.takes(now, address, &id, self.streams));
        // One that is up goes before one that is dialled, and the less it carries the better; but a crowded
        // one comes last, or each further attempt would have one more dialled.
        let full = |link: &Link| link.full(frame.alone);
        let best = fits.min_by_key(|(_, l)| (full(l), !full(l) && l.up.is_none(), l.open.len()));
        let best = best.map(|(key, link)| (*key, full(link)));
        // Further connections leave room for first ones to machines that come; at the bound one that rests
        // makes it.
        let beside = count < MAX_LINKS && (self.links.len() as f64) < FURTHER * self.most as f64;
        let (key, new) = match best {
            Some((key, crowded)) if !(crowded && beside) => (key, false),
            None if self.links.len() >= self.most && !self.rest_one(now) => return None,
            _ => {
                self.next += 1;
                let link = Link {
                    member: member.clone(),
                    address,
                    dialed: now,
                    up: None,
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
                (self.next, true)
            }
        };
        let link = self.links.get_mut(&key)?;
        if let What::Attempt(attempt) = what {
            self.on.insert(attempt, (key, id.clone()));
        }
        link.open.insert(id, Open { what, progress: Progress::NotConnected, alone: frame.alone });
        link.out.push_back(frame);
        Some((key, new))
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

    /// A connection is up.
    pub fn up(&mut self, now: Millis, key: LinkKey) {
        if let Some(link) = self.links.get_mut(&key) {
            link.up = Some(now);
            link.idle = now;
        }
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
        link.out.front().map(|frame| &frame.bytes[link.written..])
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
        let mut begins = !link.decoder.midway();
        link.decoder.feed(bytes);
        let fault = loop {
            let frame = link.decoder.next_frame();
            begins |= matches!(frame, Ok(Some(_)));
            match frame {
                Ok(Some(frame)) => match link.frame(&frame) {
                    Ok(one) => {
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
        (link.idle, link.heard) = (now, now);
        link.begun = if begins { now } else { link.begun };
        let out = link.open.values().any(|open| open.progress == Progress::WrittenWhole);
        link.unheard = out.then_some(now);
        (heard, fault)
    }

    /// A connection has ended, or never came up. What had not begun to leave one that was up moves on to
    /// another: nothing is known against the machine.
    pub fn down(&mut self, now: Millis, key: LinkKey) -> Ended {
        let mut ended = Ended::default();
        let Some(mut link) = self.links.remove(&key) else { return ended };
        for (id, Open { what, progress, .. }) in std::mem::take(&mut link.open) {
            if link.up.is_some() && progress == Progress::NotConnected {
                let frame = link.out.iter().position(|frame| frame.opens.as_ref() == Some(&id));
                let frame = frame.and_then(|at| link.out.remove(at)).filter(|frame| frame.moves < MAX_MOVES);
                if let Some(mut frame) = frame {
                    frame.moves += 1;
                    let (member, address) = (&link.member, link.address);
                    // Another one that is up may be as dead.
                    if let Some((to, _)) = self.queue(now, what, member, address, frame, false) {
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
            }
        }
        ended.lost.sort_unstable();
        ended
    }

    /// The connection that an attempt is on.
    pub fn carrier(&self, attempt: AttemptKey) -> Option<LinkKey> {
        self.on.get(&attempt).map(|(key, _)| *key)
    }

    /// Where a connection leads.
    pub fn address(&self, key: LinkKey) -> Option<SocketAddr> {
        self.links.get(&key).map(|link| link.address)
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
            let passed = link.due(self.dial_ms, self.idle_ms).is_some_and(|at| at <= now);
            match link.up {
                None => passed.then_some("not up in time"),
                Some(_) if link.decoder.midway() => passed.then_some("an answer stopped short"),
                Some(_) => (passed || (empty && link.mute(now))).then_some("idle"),
            }
        };
        self.links.iter().filter_map(|(key, link)| Some((*key, due(link)?))).collect()
    }

    /// When to look for expired ones next.
    pub fn next_due(&self) -> Option<Millis> {
        self.links.values().filter_map(|link| link.due(self.dial_ms, self.idle_ms)).reduce(f64::min)
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.links.len()
    }
}

impl Link {
    fn frame(&mut self, frame: &[Vec<u8>]) -> Result<Heard, Fault> {
        let [id, word, rest @ ..] = frame else { return Err(Fault("an answer is cut short")) };
        let id = std::str::from_utf8(id).map_err(|_| Fault("an id can't be read"))?;
        // An answer to what has not left whole is none: its frame would go on to open the id a second time.
        let asked = self.open.get(id).filter(|open| open.progress == Progress::WrittenWhole);
        let Some(what) = asked.map(|open| open.what) else {
            let late = self.past.iter().any(|past| past == id);
            return Ok(if late { Heard::Late } else { Heard::Unknown });
        };
        let (fields, body) = match (what, rest) {
            (What::Probe, []) => (&b"-"[..], None),
            (What::Probe, [fields, ..]) => (&fields[..], None),
            (What::Attempt(_), [fields, body]) => (&fields[..], Some(body)),
            _ => return Err(Fault("an answer has other parts")),
        };
        let fields = Fields(std::str::from_utf8(fields).map_err(|_| Fault("fields can't be read"))?);
        let report = fields.report();
        let outcome = match (what, word.as_slice()) {
            (What::Probe, b"FIT") => Outcome::Ok,
            (What::Probe, b"UNFIT") => Outcome::Error,
            (What::Attempt(_), b"DONE" | b"KEEP") => Outcome::Ok,
            (What::Attempt(_), b"LACK") => Outcome::Miss,
            (What::Attempt(_), b"WAIT") => Outcome::Full,
            (What::Attempt(_), b"BROKE") => Outcome::Error,
            (What::Attempt(_), b"PAST") => Outcome::Moot,
            _ => return Err(Fault("an answer says nothing that is known")),
        };
        self.open.remove(id);
        self.over(id.to_owned());
        Ok(match what {
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
