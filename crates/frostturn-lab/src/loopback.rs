//! A loopback address reserved for one run, so that no other process takes its ports.
//!
//! Routers are configured with their ports before they start, and machines listen again on theirs after a
//! failure. On the address that all sockets share, another process that binds port 0 in the meantime may be
//! given one of these ports; on a reserved address no other process binds any.
//!

use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};

/// The process that binds this port has reserved the address. The port lies outside the range that the
/// system assigns for port 0.
const LOCK_PORT: u16 = 7401;
/// First address that is tried (127.64.0.1), and the number of addresses tried from there on.
const FIRST_ADDRESS: u32 = 0x7f40_0001;
const MAX_ADDRESSES: u32 = 1 << 16;

/// A reserved address. No other run of this program uses it until this value is dropped.
#[derive(Debug)]
pub struct ReservedIp {
    ip: Ipv4Addr,
    _lock: UdpSocket,
}

impl ReservedIp {
    /// Reserves the first free address. Fails if none is free or if this machine has only one loopback
    /// address.
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

    /// Returns this address with port 0, to bind any free port.
    pub fn any_port(&self) -> SocketAddr {
        (self.ip, 0).into()
    }
}
