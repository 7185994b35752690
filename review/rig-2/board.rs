//! A notice board: numbered events over HTTP/1.1 long polls. It can break off in the middle of an event and be down
//! for a while.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    /// The contents of the events, without their numbers: event N is at N - 1.
    events: Vec<String>,
    /// Down since its latest event was written half to whoever polled.
    down: bool,
}

pub struct Board {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
    stop: AtomicBool,
}

impl Board {
    /// Starts a board whose events so far are `events`.
    pub fn start(events: Vec<String>) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = Mutex::new(State { events, down: false });
        let board = Arc::new(Self { address, state, changed: Condvar::new(), stop: AtomicBool::new(false) });
        let own = board.clone();
        std::thread::spawn(move || own.accept(listener));
        Ok(board)
    }

    /// The form in which events are handed out, from number `from` + 1 on.
    pub fn json(&self, from: usize) -> String {
        json(&self.state.lock().unwrap().events, from)
    }

    /// Publishes an event.
    pub fn publish(&self, event: String) {
        self.state.lock().unwrap().events.push(event);
        self.changed.notify_all();
    }

    /// Publishes an event, breaks off in the middle of telling it, and refuses connections from then on.
    pub fn publish_and_break(&self, event: String) {
        let mut state = self.state.lock().unwrap();
        state.events.push(event);
        state.down = true;
        self.changed.notify_all();
    }

    /// Serves again.
    pub fn recover(&self) {
        self.state.lock().unwrap().down = false;
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut listener = Some(listener);
        while !self.stop.load(Ordering::Relaxed) {
            let down = self.state.lock().unwrap().down;
            if down {
                listener = None; // Connections are refused.
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                while let Ok((stream, _)) = listener.accept() {
                    let own = self.clone();
                    let _ = stream.set_nonblocking(false);
                    std::thread::spawn(move || own.serve(stream));
                }
            }
            crate::sleep_ms(2);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut input = Vec::new();
        let mut buffer = [0; 4096];
        loop {
            while !input.windows(4).any(|four| four == b"\r\n\r\n") {
                match stream.read(&mut buffer) {
                    Ok(0) | Err(_) => return,
                    Ok(bytes) => input.extend_from_slice(&buffer[..bytes]),
                }
            }
            let head = String::from_utf8_lossy(&input).into_owned();
            input.clear();
            let number = |name: &str| -> Option<usize> {
                let rest = head.split(name).nth(1)?;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
            };
            let (watch, linger) = (number("watch=").unwrap_or(0), number("linger=").unwrap_or(0).min(5000));
            let until = Instant::now() + Duration::from_millis(linger as u64);
            let mut state = self.state.lock().unwrap();
            while state.events.len() <= watch && !state.down {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                state = self.changed.wait_timeout(state, left).unwrap().0;
            }
            let (body, broken) = (json(&state.events, watch), state.down);
            drop(state);
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let whole = [head.as_bytes(), body.as_bytes()].concat();
            let sent = if broken { &whole[..whole.len() - body.len() / 2] } else { &whole[..] };
            if stream.write_all(sent).is_err() || broken {
                return; // The stream is closed.
            }
        }
    }
}

fn json(events: &[String], from: usize) -> String {
    let told: Vec<String> = events
        .iter()
        .enumerate()
        .skip(from)
        .map(|(at, event)| format!(r#"{{"rev":{},{event}}}"#, at + 1))
        .collect();
    format!(r#"{{"rev":{},"notices":[{}]}}"#, events.len(), told.join(","))
}

/// An entry of the list of machines.
pub fn endpoint(name: &str, address: SocketAddr, zone: &str, kind: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"{zone}","type":"{kind}","group":0,"status":"active","weight":40,"since_ms":0}}"#
    )
}

/// The event that holds the whole list of machines.
pub fn whole_list(endpoints: &[String]) -> String {
    format!(r#""pool":{{"index":1,"snapshot":true,"endpoints":[{}]}}"#, endpoints.join(","))
}
