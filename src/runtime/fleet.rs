//! The socket and the timers of fleet membership. [`crate::fleet`] implements the protocol and detects failed
//! routers.
//!
//! Of two processes of one router only one takes part: the socket is bound without SO_REUSEPORT, so that only
//! one process can bind it, and no datagram reaches the other. The older process keeps it until it exits, or
//! until it has been asked to terminate and knows of a successor.

use super::{Runtime, Source};
use crate::api::Millis;
use crate::clock::{BootTime, UnixTime};
use crate::fleet::{Effect, Fleet, Settings, View};
use crate::log_line;
use calloop::{Interest, LoopHandle, RegistrationToken};
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::UdpSocket;
use std::rc::Rc;

/// Datagrams read before other sockets are served.
const MAX_DATAGRAMS_PER_CYCLE: usize = 64;
/// Size of the kernel's receive buffer: holds a few seconds of traffic of the largest fleet.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;
/// Interval between attempts to bind the address while another process uses it.
const BIND_RETRY_MS: Millis = 50.0;

/// This process's membership in the router's fleet.
pub(super) struct Member {
    settings: Settings,
    name: String,
    seed: u64,
    /// `None` while another process of this router takes part.
    active: Option<ActiveMember>,
    /// When the next attempt to bind is due, in milliseconds of the boot clock; `None` while bound, and after
    /// handing over to a successor.
    retry_bind_at: Option<Millis>,
    /// Datagrams that the kernel did not accept for sending.
    unsent: u64,
}

/// The state of a process that takes part in the fleet.
struct ActiveMember {
    fleet: Fleet,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
}

/// Returns the time since boot in milliseconds, including suspend; the same for all processes of a machine.
fn boot_ms() -> Millis {
    BootTime::now().0
}

fn bind(settings: &Settings) -> io::Result<UdpSocket> {
    let address = settings.listen;
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

impl Member {
    /// Joins the fleet, or schedules another attempt if another process of this router has the address.
    pub(super) fn join(
        handle: &LoopHandle<'static, Runtime>,
        settings: Settings,
        name: &str,
        seed: u64,
    ) -> Result<Self, String> {
        // Reports invalid names at startup, even if another process has the socket.
        Fleet::new(settings.clone(), name, 1, 0.0, seed)?;
        let mut member =
            Self { settings, name: name.to_owned(), seed, active: None, retry_bind_at: None, unsent: 0 };
        let (address, fleet) = (member.settings.listen, member.settings.fleet.clone());
        match super::retry_transient(|| member.try_bind(handle)) {
            Ok(true) => {
                log_line!("fleet {fleet}: {name} hears the others at {address}, start {}", member.start())
            }
            Ok(false) => {
                log_line!("fleet {fleet}: another process uses {address}; waiting for it to be released")
            }
            Err(e) => return Err(format!("listen for the fleet at {address}: {e}")),
        }
        Ok(member)
    }

    /// Returns the start number of the active member, or 0 while inactive.
    fn start(&self) -> u64 {
        self.active.as_ref().map_or(0, |active| active.fleet.start())
    }

    /// Binds the socket and becomes active. Returns false if another process has the address.
    fn try_bind(&mut self, handle: &LoopHandle<'static, Runtime>) -> io::Result<bool> {
        let socket = match bind(&self.settings) {
            Ok(socket) => Rc::new(socket),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                self.retry_bind_at = Some(boot_ms() + BIND_RETRY_MS);
                return Ok(false);
            }
            Err(e) => return Err(e),
        };
        let token = super::socket::register(handle, socket.clone(), Source::Fleet, Interest::READ)?;
        let start = UnixTime::now().0 as u64;
        let fleet = Fleet::new(self.settings.clone(), &self.name, start, boot_ms(), self.seed);
        let fleet = fleet.map_err(io::Error::other)?;
        (self.active, self.retry_bind_at) = (Some(ActiveMember { fleet, socket, token }), None);
        Ok(true)
    }

    /// Returns the settings of the operator's file.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the time until the next timer, in milliseconds; negative if it is overdue.
    pub(super) fn ms_until_due(&self) -> Option<Millis> {
        let deadline =
            self.active.as_ref().map(|active| active.fleet.next_deadline()).or(self.retry_bind_at)?;
        Some(deadline - boot_ms())
    }

    /// Returns the membership view, if this process is active.
    pub(super) fn view(&self) -> Option<View> {
        self.active.as_ref().map(|active| active.fleet.view(boot_ms()))
    }

    /// Returns the fleet figures for telemetry, if this process is active.
    pub(super) fn telemetry(&self) -> Option<crate::ops::FleetStats> {
        let fleet = &self.active.as_ref()?.fleet;
        let counts = fleet.counts();
        Some(crate::ops::FleetStats {
            quorum_status: fleet.quorum_status(boot_ms()).0.as_str(),
            states: fleet.count_by_state().to_vec(),
            datagrams: [counts.sent, counts.accepted, counts.rejected.values().sum(), self.unsent],
        })
    }

    /// Reads received datagrams. Returns true if more may be pending.
    fn read(&mut self, buffer: &mut [u8]) -> bool {
        let Some(ActiveMember { fleet, socket, .. }) = &mut self.active else { return false };
        for _ in 0..MAX_DATAGRAMS_PER_CYCLE {
            match socket.recv(buffer) {
                // The fleet counts a refused datagram and otherwise ignores it.
                Ok(bytes) => drop(fleet.receive(boot_ms(), &buffer[..bytes])),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Sends datagrams and logs changes as requested by the protocol.
    fn execute_effects(&mut self) {
        let Some(ActiveMember { fleet, socket, .. }) = &mut self.active else { return };
        let now = boot_ms();
        for effect in fleet.take_effects() {
            match effect {
                Effect::Send { to, bytes } => self.unsent += u64::from(socket.send_to(&bytes, to).is_err()),
                Effect::QuorumChanged { status: says, term, ago_ms, heard_by: (by, of) } => {
                    let (status, since) = (says.as_str(), now - ago_ms);
                    log_line!(always; { standing = status, term }
                        "fleet: {status} in term {term} since {since:.1}, at {now:.1}; {by} of {of} answer");
                }
                Effect::MemberChanged { name, start, term, states: (_, state), why } => {
                    let status = state.as_str();
                    log_line!(always; { router = %name, state = status }
                        "fleet: {name} is {status} at {now:.1} (start {start}, term {term}): {why}");
                }
                Effect::Stalled(gap) => {
                    log_line!("fleet: this process stood still for {gap:.0} ms until {now:.0}")
                }
                Effect::StartRaised(start) => {
                    log_line!("fleet: another process used this name; this one continues with start {start}");
                }
            }
        }
    }
}

impl Runtime {
    /// Reads and handles datagrams of the fleet's socket, up to a bound per cycle.
    pub(super) fn serve_fleet(&mut self) {
        let Some(member) = &mut self.fleet_member else { return };
        if member.read(&mut self.buffer) {
            self.runnable.insert(Source::Fleet);
        }
        member.execute_effects();
    }

    /// Runs the fleet's timers that are due, and hands over to a successor if there is one.
    pub(super) fn run_fleet_timers(&mut self) {
        let succeeded = self.reducer.is_terminating()
            && self.handover.as_ref().is_some_and(|handover| handover.succeeded());
        let Some(member) = &mut self.fleet_member else { return };
        if succeeded {
            // No leave message: the successor is the same member, and takes part at once.
            self.leave_fleet(false);
            return;
        }
        let now = boot_ms();
        if member.retry_bind_at.is_some_and(|at| at <= now) {
            let handle = self.handle.clone();
            match member.try_bind(&handle) {
                Ok(true) => log_line!("fleet: this process takes part now, start {}", member.start()),
                Ok(false) => {}
                Err(e) => {
                    member.retry_bind_at = Some(now + 20.0 * BIND_RETRY_MS);
                    log_line!("fleet: cannot bind the socket: {e}");
                }
            }
        }
        if member.active.as_ref().is_some_and(|active| active.fleet.next_deadline() <= now) {
            // Received datagrams are handled before the timers can declare a member gone.
            self.serve_fleet();
            let Some(member) = &mut self.fleet_member else { return };
            if let Some(active) = &mut member.active {
                active.fleet.tick(boot_ms());
            }
            member.execute_effects();
        }
    }

    /// Ends this process's part in the fleet; with `announce`, tells the others that the router leaves.
    pub(super) fn leave_fleet(&mut self, announce: bool) {
        let Some(member) = &mut self.fleet_member else { return };
        if announce {
            if let Some(active) = &mut member.active {
                active.fleet.leave(boot_ms());
            }
            member.execute_effects();
        }
        member.retry_bind_at = None;
        if let Some(active) = member.active.take() {
            self.handle.remove(active.token);
        }
    }

    /// Returns the HTTP response with the membership view, for an operator.
    pub(super) fn fleet_response(&self) -> Vec<u8> {
        crate::ops::fleet_answer(self.fleet_member.as_ref().map(Member::view))
    }
}
