//! A loopback address of one's own, so that a port that is free for a moment stays free.
//!
//! Routers are told their ports before they run, and machines come back to theirs. On the address that all sockets
//! share, whoever binds port 0 meanwhile may be given one of these; on one's own nobody else binds any.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// Its holder alone binds this port; it lies outside of what the system gives for port 0.
const LOCK_PORT: u16 = 7401;
/// Addresses that are tried: 127.64.0.1 and those after it.
const FIRST_ADDRESS: u32 = 0x7f40_0001;
const MAX_ADDRESSES: u32 = 1 << 16;

/// One address, nobody else's in these processes or others of this program as long as it is lock.
#[derive(Debug)]
pub struct ReservedIp {
    ip: Ipv4Addr,
    _lock: UdpSocket,
}

impl ReservedIp {
    /// Takes the first that nobody holds. An error: none is free, or this machine has one loopback address only.
    pub fn take() -> io::Result<Self> {
        let mut last = io::ErrorKind::AddrInUse.into();
        for at in 0..MAX_ADDRESSES {
            let ip = Ipv4Addr::from(FIRST_ADDRESS + at);
            match UdpSocket::bind((ip, LOCK_PORT)) {
                Ok(lock) => return Ok(Self { ip, _lock: lock }),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => last = e,
                Err(e) => return Err(e),
            }
        }
        Err(last)
    }

    /// Any free port there.
    pub fn any_port(&self) -> SocketAddr {
        (self.ip, 0).into()
    }
}
