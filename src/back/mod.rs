//! Connections to machines: what is on which, how far it has come, and which answer is whose.
//!
//! Where a machine may be reached is [`crate::addresses`]'s: a connection begins as a race of dials and goes on
//! over the one that was up first. Frames wait for that, so that no byte is ever on a loser.

mod connection;
mod dials;
mod wire;

use crate::addresses::{AddressSettings, AddressTable, DialKey, Endpoint, EndpointFailure, Listing};
use crate::api::*;
use crate::reasons::EndpointClose;
use crate::reducer::{Answer, AttemptKey, OutgoingRequest, Progress};
use crate::resp::{self, ProtocolError};
use connection::{Connection, Frame, Outstanding, Purpose};
use dials::pause_endpoint;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use wire::{encode_request, wire_limit_ms};

/// A connection with something out that has said nothing for so long gets nothing more: its machine may have
/// vanished, which nobody tells. A new connection shows it.
const UNRESPONSIVE_MS: Millis = 500.0;
/// An answer that has begun comes to its end without a longer pause than that: machines send it once they have it.
/// One that stops short will never be whole, and hides all that would follow it.
const ANSWER_STALL_MS: Millis = 300.0;
/// Nor does one take longer than that in all: a few bytes now and then would otherwise hide what follows for ever.
const ANSWER_TIMEOUT_MS: Millis = 1000.0;
/// Times that an unsent attempt moves on when its connection closes.
const MAX_MOVES: u8 = 3;
/// Attempts on one connection from which another is opened beside it, and connections to one machine. One spoilt
/// answer ends its connection with all that is on it, so few share one.
const CROWDED_ATTEMPTS: usize = 2;
const MAX_CONNECTIONS_PER_MACHINE: usize = 8;
/// Part of all connections from which no further one is opened beside others.
const EXTRA_CONNECTIONS_SHARE: f64 = 0.75;
/// Part of the machines' idle time after which a connection is closed from this side, before a request can
/// cross the close from theirs.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// A machine that has no other way says its name within that, or who answers there isn't known.
const GREETING_TIMEOUT_MS: Millis = 500.0;
/// Ids given up or answered under which something may still be on its way: how many are kept at least, as long as they
/// are young, and at most. A request's id comes back with each of its attempts.
const CLOSED_IDS_KEPT: [usize; 2] = [64, 1024];
const CLOSED_ID_LIFETIME_MS: Millis = 10_000.0;

/// What a greeting was answered with by another machine than the one that was meant.
pub const WRONG_NAME: ProtocolError = ProtocolError("another machine answers there");

/// A connection's number, never used again.
pub type ConnectionKey = u64;

/// What a connection brings.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
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
pub struct ClosedConnection {
    /// Attempts that are lost with it, and how far each had come.
    pub lost: Vec<(AttemptKey, Progress)>,
    /// Probes that are.
    pub probes: Vec<CacheId>,
    /// The connections on which the rest goes on: it was up, and no byte of them had left.
    pub moved: BTreeSet<ConnectionKey>,
    /// Dials for it that are to be closed.
    pub dials: Vec<DialKey>,
    /// Ways that are left alone for it.
    pub paused: Vec<EndpointPause>,
}

/// Why something was not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// There is no room for another connection: that says nothing about the machine.
    NoRoom,
    /// No address is known that is its own now.
    NoAddress,
}

/// How a dial ended without a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// The path is at fault.
    Failed(EndpointFailure),
    /// No route leads there just now.
    Unreachable,
    /// This machine lacked something for it: that says nothing about the path.
    NoRoom,
}

/// What is to be done about dials.
#[derive(Clone, Debug, PartialEq)]
pub enum DialAction {
    /// Dial for a connection.
    Start(ConnectionKey, DialKey, Endpoint),
    /// Close one that isn't wanted any more.
    Close(DialKey),
    /// A path is left alone until then.
    Paused(EndpointPause),
}

/// A path that is left alone.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPause {
    /// Whose.
    pub machine: CacheId,
    /// Which.
    pub endpoint: Endpoint,
    /// Why.
    pub why: EndpointFailure,
    /// For how long.
    pub pause_ms: Millis,
}

/// All connections to machines.
#[derive(Debug)]
pub struct ConnectionPool {
    connections: BTreeMap<ConnectionKey, Connection>,
    addresses: AddressTable,
    /// Connections that aren't up.
    dialing: BTreeSet<ConnectionKey>,
    next_dial: DialKey,
    by_attempt: HashMap<AttemptKey, (ConnectionKey, String)>,
    last_key: ConnectionKey,
    next_probe: u64,
    dial_ms: Millis,
    idle_ms: Millis,
    max_streams: usize,
    max_connections: usize,
}

impl ConnectionPool {
    /// None yet. `most` bounds them all.
    pub fn new(dial_ms: Millis, idle_ms: Millis, streams: usize, max_connections: usize) -> Self {
        Self::with_address_settings(dial_ms, idle_ms, streams, max_connections, None, 0)
    }

    /// As [`ConnectionPool::new`], with several addresses to a machine; `seed` draws the jitter of pauses.
    pub fn with_address_settings(
        dial_ms: Millis,
        idle_ms: Millis,
        streams: usize,
        max_connections: usize,
        settings: Option<AddressSettings>,
        seed: u64,
    ) -> Self {
        Self {
            connections: BTreeMap::new(),
            addresses: AddressTable::new(settings, seed),
            dialing: BTreeSet::new(),
            next_dial: 0,
            by_attempt: HashMap::new(),
            last_key: 0,
            next_probe: 0,
            dial_ms,
            idle_ms,
            max_streams: streams.max(1),
            max_connections,
        }
    }

    /// The notice board has spoken of a machine.
    pub fn update_listing(&mut self, machine: &CacheId, listing: Listing) {
        self.addresses.update_listing(machine, listing);
        self.retire_unlisted(Some(machine));
    }

    /// A machine is forgotten.
    pub fn forget_machine(&mut self, machine: &CacheId) {
        self.addresses.forget_machine(machine);
        self.retire_unlisted(Some(machine));
    }

    /// Takes over other rules: connections over ways that are gone end once they carry nothing.
    pub fn set_address_settings(&mut self, settings: Option<AddressSettings>) {
        self.addresses.set_settings(settings);
        self.retire_unlisted(None);
    }

    /// What is known of the ways to machines.
    pub fn addresses(&self) -> &AddressTable {
        &self.addresses
    }

    /// Connections over ways that are gone are retired.
    fn retire_unlisted(&mut self, machine: Option<&CacheId>) {
        let concerned =
            |connection: &&mut Connection| machine.is_none_or(|machine| connection.machine == *machine);
        for connection in self.connections.values_mut().filter(concerned) {
            let gone = connection
                .endpoint
                .as_ref()
                .is_some_and(|e| !self.addresses.contains(&connection.machine, e));
            connection.retired |= gone;
        }
    }

    /// Takes over another bound on all connections; those beyond it end as they fall idle.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Queues an attempt. The connection, and whether it is new, so that [`ConnectionPool::poll_dials`] has it dialled.
    pub fn send(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        machine: &CacheId,
        call: &OutgoingRequest,
    ) -> Result<(ConnectionKey, bool), SendError> {
        let id = call.request.id.clone();
        let frame = Frame {
            bytes: encode_request(call, call.fetch.timeout_ms),
            call: Some(call.clone()),
            opens_id: Some(id),
            alone: call.exclusive_connection,
            moves: 0,
        };
        self.queue(now, Purpose::Attempt(attempt), machine, frame, true)
    }

    /// Queues a probe; as [`ConnectionPool::send`].
    pub fn probe(&mut self, now: Millis, machine: &CacheId) -> Result<(ConnectionKey, bool), SendError> {
        self.next_probe += 1;
        let tag = format!("probe{}", self.next_probe);
        let bytes = resp::frame(&[b"STAT", tag.as_bytes()]);
        let frame = Frame { bytes, call: None, opens_id: Some(tag), alone: false, moves: 0 };
        self.queue(now, Purpose::Probe, machine, frame, true)
    }

    fn queue(
        &mut self,
        now: Millis,
        purpose: Purpose,
        machine: &CacheId,
        frame: Frame,
        may_reuse: bool,
    ) -> Result<(ConnectionKey, bool), SendError> {
        let id = frame.opens_id.clone().unwrap_or_default();
        let own = || self.connections.iter().filter(|(_, connection)| connection.machine == *machine);
        let (mut count, mut dialing) = (0, 0);
        for (_, connection) in own() {
            (count, dialing) = (count + 1, dialing + usize::from(connection.connected_at.is_none()));
        }
        let reusable = |connection: &Connection| may_reuse || connection.connected_at.is_none();
        // What must not be repeated is no trial.
        let suitable =
            |connection: &Connection| reusable(connection) && !(frame.alone && connection.trial.is_some());
        let usable = own().filter(|(_, connection)| {
            suitable(connection) && connection.accepts(now, &self.addresses, &id, self.max_streams)
        });
        // One on trial goes first. One that is up goes before one that is dialled, a better way before a worse
        // one, so that those fall idle once it is back, and the less it carries the better; but a crowded one
        // comes last, or each further attempt would have one more dialled.
        let crowded = |connection: &Connection| connection.is_crowded(frame.alone);
        let rank = |connection: &Connection| {
            connection.endpoint.as_ref().map_or(0, |endpoint| self.addresses.preference(machine, endpoint))
        };
        let best = usable.min_by_key(|(_, connection)| {
            (
                connection.trial.is_none(),
                crowded(connection),
                !crowded(connection) && connection.connected_at.is_none(),
                rank(connection),
                connection.outstanding.len(),
            )
        });
        let best = best.map(|(key, connection)| (*key, crowded(connection)));
        // Further connections leave room for first ones to machines that come; at the bound one that rests
        // makes it. Nor are more dialled at once than there are dials to be had.
        let may_open_another = count < MAX_CONNECTIONS_PER_MACHINE
            && (self.connections.len() as f64) < EXTRA_CONNECTIONS_SHARE * self.max_connections as f64
            && (dialing == 0 || dialing < self.addresses.max_races(now, machine));
        let (key, new) = match best {
            Some((key, crowded)) if !(crowded && may_open_another) => (key, false),
            None if self.connections.len() >= self.max_connections && !self.expire_idle_connection(now) => {
                return Err(SendError::NoRoom)
            }
            _ => {
                let candidates = self.addresses.candidates(now, machine);
                if candidates.is_empty() {
                    return Err(SendError::NoAddress);
                }
                (self.open_connection(now, machine, candidates, false), true)
            }
        };
        let Some(connection) = self.connections.get_mut(&key) else { return Err(SendError::NoRoom) };
        if let Purpose::Attempt(attempt) = purpose {
            self.by_attempt.insert(attempt, (key, id.clone()));
        }
        connection
            .outstanding
            .insert(id, Outstanding { purpose, progress: Progress::NotConnected, alone: frame.alone });
        connection.output.push_back(frame);
        Ok((key, new))
    }

    /// Has the longest idle connection closed; false if none is idle.
    fn expire_idle_connection(&mut self, now: Millis) -> bool {
        let idle = |connection: &&mut Connection| {
            connection.connected_at.is_some()
                && connection.outstanding.is_empty()
                && connection.output.is_empty()
        };
        let idle = self.connections.values_mut().filter(idle).filter(|connection| !connection.retired);
        let first = idle.min_by(|a, b| a.idle_since.total_cmp(&b.idle_since));
        first
            .map(|connection| {
                (connection.retired, connection.idle_since) = (true, connection.idle_since.min(now))
            })
            .is_some()
    }

    /// Gives an attempt up: takes it from the queue if no byte has left, else tells the machine. The
    /// connection that has something to write.
    pub fn stop(&mut self, now: Millis, attempt: AttemptKey) -> Option<ConnectionKey> {
        let (key, id) = self.by_attempt.remove(&attempt)?;
        let connection = self.connections.get_mut(&key)?;
        if connection.outstanding.remove(&id)?.progress == Progress::NotConnected {
            connection.output.retain(|frame| frame.opens_id.as_ref() != Some(&id));
        } else {
            let bytes = resp::frame(&[b"STOP", id.as_bytes()]);
            connection.output.push_back(Frame { bytes, call: None, opens_id: None, alone: false, moves: 0 });
            connection.close_id(now, id);
        }
        connection.idle_since = now;
        Some(key)
    }

    /// Whether a connection is up.
    pub fn is_connected(&self, key: ConnectionKey) -> bool {
        self.connections.get(&key).is_some_and(|connection| connection.connected_at.is_some())
    }

    /// Whether nothing but unsent frames is on it, so that it may have been closed unseen.
    pub fn nothing_in_flight(&self, key: ConnectionKey) -> bool {
        let sent = |connection: &Connection| {
            connection.written > 0
                || connection.outstanding.values().any(|o| o.progress > Progress::NotConnected)
        };
        self.connections.get(&key).is_some_and(|connection| !sent(connection))
    }

    /// The attempt whose frame is next to be written, and no byte of which has left: it may still be withheld.
    pub fn next_unstarted(&self, key: ConnectionKey) -> Option<AttemptKey> {
        let connection = self
            .connections
            .get(&key)
            .filter(|connection| connection.connected_at.is_some() && connection.written == 0)?;
        let id = connection.output.front()?.opens_id.as_ref()?;
        match connection.outstanding.get(id)?.purpose {
            Purpose::Attempt(attempt) => Some(attempt),
            Purpose::Probe | Purpose::Greeting => None, // They are nobody's request.
        }
    }

    /// The next frame may begin to leave, with this as its attempt's time.
    pub fn set_time_limit(&mut self, key: ConnectionKey, limit_ms: Millis) {
        let Some(frame) = self.connections.get_mut(&key).and_then(|connection| connection.output.front_mut())
        else {
            return;
        };
        if let Some(call) = &frame.call {
            if wire_limit_ms(call.fetch.timeout_ms) != wire_limit_ms(limit_ms) {
                frame.bytes = encode_request(call, limit_ms);
            }
        }
    }

    /// Takes the next frame back, no byte of which has left.
    pub fn withhold(&mut self, now: Millis, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(&key).filter(|connection| connection.written == 0)
        else {
            return;
        };
        let Some(frame) = connection.output.pop_front() else { return };
        connection.idle_since = now;
        let open = frame.opens_id.and_then(|id| connection.outstanding.remove(&id));
        if let Some(Purpose::Attempt(attempt)) = open.map(|open| open.purpose) {
            self.by_attempt.remove(&attempt);
        }
    }

    /// The next bytes to write.
    pub fn output(&self, key: ConnectionKey) -> Option<&[u8]> {
        let connection = self.connections.get(&key).filter(|connection| connection.connected_at.is_some())?;
        let greets = |frame: &&Frame| {
            let id = frame.opens_id.as_ref().and_then(|id| connection.outstanding.get(id));
            connection.greeting_deadline.is_none() || id.is_some_and(|open| open.purpose == Purpose::Greeting)
        };
        connection.output.front().filter(greets).map(|frame| &frame.bytes[connection.written..])
    }

    /// So many of them have been written; the attempt that has come further by it.
    pub fn wrote(&mut self, now: Millis, key: ConnectionKey, bytes: usize) -> Option<(AttemptKey, Progress)> {
        let connection = self.connections.get_mut(&key)?;
        connection.written += bytes;
        let frame = connection.output.front()?;
        let whole = connection.written >= frame.bytes.len();
        let progress = if whole { Progress::WrittenWhole } else { Progress::PartlyWritten };
        let open = frame.opens_id.as_ref().and_then(|id| connection.outstanding.get_mut(id));
        let purpose = open.map(|open| {
            open.progress = progress;
            open.purpose
        });
        if whole {
            connection.silent_since = connection.silent_since.or(frame.opens_id.as_ref().map(|_| now));
            connection.output.pop_front();
            connection.written = 0;
        }
        match purpose {
            Some(Purpose::Attempt(attempt)) => Some((attempt, progress)),
            _ => None,
        }
    }

    /// Takes bytes in. After a fault the connection is to be closed.
    pub fn receive(
        &mut self,
        now: Millis,
        key: ConnectionKey,
        bytes: &[u8],
    ) -> (Vec<EndpointEvent>, Option<ProtocolError>) {
        let mut events = Vec::new();
        let Some(connection) = self.connections.get_mut(&key) else { return (events, None) };
        // The bytes behind a whole frame came with its last ones, now.
        let (mut begins, mut answered) = (!connection.decoder.has_partial_frame(), false);
        connection.decoder.feed(bytes);
        let fault = loop {
            let frame = connection.decoder.next_frame();
            begins |= matches!(frame, Ok(Some(_)));
            match frame {
                Ok(Some(frame)) => {
                    match connection.handle_frame(
                        now,
                        &frame,
                        self.addresses.settings().is_some_and(|settings| settings.verify_names),
                    ) {
                        Ok(EndpointEvent::Greeted) => {}
                        Ok(one) => {
                            answered |= matches!(one, EndpointEvent::Answer(..) | EndpointEvent::Probe(..));
                            if let EndpointEvent::Answer(attempt, _) = &one {
                                self.by_attempt.remove(attempt);
                            }
                            events.push(one);
                        }
                        Err(fault) => break Some(fault),
                    }
                }
                Ok(None) => break None,
                Err(fault) => break Some(fault),
            }
        };
        if let Some(endpoint) = connection.endpoint.as_ref().filter(|_| answered) {
            self.addresses.record_answer(now, &connection.machine, endpoint);
            (connection.silence_reported, connection.trial) = (false, None);
        }
        (connection.idle_since, connection.last_received_at) = (now, now);
        connection.answer_started_at = if begins { now } else { connection.answer_started_at };
        let out = connection.outstanding.values().any(|open| open.progress == Progress::WrittenWhole);
        connection.silent_since = out.then_some(now);
        (events, fault)
    }

    /// A connection has ended, or never came up. What had not begun to leave one that was up moves on to
    /// another: nothing is known against the machine. `blame` is what it says about its path.
    pub fn connection_closed(
        &mut self,
        now: Millis,
        key: ConnectionKey,
        blame: Option<EndpointFailure>,
    ) -> ClosedConnection {
        let mut ended = ClosedConnection::default();
        let Some(mut connection) = self.connections.remove(&key) else { return ended };
        self.dialing.remove(&key);
        ended.dials = connection
            .race
            .as_ref()
            .map_or(Vec::new(), |race| race.open_dials().iter().map(|d| d.key).collect());
        if let Some(race) = connection.race.as_ref().filter(|_| !connection.retired) {
            for dial in race.open_dials() {
                ended.paused.extend(pause_endpoint(
                    &mut self.addresses,
                    now,
                    &connection.machine,
                    &dial.endpoint,
                    EndpointFailure::NotUp,
                ));
            }
        }
        if let Some(endpoint) = &connection.endpoint {
            if let Some(why) = blame {
                ended.paused.extend(pause_endpoint(
                    &mut self.addresses,
                    now,
                    &connection.machine,
                    endpoint,
                    why,
                ));
            }
        }
        if let Some(tried) = &connection.trial {
            self.addresses.end_trial(now, &connection.machine, tried);
        }
        // Another connection that is up may be as dead, unless it goes another way.
        let other_endpoint = connection
            .endpoint
            .as_ref()
            .is_some_and(|endpoint| !self.addresses.accepts_requests(now, &connection.machine, endpoint));
        for (id, Outstanding { purpose, progress, .. }) in std::mem::take(&mut connection.outstanding) {
            if connection.connected_at.is_some()
                && progress == Progress::NotConnected
                && purpose != Purpose::Greeting
            {
                let frame = connection.output.iter().position(|frame| frame.opens_id.as_ref() == Some(&id));
                let frame =
                    frame.and_then(|at| connection.output.remove(at)).filter(|frame| frame.moves < MAX_MOVES);
                if let Some(mut frame) = frame {
                    frame.moves += 1;
                    if let Ok((to, _)) = self.queue(now, purpose, &connection.machine, frame, other_endpoint)
                    {
                        ended.moved.insert(to);
                        continue;
                    }
                }
            }
            match purpose {
                Purpose::Attempt(attempt) => {
                    self.by_attempt.remove(&attempt);
                    ended.lost.push((attempt, progress));
                }
                Purpose::Probe => ended.probes.push(connection.machine.clone()),
                Purpose::Greeting => {}
            }
        }
        ended.lost.sort_unstable();
        ended
    }

    /// The connection that an attempt is on.
    pub fn connection_of(&self, attempt: AttemptKey) -> Option<ConnectionKey> {
        self.by_attempt.get(&attempt).map(|(key, _)| *key)
    }

    /// Where a connection leads, once it is up.
    pub fn endpoint(&self, key: ConnectionKey) -> Option<&Endpoint> {
        self.connections.get(&key)?.endpoint.as_ref()
    }

    /// Whose a connection is.
    pub fn machine(&self, key: ConnectionKey) -> Option<&CacheId> {
        self.connections.get(&key).map(|connection| &connection.machine)
    }

    /// Dials that are open for a connection, and where they lead.
    pub fn dials(&self, key: ConnectionKey) -> Vec<(DialKey, Endpoint)> {
        let race = self.connections.get(&key).and_then(|connection| connection.race.as_ref());
        race.map_or(Vec::new(), |race| {
            race.open_dials().iter().map(|d| (d.key, d.endpoint.clone())).collect()
        })
    }

    /// A machine leaves: its connections end once they carry nothing.
    pub fn retire(&mut self, machine: &CacheId) {
        self.connections
            .values_mut()
            .filter(|connection| connection.machine == *machine)
            .for_each(|connection| connection.retired = true);
    }

    /// Connections to a machine that were dialled before it started anew.
    pub fn dialed_before(&self, machine: &CacheId, at: Millis) -> Vec<ConnectionKey> {
        let old = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.machine == *machine && connection.dialed_at < at);
        old.map(|(key, _)| *key).collect()
    }

    /// Connections that are due to be closed, and why.
    pub fn expired(&self, now: Millis) -> Vec<(ConnectionKey, EndpointClose)> {
        let due = |connection: &Connection| {
            let empty = connection.outstanding.is_empty() && connection.output.is_empty();
            let passed = connection.deadline(self.idle_ms).is_some_and(|at| at <= now);
            match connection.connected_at {
                None if connection.retired && empty => Some(EndpointClose::NotNeeded),
                None => connection.race.as_ref().filter(|race| race.is_over(now)).map(|race| {
                    match race.lacks_resources() {
                        true => EndpointClose::NoRoom,
                        false => EndpointClose::ConnectTimeout,
                    }
                }),
                Some(_) if connection.greeting_deadline.is_some() => {
                    passed.then_some(EndpointClose::NoGreeting)
                }
                Some(_) if connection.decoder.has_partial_frame() => passed.then_some(EndpointClose::Stalled),
                Some(_) => {
                    (passed || (empty && connection.is_unresponsive(now))).then_some(EndpointClose::Idle)
                }
            }
        };
        self.connections.iter().filter_map(|(key, connection)| Some((*key, due(connection)?))).collect()
    }

    /// When to look for expired ones, mute ones and dials next.
    pub fn next_deadline(&self) -> Option<Millis> {
        let connections = self
            .connections
            .values()
            .filter_map(|connection| connection.deadline(self.idle_ms))
            .reduce(f64::min);
        let settings = self.addresses.settings();
        let silent = || {
            self.connections
                .values()
                .filter(|connection| connection.connected_at.is_some() && !connection.silence_reported)
                .filter_map(|connection| connection.silent_since)
        };
        let unresponsive =
            settings.and_then(|_| silent().map(|since| since + UNRESPONSIVE_MS + 1.0).reduce(f64::min));
        [connections, unresponsive, self.addresses.next_deadline()].into_iter().flatten().reduce(f64::min)
    }

    /// Connections there are.
    pub fn count(&self) -> usize {
        self.connections.len()
    }
}
