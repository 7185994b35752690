//! Requests and their attempts: accepts requests, starts and ends attempts, and gives each request one final
//! answer.

use super::*;
use crate::reasons::{AttemptCause, Refusal};

/// Describes a request for the plug-ins. `time_left_ms` is the time until the answer deadline.
fn request_info(request: &IncomingRequest, class: usize, time_left_ms: Millis) -> RequestInfo<'_> {
    RequestInfo {
        class,
        object: request.object.as_deref(),
        piece: request.piece.unwrap_or(0),
        group: request.group,
        size_kb: request.size_kb,
        time_left_ms,
        repeat: request.repeat,
    }
}

/// Returns why a request's next attempt is made.
fn attempt_cause(pending: &PendingRequest) -> AttemptCause {
    match pending.last_outcome {
        _ if !pending.in_flight.is_empty() => AttemptCause::Hedge,
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
    /// Accepts, refuses or fails a request that was received.
    pub(super) fn receive_request(
        &mut self,
        now: Millis,
        request_key: RequestKey,
        request: Result<IncomingRequest, &'static str>,
        age_ms: Millis,
    ) {
        let checked = request.and_then(|request| {
            let class = self.classes.get(&request.class).copied().ok_or("no such class")?;
            if request.timeout_ms > MAX_TIMEOUT_RATIO * self.settings.classes[class.0].deadline_ms {
                // No client waits that long, and the router would keep the request's state for all of it.
                return Err("nobody waits so long");
            }
            if self.open_client_ids.contains(&request.id) {
                // Answers to two requests with one id could be mixed up.
                return Err("its id is that of an open request");
            }
            let may_have_run = |id| self.recent_ids.contains(now, id);
            if class.1 && parse_client_id(&request.id).is_some_and(may_have_run) {
                // Its client has left, or another process has it; machines can't tell it from a new request.
                return Err("its id is that of a request that may have run");
            }
            Ok((request, class))
        });
        let (request, (class, fragile)) = match checked {
            Ok(checked) => checked,
            Err(why) => {
                self.counters.bad_requests += 1;
                let reply = Reply::Failed(Failure::BadRequest(why));
                return self.effects.push(Effect::Answer { key: request_key, reply });
            }
        };
        self.counters.taken += 1;
        self.counters.repeats += u64::from(request.repeat);
        if let Some(reason) = self.service.refusal(now) {
            // The connection, or the process, could end before the answer is sent.
            return self.refuse(request_key, &request.class, reason);
        }
        let mut answer_by = now + request.timeout_ms - age_ms.max(0.0) - ANSWER_MARGIN_MS;
        if let Some(answer_all_by) = self.service.terminating_since().map(|at| at + self.answer_window_ms()) {
            answer_by = answer_by.min(answer_all_by);
        }
        let no_room = request.body.len() > self.body_memory_left();
        let max_open = self
            .network
            .max_open_requests
            .min((self.network.memory_bytes as f64 * STATE_MEMORY_SHARE / STATE_BYTES_PER_REQUEST) as usize);
        let reasons = [
            (self.pending.len() >= max_open, Refusal::TooManyOpen),
            (no_room, Refusal::BodyMemoryFull),
            (answer_by <= now, Refusal::DeadlineExpired),
        ];
        if let Some((_, reason)) = reasons.into_iter().find(|(holds, _)| *holds) {
            return self.refuse(request_key, &request.class, reason);
        }
        let advice = self.plugins.as_mut().and_then(|plugins| {
            plugins.request(now, &request_info(&request, class, answer_by - now), &self.machine_stats)
        });
        // The connection and serial number make the decision module's id unique: once a request is answered,
        // a client may reuse its id, on the same or another connection.
        let id: RequestId =
            format!("{}/{}.{}", request.id, request_key.conn, request_key.serial).as_str().into();
        self.events.push_back(Event::Request(ClientRequest {
            id: id.clone(),
            repeat: request.repeat,
            class,
            size_kb: request.size_kb,
            piece: request.piece.unwrap_or(0),
            budget_ms: answer_by - now,
            object: request.object.as_deref().map(ObjectId::from),
            group: request.group,
            advice,
        }));
        self.request_keys.insert(id.clone(), request_key);
        self.open_client_ids.insert(request.id.clone());
        self.pending_body_bytes += request.body.len();
        let pending = PendingRequest {
            id,
            request: request.into(),
            fragile,
            attempts_made: 0,
            last_outcome: None,
            may_have_run: false,
            first_sent_at: None,
            in_flight: Vec::new(),
            next_attempt_at: 0.0,
            answer_by,
            deadline_timer: self.set_timer(answer_by, Timer::AnswerDeadline(request_key)),
        };
        self.pending.insert(request_key, pending);
    }

    /// Refuses a whole request on arrival, before it becomes pending. It counts as shed, whatever the reason.
    fn refuse(&mut self, request_key: RequestKey, class: &str, reason: Refusal) {
        self.counters.shed += 1;
        self.counters.refused += 1;
        self.counters.reasons.refusals.add(reason);
        self.results.count(class, ops::Disposition::Declined);
        let reply = Reply::Refused { retry_after_ms: None, reason };
        self.effects.push(Effect::Answer { key: request_key, reply });
    }

    /// Refuses a partly received request. It does not count as shed, nor in the results by class, as its
    /// class may not have been received.
    pub(super) fn refuse_truncated(&mut self, now: Millis, request_key: RequestKey, reason: Refusal) {
        let reason = self.service.refusal(now).unwrap_or(reason);
        self.counters.taken += 1;
        self.counters.refused += 1;
        self.counters.reasons.refusals.add(reason);
        let reply = Reply::Refused { retry_after_ms: None, reason };
        self.effects.push(Effect::Answer { key: request_key, reply });
    }

    /// Answers a request at once, as its connection is about to be closed: refuses it if a repeat is
    /// harmless, so that the client may try elsewhere, and fails it otherwise.
    pub(super) fn answer_before_close(&mut self, now: Millis, request_key: RequestKey) {
        let Some(pending) = self.pending.get(&request_key) else { return };
        let id = pending.id.clone();
        let reason = self.service.refusal(now).unwrap_or(Refusal::Draining);
        let reply = if self.may_refuse(pending) {
            Reply::Refused { retry_after_ms: None, reason }
        } else {
            Reply::Failed(Failure::GivenUp(reason))
        };
        self.events.push_back(Event::Aborted { id: id.clone() });
        self.answer(now, &id, reply);
    }

    /// Ends a request without an answer, as its client no longer waits. The operators' telemetry has one
    /// result, [`Aborted`](ops::Disposition::Aborted), for such requests and for failed ones.
    pub(super) fn abort(&mut self, now: Millis, request_key: RequestKey) {
        let Some(pending) = self.remove_pending(now, request_key) else { return };
        self.counters.aborted += 1;
        self.results.count(&pending.request.class, ops::Disposition::Aborted);
        self.request_keys.remove(&pending.id);
        self.events.push_back(Event::Aborted { id: pending.id });
        self.cancel_attempts(now, pending.in_flight, Outcome::Cancelled, true);
    }

    /// Removes a request from the pending ones, and its body and client id from their accounting.
    pub(super) fn remove_pending(&mut self, now: Millis, request_key: RequestKey) -> Option<PendingRequest> {
        let pending = self.pending.remove(&request_key)?;
        self.timers.remove(&pending.deadline_timer);
        self.pending_body_bytes -= pending.request.body.len();
        self.open_client_ids.remove(&pending.request.id);
        if pending.fragile && self.may_have_run(&pending) {
            if let Some(id) = parse_client_id(&pending.request.id) {
                self.recent_ids.insert(now, id);
            }
        }
        Some(pending)
    }

    /// Gives the final answer. Does nothing if the request has been answered already.
    pub(super) fn answer(&mut self, now: Millis, id: &RequestId, reply: Reply) {
        let Some(request_key) = self.request_keys.remove(id) else { return };
        let pending = self.remove_pending(now, request_key);
        let disposition = match &reply {
            Reply::Served(body) => {
                *self.unsent_bytes.entry(request_key.conn).or_default() += body.len();
                self.unsent_total += body.len();
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
            // Health checks are answered without becoming pending, so this is not reached.
            Reply::Health(_) => {
                self.counters.failed += 1;
                ops::Disposition::Aborted
            }
        };
        let in_flight = pending.map_or(Vec::new(), |pending| {
            self.results.count(&pending.request.class, disposition);
            pending.in_flight
        });
        self.effects.push(Effect::Answer { key: request_key, reply });
        self.cancel_attempts(now, in_flight, Outcome::Cancelled, true);
    }

    /// Starts an attempt that the decision module asked for.
    pub(super) fn start_attempt(&mut self, now: Millis, fetch: Fetch) {
        let Some(request_key) = self.request_keys.get(&fetch.id).copied() else { return };
        let Some(pending) = self.pending.get_mut(&request_key) else { return };
        let (number, request, fragile) = (pending.attempts_made, pending.request.clone(), pending.fragile);
        let cause = attempt_cause(pending);
        pending.attempts_made += 1;
        self.counters.attempts += 1;
        self.counters.reasons.attempts.add(cause);
        self.next_attempt += 1;
        let key = self.next_attempt;
        pending.in_flight.push(key);
        let unsent_ms = SEND_TIMEOUT_DIALS * self.network.dial_timeout_ms;
        let send_by = now + fetch.send_within_ms.map_or(unsent_ms, |within| within.min(unsent_ms));
        let attempt = PendingAttempt {
            request_key,
            id: fetch.id.clone(),
            number,
            cache: fetch.cache.clone(),
            source: fetch.source.clone(),
            started_at: now,
            timeout_ms: fetch.timeout_ms,
            send_by,
            progress: Progress::NotConnected,
            delayed: None,
            timers: Vec::new(),
        };
        let next_attempt_at = pending.next_attempt_at;
        self.attempts.insert(key, attempt);
        let serves = |name: &CacheId| self.machines.get(name).is_some_and(|m| m.phase == Phase::Serving);
        if !serves(&fetch.cache) || !serves(&fetch.source) {
            return self.finish_attempt(now, key, Outcome::Moot, None, false);
        }
        if fetch.timeout_ms > 0.0 {
            self.set_attempt_timer(now + fetch.timeout_ms, key, Timer::AttemptTimeout(key));
        }
        self.set_attempt_timer(send_by, key, Timer::SendDeadline(key));
        let (machine, outgoing) = (
            fetch.cache.clone(),
            OutgoingRequest { request, fetch, exclusive_connection: fragile, send_by, cause },
        );
        if self.plugins.is_some() {
            self.machine_stats.attempt_started(&machine);
        }
        match self.attempts.get_mut(&key).filter(|_| next_attempt_at > now) {
            Some(attempt) => {
                attempt.delayed = Some(outgoing);
                self.set_attempt_timer(next_attempt_at, key, Timer::AttemptDelayOver(key));
            }
            None => self.effects.push(Effect::Send { attempt: key, machine, request: outgoing }),
        }
    }

    /// Delays the next attempt of a request if hedging is off, so that it does not overlap an attempt that
    /// the router has given up but that may still be running at its machine.
    fn delay_next_attempt(&mut self, now: Millis, request_key: RequestKey) {
        if !self.settings.limits.hedging {
            self.pending
                .entry(request_key)
                .and_modify(|pending| pending.next_attempt_at = now + ATTEMPT_SEPARATION_MS);
        }
    }

    /// Cancels an attempt and reports its outcome: `unsent` if no byte of it has been written, else `sent`.
    /// `request_done`: the request is finished.
    pub(super) fn cancel_attempt(
        &mut self,
        now: Millis,
        key: AttemptKey,
        sent: Outcome,
        unsent: Outcome,
        request_done: bool,
    ) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        // The rest of a partly written frame is discarded with its connection, or written and followed by a
        // STOP, see [`crate::back::Remainder`].
        let outcome = if attempt.progress == Progress::NotConnected { unsent } else { sent };
        if attempt.progress != Progress::NotConnected {
            self.delay_next_attempt(now, attempt.request_key);
        }
        self.effects.push(Effect::Stop { attempt: key });
        self.finish_attempt(now, key, outcome, None, request_done);
    }

    /// Cancels several attempts. An attempt that times out before a byte of it is written is reported as
    /// `ConnectFailed`.
    pub(super) fn cancel_attempts(
        &mut self,
        now: Millis,
        keys: Vec<AttemptKey>,
        sent: Outcome,
        request_done: bool,
    ) {
        let unsent = if sent == Outcome::Timeout { Outcome::ConnectFailed } else { Outcome::Moot };
        keys.into_iter().for_each(|key| self.cancel_attempt(now, key, sent, unsent, request_done));
    }

    /// Removes an attempt and reports its end to the decision module. `request_done`: the request is
    /// finished.
    pub(super) fn finish_attempt(
        &mut self,
        now: Millis,
        key: AttemptKey,
        outcome: Outcome,
        answer: Option<&Answer>,
        request_done: bool,
    ) {
        let Some(attempt) = self.attempts.remove(&key) else { return };
        for timer in &attempt.timers {
            self.timers.remove(timer);
        }
        if let Some(pending) = self.pending.get_mut(&attempt.request_key) {
            pending.in_flight.retain(|other| *other != key);
            pending.last_outcome = Some(outcome);
            pending.may_have_run |= !outcome.never_ran();
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
            id: attempt.id,
            attempt: attempt.number,
            cache: attempt.cache,
            outcome,
            elapsed_ms: now - attempt.started_at,
            last: request_done,
            cache_status: answer.and_then(|answer| answer.cache_status),
            source_ttfb_ms: answer.and_then(|answer| answer.source_ttfb_ms),
            report: answer.map(|answer| answer.report).unwrap_or_default(),
            size_kb: answer
                .filter(|answer| !answer.unchanged)
                .and_then(|answer| self.size_kb(answer.body.len())),
        };
        if let Some(plugins) = &mut self.plugins {
            self.machine_stats.attempt_ended(now, &result.cache, &result.report);
            if let Some(pending) = self.pending.get(&attempt.request_key) {
                let class = self.classes.get(&pending.request.class).map_or(0, |class| class.0);
                plugins.outcome(
                    now,
                    &result,
                    &request_info(&pending.request, class, 0.0),
                    &self.machine_stats,
                );
            }
        }
        self.events.push_back(Event::Result(result));
    }

    /// Converts bytes of an answer to the KB of the settings' object sizes, by the ratio of the two settings
    /// for the highest rate of one transfer: in KB/s and in bytes per second.
    fn size_kb(&self, bytes: usize) -> Option<f64> {
        let kb_per_byte = self.settings.flow_kb_per_s? / self.network.flow_bytes_per_s?;
        Some(bytes as f64 * kb_per_byte).filter(|kb| *kb > 0.0)
    }

    /// Handles the end of an attempt on the network, and answers the request if it was served.
    pub(super) fn attempt_ended(&mut self, now: Millis, key: AttemptKey, end: AttemptEnd) {
        let Some(attempt) = self.attempts.get(&key) else { return };
        let (request_key, id) = (attempt.request_key, attempt.id.clone());
        let mut answer = match end {
            AttemptEnd::Lost(Progress::NotConnected | Progress::PartlyWritten) => {
                return self.finish_attempt(now, key, Outcome::ConnectFailed, None, false);
            }
            AttemptEnd::Lost(_) => {
                // The router itself may have closed the connection while the machine still runs the attempt.
                self.delay_next_attempt(now, request_key);
                return self.finish_attempt(now, key, Outcome::Reset, None, false);
            }
            AttemptEnd::NoRoom => return self.finish_attempt(now, key, Outcome::Moot, None, false),
            AttemptEnd::Withheld(_) => {
                self.counters.attempt_pulled += 1;
                return self.finish_attempt(now, key, Outcome::Moot, None, false);
            }
            AttemptEnd::Answer(answer) => answer,
        };
        let Some(pending) = self.pending.get(&request_key) else { return };
        if answer.unchanged && pending.request.client_tag.is_none() {
            answer.outcome = Outcome::Error; // The client named no copy that could be valid.
        }
        let served = answer.outcome == Outcome::Ok;
        let fragile = pending.fragile;
        self.finish_attempt(now, key, answer.outcome, Some(&answer), served);
        if served {
            let reply = if answer.unchanged {
                Reply::Unchanged
            } else if self.must_drop_answer(request_key.conn, answer.body.len()) {
                self.counters.shed += 1;
                // The request has run, so it may be refused only if a repeat is harmless.
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

    /// Returns whether an answer of this size must be dropped, because unsent answers to all clients would
    /// take more than their share of the memory. The share is smaller for an answer to a slow client.
    pub(super) fn must_drop_answer(&self, conn: u64, bytes: usize) -> bool {
        let (all, memory) = ((self.unsent_total + bytes) as f64, self.network.memory_bytes as f64);
        let slow = self.unsent_bytes.get(&conn).is_some_and(|own| *own > SLOW_CLIENT_UNSENT_BYTES);
        all > memory * if slow { SLOW_CLIENT_MEMORY_SHARE } else { ALL_CLIENTS_MEMORY_SHARE }
    }

    /// Withholds an attempt if no byte of it has been written.
    pub(super) fn withhold_unwritten(&mut self, now: Millis, key: AttemptKey) {
        if self.attempts.get(&key).is_some_and(|attempt| attempt.progress == Progress::NotConnected) {
            self.counters.attempt_pulled += 1;
            self.cancel_attempt(now, key, Outcome::Cancelled, Outcome::Moot, false);
        }
    }

    /// Ends a request at its answer deadline: its attempts time out, and if the decision module then gives no
    /// answer, the request fails and counts as `guarded`.
    pub(super) fn answer_at_deadline(&mut self, now: Millis, request_key: RequestKey) {
        let Some(pending) = self.pending.get(&request_key) else { return };
        self.cancel_attempts(now, pending.in_flight.clone(), Outcome::Timeout, false);
        self.run_policy(now);
        if self.pending.contains_key(&request_key) {
            self.counters.guarded += 1;
            self.fail(now, request_key, Failure::OutOfTime);
        }
    }

    /// Returns the pending requests of a client connection.
    pub(super) fn requests_on(&self, conn: u64) -> Vec<RequestKey> {
        let all = RequestKey { conn, serial: 0 }..=RequestKey { conn, serial: u64::MAX };
        self.pending.range(all).map(|(request_key, _)| *request_key).collect()
    }

    /// Fails a request, whatever the decision module plans for it.
    pub(super) fn fail(&mut self, now: Millis, request_key: RequestKey, failure: Failure) {
        let Some(id) = self.pending.get(&request_key).map(|pending| pending.id.clone()) else { return };
        self.events.push_back(Event::Aborted { id: id.clone() });
        self.answer(now, &id, Reply::Failed(failure));
    }
}
