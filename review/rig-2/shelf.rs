//! Shelves, parents and the origin: RESP servers with copies of objects. The origin's state is shared by all.

use crate::{unix_ms, Record};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// A copy of an object.
#[derive(Clone, Copy, Debug)]
struct Copy {
    version: u32,
    /// The Unix millisecond at which the origin gave it out.
    stamp: f64,
    /// When the shelf drops it by itself, if a purge has reached the shelf.
    drop_at: f64,
}

/// A request that ran at a shelf or the origin.
#[derive(Clone, Debug)]
pub struct Run {
    /// When its whole frame was read, in Unix milliseconds.
    pub at: f64,
    pub shelf: String,
    pub id: String,
    pub object: String,
    /// When the origin gave out the copy that was answered.
    pub stamp: f64,
    pub sent: Sent,
}

/// Where the last byte of a request was when the shelf went on after its latest hang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// At the shelf's machine, or read before.
    Arrived,
    /// At the router's machine, written by the router to its socket.
    Written,
    /// Not written by the router, which has done so since.
    Later,
}

/// What all shelves share.
pub struct World {
    pub record: Record,
    /// Each object's version at the origin.
    versions: Mutex<HashMap<String, u32>>,
    pub runs: Mutex<Vec<Run>>,
    /// The classes that run at the origin and leave no copy.
    pub uncached: Vec<&'static str>,
    shelves: Mutex<Vec<Arc<Shelf>>>,
    /// The shelves' connections are like those of machines behind an Ethernet: a segment of 1,460 bytes, and a
    /// receive buffer of 16 KB.
    ethernet: bool,
    /// For how long a request that is repeated is discarded, counted from its first run; 0: it is not.
    pub dedup_ms: f64,
    /// When each request of a class that leaves no copy first ran.
    first_runs: Mutex<HashMap<String, f64>>,
}

impl World {
    pub fn new(record: Record, uncached: Vec<&'static str>) -> Arc<Self> {
        Self::with(record, uncached, false, 0.0)
    }

    pub fn with(record: Record, uncached: Vec<&'static str>, ethernet: bool, dedup_ms: f64) -> Arc<Self> {
        Arc::new(Self {
            record,
            versions: Mutex::default(),
            runs: Mutex::default(),
            uncached,
            shelves: Mutex::default(),
            ethernet,
            dedup_ms,
            first_runs: Mutex::default(),
        })
    }

    fn version(&self, object: &str) -> u32 {
        *self.versions.lock().unwrap().entry(object.to_owned()).or_insert(1)
    }

    /// Changes an object at the origin; each shelf drops its older copy `drop_after_ms` later.
    pub fn purge(&self, object: &str, drop_after_ms: f64) {
        *self.versions.lock().unwrap().entry(object.to_owned()).or_insert(1) += 1;
        for shelf in self.shelves.lock().unwrap().iter() {
            if let Some(copy) = shelf.copies.lock().unwrap().get_mut(object) {
                copy.drop_at = unix_ms() + drop_after_ms;
            }
        }
    }
}

pub struct Shelf {
    pub name: String,
    pub address: SocketAddr,
    /// While set, the process hangs: it reads nothing and answers nothing, and its connections stay open.
    pub hangs: AtomicBool,
    copies: Mutex<HashMap<String, Copy>>,
    world: Arc<World>,
}

impl Shelf {
    pub fn start(world: &Arc<World>, name: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        if world.ethernet {
            set_option(&listener, IPPROTO_TCP, TCP_MAXSEG, 1460)?;
            set_option(&listener, SOL_SOCKET, SO_RCVBUF, 16 * 1024)?;
        }
        let (hangs, copies) = (AtomicBool::new(false), Mutex::default());
        let shelf = Arc::new(Self { name: name.to_owned(), address, hangs, copies, world: world.clone() });
        world.shelves.lock().unwrap().push(shelf.clone());
        let own = shelf.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        Ok(shelf)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut input = Input {
            reader: BufReader::new(stream),
            hangs: &self.hangs,
            consumed: 0,
            arrived: usize::MAX,
            written: usize::MAX,
        };
        while let Some(parts) = input.read_frame() {
            let word = String::from_utf8_lossy(&parts[0]).into_owned();
            let answer = match (word.as_str(), parts.len()) {
                ("REQ", 4) => self.answer(&parts, input.sent()),
                ("HELO" | "STAT", 2) => frame(&[&parts[1], b"FIT", b"-", b""]),
                _ => continue, // STOP: whatever it names is answered already.
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Runs a request.
    fn answer(&self, parts: &[Vec<u8>], sent: Sent) -> Vec<u8> {
        let text = |at: usize| String::from_utf8_lossy(&parts[at]).into_owned();
        let (id, fields) = (text(1), text(2));
        let field = |name: &str| -> Option<String> {
            let mut pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
            pairs.find(|(given, _)| *given == name).map(|(_, value)| value.to_owned())
        };
        let (class, object) = (field("cls").unwrap_or_default(), field("item").unwrap_or_default());
        let now = unix_ms();
        let run = |stamp: f64| Run {
            at: now,
            shelf: self.name.clone(),
            id: id.clone(),
            object: object.clone(),
            stamp,
            sent,
        };
        if self.world.uncached.contains(&class.as_str()) {
            let first = *self.world.first_runs.lock().unwrap().entry(id.clone()).or_insert(now);
            let discarded = now > first && now - first <= self.world.dedup_ms;
            if discarded {
                self.world.record.line(format!(
                    "{} discards {id}, which ran {:.0} ms ago",
                    self.name,
                    now - first
                ));
            } else {
                self.world.runs.lock().unwrap().push(run(now));
                let again = if now > first {
                    format!(" AGAIN, {:.0} ms after its first run", now - first)
                } else {
                    String::new()
                };
                self.world.record.line(format!(
                    "{} runs {id} {class} with {} bytes{again}{}",
                    self.name,
                    parts[3].len(),
                    match sent {
                        Sent::Arrived => "",
                        Sent::Written => "; it arrived whole after the hang",
                        Sent::Later => "; the router wrote its last byte after the hang",
                    }
                ));
            }
            let fields = format!("version=0,stamp={now:.0},tell=fetched_root,took=1");
            return frame(&[id.as_bytes(), b"DONE", fields.as_bytes(), format!("done {id}").as_bytes()]);
        }
        let newer = field("newer").and_then(|ms| ms.parse::<f64>().ok()).filter(|ms| *ms > 0.0);
        let mut copies = self.copies.lock().unwrap();
        let held = copies.get(&object).copied().filter(|copy| {
            now < copy.drop_at && newer.is_none_or(|newest| now - copy.stamp.floor() <= newest)
        });
        let (copy, tell) = match held {
            Some(copy) => (copy, "cached"),
            None => {
                let version = self.world.version(&object);
                (Copy { version, stamp: now, drop_at: f64::INFINITY }, "fetched")
            }
        };
        if field("retain").is_some_and(|rank| rank != "0") || copies.contains_key(&object) {
            copies.insert(object.clone(), copy);
        }
        drop(copies);
        let age = now - copy.stamp;
        self.world.runs.lock().unwrap().push(run(copy.stamp));
        self.world.record.line(format!(
            "{} answers {id} {object} with version {} ({tell}, {age:.0} ms old; newer={})",
            self.name,
            copy.version,
            newer.map_or("-".to_owned(), |ms| ms.to_string())
        ));
        let fields = format!("version={:016x},stamp={:.0},tell={tell},took=1", copy.version, copy.stamp);
        let mut body = format!("{object} version {}", copy.version);
        // Objects whose names begin with `b` have nearly the most bytes.
        if object.starts_with('b') {
            body.push_str(&"x".repeat(239_000));
        }
        frame(&[id.as_bytes(), b"DONE", fields.as_bytes(), body.as_bytes()])
    }
}

/// What a shelf receives on one connection.
struct Input<'a> {
    reader: BufReader<TcpStream>,
    hangs: &'a AtomicBool,
    /// Bytes read since the end of the latest hang.
    consumed: usize,
    /// Bytes that had arrived by then, and these with those that the router had written.
    arrived: usize,
    written: usize,
}

impl Input<'_> {
    /// Where the last byte of the frame just read was.
    fn sent(&self) -> Sent {
        match self.consumed {
            consumed if consumed <= self.arrived => Sent::Arrived,
            consumed if consumed <= self.written => Sent::Written,
            _ => Sent::Later,
        }
    }

    /// Reads one array of bulk strings; `None` at the end of the stream or if it can't be read.
    fn read_frame(&mut self) -> Option<Vec<Vec<u8>>> {
        self.wait()?;
        let count = self.read_number('*')?;
        let mut parts = Vec::new();
        for _ in 0..count {
            let mut part = vec![0; self.read_number('$')? + 2];
            self.reader.read_exact(&mut part).ok()?;
            self.consumed += part.len();
            part.truncate(part.len() - 2);
            parts.push(part);
        }
        (!parts.is_empty()).then_some(parts)
    }

    /// Waits until something has arrived and the shelf does not hang. A hanging shelf reads nothing.
    fn wait(&mut self) -> Option<()> {
        while self.reader.buffer().is_empty() {
            if self.hangs.load(Ordering::Relaxed) {
                while self.hangs.load(Ordering::Relaxed) {
                    crate::sleep_ms(1);
                }
                let mut bytes = 0_i32;
                unsafe { ioctl(self.reader.get_ref().as_raw_fd(), FIONREAD, &mut bytes) };
                (self.consumed, self.arrived) = (0, bytes as usize);
                // Without the table the router is given the benefit of the doubt.
                let unsent = unsent_by_peer(self.reader.get_ref());
                self.written = unsent.map_or(usize::MAX, |unsent| self.arrived + unsent);
            }
            let stream = self.reader.get_ref();
            stream.set_read_timeout(Some(std::time::Duration::from_millis(10))).ok()?;
            let peeked = stream.peek(&mut [0]);
            stream.set_read_timeout(None).ok()?;
            match peeked {
                Ok(0) => return None,
                Ok(_) if self.hangs.load(Ordering::Relaxed) => {}
                Ok(_) => return Some(()),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return None,
            }
        }
        Some(())
    }

    fn read_number(&mut self, prefix: char) -> Option<usize> {
        let mut line = String::new();
        self.consumed += self.reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
        line.trim_end().strip_prefix(prefix)?.parse().ok()
    }
}

const FIONREAD: u64 = 0x541b;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
extern "C" {
    fn ioctl(file: i32, request: u64, ...) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets an option of the stand-in's own sockets.
fn set_option(listener: &TcpListener, level: i32, name: i32, value: i32) -> std::io::Result<()> {
    match unsafe { setsockopt(listener.as_raw_fd(), level, name, &value, 4) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// Returns how many bytes the system holds at the other end of a loopback connection, not yet received here
/// (proc(5), `tx_queue`). None if the other end is not found.
fn unsent_by_peer(stream: &TcpStream) -> Option<usize> {
    let form = |address: SocketAddr| match address {
        SocketAddr::V4(v4) => Some(format!("{:08X}:{:04X}", u32::from_ne_bytes(v4.ip().octets()), v4.port())),
        SocketAddr::V6(_) => None,
    };
    let (own, peer) = (form(stream.local_addr().ok()?)?, form(stream.peer_addr().ok()?)?);
    let table = std::fs::read_to_string("/proc/net/tcp").ok()?;
    table.lines().find_map(|line| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        let [_, local, remote, _, queues, ..] = columns[..] else { return None };
        let unsent = queues.split(':').next()?;
        (local == peer && remote == own).then(|| usize::from_str_radix(unsent, 16).ok())?
    })
}

fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}
