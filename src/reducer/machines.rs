//! Machines: what discovery reports of them, and what operators say beside it.

use super::*;

impl Reducer {
    /// Applies an event of the discovery service.
    pub(super) fn discovery_event(&mut self, now: Millis, event: DiscoveryEvent) {
        match event.announcement {
            None => {}
            Some(Announcement::Purge { object, group, made_unix_ms }) => {
                self.counters.purges += 1;
                let object_id = object.as_deref().map(ObjectId::from);
                let age_ms = now - self.wall_clock.to_monotonic(now, made_unix_ms);
                self.events.push_back(Event::Purged { object: object_id, group, age_ms });
                self.run_policy(now);
                // Unsent attempts that carry an older age limit are withheld and decided anew.
                let purged = |request: &IncomingRequest| match &object {
                    Some(object) => request.object.as_ref() == Some(object),
                    None => request.group == group,
                };
                let concerned = self
                    .pending
                    .values()
                    .filter(|pending| purged(&pending.request))
                    .flat_map(|pending| &pending.in_flight);
                let concerned: Vec<AttemptKey> = concerned.copied().collect();
                concerned.into_iter().for_each(|key| self.withhold_unwritten(now, key));
            }
            Some(Announcement::Pool { snapshot, machines }) => {
                self.counters.lists += 1;
                self.update_machines(now, snapshot, machines, false);
            }
        }
    }

    /// Returns when a machine started. A start that is reported again keeps its instant.
    fn machine_start(&self, now: Millis, name: &CacheId, reported: UnixTime) -> MachineStart {
        let known = self.machines.get(name).and_then(|machine| machine.start);
        let same = known.filter(|start| start.reported == Some(reported));
        same.unwrap_or_else(|| MachineStart {
            reported: Some(reported),
            at: self.wall_clock.to_monotonic(now, reported),
        })
    }

    /// Applies entries of the list of machines. `snapshot`: the list is complete, and machines that it lacks are
    /// deleted. `restarted`: an operator has included the machines again, so that they count as started now.
    pub(super) fn update_machines(
        &mut self,
        now: Millis,
        snapshot: bool,
        machines: Vec<ListedMachine>,
        restarted: bool,
    ) {
        if snapshot {
            for (name, machine) in &mut self.machines {
                if !machines.iter().any(|listed| listed.name == name.as_str()) {
                    (machine.phase, machine.updated_at) = (Phase::Deleted, now);
                    let listing = Listing { phase: Phase::Deleted, address: None, cold_until: None };
                    self.machine_stats.remove(name);
                    self.effects.push(Effect::SetListing { machine: name.clone(), listing: Some(listing) });
                    self.effects.push(Effect::Retire { machine: name.clone() });
                }
            }
        }
        let effects = &mut self.effects;
        self.machines.retain(|name, machine| {
            let stays = machine.phase != Phase::Deleted || now - machine.updated_at < DELETED_RETENTION_MS;
            if !stays {
                effects.push(Effect::SetListing { machine: name.clone(), listing: None });
            }
            stays
        });
        let mut entries = Vec::with_capacity(machines.len());
        if snapshot {
            self.listings.clear();
        }
        for mut listed in machines {
            let name = CacheId::from(listed.name.as_str());
            match listed.phase {
                Phase::Deleted => drop(self.listings.remove(&name)),
                _ => drop(self.listings.insert(name.clone(), listed.clone())),
            }
            // An exclusion by an operator overrides what discovery reports.
            if listed.phase == Phase::Serving && self.exclusions.contains(name.as_str()) {
                listed.phase = Phase::Draining;
            }
            let start = match listed.since_unix_ms {
                _ if restarted => Some(MachineStart { reported: None, at: now }),
                reported => reported.map(|reported| self.machine_start(now, &name, reported)),
            };
            let since = start.map(|start| start.at);
            let previous =
                self.machines.insert(name.clone(), Machine { phase: listed.phase, start, updated_at: now });
            let address = (listed.phase != Phase::Deleted).then_some(listed.address);
            let cold_until = since.map(|at| at + self.settings.guarantees.cold_start_ms);
            let listing = Listing { phase: listed.phase, address, cold_until };
            self.effects.push(Effect::SetListing { machine: name.clone(), listing: Some(listing) });
            if listed.phase != Phase::Serving {
                self.effects.push(Effect::Retire { machine: name.clone() });
            } else if let (Some(MachineStart { reported, at }), Some(previous)) = (start, previous) {
                // Connections from before a restart stay open without an answer if the machine vanished
                // without closing them.
                if previous.start.is_none_or(|before| before.reported != reported && before.at <= at) {
                    self.effects.push(Effect::MachineRestarted { machine: name.clone(), at });
                }
            }
            self.machine_stats.update(&name, &listed.kind, &listed.zone, listed.phase, listed.weight, since);
            entries.push(ListEntry {
                cache: name,
                kind: listed.kind,
                cell: listed.cell,
                zone: listed.zone,
                weight: listed.weight,
                phase: listed.phase,
                online_since: since,
            });
        }
        let mode = match (snapshot, self.list_received) {
            (true, false) => ListMode::Cached,
            (true, true) => ListMode::Full,
            (false, _) => ListMode::Changes,
        };
        self.list_received = true;
        if let Some(plugins) = &mut self.plugins {
            plugins.machines(now, &self.machine_stats);
        }
        self.events.push_back(Event::List { mode, entries });
        self.run_policy(now);
        // Queued attempts are withheld if their machine, or the source of their fill, is leaving.
        let serves = |name: &CacheId| self.machines.get(name).is_some_and(|m| m.phase == Phase::Serving);
        let unsent = self.attempts.iter().filter(|(_, attempt)| attempt.progress == Progress::NotConnected);
        let withheld = unsent.filter(|(_, attempt)| !serves(&attempt.cache) || !serves(&attempt.source));
        let withheld: Vec<AttemptKey> = withheld.map(|(key, _)| *key).collect();
        withheld.into_iter().for_each(|key| self.withhold_unwritten(now, key));
    }

    /// Returns the machines that operators have excluded.
    pub fn excluded(&self) -> &Exclusions {
        &self.exclusions
    }

    /// Returns whether discovery lists a machine now, serving or draining.
    pub fn is_listed(&self, name: &str) -> bool {
        self.listings.contains_key(&CacheId::from(name))
    }

    /// Carries out an operator's call.
    pub(super) fn operator_call(&mut self, now: Millis, caller: u64, call: ops::Call) {
        let verdict_of = |accepted| if accepted { ops::Verdict::Accepted } else { ops::Verdict::Rejected };
        let verdict = match call {
            ops::Call::Ready => verdict_of(self.ready()),
            ops::Call::Evacuate => {
                self.service.evacuate(now);
                if self.service.evacuating_since() == Some(now) {
                    self.set_timer(now + DRAINED_BY_MS, Timer::AuditDrain);
                }
                ops::Verdict::Accepted
            }
            ops::Call::Rejoin => verdict_of(self.service.rejoin()),
            ops::Call::Telemetry => {
                let telemetry = Box::new(self.telemetry());
                return self.effects.push(Effect::SendTelemetry { caller, telemetry });
            }
            ops::Call::Fleet => ops::Verdict::Rejected, // Answered before it reaches the reducer.
            ops::Call::Exclude(name) if !self.is_listed(&name) => ops::Verdict::UnknownMachine,
            ops::Call::Include(name) if !self.is_listed(&name) && !self.exclusions.contains(&name) => {
                ops::Verdict::UnknownMachine
            }
            // A change takes effect once it is saved. It is saved even if nothing changes here, as another
            // process may have changed it.
            ops::Call::Exclude(name) => {
                return self.effects.push(Effect::SaveExclusion { caller, name, excluded: true })
            }
            ops::Call::Include(name) => {
                return self.effects.push(Effect::SaveExclusion { caller, name, excluded: false })
            }
        };
        self.effects.push(Effect::AnswerOperator { caller, verdict });
    }

    /// Applies the result of saving an exclusion. If it was not saved, nothing changes.
    pub(super) fn exclusion_saved(
        &mut self,
        now: Millis,
        caller: u64,
        result: Result<Exclusions, ops::Verdict>,
    ) {
        let verdict = match result {
            Ok(excluded) => {
                self.apply_exclusions(now, excluded);
                ops::Verdict::Accepted
            }
            Err(verdict) => verdict,
        };
        self.effects.push(Effect::AnswerOperator { caller, verdict });
    }

    /// Applies the set of exclusions: an excluded machine counts as draining, whatever discovery reports, and
    /// any other machine as discovery reports it.
    pub(super) fn apply_exclusions(&mut self, now: Millis, excluded: Exclusions) {
        let before = std::mem::replace(&mut self.exclusions, excluded);
        let mut differing: Vec<CacheId> = before.differing(&self.exclusions).map(CacheId::from).collect();
        differing.retain(|name| self.listings.contains_key(name)); // Discovery has not listed the others yet.
        let (mut newly_excluded, mut newly_included) = (Vec::new(), Vec::new());
        for name in &differing {
            let excluded = self.exclusions.contains(name.as_str());
            let change = if excluded { "excluded" } else { "included again" };
            self.effects.push(Effect::Log(format!("{name} is {change} by an operator")));
            let Some(listed) = self.listings.get(name).cloned() else { continue };
            let entries = if excluded { &mut newly_excluded } else { &mut newly_included };
            entries.push(listed);
        }
        let was_serving = self.any_serving();
        if !newly_excluded.is_empty() {
            self.update_machines(now, false, newly_excluded, false);
        }
        if !newly_included.is_empty() {
            self.update_machines(now, false, newly_included, true); // Probably restarted, so cold.
        }
        if was_serving && !self.any_serving() {
            self.effects.push(Effect::Log("no serving machine is left: the last one was excluded".into()));
        }
    }

    /// Returns the figures of the operators' telemetry call.
    fn telemetry(&self) -> ops::Telemetry {
        ops::Telemetry {
            results: self.results.clone(),
            forwards: self.counters.attempts,
            outstanding: self.pending.len(),
            discovered: self.machines.values().filter(|machine| machine.phase == Phase::Serving).count(),
            ejected: self.policy.ejected_count(),
            reloads: [self.counters.reloads, self.counters.reloads_refused],
            fleet: None, // The reducer does not know other routers.
        }
    }

    /// Returns whether any machine serves.
    pub(super) fn any_serving(&self) -> bool {
        self.machines.values().any(|machine| machine.phase == Phase::Serving)
    }

    /// Sets the share of the cold-start budget that this process may spend.
    pub(super) fn set_cold_start_share(&mut self, share: f64) {
        let mut guarantees = self.settings.guarantees.clone();
        guarantees.overload_multiple *= share;
        guarantees.parent_overload_multiple *= share;
        self.policy.set_guarantees(guarantees);
    }
}
