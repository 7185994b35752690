//! One socket in the loop, and how to make one.

use super::{Runtime, Source};
use crate::addresses::{Endpoint, EndpointFailure};
use crate::back::DialError;
use crate::errno::{self, Verdict};
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::io::Errno;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::rc::Rc;

/// Connections that may wait to be accepted: hundreds can come together, and one that finds no place here
/// tries again only after a second.
const BACKLOG: i32 = 1024;

/// A socket in the loop. Edge-triggered: what it was last found able to do is kept here.
pub(super) struct Sock {
    pub(super) stream: Rc<Socket>,
    /// None: the loop had no room for it yet, and it is looked at again and again until it has.
    pub(super) token: Option<RegistrationToken>,
    pub(super) readable: bool,
    pub(super) writable: bool,
}

/// How a round of reading or writing ended.
pub(super) enum Io {
    /// The socket can do no more now.
    Blocked,
    /// This machine lacks something for it now. To be tried again shortly: no readiness will tell.
    Starved,
    /// The peer has closed its side.
    Closed,
    /// It is broken: reset by its peer, or its path is gone.
    Broken,
}

pub(super) fn register<F: AsFd + 'static>(
    handle: &LoopHandle<'static, Runtime>,
    file: F,
    source: Source,
    interest: Interest,
) -> io::Result<RegistrationToken> {
    let generic = Generic::new(file, interest, Mode::Edge);
    let noted = move |readiness: Readiness, _: &mut calloop::generic::NoIoDrop<F>, state: &mut Runtime| {
        let known = state.ready.entry(source).or_insert(Readiness::EMPTY);
        known.readable |= readiness.readable;
        known.writable |= readiness.writable;
        known.error |= readiness.error;
        Ok(PostAction::Continue)
    };
    handle.insert_source(generic, noted).map_err(|e| io_error(e.error))
}

/// The system's error in one of the event loop's.
pub(super) fn io_error(error: calloop::Error) -> io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        other => io::Error::other(other.to_string()),
    }
}

pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?; // Connections from before a restart may still be closing.
    socket.set_reuse_port(true)?; // A new version starts while the old one still serves.
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Starts to connect.
pub(super) fn dial(endpoint: &Endpoint) -> io::Result<Socket> {
    let (domain, protocol, address) = match endpoint {
        Endpoint::Unix(path) => (Domain::UNIX, None, SockAddr::unix(path)?),
        Endpoint::Tcp(address) => (Domain::for_address(*address), Some(Protocol::TCP), (*address).into()),
    };
    let socket = Socket::new(domain, Type::STREAM.nonblocking(), protocol)?;
    if protocol.is_some() {
        socket.set_tcp_nodelay(true)?;
    }
    match socket.connect(&address) {
        Ok(()) => Ok(socket),
        // A connect that is interrupted goes on by itself, as one that takes its time does (connect(2)).
        Err(e) if matches!(Errno::from_io_error(&e), Some(Errno::INPROGRESS | Errno::INTR)) => Ok(socket),
        Err(e) => Err(e),
    }
}

/// What it says of a path that its dial has ended with an error, at once or later.
pub(super) fn dial_end(endpoint: &Endpoint, error: &io::Error) -> DialError {
    match (errno::verdict(error), endpoint) {
        (Verdict::Shortage | Verdict::Interrupted, _) => DialError::NoRoom,
        // A Unix socket's connect says so where the peer's queue is full, any other's where ports are short.
        (Verdict::WouldBlock, Endpoint::Unix(_)) => DialError::Failed(EndpointFailure::Refused),
        (Verdict::WouldBlock, Endpoint::Tcp(_)) => DialError::NoRoom,
        (Verdict::Unreachable, _) => DialError::Unreachable,
        (Verdict::Peer, _) if error.kind() == ErrorKind::TimedOut => {
            DialError::Failed(EndpointFailure::ConnectTimeout)
        }
        (Verdict::Peer, _) => DialError::Failed(EndpointFailure::Refused),
    }
}

impl Sock {
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> Result<usize, Io> {
        once(&mut self.readable, || (&*self.stream).read(buffer))
    }

    pub(super) fn write(&mut self, bytes: &[u8]) -> Result<usize, Io> {
        once(&mut self.writable, || (&*self.stream).write(bytes))
    }
}

/// Reads or writes once; `able` is taken away when the socket can do no more.
pub(super) fn once(able: &mut bool, mut io: impl FnMut() -> io::Result<usize>) -> Result<usize, Io> {
    loop {
        match io() {
            Ok(0) => return Err(Io::Closed),
            Ok(bytes) => return Ok(bytes),
            Err(e) => match errno::verdict(&e) {
                Verdict::Interrupted => {}
                Verdict::WouldBlock => {
                    *able = false;
                    return Err(Io::Blocked);
                }
                Verdict::Shortage => return Err(Io::Starved),
                Verdict::Unreachable | Verdict::Peer => return Err(Io::Broken),
            },
        }
    }
}
