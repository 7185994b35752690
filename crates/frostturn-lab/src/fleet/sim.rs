//! A fleet of the daemon's own pure state machines in simulated time, with clock differences, link failures
//! and stalls.

use super::check::{FleetEvent, LoggedEvent};
use super::schedule::{Cut, FaultAction, Millis, Schedule};
use crate::relay::Link;
use frostturn::fleet::settings::MAX_CLOCK_DRIFT;
use frostturn::fleet::{Effect, Fleet, PeerAddress, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// Range of the delay of a healthy link, in ms.
const LINK_DELAY_MS: [Millis; 2] = [0.1, 2.0];
/// Longest time until a process's event loop runs its timers, in ms.
const LOOP_DELAY_MS: Millis = 5.0;
/// Datagrams buffered for a stalled process; the kernel drops further ones.
const RECEIVE_BUFFER_DATAGRAMS: usize = 300;

/// Start number of routers that start with the run.
const FIRST_START: u64 = 1_800_000_000_000;

/// Cost of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Datagrams per second, averaged over a router's life, of the router that sends the most; and bytes.
    pub datagrams_s: f64,
    /// See `datagrams_s`.
    pub bytes_s: f64,
}

/// A simulated router.
struct Node {
    fleet: Option<Fleet>,
    starts: Vec<u64>,
    born: Millis,
    /// Its clock: the value at time 0, and the rate.
    offset: Millis,
    rate: f64,
    stopped: bool,
    timer_delay_ms: Millis,
    receive_buffer: VecDeque<Rc<[u8]>>,
    serial: u64,
    sent: (u64, u64, Millis),
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Timer(usize, u64),
    Arrives(usize, Rc<[u8]>),
    Step(usize),
}

/// Result of a simulation.
#[derive(Debug)]
pub struct SimulationResult {
    /// Events in order of time.
    pub logged: Vec<LoggedEvent>,
    /// Start numbers of each router.
    pub starts: Vec<Vec<u64>>,
    /// Cost of the run.
    pub cost: Cost,
}

/// Simulates a schedule with this number of routers.
pub fn simulate(schedule: &Schedule, routers: usize, seed: u64, until: Millis) -> SimulationResult {
    let mut sim = Sim::new(schedule, routers, seed);
    sim.run(until);
    let cost = |node: &Node| {
        let s = (until - node.sent.2).max(1000.0) / 1e3;
        (node.sent.0 as f64 / s, node.sent.1 as f64 / s)
    };
    let most = sim
        .nodes
        .iter()
        .map(cost)
        .fold((0.0, 0.0), |most: (f64, f64), one| (most.0.max(one.0), most.1.max(one.1)));
    sim.logged.sort_by(|a, b| a.at.total_cmp(&b.at));
    let starts = sim.nodes.iter().map(|node| node.starts.clone()).collect();
    let cost = Cost { datagrams_s: most.0, bytes_s: most.1 };
    SimulationResult { logged: sim.logged, starts, cost }
}

struct Sim {
    schedule: Schedule,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    /// Events of the heap's entries, by serial.
    bodies: std::collections::HashMap<u64, Event>,
    serial: u64,
    now: Millis,
    cuts: Vec<Cut>,
    link_behaviour: Link,
    logged: Vec<LoggedEvent>,
    rng: StdRng,
    seed: u64,
}

fn listen(at: usize) -> SocketAddr {
    ([127, 1, (at >> 8) as u8, at as u8], 7401).into()
}

fn number(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => usize::from(u16::from_be_bytes([at.ip().octets()[2], at.ip().octets()[3]])),
        SocketAddr::V6(_) => usize::MAX,
    }
}

impl Sim {
    fn new(schedule: &Schedule, routers: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ 0x51_0000);
        let nodes = (0..routers)
            .map(|_| Node {
                fleet: None,
                starts: Vec::new(),
                born: 0.0,
                offset: rng.random_range(0.0..1e9),
                rate: 1.0 + rng.random_range(-MAX_CLOCK_DRIFT / 2.0..MAX_CLOCK_DRIFT / 2.0),
                stopped: false,
                timer_delay_ms: 0.0,
                receive_buffer: VecDeque::new(),
                serial: 0,
                sent: (0, 0, 0.0),
            })
            .collect();
        let mut sim = Self {
            schedule: schedule.clone(),
            nodes,
            events: BinaryHeap::new(),
            bodies: std::collections::HashMap::new(),
            serial: 0,
            now: 0.0,
            cuts: Vec::new(),
            link_behaviour: Link::default(),
            logged: Vec::new(),
            rng,
            seed,
        };
        (0..routers).for_each(|at| sim.start(at));
        for at in 0..sim.schedule.0.len() {
            sim.at(sim.schedule.0[at].at_ms, Event::Step(at));
        }
        sim
    }

    fn at(&mut self, at_ms: Millis, event: Event) {
        self.serial += 1;
        self.events.push(Reverse(((at_ms.max(self.now) * 1e3) as u64, self.serial)));
        self.bodies.insert(self.serial, event);
    }

    fn clock(&self, at: usize) -> Millis {
        self.nodes[at].offset + self.now * self.nodes[at].rate
    }

    fn start(&mut self, at: usize) {
        let mut set = Settings::new("sim", listen(at));
        let others = (0..self.nodes.len()).filter(|other| *other != at);
        set.peers =
            others.map(|other| PeerAddress { name: format!("n{other}"), address: listen(other) }).collect();
        let clock = self.clock(at);
        // A present-day Unix time, so that its encoding has a realistic length.
        let (name, start) = (format!("n{at}"), FIRST_START + self.now as u64);
        let fleet = Fleet::new(set, &name, start, clock, self.seed.wrapping_add(at as u64 * 7919));
        let node = &mut self.nodes[at];
        (node.fleet, node.born, node.stopped) = (fleet.ok(), self.now, false);
        node.starts.push(start);
        node.receive_buffer.clear();
        self.schedule_timer(at);
    }

    fn schedule_timer(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let Some(fleet) = &node.fleet else { return };
        node.serial += 1;
        let due = (fleet.next_deadline() - node.offset) / node.rate + node.timer_delay_ms;
        let (due, serial) = (due + self.rng.random::<f64>() * LOOP_DELAY_MS, node.serial);
        self.at(due, Event::Timer(at, serial));
    }

    fn run(&mut self, until: Millis) {
        while let Some(Reverse((at_us, serial))) = self.events.pop() {
            self.now = at_us as f64 / 1e3;
            if self.now > until {
                return;
            }
            match self.bodies.remove(&serial) {
                Some(Event::Timer(at, serial))
                    if self.nodes[at].serial == serial && !self.nodes[at].stopped =>
                {
                    self.run_timers(at);
                }
                Some(Event::Arrives(at, bytes)) => self.arrives(at, bytes),
                Some(Event::Step(step)) => {
                    let what = self.schedule.0[step].what.clone();
                    self.step(what);
                }
                _ => {}
            }
        }
    }

    fn run_timers(&mut self, at: usize) {
        let clock = self.clock(at);
        // Buffered datagrams are processed before timers judge the peers.
        while let Some(bytes) = self.nodes[at].receive_buffer.pop_front() {
            if let Some(fleet) = &mut self.nodes[at].fleet {
                let _ = fleet.receive(clock, &bytes);
            }
        }
        if let Some(fleet) = &mut self.nodes[at].fleet {
            fleet.tick(clock);
        }
        self.effects(at);
        self.schedule_timer(at);
    }

    fn arrives(&mut self, at: usize, bytes: Rc<[u8]>) {
        let clock = self.clock(at);
        let node = &mut self.nodes[at];
        let Some(fleet) = &mut node.fleet else { return };
        if node.stopped {
            if node.receive_buffer.len() < RECEIVE_BUFFER_DATAGRAMS {
                node.receive_buffer.push_back(bytes);
            }
            return;
        }
        let _ = fleet.receive(clock, &bytes);
        self.effects(at);
    }

    fn effects(&mut self, at: usize) {
        let Some(fleet) = &mut self.nodes[at].fleet else { return };
        let effects = fleet.take_effects();
        let start = self.nodes[at].starts.len() - 1;
        for effect in effects {
            let event = match effect {
                Effect::Send { to, bytes } => {
                    self.send(at, number(to), bytes.into());
                    continue;
                }
                Effect::QuorumChanged { status, term, ago_ms, .. } => {
                    FleetEvent::StatusChanged { status, term, since: self.now - ago_ms / self.nodes[at].rate }
                }
                Effect::MemberChanged { name, start, term, states: (_, state), .. } => {
                    let other = name[1..].parse().unwrap_or(usize::MAX);
                    FleetEvent::MemberChanged { other, start, term, state }
                }
                Effect::Stalled(_) | Effect::StartRaised(_) => continue,
            };
            self.logged.push(LoggedEvent { at: self.now, by: at, start, event });
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Rc<[u8]>) {
        let sent = &mut self.nodes[from].sent;
        (sent.0, sent.1) = (sent.0 + 1, sent.1 + bytes.len() as u64);
        if self.cuts.iter().any(|cut| cut.cuts(from, to)) {
            return;
        }
        for after in self.link_behaviour.draw(&mut self.rng) {
            let wire = self.rng.random_range(LINK_DELAY_MS[0]..LINK_DELAY_MS[1]);
            self.at(self.now + after + wire, Event::Arrives(to, bytes.clone()));
        }
    }

    fn step(&mut self, what: FaultAction) {
        match what {
            FaultAction::Kill(these) => these.into_iter().for_each(|at| self.nodes[at].fleet = None),
            FaultAction::Start(these) => {
                for at in these {
                    if self.nodes[at].fleet.is_none() {
                        self.start(at);
                    }
                }
            }
            FaultAction::Stop(these) => these.into_iter().for_each(|at| self.nodes[at].stopped = true),
            FaultAction::Resume(these) => {
                for at in these {
                    if std::mem::replace(&mut self.nodes[at].stopped, false) && self.nodes[at].fleet.is_some()
                    {
                        self.run_timers(at);
                    }
                }
            }
            FaultAction::Links(cuts, link_behaviour) => {
                (self.cuts, self.link_behaviour) = (cuts, link_behaviour)
            }
            FaultAction::Late(at, timer_delay_ms) => self.nodes[at].timer_delay_ms = timer_delay_ms,
            FaultAction::Junk(..) => {} // Junk is rejected by its bytes and doesn't touch the state.
        }
    }
}

#[cfg(test)]
mod tests;
