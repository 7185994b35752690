//! Model checking of the state that two processes of one router share, with an operator who calls either
//! process at any moment, an upgrade, and a process that dies at any step. The file format and the changes to
//! the file are the daemon's own functions. The phases and the order of steps are modelled after
//! `runtime::handover`. Each property is also shown to fail if one of these steps is left out.

use frostturn::clock::{BootTime, UnixTime};
use frostturn::handover::{ClockReading, State};
use frostturn::service::Service;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const LISTEN: &str = "127.0.0.1:7";
const BOOT: &str = "this boot";
const NOW: ClockReading = ClockReading { boot: BootTime(1e9), unix: UnixTime(1e12) };
const NAMES: [&str; 2] = ["s-1", "s-2"];

/// A step that is left out or out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The operator's call is confirmed before the file is written.
    ConfirmsBeforeWriting,
    /// No process takes the lock.
    NoLock,
    /// A process serves before it has read the file.
    ServesBeforeReading,
    /// The old process is terminated before the new one is ready.
    TerminatesEarly,
    /// A process that has exited keeps the lock.
    KeepsLock,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Absent,
    Starting,
    Serving,
    Terminating,
    Exited,
}

/// The progress of an operator's call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Requested,
    Locked,
    /// Holds the bytes to write.
    Changed(Vec<u8>),
    Written,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Job {
    name: usize,
    excluded: bool,
    step: Step,
    /// Another process has written the opposite change since, which therefore is the later one.
    superseded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    /// The machines to which this process sends nothing.
    excluded: BTreeSet<usize>,
    job: Option<Job>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    file: Vec<u8>,
    lock: Option<usize>,
    processes: [Process; 2],
    /// Exclusions that were confirmed, and not undone by a written inclusion since.
    confirmed: BTreeSet<usize>,
    calls: u8,
    deaths: u8,
    /// Whether a process started to serve without knowing a confirmed exclusion.
    served_excluded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    Call(usize, usize, bool),
    Advance(usize),
    ReadFile(usize),
    Start,
    Ready,
    Terminate,
    Exit(usize),
    Die(usize),
}

struct Router {
    fault: Fault,
}

fn excluded_in(file: &[u8]) -> Option<BTreeSet<usize>> {
    let state = State::decode(file, LISTEN, BOOT, NOW).ok()?;
    Some((0..NAMES.len()).filter(|at| state.excluded().contains(NAMES[*at])).collect())
}

impl Router {
    /// Takes the next step of a call.
    fn advance(&self, world: &mut World, at: usize) -> Option<()> {
        let terminating = world.processes[at].phase == Phase::Terminating;
        let job = world.processes[at].job.clone()?;
        let step = match job.step {
            Step::Requested if self.fault == Fault::NoLock => Step::Locked,
            Step::Requested if world.lock.is_some() => return None,
            Step::Requested => {
                world.lock = Some(at);
                Step::Locked
            }
            Step::Locked => {
                let mut state = State::decode(&world.file, LISTEN, BOOT, NOW).ok()?;
                state.set_excluded(at as u64, terminating, NAMES[job.name], job.excluded, NOW.boot).ok()?;
                if self.fault == Fault::ConfirmsBeforeWriting {
                    self.confirm(world, at, &job);
                }
                Step::Changed(state.encode(NOW)?)
            }
            Step::Changed(bytes) => {
                world.file = bytes;
                if !job.excluded {
                    world.confirmed.remove(&job.name);
                }
                for other in &mut world.processes {
                    if let Some(other) = other.job.as_mut().filter(|other| other.name == job.name) {
                        other.superseded |= other.step == Step::Written && other.excluded != job.excluded;
                    }
                }
                if world.lock == Some(at) {
                    world.lock = None;
                }
                Step::Written
            }
            Step::Written => {
                if self.fault != Fault::ConfirmsBeforeWriting {
                    self.confirm(world, at, &job);
                }
                world.processes[at].job = None;
                return Some(());
            }
        };
        world.processes[at].job.as_mut()?.step = step;
        Some(())
    }

    /// The reducer applies the saved state, and the operator's call is confirmed.
    fn confirm(&self, world: &mut World, at: usize, job: &Job) {
        let process = &mut world.processes[at];
        if job.excluded {
            process.excluded.insert(job.name);
        } else {
            process.excluded.remove(&job.name);
        }
        if job.excluded && !job.superseded {
            world.confirmed.insert(job.name);
        }
    }
}

impl Model for Router {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut state = State::new(LISTEN, BOOT);
        state.record_process(0, false, NOW.boot);
        let process = |phase| Process { phase, excluded: BTreeSet::new(), job: None };
        vec![World {
            file: state.encode(NOW).expect("small"),
            lock: None,
            processes: [process(Phase::Serving), process(Phase::Absent)],
            confirmed: BTreeSet::new(),
            calls: 3,
            deaths: 1,
            served_excluded: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for at in 0..2 {
            let process = &world.processes[at];
            let runs = matches!(process.phase, Phase::Serving | Phase::Terminating);
            if runs && process.job.is_some() {
                actions.push(Act::Advance(at));
            } else if runs {
                actions.push(Act::ReadFile(at));
                if world.calls > 0 {
                    for name in 0..NAMES.len() {
                        actions.extend([Act::Call(at, name, true), Act::Call(at, name, false)]);
                    }
                }
                if process.phase == Phase::Terminating {
                    actions.push(Act::Exit(at));
                }
            }
            if world.deaths > 0 && (runs || process.phase == Phase::Starting) {
                actions.push(Act::Die(at));
            }
        }
        match world.processes[1].phase {
            Phase::Absent => actions.push(Act::Start),
            Phase::Starting => actions.push(Act::Ready),
            _ => {}
        }
        let new_is_ready = world.processes[1].phase == Phase::Serving
            || (self.fault == Fault::TerminatesEarly && world.processes[1].phase == Phase::Starting);
        if new_is_ready && world.processes[0].phase == Phase::Serving {
            actions.push(Act::Terminate);
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Call(at, name, excluded) => {
                world.calls -= 1;
                world.processes[at].job =
                    Some(Job { name, excluded, step: Step::Requested, superseded: false });
            }
            Act::Advance(at) => self.advance(&mut world, at)?,
            Act::ReadFile(at) => world.processes[at].excluded = excluded_in(&world.file)?,
            Act::Start => world.processes[1].phase = Phase::Starting,
            Act::Ready => {
                if self.fault != Fault::ServesBeforeReading {
                    world.processes[1].excluded = excluded_in(&world.file)?;
                }
                world.processes[1].phase = Phase::Serving;
                world.served_excluded |= !world.confirmed.is_subset(&world.processes[1].excluded);
            }
            Act::Terminate => {
                let mut service = Service::default();
                assert!(
                    service.accepts_clients() && service.terminate(1.0, 1000.0) && !service.accepts_clients()
                );
                world.processes[0].phase = Phase::Terminating;
            }
            Act::Exit(at) | Act::Die(at) => {
                world.deaths -= u8::from(matches!(act, Act::Die(_)));
                world.processes[at] = Process { phase: Phase::Exited, excluded: BTreeSet::new(), job: None };
                if world.lock == Some(at) && self.fault != Fault::KeepsLock {
                    world.lock = None; // The operating system releases the lock.
                }
            }
        }
        Some(world).filter(|world| world != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a confirmed exclusion is never lost", |_, world: &World| {
                excluded_in(&world.file).is_some_and(|saved| world.confirmed.is_subset(&saved))
            }),
            Property::always("a starting process respects confirmed exclusions", |_, world: &World| {
                !world.served_excluded
            }),
            Property::always("some process always accepts clients", |_, world: &World| {
                let serves = world.processes.iter().any(|process| process.phase == Phase::Serving);
                serves || world.deaths == 0
            }),
            Property::always("a call never waits for a lock whose holder has exited", |_, world: &World| {
                let waits = |at: &usize| {
                    let job = world.processes[*at].job.as_ref();
                    job.is_some_and(|job| job.step == Step::Requested) && world.lock.is_some()
                };
                let holder_runs = |at: usize| world.processes[at].phase != Phase::Exited;
                !(0..2).any(|at| waits(&at)) || world.lock.is_some_and(holder_runs)
            }),
            Property::eventually("calls complete, and at most one process remains", |_, world: &World| {
                let no_calls = world.processes.iter().all(|process| process.job.is_none());
                // The old process remains if the new one has died.
                no_calls && world.processes.iter().any(|process| process.phase == Phase::Exited)
            }),
        ]
    }
}

/// Returns the names of the properties that do not hold.
fn failing_properties(fault: Fault) -> Vec<&'static str> {
    let checker = Router { fault }.checker().threads(2).finish_when(HasDiscoveries::All).spawn_bfs().join();
    assert!(checker.unique_state_count() > 1000, "more than the initial states were explored");
    let mut failing_properties: Vec<&'static str> = checker.discoveries().into_keys().collect();
    failing_properties.sort_unstable();
    failing_properties
}

#[test]
fn confirmed_exclusions_hold_and_a_process_accepts_whatever_happens() {
    assert_eq!(failing_properties(Fault::None), Vec::<&str>::new());
}

#[test]
fn each_property_fails_if_its_step_is_left_out() {
    for (fault, property) in [
        (Fault::ConfirmsBeforeWriting, "a confirmed exclusion is never lost"),
        (Fault::NoLock, "a confirmed exclusion is never lost"),
        (Fault::ServesBeforeReading, "a starting process respects confirmed exclusions"),
        (Fault::TerminatesEarly, "some process always accepts clients"),
        (Fault::KeepsLock, "a call never waits for a lock whose holder has exited"),
        (Fault::KeepsLock, "calls complete, and at most one process remains"),
    ] {
        assert!(failing_properties(fault).contains(&property), "{fault:?}");
    }
}
