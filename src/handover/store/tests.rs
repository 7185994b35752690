//! Two processes and their successors over a folder in which any step may fail, be cut short, be done though it is said
//! to have failed, or be a process's last.

use super::*;
use crate::clock::UnixTime;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const LISTEN: &str = "127.0.0.1:7";
const BOOT: &str = "this boot";
const NAMES: [&str; 2] = ["s-1", "s-2"];
/// What a system's error is.
const EIO: i32 = 5;
const PLACES: u64 = 2;

/// What becomes of one step in the folder.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// It is done.
    Done,
    /// It fails, and nothing is done.
    Fails,
    /// It is cut short, and fails.
    Short,
    /// It is done, and said to have failed.
    DoneAndFails,
    /// The process dies before it.
    DiesBefore,
    /// The process dies in its middle.
    DiesMidway,
    /// The process dies after it.
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
    /// What becomes of the next steps.
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
    me: u64,
}

impl Memory {
    /// One step: `act` does it wholly (true) or half (false).
    fn step(&self, act: impl Fn(&mut Disk, bool)) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        let failed = || Err(io::Error::from_raw_os_error(EIO));
        if !disk.alive.contains(&self.me) {
            return failed();
        }
        let fate = if disk.fates.is_empty() { Fate::Done } else { disk.fates.remove(0) };
        match fate {
            Fate::Done | Fate::DoneAndFails | Fate::DiesAfter => act(&mut disk, true),
            Fate::Short | Fate::DiesMidway => act(&mut disk, false),
            Fate::Fails | Fate::DiesBefore => {}
        }
        if matches!(fate, Fate::DiesBefore | Fate::DiesMidway | Fate::DiesAfter) {
            disk.dies(self.me);
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
        if disk.locked_by == Some(self.0.me) {
            disk.locked_by = None;
        }
    }
}

impl Folder for Memory {
    type Lock = Lock;

    fn lock(&mut self) -> io::Result<Lock> {
        let me = self.me;
        assert_eq!(self.disk.borrow().locked_by, None, "nobody keeps it beyond a change");
        let lock = Lock(self.clone()); // However it fails, its file is closed, and the lock with it.
        self.step(|disk, wholly| disk.locked_by = Some(me).filter(|_| wholly))?;
        Ok(lock)
    }

    fn read(&self) -> io::Result<Option<Vec<u8>>> {
        if !self.disk.borrow().alive.contains(&self.me) {
            return Err(io::Error::from_raw_os_error(EIO));
        }
        Ok(self.disk.borrow().file.clone())
    }

    fn write_temporary(&mut self, bytes: &[u8]) -> io::Result<()> {
        let me = self.me;
        self.step(|disk, wholly| {
            let written = if wholly { bytes } else { &bytes[..bytes.len() / 2] };
            disk.beside.insert(me, written.to_vec());
        })
    }

    fn sync_temporary(&mut self) -> io::Result<()> {
        self.step(|_, _| {})
    }

    fn replace_file(&mut self) -> io::Result<()> {
        let me = self.me;
        self.step(|disk, wholly| {
            if let Some(bytes) = disk.beside.remove(&me).filter(|_| wholly) {
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
        self.disk.borrow().alive.iter().any(|process| *process != self.me)
    }
}

/// The processes of one router, at most two at once, and what their operators were told.
struct World {
    disk: Rc<RefCell<Disk>>,
    processes: BTreeMap<u64, Store<Memory>>,
    started: u64,
    now_ms: Millis,
    /// The last call about each machine that was answered yes: when, and whether it is out. What nobody who runs knows
    /// any more, and no file tells, is no longer owed; nor is it known what holds after a call that was answered no.
    promised: BTreeMap<&'static str, Promise>,
}

/// A call that was answered yes.
#[derive(Clone, Debug)]
struct Promise {
    at: BootTime,
    out: bool,
    /// Processes that have known of it.
    known_by: BTreeSet<u64>,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            disk: Rc::default(),
            processes: BTreeMap::new(),
            started: 0,
            now_ms: 1e6,
            promised: BTreeMap::new(),
        };
        world.start();
        world.upkeep_all();
        world
    }

    fn now(&self) -> ClockReading {
        ClockReading { boot: BootTime(self.now_ms), unix: UnixTime(1e12) }
    }

    /// Time passes with every step.
    fn tick(&mut self) -> ClockReading {
        self.now_ms += 1.0;
        self.now()
    }

    fn start(&mut self) {
        if self.processes.len() as u64 >= PLACES {
            return;
        }
        self.started += 1;
        let me = self.started;
        self.disk.borrow_mut().alive.insert(me);
        let folder = Memory { disk: self.disk.clone(), me };
        let now = self.tick();
        self.processes.insert(me, Store::new(folder, me, LISTEN, BOOT, now));
        self.upkeep(me);
    }

    fn nth(&self, at: u8) -> Option<u64> {
        self.processes.keys().copied().nth(usize::from(at) % self.processes.len().max(1))
    }

    /// Forgets processes that have died, and what was promised if nobody knows it any more.
    fn bury(&mut self) {
        let alive = self.disk.borrow().alive.clone();
        self.processes.retain(|process, _| alive.contains(process));
        let file = self.file();
        for (name, promise) in &mut self.promised {
            let knows = |store: &Store<Memory>| tells(&store.state, name, promise.at);
            let know: Vec<u64> = self
                .processes
                .iter()
                .filter(|(_, store)| knows(store))
                .map(|(process, _)| *process)
                .collect();
            promise.known_by.extend(know);
        }
        let told = |name: &str, at: BootTime| file.as_ref().is_some_and(|state| tells(state, name, at));
        // One that has forgotten it while it runs still owes it.
        let owed =
            |name: &str, promise: &Promise| !promise.known_by.is_disjoint(&alive) || told(name, promise.at);
        self.promised.retain(|name, promise| owed(name, promise));
    }

    /// What the file says, if it can be used.
    fn file(&self) -> Option<State> {
        let disk = self.disk.borrow();
        State::decode(disk.file.as_ref()?, LISTEN, BOOT, self.now()).ok()
    }

    fn upkeep(&mut self, process: u64) {
        let now = self.tick();
        let Some(store) = self.processes.get_mut(&process) else { return };
        store.maintain(now, false, |_| true);
        self.bury();
    }

    fn upkeep_all(&mut self) {
        let all: Vec<u64> = self.processes.keys().copied().collect();
        all.into_iter().for_each(|process| self.upkeep(process));
    }

    /// An operator's call to a process, and what becomes of its steps in the folder.
    fn call(&mut self, process: u64, name: &'static str, out: bool, fates: Vec<Fate>) {
        let now = self.tick();
        self.disk.borrow_mut().fates = fates;
        let Some(store) = self.processes.get_mut(&process) else { return };
        let answer = store.set_excluded(now, false, name, out);
        self.disk.borrow_mut().fates.clear();
        match answer {
            Ok(()) => {
                let file = self.file().expect("it was just written");
                assert!(tells(&file, name, now.boot), "it is in place before the yes");
                let known_by = BTreeSet::from([process]);
                self.promised.insert(name, Promise { at: now.boot, out, known_by });
            }
            // Nothing is owed for a no: the call may hold all the same, in all of them or none, where its process died.
            Err(_) if !self.disk.borrow().alive.contains(&process) => drop(self.promised.remove(name)),
            Err(_) => {}
        }
        self.bury();
    }

    /// Once nothing fails any more, all that run agree with what was promised.
    fn settles(&mut self) {
        for _ in 0..4 {
            self.now_ms += 250.0;
            self.upkeep_all();
        }
        let known: BTreeSet<Vec<String>> = self
            .processes
            .values()
            .map(|store| store.state().excluded().names().map(str::to_owned).collect())
            .collect();
        assert!(known.len() <= 1, "they differ: {known:?}");
        for (process, store) in &self.processes {
            assert!(!store.has_unsaved_changes(), "{process} still owes");
            for (name, promise) in &self.promised {
                assert_eq!(store.state().excluded().contains(name), promise.out, "{name} in {process}");
            }
        }
    }
}

/// Whether a state knows of a call, or of a later one.
fn tells(state: &State, name: &str, at: BootTime) -> bool {
    state.calls.get(name).is_some_and(|call| call.at >= at)
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
            // Mostly one step fails.
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
        Step::Call(at, name, out, fates) => {
            if let Some(process) = world.nth(at) {
                world.call(process, NAMES[name], out, drawn(fates));
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
        Step::Settle => world.settles(),
    }
    world.bury();
    if world.processes.is_empty() {
        world.start();
    }
}

#[test]
fn whatever_fails_and_whoever_dies_a_yes_holds_as_long_as_one_runs_that_knew_of_it() {
    fn property(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        steps.into_iter().for_each(|step| play(&mut world, step));
        world.settles();
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .tests(4000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn each_step_of_a_change_may_fail_in_each_way_beside_another_process() {
    // The lock, the write, its sync, the renaming, the folder's sync; and what the next process does about it.
    for at in 0..5 {
        for fate in FATES {
            for out in [true, false] {
                let mut world = World::new();
                world.start();
                let processes: Vec<u64> = world.processes.keys().copied().collect();
                world.call(processes[0], NAMES[0], !out, Vec::new());
                world.upkeep_all();
                let mut fates = vec![Fate::Done; at];
                fates.push(fate);
                world.call(processes[0], NAMES[0], out, fates);
                world.settles();
                world.start();
                world.settles();
            }
        }
    }
}

#[test]
fn one_that_knows_nothing_answers_no_while_another_runs_that_may_know() {
    let mut world = World::new();
    let old = world.started;
    world.call(old, NAMES[0], true, Vec::new());
    world.disk.borrow_mut().file = Some(b"not a state".to_vec());
    world.start();
    let (new, now) = (world.started, world.tick());
    let store = world.processes.get_mut(&new).expect("it runs");
    assert!(matches!(store.set_excluded(now, false, NAMES[1], true), Err(ChangeError::StateUnknown)));
    // As the other one dies without a word, what the new one knows is all there is.
    world.disk.borrow_mut().dies(old);
    let now = world.tick();
    let store = world.processes.get_mut(&new).expect("it runs");
    assert!(store.set_excluded(now, false, NAMES[1], true).is_ok());
}

#[test]
fn what_is_owed_is_written_again_soon_and_not_in_a_rush() {
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
