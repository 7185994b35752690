//! What plug-ins are shown of machines: the caches of this location that serve, with their load and warmth.

use super::Names;
use crate::api::{CacheId, LoadReport, MachineKind, Millis, Phase, Settings, Zone};
use frostturn_plugin_kit::{name_number, Machine, MAX_MACHINES, NEAR};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
struct Seen {
    size: f64,
    started: Option<Millis>,
    load: Option<(f64, Millis)>,
    out: u32,
}

/// The machines that may be chosen. As many as serve here; one that leaves is forgotten.
#[derive(Clone, Debug, Default)]
pub struct MachineStats {
    zone: Option<Zone>,
    upper: Vec<MachineKind>,
    cold: (f64, Millis),
    seen: BTreeMap<CacheId, Seen>,
}

impl MachineStats {
    /// None yet.
    pub fn new(settings: &Settings) -> Self {
        let upper = [&settings.parent_kind, &settings.origin_kind].into_iter().flatten().cloned().collect();
        let cold = (settings.guarantees.cold_start_share, settings.guarantees.cold_start_ms);
        Self { zone: settings.zone.clone(), upper, cold, seen: BTreeMap::new() }
    }

    /// The board has spoken of a machine.
    pub fn update(
        &mut self,
        name: &CacheId,
        kind: &MachineKind,
        zone: &Zone,
        phase: Phase,
        size: f64,
        started: Option<Millis>,
    ) {
        let here = self.zone.as_ref().is_none_or(|own| own == zone) && !self.upper.contains(kind);
        if phase != Phase::Serving || !here {
            self.seen.remove(name);
            return;
        }
        let seen = self.seen.entry(name.clone()).or_insert(Seen { size, started, load: None, out: 0 });
        (seen.size, seen.started) = (size, started);
    }

    /// A machine is gone.
    pub fn remove(&mut self, name: &CacheId) {
        self.seen.remove(name);
    }

    /// An attempt goes there.
    pub fn attempt_started(&mut self, name: &CacheId) {
        if let Some(seen) = self.seen.get_mut(name) {
            seen.out += 1;
        }
    }

    /// One has ended, perhaps with a report.
    pub fn attempt_ended(&mut self, now: Millis, name: &CacheId, report: &LoadReport) {
        if let Some(seen) = self.seen.get_mut(name) {
            seen.out = seen.out.saturating_sub(1);
            seen.load = report.util.map(|util| (util, now)).or(seen.load);
        }
    }

    /// The machines and their names, in one order.
    pub fn machines(&self, now: Millis) -> (Vec<Machine>, Names) {
        let (from, span) = self.cold;
        let shown = self.seen.iter().take(MAX_MACHINES);
        let machine = |(name, seen): (&CacheId, &Seen)| {
            let age = seen.started.map_or(f64::INFINITY, |at| (now - at).max(0.0));
            let warm = if age < span { from + (1.0 - from) * age / span } else { 1.0 };
            let machine = Machine {
                name: name_number(name.as_str()),
                load: seen.load.map(|(util, _)| util as f32),
                age_ms: seen.load.map(|(_, at)| (now - at) as f32),
                warm: warm as f32,
                in_flight: seen.out,
                size: seen.size as f32,
                flags: NEAR,
            };
            (machine, name.clone())
        };
        shown.map(machine).unzip()
    }
}
