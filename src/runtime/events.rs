//! Debug-level events for each request, attempt and answer, derived from the reducer's inputs and effects.
//!
//! Together with `client_accepted`, `client_closed` and `endpoint_closed`, one id can be followed from the
//! last byte of the request to its answer or to the close that ended it. Nothing is formatted while the debug
//! level is disabled.

use crate::api::Millis;
use crate::log::tracing::{enabled, Level};
use crate::reasons::Reason as _;
use crate::reducer::{AttemptEnd, Effect, Failure, Input, Reply};
use crate::trace_event;

/// Logs an input of the reducer.
pub(super) fn input(now: Millis, input: &Input) {
    if !enabled!(Level::DEBUG) {
        return;
    }
    match input {
        Input::RequestReceived { key, request, age_ms } => {
            let (connection, serial) = (key.conn, key.serial);
            let id = request.as_ref().map_or("-", |request| request.id.as_str());
            let why = request.as_ref().err().copied().unwrap_or("");
            trace_event!(now, "request_read", request = id, client = connection, serial, age_ms, why);
        }
        Input::Aborted { key } => {
            trace_event!(now, "request_aborted", client = key.conn, serial = key.serial);
        }
        Input::RequestTruncated { key, .. } => {
            trace_event!(now, "request_cut_short", client = key.conn, serial = key.serial);
        }
        Input::ConnectionClosing { conn } => trace_event!(now, "client_closing", client = conn),
        Input::Ended { attempt, end } => {
            let how = match end {
                AttemptEnd::Answer(answer) => format!("{:?}", answer.outcome),
                AttemptEnd::Lost(progress) => format!("lost {progress:?}"),
                AttemptEnd::NoRoom => "no room".to_owned(),
                AttemptEnd::Withheld(reason) => reason.key().to_owned(),
            };
            trace_event!(now, "attempt_ended", attempt, how);
        }
        Input::Progressed { attempt, progress } => {
            trace_event!(now, "attempt_progressed", attempt, progress = ?progress);
        }
        Input::Terminate => trace_event!(now, "told_to_end",),
        Input::ListenerClosed => trace_event!(now, "stopped_listening",),
        Input::Health { .. }
        | Input::Flushed { .. }
        | Input::ConnectionClosed { .. }
        | Input::ConnectionUnreadable { .. }
        | Input::Probed { .. }
        | Input::DiscoveryEvent { .. }
        | Input::ClocksRead { .. }
        | Input::TimersDue
        | Input::ExclusionsLoaded { .. }
        | Input::IdsTaken { .. }
        | Input::ExclusionSaved { .. }
        | Input::ColdStartShare(_)
        | Input::Operator { .. } => {}
    }
}

/// Logs an effect that is about to be executed.
pub(super) fn effect(now: Millis, effect: &Effect) {
    if !enabled!(Level::DEBUG) {
        return;
    }
    match effect {
        Effect::Answer { key, reply } => {
            let (client, serial, (answer, reason)) = (key.conn, key.serial, answer_fields(reply));
            trace_event!(now, "request_answered", client, serial, answer, reason);
        }
        Effect::Send { attempt, machine, request: outgoing } => {
            let (request, endpoint, cause) =
                (outgoing.request.id.as_str(), machine.as_str(), outgoing.cause.key());
            trace_event!(now, "attempt_queued", attempt, request, endpoint, cause);
        }
        Effect::Stop { attempt } => trace_event!(now, "attempt_stopped", attempt),
        Effect::Exit { by } => trace_event!(now, "all_answered", exit_by_ms = by),
        Effect::Probe { .. }
        | Effect::SetListing { .. }
        | Effect::Retire { .. }
        | Effect::MachineRestarted { .. }
        | Effect::SaveExclusion { .. }
        | Effect::AnswerOperator { .. }
        | Effect::SendTelemetry { .. }
        | Effect::Log(_)
        | Effect::StopListening
        | Effect::AuditDrain => {}
    }
}

/// Returns the fields `answer` and `reason` of a reply.
fn answer_fields(reply: &Reply) -> (&'static str, &'static str) {
    match reply {
        Reply::Served(_) => ("served", ""),
        Reply::Unchanged => ("unchanged", ""),
        Reply::Refused { reason, .. } => ("refused", reason.key()),
        Reply::Failed(failure) => ("failed", Failure::key(*failure)),
        Reply::Health(true) => ("ready", ""),
        Reply::Health(false) => ("not_ready", ""),
    }
}
