//! Responses of the discovery service, split at any byte, and the config with the first events.

use frostturn::api::*;
use frostturn::clock::UnixTime;
use frostturn::config::Config;
use frostturn::discovery::{Announcement, DiscoveryClient, PollResponse, LONG_POLL_MS, POLL_SLACK_MS};

fn answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn purge(rev: u64) -> String {
    format!(r#"{{"rev":{rev},"flush":{{"collection":17,"ms":1764576000480}}}}"#)
}

fn events(notices: &[String]) -> String {
    format!(r#"{{"rev":0,"notices":[{}]}}"#, notices.join(","))
}

fn revisions(response: Result<Option<PollResponse>, String>) -> Vec<u64> {
    response.expect("readable").expect("complete").events.iter().map(|event| event.rev).collect()
}

const POOL: &str = r#"{"rev":41,"pool":{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":
    "127.0.0.9:7001","zone":"east","type":"std","group":2,"status":"leaving","weight":4,"since_ms":1764576000123}]}}"#;

#[test]
fn responses_are_parsed_wherever_they_are_split() {
    let plain = answer(&events(&[POOL.to_owned(), purge(42)]));
    let body = events(&[POOL.to_owned(), purge(42)]);
    let (first, second) = body.split_at(30);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    );
    for bytes in [plain, chunked.into_bytes()] {
        let mut client = DiscoveryClient::new(3, 1);
        let request = client.poll(0.0, ([127, 0, 0, 1], 9092).into());
        assert!(request.starts_with(b"GET /board/poll?watch=3&linger="));
        let mut response = None;
        for byte in &bytes {
            assert!(response.is_none(), "not before the response is complete");
            response = response.or(client.feed(0.0, &[*byte], false).expect("readable"));
        }
        let response = response.expect("complete").events;
        let Some(Announcement::Pool { snapshot: true, machines }) = &response[0].announcement else {
            panic!("{response:?}")
        };
        assert_eq!((machines[0].name.as_str(), machines[0].phase), ("s-1", Phase::Draining));
        assert_eq!(machines[0].since_unix_ms, Some(UnixTime(1764576000123.0)));
        let expected =
            Announcement::Purge { object: None, group: 17, made_unix_ms: UnixTime(1764576000480.0) };
        assert_eq!((response.len(), &response[1].announcement), (2, &Some(expected)));
    }
}

#[test]
fn events_are_returned_once_in_order_and_gaps_are_requested_again() {
    let mut client = DiscoveryClient::new(40, 1);
    let address = ([127, 0, 0, 1], 9092).into();
    let mut feed = |notices: &[String]| {
        client.poll(0.0, address);
        let response = client.feed(0.0, &answer(&events(notices)), false);
        if response.is_err() {
            client.poll_failed(0.0);
        }
        response
    };
    assert_eq!(revisions(feed(&[purge(42), purge(41), purge(40)])), [41, 42]);
    assert!(feed(&[purge(44)]).is_err(), "43 is missing");
    assert_eq!(revisions(feed(&[purge(43), purge(44)])), [43, 44]);
    // If the gap persists, everything is requested anew.
    (0..4).for_each(|_| assert!(feed(&[purge(50)]).is_err()));
    let request = client.poll(0.0, address);
    assert!(request.starts_with(b"GET /board/poll?watch=0&"));
}

#[test]
fn failed_polls_are_retried_at_once_and_then_with_growing_delays() {
    let mut client = DiscoveryClient::new(5, 1);
    let address = ([127, 0, 0, 1], 9092).into();
    let mut waits = Vec::new();
    for bad in
        ["HTTP/1.1 500 No\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{]}!", "nonsense\r\n\r\n"]
    {
        let request = client.poll(1000.0, address);
        assert!(request.starts_with(b"GET /board/poll?watch=5&"));
        assert!(client.feed(1000.0, bad.as_bytes(), false).is_err(), "{bad}");
        client.poll_failed(1000.0);
        waits.push(client.next_poll_at - 1000.0);
    }
    assert!(waits[0] == 0.0 && waits[1] > 0.0 && waits[2] > waits[1] && waits[2] <= 500.0, "{waits:?}");
    client.poll(2000.0, address);
    assert_eq!(client.feed(2000.0, &answer(&events(&[])), false), Ok(Some(PollResponse::default())));
    assert_eq!(client.next_poll_at, 2000.0, "after an answer the next poll follows at once");
}

#[test]
fn two_unanswered_polls_in_a_row_end_before_an_announcement_binds() {
    // Platform rule: an announcement binds after 7 s, whether it has arrived or not; the settings add no time
    // for draining machines.
    let mut client = DiscoveryClient::new(5, 1);
    let address = ([127, 0, 0, 1], 9092).into();
    let mut now = 0.0;
    for _ in 0..2 {
        client.poll(now, address);
        assert!(client.poll_outstanding() && client.next_poll_at == now + LONG_POLL_MS + POLL_SLACK_MS);
        now = client.next_poll_at;
        client.poll_failed(now);
        now = client.next_poll_at;
    }
    assert!(now < 6000.0, "the third poll is sent by then: {now}");
}

#[test]
fn hundreds_of_routers_that_fail_together_poll_at_different_times() {
    // The service refuses all polls for 8 s, starting at the same moment for all routers.
    let mut polls: Vec<f64> = Vec::new();
    for seed in 0..300 {
        let mut client = DiscoveryClient::new(5, seed);
        client.poll_failed(0.0);
        while client.next_poll_at < 8000.0 {
            let now = client.next_poll_at;
            polls.push(now);
            client.poll(now, ([127, 0, 0, 1], 9092).into());
            client.poll_failed(now);
        }
    }
    let max = (20..80).map(|at| f64::from(at) * 100.0);
    let max = max.map(|from| polls.iter().filter(|at| (from..from + 100.0).contains(*at)).count()).max();
    assert!(polls.len() < 300 * 40, "bounded: {}", polls.len());
    assert!(max < Some(130), "polls within any 100 ms, not all at once: {max:?}");
    let mut moved: Vec<u64> = (0..300)
        .map(|seed| {
            let mut client = DiscoveryClient::new(5, seed);
            client.address_changed(0.0);
            (client.next_poll_at / 10.0) as u64
        })
        .collect();
    moved.dedup();
    assert!(moved.len() > 100, "spread as well when all get another address");
}

#[test]
fn a_restarted_numbering_is_followed_and_changes_are_merged_into_its_snapshot() {
    let mut client = DiscoveryClient::new(9, 1);
    let address = ([127, 0, 0, 1], 9092).into();
    client.poll(0.0, address);
    let older = format!(r#"{{"rev":2,"notices":[{}]}}"#, purge(2));
    assert_eq!(revisions(client.feed(0.0, &answer(&older), false)), [0; 0]);
    assert!(client.poll(0.0, address).starts_with(b"GET /board/poll?watch=0&"));
    let change = |rev: u64, name: &str, status: &str| {
        format!(
            r#"{{"rev":{rev},"pool":{{"endpoints":[{{"name":"{name}","address":"127.0.0.9:7001","status":"{status}"}}]}}}}"#
        )
    };
    let first = POOL.replace("\"rev\":41", "\"rev\":1");
    let all =
        [first, change(2, "s-1", "left"), purge(3), change(4, "s-2", "leaving"), change(5, "s-1", "active")];
    let response = client.feed(0.0, &answer(&events(&all)), false).expect("readable").expect("complete");
    assert_eq!(response.events.len(), 2, "a snapshot and a purge: {response:?}");
    let Some(Announcement::Pool { snapshot: true, machines }) = &response.events[0].announcement else {
        panic!("{response:?}")
    };
    let states: Vec<_> = machines.iter().map(|one| (one.name.as_str(), one.phase)).collect();
    assert_eq!(states, [("s-2", Phase::Draining), ("s-1", Phase::Serving)]);
    assert!(client.poll(0.0, address).starts_with(b"GET /board/poll?watch=5&"));
    // Later changes are returned one by one, and an empty snapshot removes all machines.
    let empty = r#"{"rev":7,"pool":{"snapshot":true,"endpoints":[]}}"#.to_owned();
    let response = client.feed(0.0, &answer(&events(&[change(6, "s-3", "active"), empty])), false);
    let response = response.expect("readable").expect("complete").events;
    assert_eq!(
        (response.len(), &response[1].announcement),
        (2, &Some(Announcement::Pool { snapshot: true, machines: vec![] }))
    );
}

#[test]
fn unreadable_parts_are_read_restrictively_and_unexpected_data_is_reported() {
    let mut client = DiscoveryClient::new(0, 1);
    client.poll(0.0, ([127, 0, 0, 1], 9092).into());
    let entries = r#"{"name":"s-1","address":"127.0.0.9:7001","status":"resting"},{"name":"s-2","status":"active"},
        {"status":"active"}"#;
    let list = [
        format!(r#"{{"rev":1,"pool":{{"snapshot":true,"endpoints":[{entries}]}}}}"#),
        r#"{"rev":2,"flush":{"asset":"a"}}"#.to_owned(),
        r#"{"rev":3,"flush":{}}"#.to_owned(),
        r#"{"rev":4,"pool":{}}"#.to_owned(),
    ];
    let mut bytes = answer(&events(&list));
    bytes.push(b'H');
    let response = client.feed(0.0, &bytes, false).expect("readable").expect("complete");
    assert!(response.unexpected_data);
    assert_eq!(response.problems.len(), 4, "a bounded number: {:?}", response.problems);
    let Some(Announcement::Pool { snapshot: true, machines }) = &response.events[0].announcement else {
        panic!("{response:?}")
    };
    assert!(machines.len() == 2 && machines.iter().all(|one| one.phase == Phase::Draining));
    let now =
        Announcement::Purge { object: Some("a".into()), group: 0, made_unix_ms: UnixTime(f64::INFINITY) };
    assert_eq!(response.events[1].announcement, Some(now), "counts as made now");
    assert_eq!((&response.events[2].announcement, &response.events[3].announcement), (&None, &None));
}

fn config(change: impl Fn(String) -> String) -> Result<Config, String> {
    let json = format!(
        r#"{{"name":"n3","listen":"127.0.0.1:7001","seed":"8c1f30d27a5be964","board":"127.0.0.1:9092",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{{"rev":41,"notices":[{POOL}]}},
        "settings":{{"Az":"east","Localities":["hub","east"],"MachineTypes":["std","parent","origin"],
        "FamilyInfo":{{"SecondTierKind":1,"MasterKind":2,"GoodForMs":[0.0,8000.0],"Uncached":[false,true],
        "OneFlowKbPerS":9500.0}},"Limits":{{"MostTries":6,"DialTimeoutMs":300.0,"Cancelling":true}},
        "RequestClasses":[{{"Name":"page","Repeat":"retryable","AimMs":250.0,"HardLimitMs":3000.0}},
        {{"Name":"swap","Repeat":"fragile","AimMs":700.0,"HardLimitMs":3000.0,"Worth":3.0}}]}}}}"#
    );
    Config::read(change(json).into_bytes(), None, None)
}

#[test]
fn nested_settings_are_parsed_like_the_simulators_pairs() {
    let config = config(|json| json).expect("a good config");
    let settings = &config.settings;
    assert_eq!((config.name.as_str(), config.seed, config.known_rev), ("n3", 0x8c1f_30d2_7a5b_e964, 41));
    assert_eq!(
        (config.known_events.len(), config.net.dial_timeout_ms, config.net.max_descriptors),
        (1, 300.0, 1024)
    );
    assert_eq!(settings.parent_kind, Some("parent".into()));
    assert_eq!((settings.limits.max_attempts, settings.limits.cancelling), (6, true));
    let [page, swap] = &settings.classes[..] else { panic!("{settings:?}") };
    assert_eq!((page.repeat, page.fresh_ms, page.uncached), (Repeat::Retryable, None, false));
    assert_eq!((swap.repeat, swap.fresh_ms, swap.uncached), (Repeat::Fragile, Some(8000.0), true));
}

#[test]
fn missing_settings_and_unknown_keywords_give_warnings_that_name_the_fallback() {
    let good = config(|json| json).expect("a good config");
    let [missing] = &good.warnings[..] else { panic!("{:?}", good.warnings) };
    assert!(
        missing.starts_with("missing settings, using defaults: ") && missing.contains("Guarantees.ColdMs"),
        "{missing}"
    );
    assert!(!missing.contains("MostTries") && !missing.contains("DialTimeoutMs"), "{missing}");
    assert!(
        good.settings.guarantees.purge_gone_ms >= 3_600_000.0,
        "without a setting a purge binds for long enough"
    );
    let changed = config(|json| {
        let json = json.replace("\"fragile\"", "\"sometimes\"").replace("\"Az\":\"east\"", "\"Az\":\"moon\"");
        let json = json.replace("\"retryable\"", "\"dedup\"").replace("\"MostTries\":6,", "");
        json.replace("\"MachineTypes\"", "\"Discovery\":\"rumour\",\"NewKey\":[1],\"MachineTypes\"")
    });
    let changed = changed.expect("usable settings");
    for expected in [
        "RequestClasses.1.Repeat has the unknown value sometimes; using fragile",
        "Discovery has the unknown value rumour; using push",
        "Az is not one of the Localities: moon",
        "RequestClasses.0.DedupScope",
        "RequestClasses.0.DedupWindowMs",
        "Limits.MostTries",
    ] {
        assert!(
            changed.warnings.iter().any(|warning| warning.contains(expected)),
            "{expected}: {:?}",
            changed.warnings
        );
    }
    assert!(!changed.warnings.iter().any(|warning| warning.contains("NewKey")), "unknown keys are allowed");
    assert_eq!(changed.settings.classes[1].repeat, Repeat::Fragile);
    assert_eq!(changed.settings.limits.max_attempts, 1, "without any attempt no request would be served");
}

#[test]
fn a_bad_config_gives_a_one_line_error() {
    for (from, to, why) in [
        ("{\"name\"", "[\"name\"", "not JSON"),
        ("127.0.0.1:7001", "nowhere", "listen is not an address"),
        ("8c1f30d27a5be964", "xyz", "seed"),
        ("\"settings\"", "\"other\"", "settings are missing"),
        ("\"leaving\"", "\"resting\"", "known: s-1 has an unknown status"),
        ("\"RequestClasses\"", "\"Classes\"", "no request class"),
        ("300.0", "\"soon\"", "Limits.DialTimeoutMs is not a number"),
        ("300.0", "-300.0", "Limits.DialTimeoutMs is out of range: -300.0"),
        ("\"MostTries\":6", "\"MostTries\":1e9", "Limits.MostTries is out of range"),
        ("[0.0,8000.0]", "[0.0,-1]", "FamilyInfo.GoodForMs is out of range: -1"),
        ("\"HardLimitMs\":3000.0}", "\"Deadline\":3000.0}", "RequestClasses.0.HardLimitMs is missing"),
        ("\"swap\"", "\"page\"", "RequestClasses.1.Name is missing or a duplicate: page"),
        ("\"Worth\":3.0", "\"LateWorth\":3.0", "RequestClasses.1.LateWorth is out of range: 3.0"),
    ] {
        let error = config(|json| json.replacen(from, to, 1)).expect_err(why);
        assert!(error.contains(why) && !error.contains('\n'), "{why}: {error}");
    }
}
