//! Routers are evacuated, terminated and killed at the earliest time that the protocol specification
//! allows, in any order and with other signals in between, while clients keep sending on every open
//! connection and endpoints hang, reset and leave.
//!
//! Checked from outside: each request has exactly one answer, no client is connected to a router after its
//! drain, and nothing is sent to a leaving endpoint. The routers' own counts of violations are checked too.
//!

mod clients;
mod schedule;

use super::Options;
use crate::check::{Millis, Verdict};
use crate::clients::CLASSES;
use crate::daemon::{call, Daemon, SharedListener, Start};
use crate::report::{Bound, Report};
use crate::site::{Site, Status};
use clients::{lock, Clients, RouterState, HABITS};
use frostturn::ops::control::Answer;
use frostturn::ops::Call;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use schedule::{Act, Schedule, BOXES, LOAD_MS, ROUTERS};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time after an evacuation or a SIGTERM from which the front-end web servers open no new connection.
const WEB_SERVERS_LEAVE_MS: Millis = 300.0;
/// Time after an evacuation at which the remaining connections are audited, and the age up to which a
/// request counts as recent then.
const AUDIT_MS: Millis = 4050.0;
const RECENT_MS: Millis = 2000.0;
/// SIGKILL is sent this long after the longest deadline, which counts as `MAX_DEADLINE_MS` at most.
const KILL_MARGIN_MS: Millis = 700.0;
const MAX_DEADLINE_MS: Millis = 3000.0;
/// An answer that is late by no more than this only earns no worth.
const LATE_ANSWER_GRACE_MS: Millis = 500.0;
/// Time after a rejoin within which a router must be ready again.
const READY_MS: Millis = 2000.0;
const CROWD_CONNECTIONS: usize = 150;

/// A delayed consequence of an action.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Later {
    FrontLeaves(usize),
    Audit(usize),
    Kill(usize),
    ReadyBy(usize),
}

/// One router's processes.
struct Slot {
    current: Option<Daemon>,
    /// The old process of an upgrade, which is no longer the current one.
    ending: Option<Daemon>,
    /// SIGTERM has been sent, so that a second signal doesn't delay the kill.
    terminating: bool,
    evacuated_at: Option<Millis>,
    processes: usize,
}

#[derive(Default)]
struct Figures {
    still_connected: u64,
    killed: u64,
    bad_ends: u64,
    not_ready: u64,
    evacuations: u64,
    ends: u64,
    examples: Vec<String>,
    logs: Vec<PathBuf>,
}

struct Run {
    site: Site,
    options: Options,
    schedule: Schedule,
    clients: Arc<Clients>,
    slots: Vec<Slot>,
    later: Vec<(Millis, Later)>,
    crowd: Vec<TcpStream>,
    figures: Figures,
}

/// Runs the scenario.
pub fn run(options: &Options) -> Result<Report, String> {
    let schedule = Schedule::draw(options.seed);
    let site = Site::start(BOXES, &options.setup())?;
    site.world.observations().checker.set_grace(LATE_ANSWER_GRACE_MS);
    for (one, wait_ms) in site.boxes.iter().zip(&schedule.answer_delays_ms) {
        one.set_answer_delay(*wait_ms);
    }
    let clients = Arc::new(Clients {
        world: site.world.clone(),
        routers: (0..ROUTERS).map(|_| Mutex::new(RouterState::default())).collect(),
        sessions: Mutex::default(),
        deadline_scale: schedule.deadline_scale,
        until: site.world.now() + LOAD_MS,
    });
    let mut run = Run {
        site,
        options: options.clone(),
        schedule,
        clients,
        slots: Vec::new(),
        later: Vec::new(),
        crowd: Vec::new(),
        figures: Figures::default(),
    };
    run.start_routers()?;
    let load = run.start_clients();
    run.play()?;
    load.into_iter().for_each(|client| drop(client.join())); // A panic of that thread has printed itself.
    Ok(run.finish())
}

impl Run {
    fn now(&self) -> Millis {
        self.site.world.now()
    }

    fn spawn(&mut self, router: usize, listen: SocketAddr) -> Result<Daemon, String> {
        let number = (router + 1) * 100 + self.slots.get(router).map_or(0, |slot| slot.processes);
        let name = format!("n{router}");
        let daemon = Daemon::spawn(&Start {
            dir: &self.site.dir,
            program: self.options.daemon.as_deref(),
            operator: None,
            discovery: self.site.discovery.address,
            known: self.site.discovery.known(),
            seed: self.options.seed.wrapping_add(number as u64),
            name: &name,
            instances: ROUTERS,
            shared_listener: Some(SharedListener { listen, number }),
            deadline_scale: self.schedule.deadline_scale,
            environment: &self.site.environment,
        })?;
        self.figures.logs.push(daemon.log.clone());
        Ok(daemon)
    }

    fn start_routers(&mut self) -> Result<(), String> {
        for router in 0..ROUTERS {
            let daemon = self.spawn(router, self.site.world.loopback.any_port())?;
            let (ending, terminating, evacuated_at) = (None, false, None);
            self.slots.push(Slot { current: Some(daemon), ending, terminating, evacuated_at, processes: 1 });
        }
        for (slot, reach) in self.slots.iter_mut().zip(&self.clients.routers) {
            let Some(daemon) = &mut slot.current else { continue };
            daemon.wait_until_ready(true)?;
            *lock(reach) =
                RouterState { address: Some(daemon.address), accepts_connections: true, killed_at: None };
        }
        Ok(())
    }

    fn start_clients(&self) -> Vec<thread::JoinHandle<()>> {
        let mut rng = StdRng::seed_from_u64(self.options.seed);
        let mut all = Vec::new();
        for router in 0..ROUTERS {
            for habit in HABITS {
                let (clients, seed) = (self.clients.clone(), rng.next_u64());
                all.push(thread::spawn(move || clients.run(router, habit, seed)));
            }
        }
        all
    }

    fn play(&mut self) -> Result<(), String> {
        let start = self.now();
        let mut steps = self.schedule.steps.clone().into_iter().peekable();
        while steps.peek().is_some() || !self.later.is_empty() {
            if let Some((_, act)) = steps.next_if(|(at, _)| start + at <= self.now()) {
                self.act(act)?;
            }
            let now = self.now();
            while let Some(due) = self.later.iter().position(|(at, _)| *at <= now) {
                let (_, what) = self.later.swap_remove(due);
                self.carry_out(what);
            }
            thread::sleep(Duration::from_millis(1));
        }
        Ok(())
    }

    fn act(&mut self, act: Act) -> Result<(), String> {
        let now = self.now();
        self.site.world.event(|| format!("act {act:?}"));
        match act {
            Act::Evacuate(router) => {
                if self.call(router, &Call::Evacuate) {
                    self.figures.evacuations += 1;
                    self.slots[router].evacuated_at = Some(now);
                    self.later.push((now + WEB_SERVERS_LEAVE_MS, Later::FrontLeaves(router)));
                    self.later.push((now + AUDIT_MS, Later::Audit(router)));
                }
            }
            Act::Rejoin(router) => {
                if self.call(router, &Call::Rejoin) {
                    self.slots[router].evacuated_at = None;
                    lock(&self.clients.routers[router]).accepts_connections = true;
                    self.later.push((now + READY_MS, Later::ReadyBy(router)));
                }
            }
            Act::StartBeside(router) => {
                let Some(listen) = self.slots[router].current.as_ref().map(|one| one.address) else {
                    return Ok(());
                };
                let mut new = self.spawn(router, listen)?;
                new.wait_until_ready(true)?;
                let slot = &mut self.slots[router];
                slot.processes += 1;
                slot.ending = slot.current.replace(new);
            }
            Act::Terminate(router) => self.terminate(router),
            Act::Reload(router) => self.signalled_process(router).iter().for_each(|daemon| daemon.reload()),
            Act::Crowd(router) => {
                let address = lock(&self.clients.routers[router]).address;
                let one = || address.and_then(|at| TcpStream::connect_timeout(&at, CONNECT_TIMEOUT).ok());
                self.crowd.extend((0..CROWD_CONNECTIONS).map_while(|_| one()));
            }
            Act::Fail(at, failure) => {
                self.site.boxes[at].endpoints.iter().for_each(|endpoint| endpoint.fail(failure));
            }
            Act::Heal(at) => {
                self.site.boxes[at]
                    .endpoints
                    .iter()
                    .for_each(|endpoint| endpoint.fail(crate::machines::Failure::None));
            }
            Act::Leave(at) => self.site.announce_status(at, Status::Leaving, None),
        }
        Ok(())
    }

    /// Returns the process that receives signals: the old process of an upgrade, or the only one.
    fn signalled_process(&self, router: usize) -> Option<&Daemon> {
        let slot = &self.slots[router];
        slot.ending.as_ref().or(slot.current.as_ref())
    }

    fn terminate(&mut self, router: usize) {
        let now = self.now();
        let Some(daemon) = self.signalled_process(router) else { return };
        daemon.terminate();
        let slot = &mut self.slots[router];
        if std::mem::replace(&mut slot.terminating, true) {
            return;
        }
        self.figures.ends += 1;
        if slot.ending.is_none() {
            self.later.push((now + WEB_SERVERS_LEAVE_MS, Later::FrontLeaves(router)));
        }
        let longest = CLASSES.iter().map(|class| class.client_timeout_ms).fold(0.0, f64::max);
        let longest = (longest * self.schedule.deadline_scale).min(MAX_DEADLINE_MS);
        self.later.push((now + longest + KILL_MARGIN_MS, Later::Kill(router)));
    }

    fn carry_out(&mut self, what: Later) {
        self.site.world.event(|| format!("{what:?}"));
        match what {
            Later::FrontLeaves(router) => {
                // The router may have rejoined since.
                let slot = &self.slots[router];
                let leaves = slot.evacuated_at.is_some() || (slot.terminating && slot.ending.is_none());
                lock(&self.clients.routers[router]).accepts_connections &= !leaves;
            }
            Later::Audit(router) => self.audit(router),
            Later::Kill(router) => self.kill(router),
            Later::ReadyBy(router) => {
                let slot = &self.slots[router];
                if slot.evacuated_at.is_none() && !slot.terminating && !self.call(router, &Call::Ready) {
                    self.figures.not_ready += 1;
                }
            }
        }
    }

    /// Counts connections to an evacuated router that should be closed.
    fn audit(&mut self, router: usize) {
        let now = self.now();
        let since = self.slots[router].evacuated_at;
        if since.is_none_or(|since| now < since + AUDIT_MS) {
            return; // The router has rejoined since, and may have been evacuated again.
        }
        let sessions = lock(&self.clients.sessions);
        let connected = sessions.iter().filter(|open| open.router == router);
        let connected: Vec<String> =
            connected.filter_map(|open| open.should_be_closed(now, RECENT_MS)).collect();
        drop(sessions);
        self.figures.still_connected += connected.len() as u64;
        for one in connected {
            self.figures.examples.push(format!("still connected: router {router} at {now:.0} ms, {one}"));
        }
    }

    fn kill(&mut self, router: usize) {
        let now = self.now();
        let slot = &mut self.slots[router];
        let Some(mut daemon) = slot.ending.take().or_else(|| slot.current.take()) else { return };
        if daemon.is_running() {
            lock(&self.clients.routers[router]).killed_at = Some(now);
            daemon.kill();
            self.figures.killed += 1;
            self.figures.examples.push(format!("killed: router {router} at {now:.0} ms, still running"));
        } else if !daemon.wait_for_exit() {
            self.figures.bad_ends += 1;
        }
    }

    fn call(&mut self, router: usize, what: &Call) -> bool {
        let ops = self.slots[router].current.as_ref().and_then(|daemon| daemon.ops);
        ops.is_some_and(|ops| matches!(call(ops, what), Ok(Answer::Accepted(_))))
    }

    fn finish(mut self) -> Report {
        for slot in &mut self.slots {
            for daemon in slot.current.take().into_iter().chain(slot.ending.take()) {
                self.figures.bad_ends += u64::from(!daemon.shut_down());
            }
        }
        drop(std::mem::take(&mut self.crowd));
        self.site.world.end();
        let seen = self.site.world.take();
        let Verdict { requests, served, refused, failed, rules, mut examples } = seen.checker.finish();
        let mut violations = 0;
        for log in &self.figures.logs {
            let text = std::fs::read_to_string(log).unwrap_or_default();
            let lines =
                text.lines().filter(|line| line.contains("violation:") || line.contains("panic ends"));
            let lines: Vec<String> = lines.map(str::to_owned).collect();
            violations += lines.len();
            examples.extend(lines);
        }
        let Figures { still_connected, killed, bad_ends, not_ready, evacuations, ends, .. } = self.figures;
        examples.extend(self.figures.examples);
        println!("  {evacuations} evacuations, {ends} terminations, {killed} of them by SIGKILL");
        let mut report = Report { scenario: "soak", seed: self.options.seed, ..Report::default() };
        (report.requests, report.served) = (requests, served);
        (report.refused, report.failed) = (refused, failed);
        (report.rules, report.examples) = (rules, examples);
        report.bounds = vec![
            Bound::most("held_past_drain", still_connected as f64, 0.0),
            Bound::most("violations", violations as f64, 0.0),
            Bound::most("bad_ends", bad_ends as f64, 0.0),
            Bound::most("killed_running", killed as f64, 0.0),
            Bound::most("not_ready_after_rejoin", not_ready as f64, 0.0),
            Bound::least("evacuations_and_ends", (evacuations + ends) as f64, ROUTERS as f64),
        ];
        report
    }
}

/// Time limit for establishing a connection of a crowd.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
