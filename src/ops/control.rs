//! The other side of the calls: where they go to, what is written, and what an answer means. No I/O.

use super::Call;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Bytes of an answer, at most.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Where a router's operators call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpsAddress {
    /// Over TCP.
    Tcp(SocketAddr),
    /// Over a Unix socket.
    Unix(PathBuf),
}

impl std::str::FromStr for OpsAddress {
    type Err = String;

    /// An address and port, or the absolute path of a Unix socket.
    fn from_str(text: &str) -> Result<Self, String> {
        if text.starts_with('/') {
            return Ok(Self::Unix(PathBuf::from(text)));
        }
        text.parse()
            .map(Self::Tcp)
            .map_err(|_| format!("neither an address with its port nor an absolute path: {text}"))
    }
}

impl std::fmt::Display for OpsAddress {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Tcp(address) => write!(f, "{address}"),
            Self::Unix(path) => write!(f, "{}", path.display()),
        }
    }
}

/// The bytes of a call.
pub fn write(call: &Call) -> Vec<u8> {
    let (method, path, body) = match call {
        Call::Ready => ("GET", "ready", ""),
        Call::Telemetry => ("GET", "telemetry", ""),
        Call::Fleet => ("GET", "fleet", ""),
        Call::Exclude(name) => ("POST", "exclude", name.as_str()),
        Call::Include(name) => ("POST", "include", name.as_str()),
        Call::Evacuate => ("POST", "evacuate", ""),
        Call::Rejoin => ("POST", "rejoin", ""),
    };
    let length = body.len();
    format!("{method} /api/{path} HTTP/1.1\r\nHost: router\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Yes, with what was said beside it.
    Accepted(String),
    /// No: not now, or no such machine.
    Rejected(String),
    /// It could not be done, or the call was out of form.
    Failed(u16, String),
}

/// Reads a whole answer, as it stood when the router closed.
pub fn read(bytes: &[u8]) -> Result<Answer, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) => return Err("the answer broke off"),
        Err(_) => return Err("that is no answer of a router"),
    };
    let status = head.code.unwrap_or(0);
    let length = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length =
        length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse::<usize>().ok());
    let body = &bytes[start..];
    let whole = length.is_none_or(|length| body.len() >= length);
    let text =
        String::from_utf8_lossy(&body[..length.unwrap_or(body.len()).min(body.len())]).trim().to_owned();
    match status {
        _ if !whole => Err("the answer broke off"),
        200..=299 => Ok(Answer::Accepted(text)),
        404 | 503 => Ok(Answer::Rejected(text)),
        _ => Ok(Answer::Failed(status, text)),
    }
}

#[cfg(test)]
mod tests;
