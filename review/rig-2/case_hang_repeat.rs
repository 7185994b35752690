//! A shelf hangs while uploads of a keyed class are on their way to it. The router gives these attempts up and has
//! another shelf run the requests. When the first shelf goes on, the window for repeats is over.

use crate::board::{endpoint, whole_list, Board};
use crate::fastcgi;
use crate::front::{params, Event, Front};
use crate::router::{free_address, Config, Router, NORTE};
use crate::shelf::{Sent, Shelf, World};
use crate::{sleep_ms, Failed, Setup, Verdict};
use std::collections::{BTreeMap, HashMap};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// For how long all shelves discard a request that is repeated, and what each time limit is longer on sockets.
const WINDOW_MS: f64 = 5000.0;
const SLACK_MS: f64 = 50.0;
const TIMEOUT_MS: u64 = 3000;
/// How long the shelf hangs.
const HANG: Duration = Duration::from_millis(9000);
/// The connections of the front, the uploads that are sent on each just after the shelf has begun to hang, and the
/// bytes of each.
const FRONTS: u16 = 2;
const UPLOADS: u16 = 28;
const BODY: usize = 48_000;

pub fn run(setup: &Setup) -> Result<Verdict, Failed> {
    let record = &setup.record;
    let fail = |e: std::io::Error| e.to_string();
    let world = World::with(record.clone(), vec!["shift-swap"], true, WINDOW_MS);
    let (mut list, mut shelves) = (Vec::new(), Vec::new());
    for (name, zone, kind) in [
        ("s-a1", "edge-1", "standard"),
        ("s-a2", "edge-1", "standard"),
        ("s-p1", "hub-1", "parent"),
        ("s-o1", "hub-1", "origin"),
    ] {
        let shelf = Shelf::start(&world, name).map_err(fail)?;
        list.push(endpoint(name, shelf.address, zone, kind));
        shelves.push(shelf);
    }
    let board = Board::start(vec![whole_list(&list)]).map_err(fail)?;
    let settings = NORTE.settings();
    let keyed = settings
        .replace(r#""Name":"shift-swap","Repeat":"fragile""#, r#""Name":"shift-swap","Repeat":"dedup""#);
    if keyed == settings {
        return Err("the settings have no class to make keyed".to_owned());
    }
    let config = Config {
        name: "n0".into(),
        board: board.address,
        known: board.json(0),
        settings: keyed,
        memory_mb: 192,
        sockets: 512,
        listen: free_address().map_err(fail)?,
        ops: None,
    };
    let router = Router::start(&setup.temp, &config)?;
    let mut front = Front::connect(router.address).map_err(fail)?;
    // Both shelves answer for a while, so that the router knows how often they do.
    let mut homes = HashMap::<String, String>::new();
    for number in 1..=80_u64 {
        let (id, object) = (format!("{number:016x}"), format!("{:016x}", 0xc0 + number % 8));
        let fields = params("shift-swap", &id, TIMEOUT_MS, &object, 2, 200);
        let answer = front.ask((number % 30 + 1) as u16, &fields, &[b'w'; 200], Duration::from_secs(4))?;
        if answer.status != 200 {
            return Err(format!("a request before the hang got status {}", answer.status));
        }
        if let Some(run) = world.runs.lock().unwrap().iter().find(|run| run.id == id) {
            homes.insert(object, run.shelf.clone());
        }
        sleep_ms(10);
    }
    let object = homes.iter().filter(|(_, home)| *home == "s-a1").map(|(object, _)| object.clone()).min();
    let object = object.ok_or("no object has its home at s-a1")?;
    let started = Instant::now();
    if setup.trouble {
        shelves[0].hangs.store(true, Ordering::Relaxed);
        record.line("s-a1 hangs: it reads and answers nothing, its connections stay open");
    }
    sleep_ms(40);
    let mut fronts = vec![front];
    for _ in 1..FRONTS {
        fronts.push(Front::connect(router.address).map_err(fail)?);
    }
    let mut sent = BTreeMap::new();
    for (at, front) in fronts.iter_mut().enumerate() {
        let mut bytes = Vec::new();
        for number in 1..=UPLOADS {
            let id = format!("{:016x}", 0xca5e_0000 + 0x100 * at as u64 + u64::from(number));
            let fields = params("shift-swap", &id, TIMEOUT_MS, &object, 2, BODY);
            bytes.extend(fastcgi::request(number, &fields, &vec![b'u'; BODY], 16_000).concat());
            sent.insert(id, number);
        }
        front.write(&bytes).map_err(fail)?;
    }
    record.line(format!("{} uploads of {BODY} bytes are written whole", sent.len()));
    let (written, mut statuses) = (Instant::now(), BTreeMap::new());
    while statuses.len() < sent.len() && written.elapsed() < Duration::from_millis(TIMEOUT_MS + 600) {
        for (at, front) in fronts.iter().enumerate() {
            match front.events.recv_timeout(Duration::from_millis(5)) {
                Ok(Event::Answer(answer)) => {
                    record.line(format!("connection {at}, upload {}: status {}", answer.id, answer.status));
                    statuses.insert((at, answer.id), answer.status);
                }
                Ok(Event::Closed(why)) => return Err(format!("the connection ended: {why}")),
                Err(_) => {}
            }
        }
    }
    sleep_ms(HANG.saturating_sub(started.elapsed()).as_millis() as u64);
    if setup.trouble {
        record.line("s-a1 goes on");
        shelves[0].hangs.store(false, Ordering::Relaxed);
    }
    sleep_ms(1500);
    let runs = world.runs.lock().unwrap().clone();
    let mut broken = 0;
    for (id, number) in &sent {
        let own: Vec<_> = runs.iter().filter(|run| run.id == *id).collect();
        for again in own.iter().skip(1) {
            let after = again.at - own[0].at;
            let counts = again.sent == Sent::Later && after > WINDOW_MS + SLACK_MS;
            broken += usize::from(counts);
            record.line(format!(
                "upload {number} ran at {} and {after:.0} ms later at {}: {}",
                own[0].shelf,
                again.shelf,
                if counts { "it arrived whole after the window" } else { "not counted" }
            ));
        }
    }
    record.line(format!("router's log:\n{}", router.log_text()));
    let served = statuses.values().filter(|status| **status == 200).count();
    record.say(format!(
        "{} uploads, {served} answered as served, {broken} sent and run again after the window",
        sent.len()
    ));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}
