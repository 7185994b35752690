//! Clients send hundreds of requests at once for objects of the largest size. The platform kills a router
//! whose memory passes its limit.

use crate::base::*;
use std::time::{Duration, Instant};

/// The limit, in the pages' range of 32 to 192 MB.
const MEMORY_MB: u64 = 32;
/// Connections, and requests on each: up to 32 may be open on one.
const CONNECTIONS: usize = 24;
const EACH: usize = 16;
/// The largest object.
const BYTES: usize = 240_000;
const BURSTS: usize = 8;
/// Edge caches: 10 to 14 at the site.
const SHELFS: usize = 12;

pub fn run(record: &Record) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let folder = Folder::create()?;
    let doing = |_: &Arrival| Doing::Serve { after_ms: 100, bytes: BYTES };
    let mut shelfs = Vec::new();
    for at in 0..SHELFS {
        let name = format!("s-{:08x}", at + 1);
        shelfs.push(Shelf::start(record, &name, "standard", "edge-1", 40.0, Box::new(doing))?);
    }
    shelfs.push(Shelf::start(record, "u-00000001", "parent", "east-hub", 150.0, Box::new(doing))?);
    shelfs.push(Shelf::start(record, "o-00000001", "origin", "west-hub", 150.0, Box::new(doing))?);
    let entries: Vec<String> = shelfs.iter().map(|shelf| entry(shelf, "active", 0.0)).collect();
    let board = Board::start(record, &pool(true, &entries))?;
    let settings = settings("edge-1", 1, CLASSES, "[false,false,true]");
    let mut router = Router::start_alive(
        record,
        &mut Start {
            name: "n1",
            folder: &folder.0,
            board: &board,
            settings: &settings,
            listen: ([127, 0, 0, 1], 0).into(),
            memory_mb: MEMORY_MB,
            sockets: 1024,
            seed: 1,
        },
    )?;
    let mut clients = Vec::new();
    for at in 0..CONNECTIONS {
        clients.push(Client::connect(record, &format!("c{at}"), router.listen, None)?);
    }
    let (mut number, mut peak_kb, mut broken) = (0u64, 0, Vec::new());
    let start = Instant::now();
    'bursts: for burst in 0..BURSTS {
        let from = Instant::now();
        for at in 0..EACH * CONNECTIONS {
            number += 1;
            let request = Request {
                id: format!("{number:016x}"),
                class: "training-video",
                timeout_ms: 5000,
                object: Some(format!("{number:016x}")),
                memory_kb: 950.0,
                ..Request::default()
            };
            clients[at % CONNECTIONS].send(&request);
            if !trouble() {
                // The same requests, one after the other at 170 a second.
                let due = from + Duration::from_secs_f64((at + 1) as f64 / 170.0);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
            }
            peak_kb = peak_kb.max(router.anonymous_kb().unwrap_or(0));
        }
        let until = Instant::now() + Duration::from_millis(1500);
        while Instant::now() < until {
            let now_kb = router.anonymous_kb().unwrap_or(0);
            peak_kb = peak_kb.max(now_kb);
            if now_kb * 1024 > MEMORY_MB * 1_048_576 {
                // What the platform does. Only memory that is the process's own is counted here, without the
                // pages of its program and libraries.
                record.line(format!("platform: {now_kb} KB are over the limit of {MEMORY_MB} MB: killed"));
                router.child.kill()?;
                broken.push(format!(
                    "the router held {now_kb} KB of its own, over its limit of {MEMORY_MB} MB, in burst {} of {BURSTS}: killed for memory",
                    burst + 1
                ));
                break 'bursts;
            }
            sleep_ms(1);
        }
        record.line(format!("burst {}: at most {peak_kb} KB so far", burst + 1));
    }
    sleep_ms(300);
    let (mut served, mut refused, mut failed, mut none) = (0, 0, 0, 0);
    for answer in clients.iter().flat_map(|client| client.answers().into_values()) {
        match (answer.ended_at, answer.status, answer.overloaded) {
            (None, ..) => none += 1,
            (_, 200, _) => served += 1,
            (_, 429 | 503, _) | (_, _, true) => refused += 1,
            _ => failed += 1,
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    record.line(format!(
        "in {seconds:.1} s: {number} sent, {served} served, {refused} refused, {failed} failed, {none} without an answer; at most {peak_kb} KB"
    ));
    Ok(broken)
}
