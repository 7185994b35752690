//! Fixtures of the router's tests: a location with caches, parents and an origin, and a driver for a router.

#![allow(dead_code)] // Each test file uses only some of them.

use frostturn::api::*;
use frostturn::config::NetworkSettings;
use frostturn::discovery::ListedMachine;
use frostturn::Router;

/// The clock at a driver's start: any value, since a router must not depend on it.
pub const START_MS: Millis = 700_000_000.0;

/// Classes of the settings, by index.
pub const READ: usize = 0;
pub const PAGE: usize = 1;
pub const KEYED: usize = 2;
pub const FRAGILE: usize = 3;

/// Settings with the four classes, two routers and everything allowed but bypass, hedging and probes.
pub fn settings() -> Settings {
    let class = |name: &str, repeat| ClassSettings {
        name: name.into(),
        aim_ms: 400.0,
        aim_stretch: 2.0,
        deadline_ms: 4000.0,
        repeat,
        worth: 1.0,
        ..ClassSettings::default()
    };
    let keyed = Repeat::Dedup { scope: DedupScope::All, window_ms: 1000.0 };
    Settings {
        zone: Some("east".into()),
        zones: vec!["hub".into(), "east".into(), "west".into()],
        routers_by_zone: vec![0, 1, 1],
        zone_hubs: vec![0, 0, 0],
        zone_links_kb_per_s: vec![0.0, 100_000.0, 100_000.0],
        routers: 2,
        classes: vec![
            class("read", Repeat::Retryable),
            ClassSettings { fresh_ms: Some(8000.0), stale_ms: 20_000.0, ..class("page", Repeat::Retryable) },
            ClassSettings { uncached: true, ..class("keyed", keyed) },
            class("fragile", Repeat::Fragile),
        ],
        parent_kind: Some("parent".into()),
        origin_kind: Some("origin".into()),
        joins: true,
        detail: Detail::All,
        flow_kb_per_s: Some(10_000.0),
        weights: Weights::Nominal,
        guarantees: Guarantees {
            stop_sending_ms: 1000.0,
            cold_start_share: 0.2,
            cold_start_ms: 10_000.0,
            overload_multiple: 2.0,
            overload_ms: 1000.0,
            parent_cold_start_share: 0.1,
            parent_cold_start_ms: 20_000.0,
            parent_overload_multiple: 2.0,
            purge_notice_ms: 500.0,
            purge_gone_ms: 6000.0,
            ..Guarantees::default()
        },
        limits: Limits {
            max_attempts: 4,
            cancelling: true,
            retry_after: true,
            max_retry_after_ms: 1000.0,
            ..Limits::default()
        },
        ..Settings::default()
    }
}

/// A machine that has been online for long, with a link for eight transfers.
pub fn entry(cache: &str, kind: &str, zone: &str) -> ListEntry {
    ListEntry {
        cache: cache.into(),
        kind: kind.into(),
        cell: 0,
        zone: zone.into(),
        weight: 8.0,
        phase: Phase::Serving,
        online_since: None,
    }
}

/// Four edge caches in the router's zone, one in another, two parents and the origin.
pub fn machines() -> Vec<ListEntry> {
    let mut list: Vec<_> = ["e1", "e2", "e3", "e4"].map(|name| entry(name, "edge", "east")).into();
    list.push(entry("w1", "edge", "west"));
    list.extend(["p1", "p2"].map(|name| entry(name, "parent", "hub")));
    list.push(entry("o1", "origin", "hub"));
    list
}

/// A router with its clock, the number of requests so far, and its log lines.
pub struct Driver {
    pub router: Router,
    pub now: Millis,
    next: u64,
    pub log: Vec<String>,
}

impl Driver {
    pub fn new(settings: Settings, machines: Vec<ListEntry>) -> Self {
        Self::with_seed(settings, machines, 1)
    }

    pub fn with_seed(settings: Settings, machines: Vec<ListEntry>, seed: u64) -> Self {
        let now = START_MS;
        let mut driver = Self { router: Router::new(settings, seed, now), now, next: 0, log: Vec::new() };
        driver.send(Event::List { mode: ListMode::Cached, entries: machines });
        driver
    }

    pub fn with_defaults() -> Self {
        Self::new(settings(), machines())
    }

    /// Passes an event to the router. Returns its actions without log lines and timers.
    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions.retain(|action| match action {
            Action::Log(text) => {
                self.log.push(text.clone());
                false
            }
            Action::Timer { .. } => false,
            _ => true,
        });
        actions
    }

    /// Advances the clock in steps of 100 ms, each with a timer event.
    pub fn advance(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut actions = Vec::new();
        while self.now + 100.0 <= end {
            self.now += 100.0;
            actions.extend(self.send(Event::Timer(Token(0))));
        }
        self.now = end;
        actions
    }

    pub fn request(&mut self, class: usize, object: &str) -> Vec<Action> {
        self.request_sized(class, object, 100.0)
    }

    pub fn request_sized(&mut self, class: usize, object: &str, size_kb: f64) -> Vec<Action> {
        self.request_piece(class, object, 0, size_kb)
    }

    pub fn request_piece(&mut self, class: usize, object: &str, piece: u64, size_kb: f64) -> Vec<Action> {
        self.next += 1;
        self.send(Event::Request(ClientRequest {
            id: format!("r{}", self.next).as_str().into(),
            repeat: false,
            class,
            size_kb: Some(size_kb),
            piece,
            budget_ms: 4000.0,
            object: Some(object.into()),
            group: 7,
            advice: None,
        }))
    }

    /// Ends an attempt after 20 ms.
    pub fn end_attempt(
        &mut self,
        fetch: &Fetch,
        attempt: usize,
        outcome: Outcome,
        cache_status: Option<CacheStatus>,
    ) -> Vec<Action> {
        self.send(Event::Result(AttemptResult {
            id: fetch.id.clone(),
            attempt,
            cache: fetch.cache.clone(),
            outcome,
            elapsed_ms: 20.0,
            last: outcome == Outcome::Ok,
            cache_status,
            source_ttfb_ms: cache_status.map(|_| 15.0),
            report: LoadReport::default(),
            size_kb: None,
        }))
    }

    /// Answers a first attempt after a time, of which the source took `source_ttfb_ms`.
    pub fn answer_after(
        &mut self,
        fetch: &Fetch,
        cache_status: CacheStatus,
        elapsed_ms: Millis,
        source_ttfb_ms: Option<Millis>,
    ) {
        self.send(Event::Result(AttemptResult {
            id: fetch.id.clone(),
            attempt: 0,
            cache: fetch.cache.clone(),
            outcome: Outcome::Ok,
            elapsed_ms,
            last: true,
            cache_status: Some(cache_status),
            source_ttfb_ms,
            report: LoadReport::default(),
            size_kb: None,
        }));
    }

    /// Requests an object, and answers its first attempt after 20 ms.
    pub fn serve(&mut self, class: usize, object: &str, cache_status: CacheStatus) -> Fetch {
        let fetch = fetch(&self.request(class, object));
        self.end_attempt(&fetch, 0, Outcome::Ok, Some(cache_status));
        fetch
    }
}

/// Returns the fetch among the actions.
pub fn fetch(actions: &[Action]) -> Fetch {
    let found = actions.iter().find_map(|action| match action {
        Action::Fetch(fetch) => Some(fetch.clone()),
        _ => None,
    });
    found.unwrap_or_else(|| panic!("no fetch in {actions:?}"))
}

pub fn is_refusal(actions: &[Action]) -> bool {
    matches!(actions, [Action::Refuse { .. }])
}

pub fn is_failure(actions: &[Action]) -> bool {
    matches!(actions, [Action::Fail { .. }])
}

/// A machine as the discovery service lists it.
pub fn listed(name: &str, kind: &str, phase: Phase) -> ListedMachine {
    ListedMachine {
        name: name.into(),
        address: ([127, 0, 0, 1], 7000).into(),
        zone: "east".into(),
        kind: kind.into(),
        cell: 0,
        weight: 100.0,
        phase,
        since_unix_ms: None,
    }
}

/// The limits of the network side, wide enough for all tests.
pub fn net() -> NetworkSettings {
    NetworkSettings {
        dial_timeout_ms: 400.0,
        idle_ms: 3e4,
        streams_per_connection: 32,
        max_open_requests: 4096,
        memory_bytes: 1 << 28,
        max_descriptors: 1024,
        flow_bytes_per_s: None,
    }
}
