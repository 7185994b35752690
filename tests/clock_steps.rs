//! The wall clock steps, back and forth, by seconds and by an hour: what others name in Unix time is still as old as it is.

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
/// Between the making of an event and the hearing of it.
const UNDER_WAY_MS: Millis = 200.0;

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
        router.hears(0.0, Announcement::Pool { snapshot: true, machines });
        router
    }

    /// What everybody's wall clock says.
    fn unix(&self, now: Millis) -> UnixTime {
        UnixTime(UNIX_MS + now + if now >= self.step_at { self.step_ms } else { 0.0 })
    }

    /// The board tells something now.
    fn hears(&mut self, now: Millis, word: Announcement) -> Vec<Effect> {
        self.rev += 1;
        let notice = DiscoveryEvent { rev: self.rev, announcement: Some(word) };
        let unix = self.unix(now);
        self.reducer.step(now, Input::DiscoveryEvent { notice, unix })
    }

    /// The oldest copy that is asked for now.
    fn oldest(&mut self, now: Millis) -> Option<Millis> {
        let serial = now as u64;
        let ask = IncomingRequest {
            id: format!("{serial:016x}"),
            class: "read".into(),
            timeout_ms: 900.0,
            object: Some("song".into()),
            size_kb: Some(10.0),
            ..IncomingRequest::default()
        };
        let client = RequestKey { conn: 1, serial };
        let effects =
            self.reducer.step(now, Input::RequestReceived { key: client, request: Ok(ask), age_ms: 0.0 });
        effects.iter().find_map(|effect| match effect {
            Effect::Send { request: call, .. } => Some(call.fetch.max_age_ms),
            _ => None,
        })?
    }
}

/// Steps of each size before, between and after the making and the hearing of an event at this time.
fn steps_around(heard: Millis) -> Vec<(Millis, Millis)> {
    let times = [heard - UNDER_WAY_MS - 500.0, heard - UNDER_WAY_MS / 2.0, heard + 100.0];
    STEPS.into_iter().flat_map(|step| times.map(|at| (step, at))).collect()
}

#[test]
fn a_purge_binds_from_when_it_was_made_however_the_wall_clock_steps() {
    let heard = 2000.0;
    for (step_ms, step_at) in steps_around(heard) {
        let mut router = Router::new(step_ms, step_at);
        let made_unix_ms = router.unix(heard - UNDER_WAY_MS);
        router.hears(heard, Announcement::Purge { object: Some("song".into()), group: 0, made_unix_ms });
        for later in [10.0, 1000.0, 4000.0] {
            let oldest = router.oldest(heard + later).unwrap_or(f64::INFINITY);
            let age = UNDER_WAY_MS + later;
            assert!(oldest <= age, "a step of {step_ms} at {step_at}: {oldest} at {later}");
        }
    }
}

#[test]
fn an_endpoint_that_has_started_late_is_cold_for_its_time_however_the_wall_clock_steps() {
    let heard = 2000.0;
    let cold_start_ms = settings().guarantees.cold_start_ms;
    for (step_ms, step_at) in steps_around(heard) {
        let mut router = Router::new(step_ms, step_at);
        let started = heard - UNDER_WAY_MS;
        let since_unix_ms = Some(router.unix(started));
        let entry = || ListedMachine { since_unix_ms, ..common::listed("e1", "edge", Phase::Serving) };
        let told = |effects: &[Effect]| {
            effects.iter().find_map(|effect| match effect {
                Effect::SetListing { listing: Some(listing), .. } => listing.cold_until,
                _ => None,
            })
        };
        let effects = router.hears(heard, Announcement::Pool { snapshot: false, machines: vec![entry()] });
        let until = told(&effects).expect("it is cold");
        let (least, most) = (started + cold_start_ms - 1.0, heard + cold_start_ms + 1.0);
        assert!((least..=most).contains(&until), "a step of {step_ms} at {step_at}: until {until}");
        // Told again, it is the same start, and nothing that was connected since is dead.
        let effects =
            router.hears(heard + 1000.0, Announcement::Pool { snapshot: false, machines: vec![entry()] });
        assert_eq!(told(&effects), Some(until), "a step of {step_ms} at {step_at}");
        assert!(!effects.iter().any(|effect| matches!(effect, Effect::MachineRestarted { .. })));
    }
}
