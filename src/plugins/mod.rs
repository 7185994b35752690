//! Plug-ins: WebAssembly modules of the operators' own that give advice on routing.
//!
//! Owns the instances with their budgets and breakers, what they are shown ([`machine_stats`]), and the narrowing of what
//! they say ([`advice_filter`]). It never sends, refuses or holds back anything by itself: advice is an input of the
//! decision module's request, and the module decides. No files and no clock: programs come in as bytes, time as
//! an argument, and metering counts instructions, so that equal inputs give equal advice.

pub mod advice_filter;
pub mod breaker;
pub mod engine;
mod machine_stats;

pub use machine_stats::MachineStats;

use crate::api::{
    Advice, AttemptResult, CacheId, CacheStatus, ClassSettings, Millis, Outcome, Repeat, Settings,
};
use advice_filter::{FilteredAdvice, Permissions};
use breaker::{Breaker, State};
use engine::{Fault, Hook, Instance};
use frostturn_plugin_kit as kit;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;

/// Plug-ins that may be loaded.
pub const MAX_PLUGINS: usize = 8;
/// Views that are kept for trials of new versions.
pub const MAX_RECORDED_VIEWS: usize = 256;
/// Names under which one plug-in may count.
const MAX_LABELS: usize = 32;
/// Time between two ticks.
pub const TICK_INTERVAL_MS: Millis = 1000.0;

/// What the operator's file says of one plug-in.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its name, in lines and counters.
    pub name: String,
    /// Its program: WebAssembly, as bytes or text.
    pub file: PathBuf,
    /// What it is told at its start, a line `name value` each.
    pub settings: Vec<(String, String)>,
    /// Bytes of memory it may have.
    pub memory: usize,
    /// Instructions of one call.
    pub fuel: u64,
    /// Instructions a second, saved up for one second.
    pub fuel_per_s: u64,
    /// Classes of which it may have requests refused.
    pub may_refuse: Vec<String>,
}

impl Spec {
    /// One with the usual budgets.
    pub fn new(name: &str, file: PathBuf) -> Self {
        Self {
            name: name.to_owned(),
            file,
            settings: Vec::new(),
            memory: 1 << 20,
            fuel: 20_000,
            fuel_per_s: 10_000_000,
            may_refuse: Vec::new(),
        }
    }

    /// The bytes that `init` is given.
    pub fn settings_text(&self) -> String {
        self.settings.iter().map(|(name, value)| format!("{name} {value}\n")).collect()
    }
}

/// A program that is ready: compiled, started, and told its settings.
#[derive(Debug)]
pub struct Loaded {
    /// What it was loaded by.
    pub spec: Spec,
    /// Its program, to start it afresh.
    pub program: Arc<[u8]>,
    instance: Instance,
}

impl Loaded {
    /// Compiles and starts a program.
    pub fn new(spec: Spec, program: Arc<[u8]>) -> Result<Self, Fault> {
        let instance = Instance::new(&program, &spec)?;
        Ok(Self { spec, program, instance })
    }

    /// Runs recorded views through it; the first fault, if there is one.
    pub fn rehearse(&mut self, views: &[Vec<u8>]) -> Result<(), Fault> {
        for view in views {
            let (said, _) = self.instance.call(Hook::Request, view, self.spec.fuel);
            if let Some(bytes) = said? {
                if kit::advice(&bytes).any(|one| one.is_err()) {
                    return Err(Fault::Malformed);
                }
            }
        }
        Ok(())
    }

    /// Its instance, for measurements.
    pub fn instance(&mut self) -> &mut Instance {
        &mut self.instance
    }
}

/// What one plug-in has done.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls of all hooks.
    pub calls: u64,
    /// Those of `request` that gave advice.
    pub advised: u64,
    /// Pieces of advice that the guard left out or cut.
    pub narrowed: u64,
    /// Calls that ended with a fault.
    pub faults: u64,
    /// Calls left out, as it was paused or its second's budget was spent.
    pub skipped: u64,
    /// Starts afresh.
    pub restarts: u64,
    /// Lines it logged.
    pub lines: u64,
    /// Counted under its own names.
    pub labels: BTreeMap<String, u64>,
}

#[derive(Debug)]
struct Slot {
    loaded: Loaded,
    breaker: Breaker,
    /// Instructions that may still be spent, and when that was counted.
    fuel: (f64, Millis),
    counts: Counts,
}

/// What a request is, for the view of it.
#[derive(Clone, Debug)]
pub struct RequestInfo<'a> {
    /// Its class, a place in the settings.
    pub class: usize,
    /// The object's name.
    pub object: Option<&'a str>,
    /// The part.
    pub piece: u64,
    /// The group.
    pub group: u64,
    /// The size.
    pub size_kb: Option<f64>,
    /// Time left.
    pub time_left_ms: Millis,
    /// Its client marked it as a repeat.
    pub repeat: bool,
}

/// All plug-ins, in the order of the operator's file.
#[derive(Debug)]
pub struct Plugins {
    slots: Vec<Slot>,
    classes: Rc<[ClassSettings]>,
    limits: crate::api::Limits,
    views: VecDeque<Vec<u8>>,
    lines: Vec<String>,
    tick_at: Millis,
    buffer: Vec<u8>,
}

impl Plugins {
    /// None yet.
    pub fn new(settings: &Settings) -> Self {
        Self {
            slots: Vec::new(),
            classes: settings.classes.clone().into(),
            limits: settings.limits.clone(),
            views: VecDeque::new(),
            lines: Vec::new(),
            tick_at: 0.0,
            buffer: Vec::new(),
        }
    }

    /// Takes in what was loaded, in this order. Of one that was there already the counts go on; its breaker is
    /// closed anew, as an operator has acted. `kept` names those that stay as they are.
    pub fn replace(&mut self, now: Millis, order: &[String], mut loaded: Vec<Loaded>) {
        let mut old: Vec<Slot> = std::mem::take(&mut self.slots);
        for name in order.iter().take(MAX_PLUGINS) {
            let was =
                old.iter().position(|slot| slot.loaded.spec.name == *name).map(|at| old.swap_remove(at));
            let new = loaded.iter().position(|one| one.spec.name == *name).map(|at| loaded.swap_remove(at));
            match (new, was) {
                (Some(new), was) => {
                    let fuel = (new.spec.fuel_per_s as f64, now);
                    let counts = was.map_or_else(Counts::default, |slot| slot.counts);
                    self.slots.push(Slot { loaded: new, breaker: Breaker::default(), fuel, counts });
                }
                (None, Some(was)) => self.slots.push(was),
                (None, None) => {}
            }
        }
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// The latest views, for trials of new versions.
    pub fn recorded_views(&self) -> Vec<Vec<u8>> {
        self.views.iter().cloned().collect()
    }

    /// Lines for the operators since the last time.
    pub fn take_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// What each has done.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &Counts)> {
        self.slots.iter().map(|slot| (slot.loaded.spec.name.as_str(), &slot.counts))
    }

    /// When [`Plugins::tick`] is due.
    pub fn next_tick_at(&self) -> Option<Millis> {
        (!self.is_empty()).then_some(self.tick_at)
    }

    /// Asks each plug-in about a request. Strengths add up, ranks and limits take the lowest, a refusal of one
    /// is one of all.
    pub fn request(
        &mut self,
        now: Millis,
        about: &RequestInfo<'_>,
        watch: &MachineStats,
    ) -> Option<Box<Advice>> {
        let classes = self.classes.clone();
        let class = classes.get(about.class)?;
        let fragile = class.repeat != Repeat::Retryable;
        let (machines, names) = watch.machines(now);
        let mut flags = if fragile { kit::FRAGILE } else { 0 };
        flags |= if about.repeat { kit::REPEAT } else { 0 };
        flags |= if about.object.is_some() { kit::OBJECT } else { 0 };
        let head = kit::ViewHead {
            flags,
            class: about.class as u16,
            object: about.object.map_or(0, kit::name_number),
            piece: about.piece,
            group: about.group as u32,
            size_kb: about.size_kb.unwrap_or(0.0) as f32,
            time_left_ms: about.time_left_ms.max(0.0) as u32,
            now_ms: now as u64,
            machine: kit::NONE,
            ..kit::ViewHead::default()
        };
        let mut view = std::mem::take(&mut self.buffer);
        view.clear();
        head.write(&machines, &mut view);
        let mut merged: Option<FilteredAdvice> = None;
        for at in 0..self.slots.len() {
            let Some(Some(bytes)) = self.call(now, at, Hook::Request, &view) else { continue };
            let slot = &mut self.slots[at];
            let may_refuse = slot.loaded.spec.may_refuse.contains(&class.name);
            let allowed = Permissions {
                names: &names,
                machines: &machines,
                class,
                limits: &self.limits,
                may_refuse: may_refuse && !about.repeat,
            };
            match advice_filter::filter(&bytes, &allowed) {
                Ok(narrowed) => {
                    slot.breaker.record_success();
                    slot.counts.advised += 1;
                    slot.counts.narrowed += narrowed.restricted;
                    for label in &narrowed.labels {
                        if slot.counts.labels.len() < MAX_LABELS || slot.counts.labels.contains_key(label) {
                            *slot.counts.labels.entry(label.clone()).or_default() += 1;
                        }
                    }
                    merged = Some(match merged {
                        Some(before) => before.merge(narrowed),
                        None => narrowed,
                    });
                }
                Err(kit::Malformed) => self.fault(now, at, &Fault::Malformed),
            }
        }
        if self.views.len() >= MAX_RECORDED_VIEWS {
            // The oldest one's room is used again.
            self.buffer = self.views.pop_front().unwrap_or_default();
        }
        self.views.push_back(view);
        merged.map(|merged| Box::new(merged.advice)).filter(|advice| **advice != Advice::default())
    }

    /// Tells each how an attempt ended.
    pub fn outcome(
        &mut self,
        now: Millis,
        result: &AttemptResult,
        about: &RequestInfo<'_>,
        watch: &MachineStats,
    ) {
        if !self.slots.iter().any(|slot| slot.loaded.instance.has(Hook::Outcome)) {
            return;
        }
        let (machines, names) = watch.machines(now);
        let place = names.iter().position(|name| *name == result.cache);
        let head = kit::ViewHead {
            class: about.class as u16,
            object: about.object.map_or(0, kit::name_number),
            flags: if about.object.is_some() { kit::OBJECT } else { 0 },
            piece: about.piece,
            group: about.group as u32,
            attempt: result.attempt as u16,
            outcome: outcome_number(result.outcome),
            machine: place.map_or(kit::NONE, |at| at as u16),
            note: match result.cache_status {
                Some(CacheStatus::Hit | CacheStatus::Stale) => 1,
                Some(CacheStatus::Filled | CacheStatus::FilledFromOrigin | CacheStatus::Joined) => 2,
                _ => 0,
            },
            waited_ms: result.elapsed_ms as f32,
            now_ms: now as u64,
            ..kit::ViewHead::default()
        };
        self.tell(now, Hook::Outcome, &head, &machines);
    }

    /// Tells each that the list of machines has changed.
    pub fn machines(&mut self, now: Millis, watch: &MachineStats) {
        let head = kit::ViewHead { machine: kit::NONE, now_ms: now as u64, ..kit::ViewHead::default() };
        self.tell(now, Hook::Machines, &head, &watch.machines(now).0);
    }

    /// A second has passed.
    pub fn tick(&mut self, now: Millis) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK_INTERVAL_MS;
        let head = kit::ViewHead { machine: kit::NONE, now_ms: now as u64, ..kit::ViewHead::default() };
        self.tell(now, Hook::Tick, &head, &[]);
    }

    fn tell(&mut self, now: Millis, hook: Hook, head: &kit::ViewHead, machines: &[kit::Machine]) {
        let mut view = Vec::with_capacity(kit::HEAD + machines.len() * kit::MACHINE);
        head.write(machines, &mut view);
        for at in 0..self.slots.len() {
            self.call(now, at, hook, &view);
        }
    }

    /// Calls one hook of one plug-in within its budgets; `None`: it wasn't called, or it failed.
    fn call(&mut self, now: Millis, at: usize, hook: Hook, view: &[u8]) -> Option<Option<Vec<u8>>> {
        let slot = &mut self.slots[at];
        if !slot.loaded.instance.has(hook) {
            return None;
        }
        let spec = &slot.loaded.spec;
        match slot.breaker.state(now) {
            State::Closed => {}
            State::Paused | State::Disabled => {
                slot.counts.skipped += 1;
                return None;
            }
            State::Restart => {
                slot.counts.restarts += 1;
                match Instance::new(&slot.loaded.program, spec) {
                    Ok(instance) => {
                        slot.loaded.instance = instance;
                        slot.breaker.restarted();
                    }
                    Err(fault) => {
                        self.fault(now, at, &fault);
                        return None;
                    }
                }
            }
        }
        let slot = &mut self.slots[at];
        let spec = &slot.loaded.spec;
        let most = spec.fuel_per_s as f64;
        let saved = (slot.fuel.0 + most * (now - slot.fuel.1).max(0.0) / 1e3).min(most);
        slot.fuel = (saved, now);
        if saved < spec.fuel as f64 {
            slot.counts.skipped += 1;
            return None;
        }
        slot.counts.calls += 1;
        let (said, used) = slot.loaded.instance.call(hook, view, spec.fuel);
        slot.fuel.0 -= used as f64;
        for line in slot.loaded.instance.take_lines() {
            slot.counts.lines += 1;
            self.lines.push(format!("plug-in {}: {line}", spec.name));
        }
        match said {
            Ok(said) => {
                // Advice may yet turn out not to be readable.
                if said.is_none() {
                    slot.breaker.record_success();
                }
                Some(said)
            }
            Err(fault) => {
                self.fault(now, at, &fault);
                None
            }
        }
    }

    /// A plug-in has failed: it may have to pause.
    fn fault(&mut self, now: Millis, at: usize, fault: &Fault) {
        let slot = &mut self.slots[at];
        slot.counts.faults += 1;
        let name = &slot.loaded.spec.name;
        match slot.breaker.record_failure(now) {
            None => self.lines.push(format!("plug-in {name}: {fault}")),
            Some(f64::INFINITY) => {
                self.lines.push(format!("plug-in {name} stays out until its file is read anew: {fault}"));
            }
            Some(pause) => {
                self.lines.push(format!("plug-in {name} is left out for {pause:.0} ms: {fault}"));
            }
        }
    }
}

fn outcome_number(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Ok => 0,
        Outcome::Miss => 1,
        Outcome::Full => 2,
        Outcome::Error => 3,
        Outcome::Timeout => 4,
        Outcome::ConnectFailed => 5,
        Outcome::Reset => 6,
        Outcome::Cancelled => 7,
        Outcome::Moot => 8,
    }
}

/// Names of machines in the order of a view.
pub type Names = Vec<CacheId>;
