//! The notice board takes 3 s to serve a call. A shelf begins to drain meanwhile.

use crate::base::*;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// How long the notice board takes to serve a call, and for how long it is so slow.
const SLOWNESS_MS: u64 = 3000;
const SLOW_FOR_MS: u64 = 20_000;
/// What the board has to tell counts as told by then, whether it arrived or not.
const TOLD_MS: f64 = 7000.0;
/// Time to end sending to what drains, `StopSendingWithinMs`, and the 50 ms that are added to each time limit.
const GRACE_MS: f64 = 1050.0;

pub fn run(record: &Record) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let folder = Folder::create()?;
    let shelf = |name: &str, kind, zone| {
        let doing = |_: &Arrival| Doing::Serve { after_ms: 30, bytes: 4000 };
        Shelf::start(record, name, kind, zone, 8.0, Box::new(doing))
    };
    let shelfs = [
        shelf("s-00000001", "standard", "edge-1")?,
        shelf("s-00000002", "standard", "edge-1")?,
        shelf("s-00000003", "standard", "edge-1")?,
        shelf("s-00000004", "standard", "edge-1")?,
        shelf("u-00000001", "parent", "east-hub")?,
        shelf("o-00000001", "origin", "west-hub")?,
    ];
    let entries: Vec<String> = shelfs.iter().map(|shelf| entry(shelf, "active", 0.0)).collect();
    let board = Board::start(record, &pool(true, &entries))?;
    let settings = settings("edge-1", 1, CLASSES, "[false,false,true]");
    let router = Router::start_alive(
        record,
        &mut Start {
            name: "n1",
            folder: &folder.0,
            board: &board,
            settings: &settings,
            listen: ([127, 0, 0, 1], 0).into(),
            memory_mb: 192,
            sockets: 1024,
            seed: 1,
        },
    )?;
    let mut clients = Vec::new();
    for at in 0..4 {
        clients.push(Client::connect(record, &format!("c{at}"), router.listen, None)?);
    }
    let start = Instant::now();
    let elapsed = || start.elapsed().as_millis() as u64;
    let (mut number, mut drained_at, mut healed) = (0u64, None, false);
    // 50 requests a second for 28 s: the board is slow from 2 s to 22 s, the drain begins at 4 s.
    while elapsed() < 28_000 {
        if trouble() && elapsed() >= 2000 && !healed {
            let slowness = if elapsed() < 2000 + SLOW_FOR_MS { SLOWNESS_MS } else { 0 };
            if board.slowness_ms.swap(slowness, Ordering::SeqCst) != slowness {
                record.line(format!("the board takes {slowness} ms to serve a call from now on"));
            }
            healed = slowness == 0;
        }
        if drained_at.is_none() && elapsed() >= 4000 {
            drained_at = Some(record.now());
            board.publish(&pool(false, &[entry(&shelfs[0], "leaving", 0.0)]));
        }
        number += 1;
        let swap = number % 20 == 0;
        let request = Request {
            id: format!("{number:016x}"),
            class: if swap { "shift-swap" } else { "rota-page" },
            timeout_ms: 3000,
            object: (!swap).then(|| format!("{:016x}", 0x7f3a_0000 + number % 400)),
            memory_kb: 400.0,
            ..Request::default()
        };
        clients[number as usize % 4].send(&request);
        std::thread::sleep(Duration::from_millis(20));
    }
    let drained_at = drained_at.unwrap_or(0.0);
    let late = |arrival: &Arrival| arrival.at > drained_at + TOLD_MS + GRACE_MS;
    let to: Vec<Arrival> = shelfs[0].arrivals.lock().unwrap().iter().filter(|a| late(a)).cloned().collect();
    let named = |a: &&Arrival| field(&a.fields, "fetch") == Some("s-00000001");
    let from: usize = shelfs[1..]
        .iter()
        .map(|s| s.arrivals.lock().unwrap().iter().filter(|a| late(a)).filter(named).count())
        .sum();
    let mut broken = Vec::new();
    if let (Some(first), Some(last)) = (to.first(), to.last()) {
        let swaps = to.iter().filter(|arrival| arrival.class == "shift-swap").count();
        broken.push(format!(
            "{} requests ({swaps} of shift-swap) came to s-00000001 from {:.0} to {:.0} ms after the board had that it drains; told by 7,000 ms at the latest, until 8,050 ms allowed",
            to.len(),
            first.at - drained_at,
            last.at - drained_at
        ));
    }
    if from > 0 {
        broken.push(format!("{from} requests named it as the source of a fill after 8,050 ms"));
    }
    let all: Vec<Answer> = clients.iter().flat_map(|client| client.answers().into_values()).collect();
    let served = all.iter().filter(|answer| answer.status == 200).count();
    record.line(format!("{} sent, {served} served", all.len()));
    if served * 2 < all.len() {
        return Err("fewer than half of the requests were served".into());
    }
    Ok(broken)
}
