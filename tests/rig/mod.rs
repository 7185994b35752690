//! Runs the router as a process between scripted peers on loopback. A test can make several events arrive in
//! one wake-up of the event loop: it stops the process, lets the peers write, close and signal, and continues
//! the process. Tests wait for states, with a generous timeout.

#![allow(dead_code)] // Each test file uses only some of the items.

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

pub mod crowd;
pub mod flow;
pub mod slow_reader;

/// A module of the laboratory crate. That crate depends on this one, so these tests can't depend on it.
#[path = "../../crates/frostturn-lab/src/loopback.rs"]
pub mod loopback;

/// How long a test waits for a state before it fails.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < STATE_TIMEOUT, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Sleeps, so that timers of a paused process expire.
pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The configuration and environment of a router process.
pub struct RouterSetup {
    /// Names and addresses.
    pub endpoints: Vec<(&'static str, String)>,
    /// The address of the discovery service.
    pub discovery: String,
    /// Further JSON members of the settings.
    pub settings: &'static str,
    /// JSON members of the settings' `Limits`.
    pub limits: &'static str,
    pub memory_mb: u32,
    pub sockets: u32,
    /// Command-line options.
    pub options: Vec<String>,
    /// `TMPDIR` of the process; the system's default if `None`.
    pub tmp: Option<std::path::PathBuf>,
    /// The deadline of each request class, in milliseconds.
    pub deadline_ms: u64,
}

impl RouterSetup {
    /// One location with these endpoints, and a discovery address at which nothing listens.
    pub fn new(endpoints: &[(&'static str, &Endpoint)]) -> Self {
        Self {
            endpoints: endpoints.iter().map(|(name, one)| (*name, one.address.clone())).collect(),
            discovery: "127.0.0.1:1".into(),
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
        let Self { discovery, settings, limits, memory_mb, sockets, deadline_ms, .. } = self;
        format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","board":"{discovery}",
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

/// An endpoint in the format of the discovery service.
pub fn endpoint_json(name: &str, address: &str, status: &str) -> String {
    format!(r#"{{"name":"{name}","address":"{address}","zone":"east","type":"std","status":"{status}"}}"#)
}

/// A discovery event with endpoints: the full list if `whole`, else changes.
pub fn pool_notice_json(rev: u64, whole: bool, endpoints: &str) -> String {
    format!(r#"{{"rev":{rev},"pool":{{"snapshot":{whole},"endpoints":[{endpoints}]}}}}"#)
}

/// A running router process.
pub struct Router {
    child: Child,
    log: Arc<Mutex<String>>,
    /// The address for clients.
    pub address: String,
}

impl Router {
    /// Starts a router and waits until it listens.
    pub fn start(test: &str, setup: &RouterSetup) -> Self {
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("rig-{test}.json"));
        std::fs::write(&path, setup.json()).expect("written");
        let program = std::env::var_os("FROSTTURN_PROGRAM");
        let mut child = Command::new(program.unwrap_or_else(|| env!("CARGO_BIN_EXE_frostturn").into()))
            .args(&setup.options)
            .env("PROXY_CONFIG", path)
            .env("TMPDIR", setup.tmp.clone().unwrap_or_else(std::env::temp_dir))
            .env_remove("PROXY_LISTEN")
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let log = Arc::new(Mutex::new(String::new()));
        let (reader, text) = (BufReader::new(child.stderr.take().expect("piped")), log.clone());
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                let mut text = text.lock().expect("not poisoned");
                text.push_str(&line);
                text.push('\n');
            }
        });
        let mut router = Self { child, log, address: String::new() };
        router.wait_for_log("listens on ");
        let log = router.log_text();
        let address = log.split("listens on ").nth(1).and_then(|rest| rest.split([',', '\n']).next());
        router.address = address.expect("an address").to_owned();
        router
    }

    /// Returns everything logged so far.
    pub fn log_text(&self) -> String {
        self.log.lock().expect("not poisoned").clone()
    }

    /// Returns the address of the operators' interface, which must be configured.
    pub fn operator_address(&self) -> String {
        let log = self.log_text();
        let after = log.split("operators call at ").nth(1).expect("an operators' interface");
        after.lines().next().expect("an address").to_owned()
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the resident set size in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/statm", self.child.id());
        let text = std::fs::read_to_string(path).expect("it runs");
        4096 * text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).expect("a number")
    }

    /// Returns the memory of the process's own in bytes, without the pages of its program and libraries.
    pub fn anonymous_bytes(&self) -> u64 {
        self.try_anonymous_bytes().expect("it runs")
    }

    /// Like [`Router::anonymous_bytes`]; `None` if the process has exited.
    pub fn try_anonymous_bytes(&self) -> Option<u64> {
        self.status_bytes("RssAnon:")
    }

    /// Returns the peak of the resident set in bytes, the pages of program and libraries included.
    /// `None` if the process has exited.
    pub fn peak_resident_bytes(&self) -> Option<u64> {
        self.status_bytes("VmHWM:")
    }

    /// Returns a figure that the kernel states in KB, in bytes.
    fn status_bytes(&self, name: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<u64>().ok().map(|kb| 1024 * kb)
    }

    /// Returns the number of open file descriptors.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// Sets the soft limit of open file descriptors.
    pub fn limit_descriptors(&self, max: u64) {
        let pid = rustix::process::Pid::from_raw(self.child.id() as i32);
        let maximum = rustix::process::getrlimit(rustix::process::Resource::Nofile).maximum;
        let limit = rustix::process::Rlimit { current: Some(max), maximum };
        rustix::process::prlimit(pid, rustix::process::Resource::Nofile, limit).expect("set");
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        self.child.kill().and_then(|()| self.child.wait()).expect("killed");
    }

    /// Waits until the log contains a text.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(text, || self.log_text().contains(text));
    }

    /// Sends a signal, given as an option of `kill`.
    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill runs").success());
    }

    /// Stops the process with SIGSTOP, and waits until it is stopped.
    pub fn pause(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("stopped", || std::fs::read_to_string(&stat).is_ok_and(|stat| stat.contains(") T ")));
    }

    /// Continues a paused process, which receives all events since the pause in one wake-up.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Returns whether the process runs, or has exited and was not waited for.
    pub fn is_running(&self) -> bool {
        self.try_anonymous_bytes().is_some()
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }

    /// Returns the current value of a counter.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log_text().matches("counters ").count();
        self.signal("-USR1");
        wait_until("counters", || self.log_text().matches("counters ").count() > before);
        counter_in(&self.log_text(), name)
    }

    /// Sends SIGTERM, waits for an exit with code 0, and returns the log.
    pub fn terminate(self) -> String {
        self.signal("-TERM");
        self.wait_for_exit()
    }

    /// Waits for an exit with code 0 and without violations, and returns the log.
    pub fn wait_for_exit(mut self) -> String {
        wait_until("exit of the process", || self.has_exited());
        let status = self.child.wait().expect("it has exited");
        wait_until("the last log line", || self.log_text().contains(" ends; counters"));
        assert!(status.success(), "{}", self.log_text());
        assert_eq!(counter_in(&self.log_text(), "violations"), 0, "{}", self.log_text());
        self.log_text()
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have exited.
        let _ = self.child.wait();
    }
}

/// Makes a call to the operators' interface and returns the status code.
pub fn operator_call(address: &str, method: &str, path: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(STATE_TIMEOUT)).expect("set");
    let length = body.len();
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n\r\n{body}")
        .expect("written");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer, and a close");
    text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
}

/// Returns a counter from the last counters line of a log.
pub fn counter_in(log: &str, name: &str) -> u64 {
    let last = log.rsplit("counters ").next().unwrap_or_default();
    let found = last.split_whitespace().find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
    found.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name}: {log}"))
}

/// An event at an endpoint, with the number of the connection.
#[derive(Debug, PartialEq)]
pub enum Event {
    /// A new connection.
    Connected(usize),
    /// A received frame.
    Frame(usize, Vec<String>),
    /// The end of a connection, and whether it was reset.
    Disconnected(usize, bool),
}

/// A request received by an endpoint.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub conn: usize,
    pub id: String,
    pub fields: String,
}

/// Waits for a request at any of these endpoints. Returns the index of the endpoint and the request.
pub fn next_request_at_any(endpoints: &[(&'static str, Endpoint)]) -> (usize, ReceivedRequest) {
    let mut received = None;
    wait_until("a request", || {
        received = endpoints
            .iter()
            .enumerate()
            .find_map(|(at, (_, endpoint))| Some((at, endpoint.try_next_request()?)));
        received.is_some()
    });
    received.expect("a request")
}

/// A scripted endpoint: the test decides when and how each request is answered.
pub struct Endpoint {
    pub address: String,
    events: Receiver<Event>,
    conns: Arc<Mutex<BTreeMap<usize, TcpStream>>>,
    /// While no connections are accepted: the listener, the connections that fill its queue, and the event
    /// channel.
    not_accepting: Option<(Socket, Vec<Socket>, Sender<Event>)>,
}

impl Endpoint {
    /// Creates an endpoint that accepts connections.
    pub fn new() -> Self {
        let mut endpoint = Self::with_full_backlog();
        endpoint.accept_connections();
        endpoint
    }

    /// Creates an endpoint with a full listen queue: a dial does not complete until it accepts connections.
    pub fn with_full_backlog() -> Self {
        Self::with_full_backlog_at(SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    /// Ends as a process that is killed, all its connections being reset, and returns another endpoint at its
    /// address.
    pub fn replace(self) -> Self {
        let address = self.address.parse().expect("an address");
        let conns = std::mem::take(&mut *self.conns.lock().expect("not poisoned"));
        // Without a receiver of its events the listening thread ends as it accepts a connection.
        drop(self);
        drop(TcpStream::connect(address).expect("it listens"));
        wait_until("nothing listens", || TcpStream::connect(address).is_err());
        conns.into_values().for_each(reset);
        let mut successor = Self::with_full_backlog_at(address);
        successor.accept_connections();
        successor
    }

    fn with_full_backlog_at(address: SocketAddr) -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_reuse_address(true).expect("set");
        socket.bind(&address.into()).expect("a port");
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().expect("bound");
        let fillers = (0..3).map(|_| {
            let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
            filler.set_nonblocking(true).expect("set");
            let _ = filler.connect(&address); // The first enters the queue, the others fill the rest of it.
            filler
        });
        let fillers = fillers.collect();
        let (sender, events) = channel();
        let address = address.as_socket().expect("an address").to_string();
        Self { address, events, conns: Arc::default(), not_accepting: Some((socket, fillers, sender)) }
    }

    /// Starts accepting connections, pending ones first.
    pub fn accept_connections(&mut self) {
        let Some((socket, fillers, sender)) = self.not_accepting.take() else { return };
        let fillers: Vec<_> =
            fillers.iter().filter_map(|filler| filler.local_addr().ok()?.as_socket()).collect();
        socket.listen(128).expect("it listens");
        let (listener, conns) = (TcpListener::from(socket), self.conns.clone());
        thread::spawn(move || {
            let mut next = 0;
            for stream in listener.incoming().flatten() {
                if stream.peer_addr().is_ok_and(|peer| fillers.contains(&peer)) {
                    continue;
                }
                let _ = stream.set_nodelay(true);
                let reader = stream.try_clone().expect("a duplicate handle");
                conns.lock().expect("not poisoned").insert(next, stream);
                if sender.send(Event::Connected(next)).is_err() {
                    return;
                }
                let sender = sender.clone();
                let conn = next;
                thread::spawn(move || read(conn, reader, &sender));
                next += 1;
            }
        });
    }

    /// Waits for the next event.
    pub fn next_event(&self) -> Event {
        self.events.recv_timeout(STATE_TIMEOUT).expect("an event")
    }

    /// Waits for the next request, skipping other events.
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

    /// Returns the next request, if one has been received.
    pub fn try_next_request(&self) -> Option<ReceivedRequest> {
        self.events.try_iter().find_map(|event| match event {
            Event::Frame(conn, parts) if parts[0] == "REQ" => {
                Some(ReceivedRequest { conn, id: parts[1].clone(), fields: parts[2].clone() })
            }
            Event::Connected(_) | Event::Frame(..) | Event::Disconnected(..) => None,
        })
    }

    /// Removes and returns the events received so far.
    pub fn received_events(&self) -> Vec<Event> {
        self.events.try_iter().collect()
    }

    /// Removes the events received so far, and returns the ids of the requests among them.
    pub fn received_request_ids(&self) -> Vec<String> {
        let id = |event| match event {
            Event::Frame(_, parts) if parts[0] == "REQ" => parts.into_iter().nth(1),
            _ => None,
        };
        self.received_events().into_iter().filter_map(id).collect()
    }

    /// Writes bytes to a connection.
    pub fn write(&self, conn: usize, bytes: &[u8]) -> std::io::Result<()> {
        let stream = self.conns.lock().expect("not poisoned")[&conn].try_clone()?;
        (&stream).write_all(bytes)
    }

    /// Answers a request successfully, with a body that contains its id.
    pub fn serve(&self, request: &ReceivedRequest) {
        let body = format!("for {}", request.id);
        self.reply(request, "DONE", "tell=cached,version=ab,stamp=1", body.as_bytes());
    }

    /// Answers a request with a status, fields and a body.
    pub fn reply(&self, request: &ReceivedRequest, status: &str, fields: &str, body: &[u8]) {
        let frame = resp::frame(&[request.id.as_bytes(), status.as_bytes(), fields.as_bytes(), body]);
        self.write(request.conn, &frame).expect("written");
    }

    /// Shuts down the write half of a connection.
    pub fn close(&self, conn: usize) {
        let stream = self.conns.lock().expect("not poisoned").remove(&conn).expect("it is open");
        stream.shutdown(std::net::Shutdown::Write).expect("open");
    }

    /// Resets a connection.
    pub fn reset(&self, conn: usize) {
        let stream = self.conns.lock().expect("not poisoned").remove(&conn).expect("it is open");
        reset(stream);
    }
}

fn read(conn: usize, mut stream: TcpStream, sender: &Sender<Event>) {
    let (mut decoder, mut buffer) = (resp::Decoder::default(), [0; 64 * 1024]);
    let was_reset = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break false,
            Err(e) => break e.kind() == ErrorKind::ConnectionReset,
            Ok(bytes) => decoder.feed(&buffer[..bytes]),
        }
        while let Ok(Some(frame)) = decoder.next_frame() {
            let parts = frame.iter().map(|part| String::from_utf8_lossy(part).into_owned()).collect();
            let _ = sender.send(Event::Frame(conn, parts)); // The test may have ended.
        }
    };
    let _ = sender.send(Event::Disconnected(conn, was_reset));
}

/// Resets a connection. Dropping the stream would not close it, as the reader thread has another handle.
fn reset(stream: TcpStream) {
    let socket = Socket::from(stream);
    socket.set_linger(Some(Duration::ZERO)).expect("set");
    // Connecting to AF_UNSPEC dissolves the association; with a zero linger time this resets the connection.
    let _ = rustix::net::connect_unspec(&socket);
}

/// A client connection.
pub struct Client {
    pub stream: TcpStream,
    decoder: fastcgi::Decoder,
    /// Answers by request number, and whether each is complete.
    answers: BTreeMap<u16, (String, bool)>,
}

impl Client {
    /// Connects to a router.
    pub fn connect(router: &Router) -> Self {
        let stream = TcpStream::connect(&router.address).expect("it listens");
        stream.set_read_timeout(Some(STATE_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        Self { stream, decoder: fastcgi::Decoder::default(), answers: BTreeMap::new() }
    }

    /// Encodes a request of a class for an object, with a timeout of 2900 ms.
    pub fn request_bytes(request: u16, class: &str, id: u64, object: u64, body: &[u8]) -> Vec<u8> {
        Self::request_bytes_with_timeout(2900, request, class, id, object, body)
    }

    /// Encodes a request with the given timeout of the client.
    pub fn request_bytes_with_timeout(
        timeout_ms: u64,
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
            ("HTTP_X_TIMEOUT_MS", timeout_ms.to_string()),
            ("HTTP_X_OBJECT", format!("{object:016x}")),
        ] {
            fastcgi::pair(&mut params, name.as_bytes(), value.as_bytes());
        }
        if !body.is_empty() {
            // RFC 3875, section 4.1.2: stated if and only if there is a body.
            fastcgi::pair(&mut params, b"CONTENT_LENGTH", body.len().to_string().as_bytes());
        }
        let mut records = vec![(kind::PARAMS, &params[..]), (kind::PARAMS, b"")];
        records.extend((!body.is_empty()).then_some((kind::STDIN, body)));
        records.push((kind::STDIN, b""));
        records.into_iter().for_each(|(what, content)| fastcgi::record(&mut out, what, request, content));
        out
    }

    /// Sends a request for one fixed object.
    pub fn send_request(&mut self, request: u16, class: &str, id: u64) {
        let bytes = Self::request_bytes(request, class, id, 0xab, b"");
        self.stream.write_all(&bytes).expect("written");
    }

    /// Aborts a request.
    pub fn abort(&mut self, request: u16) {
        let mut out = Vec::new();
        fastcgi::record(&mut out, kind::ABORT, request, b"");
        self.stream.write_all(&out).expect("written");
    }

    /// Resets the connection.
    pub fn reset(self) {
        reset(self.stream);
    }

    /// Waits for the complete answer to a request; `None` if the connection ends without one.
    pub fn answer(&mut self, request: u16) -> Option<String> {
        match self.receive_answer(request) {
            Ok(answer) => answer,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => None,
            Err(e) => panic!("neither an answer nor a close: {e}"),
        }
    }

    fn receive_answer(&mut self, request: u16) -> std::io::Result<Option<String>> {
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
                return Ok(self.answers.remove(&request).map(|answer| answer.0));
            }
            match self.stream.read(&mut buffer)? {
                0 => return Ok(None),
                bytes => self.decoder.feed(&buffer[..bytes]),
            }
        }
    }

    /// Waits for the answer to a request and returns its status code.
    pub fn status(&mut self, request: u16) -> u16 {
        status_of(&self.answer(request).expect("an answer"))
    }

    /// Like [`Client::status`]; `None` if the connection ends, or a read times out, without an answer.
    pub fn try_status(&mut self, request: u16) -> Option<u16> {
        self.receive_answer(request).ok().flatten().map(|answer| status_of(&answer))
    }

    /// Waits for data or a close, and returns whether the router closed the connection without a reset and
    /// without sending more data.
    pub fn is_closed(&mut self) -> bool {
        matches!(self.stream.read(&mut [0; 64]), Ok(0))
    }
}

fn status_of(answer: &str) -> u16 {
    answer["Status: ".len()..].split(' ').next().and_then(|status| status.parse().ok()).expect("a status")
}

/// A scripted discovery service.
pub struct DiscoveryServer {
    pub address: String,
    listener: TcpListener,
}

/// A connection of the router to the discovery service, on which a poll is outstanding.
pub struct DiscoveryPoll {
    /// The revision of the last event that the router has, according to the poll.
    pub last_revision: u64,
    pub stream: TcpStream,
}

impl DiscoveryServer {
    pub fn new() -> Self {
        Self::at("127.0.0.1:0")
    }

    /// Listens at a given address, such as that of a service that restarts.
    pub fn at(address: &str) -> Self {
        let listener = TcpListener::bind(address).expect("the port is free");
        Self { address: listener.local_addr().expect("bound").to_string(), listener }
    }

    /// Accepts a new connection and reads a poll from it.
    pub fn poll(&self) -> DiscoveryPoll {
        let (stream, _) = self.listener.accept().expect("it polls");
        stream.set_read_timeout(Some(STATE_TIMEOUT)).expect("set");
        stream.set_nodelay(true).expect("set");
        let mut poll = DiscoveryPoll { last_revision: 0, stream };
        poll.read_next();
        poll
    }
}

impl DiscoveryPoll {
    /// Reads the next poll on the same connection. Returns false if the connection has ended.
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
        let revision = text.split("watch=").nth(1).and_then(|rest| rest.split('&').next());
        self.last_revision = revision.and_then(|text| text.parse().ok()).unwrap_or_else(|| panic!("{text}"));
        true
    }

    /// Encodes a response with events.
    pub fn response_bytes(rev: u64, notices: &[String]) -> Vec<u8> {
        let body = format!(r#"{{"rev":{rev},"notices":[{}]}}"#, notices.join(","));
        format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
    }

    /// Sends a response with events.
    pub fn respond(&mut self, rev: u64, notices: &[String]) {
        self.stream.write_all(&Self::response_bytes(rev, notices)).expect("written");
    }
}
