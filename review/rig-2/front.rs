//! A web server of the front: one FastCGI connection to a router, with several requests open on it.

use crate::fastcgi::{self, Decoder};
use crate::unix_ms;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::Duration;

/// A whole answer, or the end of the connection.
#[derive(Clone, Debug)]
pub enum Event {
    Answer(Answer),
    Closed(String),
}

#[derive(Clone, Debug)]
pub struct Answer {
    /// The FastCGI request id.
    pub id: u16,
    /// The CGI status; 0 if there is none, 503 if the protocol status is not 0.
    pub status: u16,
    pub body: Vec<u8>,
    /// The Unix time at which its end arrived.
    pub at: f64,
}

/// A connection to a router.
pub struct Front {
    pub stream: TcpStream,
    pub events: Receiver<Event>,
}

impl Front {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        Self::connect_reading(address, None)
    }

    /// Connects a client that reads at most so many bytes a second.
    pub fn connect_reading(address: SocketAddr, bytes_per_s: Option<usize>) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(3))?;
        stream.set_nodelay(true)?;
        let mut reader = stream.try_clone()?;
        let (sender, events) = channel();
        std::thread::spawn(move || {
            let (mut decoder, mut open) = (Decoder::default(), HashMap::<u16, Vec<u8>>::new());
            let mut buffer = vec![0; 64 * 1024];
            let why = loop {
                let most = bytes_per_s.map_or(buffer.len(), |rate| rate / 40);
                if bytes_per_s.is_some() {
                    crate::sleep_ms(25);
                }
                let bytes = match reader.read(&mut buffer[..most]) {
                    Ok(0) => break "closed by the router".to_owned(),
                    Ok(bytes) => bytes,
                    Err(e) => break e.to_string(),
                };
                decoder.feed(&buffer[..bytes]);
                while let Some((kind, id, content)) = decoder.next() {
                    match kind {
                        fastcgi::STDOUT => open.entry(id).or_default().extend_from_slice(&content),
                        fastcgi::END => {
                            let text = open.remove(&id).unwrap_or_default();
                            let answer = parse(id, &text, content.get(4).copied());
                            let _ = sender.send(Event::Answer(answer));
                        }
                        _ => {}
                    }
                }
            };
            let _ = sender.send(Event::Closed(why));
        });
        Ok(Self { stream, events })
    }

    pub fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends one request in one write and waits for its answer.
    pub fn ask(
        &mut self,
        id: u16,
        params: &[(&str, String)],
        body: &[u8],
        wait: Duration,
    ) -> Result<Answer, String> {
        let bytes = fastcgi::request(id, params, body, 16_000).concat();
        self.write(&bytes).map_err(|e| format!("cannot write: {e}"))?;
        let until = std::time::Instant::now() + wait;
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            match self.events.recv_timeout(left) {
                Ok(Event::Answer(answer)) if answer.id == id => return Ok(answer),
                Ok(Event::Answer(_)) => {}
                Ok(Event::Closed(why)) => return Err(why),
                Err(_) => return Err("no answer in time".to_owned()),
            }
        }
    }
}

/// Parses an answer. A protocol status other than 0 (OVERLOADED above all) comes as the status 503.
fn parse(id: u16, text: &[u8], protocol_status: Option<u8>) -> Answer {
    let end = text.windows(4).position(|four| four == b"\r\n\r\n");
    let head = String::from_utf8_lossy(&text[..end.unwrap_or(text.len())]).into_owned();
    let status = head.lines().find_map(|line| line.strip_prefix("Status: ")?.get(..3)?.parse().ok());
    let body = end.map_or(Vec::new(), |end| text[end + 4..].to_vec());
    let status = if protocol_status == Some(0) { status.unwrap_or(0) } else { 503 };
    Answer { id, status, body, at: unix_ms() }
}

/// The parameters of a request of a class.
pub fn params(
    class: &str,
    request_id: &str,
    timeout_ms: u64,
    object: &str,
    tag: u8,
    body: usize,
) -> Vec<(&'static str, String)> {
    let mut all = vec![
        ("SCRIPT_NAME", format!("/ops/{class}")),
        ("REQUEST_METHOD", if body > 0 { "POST" } else { "GET" }.to_owned()),
        ("HTTP_X_REQUEST_ID", request_id.to_owned()),
        ("HTTP_X_TIMEOUT_MS", timeout_ms.to_string()),
        ("HTTP_X_OBJECT", object.to_owned()),
        ("HTTP_X_CHUNK", "0".to_owned()),
        ("HTTP_X_TAG", tag.to_string()),
        ("HTTP_X_MEMORY_KB", "40.0".to_owned()),
    ];
    if body > 0 {
        all.push(("CONTENT_LENGTH", body.to_string()));
    }
    all
}

/// Asks for `/alive`; returns whether the answer is 200.
pub fn is_alive(address: SocketAddr) -> bool {
    let Ok(mut front) = Front::connect(address) else { return false };
    let params = [("SCRIPT_NAME", "/alive".to_owned())];
    front.ask(1, &params, b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200)
}
