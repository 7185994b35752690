//! Tests the laboratory's clients against a router that closes connections: they must not count requests as
//! lost that they sent themselves on a closed connection.

use frostturn::fastcgi::{self, kind, Decoder};
use frostturn_lab::clients;
use frostturn_lab::world::World;
use socket2::{Domain, Socket, Type};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Time limit for an expected state.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A router that refuses every request at once, and closes connections on request.
struct Router {
    address: SocketAddr,
    listener: TcpListener,
    accepts: Arc<AtomicBool>,
    accepting: JoinHandle<()>,
    open: Arc<Mutex<BTreeMap<u16, TcpStream>>>,
}

impl Router {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(128).expect("it listens");
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().expect("bound");
        let accepts = Arc::new(AtomicBool::new(true));
        let open = Arc::new(Mutex::new(BTreeMap::new()));
        let (own, taken, all) =
            (listener.try_clone().expect("a second handle"), accepts.clone(), open.clone());
        let accepting = thread::spawn(move || {
            for stream in own.incoming().flatten().take_while(|_| taken.load(Ordering::SeqCst)) {
                let port = stream.peer_addr().expect("connected").port();
                all.lock().expect("not poisoned").insert(port, stream.try_clone().expect("a second handle"));
                thread::spawn(move || refuse_all(stream));
            }
        });
        Self { address, listener, accepts, accepting, open }
    }

    fn count(&self) -> usize {
        self.open.lock().expect("not poisoned").len()
    }

    /// Closes all connections but `kept`; their clients read the end of the stream.
    fn close_all_but(&self, kept: usize) {
        let mut open = self.open.lock().expect("not poisoned");
        while open.len() > kept {
            let (_, stream) = open.pop_first().expect("one more");
            stream.shutdown(Shutdown::Write).expect("open");
        }
    }

    /// Stops accepting and fills the accept queue, so that new connection attempts wait.
    fn stall_accepts(&self) -> Vec<Socket> {
        self.accepts.store(false, Ordering::SeqCst);
        let mut fillers = vec![self.fill()];
        until("nobody accepts", || self.accepting.is_finished());
        Socket::from(self.listener.try_clone().expect("a second handle")).listen(0).expect("it listens");
        // The queue takes the first one and is full then.
        fillers.extend((0..3).map(|_| self.fill()));
        until("the queue is full", || connecting_to(self.address.port()) == 2);
        fillers
    }

    fn fill(&self) -> Socket {
        let filler = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        filler.set_nonblocking(true).expect("set");
        let _ = filler.connect(&self.address.into()); // The connection attempt continues asynchronously.
        filler
    }
}

fn refuse_all(mut stream: TcpStream) {
    let (mut decoder, mut buffer) = (Decoder::default(), [0; 64 * 1024]);
    while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
        decoder.feed(&buffer[..bytes]);
        while let Ok(Some(record)) = decoder.next_record() {
            if record.kind == kind::STDIN && record.content.is_empty() {
                let head = "Status: 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
                let answer = fastcgi::answer(record.request, head, b"").concat();
                if stream.write_all(&answer).is_err() {
                    return; // The write half is closed; further requests are dropped.
                }
            }
        }
    }
}

/// Returns the number of sockets connecting to a port: those in state SYN_SENT in /proc/net/tcp.
fn connecting_to(port: u16) -> usize {
    let table = std::fs::read_to_string("/proc/net/tcp").expect("there");
    let remote = format!(":{port:04X}");
    let connecting = |line: &&str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|to| to.ends_with(&remote)) && fields.get(3) == Some(&"02")
    };
    table.lines().skip(1).filter(connecting).count()
}

#[test]
fn nothing_is_sent_on_a_connection_whose_end_the_client_has_seen() {
    let router = Router::start();
    let world = Arc::new(World::new(None).expect("an address of its own"));
    let (clients_world, address) = (world.clone(), router.address);
    let load = thread::spawn(move || clients::run(&clients_world, address, 20.0, 400.0, 7));
    until("all connections are there", || router.count() >= 24);
    // A client that has lost most of its connections opens new ones, which takes a while; its last
    // connection ends in the meantime.
    let fillers = router.stall_accepts();
    router.close_all_but(1);
    until("the client connects", || connecting_to(address.port()) > 2);
    router.close_all_but(0);
    let load = load.join().expect("no panic");
    drop(fillers);
    let verdict = std::mem::take(&mut world.observations().checker).finish();
    assert_eq!(verdict.rules.lost, 0, "{:?}", verdict.examples);
    assert!(load.unsent > 0 && verdict.requests > 0, "{} unsent, {} sent", load.unsent, verdict.requests);
}
