//! The program as a process, on loopback sockets with ports chosen by the kernel.

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

/// Starts a machine that answers each request with the status that `status_for` returns for its id, and not
/// at all if that is empty. Returns its address.
fn machine(status_for: fn(&str) -> &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer_all(stream, status_for));
        }
    });
    address
}

fn answer_all(mut stream: TcpStream, status_for: fn(&str) -> &'static str) {
    let (mut decoder, mut buffer) = (resp::Decoder::default(), [0; 4096]);
    while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
        decoder.feed(&buffer[..bytes]);
        while let Ok(Some(frame)) = decoder.next_frame() {
            let [verb, id, ..] = &frame[..] else { return };
            let status = status_for(&String::from_utf8_lossy(id));
            if verb == b"REQ" && !status.is_empty() {
                let body = vec![b'x'; 240_000];
                let body: &[u8] = if status == "DONE" { &body } else { b"" };
                let frame = resp::frame(&[id, status.as_bytes(), b"tell=cached,version=ab,stamp=1", body]);
                // The router may have closed the connection.
                let _ = stream.write_all(&frame);
            }
        }
    }
}

/// A running router process.
struct RunningRouter {
    child: Child,
    log: BufReader<ChildStderr>,
    address: String,
    /// The log up to the line that reports the listen address.
    startup_log: String,
}

/// Writes a configuration and returns its path.
fn write_config(test: &str, machine: &str, discovery: &str) -> std::path::PathBuf {
    let json = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","seed":"7","board":"{discovery}",
        "limits":{{"memory_mb":192,"sockets":256}},"known":{{"rev":1,"notices":[{{"rev":1,"pool":{{"snapshot":true,
        "endpoints":[{{"name":"s-1","address":"{machine}","zone":"east","type":"std","status":"active"}}]}}}}]}},
        "settings":{{"Az":"east","Localities":["east"],"MachineTypes":["std"],"Limits":{{"MostTries":2}},
        "RequestClasses":[{{"Name":"page","Repeat":"retryable","AimMs":250.0,"HardLimitMs":3000.0}}]}}}}"#
    );
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.json"));
    std::fs::write(&path, json).expect("written");
    path
}

fn start(test: &str, machine: &str) -> RunningRouter {
    start_with(test, machine, &[])
}

fn start_with(test: &str, machine: &str, options: &[&str]) -> RunningRouter {
    let path = write_config(test, machine, "127.0.0.1:1");
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .args(options)
        .env("PROXY_CONFIG", path)
        .env_remove("PROXY_LISTEN")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (log, startup_log, [address]) = read_log_until(&mut child, ["listens on "]);
    RunningRouter { child, log, address, startup_log }
}

/// Reads the log until each of these texts has appeared, in order. Returns the reader, the log so far, and
/// what follows each text on its line.
fn read_log_until<const N: usize>(
    child: &mut Child,
    texts: [&str; N],
) -> (BufReader<ChildStderr>, String, [String; N]) {
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let mut read = String::new();
    let after = texts.map(|text| {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(log.read_line(&mut line).expect("a log") > 0, "the log ended early: {read}");
            read.push_str(&line);
        }
        line.split(text).nth(1).unwrap_or_default().split([',', '\n']).next().unwrap_or_default().to_owned()
    });
    (log, read, after)
}

impl RunningRouter {
    fn signal(&self, name: &str) {
        let killed = Command::new("kill").args([name, &self.child.id().to_string()]).status();
        assert!(killed.expect("kill runs").success());
    }

    /// Reads the log until a line contains a text.
    fn wait_for_line(&mut self, text: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.log.read_line(&mut line).expect("a log") > 0, "the log ended early");
        }
    }

    /// Sends SIGTERM, waits for the exit and returns the rest of the log.
    fn terminate(self) -> String {
        self.signal("-TERM");
        self.wait_for_exit()
    }

    /// Waits for an exit with code 0 and returns the rest of the log.
    fn wait_for_exit(mut self) -> String {
        let mut text = String::new();
        self.log.read_to_string(&mut text).expect("a log");
        assert!(self.child.wait().expect("it exits").success(), "{text}");
        text
    }
}

/// Sends a request.
fn send_request(stream: &mut TcpStream, request: u16, path: &str, id: &str) {
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

/// Reads the answer to a request.
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
fn requests_are_served_despite_malformed_clients_and_the_process_exits_cleanly() {
    let router = start("serves", &machine(|_| "DONE"));
    let connect = || TcpStream::connect(&router.address).expect("it listens");
    let mut good = connect();
    send_request(&mut good, 1, "/alive", "");
    assert!(answer(&mut good, 1).starts_with("Status: 200 "), "ready");
    let mut malformed = connect();
    malformed.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    assert_eq!(malformed.read(&mut [0; 9]).unwrap_or(0), 0, "closed");
    for (request, path) in [(1, "/ops/page"), (2, "/ops/page"), (3, "/ops/none"), (4, "/ops/page")] {
        send_request(&mut good, request, path, &format!("{request:016x}"));
        let text = answer(&mut good, request);
        if path == "/ops/none" {
            assert!(text.starts_with("Status: 502 "), "{text}");
        } else {
            assert!(text.starts_with("Status: 200 ") && text.ends_with("xx") && text.len() > 240_000);
        }
    }
    let log = router.terminate();
    assert!(
        log.contains("taken=3 ") && log.contains("served=3 ") && log.contains("bad_requests=1 "),
        "{log}"
    );
    assert!(log.contains("client_faults=1 ") && log.contains("panics=0"), "{log}");
}

#[test]
fn requests_open_at_sigterm_are_answered_before_the_exit() {
    let router = start("drains", &machine(|id| if id == "00000000000000a1" { "" } else { "LACK" }));
    let mut stream = TcpStream::connect(&router.address).expect("it listens");
    send_request(&mut stream, 1, "/ops/page", "00000000000000a1");
    send_request(&mut stream, 2, "/ops/page", "00000000000000a2");
    assert!(answer(&mut stream, 2).starts_with("Status: 503 "), "no machine has a copy: refused at once");
    let reader = thread::spawn(move || answer(&mut stream, 1));
    let log = router.terminate();
    assert!(reader.join().expect("it is answered").starts_with("Status: 503 "));
    assert!(log.contains("taken=2 ") && log.contains("refused=2 "), "{log}");
}

#[test]
fn a_reloaded_configuration_changes_the_discovery_address_and_an_invalid_one_changes_nothing() {
    // Without a handler the signal would kill the process and its open requests.
    let machine = machine(|_| "DONE");
    let mut router = start("reloads", &machine);
    let mut stream = TcpStream::connect(&router.address).expect("it listens");
    send_request(&mut stream, 1, "/alive", "");
    answer(&mut stream, 1);
    let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
    let path = write_config("reloads", &machine, &discovery.local_addr().expect("bound").to_string());
    router.signal("-HUP");
    let (mut poll, mut first) = (discovery.accept().expect("it polls the new service").0, [0; 26]);
    poll.read_exact(&mut first).expect("readable");
    assert_eq!(&first, b"GET /board/poll?watch=1&li", "from the last event received");
    std::fs::write(path, "{").expect("written");
    router.signal("-HUP");
    router.wait_for_line("new configuration rejected, keeping the current one");
    send_request(&mut stream, 2, "/ops/page", "00000000000000a2");
    assert!(answer(&mut stream, 2).starts_with("Status: 200 "), "the connection stays usable");
    assert!(router.terminate().contains(" reloads=1 "));
}

#[test]
fn an_invalid_configuration_fails_the_start_with_one_line() {
    let output = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .env("PROXY_CONFIG", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml"))
        .output()
        .expect("it runs");
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success() && text.lines().count() == 1 && text.contains("cannot start"), "{text}");
}

/// Writes a file for a test and returns its path.
fn write_file(name: &str, text: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("written");
    path.to_string_lossy().into_owned()
}

#[test]
fn check_reports_every_error_with_its_position_and_exits_with_code_1() {
    let malformed = write_file("bad.scm", "(frostturn\n  (adresses)\n  (addresses (dials none)))");
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/operator.example.scm");
    let run = |args: &[&str]| {
        let output = Command::new(env!("CARGO_BIN_EXE_frostturn")).args(args).output().expect("it runs");
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        (output.status.code(), text(output.stdout), text(output.stderr))
    };
    let (code, out, err) = run(&["check", &malformed, good]);
    assert_eq!((code, out), (Some(1), format!("{good}: good\n")));
    let lines: Vec<&str> = err.lines().collect();
    assert!(lines.len() == 2 && lines[0].starts_with(&format!("{malformed}:2:4: ")), "{err}");
    assert!(lines[1].starts_with(&format!("{malformed}:3:21: ")), "{err}");
    assert_eq!(run(&["check", good]).0, Some(0));
    assert_eq!(run(&["chek", good]).0, Some(2), "an invalid command line");
    assert!(run(&["completions", "bash"]).1.contains("_frostturn"));
    assert!(run(&["--version"]).1.starts_with("frostturn "));
}

#[test]
fn json_log_lines_are_objects_with_fields_and_the_same_message() {
    let router = start_with("json", &machine(|_| "DONE"), &["serve", "--log", "json"]);
    let mut stream = TcpStream::connect(&router.address).expect("it listens");
    stream.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("written");
    let _ = stream.read(&mut [0; 9]);
    let log = router.terminate();
    for line in log.lines() {
        let mut bytes = line.as_bytes().to_vec();
        let value = simd_json::to_owned_value(&mut bytes).expect("one object per line");
        assert!(simd_json::prelude::ValueObjectAccess::get(&value, "message").is_some(), "{line}");
    }
    assert!(log.contains("\"message\":\"malformed record from a client: Version(71)\""), "{log}");
}

#[test]
fn a_valid_operators_file_is_applied_on_reload_and_an_invalid_one_changes_nothing() {
    // The machine is reachable over a Unix socket only; nothing listens at its address from the discovery
    // service.
    let socket = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("box.sock");
    let _ = std::fs::remove_file(&socket);
    let listener = std::os::unix::net::UnixListener::bind(&socket).expect("a path");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let fd: std::os::fd::OwnedFd = stream.into();
            thread::spawn(move || answer_all(TcpStream::from(fd), |_| "DONE"));
        }
    });
    let operator = write_file("operator.scm", "(frostturn)");
    let mut router = start_with("operator", "127.0.0.1:1", &["--operator", &operator]);
    let mut stream = TcpStream::connect(&router.address).expect("it listens");
    send_request(&mut stream, 1, "/ops/page", "00000000000000a1");
    assert!(!answer(&mut stream, 1).starts_with("Status: 200 "), "nothing listens there");
    write_file("operator.scm", "(frostturn (addresses (machine s-1)))");
    router.signal("-HUP");
    router.wait_for_line("new configuration rejected, keeping the current one");
    let text = format!("(frostturn (addresses (machine \"s-1\" (unix \"{}\"))))", socket.display());
    write_file("operator.scm", &text);
    router.signal("-HUP");
    router.wait_for_line("configuration reloaded");
    // The machine may be avoided for a second after the failure of the first request.
    let served_at = (2..60).find(|at| {
        thread::sleep(std::time::Duration::from_millis(100));
        send_request(&mut stream, *at, "/ops/page", &format!("{:016x}", 0xb0 + u64::from(*at)));
        answer(&mut stream, *at).starts_with("Status: 200 ")
    });
    assert!(served_at.is_some(), "it is reached over the new address");
    assert!(router.terminate().contains(" reloads=1 "));
}

#[test]
fn a_plug_in_is_loaded_and_replaced_on_reload_and_kept_if_the_new_version_is_invalid() {
    let text = include_str!("../examples/plugins/new.wat");
    let program = write_file("plugin.wat", text);
    let views = write_file("views.hex", "");
    let operator = format!("(frostturn (plugins (record \"{views}\") (plugin \"p\" (file \"{program}\"))))");
    let operator = write_file("plugins.scm", &operator);
    let mut router = start_with("plugin", &machine(|_| "DONE"), &["--operator", &operator]);
    router.wait_for_line("plug-ins taken: p");
    let mut stream = TcpStream::connect(&router.address).expect("it listens");
    send_request(&mut stream, 1, "/ops/page", "00000000000000a1");
    assert!(answer(&mut stream, 1).starts_with("Status: 200 "));
    write_file("plugin.wat", "(module (func");
    router.signal("-HUP");
    router.wait_for_line("cannot load plug-in p; a loaded version stays in use");
    send_request(&mut stream, 2, "/ops/page", "00000000000000a2");
    assert!(answer(&mut stream, 2).starts_with("Status: 200 "));
    router.signal("-USR1");
    router.wait_for_line("labels: {\"seen\": 2}");
    router.wait_for_line("wrote the latest views to");
    write_file("plugin.wat", text);
    let replayed = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .args(["plugin", "run", &program, "--views", &views])
        .output()
        .expect("it runs");
    let lines = String::from_utf8_lossy(&replayed.stdout).into_owned();
    assert_eq!(lines.matches("Label(\"seen\")").count(), 2, "{lines}");
    router.signal("-HUP");
    router.wait_for_line("plug-ins taken: p");
    router.terminate();
}

/// Starts a router with an operators' interface. Returns the router and the interface's address.
fn start_with_ops(test: &str, machine: &str, listen: &str) -> (RunningRouter, String) {
    start_with_tmp(&std::env::temp_dir(), test, machine, listen)
}

/// As [`start_with_ops`], with `TMPDIR` set to `tmp`.
fn start_with_tmp(tmp: &Path, test: &str, machine: &str, listen: &str) -> (RunningRouter, String) {
    let path = write_config(test, machine, "127.0.0.1:1");
    let mut child = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .env("PROXY_CONFIG", path)
        .env("TMPDIR", tmp)
        .env("PROXY_LISTEN", listen)
        .env("PROXY_OPS", "127.0.0.1:0")
        .stderr(Stdio::piped())
        .spawn()
        .expect("it starts");
    let (log, startup_log, [ops, address]) =
        read_log_until(&mut child, ["operators call at ", "listens on "]);
    (RunningRouter { child, log, address, startup_log }, ops)
}

#[test]
fn operators_exclude_and_include_a_machine_and_drain_the_router() {
    let (router, ops) = start_with_ops("ops", &machine(|_| "DONE"), "127.0.0.1:0");
    // Connections that send nothing delay nothing.
    let _silent: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(&ops).expect("it listens")).collect();
    let mut stream = TcpStream::connect(&router.address).expect("it listens");
    let mut at = 0;
    let mut status = |stream: &mut TcpStream| {
        at += 1;
        send_request(stream, at, "/ops/page", &format!("{at:016x}"));
        answer(stream, at)[..11].to_owned()
    };
    assert_eq!(
        (operator_call(&ops, "GET", "/api/ready", ""), status(&mut stream)),
        (200, "Status: 200".into())
    );
    assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-unknown"), 404);
    // Excluded twice and included once.
    assert_eq!(
        (
            operator_call(&ops, "POST", "/api/exclude", "s-1"),
            operator_call(&ops, "POST", "/api/exclude", "s-1")
        ),
        (200, 200)
    );
    assert_ne!(status(&mut stream), "Status: 200", "nothing more is sent there");
    assert_eq!(operator_call(&ops, "GET", "/api/ready", ""), 503, "no machine is left");
    assert_eq!(operator_call(&ops, "POST", "/api/include", "s-1"), 200);
    assert_eq!(
        (operator_call(&ops, "GET", "/api/ready", ""), status(&mut stream)),
        (200, "Status: 200".into())
    );
    // Drained: it reports not ready, closes idle connections, and continues.
    assert_eq!(
        (operator_call(&ops, "POST", "/api/evacuate", ""), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 503)
    );
    assert_eq!(stream.read(&mut [0; 9]).unwrap_or(0), 0, "an idle connection is closed");
    assert_eq!(
        (operator_call(&ops, "POST", "/api/rejoin", ""), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 200)
    );
    let mut stream = TcpStream::connect(&router.address).expect("it listens still");
    assert_eq!(status(&mut stream), "Status: 200");
    assert_eq!(operator_call(&ops, "PUT", "/api/rejoin", ""), 405);
    router.terminate();
}

#[test]
fn a_new_process_starts_beside_the_old_one_and_takes_over() {
    let machine = machine(|_| "DONE");
    let (old, old_ops) = start_with_ops("old", &machine, "127.0.0.1:0");
    let (new, new_ops) = start_with_ops("new", &machine, &old.address);
    assert_eq!(new.address, old.address);
    assert_eq!(
        (operator_call(&old_ops, "GET", "/api/ready", ""), operator_call(&new_ops, "GET", "/api/ready", "")),
        (200, 200)
    );
    // Connections that are open at SIGTERM of the old process are served by the process that accepted them.
    let mut streams: Vec<TcpStream> =
        (0..16).map(|_| TcpStream::connect(&new.address).expect("one of them listens")).collect();
    old.signal("-TERM");
    for (at, stream) in (1..).zip(&mut streams) {
        send_request(stream, 1, "/ops/page", &format!("{at:016x}"));
        assert!(answer(stream, 1).starts_with("Status: 200 "));
    }
    let log = old.terminate();
    assert!(log.contains(" ends; counters"), "{log}");
    for at in 0..16 {
        let mut stream = TcpStream::connect(&new.address).expect("the new process listens");
        send_request(&mut stream, 1, "/ops/page", &format!("{:016x}", 0x100 + at));
        assert!(answer(&mut stream, 1).starts_with("Status: 200 "));
    }
    new.terminate();
}

#[test]
fn changes_made_in_two_processes_at_the_same_time_hold_in_both() {
    let machine = machine(|_| "DONE");
    // The list has a second machine at the same address.
    let two = format!(
        r#"{machine}","zone":"east","type":"std","status":"active"}},{{"name":"s-2","address":"{machine}"#
    );
    let (old, old_ops) = start_with_ops("both-old", &two, "127.0.0.1:0");
    let (new, new_ops) = start_with_ops("both-new", &two, &old.address);
    // Neither process has had time to read what the other has saved.
    assert_eq!(operator_call(&old_ops, "POST", "/api/exclude", "s-1"), 200);
    assert_eq!(operator_call(&new_ops, "POST", "/api/exclude", "s-2"), 200);
    for ops in [&new_ops, &old_ops] {
        let no_machine_left = (0..100).any(|_| {
            thread::sleep(std::time::Duration::from_millis(30));
            operator_call(ops, "GET", "/api/ready", "") == 503
        });
        assert!(no_machine_left, "both machines are excluded in both processes");
    }
    // They stay excluded after each process has read the file again.
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

/// Creates an empty directory for a test.
fn test_directory(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}-tmp"));
    let _ = std::fs::remove_dir_all(&path); // It exists only after an earlier run.
    std::fs::create_dir(&path).expect("directory created");
    path
}

/// Returns the path of the state file of the router that listens at an address.
fn state_file(tmp: &Path, address: &str) -> PathBuf {
    tmp.join(format!("frostturn-{}.state", address.replace(['.', ':'], "-")))
}

/// Sends one request on a new connection. Returns whether it was served.
fn is_served(address: &str, id: u64) -> bool {
    let mut stream = TcpStream::connect(address).expect("it listens");
    send_request(&mut stream, 1, "/ops/page", &format!("{id:016x}"));
    answer(&mut stream, 1).starts_with("Status: 200 ")
}

#[test]
fn a_change_that_cannot_be_saved_is_answered_500_and_has_no_effect() {
    let tmp = test_directory("unsaved");
    let (router, ops) = start_with_tmp(&tmp, "unsaved", &machine(|_| "DONE"), "127.0.0.1:0");
    let file = state_file(&tmp, &router.address);
    assert!(file.exists(), "the process is listed in it");
    // A directory at its path can neither be read nor replaced by a file.
    std::fs::remove_file(&file).and_then(|()| std::fs::create_dir(&file)).expect("a directory in its place");
    assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-1"), 500);
    assert_eq!((operator_call(&ops, "GET", "/api/ready", ""), is_served(&router.address, 1)), (200, true));
    let left = std::fs::read_dir(&tmp).expect("directory read").flatten().map(|entry| entry.file_name());
    assert!(
        left.into_iter().all(|name| !name.to_string_lossy().ends_with(".part")),
        "no temporary file remains"
    );
    // Saving works again: the next call takes effect, and the failed one does not take effect later.
    std::fs::remove_dir(&file).expect("empty");
    assert_eq!(
        (operator_call(&ops, "POST", "/api/include", "s-1"), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 200)
    );
    assert_eq!(
        (operator_call(&ops, "POST", "/api/exclude", "s-1"), operator_call(&ops, "GET", "/api/ready", "")),
        (200, 503)
    );
    router.terminate();
    std::fs::remove_dir_all(&tmp).expect("directory removed");
}

#[test]
fn an_invalid_state_file_is_logged_in_one_line_and_the_start_succeeds() {
    let machine = machine(|_| "DONE");
    let tmp = test_directory("badfile");
    let (old, old_ops) = start_with_tmp(&tmp, "badfile-old", &machine, "127.0.0.1:0");
    assert_eq!(operator_call(&old_ops, "POST", "/api/exclude", "s-1"), 200);
    let (address, file) = (old.address.clone(), state_file(&tmp, &old.address));
    let good = std::fs::read(&file).expect("saved");
    old.terminate();
    let mut other = good.clone();
    other[7] += 1;
    let malformed: [(&[u8], &str); 4] = [
        (&good[..good.len() - 3], "shared state file: truncated or corrupt"),
        (&other, "shared state file: unknown format or version"),
        (b"{\"excluded\":[\"s-1\"]}", "shared state file: unknown format or version"),
        (&vec![b'x'; 600_000], "shared state file: too large"),
    ];
    for (bytes, why) in malformed {
        std::fs::write(&file, bytes).expect("written");
        let (router, ops) = start_with_tmp(&tmp, "badfile", &machine, &address);
        assert_eq!(
            (operator_call(&ops, "GET", "/api/ready", ""), is_served(&address, 1)),
            (200, true),
            "{why}"
        );
        assert_eq!(operator_call(&ops, "POST", "/api/exclude", "s-1"), 200, "and overwrites the file");
        assert_eq!(operator_call(&ops, "POST", "/api/include", "s-1"), 200);
        let log = router.startup_log.clone() + &router.terminate();
        assert_eq!(log.matches("ignoring the shared state file: ").count(), 1, "one line: {log}");
        assert!(log.contains(why), "with its reason: {log}");
    }
    // The valid file is restored: the excluded machine is excluded from the start.
    std::fs::write(&file, &good).expect("written");
    let (router, ops) = start_with_tmp(&tmp, "badfile-good", &machine, &address);
    assert_eq!(operator_call(&ops, "GET", "/api/ready", ""), 503, "the only machine, s-1, is excluded");
    router.terminate();
    std::fs::remove_dir_all(&tmp).expect("directory removed");
}

#[test]
fn a_new_process_that_dies_or_cannot_start_leaves_the_old_one_serving() {
    let machine = machine(|_| "DONE");
    let (old, old_ops) = start_with_ops("stays", &machine, "127.0.0.1:0");
    let mut kept = TcpStream::connect(&old.address).expect("it listens");
    send_request(&mut kept, 1, "/ops/page", &format!("{:016x}", 1));
    assert!(answer(&mut kept, 1).starts_with("Status: 200 "));
    // A process that can't read its configuration.
    let broken = Command::new(env!("CARGO_BIN_EXE_frostturn"))
        .env("PROXY_CONFIG", "/nonexistent")
        .env("PROXY_LISTEN", &old.address)
        .output()
        .expect("it starts");
    assert_eq!(broken.status.code(), Some(1));
    // A process that is killed after it has started to listen.
    let (mut new, _) = start_with_ops("dies", &machine, &old.address);
    new.child.kill().and_then(|()| new.child.wait()).expect("killed");
    for id in 2..20 {
        assert!(is_served(&old.address, id), "new connections reach only the old process");
    }
    send_request(&mut kept, 2, "/ops/page", &format!("{:016x}", 0x100));
    assert!(answer(&mut kept, 2).starts_with("Status: 200 "), "its existing connections are unaffected");
    assert_eq!(
        operator_call(&old_ops, "POST", "/api/exclude", "s-1"),
        200,
        "the lock of a dead process is free"
    );
    assert_eq!(operator_call(&old_ops, "POST", "/api/include", "s-1"), 200);
    old.terminate();
}

#[test]
fn operators_are_answered_despite_busy_clients_and_incomplete_calls() {
    let (router, ops) = start_with_ops("busy", &machine(|_| "DONE"), "127.0.0.1:0");
    let stop = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..4_u64)
        .map(|client| {
            let (address, stop, answers) = (router.address.clone(), stop.clone(), answers.clone());
            thread::spawn(move || {
                let mut stream = TcpStream::connect(address).expect("it listens");
                let mut answered = 0_u16;
                // 240 KB per answer, as fast as they arrive.
                while !stop.load(Ordering::Relaxed) && answered < 20_000 {
                    answered += 1;
                    send_request(&mut stream, answered, "/ops/page", &format!("{client:08x}{answered:08x}"));
                    let head = answer(&mut stream, answered);
                    assert!(head.starts_with("Status: 200 ") || head.starts_with("Status: 503 "), "{head}");
                    answers.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    let mut incomplete: Vec<TcpStream> =
        (0..5).map(|_| TcpStream::connect(&ops).expect("it listens")).collect();
    for call in &mut incomplete {
        call.write_all(b"POST /api/exclude HTTP/1.1\r\nContent-Length: 3\r\n\r\ns").expect("written");
    }
    for round in 1..=10 {
        // Clients receive answers between the rounds of calls, however slow this machine is.
        rig::wait_until("clients are busy", || answers.load(Ordering::Relaxed) >= 8 * round);
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
    router.terminate();
}

#[test]
fn a_slow_reader_receives_all_complete_answers_during_a_shutdown() {
    let router = start("slowreader", &machine(|_| "DONE"));
    let mut slow = TcpStream::connect(&router.address).expect("it listens");
    // More than the socket buffers hold, so that most of it is queued in the router.
    let all = 32;
    for request in 1..=all {
        send_request(&mut slow, request, "/ops/page", &format!("{request:016x}"));
    }
    // All requests above are answered by the time this one is.
    let mut other = TcpStream::connect(&router.address).expect("it listens");
    send_request(&mut other, 1, "/ops/page", &format!("{:016x}", 0x100));
    assert!(answer(&mut other, 1).starts_with("Status: 200 "));
    router.signal("-TERM");
    // The client continues reading only after the listener has closed and the grace period is over.
    thread::sleep(std::time::Duration::from_millis(1300));
    let (mut decoder, mut buffer, mut ended) = (Decoder::default(), [0; 65_536], 0);
    while let Ok(bytes @ 1..) = slow.read(&mut buffer) {
        decoder.feed(&buffer[..bytes]);
        while let Some(record) = decoder.next_record().expect("readable") {
            ended += u16::from(record.kind == kind::END);
        }
    }
    assert_eq!(ended, all, "each answer is complete");
    assert!(router.wait_for_exit().contains("panics=0"));
}

#[test]
fn operators_can_call_from_the_command_line_over_a_unix_socket() {
    let tmp = test_directory("ctl");
    let socket = tmp.join("ops.sock");
    std::fs::write(&socket, "left by a process that died").expect("written");
    let operator =
        write_file("ctl.scm", &format!("(frostturn (ops (unix {:?})))", socket.display().to_string()));
    let mut router = start_with("ctl", &machine(|_| "DONE"), &["--operator", &operator]);
    assert!(router.startup_log.contains("operators call at /"), "{}", router.startup_log);
    let ctl = |args: &[&str]| {
        let out = Command::new(env!("CARGO_BIN_EXE_frostturn"))
            .args(["--operator", &operator, "ctl"])
            .args(args)
            .env_remove("PROXY_OPS")
            .output()
            .expect("it starts");
        (out.status.code().unwrap_or(-1), String::from_utf8_lossy(&out.stdout).into_owned())
    };
    assert_eq!(ctl(&["ready"]), (0, "yes\n".into()));
    assert!(is_served(&router.address, 1));
    assert_eq!((ctl(&["exclude", "s-none"]).0, ctl(&["exclude", "s-1"]).0, ctl(&["ready"]).0), (1, 0, 1));
    assert_eq!((ctl(&["include", "s-1"]).0, ctl(&["evacuate"]).0, ctl(&["ready"]).0), (0, 0, 1));
    assert_eq!((ctl(&["rejoin"]).0, ctl(&["ready"]).0, ctl(&["exclude"]).0), (0, 0, 2));
    router.signal("-HUP");
    router.wait_for_line("configuration reloaded");
    let (code, output) = ctl(&["status"]);
    assert_eq!(code, 0);
    for figure in
        ["svc_succeeded\":1,", "svc_outstanding\":0,", "svc_discovered\":1,", "svc_sighup_applied\":1,"]
    {
        assert!(output.contains(figure), "{figure}: {output}");
    }
    assert!(output.contains(r#"{"service":"page","disposition":"succeeded","count":1}"#), "{output}");
    router.terminate();
    assert!(!socket.exists(), "removed at exit");
    assert_eq!(ctl(&["ready"]).0, 3, "no answer");
    std::fs::remove_dir_all(&tmp).expect("directory removed");
}

#[test]
fn a_corrupt_state_file_is_repaired_by_the_process_that_knows_its_contents() {
    let machine = machine(|_| "DONE");
    let tmp = test_directory("mended");
    let (old, old_ops) = start_with_tmp(&tmp, "mended-old", &machine, "127.0.0.1:0");
    assert_eq!(operator_call(&old_ops, "POST", "/api/exclude", "s-1"), 200);
    let file = state_file(&tmp, &old.address);
    let bytes = std::fs::read(&file).expect("saved");
    std::fs::write(&file, &bytes[..bytes.len() - 3]).expect("written");
    let (new, new_ops) = start_with_tmp(&tmp, "mended-new", &machine, &old.address);
    let becomes_unready = |ops: &str| {
        (0..100).any(|_| {
            thread::sleep(std::time::Duration::from_millis(30));
            operator_call(ops, "GET", "/api/ready", "") == 503
        })
    };
    assert!(
        becomes_unready(&new_ops) && becomes_unready(&old_ops),
        "the only machine is excluded in both processes"
    );
    // Still so after each process has written the file again.
    thread::sleep(std::time::Duration::from_millis(1500));
    assert_eq!(
        (operator_call(&old_ops, "GET", "/api/ready", ""), operator_call(&new_ops, "GET", "/api/ready", "")),
        (503, 503)
    );
    old.terminate();
    new.terminate();
    std::fs::remove_dir_all(&tmp).expect("directory removed");
}
