//! The machines that plug-ins see: the serving caches of this location, with their load and warm-up state.

use super::Names;
use crate::api::{CacheId, LoadReport, MachineKind, Millis, Phase, Settings, Zone};
use frostturn_plugin_kit::{name_number, Machine, MAX_MACHINES, NEAR};
use std::collections::BTreeMap;

/// The statistics of one machine.
#[derive(Clone, Debug)]
struct Stats {
    size: f64,
    started: Option<Millis>,
    /// The last reported utilization, and when it was reported.
    load: Option<(f64, Millis)>,
    in_flight: u32,
}

/// The machines that may be chosen; a machine that stops serving is removed.
#[derive(Clone, Debug, Default)]
pub struct MachineStats {
    zone: Option<Zone>,
    /// The kinds of the parents and the origin, which plug-ins don't see.
    upper_kinds: Vec<MachineKind>,
    /// The share of its capacity that a machine has when it starts, and the duration of the cold start.
    cold_start: (f64, Millis),
    machines: BTreeMap<CacheId, Stats>,
}

impl MachineStats {
    /// Creates the statistics, without machines.
    pub fn new(settings: &Settings) -> Self {
        let upper_kinds =
            [&settings.parent_kind, &settings.origin_kind].into_iter().flatten().cloned().collect();
        let cold_start = (settings.guarantees.cold_start_share, settings.guarantees.cold_start_ms);
        Self { zone: settings.zone.clone(), upper_kinds, cold_start, machines: BTreeMap::new() }
    }

    /// Applies a machine's entry in the discovery's list.
    pub fn update(
        &mut self,
        name: &CacheId,
        kind: &MachineKind,
        zone: &Zone,
        phase: Phase,
        size: f64,
        started: Option<Millis>,
    ) {
        let visible = self.zone.as_ref().is_none_or(|own| own == zone) && !self.upper_kinds.contains(kind);
        if phase != Phase::Serving || !visible {
            self.machines.remove(name);
            return;
        }
        let stats =
            self.machines.entry(name.clone()).or_insert(Stats { size, started, load: None, in_flight: 0 });
        (stats.size, stats.started) = (size, started);
    }

    /// Removes a machine.
    pub fn remove(&mut self, name: &CacheId) {
        self.machines.remove(name);
    }

    /// Counts an attempt that is sent to a machine.
    pub fn attempt_started(&mut self, name: &CacheId) {
        if let Some(stats) = self.machines.get_mut(name) {
            stats.in_flight += 1;
        }
    }

    /// Counts an attempt that ended, and records the load report if it has one.
    pub fn attempt_ended(&mut self, now: Millis, name: &CacheId, report: &LoadReport) {
        if let Some(stats) = self.machines.get_mut(name) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
            stats.load = report.util.map(|util| (util, now)).or(stats.load);
        }
    }

    /// Returns the machines and their names, in the same order.
    pub fn machines(&self, now: Millis) -> (Vec<Machine>, Names) {
        let (initial, duration_ms) = self.cold_start;
        let shown = self.machines.iter().take(MAX_MACHINES);
        let machine = |(name, stats): (&CacheId, &Stats)| {
            let age = stats.started.map_or(f64::INFINITY, |at| (now - at).max(0.0));
            let warm = if age < duration_ms { initial + (1.0 - initial) * age / duration_ms } else { 1.0 };
            let machine = Machine {
                name: name_number(name.as_str()),
                load: stats.load.map(|(util, _)| util as f32),
                age_ms: stats.load.map(|(_, at)| (now - at) as f32),
                warm: warm as f32,
                in_flight: stats.in_flight,
                size: stats.size as f32,
                flags: NEAR,
            };
            (machine, name.clone())
        };
        shown.map(machine).unzip()
    }
}
