//! Nonblocking sockets registered with the event loop, and how they are created.

use super::{Runtime, Source};
use crate::addresses::{Endpoint, EndpointFailure};
use crate::back::DialError;
use crate::errno::{self, ErrorClass};
use crate::front::Unsent;
use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, Readiness, RegistrationToken};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::rc::Rc;

/// Length of the listen queue, in connections. Hundreds may arrive together, and a client that finds the
/// queue full retries only after a second.
const BACKLOG: i32 = 1024;
/// Precision of [`PolledSocket::unsent`], in bytes.
const UNSENT_STEP_BYTES: u32 = 16 * 1024;
/// More steps than a kernel buffer has, which is 4 MB by default (net.ipv4.tcp_wmem).
const MAX_UNSENT_STEPS: u32 = 1024;
/// The value of TCP_NOTSENT_LOWAT that means the system's default.
const SYSTEM_DEFAULT: u32 = 0;

/// A socket registered with the event loop. Events are edge-triggered, so the last known readiness is kept
/// here.
pub(super) struct PolledSocket {
    pub(super) stream: Rc<Socket>,
    /// `None` while the event loop lacks resources to register the socket, which is retried until it
    /// succeeds.
    pub(super) token: Option<RegistrationToken>,
    pub(super) readable: bool,
    pub(super) writable: bool,
}

/// Why a read or write transferred nothing.
pub(super) enum IoStatus {
    /// The socket is not ready.
    Blocked,
    /// This machine lacks a resource. The operation must be retried after a pause, as no readiness event will
    /// follow.
    Shortage,
    /// The peer has closed its side.
    Closed,
    /// The connection is broken: reset by the peer, or the route is gone.
    Broken,
}

/// Registers a descriptor with the event loop, edge-triggered; its readiness is collected in
/// [`Runtime::ready`].
pub(super) fn register<F: AsFd + 'static>(
    handle: &LoopHandle<'static, Runtime>,
    file: F,
    source: Source,
    interest: Interest,
) -> io::Result<RegistrationToken> {
    let generic = Generic::new(file, interest, Mode::Edge);
    let record = move |readiness: Readiness, _: &mut calloop::generic::NoIoDrop<F>, state: &mut Runtime| {
        let known = state.ready.entry(source).or_insert(Readiness::EMPTY);
        known.readable |= readiness.readable;
        known.writable |= readiness.writable;
        known.error |= readiness.error;
        Ok(PostAction::Continue)
    };
    handle.insert_source(generic, record).map_err(|e| io_error(e.error))
}

/// Converts an error of the event loop to an I/O error.
pub(super) fn io_error(error: calloop::Error) -> io::Error {
    match error {
        calloop::Error::IoError(error) => error,
        other => io::Error::other(other.to_string()),
    }
}

/// Creates a nonblocking TCP listener.
pub(super) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_reuse_address(true)?; // Connections from before a restart may be in TIME_WAIT.
    socket.set_reuse_port(true)?; // A new process starts while the old one still serves.
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket.into())
}

/// Creates a socket and starts a nonblocking connect.
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
        // An interrupted connect continues asynchronously, like one in progress (connect(2)).
        Err(e) if matches!(Errno::from_io_error(&e), Some(Errno::INPROGRESS | Errno::INTR)) => Ok(socket),
        Err(e) => Err(e),
    }
}

/// Classifies the error of a dial, whether connect failed at once or later.
pub(super) fn classify_dial_error(endpoint: &Endpoint, error: &io::Error) -> DialError {
    match (errno::classify(error), endpoint) {
        (ErrorClass::Shortage | ErrorClass::Interrupted, _) => DialError::NoRoom,
        // EAGAIN from connect means a full listen queue on a Unix socket, and a lack of local ports on TCP.
        (ErrorClass::WouldBlock, Endpoint::Unix(_)) => DialError::Failed(EndpointFailure::Refused),
        (ErrorClass::WouldBlock, Endpoint::Tcp(_)) => DialError::NoRoom,
        (ErrorClass::Unreachable, _) => DialError::Unreachable,
        (ErrorClass::Peer, _) if error.kind() == ErrorKind::TimedOut => {
            DialError::Failed(EndpointFailure::ConnectTimeout)
        }
        (ErrorClass::Peer, _) => DialError::Failed(EndpointFailure::Refused),
    }
}

impl PolledSocket {
    /// Reads once into `buffer` and returns the number of bytes, at least one.
    pub(super) fn read(&mut self, buffer: &mut [u8]) -> Result<usize, IoStatus> {
        perform_io(&mut self.readable, || (&*self.stream).read(buffer))
    }

    /// Returns whether input waits to be read. False where that can't be asked.
    pub(super) fn has_unread_input(&self) -> bool {
        rustix::io::ioctl_fionread(&*self.stream).is_ok_and(|bytes| bytes > 0)
    }

    /// Returns whether the peer has closed its side, although what it sent before may still have to be read.
    pub(super) fn peer_has_closed(&self) -> bool {
        const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        let mut polled = [PollFd::new(&*self.stream, PollFlags::RDHUP)];
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        poll(&mut polled, Some(&NO_WAIT)).is_ok() && polled[0].revents().intersects(closed)
    }

    /// Returns whether the kernel holds bytes that it has not sent, because the peer's receive window is full.
    /// False where that can't be asked, such as on Unix sockets.
    ///
    /// With TCP_NOTSENT_LOWAT (tcp(7)) at one byte, a socket polls as writable only if nothing is unsent.
    pub(super) fn has_unsent_bytes(&self) -> bool {
        const ANY_BYTE: u32 = 1;
        self.holds_unsent(ANY_BYTE)
    }

    /// Returns how many bytes the kernel holds that it has not sent, in steps of [`UNSENT_STEP_BYTES`].
    /// `previous` is what it held before, from which the search begins.
    pub(super) fn unsent(&self, previous: Unsent) -> Unsent {
        if !self.has_unsent_bytes() {
            return Unsent::Nothing;
        }
        let (mut low, mut high) = (0, MAX_UNSENT_STEPS);
        if let Unsent::Below(bytes) = previous {
            let steps = bytes / UNSENT_STEP_BYTES;
            if self.holds_unsent(bytes) {
                low = steps;
            } else if steps > 0 && self.holds_unsent(bytes - UNSENT_STEP_BYTES) {
                return previous;
            } else {
                high = steps.max(1);
            }
        } else if self.holds_unsent(high * UNSENT_STEP_BYTES) {
            return Unsent::BufferFull;
        }
        // At least `low` steps are unsent, and fewer than `high`, unless the buffer is full.
        while high - low > 1 {
            let middle = (low + high) / 2;
            match self.holds_unsent(middle * UNSENT_STEP_BYTES) {
                true => low = middle,
                false => high = middle,
            }
        }
        match high {
            MAX_UNSENT_STEPS => Unsent::BufferFull,
            steps => Unsent::Below(steps * UNSENT_STEP_BYTES),
        }
    }

    /// Whether the kernel holds at least this many unsent bytes, or its buffer is nearly full.
    fn holds_unsent(&self, bytes: u32) -> bool {
        const NO_WAIT: Timespec = Timespec { tv_sec: 0, tv_nsec: 0 };
        if self.stream.set_tcp_notsent_lowat(bytes).is_err() {
            return false;
        }
        let polled = poll(&mut [PollFd::new(&*self.stream, PollFlags::OUT)], Some(&NO_WAIT));
        // The option was just accepted, so the system knows it.
        let _ = self.stream.set_tcp_notsent_lowat(SYSTEM_DEFAULT);
        polled == Ok(0)
    }

    /// Writes once and returns the number of bytes written, at least one.
    pub(super) fn write(&mut self, bytes: &[u8]) -> Result<usize, IoStatus> {
        perform_io(&mut self.writable, || (&*self.stream).write(bytes))
    }
}

/// Reads or writes once, retrying if a signal interrupts the call. Clears `ready` when the call would block.
pub(super) fn perform_io(
    ready: &mut bool,
    mut io: impl FnMut() -> io::Result<usize>,
) -> Result<usize, IoStatus> {
    loop {
        match io() {
            Ok(0) => return Err(IoStatus::Closed),
            Ok(bytes) => return Ok(bytes),
            Err(e) => match errno::classify(&e) {
                ErrorClass::Interrupted => {}
                ErrorClass::WouldBlock => {
                    *ready = false;
                    return Err(IoStatus::Blocked);
                }
                ErrorClass::Shortage => return Err(IoStatus::Shortage),
                ErrorClass::Unreachable | ErrorClass::Peer => return Err(IoStatus::Broken),
            },
        }
    }
}
