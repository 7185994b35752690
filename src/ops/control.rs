//! The client side of the operators' interface: addresses, encoding of calls and parsing of answers, without
//! I/O.

use super::Call;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The maximum size of an answer in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// The address at which a router accepts calls of operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpsAddress {
    /// A TCP address.
    Tcp(SocketAddr),
    /// The path of a Unix socket.
    Unix(PathBuf),
}

impl std::str::FromStr for OpsAddress {
    type Err = String;

    /// Parses an address and port, or the absolute path of a Unix socket.
    fn from_str(text: &str) -> Result<Self, String> {
        if text.starts_with('/') {
            return Ok(Self::Unix(PathBuf::from(text)));
        }
        text.parse()
            .map(Self::Tcp)
            .map_err(|_| format!("neither an address and port nor an absolute path: {text}"))
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

/// Encodes a call.
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

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Done, or yes, with the body of the answer.
    Accepted(String),
    /// Not possible now, no, or no such machine, with the reason.
    Rejected(String),
    /// The call failed or is invalid, with the HTTP status and the reason.
    Failed(u16, String),
}

/// Parses a complete answer: all bytes that were received until the router closed the connection.
pub fn read(bytes: &[u8]) -> Result<Answer, &'static str> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes) {
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) => return Err("the answer is truncated"),
        Err(_) => return Err("the answer is not valid HTTP"),
    };
    let status = head.code.unwrap_or(0);
    let length = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length =
        length.and_then(|header| std::str::from_utf8(header.value).ok()?.trim().parse::<usize>().ok());
    let body = &bytes[start..];
    let complete = length.is_none_or(|length| body.len() >= length);
    let text =
        String::from_utf8_lossy(&body[..length.unwrap_or(body.len()).min(body.len())]).trim().to_owned();
    match status {
        _ if !complete => Err("the answer is truncated"),
        200..=299 => Ok(Answer::Accepted(text)),
        404 | 503 => Ok(Answer::Rejected(text)),
        _ => Ok(Answer::Failed(status, text)),
    }
}

#[cfg(test)]
mod tests;
