//! Other clients send halves of requests and go silent. A front's web server then sends a few whole uploads at once
//! on one connection. Each of them is owed one answer.

use crate::board::{endpoint, whole_list, Board};
use crate::fastcgi;
use crate::front::{params, Event, Front};
use crate::router::{free_address, Config, Router, NORTE};
use crate::shelf::{Shelf, World};
use crate::{sleep_ms, unix_ms, Failed, Setup, Verdict};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The limits of the router, both within what the pages give for the days (32 to 192 MB, 256 to 1,024 descriptors).
const MEMORY_MB: u32 = 32;
const SOCKETS: u32 = 512;
/// The clients that go silent in the middle of a request, and how much of its body each has sent.
const SILENT_CLIENTS: usize = 235;
const HALF_BODY: usize = 14_000;
/// The uploads that one web server sends at once, of 48,000 bytes each, in records of 8,000 bytes.
const UPLOADS: u16 = 4;
const BODY: usize = 48_000;
const PIECE: usize = 8_000;
const TIMEOUT_MS: u64 = 3000;
/// A request is lost if its answer has not come this long after its time.
const GRACE_MS: f64 = 550.0;
const ROUNDS: u64 = 3;

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
    let config = Config {
        name: "n0".into(),
        board: board.address,
        known: board.json(0),
        settings: NORTE.settings(),
        memory_mb: MEMORY_MB,
        sockets: SOCKETS,
        listen: free_address().map_err(fail)?,
        ops: None,
    };
    let router = Router::start(&setup.temp, &config)?;
    let mut lost = 0;
    for round in 0..ROUNDS {
        let mut silent = Vec::new();
        if setup.trouble {
            for number in 0..SILENT_CLIENTS {
                let id = format!("{:08x}{number:08x}", 0xbad0_0000_u32 + round as u32);
                let fields = params("shift-swap", &id, TIMEOUT_MS, "00000000000000aa", 1, BODY);
                let mut bytes = fastcgi::request(1, &fields, &vec![b'x'; HALF_BODY], HALF_BODY);
                bytes.pop(); // The body has no end.
                let mut stream = TcpStream::connect(router.address).map_err(fail)?;
                stream.write_all(&bytes.concat()).map_err(fail)?;
                silent.push(stream);
            }
            record.line(format!(
                "{SILENT_CLIENTS} clients have sent {HALF_BODY} bytes of a body each and go silent"
            ));
            sleep_ms(200);
        }
        lost += upload(setup, &router, round)?;
        drop(silent);
        sleep_ms(1500);
    }
    let ran = world.runs.lock().unwrap().iter().filter(|run| run.id.starts_with("00000000ca5e")).count();
    record.line(format!("router's log:\n{}", router.log_text()));
    if router.has_ended() {
        record.say("the router has ended");
        return Ok(Verdict::Broken);
    }
    record.say(format!("{} uploads, {ran} ran, {lost} were never answered", ROUNDS * u64::from(UPLOADS)));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// One upload: its id, and its number on a connection.
struct Upload {
    id: String,
    number: u16,
    /// Its last byte was written to the latest connection that carried it.
    written: bool,
    answered: bool,
}

/// Sends the uploads on one connection. If that ends, those without an answer are sent again on a new one, once, as if
/// they had crossed the close of an idle connection. Returns how many got no answer in their time.
fn upload(setup: &Setup, router: &Router, round: u64) -> Result<usize, Failed> {
    let mut uploads: Vec<Upload> = (1..=UPLOADS)
        .map(|number| {
            let id = format!("{:016x}", 0xca5e_0000 + 0x100 * round + u64::from(number));
            Upload { id, number, written: false, answered: false }
        })
        .collect();
    for attempt in ["first", "second"] {
        if uploads.iter().any(|upload| !upload.answered) {
            setup.record.line(format!("round {round}, {attempt} connection"));
            send_and_wait(setup, router, round, &mut uploads)?;
        }
    }
    let lost = uploads.iter().filter(|upload| upload.written && !upload.answered).count();
    setup.record.line(format!("round {round}: {lost} of {UPLOADS} uploads have no answer"));
    Ok(lost)
}

fn send_and_wait(setup: &Setup, router: &Router, round: u64, uploads: &mut [Upload]) -> Result<(), Failed> {
    let record = &setup.record;
    let mut front = Front::connect(router.address).map_err(|e| format!("cannot connect: {e}"))?;
    // The connection has served before: a front keeps its connections.
    let own = u64::from(front.stream.local_addr().map_or(0, |address| address.port()));
    let fields = params(
        "rota-page",
        &format!("{:08x}{own:08x}", 0x1000 + round),
        TIMEOUT_MS,
        "00000000000000bb",
        1,
        0,
    );
    let first = front.ask(100, &fields, b"", Duration::from_secs(4))?;
    record.line(format!("the connection's first request: status {}", first.status));
    let mut requests: Vec<Vec<Vec<u8>>> = uploads
        .iter()
        .filter(|upload| !upload.answered)
        .map(|upload| {
            let object = format!("{:016x}", 0xc0 + upload.number);
            let fields = params("shift-swap", &upload.id, TIMEOUT_MS, &object, 2, BODY);
            fastcgi::request(upload.number, &fields, &vec![b'a' + upload.number as u8; BODY], PIECE)
        })
        .collect();
    let count = requests.len();
    // The uploads come from several employees at once, so their records take turns.
    let mut bytes = Vec::new();
    while requests.iter().any(|records| !records.is_empty()) {
        for records in requests.iter_mut().filter(|records| !records.is_empty()) {
            bytes.extend(records.remove(0));
        }
    }
    let result = front.write(&bytes);
    uploads.iter_mut().filter(|upload| !upload.answered).for_each(|upload| upload.written = result.is_ok());
    if let Err(e) = result {
        record.line(format!("the uploads could not be written whole: {e}"));
        return Ok(());
    }
    let written = unix_ms();
    record.line(format!(
        "{count} uploads of {BODY} bytes are written whole, {} bytes in one write",
        bytes.len()
    ));
    let until = Instant::now() + Duration::from_millis(TIMEOUT_MS + GRACE_MS as u64 + 200);
    while uploads.iter().any(|upload| !upload.answered) {
        match front.events.recv_timeout(until.saturating_duration_since(Instant::now())) {
            Ok(Event::Answer(answer)) => {
                let after = answer.at - written;
                record.line(format!("upload {}: status {} after {after:.1} ms", answer.id, answer.status));
                if after <= TIMEOUT_MS as f64 + GRACE_MS {
                    let known = uploads.iter_mut().find(|upload| upload.number == answer.id);
                    known.into_iter().for_each(|upload| upload.answered = true);
                }
            }
            Ok(Event::Closed(why)) => {
                record.line(format!(
                    "the connection ended {:.1} ms after the uploads: {why}",
                    unix_ms() - written
                ));
                break;
            }
            Err(_) => {
                record.line("no further answer within the clients' time");
                break;
            }
        }
    }
    Ok(())
}
