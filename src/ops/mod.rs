//! The operators' HTTP/1.1 interface, one call per connection: parses calls and encodes answers, without I/O.
//!
//! Owns the format of calls and answers only; [`crate::service`] and the reducer execute the calls.

pub mod control;
mod telemetry;

use crate::api::Millis;
pub use telemetry::{Disposition, FleetStats, Results, Telemetry};

/// The maximum size of a call in bytes, head and body.
pub const MAX_CALL_BYTES: usize = 4096;
/// The time in which a call must be received, so that silent callers don't occupy connections.
pub const CALL_TIMEOUT_MS: Millis = 1000.0;
/// The maximum number of connections of callers; beyond it the oldest one is closed.
pub const MAX_CALLERS: usize = 16;
/// The maximum length of a machine's name in bytes.
const MAX_NAME_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Returns whether this process is ready to serve.
    Ready,
    /// Excludes a machine: nothing more is sent to it.
    Exclude(String),
    /// Includes a machine again.
    Include(String),
    /// Evacuates the router: its clients move to other routers.
    Evacuate,
    /// Accepts clients again after an evacuation.
    Rejoin,
    /// Returns counts since the start and the current state.
    Telemetry,
    /// Returns this router's view of the fleet; answered without the reducer.
    Fleet,
}

/// The result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Done, or yes: 200.
    Accepted,
    /// Not possible now, or no: 503.
    Rejected,
    /// No machine has this name: 404.
    UnknownMachine,
    /// The maximum number of machines is excluded: 503.
    TooManyExcluded,
    /// The change can't be saved for the router's other processes, so it is not in effect here either: 500.
    NotSaved,
}

/// Why a call is refused, as an HTTP status and a reason (RFC 9110, section 15.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal(pub u16, pub &'static str);

/// Parses a call; `None` if it is not complete yet.
pub fn read(bytes: &[u8]) -> Result<Option<Call>, Refusal> {
    if bytes.len() > MAX_CALL_BYTES {
        return Err(Refusal(413, "the call is too large"));
    }
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Refusal(400, "the call can't be read")),
    };
    let mut length = 0;
    for header in head.headers.iter() {
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).unwrap_or_default().trim();
            length = text.parse::<usize>().map_err(|_| Refusal(400, "the length can't be read"))?;
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err(Refusal(411, "a length is wanted"));
        }
    }
    if length > MAX_CALL_BYTES {
        return Err(Refusal(413, "the call is too large"));
    }
    let Some(body) = bytes[start..].get(..length) else { return Ok(None) };
    let name = || {
        let text = std::str::from_utf8(body).unwrap_or_default().trim();
        let valid = !text.is_empty() && text.len() <= MAX_NAME_BYTES && !text.contains(char::is_whitespace);
        valid.then(|| text.to_owned()).ok_or(Refusal(400, "a machine's name is wanted in the body"))
    };
    let path = head.path.unwrap_or_default();
    let (expected_method, call) = match path.split('?').next().unwrap_or_default() {
        "/api/ready" => ("GET", Ok(Call::Ready)),
        "/api/exclude" => ("POST", name().map(Call::Exclude)),
        "/api/include" => ("POST", name().map(Call::Include)),
        "/api/evacuate" => ("POST", Ok(Call::Evacuate)),
        "/api/rejoin" => ("POST", Ok(Call::Rejoin)),
        "/api/telemetry" => ("GET", Ok(Call::Telemetry)),
        "/api/fleet" => ("GET", Ok(Call::Fleet)),
        _ => return Err(Refusal(404, "there is no such call")),
    };
    if head.method != Some(expected_method) {
        return Err(Refusal(405, "another method is wanted"));
    }
    call.map(Some)
}

/// Encodes the answer to a call.
pub fn answer(verdict: Result<Verdict, Refusal>) -> Vec<u8> {
    let (status, reason_phrase, reason) = match verdict {
        Ok(Verdict::Accepted) => (200, "OK", "yes"),
        Ok(Verdict::Rejected) => (503, "Service Unavailable", "no"),
        Ok(Verdict::UnknownMachine) => (404, "Not Found", "there is no such machine"),
        Ok(Verdict::TooManyExcluded) => (503, "Service Unavailable", "too many machines are out"),
        Ok(Verdict::NotSaved) => {
            (500, "Internal Server Error", "it could not be saved, and nothing is changed")
        }
        Err(Refusal(status, reason)) => (status, "Refused", reason),
    };
    response(status, reason_phrase, "text/plain", reason)
}

/// Encodes the answer to [`Call::Telemetry`].
pub fn telemetry_answer(telemetry: &Telemetry) -> Vec<u8> {
    response(200, "OK", "application/json", &telemetry.json())
}

/// Encodes the answer to [`Call::Fleet`]. `view` is `None` if the operator's file has no fleet section, and
/// `Some(None)` if another process of this router takes part in the fleet.
pub fn fleet_answer(view: Option<Option<crate::fleet::View>>) -> Vec<u8> {
    let text = match view {
        None => {
            return response(404, "Not Found", "text/plain", "there is no (fleet …) in the operator's file")
        }
        Some(None) => "another process of this router speaks for it".to_owned(),
        Some(Some(view)) => match simd_json::to_string(&view) {
            Ok(text) => return response(200, "OK", "application/json", &text),
            Err(e) => e.to_string(),
        },
    };
    response(503, "Service Unavailable", "text/plain", &text)
}

fn response(status: u16, reason_phrase: &str, content_type: &str, text: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} {reason_phrase}\r\nContent-Type: {content_type}\r\nContent-Length: {}",
        text.len() + 1
    );
    format!("{head}\r\nConnection: close\r\n\r\n{text}\n").into_bytes()
}

#[cfg(test)]
mod tests;
