//! The stand-in notice board: numbered events over HTTP/1.1 long polls.

use crate::world::World;
use serde_json::{json, Value};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The events so far.
#[derive(Debug)]
pub struct Board {
    /// Where it is asked.
    pub address: SocketAddr,
    events: Mutex<Vec<Value>>,
    more: Condvar,
    world: Arc<World>,
}

impl Board {
    /// Starts one with the event of the start.
    pub fn start(world: &Arc<World>, first: Value) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let board = Arc::new(Self {
            address: listener.local_addr()?,
            events: Mutex::new(vec![numbered(1, first)]),
            more: Condvar::new(),
            world: world.clone(),
        });
        let asked = board.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let asked = asked.clone();
                thread::spawn(move || asked.serve(stream));
            }
        });
        Ok(board)
    }

    /// Tells an event, which counts as told from now on.
    pub fn tell(&self, event: Value) {
        let mut events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let rev = events.len() as u64 + 1;
        events.push(numbered(rev, event));
        self.more.notify_all();
    }

    /// What a config holds of it.
    pub fn known(&self) -> Value {
        let events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        json!({ "rev": events.len(), "notices": *events })
    }

    fn serve(&self, mut stream: TcpStream) {
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        let _ = stream.set_nodelay(true);
        while !self.world.over() {
            while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
                match stream.read(&mut buffer) {
                    Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&bytes).into_owned();
            bytes.clear();
            let number = |name: &str| {
                let after = head.split(name).nth(1).unwrap_or_default();
                let digits: String = after.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().unwrap_or(0)
            };
            let (watch, until) =
                (number("watch="), Instant::now() + Duration::from_millis(number("linger=")));
            let mut events = self.events.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            while events.len() as u64 <= watch && Instant::now() < until && !self.world.over() {
                let wait = until.saturating_duration_since(Instant::now()).min(Duration::from_millis(100));
                events = match self.more.wait_timeout(events, wait) {
                    Ok((events, _)) => events,
                    Err(_) => return,
                };
            }
            let new: Vec<&Value> = events.iter().skip(watch as usize).collect();
            let body = json!({ "rev": events.len(), "notices": new }).to_string();
            drop(events);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

fn numbered(rev: u64, mut event: Value) -> Value {
    event["rev"] = rev.into();
    event
}
