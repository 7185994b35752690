//! The program as a process, on loopback sockets whose ports the system picks.

mod rig;

use frostturn::fastcgi::{self, kind, Decoder};
use frostturn::resp;
use rig::operator_call;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;

/// A machine that answers each request with what `word` makes of its id.
fn machine(word: fn(&str) -> &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_all(stream, word));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream, word: fn(&str) -> &'static str) {
    let (mut decoder, mut buffer) = (resp::Decoder::default(), [0; 4096]);
    while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
        decoder.feed(&buffer[..bytes]);
        while let Ok(Some(frame)) = decoder.next_frame() {
            let [verb, id, ..] = &frame[..] else { return };
            let word = word(&String::from_utf8_lossy(id));
            if verb == b"REQ" && !word.is_empty() {
                let body = vec![b'x'; 240_000];
                let body: &[u8] = if word == "DONE" { &body } else { b"" };
                let frame = resp::frame(&[id, word.as_bytes(), b"tell=cached,version=ab,stamp=1", body]);
                // The router may have gone.
                let _ = stream.write_all(&frame);
            }
        }
    }
}

struct Served {
    child: Child,
    log: BufReader<ChildStderr>,
    address: String,
    /// What it said before it listened.
    early: String,
}

/// A config and where it is kept.
fn config(test: &str, machine: &str, board: &str) -> std::path::PathBuf {
    let json = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","board":"{board}",
        "limits":{{"memory_mb":192,"sockets":256}},"known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"snapshot":true,
        "endpoints":[{{"name":"s-1","address":"{machine}","zone":"east","type":"std","status":"active"}}]}}}}]}},
        "settings":{{"Az":"east","Localities":["east"],"MachineTypes":["std"],"Limits":{{"MostTries":2}},
        "RequestClasses":[{{"Name":"page","Repeat":"retryable","AimMs":250.0,"HardLimitMs":3000.0}}]}}}}"#
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.json"));
    std::fs::write(&path, json).expect("written");
    path
}

fn start(test: &str, machine: &str) -> Served {
    start_with(test, machine, &[])
}

fn start_with(test: &str, machine: &str, options: &[&str]) -> Served {
    let path = config(test, machine, "127.0.0.1:1");
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .args(options)
        .env("PROXY_CONFIG", path)
        .env_remove("PROXY_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (log, early, [address]) = until(&mut child, ["listens on "]);
    Served { child, log, address, early }
}

/// Reads the log until each of these words has come, in order: what follows each, and all that was said.
fn until<const N: usize>(
    child: &mut Child,
    words: [&str; N],
) -> (BufReader<ChildStderr>, String, [String; N]) {
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut said = String::new();
    let after = words.map(|words| {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert!(log.read_line(&mut line).expect("a log") > 0, "it ended early: {said}");
            said.push_str(&line);
        }
        line.split(words).nth(1).unwrap_or_default().split([',', '\n']).next().unwrap_or_default().to_owned()
    });
    (log, said, after)
}

impl Served {
    fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill runs").success());
    }

    /// The next line with these words.
    fn line(&mut self, words: &str) {
        let mut line = String::new();
        while !line.contains(words) {
            line.clear();
            assert!(self.log.read_line(&mut line).expect("a log") > 0, "it ended early");
        }
    }

    /// Ends it with a signal; what it logged.
    fn terminate(self) -> String {
        self.signal("-TERM");
        self.wait()
    }

    /// It ends by itself, with code 0: what it said since.
    fn wait(mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("a log");
        assert!(self.child.wait().expect("it ends").success(), "{text}");
        text
    }
}

fn ask(stream: &mut TcpStream, request: u16, path: &str, id: &str) {
    let (mut out, mut params) = (Vec::new(), Vec::new());
    fastcgi::record(&mut out, kind::BEGIN, request, &[0, 1, 1, 0, 0, 0, 0, 0]);
    for (name, value) in [
        ("SCRIPT_NAME", path),
        ("HTTP_X_REQUEST_ID", id),
        ("HTTP_X_TIMEOUT_MS", "2500"),
        ("HTTP_X_OBJECT", "00000000000000ab"),
    ] {
        fastcgi::pair(&mut params, name.as_bytes(), value.as_bytes());
    }
    for (what, content) in [(kind::PARAMS, &params[..]), (kind::PARAMS, b""), (kind::STDIN, b"")] {
        fastcgi::record(&mut out, what, request, content);
    }
    stream.write_all(&out).expect("written");
}

/// Reads until a request ends: its answer.
fn answer(stream: &mut TcpStream, request: u16) -> String {
    let (mut decoder, mut buffer, mut text) = (Decoder::default(), [0; 65_536], Vec::new());
    loop {
        let bytes = stream.read(&mut buffer).expect("readable");
        assert!(bytes > 0, "closed without an answer");
        decoder.feed(&buffer[..bytes]);
        while let Some(record) = decoder.next_record().expect("readable") {
            match record.kind {
                kind::STDOUT if record.request == request => text.extend(record.content),
                kind::END if record.request == request => return String::from_utf8_lossy(&text).into_owned(),
                _ => {}
            }
        }
    }
}

#[test]
fn it_serves_survives_malformed_clients_and_ends_cleanly() {
    let served = start("serves", &machine(|_| "DONE"));
    let connect = || TcpStream::connect(&served.address).expect("it listens");
    let mut good = connect();
    ask(&mut good, 1, "/alive", "");
    assert!(answer(&mut good, 1).starts_with("Status: 200 "), "ready");
    let mut bad = connect();
    bad.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    assert_eq!(bad.read(&mut [0; 9]).unwrap_or(0), 0, "closed");
    for (request, path) in [(1, "/ops/page"), (2, "/ops/page"), (3, "/ops/none"), (4, "/ops/page")] {
        ask(&mut good, request, path, &format!("{request:016x}"));
        let text = answer(&mut good, request);
        if path == "/ops/none" {
            assert!(text.starts_with("Status: 502 "), "{text}");
        } else {
            assert!(text.starts_with("Status: 200 ") && text.ends_with("xx") && text.len() > 240_000);
        }
    }
    let log = served.terminate();
    assert!(
        log.contains("taken=3 ") && log.contains("served=3 ") && log.contains("bad_requests=1 "),
        "{log}"
    );
    assert!(log.contains("client_faults=1 ") && log.contains("panics=0"), "{log}");
}

#[test]
fn what_is_open_at_the_signal_is_served_before_the_end() {
    let served = start("drains", &machine(|id| if id == "00000000000000a1" { "" } else { "LACK" }));
    let mut stream = TcpStream::connect(&served.address).expect("it listens");
    ask(&mut stream, 1, "/ops/page", "00000000000000a1");
    ask(&mut stream, 2, "/ops/page", "00000000000000a2");
    assert!(answer(&mut stream, 2).starts_with("Status: 503 "), "no copy: refused at once");
    let reader = thread::spawn(move || answer(&mut stream, 1));
    let log = served.terminate();
    assert!(reader.join().expect("it is answered").starts_with("Status: 503 "));
    assert!(log.contains("taken=2 ") && log.contains("refused=2 "), "{log}");
}

#[test]
fn a_new_config_moves_the_board_and_a_bad_one_changes_nothing() {
    // Without a handler the signal ends the process, with all that is open on it.
    let machine = machine(|_| "DONE");
    let mut served = start("reloads", &machine);
    let mut stream = TcpStream::connect(&served.address).expect("it listens");
    ask(&mut stream, 1, "/alive", "");
    answer(&mut stream, 1);
    let board = TcpListener::bind("127.0.0.1:0").expect("a port");
    let path = config("reloads", &machine, &board.local_addr().expect("bound").to_string());
    served.signal("-HUP");
    let (mut poll, mut first) = (board.accept().expect("it polls the new board").0, [0; 26]);
    poll.read_exact(&mut first).expect("readable");
    assert_eq!(&first, b"GET /board/poll?watch=1&li", "from the last event that it has");
    std::fs::write(path, "{").expect("written");
    served.signal("-HUP");
    served.line("the new config is not taken, the old one stays");
    ask(&mut stream, 2, "/ops/page", "00000000000000a2");
    assert!(answer(&mut stream, 2).starts_with("Status: 200 "), "the same connection serves on");
    assert!(served.terminate().contains(" reloads=1 "));
}

#[test]
fn a_bad_config_ends_the_start_with_one_line() {
    let output = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .env("PROXY_CONFIG", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"))
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.lines().count() == 1 && text.contains("cannot start"), "{text}");
}

/// A file of a test's own.
fn file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("written");
    path.to_string_lossy().into_owned()
}

#[test]
fn check_reports_every_fault_with_its_place_and_ends_with_code_1() {
    let bad = file("bad.scm", "(frostturn\n  (adresses)\n  (addresses (dials none)))");
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.example.scm");
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_frostturn")).args(args).output().expect("it runs");
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        (output.status.code(), text(output.stdout), text(output.stderr))
    };
    let (code, out, err) = run(&["check", &bad, good]);
    assert_eq!((code, out), (Some(1), format!("{good}: good\n")));
    let lines: Vec<&str> = err.lines().collect();
    assert!(lines.len() == 2 && lines[0].starts_with(&format!("{bad}:2:4: ")), "{err}");
    assert!(lines[1].starts_with(&format!("{bad}:3:21: ")), "{err}");
    assert_eq!(run(&["check", good]).0, Some(0));
    assert_eq!(run(&["chek", good]).0, Some(2), "the command line itself");
    assert!(run(&["completions", "bash"]).1.contains("_frostturn"));
    assert!(run(&["--version"]).1.starts_with("frostturn "));
}

#[test]
fn json_lines_are_objects_with_fields_and_carry_the_same_words() {
    let served = start_with("json", &machine(|_| "DONE"), &["serve", "--log", "json"]);
    let mut stream = TcpStream::connect(&served.address).expect("it listens");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    let _ = stream.read(&mut [0; 9]);
    let log = served.terminate();
    for line in log.lines() {
        let mut bytes = line.as_bytes().to_vec();
        let value = simd_json::to_owned_value(&mut bytes).expect("an object a line");
        assert!(simd_json::prelude::ValueObjectAccess::get(&value, "message").is_some(), "{line}");
    }
    assert!(log.contains("\"message\":\"a client's record can't be read: Version(71)\""), "{log}");
}

#[test]
fn a_good_operators_file_is_taken_over_at_once_and_a_bad_one_changes_nothing() {
    // The box moves to a Unix socket; the board's address is dead.
    let socket = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("box.sock");
    let _ = std::fs::remove_file(&socket);
    let listener = std::os::unix::net::UnixListener::bind(&socket).expect("a path");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let fd: std::os::fd::OwnedFd = stream.into();
            thread::spawn(move || answer_all(TcpStream::from(fd), |_| "DONE"));
        }
    });
    let operator = file("operator.scm", "(frostturn)");
    let mut served = start_with("operator", "127.0.0.1:1", &["--operator", &operator]);
    let mut stream = TcpStream::connect(&served.address).expect("it listens");
    ask(&mut stream, 1, "/ops/page", "00000000000000a1");
    assert!(!answer(&mut stream, 1).starts_with("Status: 200 "), "nobody is there");
    file("operator.scm", "(frostturn (addresses (machine s-1)))");
    served.signal("-HUP");
    served.line("the new config is not taken, the old one stays");
    let text = format!("(frostturn (addresses (machine \"s-1\" (unix \"{}\"))))", socket.display());
    file("operator.scm", &text);
    served.signal("-HUP");
    served.line("config read anew");
    // The machine may be left alone for a second after the first request's failure.
    let served_at = (2..60).find(|at| {
        thread::sleep(std::time::Duration::from_millis(100));
        ask(&mut stream, *at, "/ops/page", &format!("{:016x}", 0xb0 + u64::from(*at)));
        answer(&mut stream, *at).starts_with("Status: 200 ")
    });
    assert!(served_at.is_some(), "it is reached over the new way");
    assert!(served.terminate().contains(" reloads=1 "));
}

#[test]
fn a_plug_in_is_loaded_exchanged_by_a_signal_and_kept_where_the_new_version_is_bad() {
    let text = include_str!("../examples/plugins/new.wat");
    let program = file("plugin.wat", text);
    let views = file("views.hex", "");
    let operator = format!("(frostturn (plugins (record \"{views}\") (plugin \"p\" (file \"{program}\"))))");
    let operator = file("plugins.scm", &operator);
    let mut served = start_with("plugin", &machine(|_| "DONE"), &["--operator", &operator]);
    served.line("plug-ins taken: p");
    let mut stream = TcpStream::connect(&served.address).expect("it listens");
    ask(&mut stream, 1, "/ops/page", "00000000000000a1");
    assert!(answer(&mut stream, 1).starts_with("Status: 200 "));
    file("plugin.wat", "(module (func");
    served.signal("-HUP");
    served.line("plug-in p is not taken, an old version stays");
    ask(&mut stream, 2, "/ops/page", "00000000000000a2");
    assert!(answer(&mut stream, 2).starts_with("Status: 200 "));
    served.signal("-USR1");
    served.line("labels: {\"seen\": 2}");
    served.line("the latest views are in");
    file("plugin.wat", text);
    let replayed = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .args(["plugin", "run", &program, "--views", &views])
        .output()
        .expect("it runs");
    let lines = String::from_utf8_lossy(&replayed.stdout).into_owned();
    assert_eq!(lines.matches("Label(\"seen\")").count(), 2, "{lines}");
    served.signal("-HUP");
    served.line("plug-ins taken: p");
    served.terminate();
}

/// Starts one with a place for operators' calls; that place.
fn start_with_ops(test: &str, machine: &str, listen: &str) -> (Served, String) {
    start_below(&std::env::temp_dir(), test, machine, listen)
}

/// The same, with its files below `tmp`.
fn start_below(tmp: &Path, test: &str, machine: &str, listen: &str) -> (Served, String) {
    let path = config(test, machine, "127.0.0.1:1");
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .env("PROXY_CONFIG", path)
        .env("TMPDIR", tmp)
        .env("PROXY_LISTEN", listen)
        .env("PROXY_OPS", "127.0.0.1:0")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (log, early, [ops, address]) = until(&mut child, ["operators call at ", "listens on "]);
    (Served { child, log, address, early }, ops)
}

#[test]
fn operators_take_a_machine_out_and_back_and_empty_the_router() {
    let (served, ops) = start_with_ops("ops", &machine(|_| "DONE"), "127.0.0.1:0");
    // Callers that say nothing hold nothing up.
    let _silent: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(&ops).expect("it listens")).collect();
    let mut stream = TcpStream::connect(&served.address).expect("it listens");
    let mut at = 0;
    let mut status = |stream: &mut TcpStream| {
        at += 1;
        ask(stream, at, "/ops/page", &format!("{at:016x}"));
        answer(stream, at)[..11].to_owned()
    };
    assert_eq!(
        (operator_call(&ops, "GET", "/api/ready", ""), status(&mut stream)),
        (200, "Status: 200".into())
    );
    assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-unknown"), 404);
    // Out twice, and back once.
    assert_eq!(
        (
            operator_call(&ops, "POST", "/api/exclude", "s-1"),
            operator_call(&ops, "POST", "/api/exclude", "s-1")
        ),
        (200, 200)
    );
    assert_ne!(status(&mut stream), "Status: 200", "nothing more goes there");
    assert_eq!(operator_call(&ops, "GET", "/api/ready", ""), 503, "nobody is left to serve");
    assert_eq!(operator_call(&ops, "POST", "/api/include", "s-1"), 200);
    assert_eq!(
        (operator_call(&ops, "GET", "/api/ready", ""), status(&mut stream)),
        (200, "Status: 200".into())
    );
    // Emptied: it says no, finishes, closes what is at rest, and goes on.
    assert_eq!(
        (operator_call(&ops, "POST", "/api/evacuate", ""), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 503)
    );
    assert_eq!(stream.read(&mut [0; 9]).unwrap_or(0), 0, "a connection at rest is closed");
    assert_eq!(
        (operator_call(&ops, "POST", "/api/rejoin", ""), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 200)
    );
    let mut stream = TcpStream::connect(&served.address).expect("it listens still");
    assert_eq!(status(&mut stream), "Status: 200");
    assert_eq!(operator_call(&ops, "PUT", "/api/rejoin", ""), 405);
    served.terminate();
}

#[test]
fn a_new_version_starts_beside_the_old_one_and_takes_over() {
    let box_ = machine(|_| "DONE");
    let (old, old_ops) = start_with_ops("old", &box_, "127.0.0.1:0");
    let (new, new_ops) = start_with_ops("new", &box_, &old.address);
    assert_eq!(new.address, old.address);
    assert_eq!(
        (operator_call(&old_ops, "GET", "/api/ready", ""), operator_call(&new_ops, "GET", "/api/ready", "")),
        (200, 200)
    );
    // Connections that are open when the old one is told to end are served by whoever took them.
    let mut streams: Vec<TcpStream> =
        (0..16).map(|_| TcpStream::connect(&new.address).expect("one of them listens")).collect();
    old.signal("-TERM");
    for (at, stream) in (1..).zip(&mut streams) {
        ask(stream, 1, "/ops/page", &format!("{at:016x}"));
        assert!(answer(stream, 1).starts_with("Status: 200 "));
    }
    let log = old.terminate();
    assert!(log.contains(" ends; counters"), "{log}");
    for at in 0..16 {
        let mut stream = TcpStream::connect(&new.address).expect("the new one listens");
        ask(&mut stream, 1, "/ops/page", &format!("{:016x}", 0x100 + at));
        assert!(answer(&mut stream, 1).starts_with("Status: 200 "));
    }
    new.terminate();
}

#[test]
fn what_two_processes_are_told_at_the_same_moment_holds_in_both() {
    let box_ = machine(|_| "DONE");
    // The list has a second machine at the same place.
    let two =
        format!(r#"{box_}","zone":"east","type":"std","status":"active"}},{{"name":"s-2","address":"{box_}"#);
    let (old, old_ops) = start_with_ops("both-old", &two, "127.0.0.1:0");
    let (new, new_ops) = start_with_ops("both-new", &two, &old.address);
    // Neither has had time to look at what the other has saved.
    assert_eq!(operator_call(&old_ops, "POST", "/api/exclude", "s-1"), 200);
    assert_eq!(operator_call(&new_ops, "POST", "/api/exclude", "s-2"), 200);
    for ops in [&new_ops, &old_ops] {
        let nobody_is_left = (0..100).any(|_| {
            thread::sleep(std::time::Duration::from_millis(30));
            operator_call(ops, "GET", "/api/ready", "") == 503
        });
        assert!(nobody_is_left, "both are out in both");
    }
    // And they stay out when each has looked again.
    thread::sleep(std::time::Duration::from_millis(600));
    assert_eq!(
        (operator_call(&old_ops, "GET", "/api/ready", ""), operator_call(&new_ops, "GET", "/api/ready", "")),
        (503, 503)
    );
    for name in ["s-1", "s-2"] {
        assert_eq!(operator_call(&old_ops, "POST", "/api/include", name), 200);
    }
    old.terminate();
    new.terminate();
}

/// A folder of its own for a test, empty.
fn folder(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-tmp"));
    let _ = std::fs::remove_dir_all(&path); // There may be none from an earlier run.
    std::fs::create_dir(&path).expect("made");
    path
}

/// Where the router that listens there keeps what its processes share.
fn state_file(tmp: &Path, address: &str) -> PathBuf {
    tmp.join(format!("frostturn-{}.state", address.replace(['.', ':'], "-")))
}

/// Asks once on a connection of its own; whether it was served.
fn is_served(address: &str, id: u64) -> bool {
    let mut stream = TcpStream::connect(address).expect("it listens");
    ask(&mut stream, 1, "/ops/page", &format!("{id:016x}"));
    answer(&mut stream, 1).starts_with("Status: 200 ")
}

#[test]
fn what_cannot_be_saved_is_answered_500_and_changes_nothing() {
    let tmp = folder("unsaved");
    let (served, ops) = start_below(&tmp, "unsaved", &machine(|_| "DONE"), "127.0.0.1:0");
    let file = state_file(&tmp, &served.address);
    assert!(file.exists(), "it says that it is there");
    // A folder in its place can't be replaced by a file; nor can one be read from it.
    std::fs::remove_file(&file).and_then(|()| std::fs::create_dir(&file)).expect("a folder in its place");
    assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-1"), 500);
    assert_eq!((operator_call(&ops, "GET", "/api/ready", ""), is_served(&served.address, 1)), (200, true));
    let left = std::fs::read_dir(&tmp).expect("there").flatten().map(|entry| entry.file_name());
    assert!(
        left.into_iter().all(|name| !name.to_string_lossy().ends_with(".part")),
        "nothing half done stays"
    );
    // It can be saved again: the next call holds, and the one before was not kept back for it.
    std::fs::remove_dir(&file).expect("empty");
    assert_eq!(
        (operator_call(&ops, "POST", "/api/include", "s-1"), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 200)
    );
    assert_eq!(
        (operator_call(&ops, "POST", "/api/exclude", "s-1"), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 503)
    );
    served.terminate();
    std::fs::remove_dir_all(&tmp).expect("there");
}

#[test]
fn a_bad_file_of_another_process_is_told_in_one_line_and_the_start_is_a_normal_one() {
    let box_ = machine(|_| "DONE");
    let tmp = folder("badfile");
    let (old, old_ops) = start_below(&tmp, "badfile-old", &box_, "127.0.0.1:0");
    assert_eq!(operator_call(&old_ops, "POST", "/api/exclude", "s-1"), 200);
    let (address, file) = (old.address.clone(), state_file(&tmp, &old.address));
    let good = std::fs::read(&file).expect("saved");
    old.terminate();
    let mut other = good.clone();
    other[7] += 1;
    let bad: [(&[u8], &str); 4] = [
        (&good[..good.len() - 3], "it is cut short or was changed"),
        (&other, "it is of another kind or version"),
        (b"{\"excluded\":[\"s-1\"]}", "it is of another kind or version"),
        (&vec![b'x'; 600_000], "it is too large"),
    ];
    for (bytes, why) in bad {
        std::fs::write(&file, bytes).expect("written");
        let (served, ops) = start_below(&tmp, "badfile", &box_, &address);
        assert_eq!(
            (operator_call(&ops, "GET", "/api/ready", ""), is_served(&address, 1)),
            (200, true),
            "{why}"
        );
        assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-1"), 200, "and saves over it");
        assert_eq!(operator_call(&ops, "POST", "/api/include", "s-1"), 200);
        let said = served.early.clone() + &served.terminate();
        assert_eq!(said.matches("is not taken: ").count(), 1, "one line: {said}");
        assert!(said.contains(why), "with its reason: {said}");
    }
    // The good one, as it was: what is out is out from the first word on.
    std::fs::write(&file, &good).expect("written");
    let (served, ops) = start_below(&tmp, "badfile-good", &box_, &address);
    assert_eq!(operator_call(&ops, "GET", "/api/ready", ""), 503, "s-1 is out, and was the only one");
    served.terminate();
    std::fs::remove_dir_all(&tmp).expect("there");
}

#[test]
fn a_new_version_that_dies_or_cannot_start_leaves_the_old_one_serving() {
    let box_ = machine(|_| "DONE");
    let (old, old_ops) = start_with_ops("stays", &box_, "127.0.0.1:0");
    let mut kept = TcpStream::connect(&old.address).expect("it listens");
    ask(&mut kept, 1, "/ops/page", &format!("{:016x}", 1));
    assert!(answer(&mut kept, 1).starts_with("Status: 200 "));
    // One that can't read its config.
    let broken = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .env("PROXY_CONFIG", "/nonexistent")
        .env("PROXY_LISTEN", &old.address)
        .output()
        .expect("it starts");
    assert_eq!(broken.status.code(), Some(1));
    // One that is killed when it has begun to listen.
    let (mut new, _) = start_with_ops("dies", &box_, &old.address);
    new.child.kill().and_then(|()| new.child.wait()).expect("killed");
    for id in 2..20 {
        assert!(is_served(&old.address, id), "new connections come to the old one alone");
    }
    ask(&mut kept, 2, "/ops/page", &format!("{:016x}", 0x100));
    assert!(answer(&mut kept, 2).starts_with("Status: 200 "), "nor did its own connections notice");
    assert_eq!(
        operator_call(&old_ops, "POST", "/api/exclude", "s-1"),
        200,
        "the lock of a dead process is free"
    );
    assert_eq!(operator_call(&old_ops, "POST", "/api/include", "s-1"), 200);
    old.terminate();
}

#[test]
fn operators_are_answered_beside_busy_clients_and_callers_that_finish_nothing() {
    let (served, ops) = start_with_ops("busy", &machine(|_| "DONE"), "127.0.0.1:0");
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..4_u64)
        .map(|client| {
            let (address, stop, answers) = (served.address.clone(), stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("it listens");
                let mut answered = 0_u16;
                // 240 KB an answer, as fast as they come.
                while !stop.load(Ordering::Relaxed) && answered < 20_000 {
                    answered += 1;
                    ask(&mut stream, answered, "/ops/page", &format!("{client:08x}{answered:08x}"));
                    let head = answer(&mut stream, answered);
                    assert!(head.starts_with("Status: 200 ") || head.starts_with("Status: 503 "), "{head}");
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    let mut halves: Vec<TcpStream> = (0..5).map(|_| TcpStream::connect(&ops).expect("it listens")).collect();
    for half in &mut halves {
        half.write_all(b"POST /api/exclude HTTP/1.1\r\nContent-Length: 3\r\n\r\ns").expect("written");
    }
    for round in 1..=10 {
        // Each round of calls stands between clients' answers, however slow this machine is.
        rig::wait_until("they are busy", || answers.load(Ordering::Relaxed) >= 8 * round);
        assert_eq!(operator_call(&ops, "GET", "/api/ready", ""), 200);
        assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-none"), 404);
        assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-1"), 200);
        assert_eq!(operator_call(&ops, "POST", "/api/include", "s-1"), 200);
        assert_eq!(
            (operator_call(&ops, "GET", "/api/nothing", ""), operator_call(&ops, "PUT", "/api/ready", "")),
            (404, 405)
        );
        assert_eq!(operator_call(&ops, "POST", "/api/exclude", &"x".repeat(5000)), 413);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| client.join().expect("all answered"));
    served.terminate();
}

#[test]
fn a_slow_reader_gets_the_whole_of_what_it_is_owed_at_the_end() {
    let served = start("slowreader", &machine(|_| "DONE"));
    let mut slow = TcpStream::connect(&served.address).expect("it listens");
    // More than the sockets between them hold, so that most of it waits in the router.
    let all = 32;
    for request in 1..=all {
        ask(&mut slow, request, "/ops/page", &format!("{request:016x}"));
    }
    // All are answered, as far as it goes.
    let mut other = TcpStream::connect(&served.address).expect("it listens");
    ask(&mut other, 1, "/ops/page", &format!("{:016x}", 0x100));
    assert!(answer(&mut other, 1).starts_with("Status: 200 "));
    served.signal("-TERM");
    // Its listener has closed, and the moment that was granted before is over, when the client goes on reading.
    thread::sleep(std::time::Duration::from_millis(1300));
    let (mut decoder, mut buffer, mut ended) = (Decoder::default(), [0; 65_536], 0);
    while let Ok(bytes @ 1..) = slow.read(&mut buffer) {
        decoder.feed(&buffer[..bytes]);
        while let Some(record) = decoder.next_record().expect("readable") {
            ended += u16::from(record.kind == kind::END);
        }
    }
    assert_eq!(ended, all, "each whole");
    assert!(served.wait().contains("panics=0"));
}

#[test]
fn operators_call_from_the_command_line_over_a_unix_socket_and_hear_what_was_done() {
    let tmp = folder("ctl");
    let socket = tmp.join("ops.sock");
    std::fs::write(&socket, "left by a process that died").expect("written");
    let operator = file("ctl.scm", &format!("(frostturn (ops (unix {:?})))", socket.display().to_string()));
    let mut served = start_with("ctl", &machine(|_| "DONE"), &["--operator", &operator]);
    assert!(served.early.contains("operators call at /"), "{}", served.early);
    let ctl = |words: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_frostturn"))
            .args(["--operator", &operator, "ctl"])
            .args(words)
            .env_remove("PROXY_OPS")
            .output()
            .expect("it starts");
        (out.status.code().unwrap_or(-1), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    assert_eq!(ctl(&["ready"]), (0, "yes\n".into()));
    assert!(is_served(&served.address, 1));
    assert_eq!((ctl(&["exclude", "s-none"]).0, ctl(&["exclude", "s-1"]).0, ctl(&["ready"]).0), (1, 0, 1));
    assert_eq!((ctl(&["include", "s-1"]).0, ctl(&["evacuate"]).0, ctl(&["ready"]).0), (0, 0, 1));
    assert_eq!((ctl(&["rejoin"]).0, ctl(&["ready"]).0, ctl(&["exclude"]).0), (0, 0, 2));
    served.signal("-HUP");
    served.line("config read anew");
    let (code, told) = ctl(&["status"]);
    assert_eq!(code, 0);
    for figure in
        ["svc_succeeded\":1,", "svc_outstanding\":0,", "svc_discovered\":1,", "svc_sighup_applied\":1,"]
    {
        assert!(told.contains(figure), "{figure}: {told}");
    }
    assert!(told.contains(r#"{"service":"page","disposition":"succeeded","count":1}"#), "{told}");
    served.terminate();
    assert!(!socket.exists(), "taken away with it");
    assert_eq!(ctl(&["ready"]).0, 3, "nobody answers");
    std::fs::remove_dir_all(&tmp).expect("there");
}

#[test]
fn a_file_spoilt_between_two_processes_is_mended_by_the_one_that_knows_what_it_said() {
    let box_ = machine(|_| "DONE");
    let tmp = folder("mended");
    let (old, old_ops) = start_below(&tmp, "mended-old", &box_, "127.0.0.1:0");
    assert_eq!(operator_call(&old_ops, "POST", "/api/exclude", "s-1"), 200);
    let file = state_file(&tmp, &old.address);
    let bytes = std::fs::read(&file).expect("saved");
    std::fs::write(&file, &bytes[..bytes.len() - 3]).expect("written");
    let (new, new_ops) = start_below(&tmp, "mended-new", &box_, &old.address);
    let heeds = |ops: &str| {
        (0..100).any(|_| {
            thread::sleep(std::time::Duration::from_millis(30));
            operator_call(ops, "GET", "/api/ready", "") == 503
        })
    };
    assert!(heeds(&new_ops) && heeds(&old_ops), "the only machine is out in both");
    // And still so when either has said its next word.
    thread::sleep(std::time::Duration::from_millis(1500));
    assert_eq!(
        (operator_call(&old_ops, "GET", "/api/ready", ""), operator_call(&new_ops, "GET", "/api/ready", "")),
        (503, 503)
    );
    old.terminate();
    new.terminate();
    std::fs::remove_dir_all(&tmp).expect("there");
}
