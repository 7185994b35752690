//! A loopback address of one's own, so that a port that is free for a moment stays free.
//!
//! Routers are told their ports before they run, and machines come back to theirs. On the address that all sockets
//! share, whoever binds port 0 meanwhile may be given one of these; on one's own nobody else binds any.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Its holder alone binds this port; it lies outside of what the system gives for port 0.
const HELD_PORT: u16 = 7401;
/// Addresses that are tried: 127.64.0.1 and those after it.
const FIRST: u32 = 0x7f40_0001;
const MOST: u32 = 1 << 16;

/// One address, nobody else's in these processes or others of this program as long as it is held.
#[derive(Debug)]
pub struct OwnIp {
    ip: Ipv4Addr,
    _held: UdpSocket,
}

impl OwnIp {
    /// Takes the first that nobody holds. An error: none is free, or this machine has one loopback address only.
    pub fn take() -> io::Result<Self> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for at in 0..MOST {
            let ip = Ipv4Addr::from(FIRST + at);
            match UdpSocket::bind((ip, HELD_PORT)) {
                Ok(held) => return Ok(Self { ip, _held: held }),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => last = e,
                Err(e) => return Err(e),
            }
        }
        Err(last)
    }

    /// Any free port there.
    pub fn any(&self) -> SocketAddr {
        (self.ip, 0).into()
    }
}
