//! Where operators call: HTTP/1.1, one call a connection. Bytes in, a call out; a verdict in, bytes out.
//!
//! Owns the form of calls and answers. It never decides: what a call means is [`crate::service`]'s and the
//! reducer's.

pub mod control;
mod telemetry;

use crate::api::Millis;
pub use telemetry::{Disposition, FleetStats, Results, Telemetry};

/// Bytes of one call, head and body.
pub const MAX_CALL_BYTES: usize = 4096;
/// A call is whole by then, or its caller is let go: callers that connect and say nothing hold nothing up.
pub const CALL_TIMEOUT_MS: Millis = 1000.0;
/// Callers at once; beyond that the one that has waited longest is let go.
pub const MAX_CALLERS: usize = 16;
/// Bytes of a machine's name.
const MAX_NAME: usize = 256;

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Ready,
    /// Nothing more to this machine.
    Exclude(String),
    /// It may serve again.
    Include(String),
    /// Empty the router.
    Evacuate,
    /// Take clients again.
    Rejoin,
    /// What it has done so far, and holds now.
    Telemetry,
    /// Who else routes here: answered without the reducer.
    Fleet,
}

/// How a call is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Yes.
    Accepted,
    /// Not now: 503.
    Rejected,
    /// There is no such machine: 404.
    UnknownMachine,
    /// As many machines are out as may be: 503.
    TooManyExcluded,
    /// It could not be saved for the other process, so it doesn't hold here either: 500.
    NotSaved,
}

/// Why a call can't be taken, as an HTTP status and a reason (RFC 9110, section 15.5).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal(pub u16, pub &'static str);

/// Reads a call; `None`: it isn't whole yet.
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
        let good = !text.is_empty() && text.len() <= MAX_NAME && !text.contains(char::is_whitespace);
        good.then(|| text.to_owned()).ok_or(Refusal(400, "a machine's name is wanted in the body"))
    };
    let path = head.path.unwrap_or_default();
    let (wanted, call) = match path.split('?').next().unwrap_or_default() {
        "/api/ready" => ("GET", Ok(Call::Ready)),
        "/api/exclude" => ("POST", name().map(Call::Exclude)),
        "/api/include" => ("POST", name().map(Call::Include)),
        "/api/evacuate" => ("POST", Ok(Call::Evacuate)),
        "/api/rejoin" => ("POST", Ok(Call::Rejoin)),
        "/api/telemetry" => ("GET", Ok(Call::Telemetry)),
        "/api/fleet" => ("GET", Ok(Call::Fleet)),
        _ => return Err(Refusal(404, "there is no such call")),
    };
    if head.method != Some(wanted) {
        return Err(Refusal(405, "another method is wanted"));
    }
    call.map(Some)
}

/// An answer's bytes.
pub fn answer(verdict: Result<Verdict, Refusal>) -> Vec<u8> {
    let (status, words, reason) = match verdict {
        Ok(Verdict::Accepted) => (200, "OK", "yes"),
        Ok(Verdict::Rejected) => (503, "Service Unavailable", "no"),
        Ok(Verdict::UnknownMachine) => (404, "Not Found", "there is no such machine"),
        Ok(Verdict::TooManyExcluded) => (503, "Service Unavailable", "too many machines are out"),
        Ok(Verdict::NotSaved) => {
            (500, "Internal Server Error", "it could not be saved, and nothing is changed")
        }
        Err(Refusal(status, reason)) => (status, "Refused", reason),
    };
    page(status, words, "text/plain", reason)
}

/// The answer to [`Call::Telemetry`].
pub fn telemetry_answer(telemetry: &Telemetry) -> Vec<u8> {
    page(200, "OK", "application/json", &telemetry.json())
}

/// The answer to [`Call::Fleet`]: the picture, or none where another process of this router speaks; none at all where
/// the operator's file has no such section.
pub fn fleet_answer(view: Option<Option<crate::fleet::View>>) -> Vec<u8> {
    let text = match view {
        None => return page(404, "Not Found", "text/plain", "there is no (fleet …) in the operator's file"),
        Some(None) => "another process of this router speaks for it".to_owned(),
        Some(Some(view)) => match simd_json::to_string(&view) {
            Ok(text) => return page(200, "OK", "application/json", &text),
            Err(e) => e.to_string(),
        },
    };
    page(503, "Service Unavailable", "text/plain", &text)
}

fn page(status: u16, words: &str, kind: &str, text: &str) -> Vec<u8> {
    let head =
        format!("HTTP/1.1 {status} {words}\r\nContent-Type: {kind}\r\nContent-Length: {}", text.len() + 1);
    format!("{head}\r\nConnection: close\r\n\r\n{text}\n").into_bytes()
}

#[cfg(test)]
mod tests;
