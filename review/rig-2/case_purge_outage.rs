//! The notice board breaks off in the middle of a purge and is down for 8 s. From 2 s after the break the purge
//! counts as told, and older copies lie about for up to 6 s.

use crate::board::{endpoint, whole_list, Board};
use crate::front::{params, Front};
use crate::router::{free_address, Config, Router, VALLE};
use crate::shelf::{Shelf, World};
use crate::{sleep_ms, unix_ms, Failed, Setup, Verdict};
use std::collections::HashMap;
use std::time::Duration;

const OBJECT: &str = "7f3a9c21e0b4d655";
const TIMEOUT_MS: u64 = 2500;
/// How long the board is down.
const DOWN_MS: f64 = 8000.0;
/// After a break, what the board would have told counts as told this much later.
const TOLD_AFTER_MS: f64 = 2000.0;
/// The time to heed a purge, and what each time limit is longer on sockets.
const NOTICE_MS: f64 = 500.0 + 50.0;
/// When the shelves drop their older copies by themselves: within 6 s.
const DROPPED_AFTER_MS: f64 = 5500.0;

pub fn run(setup: &Setup) -> Result<Verdict, Failed> {
    let record = &setup.record;
    let fail = |e: std::io::Error| e.to_string();
    let world = World::new(record.clone(), vec!["ledger-filing"]);
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
    let config = Config {
        name: "n0".into(),
        board: board.address,
        known: board.json(0),
        settings: VALLE.settings(),
        memory_mb: 192,
        sockets: 512,
        listen: free_address().map_err(fail)?,
        ops: None,
    };
    let router = Router::start(&setup.temp, &config)?;
    let mut front = Front::connect(router.address).map_err(fail)?;
    let mut next = 0_u64;
    let mut bodies: HashMap<String, (u16, String)> = HashMap::new();
    let mut ask = |front: &mut Front, bodies: &mut HashMap<String, (u16, String)>| -> Result<(), Failed> {
        next += 1;
        let id = format!("{next:016x}");
        let fields = params("guide-video", &id, TIMEOUT_MS, OBJECT, 17, 0);
        let answer = front.ask((next % 30 + 1) as u16, &fields, b"", Duration::from_secs(4))?;
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        record.line(format!("request {id}: status {}, {body}", answer.status));
        bodies.insert(id, (answer.status, body));
        Ok(())
    };
    for _ in 0..20 {
        ask(&mut front, &mut bodies)?;
        sleep_ms(50);
    }
    let purged_at = unix_ms();
    world.purge(OBJECT, DROPPED_AFTER_MS);
    let event = format!(r#""flush":{{"asset":"{OBJECT}","ms":{purged_at:.0}}}"#);
    if setup.trouble {
        board.publish_and_break(event);
        record.line("the object is purged; the board breaks off in the middle of that event and is down");
    } else {
        board.publish(event);
        record.line("the object is purged; the board tells it");
    }
    while unix_ms() < purged_at + DOWN_MS {
        ask(&mut front, &mut bodies)?;
        sleep_ms(100);
    }
    board.recover();
    record.line("the board is back");
    sleep_ms(1500);
    ask(&mut front, &mut bodies)?;
    // A send counts from its first byte, which left before the shelf had read the frame: 50 ms are allowed for that.
    let bound_from = purged_at + if setup.trouble { TOLD_AFTER_MS } else { 0.0 } + NOTICE_MS + 50.0;
    let runs = world.runs.lock().unwrap().clone();
    let late = runs.iter().filter(|run| run.object == OBJECT && run.at > bound_from);
    let old: Vec<_> = late
        .filter(|run| {
            run.stamp < purged_at.floor() && bodies.get(&run.id).is_some_and(|(status, _)| *status == 200)
        })
        .collect();
    for run in &old {
        let (after, age) = (run.at - purged_at, purged_at - run.stamp);
        record.line(format!("broken: {} sent {after:.0} ms after the purge was answered from a copy {age:.0} ms older than it", run.id));
    }
    record.line(format!("router's log:\n{}", router.log_text()));
    record.say(format!(
        "{} requests, {} of them answered from a purged copy after the purge counted as told",
        runs.len(),
        old.len()
    ));
    Ok(if old.is_empty() { Verdict::Held } else { Verdict::Broken })
}
