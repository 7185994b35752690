//! Several addresses for one machine: which there are, whose each is, in what order they are dialled, and what a
//! connection that fails says about them.
//!
//! Owns the [`AddressTable`] of endpoints with what is known of each path, and the [`DialRace`] of dials for one connection.
//! It never opens a socket, never sends anything and never reads a clock: time comes in as an argument, what is
//! to be dialled or closed goes out as a value. Which machine is asked, and whether again, stays with the
//! decision module; here only the way to that machine is chosen, before a byte has left.
//!
//! Without [`AddressSettings`] each machine has the one address of the notice board, and one dial a connection.

mod race;
mod table;

pub use race::{DialKey, DialRace, DialStep, RaceWin};
pub use table::{AddressTable, EndpointFailure, Listing};

use crate::api::Millis;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Endpoints that one machine may have, the notice board's among them.
pub const MAX_ENDPOINTS: usize = 8;
/// Dials that may be open for one machine (RFC 8305, section 8, leaves the number to the implementation): a cold
/// machine pays for each handshake.
pub const MAX_DIALS: usize = 2;

/// A family of addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    /// A Unix stream socket on this host.
    Unix,
    /// TCP over IPv6.
    Ipv6,
    /// TCP over IPv4.
    Ipv4,
}

/// Where a machine may be reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// The path of a Unix stream socket.
    Unix(Arc<Path>),
    /// An address and port.
    Tcp(SocketAddr),
}

impl Endpoint {
    /// Its family.
    pub fn family(&self) -> Family {
        match self {
            Self::Unix(_) => Family::Unix,
            Self::Tcp(SocketAddr::V6(_)) => Family::Ipv6,
            Self::Tcp(SocketAddr::V4(_)) => Family::Ipv4,
        }
    }
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self::Tcp(address)
    }
}

impl fmt::Display for Endpoint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unix(path) => write!(f, "unix:{}", path.display()),
            Self::Tcp(address) => address.fmt(f),
        }
    }
}

/// What the operator's file says of addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressSettings {
    /// Families in the order in which they are tried. One that isn't named is not used.
    pub family_order: Vec<Family>,
    /// Least and most time between two dials of one race (RFC 8305, section 5: 10 ms to 2 s).
    pub attempt_delay_ms: (Millis, Millis),
    /// First and longest pause of a path that has failed.
    pub pause_ms: (Millis, Millis),
    /// Dials open for one machine, [`MAX_DIALS`] at most.
    pub max_dials_per_machine: usize,
    /// Dials open in all.
    pub max_dials: usize,
    /// A machine says its name in answer to `HELO`, and a connection that doesn't say the right one is left.
    pub verify_names: bool,
    /// Further endpoints by machine, beside the notice board's.
    pub machines: BTreeMap<String, Vec<Endpoint>>,
}

impl Default for AddressSettings {
    /// Unix before IPv6 before IPv4: RFC 6724, section 6, rules 8 (smaller scope) and, of its default policy
    /// table, IPv6's precedence over IPv4's.
    fn default() -> Self {
        Self {
            family_order: vec![Family::Unix, Family::Ipv6, Family::Ipv4],
            attempt_delay_ms: (20.0, 80.0),
            pause_ms: (250.0, 30_000.0),
            max_dials_per_machine: MAX_DIALS,
            max_dials: 64,
            verify_names: false,
            machines: BTreeMap::new(),
        }
    }
}
