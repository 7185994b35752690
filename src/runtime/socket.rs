//! One socket in the loop, and how to make one.

use super::{Runtime, Source};
use crate::addresses::Endpoint;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::rc::Rc;

/// Connections that may wait to be accepted: hundreds can come together, and one that finds no place here
/// tries again only after a second.
const BACKLOG: i32 = 1024;
/// A connect that goes on by itself, on Linux; it has no stable [`ErrorKind`].
const EINPROGRESS: i32 = 115;

/// A socket in the loop. Edge-triggered: what it was last found able to do is kept here.
pub(super) struct Sock {
    pub(super) stream: Rc<Socket>,
    pub(super) token: RegistrationToken,
    pub(super) readable: bool,
    pub(super) writable: bool,
}

/// How a round of reading or writing ended.
pub(super) enum Io {
    /// The socket can do no more now.
    Blocked,
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
    handle.insert_source(generic, noted).map_err(|e| io::Error::other(e.to_string()))
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
    let socket = Socket::new(domain, Type::STREAM, protocol)?;
    socket.set_nonblocking(true)?;
    if protocol.is_some() {
        socket.set_tcp_nodelay(true)?;
    }
    match socket.connect(&address) {
        // A Unix socket whose queue is full says EAGAIN and does not go on by itself.
        Err(e) if protocol.is_none() || !is_under_way(&e) => Err(e),
        _ => Ok(socket),
    }
}

pub(super) fn is_under_way(e: &io::Error) -> bool {
    e.kind() == ErrorKind::WouldBlock || e.raw_os_error() == Some(EINPROGRESS)
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
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                *able = false;
                return Err(Io::Blocked);
            }
            Err(_) => return Err(Io::Broken),
        }
    }
}
