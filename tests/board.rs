//! The notice board's answers, wherever they are split, and the config that holds its first events.

use frostturn::api::*;
use frostturn::board::{Follower, Notice, Word};
use frostturn::config::Config;

fn answer(body: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn purge(rev: u64) -> String {
    format!(r#"{{"rev":{rev},"flush":{{"collection":17,"ms":1764576000480}}}}"#)
}

fn events(notices: &[String]) -> String {
    format!(r#"{{"rev":0,"notices":[{}]}}"#, notices.join(","))
}

fn revs(news: Result<Option<Vec<Notice>>, String>) -> Vec<u64> {
    news.expect("readable").expect("whole").iter().map(|notice| notice.rev).collect()
}

const POOL: &str = r#"{"rev":41,"pool":{"index":7,"snapshot":true,"endpoints":[{"name":"s-1","address":
    "127.0.0.9:7001","zone":"east","type":"std","group":2,"status":"leaving","weight":4,"since_ms":1764576000123}]}}"#;

#[test]
fn answers_are_read_wherever_they_are_split() {
    let plain = answer(&events(&[POOL.to_owned(), purge(42)]));
    let body = events(&[POOL.to_owned(), purge(42)]);
    let (first, second) = body.split_at(30);
    let chunked = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    );
    for bytes in [plain, chunked.into_bytes()] {
        let mut follower = Follower::new(3);
        let asked = follower.poll(0.0, ([127, 0, 0, 1], 9092).into());
        assert!(asked.starts_with(b"GET /board/poll?watch=3&linger="));
        let mut news = None;
        for byte in &bytes {
            assert!(news.is_none(), "not before it is whole");
            news = news.or(follower.feed(0.0, &[*byte], false).expect("readable"));
        }
        let news = news.expect("whole");
        let Some(Word::Pool { whole: true, machines }) = &news[0].word else { panic!("{news:?}") };
        assert_eq!((machines[0].name.as_str(), machines[0].phase), ("s-1", Phase::Draining));
        assert_eq!(machines[0].since_unix_ms, Some(1764576000123.0));
        let expected = Word::Purge { object: None, group: 17, made_unix_ms: 1764576000480.0 };
        assert_eq!((news.len(), &news[1].word), (2, &Some(expected)));
    }
}

#[test]
fn events_come_in_order_once_and_a_gap_is_asked_for_again() {
    let mut follower = Follower::new(40);
    let address = ([127, 0, 0, 1], 9092).into();
    let mut feed = |notices: &[String]| {
        follower.poll(0.0, address);
        let news = follower.feed(0.0, &answer(&events(notices)), false);
        if news.is_err() {
            follower.failed(0.0);
        }
        news
    };
    assert_eq!(revs(feed(&[purge(42), purge(41), purge(40)])), [41, 42]);
    assert!(feed(&[purge(44)]).is_err(), "43 is missing");
    assert_eq!(revs(feed(&[purge(43), purge(44)])), [43, 44]);
    // A gap that stays: then all is asked for anew.
    (0..4).for_each(|_| assert!(feed(&[purge(50)]).is_err()));
    let asked = follower.poll(0.0, address);
    assert!(asked.starts_with(b"GET /board/poll?watch=0&"));
}

#[test]
fn a_failed_poll_is_resumed_at_once_and_then_more_and_more_slowly() {
    let mut follower = Follower::new(5);
    let address = ([127, 0, 0, 1], 9092).into();
    let mut waits = Vec::new();
    for bad in
        ["HTTP/1.1 500 No\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n{]}!", "nonsense\r\n\r\n"]
    {
        let asked = follower.poll(1000.0, address);
        assert!(asked.starts_with(b"GET /board/poll?watch=5&"));
        assert!(follower.feed(1000.0, bad.as_bytes(), false).is_err(), "{bad}");
        follower.failed(1000.0);
        waits.push(follower.due - 1000.0);
    }
    assert!(waits[0] == 0.0 && waits[1] > 0.0 && waits[2] > waits[1] && waits[2] <= 500.0, "{waits:?}");
    follower.poll(2000.0, address);
    assert_eq!(follower.feed(2000.0, &answer(&events(&[])), false), Ok(Some(vec![])));
    assert_eq!(follower.due, 2000.0, "and after an answer at once again");
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
fn the_nested_settings_are_read_as_the_simulators_pairs_are() {
    let config = config(|json| json).expect("a good config");
    let settings = &config.settings;
    assert_eq!((config.name.as_str(), config.seed, config.rev), ("n3", 0x8c1f_30d2_7a5b_e964, 41));
    assert_eq!((config.known.len(), config.net.dial_timeout_ms, config.net.sockets), (1, 300.0, 1024));
    assert_eq!(settings.parent_kind, Some("parent".into()));
    assert_eq!((settings.limits.max_attempts, settings.limits.cancelling), (6, true));
    let [page, swap] = &settings.classes[..] else { panic!("{settings:?}") };
    assert_eq!((page.repeat, page.fresh_ms, page.uncached), (Repeat::Retryable, None, false));
    assert_eq!((swap.repeat, swap.fresh_ms, swap.uncached), (Repeat::Fragile, Some(8000.0), true));
}

#[test]
fn a_bad_config_is_told_in_one_line() {
    for (from, to, why) in [
        ("{\"name\"", "[\"name\"", "not JSON"),
        ("127.0.0.1:7001", "nowhere", "listen is not an address"),
        ("8c1f30d27a5be964", "xyz", "seed"),
        ("\"settings\"", "\"other\"", "settings are missing"),
        ("\"leaving\"", "\"resting\"", "known: s-1 has the status"),
        ("\"RequestClasses\"", "\"Classes\"", "no class"),
        ("300.0", "\"soon\"", "Limits.DialTimeoutMs is not a number"),
    ] {
        let error = config(|json| json.replacen(from, to, 1)).expect_err(why);
        assert!(error.contains(why) && !error.contains('\n'), "{why}: {error}");
    }
}
