//! Repeated attempts: how many, within which window, beside which other attempts, and what counts as an
//! answer.

mod rig;

use frostturn::resp;
use rig::{next_request_at_any, sleep_ms, wait_until, Client, Endpoint, Event, Router, RouterSetup};
use socket2::{Domain, Socket, Type};
use std::io::Write;

/// Returns a site whose operator's file requires a greeting on each connection. Nothing is sent before the
/// greeting is answered, so that a test decides when requests are sent.
fn site_with_greetings(endpoints: &[(&'static str, &Endpoint)]) -> RouterSetup {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("greeted.scm");
    std::fs::write(&path, "(frostturn (addresses (names checked)))").expect("written");
    let mut site = RouterSetup::new(endpoints);
    site.options = vec!["--operator".into(), path.display().to_string()];
    site
}

/// Waits for a greeting at any of the endpoints. Returns the endpoint's index, the connection and the tag.
fn next_greeting(endpoints: &[(&'static str, Endpoint)]) -> (usize, usize, String) {
    let mut came = None;
    wait_until("a greeting", || {
        for (at, (_, endpoint)) in endpoints.iter().enumerate() {
            for event in endpoint.received_events() {
                if let Event::Frame(conn, parts) = event {
                    assert_eq!(parts[0], "HELO", "nothing is sent before the greeting");
                    came = Some((at, conn, parts[1].clone()));
                }
            }
        }
        came.is_some()
    });
    came.expect("a greeting came")
}

fn answer_greeting(endpoints: &[(&'static str, Endpoint)], (at, conn, tag): &(usize, usize, String)) {
    let (name, endpoint) = &endpoints[*at];
    let frame = resp::frame(&[tag.as_bytes(), b"FIT", format!("name={name}").as_bytes(), b""]);
    endpoint.write(*conn, &frame).expect("written");
}

fn two_endpoints() -> [(&'static str, Endpoint); 2] {
    [("e-1", Endpoint::new()), ("e-2", Endpoint::new())]
}

fn site(endpoints: &[(&'static str, Endpoint); 2]) -> RouterSetup {
    RouterSetup::new(&[(endpoints[0].0, &endpoints[0].1), (endpoints[1].0, &endpoints[1].1)])
}

#[test]
fn a_repeat_decided_within_its_window_is_not_sent_after_it() {
    let endpoints = two_endpoints();
    let router = Router::start(
        "window",
        &site_with_greetings(&[(endpoints[0].0, &endpoints[0].1), (endpoints[1].0, &endpoints[1].1)]),
    );
    let mut client = Client::connect(&router);
    client.send_request(1, "keyed", 1);
    let home = next_greeting(&endpoints);
    answer_greeting(&endpoints, &home);
    let asked = endpoints[home.0].1.next_request();
    // The request may have run; its window is 150 ms from the first send.
    endpoints[home.0].1.reset(asked.conn);
    let other = next_greeting(&endpoints);
    assert_eq!(other.0, 1 - home.0, "the repeat goes to the other endpoint");
    sleep_ms(200);
    answer_greeting(&endpoints, &other);
    let status = client.status(1);
    assert!(status == 503 || status == 502, "the request is given up: {status}");
    router.terminate();
    assert_eq!(
        endpoints[other.0].1.received_request_ids(),
        [""; 0],
        "its window had passed when it could be sent"
    );
}

#[test]
fn a_keyed_request_is_repeated_within_its_window_and_a_fragile_one_never() {
    for (class, repeated) in [("keyed", true), ("swap", false), ("page", true)] {
        let endpoints = two_endpoints();
        let router = Router::start(&format!("again-{class}"), &site(&endpoints));
        let mut client = Client::connect(&router);
        client.send_request(1, class, 1);
        let (at, asked) = next_request_at_any(&endpoints);
        // The reset is the only event at the router. The window of 150 ms also runs while the endpoint holds
        // the request.
        endpoints[at].1.reset(asked.conn);
        if repeated && class == "page" {
            let (other, second) = next_request_at_any(&endpoints);
            assert_eq!((other, &second.id), (1 - at, &asked.id));
            endpoints[other].1.serve(&second);
            assert_eq!(client.status(1), 200);
        }
        if !repeated {
            assert_eq!(client.status(1), 502, "it may have run, so it fails");
        }
        router.terminate();
        if class == "swap" {
            assert_eq!(
                (endpoints[0].1.received_request_ids(), endpoints[1].1.received_request_ids()),
                (vec![], vec![]),
                "it is never sent twice"
            );
        }
    }
}

#[test]
fn a_request_gets_as_many_attempts_as_the_settings_allow_and_no_more() {
    for most in [1, 2, 4] {
        let endpoints = two_endpoints();
        let mut site = site(&endpoints);
        site.limits = match most {
            1 => r#""MostTries":1,"Cancelling":true"#,
            2 => r#""MostTries":2,"Cancelling":true"#,
            _ => r#""MostTries":4,"Cancelling":true"#,
        };
        let router = Router::start(&format!("most-{most}"), &site);
        let mut client = Client::connect(&router);
        client.send_request(1, "page", 1);
        for _ in 0..most {
            let (at, asked) = next_request_at_any(&endpoints);
            endpoints[at].1.reset(asked.conn);
        }
        assert_ne!(client.status(1), 200);
        let log = router.terminate();
        assert!(log.contains(&format!(" attempts={most} ")), "{log}");
        assert_eq!(
            endpoints[0].1.received_request_ids().len() + endpoints[1].1.received_request_ids().len(),
            0,
            "{most}"
        );
    }
}

#[test]
fn duplicate_answers_count_once_and_a_clients_own_repeat_gets_its_own_answer() {
    let endpoint = Endpoint::new();
    let mut site = RouterSetup::new(&[("e-1", &endpoint)]);
    site.limits = r#""MostTries":1,"Cancelling":true"#;
    let router = Router::start("repeat", &site);
    let mut client = Client::connect(&router);
    client.send_request(1, "swap", 1);
    let one = endpoint.next_request();
    // The client sends the same request under a new id while the first one is in flight.
    client.send_request(2, "swap", 2);
    let two = endpoint.next_request();
    router.pause();
    endpoint.serve(&two);
    endpoint.serve(&two);
    endpoint.serve(&one);
    endpoint.serve(&one);
    router.resume();
    let answers = [client.answer(1), client.answer(2)].map(|answer| answer.expect("answered"));
    assert!(answers[0].ends_with(&format!("for {:016x}", 1)), "{answers:?}");
    assert!(answers[1].ends_with(&format!("for {:016x}", 2)), "{answers:?}");
    let log = router.terminate();
    assert!(log.contains(" served=2 ") && log.contains(" answers_late=2 "), "{log}");
}

/// A listener that accepts connections and reads nothing until it is told to.
struct HangingEndpoint {
    listener: std::net::TcpListener,
    connections: Vec<std::net::TcpStream>,
}

impl HangingEndpoint {
    /// Bytes of the kernel's receive buffer: a fraction of one request.
    const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

    fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.set_recv_buffer_size(Self::RECEIVE_BUFFER_BYTES).expect("set");
        socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(128).expect("it listens");
        Self { listener: socket.into(), connections: Vec::new() }
    }

    /// Accepts all connections and reads each to its end, or until nothing more arrives. Returns the ids of the
    /// requests that arrived whole.
    fn read_all(&mut self) -> Vec<String> {
        self.listener.set_nonblocking(true).expect("set");
        self.connections.extend(std::iter::from_fn(|| self.listener.accept().ok()).map(|(stream, _)| stream));
        let read = |stream: &std::net::TcpStream| {
            stream.set_nonblocking(false).expect("set");
            stream.set_read_timeout(Some(std::time::Duration::from_millis(300))).expect("set");
            let (mut decoder, mut buffer, mut ids) = (resp::Decoder::default(), [0; 64 * 1024], Vec::new());
            while let Ok(bytes @ 1..) = std::io::Read::read(&mut &*stream, &mut buffer) {
                decoder.feed(&buffer[..bytes]);
                while let Ok(Some(frame)) = decoder.next_frame() {
                    if frame[0] == b"REQ" {
                        ids.push(String::from_utf8_lossy(&frame[1]).into_owned());
                    }
                }
            }
            ids
        };
        self.connections.iter().flat_map(read).collect()
    }
}

/// Guards against an attempt that is given up half written and completed after the window for repeats.
#[test]
fn a_keyed_request_given_up_half_written_is_not_delivered_after_its_window() {
    const UPLOADS: u16 = 28;
    /// The site's window for repeats is 150 ms; the endpoint hangs well beyond it.
    const HANG_MS: u64 = 1500;
    /// Larger than what the kernels hold for one connection.
    const BODY_BYTES: usize = 60_000;
    let (mut hanging, serving) = (HangingEndpoint::new(), Endpoint::new());
    let mut setup = RouterSetup::new(&[("e-2", &serving)]);
    setup.endpoints.insert(0, ("e-1", hanging.listener.local_addr().expect("bound").to_string()));
    let router = Router::start("halfwritten", &setup);
    // Objects whose home is the endpoint that hangs are not served.
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(&router)).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        for request in 1..=UPLOADS {
            let id = 1000 * (at as u64 + 1) + u64::from(request);
            let bytes =
                Client::request_bytes_with_timeout(800, request, "keyed", id, 0xab, &vec![7; BODY_BYTES]);
            client.stream.write_all(&bytes).expect("written");
        }
    }
    sleep_ms(HANG_MS);
    for client in &mut clients {
        for request in 1..=UPLOADS {
            client.answer(request).expect("each is answered");
        }
    }
    let given_up = router.log_text().matches("an undelivered attempt was given up").count();
    let late = hanging.read_all();
    let log = router.terminate();
    assert_eq!(late, [""; 0], "delivered {HANG_MS} ms after the first attempt: {log}");
    assert!(given_up > 0, "none was half written: {log}");
}

/// Guards against an attempt that is given up when its last byte has been written, but not sent: with nothing else
/// on its connection, an orderly close would deliver it after the window.
#[test]
fn a_keyed_request_given_up_in_the_kernels_buffer_is_not_delivered_after_its_window() {
    const HANG_MS: u64 = 1500;
    /// Larger than the endpoint's receive buffer, and smaller than what the kernel takes here at once.
    const BODY_BYTES: usize = 60_000;
    let mut hanging = HangingEndpoint::new();
    let mut setup = RouterSetup::new(&[]);
    setup.endpoints.push(("e-1", hanging.listener.local_addr().expect("bound").to_string()));
    let router = Router::start("inkernel", &setup);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(&router)).collect();
    for (id, client) in (1..).zip(&mut clients) {
        let bytes = Client::request_bytes_with_timeout(800, 1, "keyed", id, 0xab, &[7; BODY_BYTES]);
        client.stream.write_all(&bytes).expect("written");
    }
    sleep_ms(HANG_MS);
    clients.iter_mut().for_each(|client| drop(client.answer(1).expect("each is answered")));
    let late = hanging.read_all();
    let log = router.terminate();
    assert_eq!(late, [""; 0], "delivered {HANG_MS} ms after the first attempt: {log}");
}

/// Guards against a new process at the address of one that was killed being taken for the old one: what may have
/// run at the old one is not sent to it, and nothing waits for its answers.
#[test]
fn what_may_have_run_at_a_killed_process_does_not_run_at_its_successor() {
    for (class, again) in [("swap", false), ("page", true)] {
        let endpoint = Endpoint::new();
        let router = Router::start(&format!("successor-{class}"), &RouterSetup::new(&[("e-1", &endpoint)]));
        let mut client = Client::connect(&router);
        for request in 1..=4 {
            client.send_request(request, class, request.into());
            endpoint.next_request();
        }
        router.pause();
        let successor = endpoint.replace();
        client.send_request(5, class, 5);
        router.resume();
        let expected = if again { 5 } else { 1 };
        let mut received: Vec<String> = Vec::new();
        while received.len() < expected {
            let request = successor.next_request();
            successor.serve(&request);
            received.push(request.id);
        }
        for request in 1..=4 {
            assert_eq!(client.status(request), if again { 200 } else { 502 }, "{class} {request}");
        }
        assert_eq!(client.status(5), 200, "{class}");
        router.terminate();
        assert!(again || received == [format!("{:016x}", 5)], "{class}: {received:?}");
        assert_eq!(successor.received_request_ids(), [""; 0], "{class}");
    }
}
