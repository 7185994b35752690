//! The daemon as a process between scripted peers on loopback, and the means to have two events ready before it looks:
//! it is stopped, the peers write, close and signal, and it goes on. Tests wait for states, with a generous end.

#![allow(dead_code)] // Each test file uses its part.

use frostturn::fastcgi::{self, kind};
use frostturn::resp;
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub mod flow;

/// The laboratory's, which these tests can't depend on as it depends on the daemon.
#[path = "../../crates/frostturn-lab/src/loopback.rs"]
pub mod loopback;

/// How long a test waits for a state before it fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something is so.
pub fn wait_until(what: &str, mut so: impl FnMut() -> bool) {
    let from = Instant::now();
    while !so() {
        assert!(from.elapsed() < PATIENCE, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Lets so much time pass for whoever is stopped: a deadline of it is over by then.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// What the daemon is told at its start.
pub struct RouterSetup {
    /// Names and addresses.
    pub endpoints: Vec<(&'static str, String)>,
    pub board: String,
    /// Further members of the settings, and of their `Limits`.
    pub settings: &'static str,
    pub limits: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
    pub options: Vec<String>,
    /// Where it keeps its files; where the system has them, if not set.
    pub tmp: Option<std::path::PathBuf>,
    /// How long clients of each class wait, in milliseconds.
    pub deadline_ms: u64,
}

impl RouterSetup {
    /// One location with these endpoints; nobody answers at the board.
    pub fn new(endpoints: &[(&'static str, &Endpoint)]) -> Self {
        Self {
            endpoints: endpoints.iter().map(|(name, one)| (*name, one.address.clone())).collect(),
            board: "127.0.0.1:1".into(),
            settings: r#""Guarantees":{"StopSendingWithinMs":1000.0}"#,
            limits: r#""MostTries":4,"Cancelling":true"#,
            memory_mb: 192,
            sockets: 256,
            options: Vec::new(),
            tmp: None,
            deadline_ms: 3000,
        }
    }

    fn json(&self) -> String {
        let endpoints: Vec<String> =
            self.endpoints.iter().map(|(n, at)| endpoint_json(n, at, "active")).collect();
        let Self { board, settings, limits, memory_mb, sockets, deadline_ms, .. } = self;
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","board":"{board}",
            "limits":{{"memory_mb":{memory_mb},"sockets":{sockets}}},
            "known":{{"rev":1,"notices":[{}]}},
            "settings":{{"Az":"east","Localities":["east"],"MachineTypes":["std"],"Limits":{{{limits}}},{settings},
            "RequestClasses":[
            {{"Name":"page","Repeat":"retryable","AimMs":250.0,"HardLimitMs":{deadline_ms}.0}},
            {{"Name":"swap","Repeat":"fragile","AimMs":250.0,"HardLimitMs":{deadline_ms}.0}},
            {{"Name":"keyed","Repeat":"dedup","DedupScope":"all","DedupWindowMs":150.0,"AimMs":250.0,
            "HardLimitMs":{deadline_ms}.0}}]}}}}"#,
            pool_notice_json(1, true, &endpoints.join(","))
        )
    }
}

/// One endpoint as the board lists it.
pub fn endpoint_json(name: &str, address: &str, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","zone":"east","type":"std","status":"{status}"}}"#)
}

/// A board's event about endpoints.
pub fn pool_notice_json(rev: u64, whole: bool, endpoints: &str) -> String {
    format!(r#"{{"rev":{rev},"pool":{{"snapshot":{whole},"endpoints":[{endpoints}]}}}}"#)
}

/// The daemon.
pub struct Router {
    child: Child,
    log: Arc<Mutex<String>>,
    pub address: String,
}

impl Router {
    pub fn start(test: &str, site: &RouterSetup) -> Self {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("rig-{test}.json"));
        std::fs::write(&path, site.json()).expect("written");
        let mut child = Command::new(env!("CARGO_BIN_EXE_frostturn"))
            .args(&site.options)
            .env("PROXY_CONFIG", path)
            .env("TMPDIR", site.tmp.clone().unwrap_or_else(std::env::temp_dir))
            .env_remove("PROXY_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = Arc::new(Mutex::new(String::new()));
        let (lines, said) = (BufReader::new(child.stderr.take().expect("piped")), log.clone());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let mut said = said.lock().expect("not poisoned");
                said.push_str(&line);
                said.push('\n');
            }
        });
        let mut router = Self { child, log, address: String::new() };
        router.wait_for_log("listens on ");
        let said = router.log_text();
        let listens = said.split("listens on ").nth(1).and_then(|rest| rest.split([',', '\n']).next());
        router.address = listens.expect("an address").to_owned();
        router
    }

    /// All that it has logged.
    pub fn log_text(&self) -> String {
        self.log.lock().expect("not poisoned").clone()
    }

    /// Where operators call it, if it was told a place.
    pub fn operator_address(&self) -> String {
        let said = self.log_text();
        let after = said.split("operators call at ").nth(1).expect("a place");
        after.lines().next().expect("an address").to_owned()
    }

    /// Its process's number.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Bytes of memory that it holds.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = std::fs::read_to_string(path).expect("it runs");
        4096 * text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).expect("a figure")
    }

    /// Sockets and files that it holds.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// Bounds the files that it may hold open.
    pub fn limit_descriptors(&self, most: u64) {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32);
        let maximum = rustix::process::getrlimit(rustix::process::Resource::Nofile).maximum;
        let limit = rustix::process::Rlimit { current: Some(most), maximum };
        rustix::process::prlimit(pid, rustix::process::Resource::Nofile, limit).expect("set");
    }

    /// Kills it at once.
    pub fn kill(mut self) {
        self.child.kill().and_then(|()| self.child.wait()).expect("killed");
    }

    /// Waits until it has logged these words.
    pub fn wait_for_log(&self, words: &str) {
        wait_until(words, || self.log_text().contains(words));
    }

    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill runs").success());
    }

    /// Stops it; once this returns it runs no further.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("stopped", || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T ")));
    }

    /// Lets it go on: all that is ready by now comes to it in one wake.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Whether its process has ended.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// A figure that it has counted so far.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log_text().matches("counters ").count();
        self.signal("-USR1");
        wait_until("counters", || self.log_text().matches("counters ").count() > before);
        counter_in(&self.log_text(), name)
    }

    /// Tells it to end, and waits until it has, with code 0: what it logged.
    pub fn terminate(self) -> String {
        self.signal("-TERM");
        self.wait_for_exit()
    }

    /// It was told to end, and does.
    pub fn wait_for_exit(mut self) -> String {
        wait_until("its end", || self.has_exited());
        let status = self.child.wait().expect("it has ended");
        wait_until("its last line", || self.log_text().contains(" ends; counters"));
        assert!(status.success(), "{}", self.log_text());
        assert_eq!(counter_in(&self.log_text(), "violations"), 0, "{}", self.log_text());
        self.log_text()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended.
        let _ = self.child.wait();
    }
}

/// One call to where operators call; the answer's status.
pub fn operator_call(address: &str, method: &str, path: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}")
        .expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer, and a close");
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// A figure of the last counters in a log.
pub fn counter_in(log: &str, name: &str) -> u64 {
    let last = log.rsplit("counters ").next().unwrap_or_default();
    let found = last.split_whitespace().find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|figure| figure.parse().ok()).unwrap_or_else(|| panic!("{name}: {log}"))
}

/// What comes to an endpoint.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// A connection.
    Connected(usize),
    /// A frame on it.
    Frame(usize, Vec<String>),
    /// It has ended, by a reset or not.
    Disconnected(usize, bool),
}

/// A request that has come whole.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub conn: usize,
    pub id: String,
    pub fields: String,
}

/// Takes a request at whichever of these endpoints it comes to: whose, and the request.
pub fn next_request_at_any(ends: &[(&'static str, Endpoint)]) -> (usize, ReceivedRequest) {
    let mut came = None;
    wait_until("a request", || {
        came = ends.iter().enumerate().find_map(|(at, (_, end))| Some((at, end.try_next_request()?)));
        came.is_some()
    });
    came.expect("one came")
}

/// An endpoint that does what it is told: it holds each answer until the test gives it.
pub struct Endpoint {
    pub address: String,
    events: Receiver<Event>,
    conns: Arc<Mutex<BTreeMap<usize, TcpStream>>>,
    held: Option<(Socket, Vec<Socket>, Sender<Event>)>,
}

impl Endpoint {
    /// One that takes connections.
    pub fn new() -> Self {
        let mut endpoint = Self::with_full_backlog();
        endpoint.accept_connections();
        endpoint
    }

    /// One that listens, and whose queue is full: what dials it now waits until it opens.
    pub fn with_full_backlog() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().expect("bound");
        let fillers = (0..3).map(|_| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            filler.set_nonblocking(true).expect("set");
            let _ = filler.connect(&address); // The first is taken into the queue, the others fill what is left.
            filler
        });
        let fillers = fillers.collect();
        let (tell, events) = channel();
        let address = address.as_socket().expect("an address").to_string();
        Self { address, events, conns: Arc::default(), held: Some((socket, fillers, tell)) }
    }

    /// Takes connections from now on, those that wait first.
    pub fn accept_connections(&mut self) {
        let Some((socket, fillers, tell)) = self.held.take() else { return };
        let fillers: Vec<_> = fillers.iter().filter_map(|one| one.local_addr().ok()?.as_socket()).collect();
        socket.listen(128).expect("it listens");
        let (listener, conns) = (TcpListener::from(socket), self.conns.clone());
        thread::spawn(move || {
            let mut next = 0;
            for stream in listener.incoming().flatten() {
                if stream.peer_addr().is_ok_and(|peer| fillers.contains(&peer)) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                let reader = stream.try_clone().expect("a second handle");
                conns.lock().expect("not poisoned").insert(next, stream);
                if tell.send(Event::Connected(next)).is_err() {
                    return;
                }
                let tell = tell.clone();
                let conn = next;
                thread::spawn(move || read(conn, reader, &tell));
                next += 1;
            }
        });
    }

    /// The next thing that comes.
    pub fn next_event(&self) -> Event {
        self.events.recv_timeout(PATIENCE).expect("something comes")
    }

    /// The next request.
    pub fn next_request(&self) -> ReceivedRequest {
        loop {
            if let Event::Frame(conn, parts) = self.next_event() {
                if let [verb, id, fields, _] = &parts[..] {
                    assert_eq!(verb, "REQ", "{parts:?}");
                    return ReceivedRequest { conn, id: id.clone(), fields: fields.clone() };
                }
            }
        }
    }

    /// The next request, if one has come.
    pub fn try_next_request(&self) -> Option<ReceivedRequest> {
        self.events.try_iter().find_map(|event| match event {
            Event::Frame(conn, parts) if parts[0] == "REQ" => {
                Some(ReceivedRequest { conn, id: parts[1].clone(), fields: parts[2].clone() })
            }
            Event::Connected(_) | Event::Frame(..) | Event::Disconnected(..) => None,
        })
    }

    /// All that has come by now.
    pub fn received_events(&self) -> Vec<Event> {
        self.events.try_iter().collect()
    }

    /// Ids of the requests that have come and weren't looked at.
    pub fn received_request_ids(&self) -> Vec<String> {
        let id = |event| match event {
            Event::Frame(_, parts) if parts[0] == "REQ" => parts.into_iter().nth(1),
            _ => None,
        };
        self.received_events().into_iter().filter_map(id).collect()
    }

    pub fn write(&self, conn: usize, bytes: &[u8]) -> std::io::Result<()> {
        let stream = self.conns.lock().expect("not poisoned")[&conn].try_clone()?;
        (&stream).write_all(bytes)
    }

    /// Answers a request with a body that names it.
    pub fn serve(&self, asked: &ReceivedRequest) {
        let body = format!("for {}", asked.id);
        self.reply(asked, "DONE", "tell=cached,version=ab,stamp=1", body.as_bytes());
    }

    pub fn reply(&self, asked: &ReceivedRequest, word: &str, fields: &str, body: &[u8]) {
        let frame = resp::frame(&[asked.id.as_bytes(), word.as_bytes(), fields.as_bytes(), body]);
        self.write(asked.conn, &frame).expect("written");
    }

    /// Closes a connection.
    pub fn close(&self, conn: usize) {
        let stream = self.conns.lock().expect("not poisoned").remove(&conn).expect("it is open");
        stream.shutdown(std::net::Shutdown::Write).expect("open");
    }

    /// Ends a connection with a reset.
    pub fn reset(&self, conn: usize) {
        let stream = self.conns.lock().expect("not poisoned").remove(&conn).expect("it is open");
        reset(stream);
    }
}

fn read(conn: usize, mut stream: TcpStream, tell: &Sender<Event>) {
    let (mut decoder, mut buffer) = (resp::Decoder::default(), [0; 64 * 1024]);
    let was_reset = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break false,
            Err(e) => break e.kind() == ErrorKind::ConnectionReset,
            Ok(bytes) => decoder.feed(&buffer[..bytes]),
        }
        while let Ok(Some(frame)) = decoder.next_frame() {
            let words = frame.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect();
            let _ = tell.send(Event::Frame(conn, words)); // The test may be over.
        }
    };
    let _ = tell.send(Event::Disconnected(conn, was_reset));
}

/// Ends a connection with a reset: its reader holds another handle, so that dropping this one does nothing.
fn reset(stream: TcpStream) {
    let socket = Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("set");
    // A connect to no family dissolves the association, which with this linger is a reset.
    let _ = rustix::net::connect_unspec(&socket);
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    decoder: fastcgi::Decoder,
    answers: BTreeMap<u16, (String, bool)>,
}

impl Client {
    pub fn connect(router: &Router) -> Self {
        let stream = TcpStream::connect(&router.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.set_nodelay(true).expect("set");
        Self { stream, decoder: fastcgi::Decoder::default(), answers: BTreeMap::new() }
    }

    /// The bytes of a request of a class for an object, with an id of its own.
    pub fn request_bytes(request: u16, class: &str, id: u64, object: u64, body: &[u8]) -> Vec<u8> {
        Self::request_bytes_with_timeout(2900, request, class, id, object, body)
    }

    /// The same, of a client that waits so many milliseconds.
    pub fn request_bytes_with_timeout(
        wait_ms: u64,
        request: u16,
        class: &str,
        id: u64,
        object: u64,
        body: &[u8],
    ) -> Vec<u8> {
        let (mut out, mut params) = (Vec::new(), Vec::new());
        fastcgi::record(&mut out, kind::BEGIN, request, &[0, 1, 1, 0, 0, 0, 0, 0]);
        let path = if class == "/alive" { class.to_owned() } else { format!("/ops/{class}") };
        for (name, value) in [
            ("SCRIPT_NAME", path),
            ("HTTP_X_REQUEST_ID", format!("{id:016x}")),
            ("HTTP_X_TIMEOUT_MS", wait_ms.to_string()),
            ("HTTP_X_OBJECT", format!("{object:016x}")),
        ] {
            fastcgi::pair(&mut params, name.as_bytes(), value.as_bytes());
        }
        let mut records = vec![(kind::PARAMS, &params[..]), (kind::PARAMS, b"")];
        records.extend((!body.is_empty()).then_some((kind::STDIN, body)));
        records.push((kind::STDIN, b""));
        records.into_iter().for_each(|(what, content)| fastcgi::record(&mut out, what, request, content));
        out
    }

    pub fn send_request(&mut self, request: u16, class: &str, id: u64) {
        let bytes = Self::request_bytes(request, class, id, 0xab, b"");
        self.stream.write_all(&bytes).expect("written");
    }

    /// Stops waiting for a request.
    pub fn abort(&mut self, request: u16) {
        let mut out = Vec::new();
        fastcgi::record(&mut out, kind::ABORT, request, b"");
        self.stream.write_all(&out).expect("written");
    }

    /// Leaves with a reset.
    pub fn reset(self) {
        reset(self.stream);
    }

    /// The whole answer to a request; `None`: the connection has ended without one.
    pub fn answer(&mut self, request: u16) -> Option<String> {
        let mut buffer = [0; 64 * 1024];
        loop {
            while let Some(record) = self.decoder.next_record().expect("readable") {
                let answer = self.answers.entry(record.request).or_default();
                match record.kind {
                    kind::STDOUT => answer.0.push_str(&String::from_utf8_lossy(&record.content)),
                    kind::END => answer.1 = true,
                    _ => {}
                }
            }
            if self.answers.get(&request).is_some_and(|answer| answer.1) {
                return self.answers.remove(&request).map(|answer| answer.0);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return None,
                Ok(bytes) => self.decoder.feed(&buffer[..bytes]),
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
                Err(e) => panic!("no answer and no end: {e}"),
            }
        }
    }

    /// The status of the answer.
    pub fn status(&mut self, request: u16) -> u16 {
        let answer = self.answer(request).expect("an answer");
        answer["Status: ".len()..].split(' ').next().and_then(|status| status.parse().ok()).expect("a status")
    }

    /// Whether the router ends the connection without a reset and without another byte.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0; 64]), Ok(0))
    }
}

/// A notice board that answers when it is told to.
pub struct DiscoveryServer {
    pub address: String,
    listener: TcpListener,
}

/// A poll that is out.
pub struct DiscoveryPoll {
    pub last_revision: u64,
    pub stream: TcpStream,
}

impl DiscoveryServer {
    pub fn new() -> Self {
        Self::at("127.0.0.1:0")
    }

    /// One at an address, as one that comes back.
    pub fn at(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the port is free");
        Self { address: listener.local_addr().expect("bound").to_string(), listener }
    }

    /// The next poll on a new connection.
    pub fn poll(&self) -> DiscoveryPoll {
        let (stream, _) = self.listener.accept().expect("it polls");
        stream.set_read_timeout(Some(PATIENCE)).expect("set");
        stream.set_nodelay(true).expect("set");
        let mut poll = DiscoveryPoll { last_revision: 0, stream };
        poll.read_next();
        poll
    }
}

impl DiscoveryPoll {
    /// Reads the next poll on the same connection; false if there is none, as it has ended.
    pub fn read_next(&mut self) -> bool {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            match self.stream.read(&mut byte) {
                Ok(1) => line.push(byte[0]),
                _ => return false,
            }
        }
        let text = String::from_utf8(line).expect("text");
        let watch = text.split("watch=").nth(1).and_then(|rest| rest.split('&').next());
        self.last_revision = watch.and_then(|watch| watch.parse().ok()).unwrap_or_else(|| panic!("{text}"));
        true
    }

    /// The bytes of an answer.
    pub fn response_bytes(rev: u64, notices: &[String]) -> Vec<u8> {
        let body = format!(r#"{{"rev":{rev},"notices":[{}]}}"#, notices.join(","));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }

    pub fn respond(&mut self, rev: u64, notices: &[String]) {
        self.stream.write_all(&Self::response_bytes(rev, notices)).expect("written");
    }
}
