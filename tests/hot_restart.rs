//! Hot restart: two processes of one router share what operators have said, whichever ends, hangs or is killed.

mod rig;

use rig::{operator_call, wait_until, Client, Endpoint, Router, RouterSetup};
use std::path::{Path, PathBuf};

/// A folder of its own for a test, empty.
fn folder(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hot-{test}"));
    let _ = std::fs::remove_dir_all(&path); // There may be none from an earlier run.
    std::fs::create_dir(&path).expect("made");
    path
}

/// An old process and a new one beside it.
fn pair(test: &str, endpoint: &Endpoint) -> (Router, Router, PathBuf) {
    let tmp = folder(test);
    let mut site = RouterSetup::new(&[("e-1", endpoint)]);
    site.tmp = Some(tmp.clone());
    site.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    let old = Router::start(&format!("{test}-old"), &site);
    site.options.extend(["--listen".into(), old.address.clone()]);
    let new = Router::start(&format!("{test}-new"), &site);
    (old, new, tmp)
}

fn ready(router: &Router) -> u16 {
    operator_call(&router.operator_address(), "GET", "/api/ready", "")
}

/// Whether the only endpoint stays out: also once the file has been looked at again and again.
fn stays_out(router: &Router) -> bool {
    let stays = (0..10).all(|_| {
        rig::sleep_ms(60);
        ready(router) == 503
    });
    let mut client = Client::connect(router);
    client.send_request(1, "page", 0xfff);
    stays && client.status(1) != 200
}

#[test]
fn a_call_answered_yes_by_one_as_the_other_ends_holds() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = pair("ends", &endpoint);
    // The old one is to end, and hasn't heard of the call, as the new one says yes.
    old.pause();
    old.signal("-TERM");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    old.resume();
    old.wait_for_exit();
    assert!(stays_out(&new), "what the old one wrote as it left kept the other's word");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/include", "e-1"), 200);
    assert_eq!(ready(&new), 200);
    new.terminate();
    assert!(endpoint.received_request_ids().is_empty());
    std::fs::remove_dir_all(tmp).expect("there");
}

#[test]
fn a_call_answered_yes_by_one_that_ends_holds_in_the_one_that_stays() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = pair("stays", &endpoint);
    let mut waits = Client::connect(&old);
    // Whichever of the two took the client, the one to end is the old one; it still answers calls.
    waits.send_request(1, "page", 1);
    let held = endpoint.next_request();
    old.signal("-TERM");
    old.wait_for_log("told to end");
    assert_eq!(operator_call(&old.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    new.pause();
    endpoint.serve(&held);
    old.wait_for_exit();
    new.resume();
    wait_until("the new one heeds it", || ready(&new) == 503);
    assert!(stays_out(&new));
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("there");
}

#[test]
fn one_that_is_killed_in_the_middle_or_holds_the_lock_leaves_the_other_serving() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = pair("killed", &endpoint);
    let lock = std::fs::read_dir(&tmp).expect("there").flatten().map(|entry| entry.path());
    let lock = lock.into_iter().find(|path| path.extension().is_some_and(|e| e == "lock")).expect("a lock");
    // It hangs as it holds the lock: the other says that it can't be saved, and nothing is changed.
    let held = std::fs::File::options().write(true).open(&lock).expect("there");
    held.lock().expect("free");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 500);
    assert_eq!(ready(&new), 200);
    // It is killed there, half a file beside it: the system frees the lock.
    old.pause();
    old.kill();
    drop(held);
    std::fs::write(lock.with_extension("1.part"), b"FTSTATE\x02half").expect("written");
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    assert!(stays_out(&new));
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/include", "e-1"), 200);
    let mut client = Client::connect(&new);
    client.send_request(1, "page", 1);
    endpoint.serve(&endpoint.next_request());
    assert_eq!(client.status(1), 200);
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("there");
}

/// Where the two processes of a folder share their state.
fn state_file(folder: &Path) -> PathBuf {
    let files = std::fs::read_dir(folder).expect("there").flatten().map(|entry| entry.path());
    files.into_iter().find(|path| path.extension().is_some_and(|e| e == "state")).expect("a state file")
}

#[test]
fn a_process_that_starts_beside_a_spoilt_file_writes_nothing_over_what_another_knows() {
    let endpoint = Endpoint::new();
    let tmp = folder("spoilt");
    let mut site = RouterSetup::new(&[("e-1", &endpoint)]);
    site.tmp = Some(tmp.clone());
    site.options = vec!["--ops".into(), "127.0.0.1:0".into()];
    let old = Router::start("spoilt-old", &site);
    assert_eq!(operator_call(&old.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    // The file is spoilt, and the one that knows what it said can't mend it: its way of writing is barred.
    let state = state_file(&tmp);
    let part = state.with_extension(format!("{}.part", old.pid()));
    std::fs::create_dir(&part).expect("made");
    std::fs::write(&state, b"not a state").expect("written");
    site.options.extend(["--listen".into(), old.address.clone()]);
    let new = Router::start("spoilt-new", &site);
    old.wait_for_log("can't be saved");
    // Longer than the new one leaves a spoilt file alone.
    rig::sleep_ms(1000);
    std::fs::remove_dir(&part).expect("there");
    assert!(stays_out(&old), "it goes on by what it has said yes to");
    wait_until("the new one has heard of it", || ready(&new) == 503);
    assert!(stays_out(&new));
    old.terminate();
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("there");
}

#[test]
fn a_file_that_is_mended_by_one_keeps_what_the_other_has_said_yes_to_meanwhile() {
    let endpoint = Endpoint::new();
    let (old, new, tmp) = pair("mended", &endpoint);
    // The old one stands still as the new one says yes, and the file is spoilt before the old one has looked.
    old.pause();
    assert_eq!(operator_call(&new.operator_address(), "POST", "/api/exclude", "e-1"), 200);
    new.pause();
    let state = state_file(&tmp);
    std::fs::write(&state, b"not a state").expect("written");
    old.resume();
    wait_until("it is mended", || std::fs::read(&state).is_ok_and(|bytes| bytes.starts_with(b"FTSTATE")));
    new.resume();
    assert!(stays_out(&new), "its own yes holds");
    wait_until("the old one has heard of it", || ready(&old) == 503);
    old.terminate();
    new.terminate();
    std::fs::remove_dir_all(tmp).expect("there");
}
