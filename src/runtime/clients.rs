//! Clients' sockets: accepted, read, written, shed and closed. What they mean is [`front`]'s.

use super::socket::{Io, Sock};
use super::{Runtime, Source};
use crate::api::Millis;
use crate::errno::{self, Verdict};
use crate::front::{self, Conn, TimeoutStatus};
use crate::reasons::{ClientClose, Reason as _, Violation};
use crate::reducer::{Client, Input};
use crate::{say, trace_event};
use rustix::io::Errno;
use socket2::Socket;
use std::rc::Rc;

/// Bytes read from one client before others have their turn. What it has sent is heard to its end where that can be: it
/// may be that it has left.
const READ_AT_ONCE: usize = 512 * 1024;
/// Connections accepted before others have their turn.
const ACCEPT_AT_ONCE: usize = 64;
/// Connections in one round that may have broken before they were accepted.
const ACCEPT_FAULTS: usize = 8;
/// How long to wait before accepting again when there is no descriptor for another connection.
const ACCEPT_PAUSE_MS: Millis = 20.0;

/// What a client's connection has brought, for the reducer.
pub(super) fn heard_input(conn: u64, heard: front::ClientEvent) -> Input {
    let client = |serial| Client { conn, serial };
    match heard {
        front::ClientEvent::Request(serial, ask, age_ms) => {
            Input::Asked { client: client(serial), ask, age_ms }
        }
        front::ClientEvent::HealthCheck(serial) => Input::Health { client: client(serial) },
        front::ClientEvent::Aborted(serial) => Input::Aborted { client: client(serial) },
        front::ClientEvent::RequestTruncated(serial) => Input::CutShort { client: client(serial) },
    }
}

/// How a round of accepting ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Accepted {
    /// Nobody waits.
    All,
    /// More may wait: others have their turn first.
    Some,
    /// No more can be taken now; it is tried again shortly.
    Paused,
}

impl Runtime {
    /// Accepts connections. Where the listener is to close, it does once nobody waits in its queue: what the system has
    /// let in there is nobody else's, and a close would reset it.
    pub(super) fn accept(&mut self) -> Accepted {
        let accepted = self.accept_waiting();
        match accepted {
            Accepted::All if self.stops_listening => self.close_listener(),
            Accepted::All => {}
            Accepted::Some => drop(self.dirty.insert(Source::Listener)),
            Accepted::Paused => self.accept_from = Some(self.now() + ACCEPT_PAUSE_MS),
        }
        accepted
    }

    fn accept_waiting(&mut self) -> Accepted {
        let mut faults = 0;
        for _ in 0..ACCEPT_AT_ONCE {
            let Some((listener, _)) = &self.listener else { return Accepted::All };
            let listener = listener.clone();
            if self.fronts.len() >= self.reducer.most_clients() && !self.shed_front() {
                return Accepted::Paused;
            }
            match listener.accept() {
                Ok((stream, peer)) => {
                    self.next_front += 1;
                    let client = self.next_front;
                    // Without these it is slower, or held up for a moment; that is no reason to reset a client.
                    let set = stream.set_nonblocking(true).and_then(|()| stream.set_nodelay(true));

                    if let Err(e) = set {
                        say!("an option of a client's connection can't be set: {e}");
                    }
                    let sock = self.watch(Rc::new(Socket::from(stream)), Source::Front(client), true);
                    let conn = Conn::new(self.now()).with_client_timeout(self.reducer.longest_ms());
                    self.fronts.insert(client, (sock, conn));
                    trace_event!(self.now(), "client_accepted", client, peer = %peer);
                    self.dirty.insert(Source::Front(client));
                    self.bound_lingering();
                }
                Err(e) => match errno::verdict(&e) {
                    Verdict::WouldBlock => return Accepted::All,
                    Verdict::Interrupted => {}
                    // What has become of a connection before it was accepted (accept(2)): the next one may be well.
                    Verdict::Peer | Verdict::Unreachable => faults += 1,
                    Verdict::Shortage => {
                        say!("cannot accept: {e}");
                        if Errno::from_io_error(&e) == Some(Errno::MFILE) {
                            self.shed_front(); // Of this process's own descriptors one can be had.
                        }
                        return Accepted::Paused;
                    }
                },
            }
            if faults >= ACCEPT_FAULTS {
                return Accepted::Paused;
            }
        }
        Accepted::Some
    }

    fn close_listener(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
            trace_event!(self.now(), "listener_closed",);
        }
    }

    /// Makes room for another client: the silent and then the longest idle ones go first. What has just come on one
    /// is read before, as it isn't spare then; and it doesn't linger, since its descriptor is what is wanted.
    pub(super) fn shed_front(&mut self) -> bool {
        let now = self.now();
        let spare = self.fronts.iter().filter_map(|(key, (_, conn))| Some((conn.shed_priority(now)?, *key)));
        let mut spare: Vec<_> = spare.collect();
        spare.sort_unstable();
        for (_, key) in spare {
            if self.read_unheard(key).is_none()
                && self.fronts.get(&key).is_none_or(|(_, c)| c.shed_priority(now).is_none())
            {
                continue;
            }
            self.reducer.counters.clients_shed += 1;
            self.end_front(key, ClientClose::Shed);
            return true;
        }
        false
    }

    /// Looks for clients that are silent, deaf or gone, and for requests that should have been whole by now.
    pub(super) fn sweep(&mut self, now: Millis) {
        let (mut over, mut idle) = (Vec::new(), Vec::new());
        for (key, (_, conn)) in &mut self.fronts {
            let before = conn.buffered_bytes();
            match conn.check_timeouts(now) {
                TimeoutStatus::Ok => {}
                TimeoutStatus::Connection(reason) if conn.can_close_cleanly(now) => idle.push((*key, reason)),
                TimeoutStatus::Connection(reason) => over.push((*key, reason)),
                TimeoutStatus::Requests(late) => {
                    self.inbox.extend(late.into_iter().map(|heard| heard_input(*key, heard)));
                }
            }
            self.coming = self.coming + conn.buffered_bytes() - before;
        }
        self.reducer.counters.clients_stale += (over.len() + idle.len()) as u64;
        over.into_iter().for_each(|(key, reason)| self.end_front(key, reason));
        idle.into_iter().for_each(|(key, reason)| self.rest_front(key, reason));
    }

    /// Closes a connection that rests, unless its client has just sent something.
    pub(super) fn rest_front(&mut self, key: u64, reason: ClientClose) {
        match self.read_unheard(key) {
            Some(over) => self.end_front(key, over),
            None if self.fronts.get(&key).is_some_and(|(_, conn)| conn.can_close_cleanly(self.now())) => {
                self.close_front(key, reason);
            }
            None => drop(self.dirty.insert(Source::Front(key))),
        }
    }

    pub(super) fn serve_front(&mut self, key: u64) {
        if let Some(over) = self.read_front(key).or_else(|| self.write_front(key)) {
            return self.end_front(key, over);
        }
        let over = self.fronts.get(&key).and_then(|(_, conn)| conn.close_reason());
        if let Some(reason) = over {
            self.close_front(key, reason);
        }
    }

    /// Reads what a client has sent, also where the loop has had no word of it yet.
    pub(super) fn read_unheard(&mut self, key: u64) -> Option<ClientClose> {
        self.fronts.get_mut(&key)?.0.readable = true;
        self.read_front(key)
    }

    /// Reads what a client has sent; why its connection is over, if it is.
    pub(super) fn read_front(&mut self, key: u64) -> Option<ClientClose> {
        let mut read = 0;
        loop {
            let now = self.now();
            let (sock, conn) = self.fronts.get_mut(&key)?;
            if !sock.readable || !conn.may_read() {
                return None;
            }
            if read >= READ_AT_ONCE {
                self.dirty.insert(Source::Front(key));
                return None;
            }
            let bytes = match sock.read(&mut self.buffer) {
                Ok(bytes) => bytes,
                Err(Io::Closed) => return Some(ClientClose::PeerClosed),
                Err(Io::Broken) => return Some(ClientClose::PeerReset),
                Err(Io::Blocked) => return None,
                Err(Io::Starved) => {
                    self.starve(Source::Front(key));
                    return None;
                }
            };
            read += bytes;
            let before = conn.buffered_bytes();
            let (heard, fault) = conn.receive(now, &self.buffer[..bytes]);
            self.coming = self.coming + conn.buffered_bytes() - before;
            let bytes = conn.take_retracted_bytes();
            if bytes > 0 {
                self.inbox.push(Input::Flushed { conn: key, bytes });
            }
            self.inbox.extend(heard.into_iter().map(|heard| heard_input(key, heard)));
            if let Some(fault) = fault {
                self.reducer.counters.client_faults += 1;
                say!("a client's record can't be read: {fault:?}");
                self.finish_front(key, ClientClose::Unreadable);
                return None;
            }
            if self.coming > self.most_coming {
                self.relieve();
            }
        }
    }

    /// Requests that are coming in hold too much: the connection that holds most ends.
    pub(super) fn relieve(&mut self) {
        let most = self.fronts.iter().max_by_key(|(_, (_, conn))| conn.buffered_bytes());
        let Some(key) = most.map(|(key, _)| *key) else { return };
        self.reducer.counters.client_faults += 1;
        say!("no memory for what a client sends");
        self.finish_front(key, ClientClose::NoMemory);
    }

    /// Nothing more is read from a client: what it has asked whole is answered, and then its connection is closed.
    fn finish_front(&mut self, key: u64, reason: ClientClose) {
        let Some((_, conn)) = self.fronts.get_mut(&key) else { return };
        self.coming -= conn.buffered_bytes();
        conn.stop_reading(reason);
        self.inbox.push(Input::Unreadable { conn: key });
        self.dirty.insert(Source::Front(key));
    }

    /// Writes what a client is owed; why its connection is over, if it is.
    pub(super) fn write_front(&mut self, key: u64) -> Option<ClientClose> {
        let (mut written, now) = (0, self.now());
        let (sock, conn) = self.fronts.get_mut(&key)?;
        let deaf = !conn.may_read();
        let mut starved = false;
        let over = loop {
            let Some(bytes) = conn.output().filter(|_| sock.writable) else { break None };
            match sock.write(bytes) {
                Ok(bytes) => {
                    conn.wrote(now, bytes);
                    written += bytes;
                }
                Err(Io::Closed | Io::Broken) => break Some(ClientClose::PeerReset),
                Err(Io::Blocked) => {
                    conn.write_blocked(now);
                    break None;
                }
                Err(Io::Starved) => {
                    starved = true;
                    break None;
                }
            }
        };
        let again = starved;
        if deaf && conn.may_read() && sock.readable {
            self.dirty.insert(Source::Front(key));
        }
        if again {
            self.starve(Source::Front(key));
        }
        if written > 0 {
            self.inbox.push(Input::Flushed { conn: key, bytes: written });
        }
        over
    }

    /// A client's connection is over: what is owed on it is written as far as that goes at once.
    pub(super) fn end_front(&mut self, key: u64, reason: ClientClose) {
        let peer_is_there = match reason {
            ClientClose::PeerClosed | ClientClose::PeerReset | ClientClose::Panic => false,
            ClientClose::Shed => false, // It doesn't linger: its descriptor is what is wanted.
            ClientClose::Unreadable
            | ClientClose::NoMemory
            | ClientClose::Silent
            | ClientClose::Idle
            | ClientClose::Deaf
            | ClientClose::Draining
            | ClientClose::NotKept
            | ClientClose::ProcessExit => true,
        };
        if peer_is_there && self.write_front(key).is_none() {
            return self.close_front(key, reason);
        }
        if let Some(sock) = self.forget_front(key, reason) {
            self.drop_sock(&sock);
        }
    }

    /// Closes a client's connection from this side.
    pub(super) fn close_front(&mut self, key: u64, reason: ClientClose) {
        if let Some(sock) = self.forget_front(key, reason) {
            self.linger(Source::Front(key), sock);
        }
    }

    pub(super) fn forget_front(&mut self, key: u64, reason: ClientClose) -> Option<Sock> {
        let (sock, conn) = self.fronts.remove(&key)?;
        self.reducer.counters.reasons.client_closes.add(reason);
        let (open, owed, unwritten) = (conn.open_requests(), conn.owed_answers(), conn.unwritten_bytes());
        trace_event!(self.now(), "client_closed", client = key, reason = reason.key(), open, owed, unwritten);
        // One that takes nothing of what it is owed can't be answered either.
        let by_client =
            matches!(reason, ClientClose::PeerClosed | ClientClose::PeerReset | ClientClose::Deaf);
        if owed > 0 && !by_client {
            let why = format_args!("client {key} was closed ({reason}) over {owed} requests");
            self.violated(Violation::ClosedOwing, why);
        }
        self.coming -= conn.buffered_bytes();
        self.inbox.push(Input::Closed { conn: key });
        Some(sock)
    }
}
