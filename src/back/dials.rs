//! Dialing of connections: runs the races of dials, detects unresponsive endpoints, and pauses endpoints that
//! failed.

use super::connection::{Connection, Outstanding, Purpose};
use super::{
    ConnectionKey, ConnectionPool, DialAction, DialError, EndpointPause, Frame, EXTRA_CONNECTIONS_SHARE,
    GREETING_TIMEOUT_MS, MAX_MOVES,
};
use crate::addresses::{AddressTable, DialKey, DialRace, DialStep, Endpoint, EndpointFailure};
use crate::api::{CacheId, Millis};
use crate::reducer::Progress;
use crate::resp::{self, Decoder};
use std::collections::{BTreeSet, HashMap, VecDeque};

impl ConnectionPool {
    /// Returns the dials to start and to close now. Must be called again after each dial that ends.
    pub fn poll_dials(&mut self, now: Millis) -> Vec<DialAction> {
        let mut actions = Vec::new();
        for (machine, endpoint) in self.addresses.start_trials(now) {
            if (self.connections.len() as f64) < EXTRA_CONNECTIONS_SHARE * self.max_connections as f64 {
                self.open_connection(now, &machine, vec![endpoint], true);
            } else {
                self.addresses.end_trial(now, &machine, &endpoint);
            }
        }
        if self.dialing.is_empty() {
            return actions;
        }
        let max_in_all = self.addresses.settings().map_or(usize::MAX, |settings| settings.max_dials);
        let mut open_in_all = 0;
        let mut open_by_machine: HashMap<CacheId, usize> = HashMap::new();
        for connection in self.dialing.iter().filter_map(|key| self.connections.get(key)) {
            let open = connection.race.as_ref().map_or(0, |race| race.open_dials().len());
            open_in_all += open;
            *open_by_machine.entry(connection.machine.clone()).or_default() += open;
        }
        for key in &self.dialing {
            let Some(connection) = self.connections.get_mut(key) else { continue };
            let Some(race) = &mut connection.race else { continue };
            let own = open_by_machine.entry(connection.machine.clone()).or_default();
            // The endpoints may have changed since: by a discovery event, a claim, new settings, or another
            // connection's failure.
            let endpoints = match &connection.trial {
                Some(tested) if self.addresses.may_dial(now, &connection.machine, tested) => {
                    vec![tested.clone()]
                }
                Some(_) => Vec::new(),
                None => self.addresses.candidates(now, &connection.machine),
            };
            for dial in race.restrict(&endpoints) {
                (open_in_all, *own) = (open_in_all - 1, *own - 1);
                actions.push(DialAction::Close(dial));
            }
            // Nothing waits for this connection any more: open dials may still connect, but no new ones are
            // started.
            if connection.retired || (connection.outstanding.is_empty() && connection.trial.is_none()) {
                continue;
            }
            let limit = self.addresses.max_dials(now, &connection.machine);
            let free = limit.saturating_sub(*own).min(max_in_all.saturating_sub(open_in_all));
            for step in race.poll(now, free, &mut self.next_dial) {
                match step {
                    DialStep::Start(dial, endpoint) => {
                        (open_in_all, *own) = (open_in_all + 1, *own + 1);
                        actions.push(DialAction::Start(*key, dial, endpoint));
                    }
                    DialStep::Drop(dial, endpoint) => {
                        (open_in_all, *own) = (open_in_all - 1, *own - 1);
                        actions.push(DialAction::Close(dial));
                        let pause = pause_endpoint(
                            &mut self.addresses,
                            now,
                            &connection.machine,
                            &endpoint,
                            EndpointFailure::Overtaken,
                        );
                        actions.extend(pause.map(DialAction::Paused));
                    }
                }
            }
        }
        actions
    }

    /// Handles a dial that ended without a connection. Must be followed by [`ConnectionPool::poll_dials`].
    /// Returns the pause of its endpoint, if that is new.
    pub fn dial_failed(
        &mut self,
        now: Millis,
        key: ConnectionKey,
        dial: DialKey,
        error: DialError,
    ) -> Option<EndpointPause> {
        let connection = self.connections.get_mut(&key)?;
        let race = connection.race.as_mut()?;
        let why = match error {
            DialError::NoRoom => {
                race.postpone_dial(now, dial, true);
                return None;
            }
            DialError::Unreachable if !race.has_others() => {
                race.postpone_dial(now, dial, false); // The route may return within the dial timeout.
                return None;
            }
            DialError::Unreachable => EndpointFailure::Unreachable,
            DialError::Failed(why) => why,
        };
        let endpoint = race.dial_failed(now, dial)?;
        pause_endpoint(&mut self.addresses, now, &connection.machine, &endpoint, why)
    }

    /// Handles a dial that connected; its connection continues over it. Returns the dials to close and the
    /// endpoints paused for it, or `None` if nothing waits for this dial and it must be closed itself.
    pub fn dial_connected(
        &mut self,
        now: Millis,
        key: ConnectionKey,
        dial: DialKey,
    ) -> Option<Vec<DialAction>> {
        let connection = self.connections.get_mut(&key)?;
        // The machine may have moved as the dial completed: another one is at the address now.
        let dialed = connection.race.as_ref()?.open_dials().iter().find(|open| open.key == dial);
        if dialed.is_some_and(|open| !self.addresses.contains(&connection.machine, &open.endpoint)) {
            return None;
        }
        // If the machine has another endpoint, this one gets as long for the greeting as it had for
        // connecting.
        let has_others = self.addresses.candidates(now, &connection.machine).len() > 1;
        let delay =
            self.addresses.settings().filter(|_| has_others).map(|settings| settings.attempt_delay_ms.1);
        let greeting_ms = delay.unwrap_or(GREETING_TIMEOUT_MS);
        let win = match connection.race.take()?.win(now, dial) {
            Ok(win) => win,
            Err(race) => {
                connection.race = Some(race);
                return None;
            }
        };
        self.dialing.remove(&key);
        (connection.connected_at, connection.idle_since, connection.last_received_at) = (Some(now), now, now);
        self.addresses.record_connected(&connection.machine, &win.endpoint, win.took_ms);
        connection.endpoint = Some(win.endpoint);
        if connection.trial.is_some()
            || self.addresses.settings().is_some_and(|settings| settings.verify_names)
        {
            self.next_probe += 1;
            let tag = format!("hello{}", self.next_probe);
            let bytes = resp::frame(&[b"HELO", tag.as_bytes()]);
            let progress = Progress::NotConnected;
            connection
                .outstanding
                .insert(tag.clone(), Outstanding { purpose: Purpose::Greeting, progress, exclusive: false });
            connection.output.push_front(Frame::command(bytes, Some(tag)));
            connection.greeting_deadline = Some(now + greeting_ms);
        }
        let mut actions = Vec::new();
        for (dial, endpoint, overtaken) in win.losers {
            actions.push(DialAction::Close(dial));
            if overtaken {
                let pause = pause_endpoint(
                    &mut self.addresses,
                    now,
                    &connection.machine,
                    &endpoint,
                    EndpointFailure::Overtaken,
                );
                actions.extend(pause.map(DialAction::Paused));
            }
        }
        Some(actions)
    }

    /// Handles connections that have just become unresponsive: pauses their endpoints and moves the frames
    /// that are not written yet to other connections. Returns the pauses, and the connections that received
    /// frames. Without address settings nothing is done here: the next request finds the connection
    /// unresponsive.
    pub fn check_unresponsive(&mut self, now: Millis) -> (Vec<EndpointPause>, BTreeSet<ConnectionKey>) {
        let (mut pauses, mut moved) = (Vec::new(), BTreeSet::new());
        if self.addresses.settings().is_none() {
            return (pauses, moved);
        }
        let newly_unresponsive = |connection: &Connection| {
            connection.connected_at.is_some()
                && !connection.silence_reported
                && connection.is_unresponsive(now)
        };
        let keys: Vec<ConnectionKey> = self
            .connections
            .iter()
            .filter(|(_, connection)| newly_unresponsive(connection))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            let Some(connection) = self.connections.get_mut(&key) else { continue };
            connection.silence_reported = true;
            let (machine, Some(endpoint)) = (connection.machine.clone(), connection.endpoint.clone()) else {
                continue;
            };
            pauses.extend(pause_endpoint(
                &mut self.addresses,
                now,
                &machine,
                &endpoint,
                EndpointFailure::Unresponsive,
            ));
            if self.addresses.accepts_requests(now, &machine, &endpoint) {
                continue; // The machine has no other working endpoint.
            }
            let movable = |open: &Outstanding| matches!(open.purpose, Purpose::Attempt(_) | Purpose::Probe);
            let unsent = connection
                .outstanding
                .iter()
                .filter(|(_, o)| movable(o) && o.progress == Progress::NotConnected);
            let unsent: Vec<(String, Purpose)> =
                unsent.map(|(id, open)| (id.clone(), open.purpose)).collect();
            for (id, purpose) in unsent {
                let Some(connection) = self.connections.get_mut(&key) else { break };
                let at = connection
                    .output
                    .iter()
                    .position(|f| f.opens_id.as_ref() == Some(&id) && f.moves < MAX_MOVES);
                let Some(mut frame) = at.and_then(|at| connection.output.remove(at)) else { continue };
                frame.moves += 1;
                let copy = frame.clone();
                let Some(open) = connection.outstanding.remove(&id) else { continue };
                match self.queue(now, purpose, &machine, frame, true) {
                    Ok((to, _)) => drop(moved.insert(to)),
                    Err(_) => {
                        let Some(connection) = self.connections.get_mut(&key) else { break };
                        connection.outstanding.insert(id, open);
                        connection.output.push_back(copy);
                    }
                }
            }
        }
        (pauses, moved)
    }

    /// Adds a connection that is to be dialed.
    pub(super) fn open_connection(
        &mut self,
        now: Millis,
        machine: &CacheId,
        endpoints: Vec<Endpoint>,
        trial: bool,
    ) -> ConnectionKey {
        self.last_key += 1;
        let trial = endpoints.first().filter(|_| trial).cloned();
        let delay = self.addresses.attempt_delay_ms(machine, endpoints.first());
        let connection = Connection {
            machine: machine.clone(),
            endpoint: None,
            race: Some(DialRace::new(now, endpoints, delay, now + self.dial_timeout_ms)),
            dialed_at: now,
            connected_at: None,
            greeting_deadline: None,
            trial,
            silence_reported: false,
            retired: false,
            silent_since: None,
            idle_since: now,
            output: VecDeque::new(),
            written: 0,
            outstanding: HashMap::new(),
            closed_ids: VecDeque::new(),
            decoder: Decoder::granting_large_parts(),
            paused: false,
            last_received_at: now,
            answer_started_at: now,
        };
        self.connections.insert(self.last_key, connection);
        self.dialing.insert(self.last_key);
        self.last_key
    }
}

/// Records an endpoint's failure. Returns the pause, if it is new.
pub(super) fn pause_endpoint(
    addresses: &mut AddressTable,
    now: Millis,
    machine: &CacheId,
    endpoint: &Endpoint,
    why: EndpointFailure,
) -> Option<EndpointPause> {
    let until = addresses.record_failure(now, machine, endpoint, why)?;
    Some(EndpointPause { machine: machine.clone(), endpoint: endpoint.clone(), why, pause_ms: until - now })
}
