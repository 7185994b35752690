//! Hot restart: two processes of one router share the operators' changes, whichever exits, hangs or is
//! killed.

mod rig;

use rig::{operator_call, wait_until, Client, Endpoint, Router, RouterSetup};
use std::path::{Path, PathBuf};

/// Creates an empty directory for a test.
fn test_directory(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hot-{test}"));
    let _ = std::fs::remove_dir_all(&path); // It exists only after an earlier run.
    std::fs::create_dir(&path).expect("directory created");
    path
}

/// Starts two processes of one router, and returns the old one, the new one and their directory.
fn start_pair(test: &str, endpoint: &Endpoint) -> (Router, Router, PathBuf) {
    let tmp = test_directory(test);
    let mut setup = RouterSetup::new(&[("e-1", endpoint)]);
    setup.tmp = Some(tmp.clone());
    setup.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    let old = Router::start(&format!("{test}-old"), &setup);
    setup.options.extend(["--listen".into(), old.address.clone()]);
    let new = Router::start(&format!("{test}-new"), &setup);
    (old, new, tmp)
}

/// Returns the status code of the readiness call.
fn ready_status(router: &Router) -> u16 {
    operator_call(&router.operator_address(), "GET", "/api/ready", "")
}

/// Returns whether the only endpoint stays excluded while the process rereads the state file several times.
fn stays_excluded(router: &Router) -> bool {
    let stays = (0..10).all(|_| {
        rig::sleep_ms(60);
        ready_status(router) == 503
    });
    let mut client = Client::connect(router);
    client.send_request(1, "page", 0xfff);
    stays && client.status(1) != 200
}

#[test]
fn a_change_accepted_by_the_new_process_survives_the_exit_of_the_old_one() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = start_pair("ends", &endpoint);
    // The new process accepts the call while the old one is about to exit and doesn't know of the change.
    old.pause();
    old.signal("-TERM");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    old.resume();
    old.wait_for_exit();
    assert!(stays_excluded(&new), "what the old process wrote at its exit kept the change");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/include", "e-1"), 200);
    assert_eq!(ready_status(&new), 200);
    new.terminate();
    assert!(endpoint.received_request_ids().is_empty());
    std::fs::remove_dir_all(tmp).expect("directory removed");
}

#[test]
fn a_change_accepted_by_the_exiting_process_holds_in_the_remaining_one() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = start_pair("stays", &endpoint);
    let mut client = Client::connect(&old);
    // Either process may have accepted the client. The old one shuts down, and still answers calls.
    client.send_request(1, "page", 1);
    let outstanding = endpoint.next_request();
    old.signal("-TERM");
    old.wait_for_log("shutting down");
    assert_eq!(operator_call(&old.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    new.pause();
    endpoint.serve(&outstanding);
    old.wait_for_exit();
    new.resume();
    wait_until("the new process applies the change", || ready_status(&new) == 503);
    assert!(stays_excluded(&new));
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("directory removed");
}

#[test]
fn a_process_that_hangs_with_the_lock_or_is_killed_leaves_the_other_serving() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = start_pair("killed", &endpoint);
    let lock = std::fs::read_dir(&tmp).expect("directory read").flatten().map(|entry| entry.path());
    let lock = lock.into_iter().find(|path| path.extension().is_some_and(|e| e == "lock")).expect("a lock");
    // One process hangs while holding the lock: the other answers that the change can't be saved, and nothing
    // changes.
    let lock_file = std::fs::File::options().write(true).open(&lock).expect("file opened");
    lock_file.lock().expect("the lock is free");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 500);
    assert_eq!(ready_status(&new), 200);
    // It is killed and leaves half a temporary file: the kernel releases the lock.
    old.pause();
    old.kill();
    drop(lock_file);
    std::fs::write(lock.with_extension("1.part"), b"FTSTATE\x02half").expect("written");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    assert!(stays_excluded(&new));
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/include", "e-1"), 200);
    let mut client = Client::connect(&new);
    client.send_request(1, "page", 1);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(client.status(1), 200);
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("directory removed");
}

/// Returns the path of the state file in a directory.
fn state_file(directory: &Path) -> PathBuf {
    let files = std::fs::read_dir(directory).expect("directory read").flatten().map(|entry| entry.path());
    files.into_iter().find(|path| path.extension().is_some_and(|e| e == "state")).expect("a state file")
}

#[test]
fn a_process_that_starts_with_a_corrupt_state_file_does_not_overwrite_what_another_knows() {
    let endpoint = Endpoint::new();
    let tmp = test_directory("spoilt");
    let mut setup = RouterSetup::new(&[("e-1", &endpoint)]);
    setup.tmp = Some(tmp.clone());
    setup.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    let old = Router::start("spoilt-old", &setup);
    assert_eq!(operator_call(&old.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    // The state file is corrupt, and the process that knows its contents can't repair it: a directory blocks
    // the path of its temporary file.
    let state = state_file(&tmp);
    let part = state.with_extension(format!("{}.part", old.pid()));
    std::fs::create_dir(&part).expect("directory created");
    std::fs::write(&state, b"not a state").expect("written");
    setup.options.extend(["--listen".into(), old.address.clone()]);
    let new = Router::start("spoilt-new", &setup);
    old.wait_for_log("cannot save the shared state file");
    // Longer than the new process leaves a corrupt file alone.
    rig::sleep_ms(1000);
    std::fs::remove_dir(&part).expect("directory removed");
    assert!(stays_excluded(&old), "it keeps the change it has accepted");
    wait_until("the new process applies the change", || ready_status(&new) == 503);
    assert!(stays_excluded(&new));
    old.terminate();
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("directory removed");
}

#[test]
fn a_state_file_repaired_by_one_process_keeps_the_changes_that_the_other_accepted() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = start_pair("mended", &endpoint);
    // The old process is paused while the new one accepts a change, and the file is corrupted before the old
    // one reads it.
    old.pause();
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    new.pause();
    let state = state_file(&tmp);
    std::fs::write(&state, b"not a state").expect("written");
    old.resume();
    wait_until("the file is repaired", || {
        std::fs::read(&state).is_ok_and(|bytes| bytes.starts_with(b"FTSTATE"))
    });
    new.resume();
    assert!(stays_excluded(&new), "its own change holds");
    wait_until("the old process applies the change", || ready_status(&old) == 503);
    old.terminate();
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("directory removed");
}

/// Returns the number of clients of a process.
fn connected_clients(router: &Router) -> usize {
    router.counter("taken"); // Prints the line with the number before the counters.
    let log = router.log_text();
    let count = log.rsplit("now clients=").next().and_then(|rest| rest.split(' ').next());
    count.and_then(|count| count.parse().ok()).expect("a number")
}

/// Connects to one of the processes, which share an address.
fn connect_to(router: &Router) -> Client {
    for _ in 0..64 {
        let before = connected_clients(router);
        let mut client = Client::connect(router);
        client.send_request(1, "/alive", 0);
        assert_eq!(client.status(1), 200);
        if connected_clients(router) > before {
            return client;
        }
    }
    panic!("the other process accepts all connections");
}

/// Guards against a request that runs at both processes of an upgrade when its id comes to the other one.
#[test]
fn an_id_that_one_process_has_does_not_run_at_the_other() {
    for (left, after_exit) in [(false, false), (true, false), (true, true)] {
        let endpoint = Endpoint::new();
        let (old, new, tmp) = start_pair("bothids", &endpoint);
        let mut early = connect_to(&old);
        // Before the old process can have noticed the new one. It fails after a second without an answer.
        early.send_request(2, "swap", 8);
        assert_eq!(endpoint.next_request().id, format!("{:016x}", 8));
        rig::sleep_ms(1000);
        let mut client = connect_to(&old);
        client.send_request(2, "swap", 9);
        assert_eq!(endpoint.next_request().id, format!("{:016x}", 9));
        if left {
            drop((early, client));
            wait_until("its attempt is stopped", || old.counter("aborted") == 1);
        }
        let mut other = connect_to(&new);
        if after_exit {
            old.signal("-TERM");
            old.wait_for_exit();
            rig::sleep_ms(600);
        }
        for (request, id) in [(2, 8), (3, 9)] {
            other.send_request(request, "swap", id);
            assert_eq!(other.status(request), 502, "{id}, left: {left}, after the exit: {after_exit}");
        }
        // What no process has had is served.
        other.send_request(4, "swap", 10);
        let served = endpoint.next_request();
        assert_eq!(served.id, format!("{:016x}", 10));
        endpoint.serve(&served);
        assert_eq!(other.status(4), 200);
        new.terminate();
        std::fs::remove_dir_all(tmp).expect("directory removed");
    }
}
