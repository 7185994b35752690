//! Plug-ins: WebAssembly programs of the operators that give advice on routing.
//!
//! Owns the instances with their fuel budgets and breakers, the data that they see ([`machine_stats`]) and
//! the filter of their advice ([`advice_filter`]). A plug-in never sends, refuses or delays a request by
//! itself: advice is an input of the decision module, which decides. There is no access to files or clocks:
//! programs are passed in as bytes and times as arguments, and metering counts instructions, so that equal
//! inputs give equal advice.

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

/// The maximum number of plug-ins.
pub const MAX_PLUGINS: usize = 8;
/// The number of views that are kept for rehearsals of new versions.
pub const MAX_RECORDED_VIEWS: usize = 256;
/// The maximum number of labels that a plug-in may count.
const MAX_LABELS: usize = 32;
/// The interval between ticks.
pub const TICK_INTERVAL_MS: Millis = 1000.0;

/// The settings of one plug-in in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The name in log lines and counters.
    pub name: String,
    /// The WebAssembly program, as binary or text.
    pub file: PathBuf,
    /// The names and values that are passed to `init`, as lines `name value`.
    pub settings: Vec<(String, String)>,
    /// The maximum size of its memory in bytes.
    pub memory: usize,
    /// The fuel for one call, about one unit per instruction.
    pub fuel: u64,
    /// The fuel per second, accumulated for at most one second.
    pub fuel_per_s: u64,
    /// The classes whose requests it may refuse.
    pub may_refuse: Vec<String>,
}

impl Spec {
    /// Returns settings with the default budgets.
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

    /// Returns the text that is passed to `init`.
    pub fn settings_text(&self) -> String {
        self.settings.iter().map(|(name, value)| format!("{name} {value}\n")).collect()
    }
}

/// A plug-in whose program is compiled, started and initialized.
#[derive(Debug)]
pub struct Loaded {
    /// Its settings.
    pub spec: Spec,
    /// Its program, for restarts.
    pub program: Arc<[u8]>,
    instance: Instance,
}

impl Loaded {
    /// Compiles, starts and initializes a program.
    pub fn new(spec: Spec, program: Arc<[u8]>) -> Result<Self, Fault> {
        let instance = Instance::new(&program, &spec)?;
        Ok(Self { spec, program, instance })
    }

    /// Runs the request hook on recorded views. Fails on the first fault.
    pub fn rehearse(&mut self, views: &[Vec<u8>]) -> Result<(), Fault> {
        for view in views {
            let (advice, _) = self.instance.call(Hook::Request, view, self.spec.fuel);
            if let Some(bytes) = advice? {
                if kit::advice(&bytes).any(|record| record.is_err()) {
                    return Err(Fault::Malformed);
                }
            }
        }
        Ok(())
    }

    /// Returns the instance, for measurements.
    pub fn instance(&mut self) -> &mut Instance {
        &mut self.instance
    }
}

/// Counts of one plug-in since it was first loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Calls of all hooks.
    pub calls: u64,
    /// Calls of `request` that gave advice.
    pub advised: u64,
    /// Records of advice that the filter dropped or limited.
    pub narrowed: u64,
    /// Calls that ended with a fault.
    pub faults: u64,
    /// Calls skipped because the plug-in was paused or its fuel per second was used up.
    pub skipped: u64,
    /// Restarts after a pause.
    pub restarts: u64,
    /// Logged lines.
    pub lines: u64,
    /// Counts by the labels of its advice.
    pub labels: BTreeMap<String, u64>,
}

/// A loaded plug-in with its breaker and counts.
#[derive(Debug)]
struct Slot {
    loaded: Loaded,
    breaker: Breaker,
    /// The fuel that may still be used, and when it was last computed.
    fuel: (f64, Millis),
    counts: Counts,
}

/// The properties of a request that its view shows.
#[derive(Clone, Debug)]
pub struct RequestInfo<'a> {
    /// The index of its class in the settings.
    pub class: usize,
    /// The name of the object.
    pub object: Option<&'a str>,
    /// The piece of the object.
    pub piece: u64,
    /// The purge group.
    pub group: u64,
    /// The size of the object.
    pub size_kb: Option<f64>,
    /// The time until the answer deadline.
    pub time_left_ms: Millis,
    /// Whether the client marked it as a repeat.
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
    /// Creates an empty set of plug-ins.
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

    /// Replaces the plug-ins by those named in `order`: by the newly loaded version, or else by the present
    /// one. A new version keeps the counts of the old one and starts with a closed breaker, as an operator
    /// has acted.
    pub fn replace(&mut self, now: Millis, order: &[String], mut loaded: Vec<Loaded>) {
        let mut old: Vec<Slot> = std::mem::take(&mut self.slots);
        for name in order.iter().take(MAX_PLUGINS) {
            let previous =
                old.iter().position(|slot| slot.loaded.spec.name == *name).map(|at| old.swap_remove(at));
            let new = loaded.iter().position(|one| one.spec.name == *name).map(|at| loaded.swap_remove(at));
            match (new, previous) {
                (Some(new), previous) => {
                    let fuel = (new.spec.fuel_per_s as f64, now);
                    let counts = previous.map_or_else(Counts::default, |slot| slot.counts);
                    self.slots.push(Slot { loaded: new, breaker: Breaker::default(), fuel, counts });
                }
                (None, Some(previous)) => self.slots.push(previous),
                (None, None) => {}
            }
        }
    }

    /// Returns whether there are no plug-ins.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns the latest views, for rehearsals of new versions.
    pub fn recorded_views(&self) -> Vec<Vec<u8>> {
        self.views.iter().cloned().collect()
    }

    /// Takes the log lines since the last call.
    pub fn take_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.lines)
    }

    /// Returns the name and counts of each plug-in.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &Counts)> {
        self.slots.iter().map(|slot| (slot.loaded.spec.name.as_str(), &slot.counts))
    }

    /// Returns when [`Plugins::tick`] must run next.
    pub fn next_tick_at(&self) -> Option<Millis> {
        (!self.is_empty()).then_some(self.tick_at)
    }

    /// Calls the request hook of each plug-in and merges the advice: strengths are added, the lowest ranks
    /// and limits apply, and a single refusal is enough.
    pub fn request(
        &mut self,
        now: Millis,
        info: &RequestInfo<'_>,
        stats: &MachineStats,
    ) -> Option<Box<Advice>> {
        let classes = self.classes.clone();
        let class = classes.get(info.class)?;
        let fragile = class.repeat != Repeat::Retryable;
        let (machines, names) = stats.machines(now);
        let mut flags = if fragile { kit::FRAGILE } else { 0 };
        flags |= if info.repeat { kit::REPEAT } else { 0 };
        flags |= if info.object.is_some() { kit::OBJECT } else { 0 };
        let head = kit::ViewHead {
            flags,
            class: info.class as u16,
            object: info.object.map_or(0, kit::name_number),
            piece: info.piece,
            group: info.group as u32,
            size_kb: info.size_kb.unwrap_or(0.0) as f32,
            time_left_ms: info.time_left_ms.max(0.0) as u32,
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
                may_refuse: may_refuse && !info.repeat,
            };
            match advice_filter::filter(&bytes, &allowed) {
                Ok(filtered) => {
                    slot.breaker.record_success();
                    slot.counts.advised += 1;
                    slot.counts.narrowed += filtered.restricted;
                    for label in &filtered.labels {
                        if slot.counts.labels.len() < MAX_LABELS || slot.counts.labels.contains_key(label) {
                            *slot.counts.labels.entry(label.clone()).or_default() += 1;
                        }
                    }
                    merged = Some(match merged {
                        Some(before) => before.merge(filtered),
                        None => filtered,
                    });
                }
                Err(kit::Malformed) => self.fault(now, at, &Fault::Malformed),
            }
        }
        if self.views.len() >= MAX_RECORDED_VIEWS {
            // Reuse the buffer of the oldest view.
            self.buffer = self.views.pop_front().unwrap_or_default();
        }
        self.views.push_back(view);
        merged.map(|merged| Box::new(merged.advice)).filter(|advice| **advice != Advice::default())
    }

    /// Calls each outcome hook when an attempt has ended.
    pub fn outcome(
        &mut self,
        now: Millis,
        result: &AttemptResult,
        info: &RequestInfo<'_>,
        stats: &MachineStats,
    ) {
        if !self.slots.iter().any(|slot| slot.loaded.instance.has(Hook::Outcome)) {
            return;
        }
        let (machines, names) = stats.machines(now);
        let position = names.iter().position(|name| *name == result.cache);
        let head = kit::ViewHead {
            class: info.class as u16,
            object: info.object.map_or(0, kit::name_number),
            flags: if info.object.is_some() { kit::OBJECT } else { 0 },
            piece: info.piece,
            group: info.group as u32,
            attempt: result.attempt as u16,
            outcome: outcome_number(result.outcome),
            machine: position.map_or(kit::NONE, |at| at as u16),
            note: match result.cache_status {
                Some(CacheStatus::Hit | CacheStatus::Stale) => 1,
                Some(CacheStatus::Filled | CacheStatus::FilledFromOrigin | CacheStatus::Joined) => 2,
                _ => 0,
            },
            waited_ms: result.elapsed_ms as f32,
            now_ms: now as u64,
            ..kit::ViewHead::default()
        };
        self.notify(now, Hook::Outcome, &head, &machines);
    }

    /// Calls each machines hook when the list of machines has changed.
    pub fn machines(&mut self, now: Millis, stats: &MachineStats) {
        let head = kit::ViewHead { machine: kit::NONE, now_ms: now as u64, ..kit::ViewHead::default() };
        self.notify(now, Hook::Machines, &head, &stats.machines(now).0);
    }

    /// Calls each tick hook if [`TICK_INTERVAL_MS`] have passed.
    pub fn tick(&mut self, now: Millis) {
        if now < self.tick_at {
            return;
        }
        self.tick_at = now + TICK_INTERVAL_MS;
        let head = kit::ViewHead { machine: kit::NONE, now_ms: now as u64, ..kit::ViewHead::default() };
        self.notify(now, Hook::Tick, &head, &[]);
    }

    /// Calls a hook without a result in each plug-in.
    fn notify(&mut self, now: Millis, hook: Hook, head: &kit::ViewHead, machines: &[kit::Machine]) {
        let mut view = Vec::with_capacity(kit::HEAD + machines.len() * kit::MACHINE);
        head.write(machines, &mut view);
        for at in 0..self.slots.len() {
            self.call(now, at, hook, &view);
        }
    }

    /// Calls a hook of one plug-in within its budgets; `None` if it was not called, or if the call failed.
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
        let max_fuel = spec.fuel_per_s as f64;
        let available = (slot.fuel.0 + max_fuel * (now - slot.fuel.1).max(0.0) / 1e3).min(max_fuel);
        slot.fuel = (available, now);
        if available < spec.fuel as f64 {
            slot.counts.skipped += 1;
            return None;
        }
        slot.counts.calls += 1;
        let (result, fuel_used) = slot.loaded.instance.call(hook, view, spec.fuel);
        slot.fuel.0 -= fuel_used as f64;
        for line in slot.loaded.instance.take_lines() {
            slot.counts.lines += 1;
            self.lines.push(format!("plug-in {}: {line}", spec.name));
        }
        match result {
            Ok(advice) => {
                // Advice counts as a success only once it is decoded.
                if advice.is_none() {
                    slot.breaker.record_success();
                }
                Some(advice)
            }
            Err(fault) => {
                self.fault(now, at, &fault);
                None
            }
        }
    }

    /// Counts and logs a fault of a plug-in, and pauses or disables the plug-in after too many.
    fn fault(&mut self, now: Millis, at: usize, fault: &Fault) {
        let slot = &mut self.slots[at];
        slot.counts.faults += 1;
        let name = &slot.loaded.spec.name;
        match slot.breaker.record_failure(now) {
            None => self.lines.push(format!("plug-in {name}: {fault}")),
            Some(f64::INFINITY) => {
                self.lines.push(format!("plug-in {name} is disabled until it is reloaded: {fault}"));
            }
            Some(pause) => {
                self.lines.push(format!("plug-in {name} is left out for {pause:.0} ms: {fault}"));
            }
        }
    }
}

/// Returns the number of an outcome in the view.
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

/// The names of machines in the order of a view.
pub type Names = Vec<CacheId>;
