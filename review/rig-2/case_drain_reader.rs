//! An operator has the router emptied while a client reads its answers at 0.4 MB a second and goes on asking. Each
//! request is owed one answer.

use crate::board::{endpoint, whole_list, Board};
use crate::fastcgi;
use crate::front::{params, Event, Front};
use crate::router::{call, free_address, Config, Router, NORTE};
use crate::shelf::{Shelf, World};
use crate::{sleep_ms, unix_ms, Failed, Setup, Verdict};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Some clients read at most 1 MB a second.
const BYTES_PER_S: usize = 400_000;
/// The large objects asked for before the drain, of some 239,000 bytes each.
const LARGE: u16 = 8;
/// The client asks for a small one this often from the drain on, for this long.
const EACH: Duration = Duration::from_millis(200);
const GOES_ON: Duration = Duration::from_millis(4400);
const TIMEOUT_MS: u64 = 3000;
/// A request that crosses the close of an idle connection within this time is sent again by its client.
const CROSSES_MS: f64 = 50.0;

pub fn run(setup: &Setup) -> Result<Verdict, Failed> {
    let record = &setup.record;
    let fail = |e: std::io::Error| e.to_string();
    let world = World::new(record.clone(), vec!["shift-swap"]);
    let mut list = Vec::new();
    for (name, zone, kind) in [
        ("s-a1", "edge-1", "standard"),
        ("s-a2", "edge-1", "standard"),
        ("s-p1", "hub-1", "parent"),
        ("s-o1", "hub-1", "origin"),
    ] {
        let shelf = Shelf::start(&world, name).map_err(fail)?;
        list.push(endpoint(name, shelf.address, zone, kind));
    }
    let board = Board::start(vec![whole_list(&list)]).map_err(fail)?;
    let ops = free_address().map_err(fail)?;
    let config = Config {
        name: "n0".into(),
        board: board.address,
        known: board.json(0),
        settings: NORTE.settings(),
        memory_mb: 192,
        sockets: 512,
        listen: free_address().map_err(fail)?,
        ops: Some(ops),
    };
    let router = Router::start(&setup.temp, &config)?;
    let mut front = Front::connect_reading(router.address, Some(BYTES_PER_S)).map_err(fail)?;
    let mut written: BTreeMap<u16, f64> = BTreeMap::new();
    let mut bytes = Vec::new();
    for number in 1..=LARGE {
        let fields =
            params("training-video", &format!("{number:016x}"), 5000, &format!("b{number:015x}"), 1, 0);
        bytes.extend(fastcgi::request(number, &fields, b"", 1000).concat());
        written.insert(number, 0.0);
    }
    front.write(&bytes).map_err(fail)?;
    let first = unix_ms();
    written.values_mut().for_each(|at| *at = first);
    record.line(format!("{LARGE} large objects are asked for"));
    sleep_ms(150);
    let started = Instant::now();
    if setup.trouble {
        let status = call(ops, "POST", "/api/evacuate").map_err(fail)?;
        record.line(format!("POST /api/evacuate: {status}"));
        if status != 200 {
            return Err(format!("the router answers {status} to the drain"));
        }
    }
    let (mut answers, mut ended) = (BTreeMap::new(), None);
    let mut number = 100;
    let mut due = Instant::now() + EACH;
    let until = started + GOES_ON + Duration::from_secs(9);
    while Instant::now() < until && ended.is_none() {
        if Instant::now() >= due && started.elapsed() < GOES_ON {
            due += EACH;
            number += 1;
            let fields = params("rota-page", &format!("{number:016x}"), TIMEOUT_MS, "00000000000000cc", 1, 0);
            match front.write(&fastcgi::request(number, &fields, b"", 1000).concat()) {
                Ok(()) => {
                    written.insert(number, unix_ms());
                    record.line(format!(
                        "request {number} is written, {} ms after the call",
                        started.elapsed().as_millis()
                    ));
                }
                Err(e) => record.line(format!("request {number} can't be written: {e}")),
            }
        }
        match front.events.recv_timeout(Duration::from_millis(5)) {
            Ok(Event::Answer(answer)) => {
                record.line(format!(
                    "answer to {}: status {}, {} bytes",
                    answer.id,
                    answer.status,
                    answer.body.len()
                ));
                answers.insert(answer.id, answer.status);
            }
            Ok(Event::Closed(why)) => {
                record.line(format!("the client sees the end of the connection: {why}"));
                ended = Some(unix_ms());
            }
            Err(_) => {}
        }
        if answers.len() == written.len() && started.elapsed() > GOES_ON {
            break;
        }
    }
    let end = ended.unwrap_or(f64::INFINITY);
    let lost: BTreeSet<u16> = written
        .iter()
        .filter(|(number, at)| !answers.contains_key(number) && end - **at > CROSSES_MS)
        .map(|(number, _)| *number)
        .collect();
    for number in &lost {
        record
            .line(format!("lost: {number}, written {:.0} ms before the end was seen", end - written[number]));
    }
    record.line(format!("router's log:\n{}", router.log_text()));
    record.say(format!("{} requests, {} answered, {} lost", written.len(), answers.len(), lost.len()));
    Ok(if lost.is_empty() { Verdict::Held } else { Verdict::Broken })
}
