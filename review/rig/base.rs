//! What all cases share: the record, the notice board, the shelfs, a client of the front, and the router as a
//! process. Standard library only; all addresses are loopback addresses with ports that the system picks.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of a run: a line an event, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {}", self.now(), text.as_ref());
    }
}

/// The notice board: numbered events over HTTP/1.1 long polls.
pub struct Board {
    pub address: SocketAddr,
    events: Mutex<Vec<String>>,
    more: Condvar,
    /// How long it takes to serve a call, in milliseconds, beside the wait that the call asks for.
    pub slowness_ms: AtomicU64,
    record: Record,
}

impl Board {
    pub fn start(record: &Record, first: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let board = Arc::new(Self {
            address: listener.local_addr()?,
            events: Mutex::new(Vec::new()),
            more: Condvar::new(),
            slowness_ms: AtomicU64::new(0),
            record: record.clone(),
        });
        board.publish(first);
        let service = board.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        Ok(board)
    }

    /// Adds an event; `content` is what stands behind its number.
    pub fn publish(&self, content: &str) {
        let mut events = self.events.lock().unwrap();
        let rev = events.len() + 1;
        events.push(format!("{{\"rev\":{rev},{content}}}"));
        self.record.line(format!("board event {rev}: {content}"));
        self.more.notify_all();
    }

    /// All events, in the form that the configuration has them.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        format!("{{\"rev\":{},\"notices\":[{}]}}", events.len(), events.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut bytes, mut buffer) = (Vec::new(), [0; 4096]);
        loop {
            while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
                match stream.read(&mut buffer) {
                    Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                    _ => return,
                }
            }
            let head = String::from_utf8_lossy(&bytes).into_owned();
            bytes.clear();
            let number = |name: &str| -> u64 {
                let after = head.split(name).nth(1).unwrap_or_default();
                after.chars().take_while(char::is_ascii_digit).collect::<String>().parse().unwrap_or(0)
            };
            let (watch, linger) = (number("watch=") as usize, number("linger=").min(5000));
            let until = Instant::now() + Duration::from_millis(linger);
            let mut events = self.events.lock().unwrap();
            while events.len() <= watch && Instant::now() < until {
                let wait = until.saturating_duration_since(Instant::now());
                events = self.more.wait_timeout(events, wait).unwrap().0;
            }
            let new: Vec<String> = events.iter().skip(watch).cloned().collect();
            let body = format!("{{\"rev\":{},\"notices\":[{}]}}", events.len(), new.join(","));
            let rev = events.len();
            drop(events);
            sleep_ms(self.slowness_ms.load(Ordering::SeqCst));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let written = stream.write_all(answer.as_bytes()).is_ok();
            // A caller that has closed meanwhile has had no answer.
            let gone = matches!(stream.set_nonblocking(true).and_then(|()| stream.peek(&mut buffer)), Ok(0));
            let _ = stream.set_nonblocking(false);
            if rev > watch || gone || !written {
                self.record.line(format!(
                    "board: call watch={watch} linger={linger} answered up to {rev}, the caller had gone: {}",
                    gone || !written
                ));
            }
            if gone || !written {
                return;
            }
        }
    }
}

/// A list entry of the notice board.
pub fn entry(shelf: &Shelf, status: &str, since_ms: f64) -> String {
    format!(
        "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"type\":\"{}\",\"group\":{},\"status\":\"{status}\",\"weight\":{},\"since_ms\":{since_ms:.0}}}",
        shelf.name, shelf.address, shelf.zone, shelf.kind, shelf.group, shelf.weight
    )
}

pub fn pool(snapshot: bool, entries: &[String]) -> String {
    format!("\"pool\":{{\"index\":1,\"snapshot\":{snapshot},\"endpoints\":[{}]}}", entries.join(","))
}

/// A request as it arrived whole at a shelf.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub shelf: String,
    pub at: f64,
    pub id: String,
    pub class: String,
    pub fields: String,
}

/// What a shelf does with a request.
pub enum Doing {
    /// Answers after this time with a body of so many bytes.
    Serve { after_ms: u64, bytes: usize },
    /// The same, written in pieces of so many bytes, one every so many milliseconds.
    Pieces { after_ms: u64, bytes: usize, piece: usize, every_ms: u64 },
    /// Never answers.
    Silent,
}

type Behaviour = dyn Fn(&Arrival) -> Doing + Send + Sync;

/// A shelf, a parent or the origin. It answers each request by itself, so that answers come in any order.
pub struct Shelf {
    pub name: String,
    pub address: SocketAddr,
    pub kind: &'static str,
    pub zone: &'static str,
    pub group: u64,
    pub weight: f64,
    pub arrivals: Mutex<Vec<Arrival>>,
    record: Record,
    behaviour: Box<Behaviour>,
}

/// The byte at a place of an object's body, so that a client can tell that the body is whole and its own.
pub fn body_of(item: &str, bytes: usize) -> Vec<u8> {
    let seed = item.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    (0..bytes as u32).map(|at| (seed.wrapping_add(at.wrapping_mul(2_654_435_761)) >> 11) as u8).collect()
}

fn bulk(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}

pub fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .filter_map(|pair| pair.split_once('='))
        .find(|(given, _)| *given == name)
        .map(|(_, v)| v)
}

/// Takes one array of bulk strings off the front of `bytes`.
fn take_frame(bytes: &mut Vec<u8>) -> Option<Vec<Vec<u8>>> {
    fn line(bytes: &[u8], from: usize) -> Option<(usize, usize)> {
        let end = from + bytes[from..].windows(2).position(|two| two == b"\r\n")?;
        let number = std::str::from_utf8(&bytes[from + 1..end]).ok()?.parse().ok()?;
        Some((number, end + 2))
    }
    let (count, mut at) = line(bytes, 0)?;
    let mut parts = Vec::new();
    for _ in 0..count {
        if at >= bytes.len() {
            return None;
        }
        let (length, from) = line(bytes, at)?;
        parts.push(bytes.get(from..from + length)?.to_vec());
        at = from + length + 2;
    }
    if bytes.len() < at {
        return None;
    }
    bytes.drain(..at);
    Some(parts)
}

impl Shelf {
    pub fn start(
        record: &Record,
        name: &str,
        kind: &'static str,
        zone: &'static str,
        weight: f64,
        behaviour: Box<Behaviour>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shelf = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr()?,
            kind,
            zone,
            group: 1,
            weight,
            arrivals: Mutex::default(),
            record: record.clone(),
            behaviour,
        });
        let service = shelf.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(stream));
            }
        });
        Ok(shelf)
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let (mut bytes, mut buffer) = (Vec::new(), vec![0; 64 * 1024]);
        loop {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => bytes.extend_from_slice(&buffer[..count]),
                _ => return,
            }
            while let Some(parts) = take_frame(&mut bytes) {
                let text =
                    |at: usize| String::from_utf8_lossy(parts.get(at).map_or(&b""[..], |p| p)).into_owned();
                match text(0).as_str() {
                    "HELO" | "STAT" => {
                        let fields = format!("name={}", self.name);
                        let answer = bulk(&[parts[1].as_slice(), b"FIT", fields.as_bytes(), b""]);
                        let _ = writer.lock().unwrap().write_all(&answer);
                    }
                    "REQ" => self.request(text(1), text(2), &writer),
                    "STOP" => self.record.line(format!("{} STOP {}", self.name, text(1))),
                    _ => return,
                }
            }
        }
    }

    fn request(self: &Arc<Self>, id: String, fields: String, writer: &Arc<Mutex<TcpStream>>) {
        let class = field(&fields, "cls").unwrap_or_default().to_owned();
        let arrival = Arrival { shelf: self.name.clone(), at: self.record.now(), id, class, fields };
        self.record.line(format!("{} REQ {} {}", self.name, arrival.id, arrival.fields));
        self.arrivals.lock().unwrap().push(arrival.clone());
        let (after_ms, bytes, piece, every_ms) = match (self.behaviour)(&arrival) {
            Doing::Serve { after_ms, bytes } => (after_ms, bytes, usize::MAX, 0),
            Doing::Pieces { after_ms, bytes, piece, every_ms } => (after_ms, bytes, piece, every_ms),
            Doing::Silent => return,
        };
        let (shelf, writer) = (self.clone(), writer.clone());
        thread::spawn(move || {
            sleep_ms(after_ms);
            let item = field(&arrival.fields, "item").unwrap_or(&arrival.id);
            let body = body_of(item, bytes);
            let told = if field(&arrival.fields, "fetch").is_some() { "fetched" } else { "cached" };
            let fields = format!("tell={told},version=v{item},stamp={:.0},took=1", unix_ms());
            let answer = bulk(&[arrival.id.as_bytes(), b"DONE", fields.as_bytes(), &body]);
            let mut stream = writer.lock().unwrap();
            let written = answer.chunks(piece).enumerate().all(|(at, part)| {
                if at > 0 {
                    sleep_ms(every_ms);
                }
                stream.write_all(part).is_ok()
            });
            drop(stream);
            shelf.record.line(format!("{} DONE {} bytes={bytes} written={written}", shelf.name, arrival.id));
        });
    }
}

/// The settings of a small deployment, as the wire page's example has them. `classes` are the objects of
/// `RequestClasses`.
pub fn settings(zone: &str, instances: usize, classes: &str, uncached: &str) -> String {
    format!(
        r#"{{"Accounts":[],"Az":"{zone}","ClientHabits":{{"MarksRetry":true}},"Discovery":"push","Family":"edge",
"FamilyInfo":{{"BypassAllowed":true,"Detail":"all","GoneEverywhereMs":6000.0,"GoodForMs":[0.0,0.0,0.0],"InPieces":[false,false,false],
"InstancesByZone":[0,0,{instances}],"Joins":false,"LinkInKbPerS":[0.0,0.0,0.0],"LinkPrice":0.02,"MasterKind":2,"NoticeTimeMs":1000.0,
"OneFlowKbPerS":9500.0,"OriginBearsMs":3000.0,"OriginStopsAt":2.5,"ParentColdFrom":0.064,"SecondTierKind":1,"Sideways":"any",
"StaleEarns":[0.7,0.7,0.7],"StaleForMs":[0.0,0.0,0.0],"Uncached":{uncached},"UpperColdMs":21000.0,"UpperFallMultiple":2.0,"ZoneHub":[0,1,0]}},
"Guarantees":{{"AskWithinMs":10000.0,"ColdFrom":0.17,"ColdMs":16000.0,"FallMultiple":2.5,"GraceToAnswerMs":8.0,"OverloadForMs":3000.0,"StopSendingWithinMs":1000.0}},
"Instances":{instances},"Layer":0,
"Limits":{{"Cancelling":true,"ConnIdleMs":30000.0,"CpuUsPerRequest":0.0,"CpuUsPerS":608023,"DialTimeoutMs":400.0,"MaxOpen":24320,"MaxRetryAfterMs":1000.0,
"MayTell":false,"MostTries":6,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100}},
"Localities":["east-hub","west-hub","edge-1"],"MachineTypes":["standard","parent","origin"],"Me":0,"OverShareWorth":0.1,
"RequestClasses":[{classes}],"Stats":{{"Fields":["util","x1"],"Source":"pull"}},"TickMs":2.0,"Tiers":["edge-caches"],"Weights":"rough","WorthBy":"request"}}"#
    )
}

pub const CLASSES: &str = r#"
{"Name":"training-video","AimMs":400.0,"AimStretch":1.6,"DedupScope":"all","DedupWindowMs":5000.0,"HardLimitMs":5000.0,"LateWorth":0.15,"Repeat":"retryable","Stream":false,"Worth":2.0},
{"Name":"rota-page","AimMs":250.0,"AimStretch":2.0,"DedupScope":"all","DedupWindowMs":5000.0,"HardLimitMs":3000.0,"LateWorth":0.2,"Repeat":"retryable","Stream":false,"Worth":1.0},
{"Name":"shift-swap","AimMs":700.0,"DedupScope":"all","DedupWindowMs":5000.0,"HardLimitMs":3000.0,"LateWorth":0.0,"Repeat":"fragile","Stream":false,"Worth":3.0}"#;

/// The folder of a run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{}-{:.0}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A router as a process, started with the `run` line of the deploy file. Killed when it is dropped.
pub struct Router {
    pub child: Child,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub log: PathBuf,
}

/// A loopback port that is free now.
pub fn free_port() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

fn run_line() -> Option<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text.lines().find(|line| line.starts_with("run ="))?;
    Some(line.split('"').nth(1)?.to_owned())
}

pub struct Start<'a> {
    pub name: &'a str,
    pub folder: &'a Path,
    pub board: &'a Board,
    pub settings: &'a str,
    pub listen: SocketAddr,
    pub memory_mb: u64,
    pub sockets: u64,
    pub seed: u64,
}

impl Router {
    /// Starts a router at a free address and waits until it is alive. Another program may take the port that
    /// was free, so that this is tried three times.
    pub fn start_alive(record: &Record, start: &mut Start) -> Result<Self, Box<dyn std::error::Error>> {
        for _ in 0..3 {
            start.listen = free_port()?;
            let router = Self::start(record, start)?;
            if router.wait_alive(10_000) {
                return Ok(router);
            }
        }
        Err("the router is not alive".into())
    }

    pub fn start(record: &Record, start: &Start) -> std::io::Result<Self> {
        let ops = free_port()?;
        let config = start.folder.join(format!("{}.json", start.name));
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"{:016x}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"board\":\"{}\",\"ops\":\"{ops}\",\"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{},\"settings\":{}}}",
            start.name, start.listen, start.seed, start.memory_mb, start.sockets, start.board.address, start.board.known(), start.settings
        );
        std::fs::write(&config, text)?;
        let (log, temporary) = (start.folder.join(format!("{}.log", start.name)), start.folder.join("tmp"));
        std::fs::create_dir_all(&temporary)?;
        let run = run_line().ok_or(ErrorKind::NotFound)?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("PROXY_CONFIG", &config)
            .env("PROXY_NAME", start.name)
            .env("PROXY_LISTEN", start.listen.to_string())
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        record.line(format!("router {} started: {run}", start.name));
        Ok(Self { child, listen: start.listen, ops, log })
    }

    /// Waits until `/alive` is answered with 200.
    pub fn wait_alive(&self, within_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < until {
            if alive(self.listen) {
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn signal(&self, record: &Record, name: &str) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {}", self.child.id())]).status();
        record.line(format!("signal {name} to the router"));
    }

    /// An operator's call; its HTTP status.
    pub fn call(&self, record: &Record, method: &str, path: &str, body: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.ops).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        let call = format!(
            "{method} {path} HTTP/1.1\r\nHost: router\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(call.as_bytes()).ok()?;
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
        record.line(format!("operator: {method} {path} {body} -> {status:?}"));
        status
    }

    /// Anonymous memory of the process in KB, as the system reports it.
    pub fn anonymous_kb(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// FastCGI records of one request.
pub fn record_bytes(kind: u8, request: u16, content: &[u8]) -> Vec<u8> {
    let padding = (8 - content.len() % 8) % 8;
    let [id_high, id_low] = request.to_be_bytes();
    let [high, low] = (content.len() as u16).to_be_bytes();
    let mut out = vec![1, kind, id_high, id_low, high, low, padding as u8, 0];
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
    out
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub timeout_ms: u64,
    pub object: Option<String>,
    pub tag: u64,
    pub memory_kb: f64,
    pub retry: bool,
    pub key: Option<String>,
    pub body: Vec<u8>,
}

pub fn request_bytes(number: u16, request: &Request) -> Vec<u8> {
    let mut params = Vec::new();
    let mut pair = |name: &str, value: &str| {
        params.extend([name.len() as u8, value.len() as u8]);
        params.extend_from_slice(name.as_bytes());
        params.extend_from_slice(value.as_bytes());
    };
    pair("SCRIPT_NAME", &format!("/ops/{}", request.class));
    pair("REQUEST_METHOD", if request.body.is_empty() { "GET" } else { "POST" });
    pair("HTTP_X_REQUEST_ID", &request.id);
    pair("HTTP_X_TIMEOUT_MS", &request.timeout_ms.to_string());
    if let Some(object) = &request.object {
        pair("HTTP_X_OBJECT", object);
        pair("HTTP_X_CHUNK", "0");
        pair("HTTP_X_TAG", &request.tag.to_string());
    }
    pair("HTTP_X_MEMORY_KB", &format!("{}", request.memory_kb));
    if request.retry {
        pair("HTTP_X_RETRY", "1");
    }
    if let Some(key) = &request.key {
        pair("HTTP_IDEMPOTENCY_KEY", key);
    }
    if !request.body.is_empty() {
        pair("CONTENT_LENGTH", &request.body.len().to_string());
    }
    let mut out = record_bytes(1, number, &[0, 1, 1, 0, 0, 0, 0, 0]);
    out.extend(record_bytes(4, number, &params));
    out.extend(record_bytes(4, number, b""));
    for piece in request.body.chunks(32_000) {
        out.extend(record_bytes(5, number, piece));
    }
    out.extend(record_bytes(5, number, b""));
    out
}

fn alive(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_millis(500)) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let mut out = record_bytes(1, 1, &[0, 1, 0, 0, 0, 0, 0, 0]);
    out.extend(record_bytes(4, 1, b"\x0b\x06SCRIPT_NAME/alive"));
    out.extend(record_bytes(4, 1, b""));
    out.extend(record_bytes(5, 1, b""));
    if stream.write_all(&out).is_err() {
        return false;
    }
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    answer.windows(11).any(|at| at == b"Status: 200")
}

/// A whole answer, or how far one came.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub sent_at: f64,
    pub ended_at: Option<f64>,
    pub status: u16,
    pub overloaded: bool,
    pub received: usize,
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Seen {
    /// By FastCGI number: the request, and what came.
    open: BTreeMap<u16, (Request, Vec<u8>, f64)>,
    answers: BTreeMap<String, Answer>,
    closed_at: Option<(f64, String)>,
}

/// A connection of a web server.
pub struct Client {
    stream: TcpStream,
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    next: AtomicU64,
    record: Record,
    name: String,
}

impl Client {
    /// Connects. With `bytes_per_ms` the client reads no faster than that.
    pub fn connect(
        record: &Record,
        name: &str,
        to: SocketAddr,
        bytes_per_ms: Option<usize>,
    ) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let (seen, stop) = (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicBool::new(false)));
        let reader = stream.try_clone()?;
        reader.set_read_timeout(Some(Duration::from_millis(50)))?;
        let client = Self {
            stream,
            seen: seen.clone(),
            stop: stop.clone(),
            next: AtomicU64::new(0),
            record: record.clone(),
            name: name.to_owned(),
        };
        let (record, name) = (record.clone(), name.to_owned());
        thread::spawn(move || read_answers(reader, &seen, &stop, &record, &name, bytes_per_ms));
        Ok(client)
    }

    /// Writes a request; false if the connection has ended.
    pub fn send(&self, request: &Request) -> bool {
        let number = (self.next.fetch_add(1, Ordering::SeqCst) % 65_000 + 1) as u16;
        let at = self.record.now();
        {
            let mut seen = self.seen.lock().unwrap();
            if seen.closed_at.is_some() {
                self.record
                    .line(format!("{}: connection has ended, {} is not sent on it", self.name, request.id));
                return false;
            }
            seen.open.insert(number, (request.clone(), Vec::new(), at));
            seen.answers.insert(request.id.clone(), Answer { sent_at: at, ..Answer::default() });
        }
        let written = (&self.stream).write_all(&request_bytes(number, request));
        self.record.line(format!(
            "{}: sent {} {} timeout={} number={number} written={}",
            self.name,
            request.id,
            request.class,
            request.timeout_ms,
            written.is_ok()
        ));
        true
    }

    pub fn write_raw(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    pub fn answers(&self) -> BTreeMap<String, Answer> {
        self.seen.lock().unwrap().answers.clone()
    }

    pub fn closed_at(&self) -> Option<(f64, String)> {
        self.seen.lock().unwrap().closed_at.clone()
    }

    pub fn all_answered(&self) -> bool {
        self.seen.lock().unwrap().answers.values().all(|answer| answer.ended_at.is_some())
    }

    /// Waits until all is answered or the connection has ended.
    pub fn wait(&self, within_ms: u64) {
        let until = Instant::now() + Duration::from_millis(within_ms);
        while Instant::now() < until && !self.all_answered() && self.closed_at().is_none() {
            sleep_ms(10);
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn read_answers(
    mut stream: TcpStream,
    seen: &Mutex<Seen>,
    stop: &AtomicBool,
    record: &Record,
    name: &str,
    bytes_per_ms: Option<usize>,
) {
    let (mut bytes, mut buffer) = (Vec::new(), vec![0; bytes_per_ms.map_or(64 * 1024, |rate| rate * 10)]);
    let (start, mut total) = (Instant::now(), 0usize);
    let mut paid_until = 0.0;
    loop {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let count = match stream.read(&mut buffer) {
            Ok(0) => {
                record.line(format!("{name}: end of the connection after {total} bytes"));
                seen.lock().unwrap().closed_at = Some((record.now(), "closed".to_owned()));
                return;
            }
            Ok(count) => count,
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) =>
            {
                continue
            }
            Err(e) => {
                record.line(format!("{name}: connection broke after {total} bytes: {e}"));
                seen.lock().unwrap().closed_at = Some((record.now(), e.to_string()));
                return;
            }
        };
        total += count;
        if let Some(rate) = bytes_per_ms {
            let now = start.elapsed().as_secs_f64() * 1e3;
            paid_until = f64::max(paid_until, now) + count as f64 / rate as f64;
            if paid_until > now {
                thread::sleep(Duration::from_secs_f64((paid_until - now) / 1e3));
            }
        }
        bytes.extend_from_slice(&buffer[..count]);
        let mut at = 0;
        while bytes.len() >= at + 8 {
            let head = &bytes[at..at + 8];
            let (kind, number) = (head[1], u16::from_be_bytes([head[2], head[3]]));
            let length = usize::from(u16::from_be_bytes([head[4], head[5]]));
            let end = at + 8 + length + usize::from(head[6]);
            if bytes.len() < end {
                break;
            }
            let content = bytes[at + 8..at + 8 + length].to_vec();
            at = end;
            let mut seen = seen.lock().unwrap();
            match kind {
                6 => {
                    if let Some((request, got, _)) = seen.open.get_mut(&number) {
                        got.extend_from_slice(&content);
                        let (id, received) = (request.id.clone(), got.len());
                        if let Some(answer) = seen.answers.get_mut(&id) {
                            answer.received = received;
                        }
                    }
                }
                3 => {
                    let Some((request, got, sent_at)) = seen.open.remove(&number) else {
                        record.line(format!("{name}: an END_REQUEST for number {number}, which is not open"));
                        continue;
                    };
                    let split = got.windows(4).position(|four| four == b"\r\n\r\n").unwrap_or(got.len());
                    let text = String::from_utf8_lossy(&got[..split]).into_owned();
                    let status =
                        text.split("Status: ").nth(1).and_then(|s| s.get(..3)?.parse().ok()).unwrap_or(0);
                    let body = got.get(split + 4..).unwrap_or_default().to_vec();
                    let now = record.now();
                    record.line(format!(
                        "{name}: answer {} status={status} protocol={} body={} after={:.0}",
                        request.id,
                        content.get(4).copied().unwrap_or(0),
                        body.len(),
                        now - sent_at
                    ));
                    let answer = Answer {
                        sent_at,
                        ended_at: Some(now),
                        status,
                        overloaded: content.get(4) == Some(&2),
                        received: got.len(),
                        body,
                    };
                    seen.answers.insert(request.id, answer);
                }
                _ => {}
            }
        }
        bytes.drain(..at);
    }
}

/// Whether the disruption is to be made: `TROUBLE=0` leaves it out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
