//! No case: one request that states an absurd size, and what then becomes of its class. Every request has its
//! final answer, so that no rule is broken.

use crate::base::*;

pub fn run(record: &Record) -> Result<Vec<String>, Box<dyn std::error::Error>> {
    let folder = Folder::create()?;
    let shelf = |name: &str, kind, zone| {
        let doing = |_: &Arrival| Doing::Serve { after_ms: 30, bytes: 200 };
        Shelf::start(record, name, kind, zone, 40.0, Box::new(doing))
    };
    let shelfs = [
        shelf("s-00000001", "standard", "edge-1")?,
        shelf("s-00000002", "standard", "edge-1")?,
        shelf("u-00000001", "parent", "east-hub")?,
        shelf("o-00000001", "origin", "west-hub")?,
    ];
    let entries: Vec<String> = shelfs.iter().map(|shelf| entry(shelf, "active", 0.0)).collect();
    let board = Board::start(record, &pool(true, &entries))?;
    let settings = settings("edge-1", 1, CLASSES, "[false,false,true]");
    let mut start = Start {
        name: "n1",
        folder: &folder.0,
        board: &board,
        settings: &settings,
        listen: ([127, 0, 0, 1], 0).into(),
        memory_mb: 192,
        sockets: 1024,
        seed: 1,
    };
    let router = Router::start_alive(record, &mut start)?;
    let client = Client::connect(record, "usual", router.listen, None)?;
    let bad = Client::connect(record, "bad", router.listen, None)?;
    let swap = |number: u64, memory_kb: f64| Request {
        id: format!("{number:016x}"),
        class: "shift-swap",
        timeout_ms: 3000,
        memory_kb,
        body: vec![b'a'; 300],
        ..Request::default()
    };
    // The usual client states no size, which the wire page has as 0 or absent.
    for number in 1..30 {
        client.send(&swap(number, 0.0));
        sleep_ms(20);
    }
    if trouble() {
        bad.send(&swap(1000, 9e7));
        sleep_ms(50);
    }
    for number in 2000..2200 {
        client.send(&swap(number, 0.0));
        sleep_ms(20);
    }
    client.wait(3000);
    let served = |from: u64, to: u64| {
        let within = |id: &str| u64::from_str_radix(id, 16).is_ok_and(|number| (from..to).contains(&number));
        client.answers().iter().filter(|(id, answer)| within(id) && answer.status == 200).count()
    };
    let (before, after) = (served(1, 30), served(2000, 2200));
    record.line(format!("served before: {before} of 29; after: {after} of 200"));
    Ok(if after * 2 < 200 {
        vec![format!("served after it: {after} of 200 of its class, before {before} of 29")]
    } else {
        Vec::new()
    })
}
