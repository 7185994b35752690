//! Steps of the wall clock, forwards and backwards, by seconds and by an hour: events that carry Unix times
//! keep their true age.

mod common;

use common::{net, settings};
use frostturn::api::*;
use frostturn::clock::UnixTime;
use frostturn::discovery::{Announcement, DiscoveryEvent, ListedMachine};
use frostturn::reducer::{Effect, IncomingRequest, Input, Reducer, RequestKey};

/// The Unix time at 0.
const UNIX_MS: Millis = 1.7e12;
const HOUR_MS: Millis = 3_600_000.0;
const STEPS: [Millis; 4] = [-HOUR_MS, -3000.0, 3000.0, HOUR_MS];
/// Time between an event and its receipt.
const TRANSIT_MS: Millis = 200.0;

/// A router whose wall clock steps once.
struct Router {
    reducer: Reducer,
    step_ms: Millis,
    step_at: Millis,
    rev: u64,
}

impl Router {
    fn new(step_ms: Millis, step_at: Millis) -> Self {
        let reducer = Reducer::new(settings(), net(), 7, 0.0, UnixTime(UNIX_MS));
        let mut router = Self { reducer, step_ms, step_at, rev: 0 };
        let all = [("e1", "edge"), ("e2", "edge"), ("o1", "origin")];
        let machines = all.map(|(name, kind)| common::listed(name, kind, Phase::Serving)).into();
        router.receive(0.0, Announcement::Pool { snapshot: true, machines });
        router
    }

    /// Returns the wall clock's time on every machine.
    fn unix(&self, now: Millis) -> UnixTime {
        UnixTime(UNIX_MS + now + if now >= self.step_at { self.step_ms } else { 0.0 })
    }

    /// Delivers an event of the discovery service.
    fn receive(&mut self, now: Millis, announcement: Announcement) -> Vec<Effect> {
        self.rev += 1;
        let event = DiscoveryEvent { rev: self.rev, announcement: Some(announcement) };
        let unix = self.unix(now);
        self.reducer.step(now, Input::DiscoveryEvent { event, unix })
    }

    /// Sends a request and returns the oldest copy age that its attempt allows.
    fn max_copy_age(&mut self, now: Millis) -> Option<Millis> {
        let serial = now as u64;
        let request = IncomingRequest {
            id: format!("{serial:016x}"),
            class: "read".into(),
            timeout_ms: 900.0,
            object: Some("song".into()),
            size_kb: Some(10.0),
            ..IncomingRequest::default()
        };
        let key = RequestKey { conn: 1, serial };
        let effects =
            self.reducer.step(now, Input::RequestReceived { key, request: Ok(request), age_ms: 0.0 });
        effects.iter().find_map(|effect| match effect {
            Effect::Send { request: call, .. } => Some(call.fetch.max_age_ms),
            _ => None,
        })?
    }
}

/// Returns steps of each size before, between and after an event and its receipt at this time.
fn steps_around(received_at: Millis) -> Vec<(Millis, Millis)> {
    let times = [received_at - TRANSIT_MS - 500.0, received_at - TRANSIT_MS / 2.0, received_at + 100.0];
    STEPS.into_iter().flat_map(|step| times.map(|at| (step, at))).collect()
}

#[test]
fn a_purge_keeps_its_true_age_however_the_wall_clock_steps() {
    let received_at = 2000.0;
    for (step_ms, step_at) in steps_around(received_at) {
        let mut router = Router::new(step_ms, step_at);
        let made_unix_ms = router.unix(received_at - TRANSIT_MS);
        router.receive(
            received_at,
            Announcement::Purge { object: Some("song".into()), group: 0, made_unix_ms },
        );
        for later in [10.0, 1000.0, 4000.0] {
            let max_age = router.max_copy_age(received_at + later).unwrap_or(f64::INFINITY);
            let age = TRANSIT_MS + later;
            assert!(max_age <= age, "a step of {step_ms} at {step_at}: {max_age} at {later}");
        }
    }
}

#[test]
fn an_endpoint_that_started_late_is_cold_for_the_set_time_however_the_wall_clock_steps() {
    let received_at = 2000.0;
    let cold_start_ms = settings().guarantees.cold_start_ms;
    for (step_ms, step_at) in steps_around(received_at) {
        let mut router = Router::new(step_ms, step_at);
        let started = received_at - TRANSIT_MS;
        let since_unix_ms = Some(router.unix(started));
        let entry = || ListedMachine { since_unix_ms, ..common::listed("e1", "edge", Phase::Serving) };
        let cold_until = |effects: &[Effect]| {
            effects.iter().find_map(|effect| match effect {
                Effect::SetListing { listing: Some(listing), .. } => listing.cold_until,
                _ => None,
            })
        };
        let effects =
            router.receive(received_at, Announcement::Pool { snapshot: false, machines: vec![entry()] });
        let until = cold_until(&effects).expect("it is cold");
        let (least, most) = (started + cold_start_ms - 1.0, received_at + cold_start_ms + 1.0);
        assert!((least..=most).contains(&until), "a step of {step_ms} at {step_at}: until {until}");
        // A start that is reported again is the same start, and connections made since are not dead.
        let effects = router
            .receive(received_at + 1000.0, Announcement::Pool { snapshot: false, machines: vec![entry()] });
        assert_eq!(cold_until(&effects), Some(until), "a step of {step_ms} at {step_at}");
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::MachineRestarted { .. })));
    }
}
