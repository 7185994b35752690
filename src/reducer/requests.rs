//! Requests and their attempts: taken, sent, ended and answered once.

use super::*;
use crate::reasons::{AttemptCause, Refusal};

/// What a request is, for plug-ins.
fn about(ask: &IncomingRequest, class: usize, left_ms: Millis) -> About<'_> {
    About {
        class,
        object: ask.object.as_deref(),
        piece: ask.piece.unwrap_or(0),
        group: ask.group,
        size_kb: ask.size_kb,
        left_ms,
        repeat: ask.repeat,
    }
}

/// Why a request's next attempt is made.
fn attempt_cause(held: &Held) -> AttemptCause {
    match held.ended {
        _ if !held.out.is_empty() => AttemptCause::Hedge,
        None | Some(Outcome::Ok) => AttemptCause::First,
        Some(Outcome::Timeout) => AttemptCause::AfterTimeout,
        Some(Outcome::Error) => AttemptCause::AfterError,
        Some(Outcome::Full) => AttemptCause::AfterFull,
        Some(Outcome::Miss) => AttemptCause::AfterMiss,
        Some(Outcome::ConnectFailed) => AttemptCause::AfterConnectFailed,
        Some(Outcome::Reset) => AttemptCause::AfterReset,
        Some(Outcome::Cancelled) => AttemptCause::AfterCancelled,
        Some(Outcome::Moot) => AttemptCause::AfterUnsent,
    }
}

impl Reducer {
    pub(super) fn asked(
        &mut self,
        now: Millis,
        client: RequestKey,
        ask: Result<IncomingRequest, &'static str>,
        age_ms: Millis,
    ) {
        let known = ask.and_then(|ask| {
            let class = self.classes.get(&ask.class).copied().ok_or("no such class")?;
            if ask.timeout_ms > MAX_PATIENCE * self.settings.classes[class.0].deadline_ms {
                return Err("nobody waits so long"); // It would be held for ever.
            }
            if self.open_ids.contains(&ask.id) {
                return Err("its id is that of an open request"); // One of the two answers would be the other's.
            }
            Ok((ask, class))
        });
        let (ask, (class, fragile)) = match known {
            Ok(known) => known,
            Err(why) => {
                self.counters.bad_requests += 1;
                let reply = Reply::Failed(Failure::BadRequest(why));
                return self.effects.push(Effect::Answer { key: client, reply });
            }
        };
        self.counters.taken += 1;
        self.counters.repeats += u64::from(ask.repeat);
        if let Some(reason) = self.service.refusal(now) {
            // Its connection, or the process, could end before its answer.
            return self.decline(client, &ask.class, reason);
        }
        let mut guard = now + ask.timeout_ms - age_ms.max(0.0) - GUARD_MS;
        if let Some(kill) = self.service.terminating_since().map(|at| at + self.patience()) {
            guard = guard.min(kill);
        }
        let no_room =
            self.held_bytes + ask.body.len() > (self.net.memory_bytes as f64 * HELD_BODIES) as usize;
        let most =
            self.net.max_open_requests.min((self.net.memory_bytes as f64 * HELD_STATE / HELD_EACH) as usize);
        let reasons = [
            (self.held.len() >= most, Refusal::TooManyOpen),
            (no_room, Refusal::BodyMemoryFull),
            (guard <= now, Refusal::DeadlineExpired),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            return self.decline(client, &ask.class, reason);
        }
        let advice = self
            .plugins
            .as_mut()
            .and_then(|plugins| plugins.request(now, &about(&ask, class, guard - now), &self.watch));
        // Ids of the module's own: a client may send one again, on another connection.
        let id: RequestId = format!("{}/{}.{}", ask.id, client.conn, client.serial).as_str().into();
        self.events.push_back(Event::Request(ClientRequest {
            id: id.clone(),
            repeat: ask.repeat,
            class,
            size_kb: ask.size_kb,
            piece: ask.piece.unwrap_or(0),
            budget_ms: guard - now,
            object: ask.object.as_deref().map(ObjectId::from),
            group: ask.group,
            advice,
        }));
        self.clients.insert(id.clone(), client);
        self.open_ids.insert(ask.id.clone());
        self.held_bytes += ask.body.len();
        let held = Held {
            id,
            ask: ask.into(),
            fragile,
            attempts: 0,
            ended: None,
            may_have_run: false,
            out: Vec::new(),
            apart: 0.0,
            guard,
        };
        self.held.insert(client, held);
        self.at(guard, Due::Guard(client));
    }

    /// Refuses a request that is not taken.
    fn decline(&mut self, client: RequestKey, class: &str, reason: Refusal) {
        self.counters.shed += 1;
        self.counters.refused += 1;
        self.counters.reasons.refusals.add(reason);
        self.results.count(class, ops::Disposition::Declined);
        let reply = Reply::Refused { retry_after_ms: None, reason };
        self.effects.push(Effect::Answer { key: client, reply });
    }

    /// Refuses a request that is half there, as its connection is about to be closed.
    pub(super) fn cut_short(&mut self, now: Millis, client: RequestKey) {
        let reason = self.service.refusal(now).unwrap_or(Refusal::Draining);
        self.counters.taken += 1;
        self.counters.refused += 1;
        self.counters.reasons.refusals.add(reason);
        let reply = Reply::Refused { retry_after_ms: None, reason };
        self.effects.push(Effect::Answer { key: client, reply });
    }

    /// Answers a request at once, as its connection is about to be closed: refused where a repeat is harmless, so that its
    /// client may try elsewhere, else failed.
    pub(super) fn give_up(&mut self, now: Millis, client: RequestKey) {
        let Some(held) = self.held.get(&client) else { return };
        let id = held.id.clone();
        let reason = self.service.refusal(now).unwrap_or(Refusal::Draining);
        let reply = if self.refusal_is_harmless(held) {
            Reply::Refused { retry_after_ms: None, reason }
        } else {
            Reply::Failed(Failure::GivenUp(reason))
        };
        self.events.push_back(Event::Aborted { id: id.clone() });
        self.answer(now, &id, reply);
    }

    /// Ends a request without an answer: its client is gone.
    pub(super) fn aborted(&mut self, now: Millis, client: RequestKey) {
        let Some(held) = self.release(client) else { return };
        self.counters.aborted += 1;
        self.results.count(&held.ask.class, ops::Disposition::Aborted);
        self.clients.remove(&held.id);
        self.events.push_back(Event::Aborted { id: held.id });
        self.stop_all(now, held.out, Outcome::Cancelled, true);
    }

    /// Nothing more is owed for a request.
    pub(super) fn release(&mut self, client: RequestKey) -> Option<Held> {
        let held = self.held.remove(&client)?;
        self.held_bytes -= held.ask.body.len();
        self.open_ids.remove(&held.ask.id);
        Some(held)
    }

    /// Gives a final answer; later ones for the same request find nothing.
    pub(super) fn answer(&mut self, now: Millis, id: &RequestId, reply: Reply) {
        let Some(client) = self.clients.remove(id) else { return };
        let held = self.release(client);
        let how = match &reply {
            Reply::Served(body) => {
                *self.buffered.entry(client.conn).or_default() += body.len();
                self.buffered_all += body.len();
                self.counters.served += 1;
                ops::Disposition::Succeeded
            }
            Reply::Unchanged => {
                self.counters.unchanged += 1;
                ops::Disposition::Succeeded
            }
            Reply::Refused { reason, .. } => {
                self.counters.refused += 1;
                self.counters.reasons.refusals.add(*reason);
                ops::Disposition::Declined
            }
            Reply::Failed(failure) => {
                self.counters.failed += 1;
                if let Failure::GivenUp(reason) = failure {
                    self.counters.reasons.failures.add(*reason);
                }
                ops::Disposition::Aborted
            }
            Reply::Health(_) => {
                self.counters.failed += 1;
                ops::Disposition::Aborted
            }
        };
        let out = held.map_or(Vec::new(), |held| {
            self.results.count(&held.ask.class, how);
            held.out
        });
        self.effects.push(Effect::Answer { key: client, reply });
        self.stop_all(now, out, Outcome::Cancelled, true);
    }

    pub(super) fn send(&mut self, now: Millis, fetch: Fetch) {
        let Some(client) = self.clients.get(&fetch.id).copied() else { return };
        let Some(held) = self.held.get_mut(&client) else { return };
        let (number, ask, alone) = (held.attempts, held.ask.clone(), held.fragile);
        let cause = attempt_cause(held);
        held.attempts += 1;
        self.counters.attempts += 1;
        self.counters.reasons.attempts.add(cause);
        self.next_attempt += 1;
        let key = self.next_attempt;
        held.out.push(key);
        let unsent_ms = UNSENT_DIALS * self.net.dial_timeout_ms;
        let send_by = now + fetch.send_within_ms.map_or(unsent_ms, |within| within.min(unsent_ms));
        let out = Out {
            client,
            id: fetch.id.clone(),
            number,
            cache: fetch.cache.clone(),
            source: fetch.source.clone(),
            sent: now,
            timeout_ms: fetch.timeout_ms,
            send_by,
            progress: Progress::NotConnected,
            parked: None,
        };
        let apart = held.apart;
        self.out.insert(key, out);
        let serves = |name: &CacheId| self.members.get(name).is_some_and(|m| m.phase == Phase::Serving);
        if !serves(&fetch.cache) || !serves(&fetch.source) {
            return self.end(now, key, Outcome::Moot, None, false);
        }
        if fetch.timeout_ms > 0.0 {
            self.at(now + fetch.timeout_ms, Due::Limit(key));
        }
        self.at(send_by, Due::Unsent(key));
        let (member, call) = (
            fetch.cache.clone(),
            OutgoingRequest { request: ask, fetch, exclusive_connection: alone, send_by, cause },
        );
        if self.plugins.is_some() {
            self.watch.sent(&member);
        }
        match self.out.get_mut(&key).filter(|_| apart > now) {
            Some(out) => {
                out.parked = Some(call);
                self.at(apart, Due::Apart(key));
            }
            None => self.effects.push(Effect::Send { attempt: key, machine: member, request: call }),
        }
    }

    /// An attempt that may be at work was given up from this side: the next one keeps apart, where it must.
    fn keep_apart(&mut self, now: Millis, client: RequestKey) {
        if !self.settings.limits.hedging {
            self.held.entry(client).and_modify(|held| held.apart = now + APART_MS);
        }
    }

    /// Gives an attempt up and reports it: as `unsent` where no byte of it has left, else as `sent`.
    pub(super) fn stop(&mut self, now: Millis, key: AttemptKey, sent: Outcome, unsent: Outcome, last: bool) {
        let Some(out) = self.out.get(&key) else { return };
        // One that is partly written will be written to its end, as other frames follow it.
        let outcome = if out.progress == Progress::NotConnected { unsent } else { sent };
        if out.progress != Progress::NotConnected {
            self.keep_apart(now, out.client);
        }
        self.effects.push(Effect::Stop { attempt: key });
        self.end(now, key, outcome, None, last);
    }

    pub(super) fn stop_all(&mut self, now: Millis, keys: Vec<AttemptKey>, sent: Outcome, last: bool) {
        let unsent = if sent == Outcome::Timeout { Outcome::ConnectFailed } else { Outcome::Moot };
        keys.into_iter().for_each(|key| self.stop(now, key, sent, unsent, last));
    }

    /// Takes an attempt off the books and reports it to the module.
    pub(super) fn end(
        &mut self,
        now: Millis,
        key: AttemptKey,
        outcome: Outcome,
        answer: Option<&Answer>,
        last: bool,
    ) {
        let Some(out) = self.out.remove(&key) else { return };
        if let Some(held) = self.held.get_mut(&out.client) {
            held.out.retain(|other| *other != key);
            held.ended = Some(outcome);
            held.may_have_run |= !outcome.never_ran();
        }
        let counters = &mut self.counters;
        *match outcome {
            Outcome::Ok => &mut counters.attempt_ok,
            Outcome::Error => &mut counters.attempt_error,
            Outcome::Full => &mut counters.attempt_full,
            Outcome::Timeout => &mut counters.attempt_timeout,
            Outcome::ConnectFailed => &mut counters.attempt_unconnected,
            Outcome::Reset => &mut counters.attempt_reset,
            Outcome::Cancelled => &mut counters.attempt_cancelled,
            Outcome::Moot => &mut counters.attempt_moot,
            Outcome::Miss => &mut counters.attempt_miss,
        } += 1;
        let result = AttemptResult {
            id: out.id,
            attempt: out.number,
            cache: out.cache,
            outcome,
            elapsed_ms: now - out.sent,
            last,
            cache_status: answer.and_then(|answer| answer.cache_status),
            source_ttfb_ms: answer.and_then(|answer| answer.source_ttfb_ms),
            report: answer.map(|answer| answer.report).unwrap_or_default(),
            size_kb: answer
                .filter(|answer| !answer.unchanged)
                .and_then(|answer| self.size_kb(answer.body.len())),
        };
        if let Some(plugins) = &mut self.plugins {
            self.watch.ended(now, &result.cache, &result.report);
            if let Some(held) = self.held.get(&out.client) {
                let class = self.classes.get(&held.ask.class).map_or(0, |class| class.0);
                plugins.outcome(now, &result, &about(&held.ask, class, 0.0), &self.watch);
            }
        }
        self.events.push_back(Event::Result(result));
    }

    /// What an answer's bytes amount to as sizes are told: both paces are of the same transfer.
    fn size_kb(&self, bytes: usize) -> Option<f64> {
        let kb_a_byte = self.settings.flow_kb_per_s? / self.net.flow_bytes_per_s?;
        Some(bytes as f64 * kb_a_byte).filter(|kb| *kb > 0.0)
    }

    pub(super) fn ended(&mut self, now: Millis, key: AttemptKey, end: AttemptEnd) {
        let Some(out) = self.out.get(&key) else { return };
        let (client, id) = (out.client, out.id.clone());
        let mut answer = match end {
            AttemptEnd::Lost(Progress::NotConnected | Progress::PartlyWritten) => {
                return self.end(now, key, Outcome::ConnectFailed, None, false);
            }
            AttemptEnd::Lost(_) => {
                self.keep_apart(now, client); // The connection may have ended from this side.
                return self.end(now, key, Outcome::Reset, None, false);
            }
            AttemptEnd::NoRoom => return self.end(now, key, Outcome::Moot, None, false),
            AttemptEnd::Withheld(_) => {
                self.counters.attempt_pulled += 1;
                return self.end(now, key, Outcome::Moot, None, false);
            }
            AttemptEnd::Answer(answer) => answer,
        };
        let Some(held) = self.held.get(&client) else { return };
        if answer.unchanged && held.ask.client_tag.is_none() {
            answer.outcome = Outcome::Error; // No copy was named that could be the one.
        }
        let served = answer.outcome == Outcome::Ok;
        let fragile = held.fragile;
        self.end(now, key, answer.outcome, Some(&answer), served);
        if served {
            let reply = if answer.unchanged {
                Reply::Unchanged
            } else if self.sheds(client.conn, answer.body.len()) {
                self.counters.shed += 1;
                // It has run: only where a repeat is harmless may it be called refused.
                if fragile {
                    Reply::Failed(Failure::AnswerDropped)
                } else {
                    Reply::Refused { retry_after_ms: None, reason: Refusal::AnswerDropped }
                }
            } else {
                Reply::Served(answer.body)
            };
            self.answer(now, &id, reply);
        }
    }

    /// Whether an answer of this size must be dropped to stay within the memory limit.
    pub(super) fn sheds(&self, conn: u64, bytes: usize) -> bool {
        let (all, memory) = ((self.buffered_all + bytes) as f64, self.net.memory_bytes as f64);
        let slow = self.buffered.get(&conn).is_some_and(|own| *own > SLOW_BYTES);
        all > memory * if slow { SHED_SLOW } else { SHED_ALL }
    }

    pub(super) fn pull(&mut self, now: Millis, key: AttemptKey) {
        if self.out.get(&key).is_some_and(|out| out.progress == Progress::NotConnected) {
            self.counters.attempt_pulled += 1;
            self.stop(now, key, Outcome::Cancelled, Outcome::Moot, false);
        }
    }

    /// A request's time is up: its attempts are, too, and if the module then has no answer, there is one.
    pub(super) fn guard(&mut self, now: Millis, client: RequestKey) {
        let Some(held) = self.held.get(&client) else { return };
        self.stop_all(now, held.out.clone(), Outcome::Timeout, false);
        self.settle(now);
        if self.held.contains_key(&client) {
            self.counters.guarded += 1;
            self.fail(now, client, Failure::OutOfTime);
        }
    }

    /// Requests of a client connection that are owed an answer.
    pub(super) fn open_on(&self, conn: u64) -> Vec<RequestKey> {
        let all = RequestKey { conn, serial: 0 }..=RequestKey { conn, serial: u64::MAX };
        self.held.range(all).map(|(client, _)| *client).collect()
    }

    /// Fails a request, whatever the module has in mind with it.
    pub(super) fn fail(&mut self, now: Millis, client: RequestKey, failure: Failure) {
        let Some(id) = self.held.get(&client).map(|held| held.id.clone()) else { return };
        self.events.push_back(Event::Aborted { id: id.clone() });
        self.answer(now, &id, Reply::Failed(failure));
    }
}
