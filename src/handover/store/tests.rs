//! Runs two processes and their successors on a folder in which any step may fail, be done in part, be done
//! though it reports a failure, or end with the death of the process.

use super::*;
use crate::clock::UnixTime;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const LISTEN: &str = "127.0.0.1:7";
const BOOT: &str = "this boot";
const NAMES: [&str; 2] = ["s-1", "s-2"];
/// The error number of failing steps.
const EIO: i32 = 5;
/// The maximum number of processes at a time.
const MAX_RUNNING: u64 = 2;

/// The outcome of one step in the folder.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Done.
    Done,
    /// Not done, and reported as failed.
    Fails,
    /// Done in part, and reported as failed.
    Short,
    /// Done, but reported as failed.
    DoneAndFails,
    /// The process dies before the step.
    DiesBefore,
    /// The process dies during the step.
    DiesMidway,
    /// The process dies after the step.
    DiesAfter,
}

const FATES: [Fate; 7] = [
    Fate::Done,
    Fate::Fails,
    Fate::Short,
    Fate::DoneAndFails,
    Fate::DiesBefore,
    Fate::DiesMidway,
    Fate::DiesAfter,
];

#[derive(Debug, Default)]
struct Disk {
    file: Option<Vec<u8>>,
    beside: BTreeMap<u64, Vec<u8>>,
    locked_by: Option<u64>,
    alive: BTreeSet<u64>,
    /// The outcomes of the next steps.
    fates: Vec<Fate>,
}

impl Disk {
    fn dies(&mut self, process: u64) {
        self.alive.remove(&process);
        self.beside.remove(&process);
        if self.locked_by == Some(process) {
            self.locked_by = None;
        }
    }
}

#[derive(Clone, Debug)]
struct Memory {
    disk: Rc<RefCell<Disk>>,
    process: u64,
}

impl Memory {
    /// Runs one step: `act` does all of it (true) or a part (false).
    fn step(&self, act: impl Fn(&mut Disk, bool)) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        let failed = || Err(io::Error::from_raw_os_error(EIO));
        if !disk.alive.contains(&self.process) {
            return failed();
        }
        let fate = if disk.fates.is_empty() { Fate::Done } else { disk.fates.remove(0) };
        match fate {
            Fate::Done | Fate::DoneAndFails | Fate::DiesAfter => act(&mut disk, true),
            Fate::Short | Fate::DiesMidway => act(&mut disk, false),
            Fate::Fails | Fate::DiesBefore => {}
        }
        if matches!(fate, Fate::DiesBefore | Fate::DiesMidway | Fate::DiesAfter) {
            disk.dies(self.process);
        }
        if fate == Fate::Done {
            Ok(())
        } else {
            failed()
        }
    }
}

struct Lock(Memory);

impl Drop for Lock {
    fn drop(&mut self) {
        let mut disk = self.0.disk.borrow_mut();
        if disk.locked_by == Some(self.0.process) {
            disk.locked_by = None;
        }
    }
}

impl Folder for Memory {
    type Lock = Lock;

    fn lock(&mut self) -> io::Result<Lock> {
        let process = self.process;
        assert_eq!(self.disk.borrow().locked_by, None, "no process keeps the lock beyond a change");
        let lock = Lock(self.clone()); // A failure closes the file, which releases the lock.
        self.step(|disk, complete| disk.locked_by = Some(process).filter(|_| complete))?;
        Ok(lock)
    }

    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        if !self.disk.borrow().alive.contains(&self.process) {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        Ok(self.disk.borrow().file.clone())
    }

    fn write_temporary(&mut self, bytes: &[u8]) -> io::Result<()> {
        let process = self.process;
        self.step(|disk, complete| {
            let written = if complete { bytes } else { &bytes[..bytes.len() / 2] };
            disk.beside.insert(process, written.to_vec());
        })
    }

    fn sync_temporary(&mut self) -> io::Result<()> {
        self.step(|_, _| {})
    }

    fn replace_file(&mut self) -> io::Result<()> {
        let process = self.process;
        self.step(|disk, complete| {
            if let Some(bytes) = disk.beside.remove(&process).filter(|_| complete) {
                disk.file = Some(bytes);
            }
        })
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.step(|_, _| {})
    }

    fn is_alive(&self, process: u64) -> Option<bool> {
        Some(self.disk.borrow().alive.contains(&process))
    }

    fn other_process_runs(&self) -> bool {
        self.disk.borrow().alive.iter().any(|process| *process != self.process)
    }
}

/// The processes of one router, at most [`MAX_RUNNING`] at a time, and the changes confirmed to operators.
struct World {
    disk: Rc<RefCell<Disk>>,
    processes: BTreeMap<u64, Store<Memory>>,
    started: u64,
    now_ms: Millis,
    /// The last confirmed change of each machine. A change that neither a running process nor the file knows
    /// any more need not stay in effect; and after a rejected change either state may be in effect.
    confirmed: BTreeMap<&'static str, Confirmed>,
}

/// A change that was confirmed to an operator.
#[derive(Clone, Debug)]
struct Confirmed {
    at: BootTime,
    excluded: bool,
    /// Processes that have known the change.
    known_by: BTreeSet<u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            disk: Rc::default(),
            processes: BTreeMap::new(),
            started: 0,
            now_ms: 1e6,
            confirmed: BTreeMap::new(),
        };
        world.start();
        world.upkeep_all();
        world
    }

    fn now(&self) -> ClockReading {
        ClockReading { boot: BootTime(self.now_ms), unix: UnixTime(1e12) }
    }

    /// Advances the time, as every step does.
    fn tick(&mut self) -> ClockReading {
        self.now_ms += 1.0;
        self.now()
    }

    fn start(&mut self) {
        if self.processes.len() as u64 >= MAX_RUNNING {
            return;
        }
        self.started += 1;
        let process = self.started;
        self.disk.borrow_mut().alive.insert(process);
        let folder = Memory { disk: self.disk.clone(), process };
        let now = self.tick();
        self.processes.insert(process, Store::new(folder, process, LISTEN, BOOT, now));
        self.upkeep(process);
    }

    fn nth(&self, at: u8) -> Option<u64> {
        self.processes.keys().copied().nth(usize::from(at) % self.processes.len().max(1))
    }

    /// Removes processes that have died, and confirmed changes that no process or file knows any more.
    fn remove_dead(&mut self) {
        let alive = self.disk.borrow().alive.clone();
        self.processes.retain(|process, _| alive.contains(process));
        let file = self.file();
        for (name, change) in &mut self.confirmed {
            let knows = |store: &Store<Memory>| has_change(&store.state, name, change.at);
            let know: Vec<u64> = self
                .processes
                .iter()
                .filter(|(_, store)| knows(store))
                .map(|(process, _)| *process)
                .collect();
            change.known_by.extend(know);
        }
        let in_file =
            |name: &str, at: BootTime| file.as_ref().is_some_and(|state| has_change(state, name, at));
        // A running process that has lost a change it once knew must still apply it.
        let required =
            |name: &str, change: &Confirmed| !change.known_by.is_disjoint(&alive) || in_file(name, change.at);
        self.confirmed.retain(|name, change| required(name, change));
    }

    /// Decodes the file, if it is usable.
    fn file(&self) -> Option<State> {
        let disk = self.disk.borrow();
        State::decode(disk.file.as_ref()?, LISTEN, BOOT, self.now()).ok()
    }

    fn upkeep(&mut self, process: u64) {
        let now = self.tick();
        let Some(store) = self.processes.get_mut(&process) else { return };
        store.maintain(now, false, |_| true);
        self.remove_dead();
    }

    fn upkeep_all(&mut self) {
        let all: Vec<u64> = self.processes.keys().copied().collect();
        all.into_iter().for_each(|process| self.upkeep(process));
    }

    /// Runs an operator's change in a process, with the outcomes of its steps in the folder.
    fn call(&mut self, process: u64, name: &'static str, excluded: bool, fates: Vec<Fate>) {
        let now = self.tick();
        self.disk.borrow_mut().fates = fates;
        let Some(store) = self.processes.get_mut(&process) else { return };
        let answer = store.set_excluded(now, false, name, excluded);
        self.disk.borrow_mut().fates.clear();
        match answer {
            Ok(()) => {
                let file = self.file().expect("it was just written");
                assert!(
                    has_change(&file, name, now.boot),
                    "the change is in the file before it is confirmed"
                );
                let known_by = BTreeSet::from([process]);
                self.confirmed.insert(name, Confirmed { at: now.boot, excluded, known_by });
            }
            // A failed change need not be in effect; where its process died, it may be, in all processes or
            // none.
            Err(_) if !self.disk.borrow().alive.contains(&process) => drop(self.confirmed.remove(name)),
            Err(_) => {}
        }
        self.remove_dead();
    }

    /// Checks that all running processes apply the confirmed changes once no step fails any more.
    fn check_settled(&mut self) {
        for _ in 0..4 {
            self.now_ms += 250.0;
            self.upkeep_all();
        }
        let known: BTreeSet<Vec<String>> = self
            .processes
            .values()
            .map(|store| store.state().excluded().names().map(str::to_owned).collect())
            .collect();
        assert!(known.len() <= 1, "the processes differ: {known:?}");
        for (process, store) in &self.processes {
            assert!(!store.has_unsaved_changes(), "{process} still has unsaved changes");
            for (name, change) in &self.confirmed {
                assert_eq!(store.state().excluded().contains(name), change.excluded, "{name} in {process}");
            }
        }
    }
}

/// Returns whether a state has a change, or a later one of the same machine.
fn has_change(state: &State, name: &str, at: BootTime) -> bool {
    state.changes.get(name).is_some_and(|change| change.at >= at)
}

#[derive(Clone, Debug)]
enum Step {
    Call(u8, usize, bool, Vec<usize>),
    Upkeep(u8, Vec<usize>),
    Start,
    Die(u8),
    Spoil,
    TakeAway,
    Settle,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let fates = |g: &mut Gen| {
            // Usually a single step fails.
            let mut fates = vec![0; usize::arbitrary(g) % 6];
            fates.push(usize::arbitrary(g) % FATES.len());
            fates
        };
        match u8::arbitrary(g) % 16 {
            0..=5 => Self::Call(u8::arbitrary(g), usize::arbitrary(g) % 2, bool::arbitrary(g), fates(g)),
            6..=9 => Self::Upkeep(u8::arbitrary(g), fates(g)),
            10 | 11 => Self::Start,
            12 => Self::Die(u8::arbitrary(g)),
            13 => Self::Spoil,
            14 => Self::TakeAway,
            _ => Self::Settle,
        }
    }
}

fn play(world: &mut World, step: Step) {
    let drawn = |fates: Vec<usize>| fates.into_iter().map(|at| FATES[at]).collect::<Vec<Fate>>();
    match step {
        Step::Call(at, name, excluded, fates) => {
            if let Some(process) = world.nth(at) {
                world.call(process, NAMES[name], excluded, drawn(fates));
            }
        }
        Step::Upkeep(at, fates) => {
            if let Some(process) = world.nth(at) {
                world.disk.borrow_mut().fates = drawn(fates);
                world.upkeep(process);
                world.disk.borrow_mut().fates.clear();
            }
        }
        Step::Start => world.start(),
        Step::Die(at) => {
            if let Some(process) = world.nth(at) {
                world.disk.borrow_mut().dies(process);
            }
        }
        Step::Spoil => {
            let mut disk = world.disk.borrow_mut();
            if let Some(file) = &mut disk.file {
                file.truncate(file.len() / 2);
            }
        }
        Step::TakeAway => world.disk.borrow_mut().file = None,
        Step::Settle => world.check_settled(),
    }
    world.remove_dead();
    if world.processes.is_empty() {
        world.start();
    }
}

#[test]
fn confirmed_changes_survive_any_failure_while_a_process_runs_that_knew_them() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.into_iter().for_each(|step| play(&mut world, step));
        world.check_settled();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(4000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn processes_agree_after_any_single_step_of_a_change_fails() {
    // The lock, the write, its sync, the rename and the folder's sync; then another process starts.
    for at in 0..5 {
        for fate in FATES {
            for excluded in [true, false] {
                let mut world = World::new();
                world.start();
                let processes: Vec<u64> = world.processes.keys().copied().collect();
                world.call(processes[0], NAMES[0], !excluded, Vec::new());
                world.upkeep_all();
                let mut fates = vec![Fate::Done; at];
                fates.push(fate);
                world.call(processes[0], NAMES[0], excluded, fates);
                world.check_settled();
                world.start();
                world.check_settled();
            }
        }
    }
}

#[test]
fn a_process_without_state_rejects_changes_while_another_process_runs() {
    let mut world = World::new();
    let old = world.started;
    world.call(old, NAMES[0], true, Vec::new());
    world.disk.borrow_mut().file = Some(b"not a state".to_vec());
    world.start();
    let (new, now) = (world.started, world.tick());
    let store = world.processes.get_mut(&new).expect("it runs");
    assert!(matches!(store.set_excluded(now, false, NAMES[1], true), Err(ChangeError::StateUnknown)));
    // After the death of the other process, the new one starts from its own state.
    world.disk.borrow_mut().dies(old);
    let now = world.tick();
    let store = world.processes.get_mut(&new).expect("it runs");
    assert!(store.set_excluded(now, false, NAMES[1], true).is_ok());
}

#[test]
fn a_failed_save_is_retried_after_a_short_pause() {
    let mut world = World::new();
    let process = world.started;
    world.call(process, NAMES[0], true, Vec::new());
    world.disk.borrow_mut().file = Some(b"not a state".to_vec());
    world.disk.borrow_mut().fates = vec![Fate::Fails];
    world.upkeep(process);
    let store = &world.processes[&process];
    assert!(store.has_unsaved_changes());
    let wait = store.next_save_at().since(BootTime(world.now_ms));
    assert!((10.0..=100.0).contains(&wait), "{wait} ms");
    world.now_ms += wait;
    world.upkeep(process);
    let file = world.file().expect("it is written again");
    assert!(!world.processes[&process].has_unsaved_changes() && file.excluded().contains(NAMES[0]));
}
