//! Model checking of what two processes of one router share: an operator that calls either at any moment, an upgrade, and
//! either process dying at any step. The file's form and the changes to it are the daemon's own functions; phases and the
//! order of steps are the model's, written after `runtime::handover`. Each property is also shown to fail where one of
//! those steps is left out.

use frostturn::clock::{BootTime, UnixTime};
use frostturn::handover::{Now, State};
use frostturn::service::Service;
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::collections::BTreeSet;

const LISTEN: &str = "127.0.0.1:7";
const BOOT: &str = "this boot";
const NOW: Now = Now { boot: BootTime(1e9), unix: UnixTime(1e12) };
const NAMES: [&str; 2] = ["s-1", "s-2"];

/// Which step is left out or out of order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The operator hears yes before the file is written.
    AnswersFirst,
    /// Nobody holds the lock.
    NoLock,
    /// A process serves before it has read the file.
    StartsBlind,
    /// The old process is told to end before the new one has said yes.
    EndsEarly,
    /// A process that has ended keeps the lock.
    KeepsLock,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Absent,
    Starting,
    Serving,
    Ending,
    Gone,
}

/// How far a call has come.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Asked,
    Locked,
    /// What is to be written.
    Changed(Vec<u8>),
    Written,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Job {
    name: usize,
    out: bool,
    step: Step,
    /// Another process has written the opposite since: that is the later word.
    superseded: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    /// What it sends nothing to.
    out: BTreeSet<usize>,
    job: Option<Job>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    file: Vec<u8>,
    lock: Option<usize>,
    processes: [Process; 2],
    /// Answered with yes, and no include has been written since.
    promised: BTreeSet<usize>,
    calls: u8,
    deaths: u8,
    /// Somebody served a machine that was promised to get nothing.
    served_against: bool,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Act {
    Call(usize, usize, bool),
    Go(usize),
    Look(usize),
    Start,
    Ready,
    Terminate,
    Exit(usize),
    Die(usize),
}

struct Router {
    fault: Fault,
}

fn names(file: &[u8]) -> Option<BTreeSet<usize>> {
    let state = State::read(file, LISTEN, BOOT, NOW).ok()?;
    Some((0..NAMES.len()).filter(|at| state.excluded().contains(NAMES[*at])).collect())
}

impl Router {
    /// The next step of a call.
    fn go(&self, world: &mut World, at: usize) -> Option<()> {
        let ends = world.processes[at].phase == Phase::Ending;
        let job = world.processes[at].job.clone()?;
        let step = match job.step {
            Step::Asked if self.fault == Fault::NoLock => Step::Locked,
            Step::Asked if world.lock.is_some() => return None,
            Step::Asked => {
                world.lock = Some(at);
                Step::Locked
            }
            Step::Locked => {
                let mut state = State::read(&world.file, LISTEN, BOOT, NOW).ok()?;
                state.call(at as u64, ends, NAMES[job.name], job.out, NOW.boot).ok()?;
                if self.fault == Fault::AnswersFirst {
                    self.answer(world, at, &job);
                }
                Step::Changed(state.write(NOW)?)
            }
            Step::Changed(bytes) => {
                world.file = bytes;
                if !job.out {
                    world.promised.remove(&job.name);
                }
                for other in &mut world.processes {
                    if let Some(other) = other.job.as_mut().filter(|other| other.name == job.name) {
                        other.superseded |= other.step == Step::Written && other.out != job.out;
                    }
                }
                if world.lock == Some(at) {
                    world.lock = None;
                }
                Step::Written
            }
            Step::Written => {
                if self.fault != Fault::AnswersFirst {
                    self.answer(world, at, &job);
                }
                world.processes[at].job = None;
                return Some(());
            }
        };
        world.processes[at].job.as_mut()?.step = step;
        Some(())
    }

    /// The reducer takes over what is saved, and the operator hears yes.
    fn answer(&self, world: &mut World, at: usize, job: &Job) {
        let process = &mut world.processes[at];
        if job.out {
            process.out.insert(job.name);
        } else {
            process.out.remove(&job.name);
        }
        if job.out && !job.superseded {
            world.promised.insert(job.name);
        }
    }
}

impl Model for Router {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let mut state = State::new(LISTEN, BOOT);
        state.say(0, false, NOW.boot);
        let process = |phase| Process { phase, out: BTreeSet::new(), job: None };
        vec![World {
            file: state.write(NOW).expect("small"),
            lock: None,
            processes: [process(Phase::Serving), process(Phase::Absent)],
            promised: BTreeSet::new(),
            calls: 3,
            deaths: 1,
            served_against: false,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Act>) {
        for at in 0..2 {
            let process = &world.processes[at];
            let runs = matches!(process.phase, Phase::Serving | Phase::Ending);
            if runs && process.job.is_some() {
                actions.push(Act::Go(at));
            } else if runs {
                actions.push(Act::Look(at));
                if world.calls > 0 {
                    for name in 0..NAMES.len() {
                        actions.extend([Act::Call(at, name, true), Act::Call(at, name, false)]);
                    }
                }
                if process.phase == Phase::Ending {
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
        let yes = world.processes[1].phase == Phase::Serving
            || (self.fault == Fault::EndsEarly && world.processes[1].phase == Phase::Starting);
        if yes && world.processes[0].phase == Phase::Serving {
            actions.push(Act::Terminate);
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Call(at, name, out) => {
                world.calls -= 1;
                world.processes[at].job = Some(Job { name, out, step: Step::Asked, superseded: false });
            }
            Act::Go(at) => self.go(&mut world, at)?,
            Act::Look(at) => world.processes[at].out = names(&world.file)?,
            Act::Start => world.processes[1].phase = Phase::Starting,
            Act::Ready => {
                if self.fault != Fault::StartsBlind {
                    world.processes[1].out = names(&world.file)?;
                }
                world.processes[1].phase = Phase::Serving;
                world.served_against |= !world.promised.is_subset(&world.processes[1].out);
            }
            Act::Terminate => {
                let mut service = Service::default();
                assert!(
                    service.accepts_clients() && service.terminate(1.0, 1000.0) && !service.accepts_clients()
                );
                world.processes[0].phase = Phase::Ending;
            }
            Act::Exit(at) | Act::Die(at) => {
                world.deaths -= u8::from(matches!(act, Act::Die(_)));
                world.processes[at] = Process { phase: Phase::Gone, out: BTreeSet::new(), job: None };
                if world.lock == Some(at) && self.fault != Fault::KeepsLock {
                    world.lock = None; // The system takes it back.
                }
            }
        }
        Some(world).filter(|world| world != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a yes is never forgotten", |_, world: &World| {
                names(&world.file).is_some_and(|saved| world.promised.is_subset(&saved))
            }),
            Property::always("nor served against by a process that starts", |_, world: &World| {
                !world.served_against
            }),
            Property::always("never nobody accepting", |_, world: &World| {
                let serves = world.processes.iter().any(|process| process.phase == Phase::Serving);
                serves || world.deaths == 0
            }),
            Property::always("a call is never stuck behind nobody", |_, world: &World| {
                let waits = |at: &usize| {
                    let job = world.processes[*at].job.as_ref();
                    job.is_some_and(|job| job.step == Step::Asked) && world.lock.is_some()
                };
                let moves = |at: usize| world.processes[at].phase != Phase::Gone;
                !(0..2).any(|at| waits(&at)) || world.lock.is_some_and(moves)
            }),
            Property::eventually("calls end, and one process is left or none", |_, world: &World| {
                let at_rest = world.processes.iter().all(|process| process.job.is_none());
                // Where the new one has died, the old one stays.
                at_rest && world.processes.iter().any(|process| process.phase == Phase::Gone)
            }),
        ]
    }
}

/// The properties that don't hold, by name.
fn broken(fault: Fault) -> Vec<&'static str> {
    let checker = Router { fault }.checker().threads(2).finish_when(HasDiscoveries::All).spawn_bfs().join();
    assert!(checker.unique_state_count() > 1000, "it has looked at more than the beginning");
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    broken
}

#[test]
fn whatever_the_operator_does_and_whoever_dies_a_yes_holds_and_somebody_accepts() {
    assert_eq!(broken(Fault::None), Vec::<&str>::new());
}

#[test]
fn each_property_fails_where_its_step_is_left_out() {
    for (fault, property) in [
        (Fault::AnswersFirst, "a yes is never forgotten"),
        (Fault::NoLock, "a yes is never forgotten"),
        (Fault::StartsBlind, "nor served against by a process that starts"),
        (Fault::EndsEarly, "never nobody accepting"),
        (Fault::KeepsLock, "a call is never stuck behind nobody"),
        (Fault::KeepsLock, "calls end, and one process is left or none"),
    ] {
        assert!(broken(fault).contains(&property), "{fault:?}");
    }
}
