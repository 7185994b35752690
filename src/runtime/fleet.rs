//! The fleet's socket and clock. What a datagram means, and who is called gone, is [`crate::fleet`]'s.
//!
//! Of two processes of one router one speaks: the socket is bound without SO_REUSEPORT, so the system gives it to one of them and
//! no datagram reaches the other. The older one has it until it is told to end and knows of a successor, or ends.

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

/// Datagrams read before the loop goes on to other things.
const MOST_A_TURN: usize = 64;
/// Bytes that wait for this process in the kernel: some seconds of the largest fleet's.
const WAITING: usize = 256 * 1024;
/// Time between two tries for a place that another process still has.
const BIND_MS: Millis = 50.0;

/// This router's seat in its fleet.
pub(super) struct Seat {
    settings: Settings,
    name: String,
    seed: u64,
    /// None: another process of this router speaks.
    speaks: Option<Speaks>,
    /// When the place is tried again; none: this process has left it to its successor.
    bind_at: Option<Millis>,
    /// Datagrams that the system did not take.
    unsent: u64,
}

struct Speaks {
    fleet: Fleet,
    socket: Rc<UdpSocket>,
    token: RegistrationToken,
}

/// A steady clock that counts sleep, in milliseconds: the same for all processes of a machine.
fn boot_ms() -> Millis {
    BootTime::now().0
}

fn bind(settings: &Settings) -> io::Result<UdpSocket> {
    let at = settings.listen;
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, Some(Protocol::UDP))?;
    socket.set_nonblocking(true)?;
    socket.set_recv_buffer_size(WAITING)?;
    socket.bind(&at.into())?;
    Ok(socket.into())
}

impl Seat {
    /// Takes the seat, or waits for it where another process has it.
    pub(super) fn take(
        handle: &LoopHandle<'static, Runtime>,
        settings: Settings,
        name: &str,
        seed: u64,
    ) -> Result<Self, String> {
        // What is wrong with the names is told now, whoever has the socket.
        Fleet::new(settings.clone(), name, 1, 0.0, seed)?;
        let mut seat = Self { settings, name: name.to_owned(), seed, speaks: None, bind_at: None, unsent: 0 };
        let (at, fleet) = (seat.settings.listen, seat.settings.fleet.clone());
        match super::patiently(|| seat.try_bind(handle)) {
            Ok(true) => log_line!("fleet {fleet}: {name} hears the others at {at}, start {}", seat.start()),
            Ok(false) => {
                log_line!("fleet {fleet}: another process has {at}; this one speaks once that has let go")
            }
            Err(e) => return Err(format!("hear the fleet at {at}: {e}")),
        }
        Ok(seat)
    }

    fn start(&self) -> u64 {
        self.speaks.as_ref().map_or(0, |speaks| speaks.fleet.start())
    }

    fn try_bind(&mut self, handle: &LoopHandle<'static, Runtime>) -> io::Result<bool> {
        let socket = match bind(&self.settings) {
            Ok(socket) => Rc::new(socket),
            Err(e) if e.kind() == ErrorKind::AddrInUse => {
                self.bind_at = Some(boot_ms() + BIND_MS);
                return Ok(false);
            }
            Err(e) => return Err(e),
        };
        let token = super::socket::register(handle, socket.clone(), Source::Fleet, Interest::READ)?;
        let start = UnixTime::now().0 as u64;
        let fleet = Fleet::new(self.settings.clone(), &self.name, start, boot_ms(), self.seed);
        let fleet = fleet.map_err(io::Error::other)?;
        (self.speaks, self.bind_at) = (Some(Speaks { fleet, socket, token }), None);
        Ok(true)
    }

    /// What the operator's file said.
    pub(super) fn settings(&self) -> &Settings {
        &self.settings
    }

    /// In how long something is due, in ms.
    pub(super) fn due_in(&self) -> Option<Millis> {
        let due = self.speaks.as_ref().map(|speaks| speaks.fleet.next_deadline()).or(self.bind_at)?;
        Some(due - boot_ms())
    }

    /// The picture, where this process speaks.
    pub(super) fn view(&self) -> Option<View> {
        self.speaks.as_ref().map(|speaks| speaks.fleet.view(boot_ms()))
    }

    /// What telemetry tells of it.
    pub(super) fn figures(&self) -> Option<crate::ops::FleetFigures> {
        let fleet = &self.speaks.as_ref()?.fleet;
        let counts = fleet.counts();
        Some(crate::ops::FleetFigures {
            standing: fleet.quorum_status(boot_ms()).0.as_str(),
            states: fleet.count_by_state().to_vec(),
            datagrams: [counts.sent, counts.accepted, counts.rejected.values().sum(), self.unsent],
        })
    }

    /// Reads what has come; true if there may be more.
    fn read(&mut self, buffer: &mut [u8]) -> bool {
        let Some(Speaks { fleet, socket, .. }) = &mut self.speaks else { return false };
        for _ in 0..MOST_A_TURN {
            match socket.recv(buffer) {
                // A datagram that is refused is counted there, and that is all it does.
                Ok(bytes) => drop(fleet.receive(boot_ms(), &buffer[..bytes])),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    fn carry_out(&mut self) {
        let Some(Speaks { fleet, socket, .. }) = &mut self.speaks else { return };
        let at = boot_ms();
        for effect in fleet.take_effects() {
            match effect {
                Effect::Send { to, bytes } => self.unsent += u64::from(socket.send_to(&bytes, to).is_err()),
                Effect::QuorumChanged { status: says, term, ago_ms, heard_by: (by, of) } => {
                    let (word, since) = (says.as_str(), at - ago_ms);
                    log_line!(always; { standing = word, term } "fleet: {word} in term {term} since {since:.1}, at {at:.1}; {by} of {of} answer");
                }
                Effect::MemberChanged { name, start, term, states: (_, state), why } => {
                    let word = state.as_str();
                    log_line!(always; { router = %name, state = word } "fleet: {name} is {word} at {at:.1} (start {start}, term {term}): {why}");
                }
                Effect::Stalled(gap) => {
                    log_line!("fleet: this process stood still for {gap:.0} ms until {at:.0}")
                }
                Effect::StartRaised(start) => {
                    log_line!(
                        "fleet: another process went by this name; this one's start is {start} from now on"
                    );
                }
            }
        }
    }
}

impl Runtime {
    /// What has come at the fleet's socket, some of it.
    pub(super) fn serve_fleet(&mut self) {
        let Some(seat) = &mut self.seat else { return };
        if seat.read(&mut self.buffer) {
            self.dirty.insert(Source::Fleet);
        }
        seat.carry_out();
    }

    /// The fleet's turn, if it is due.
    pub(super) fn fleet_due(&mut self) {
        let succeeded = self.reducer.is_terminating()
            && self.handover.as_ref().is_some_and(|handover| handover.succeeded());
        let Some(seat) = &mut self.seat else { return };
        if succeeded {
            // Without a word: the successor is the same member, and speaks at once.
            self.leave_seat(false);
            return;
        }
        let now = boot_ms();
        if seat.bind_at.is_some_and(|at| at <= now) {
            let handle = self.handle.clone();
            match seat.try_bind(&handle) {
                Ok(true) => log_line!("fleet: this process speaks now, start {}", seat.start()),
                Ok(false) => {}
                Err(e) => {
                    seat.bind_at = Some(now + 20.0 * BIND_MS);
                    log_line!("fleet: the others can't be heard: {e}");
                }
            }
        }
        if seat.speaks.as_ref().is_some_and(|speaks| speaks.fleet.next_deadline() <= now) {
            // What has come before this turn is known before anybody is judged.
            self.serve_fleet();
            let Some(seat) = &mut self.seat else { return };
            if let Some(speaks) = &mut seat.speaks {
                speaks.fleet.tick(boot_ms());
            }
            seat.carry_out();
        }
    }

    /// This process speaks no more; `tells`: the others hear that the router ends.
    pub(super) fn leave_seat(&mut self, tells: bool) {
        let Some(seat) = &mut self.seat else { return };
        if tells {
            if let Some(speaks) = &mut seat.speaks {
                speaks.fleet.leave(boot_ms());
            }
            seat.carry_out();
        }
        seat.bind_at = None;
        if let Some(speaks) = seat.speaks.take() {
            self.handle.remove(speaks.token);
        }
    }

    /// The picture of the fleet for an operator.
    pub(super) fn fleet_page(&self) -> Vec<u8> {
        crate::ops::fleet(self.seat.as_ref().map(Seat::view))
    }
}
