//! A router is drained while a client that reads 1 MB a second still reads its answers and goes on asking on
//! the connection that it has. And the same at a planned restart, with a client that gives one request up.

use crate::base::*;

/// Objects asked for before the drain, of the largest size.
const OBJECTS: usize = 8;
const BYTES: usize = 240_000;

/// What happens to the router while the client reads.
#[derive(Clone, Copy, PartialEq)]
pub enum What {
    /// An operator drains it; the client goes on asking.
    Drain,
    /// A planned restart: SIGTERM; the client asks until 0.6 s after it and gives one request up later.
    Restart,
}

pub fn run(record: &Record, what: What) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let folder = Folder::create()?;
    let shelf = |name: &str, kind, zone| {
        Shelf::start(
            record,
            name,
            kind,
            zone,
            8.0,
            Box::new(|_: &Arrival| Doing::Serve { after_ms: 30, bytes: BYTES }),
        )
    };
    let shelfs = [
        shelf("s-00000001", "standard", "edge-1")?,
        shelf("s-00000002", "standard", "edge-1")?,
        shelf("s-00000003", "standard", "edge-1")?,
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
    let ask = |at: usize| Request {
        id: format!("{:016x}", 0x9b1f_03aa_0000_0000_u64 + at as u64),
        class: "training-video",
        timeout_ms: 5000,
        object: Some(format!("{:016x}", 0x7f3a_0000_u64 + at as u64)),
        memory_kb: 950.0,
        ..Request::default()
    };
    // 1 MB a second: the slowest that the pages allow.
    let client = Client::connect(record, "slow", router.listen, Some(1000))?;
    for at in 0..OBJECTS {
        client.send(&ask(at));
    }
    sleep_ms(150);
    let mut more = OBJECTS;
    let mut given_up = None;
    if what == What::Drain {
        if trouble() && router.call(record, "POST", "/api/evacuate", "") != Some(200) {
            return Err("the drain was not taken".into());
        }
        // The client still reads its answers, and goes on using the connection that it has open.
        sleep_ms(1000);
        for _ in 0..3 {
            if client.send(&ask(more)) {
                more += 1;
            }
            sleep_ms(150);
        }
    } else {
        if trouble() {
            router.signal(record, "TERM");
        }
        for _ in 0..3 {
            sleep_ms(140);
            if client.send(&ask(more)) {
                more += 1;
            }
        }
        sleep_ms(1000);
        // ABORT_REQUEST for the last of them, whose answer the client has yet to read.
        client.write_raw(&record_bytes(2, more as u16, b""));
        given_up = Some(ask(more - 1).id);
        record.line(format!("slow: gives up number {more}"));
    }
    client.wait(12_000);
    let closed = client.closed_at();
    let mut broken = Vec::new();
    for (id, answer) in client.answers() {
        let object = format!("{:016x}", 0x7f3a_0000_u64 + (u64::from_str_radix(&id, 16)? & 0xffff));
        if given_up.as_ref() == Some(&id) {
            continue; // No answer is owed then.
        }
        if answer.ended_at.is_some() {
            if answer.status == 200 && answer.body != body_of(&object, BYTES) {
                broken.push(format!("{id} was answered 200 with other bytes than the shelf's"));
            }
            continue;
        }
        // What crosses the close within 50 ms, as the client sees it, is sent again on a new connection: not held
        // against the router.
        let crossed = closed.as_ref().is_some_and(|(at, _)| at - answer.sent_at <= 50.0);
        if !crossed {
            let how = closed.as_ref().map_or("still open".to_owned(), |(at, how)| {
                format!("{how} {:.0} ms after the request was written", at - answer.sent_at)
            });
            broken.push(format!(
                "{id}: no whole answer, {} bytes of it came; its connection: {how}",
                answer.received
            ));
        }
    }
    Ok(broken)
}
