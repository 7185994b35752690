//! Machines: the board's word, and operators' beside it.

use super::*;

impl Reducer {
    pub(super) fn notice(&mut self, now: Millis, notice: DiscoveryEvent) {
        match notice.announcement {
            None => {}
            Some(Announcement::Purge { object, group, made_unix_ms }) => {
                self.counters.purges += 1;
                let named = object.as_deref().map(ObjectId::from);
                let age_ms = now - self.wall_clock.to_monotonic(now, made_unix_ms);
                self.events.push_back(Event::Purged { object: named, group, age_ms });
                self.settle(now);
                // What waits with an older bound is decided anew: it must not leave with what it says of its copy.
                let purged = |ask: &IncomingRequest| match &object {
                    Some(object) => ask.object.as_ref() == Some(object),
                    None => ask.group == group,
                };
                let concerned =
                    self.held.values().filter(|held| purged(&held.ask)).flat_map(|held| &held.out);
                let concerned: Vec<AttemptKey> = concerned.copied().collect();
                concerned.into_iter().for_each(|key| self.pull(now, key));
            }
            Some(Announcement::Pool { snapshot: whole, machines }) => {
                self.counters.lists += 1;
                self.pool(now, whole, machines, false);
            }
        }
    }

    /// When a machine has started: the same start, told again, is as old as it was.
    fn start(&self, now: Millis, name: &CacheId, named: UnixTime) -> Start {
        let known = self.members.get(name).and_then(|member| member.start);
        let same = known.filter(|start| start.named == Some(named));
        same.unwrap_or_else(|| Start { named: Some(named), at: self.wall_clock.to_monotonic(now, named) })
    }

    /// The board tells of machines. `restarted`: an operator took them back, so that they count as started now.
    pub(super) fn pool(&mut self, now: Millis, whole: bool, machines: Vec<ListedMachine>, restarted: bool) {
        if whole {
            for (name, member) in &mut self.members {
                if !machines.iter().any(|listed| listed.name == name.as_str()) {
                    (member.phase, member.told) = (Phase::Deleted, now);
                    let listing = Listing { phase: Phase::Deleted, address: None, cold_until: None };
                    self.watch.gone(name);
                    self.effects.push(Effect::SetListing { machine: name.clone(), listing: Some(listing) });
                    self.effects.push(Effect::Retire { machine: name.clone() });
                }
            }
        }
        let effects = &mut self.effects;
        self.members.retain(|name, member| {
            let stays = member.phase != Phase::Deleted || now - member.told < FORGET_MS;
            if !stays {
                effects.push(Effect::SetListing { machine: name.clone(), listing: None });
            }
            stays
        });
        let mut entries = Vec::with_capacity(machines.len());
        if whole {
            self.listed_as.clear();
        }
        for mut listed in machines {
            let name = CacheId::from(listed.name.as_str());
            match listed.phase {
                Phase::Deleted => drop(self.listed_as.remove(&name)),
                _ => drop(self.listed_as.insert(name.clone(), listed.clone())),
            }
            // An operator's word holds whatever the board says.
            if listed.phase == Phase::Serving && self.excluded.contains(name.as_str()) {
                listed.phase = Phase::Draining;
            }
            let start = match listed.since_unix_ms {
                _ if restarted => Some(Start { named: None, at: now }),
                named => named.map(|named| self.start(now, &name, named)),
            };
            let since = start.map(|start| start.at);
            let was = self.members.insert(name.clone(), Member { phase: listed.phase, start, told: now });
            let address = (listed.phase != Phase::Deleted).then_some(listed.address);
            let cold_until = since.map(|at| at + self.settings.guarantees.cold_start_ms);
            let listing = Listing { phase: listed.phase, address, cold_until };
            self.effects.push(Effect::SetListing { machine: name.clone(), listing: Some(listing) });
            if listed.phase != Phase::Serving {
                self.effects.push(Effect::Retire { machine: name.clone() });
            } else if let (Some(Start { named, at }), Some(was)) = (start, was) {
                // A machine that vanished and came back leaves old connections open and silent.
                if was.start.is_none_or(|before| before.named != named && before.at <= at) {
                    self.effects.push(Effect::MachineRestarted { machine: name.clone(), at });
                }
            }
            self.watch.list(&name, &listed.kind, &listed.zone, listed.phase, listed.weight, since);
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
        let mode = match (whole, self.listed) {
            (true, false) => ListMode::Cached,
            (true, true) => ListMode::Full,
            (false, _) => ListMode::Changes,
        };
        self.listed = true;
        if let Some(plugins) = &mut self.plugins {
            plugins.machines(now, &self.watch);
        }
        self.events.push_back(Event::List { mode, entries });
        self.settle(now);
        // What waits in a queue for a machine that leaves, or would be filled from one, goes nowhere.
        let serves = |name: &CacheId| self.members.get(name).is_some_and(|m| m.phase == Phase::Serving);
        let unsent = self.out.iter().filter(|(_, out)| out.progress == Progress::NotConnected);
        let pulled = unsent.filter(|(_, out)| !serves(&out.cache) || !serves(&out.source));
        let pulled: Vec<AttemptKey> = pulled.map(|(key, _)| *key).collect();
        pulled.into_iter().for_each(|key| self.pull(now, key));
    }

    /// Machines that operators have taken out.
    pub fn excluded(&self) -> &Exclusions {
        &self.excluded
    }

    /// Whether the board lists a machine now, serving or draining.
    pub fn is_listed(&self, name: &str) -> bool {
        self.listed_as.contains_key(&CacheId::from(name))
    }

    /// Does what an operator asks for.
    pub(super) fn operator(&mut self, now: Millis, caller: u64, call: ops::Call) {
        let yes = |yes| if yes { ops::Verdict::Yes } else { ops::Verdict::No };
        let verdict = match call {
            ops::Call::Ready => yes(self.ready()),
            ops::Call::Evacuate => {
                self.service.evacuate(now);
                if self.service.evacuating_since() == Some(now) {
                    self.at(now + DRAINED_BY_MS, Due::AuditDrain);
                }
                ops::Verdict::Yes
            }
            ops::Call::Rejoin => yes(self.service.rejoin()),
            ops::Call::Telemetry => {
                let telemetry = Box::new(self.telemetry());
                return self.effects.push(Effect::SendTelemetry { caller, telemetry });
            }
            ops::Call::Fleet => ops::Verdict::No, // Answered before it comes here.
            ops::Call::Exclude(name) if !self.is_listed(&name) => ops::Verdict::Unknown,
            ops::Call::Include(name) if !self.is_listed(&name) && !self.excluded.contains(&name) => {
                ops::Verdict::Unknown
            }
            // It holds once it is saved: also where nothing changes here, as another process may have changed it.
            ops::Call::Exclude(name) => {
                return self.effects.push(Effect::SaveExclusion { caller, name, excluded: true })
            }
            ops::Call::Include(name) => {
                return self.effects.push(Effect::SaveExclusion { caller, name, excluded: false })
            }
        };
        self.effects.push(Effect::AnswerOperator { caller, verdict });
    }

    /// A change is saved, or isn't and doesn't hold.
    pub(super) fn changed(&mut self, now: Millis, caller: u64, result: Result<Exclusions, ops::Verdict>) {
        let verdict = match result {
            Ok(excluded) => {
                self.handed_over(now, excluded);
                ops::Verdict::Yes
            }
            Err(verdict) => verdict,
        };
        self.effects.push(Effect::AnswerOperator { caller, verdict });
    }

    /// Takes over what is out: those machines are read as draining whatever the board says of them, the others by its word.
    pub(super) fn handed_over(&mut self, now: Millis, excluded: Exclusions) {
        let before = std::mem::replace(&mut self.excluded, excluded);
        let mut differing: Vec<CacheId> = before.differing(&self.excluded).map(CacheId::from).collect();
        differing.retain(|name| self.listed_as.contains_key(name)); // Of the others the board hasn't spoken yet.
        let (mut taken_out, mut taken_back) = (Vec::new(), Vec::new());
        for name in &differing {
            let out = self.excluded.contains(name.as_str());
            let word = if out { "taken out" } else { "taken back" };
            self.effects.push(Effect::Log(format!("{name} is {word} by an operator")));
            let Some(listed) = self.listed_as.get(name).cloned() else { continue };
            let entries = if out { &mut taken_out } else { &mut taken_back };
            entries.push(listed);
        }
        let served = self.serves();
        if !taken_out.is_empty() {
            self.pool(now, false, taken_out, false);
        }
        if !taken_back.is_empty() {
            self.pool(now, false, taken_back, true); // They were restarted, as like as not: they are cold.
        }
        if served && !self.serves() {
            self.effects.push(Effect::Log("the last machine that served is out: nobody is left".into()));
        }
    }

    /// What operators are told of its work.
    fn telemetry(&self) -> ops::Telemetry {
        ops::Telemetry {
            results: self.results.clone(),
            forwards: self.counters.attempts,
            outstanding: self.held.len(),
            discovered: self.members.values().filter(|member| member.phase == Phase::Serving).count(),
            ejected: self.module.ejected_count(),
            reloads: [self.counters.reloads, self.counters.reloads_refused],
            fleet: None, // The reducer knows of no other routers.
        }
    }

    /// Whether any machine serves.
    pub(super) fn serves(&self) -> bool {
        self.members.values().any(|member| member.phase == Phase::Serving)
    }

    /// Spends this part of the cold budget from now on.
    pub(super) fn cold_part(&mut self, part: f64) {
        let mut rules = self.settings.guarantees.clone();
        rules.overload_multiple *= part;
        rules.parent_overload_multiple *= part;
        self.module.set_guarantees(rules);
    }
}
