//! Connections to machines: which attempts and probes are on which connection, how far each has come, and
//! which answer belongs to which.
//!
//! [`crate::addresses`] knows where a machine can be reached. A connection begins as a race of dials and
//! continues over the first one that connects. Frames are held until then, so that no byte is written on a
//! dial that loses.

mod connection;
mod dials;
mod frame;
mod wire;

use crate::addresses::{AddressSettings, AddressTable, DialKey, Endpoint, EndpointFailure, Listing};
use crate::api::*;
use crate::reasons::EndpointClose;
use crate::reducer::{Answer, AttemptKey, OutgoingRequest, Progress};
use crate::resp::{self, ProtocolError};
use connection::{Connection, Outstanding, Purpose};
use dials::pause_endpoint;
use frame::Frame;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A connection with unanswered requests that has received nothing for this long gets no further ones: its
/// machine may have vanished without closing it. A new connection shows whether it has.
const UNRESPONSIVE_MS: Millis = 500.0;
/// Longest pause within an answer. Machines begin to send an answer only once they have all of it, so after a
/// longer pause the rest is not expected any more; an incomplete answer blocks every answer behind it.
const ANSWER_STALL_MS: Millis = 300.0;
/// Longest time for one answer in total; otherwise single bytes now and then could block the answers behind
/// it forever.
const ANSWER_TIMEOUT_MS: Millis = 1000.0;
/// How often an unsent frame is moved when its connection closes.
const MAX_MOVES: u8 = 3;
/// Number of outstanding requests at which a connection is crowded, so that another connection is opened. Few
/// attempts share a connection because one malformed answer closes it with all attempts on it.
const CROWDED_ATTEMPTS: usize = 2;
/// Number of connections to one machine from which no further one is opened because others are crowded.
const MAX_CONNECTIONS_PER_MACHINE: usize = 8;
/// Share of the maximum number of connections above which no machine gets a further one.
const EXTRA_CONNECTIONS_SHARE: f64 = 0.75;
/// Share of the machines' idle timeout after which the router closes a connection itself, before a request
/// can cross a close by the machine.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;
/// Time for the answer to a greeting, if the machine has no other endpoint.
const GREETING_TIMEOUT_MS: Millis = 500.0;
/// Minimum and maximum number of closed ids that a connection keeps, since answers to them may still be on
/// their way and each attempt of a request reuses its id. Beyond the minimum, ids older than
/// [`CLOSED_ID_LIFETIME_MS`] are removed; beyond the maximum, the oldest ones of any age.
const CLOSED_IDS_KEPT: [usize; 2] = [64, 1024];
const CLOSED_ID_LIFETIME_MS: Millis = 10_000.0;

/// A machine other than the intended one answered the greeting.
pub const WRONG_NAME: ProtocolError = ProtocolError("another machine answers at this endpoint");

/// Number of a connection; never reused.
pub type ConnectionKey = u64;

/// What a connection to an endpoint has received.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointEvent {
    /// The answer to an attempt.
    Answer(AttemptKey, Answer),
    /// The answer to a probe.
    Probe(CacheId, Outcome, LoadReport),
    /// An answer to an id that is closed: the attempt was given up, or is answered already.
    Late,
    /// An answer with an unknown id.
    Unknown,
    /// The machine has answered the greeting, so the connection may carry requests.
    /// [`ConnectionPool::receive`] handles it and does not return it.
    Greeted,
}

/// What was on a connection that has closed.
#[derive(Debug, Default, PartialEq)]
pub struct ClosedConnection {
    /// The attempts lost with it, and how far each had come.
    pub lost: Vec<(AttemptKey, Progress)>,
    /// The machines whose probes were lost.
    pub probes: Vec<CacheId>,
    /// The connections that took over the unwritten frames of a connection that was established.
    pub moved: BTreeSet<ConnectionKey>,
    /// The dials to close.
    pub dials: Vec<DialKey>,
    /// The endpoints paused because of it.
    pub paused: Vec<EndpointPause>,
}

/// What remains of an attempt that was stopped, and so what must follow on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remainder {
    /// No byte of it was written, and none will be.
    Nothing,
    /// It is written, and a STOP follows it.
    Stopped,
    /// As [`Remainder::Stopped`], but if it is delivered late it may run beside a repeat of the request. So the
    /// connection must be closed if the kernel still holds it.
    Late,
    /// It is partly written and must not be completed: the connection must be closed.
    Partial,
}

/// Why nothing was queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendError {
    /// The limit on connections is reached, which says nothing about the machine.
    NoRoom,
    /// No address is known that belongs to the machine now.
    NoAddress,
}

/// Why a dial ended without a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// The endpoint failed.
    Failed(EndpointFailure),
    /// There is no route to the endpoint at the moment.
    Unreachable,
    /// The router lacked a resource for the dial, which says nothing about the endpoint.
    NoRoom,
}

/// An action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum DialAction {
    /// Start a dial for a connection.
    Start(ConnectionKey, DialKey, Endpoint),
    /// Close a dial that is no longer needed.
    Close(DialKey),
    /// An endpoint is paused; the caller logs it.
    Paused(EndpointPause),
}

/// A pause of an endpoint after a failure.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPause {
    /// The machine.
    pub machine: CacheId,
    /// The paused endpoint.
    pub endpoint: Endpoint,
    /// How it failed.
    pub why: EndpointFailure,
    /// Length of the pause in milliseconds.
    pub pause_ms: Millis,
}

/// All connections to machines.
#[derive(Debug)]
pub struct ConnectionPool {
    connections: BTreeMap<ConnectionKey, Connection>,
    addresses: AddressTable,
    /// Connections that are still being dialed.
    dialing: BTreeSet<ConnectionKey>,
    next_dial: DialKey,
    by_attempt: HashMap<AttemptKey, (ConnectionKey, String)>,
    last_key: ConnectionKey,
    next_probe: u64,
    dial_timeout_ms: Millis,
    idle_timeout_ms: Millis,
    max_outstanding: usize,
    max_connections: usize,
}

impl ConnectionPool {
    /// Creates an empty pool without address settings. At most `max_connections` are open at a time, each
    /// with at most `max_outstanding` unanswered requests. A connection must be established within
    /// `dial_timeout_ms`; `idle_timeout_ms` is the machines' idle timeout.
    pub fn new(
        dial_timeout_ms: Millis,
        idle_timeout_ms: Millis,
        max_outstanding: usize,
        max_connections: usize,
    ) -> Self {
        Self::with_address_settings(
            dial_timeout_ms,
            idle_timeout_ms,
            max_outstanding,
            max_connections,
            None,
            0,
        )
    }

    /// Creates an empty pool for machines with several addresses; `seed` determines the jitter of pauses.
    pub fn with_address_settings(
        dial_timeout_ms: Millis,
        idle_timeout_ms: Millis,
        max_outstanding: usize,
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
            dial_timeout_ms,
            idle_timeout_ms,
            max_outstanding: max_outstanding.max(1),
            max_connections,
        }
    }

    /// Takes over what the discovery service announced about a machine.
    pub fn update_listing(&mut self, machine: &CacheId, listing: Listing) {
        self.addresses.update_listing(machine, listing);
        self.retire_unlisted(Some(machine));
    }

    /// Removes a machine and its addresses.
    pub fn forget_machine(&mut self, machine: &CacheId) {
        self.addresses.forget_machine(machine);
        self.retire_unlisted(Some(machine));
    }

    /// Takes over new address settings. Connections over removed endpoints close once they carry nothing.
    pub fn set_address_settings(&mut self, settings: Option<AddressSettings>) {
        self.addresses.set_settings(settings);
        self.retire_unlisted(None);
    }

    /// Returns the table of the machines' addresses.
    pub fn addresses(&self) -> &AddressTable {
        &self.addresses
    }

    /// Retires connections over endpoints that are no longer listed.
    fn retire_unlisted(&mut self, machine: Option<&CacheId>) {
        let concerned =
            |connection: &&mut Connection| machine.is_none_or(|machine| connection.machine == *machine);
        for connection in self.connections.values_mut().filter(concerned) {
            let unlisted = connection
                .endpoint
                .as_ref()
                .is_some_and(|e| !self.addresses.contains(&connection.machine, e));
            connection.retired |= unlisted;
        }
    }

    /// Changes the limit on connections. Connections beyond it close as they become idle.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.max_connections = max_connections;
    }

    /// Queues an attempt. Returns the connection and whether it is new, in which case
    /// [`ConnectionPool::poll_dials`] starts its dials.
    pub fn send(
        &mut self,
        now: Millis,
        attempt: AttemptKey,
        machine: &CacheId,
        outgoing: &OutgoingRequest,
    ) -> Result<(ConnectionKey, bool), SendError> {
        self.queue(now, Purpose::Attempt(attempt), machine, Frame::attempt(outgoing), true)
    }

    /// Queues a probe, like [`ConnectionPool::send`].
    pub fn probe(&mut self, now: Millis, machine: &CacheId) -> Result<(ConnectionKey, bool), SendError> {
        self.next_probe += 1;
        let tag = format!("probe{}", self.next_probe);
        let bytes = resp::frame(&[b"STAT", tag.as_bytes()]);
        let frame = Frame::command(bytes, Some(tag));
        self.queue(now, Purpose::Probe, machine, frame, true)
    }

    /// Queues a frame on a connection to the machine, or on a new one. `may_reuse`: established connections
    /// may be used, not only those that are being dialed.
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
        // A connection on trial tests whether an endpoint works again after its pause. An attempt that must
        // not be repeated is not sent on one.
        let suitable = |connection: &Connection| {
            reusable(connection) && !(frame.exclusive && connection.trial.is_some())
        };
        let usable = own().filter(|(_, connection)| {
            suitable(connection) && connection.accepts(now, &self.addresses, &id, self.max_outstanding)
        });
        // A connection on trial goes first. Then a connected one goes before one that is being dialed, a
        // preferred endpoint before others, so that those become idle once it is back, and a less loaded one
        // before others. Crowded connections come last; otherwise each further attempt would dial another
        // one.
        let crowded = |connection: &Connection| connection.is_crowded(frame.exclusive);
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
        // Additional connections leave room for the first ones to new machines; at the limit, an idle
        // connection makes room. One is added only while no connection to the machine is being
        // dialed, or fewer than `max_races`.
        let may_open_another = count < MAX_CONNECTIONS_PER_MACHINE
            && (self.connections.len() as f64) < EXTRA_CONNECTIONS_SHARE * self.max_connections as f64
            && (dialing == 0 || dialing < self.addresses.max_races(now, machine));
        let (key, new) = match best {
            Some((key, crowded)) if !(crowded && may_open_another) => (key, false),
            None if self.connections.len() >= self.max_connections && !self.retire_longest_idle(now) => {
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
        connection.outstanding.insert(
            id,
            Outstanding { purpose, progress: Progress::NotConnected, exclusive: frame.exclusive },
        );
        connection.output.push_back(frame);
        Ok((key, new))
    }

    /// Retires the connection that has been idle longest, so that it is closed; returns false if none is
    /// idle.
    fn retire_longest_idle(&mut self, now: Millis) -> bool {
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

    /// Stops an attempt: removes it from the queue if no byte of it was written, or sends STOP to the
    /// machine. Returns its connection, which may have something to write, and what remains of the attempt.
    pub fn stop(&mut self, now: Millis, attempt: AttemptKey) -> Option<(ConnectionKey, Remainder)> {
        let (key, id) = self.by_attempt.remove(&attempt)?;
        let connection = self.connections.get_mut(&key)?;
        let stopped = connection.outstanding.remove(&id)?;
        let remainder = connection.remainder(now, stopped);
        if remainder == Remainder::Nothing {
            connection.output.retain(|frame| frame.opens_id.as_ref() != Some(&id));
        } else {
            let bytes = resp::frame(&[b"STOP", id.as_bytes()]);
            connection.output.push_back(Frame::command(bytes, None));
            connection.close_id(now, id);
        }
        connection.idle_since = now;
        Some((key, remainder))
    }

    /// Returns the attempt whose frame is partly written.
    pub fn partly_written(&self, key: ConnectionKey) -> Option<AttemptKey> {
        let connection = self.connections.get(&key).filter(|connection| connection.written > 0)?;
        let id = connection.output.front()?.opens_id.as_ref()?;
        match connection.outstanding.get(id)?.purpose {
            Purpose::Attempt(attempt) => Some(attempt),
            Purpose::Probe | Purpose::Greeting => None,
        }
    }

    /// Whether a connection is established.
    pub fn is_connected(&self, key: ConnectionKey) -> bool {
        self.connections.get(&key).is_some_and(|connection| connection.connected_at.is_some())
    }

    /// Whether no unanswered request of the connection has been written, even in part.
    pub fn nothing_in_flight(&self, key: ConnectionKey) -> bool {
        let sent = |connection: &Connection| {
            connection.written > 0
                || connection.outstanding.values().any(|o| o.progress > Progress::NotConnected)
        };
        self.connections.get(&key).is_some_and(|connection| !sent(connection))
    }

    /// Returns the attempt whose frame is next to be written, if no byte of it was written: it may still be
    /// withheld.
    pub fn next_unstarted(&self, key: ConnectionKey) -> Option<AttemptKey> {
        let connection = self
            .connections
            .get(&key)
            .filter(|connection| connection.connected_at.is_some() && connection.written == 0)?;
        let id = connection.output.front()?.opens_id.as_ref()?;
        match connection.outstanding.get(id)?.purpose {
            Purpose::Attempt(attempt) => Some(attempt),
            Purpose::Probe | Purpose::Greeting => None, // No request belongs to them.
        }
    }

    /// Sets the time limit of the next frame's attempt, before its first byte is written.
    pub fn set_time_limit(&mut self, key: ConnectionKey, limit_ms: Millis) {
        let Some(frame) = self.connections.get_mut(&key).and_then(|connection| connection.output.front_mut())
        else {
            return;
        };
        frame.set_time_limit(limit_ms);
    }

    /// Removes the next frame, no byte of which was written.
    pub fn withhold(&mut self, now: Millis, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(&key).filter(|connection| connection.written == 0)
        else {
            return;
        };
        let Some(frame) = connection.output.pop_front() else { return };
        connection.idle_since = now;
        let outstanding = frame.opens_id.and_then(|id| connection.outstanding.remove(&id));
        if let Some(Purpose::Attempt(attempt)) = outstanding.map(|outstanding| outstanding.purpose) {
            self.by_attempt.remove(&attempt);
        }
    }

    /// Returns the next bytes to write.
    pub fn output(&self, key: ConnectionKey) -> Option<&[u8]> {
        let connection = self.connections.get(&key).filter(|connection| connection.connected_at.is_some())?;
        let may_send = |frame: &&Frame| {
            let id = frame.opens_id.as_ref().and_then(|id| connection.outstanding.get(id));
            connection.greeting_deadline.is_none() || id.is_some_and(|open| open.purpose == Purpose::Greeting)
        };
        connection.output.front().filter(may_send).map(|frame| frame.rest(connection.written))
    }

    /// Records that `bytes` of the output were written. Returns the attempt that has progressed by it.
    pub fn wrote(&mut self, now: Millis, key: ConnectionKey, bytes: usize) -> Option<(AttemptKey, Progress)> {
        let connection = self.connections.get_mut(&key)?;
        connection.written += bytes;
        let frame = connection.output.front()?;
        let complete = connection.written >= frame.len();
        let progress = if complete { Progress::WrittenWhole } else { Progress::PartlyWritten };
        let outstanding = frame.opens_id.as_ref().and_then(|id| connection.outstanding.get_mut(id));
        let purpose = outstanding.map(|open| {
            open.progress = progress;
            open.purpose
        });
        if complete {
            connection.silent_since = connection.silent_since.or(frame.opens_id.as_ref().map(|_| now));
            connection.output.pop_front();
            connection.written = 0;
        }
        match purpose {
            Some(Purpose::Attempt(attempt)) => Some((attempt, progress)),
            _ => None,
        }
    }

    /// Returns how many bytes to read next, at most; `None` while the body of an answer awaits memory, see
    /// [`ConnectionPool::awaited_body`].
    pub fn read_limit(&self, key: ConnectionKey) -> Option<usize> {
        let connection = self.connections.get(&key)?;
        connection.decoder.awaited_grant().is_none().then(|| connection.decoder.read_limit())
    }

    /// Returns the size of the answer body that must be granted before it can be read, if there is one.
    pub fn awaited_body(&self, key: ConnectionKey) -> Option<usize> {
        self.connections.get(&key)?.decoder.awaited_grant()
    }

    /// Pauses a connection until its body is granted. Its machine is not held responsible for the pause.
    pub fn pause(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.paused = true;
        }
    }

    /// Allows the awaited body to be read, and processes what was received behind its length.
    pub fn grant_body(
        &mut self,
        now: Millis,
        key: ConnectionKey,
    ) -> (Vec<EndpointEvent>, Option<ProtocolError>) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.decoder.grant_part();
            if std::mem::take(&mut connection.paused) {
                connection.answer_started_at = now;
            }
        }
        self.receive(now, key, b"")
    }

    /// Processes received bytes. After an error the connection must be closed.
    pub fn receive(
        &mut self,
        now: Millis,
        key: ConnectionKey,
        bytes: &[u8],
    ) -> (Vec<EndpointEvent>, Option<ProtocolError>) {
        let mut events = Vec::new();
        let Some(connection) = self.connections.get_mut(&key) else { return (events, None) };
        // Bytes after a complete frame arrived together with its last ones, now.
        let (mut answer_starts, mut answered) = (!connection.decoder.has_partial_frame(), false);
        connection.decoder.feed(bytes);
        let error = loop {
            let frame = connection.decoder.next_frame();
            answer_starts |= matches!(frame, Ok(Some(_)));
            match frame {
                Ok(Some(frame)) => {
                    match connection.handle_frame(
                        now,
                        frame,
                        self.addresses.settings().is_some_and(|settings| settings.verify_names),
                    ) {
                        Ok(EndpointEvent::Greeted) => {}
                        Ok(event) => {
                            answered |= matches!(event, EndpointEvent::Answer(..) | EndpointEvent::Probe(..));
                            if let EndpointEvent::Answer(attempt, _) = &event {
                                self.by_attempt.remove(attempt);
                            }
                            events.push(event);
                        }
                        Err(error) => break Some(error),
                    }
                }
                Ok(None) => break None,
                Err(error) => break Some(error),
            }
        };
        if let Some(endpoint) = connection.endpoint.as_ref().filter(|_| answered) {
            self.addresses.record_answer(now, &connection.machine, endpoint);
            (connection.silence_reported, connection.trial) = (false, None);
        }
        (connection.idle_since, connection.last_received_at) = (now, now);
        connection.answer_started_at = if answer_starts { now } else { connection.answer_started_at };
        let awaits_answer =
            connection.outstanding.values().any(|open| open.progress == Progress::WrittenWhole);
        connection.silent_since = awaits_answer.then_some(now);
        (events, error)
    }

    /// Handles a connection that has closed or was never established. If it was established, frames of which
    /// no byte was written move to other connections, each at most [`MAX_MOVES`] times, since the close of
    /// one connection does not show that the machine has failed. `failure`: how the endpoint failed, if the
    /// close shows that it did.
    pub fn connection_closed(
        &mut self,
        now: Millis,
        key: ConnectionKey,
        failure: Option<EndpointFailure>,
    ) -> ClosedConnection {
        let mut closed = ClosedConnection::default();
        let Some(mut connection) = self.connections.remove(&key) else { return closed };
        self.dialing.remove(&key);
        closed.dials = connection
            .race
            .as_ref()
            .map_or(Vec::new(), |race| race.open_dials().iter().map(|d| d.key).collect());
        if let Some(race) = connection.race.as_ref().filter(|_| !connection.retired) {
            for dial in race.open_dials() {
                closed.paused.extend(pause_endpoint(
                    &mut self.addresses,
                    now,
                    &connection.machine,
                    &dial.endpoint,
                    EndpointFailure::ConnectTimeout,
                ));
            }
        }
        if let Some(endpoint) = &connection.endpoint {
            if let Some(why) = failure {
                closed.paused.extend(pause_endpoint(
                    &mut self.addresses,
                    now,
                    &connection.machine,
                    endpoint,
                    why,
                ));
            }
        }
        if let Some(endpoint) = &connection.trial {
            self.addresses.end_trial(now, &connection.machine, endpoint);
        }
        // While the endpoint still accepts requests, other connections over it may be dead as well: then
        // frames move only to connections that are not yet established.
        let may_reuse = connection
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
                    if let Ok((to, _)) = self.queue(now, purpose, &connection.machine, frame, may_reuse) {
                        closed.moved.insert(to);
                        continue;
                    }
                }
            }
            match purpose {
                Purpose::Attempt(attempt) => {
                    self.by_attempt.remove(&attempt);
                    closed.lost.push((attempt, progress));
                }
                Purpose::Probe => closed.probes.push(connection.machine.clone()),
                Purpose::Greeting => {}
            }
        }
        closed.lost.sort_unstable();
        closed
    }

    /// Returns the connection that carries an attempt.
    pub fn connection_of(&self, attempt: AttemptKey) -> Option<ConnectionKey> {
        self.by_attempt.get(&attempt).map(|(key, _)| *key)
    }

    /// Returns the endpoint that a connection is connected to.
    pub fn endpoint(&self, key: ConnectionKey) -> Option<&Endpoint> {
        self.connections.get(&key)?.endpoint.as_ref()
    }

    /// Returns the machine that a connection belongs to.
    pub fn machine(&self, key: ConnectionKey) -> Option<&CacheId> {
        self.connections.get(&key).map(|connection| &connection.machine)
    }

    /// Returns the open dials of a connection and their endpoints.
    pub fn dials(&self, key: ConnectionKey) -> Vec<(DialKey, Endpoint)> {
        let race = self.connections.get(&key).and_then(|connection| connection.race.as_ref());
        race.map_or(Vec::new(), |race| {
            race.open_dials().iter().map(|d| (d.key, d.endpoint.clone())).collect()
        })
    }

    /// Closes a machine's connections once they carry nothing; it is leaving.
    pub fn retire(&mut self, machine: &CacheId) {
        self.connections
            .values_mut()
            .filter(|connection| connection.machine == *machine)
            .for_each(|connection| connection.retired = true);
    }

    /// Returns the connections to a machine that were dialed before it restarted at `at`.
    pub fn dialed_before(&self, machine: &CacheId, at: Millis) -> Vec<ConnectionKey> {
        let old = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.machine == *machine && connection.dialed_at < at);
        old.map(|(key, _)| *key).collect()
    }

    /// Returns the connections that must be closed now, and why.
    pub fn expired(&self, now: Millis) -> Vec<(ConnectionKey, EndpointClose)> {
        let close_reason = |connection: &Connection| {
            let empty = connection.outstanding.is_empty() && connection.output.is_empty();
            let expired = connection.deadline(self.idle_timeout_ms).is_some_and(|at| at <= now);
            match connection.connected_at {
                None if connection.retired && empty => Some(EndpointClose::NotNeeded),
                None => connection.race.as_ref().filter(|race| race.is_over(now)).map(|race| {
                    match race.lacks_resources() {
                        true => EndpointClose::NoRoom,
                        false => EndpointClose::ConnectTimeout,
                    }
                }),
                Some(_) if connection.greeting_deadline.is_some() => {
                    expired.then_some(EndpointClose::NoGreeting)
                }
                Some(_) if connection.paused => None,
                Some(_) if connection.decoder.has_partial_frame() => {
                    expired.then_some(EndpointClose::Stalled)
                }
                Some(_) => {
                    (expired || (empty && connection.is_unresponsive(now))).then_some(EndpointClose::Idle)
                }
            }
        };
        self.connections
            .iter()
            .filter_map(|(key, connection)| Some((*key, close_reason(connection)?)))
            .collect()
    }

    /// Returns when expired or unresponsive connections and dials must be checked next.
    pub fn next_deadline(&self) -> Option<Millis> {
        let connections = self
            .connections
            .values()
            .filter_map(|connection| connection.deadline(self.idle_timeout_ms))
            .reduce(f64::min);
        let settings = self.addresses.settings();
        let silent = || {
            self.connections
                .values()
                .filter(|connection| connection.connected_at.is_some() && !connection.silence_reported)
                .filter(|connection| !connection.paused)
                .filter_map(|connection| connection.silent_since)
        };
        let unresponsive =
            settings.and_then(|_| silent().map(|since| since + UNRESPONSIVE_MS + 1.0).reduce(f64::min));
        [connections, unresponsive, self.addresses.next_deadline()].into_iter().flatten().reduce(f64::min)
    }

    /// Returns the number of connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }
}
