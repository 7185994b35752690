//! Several addresses per machine: which endpoints exist, which machine each belongs to, in what order they
//! are dialed, and what a failed connection says about them.
//!
//! Contains the [`AddressTable`] of endpoints and their state, and the [`DialRace`] for one connection. The
//! module opens no sockets, sends nothing and reads no clock: time comes in as an argument, and dials to
//! start or close are returned as values. The decision module chooses which machine is asked, and whether
//! again; this module only chooses the address, before a byte is sent.
//!
//! Without [`AddressSettings`], each machine has the one address that the discovery service announces, and
//! one dial per connection.

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

/// Most endpoints per machine, including the announced one.
pub const MAX_ENDPOINTS: usize = 8;
/// Most open dials per machine (RFC 8305, section 8, leaves the number to the implementation): each handshake
/// costs a cold machine work.
pub const MAX_DIALS: usize = 2;

/// An address family.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Family {
    /// A Unix stream socket on this host.
    Unix,
    /// TCP over IPv6.
    Ipv6,
    /// TCP over IPv4.
    Ipv4,
}

/// An address of a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Endpoint {
    /// The path of a Unix stream socket.
    Unix(Arc<Path>),
    /// An address and port.
    Tcp(SocketAddr),
}

impl Endpoint {
    /// Returns the address family.
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

/// The address settings of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct AddressSettings {
    /// Address families in order of preference. Families that are absent are not used.
    pub family_order: Vec<Family>,
    /// Shortest and longest delay between two dials of a race (RFC 8305, section 5: 10 ms to 2 s).
    pub attempt_delay_ms: (Millis, Millis),
    /// First and longest pause of an endpoint that has failed.
    pub pause_ms: (Millis, Millis),
    /// Most open dials per machine, up to [`MAX_DIALS`].
    pub max_dials_per_machine: usize,
    /// Most open dials in total.
    pub max_dials: usize,
    /// Machines state their name in answer to `HELO`, and connections with a wrong name are closed.
    pub verify_names: bool,
    /// Endpoints per machine, in addition to the announced ones.
    pub machines: BTreeMap<String, Vec<Endpoint>>,
}

impl Default for AddressSettings {
    /// Unix before IPv6 before IPv4: RFC 6724, section 6, rule 8 (smaller scope), and the precedence of IPv6
    /// over IPv4 in its default policy table.
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
