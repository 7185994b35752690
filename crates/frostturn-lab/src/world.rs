//! State that all stand-ins of a run share: the clock, the checker and observations of connections.

use crate::check::{Checker, Millis};
use crate::loopback::ReservedIp;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The first request on a connection, and its delay.
#[derive(Clone, Copy, Debug)]
pub struct First {
    /// Index of the machine.
    pub machine: usize,
    /// Index of the endpoint that received it.
    pub endpoint: usize,
    /// When the machine had received it completely.
    pub at: Millis,
    /// Time since its client sent it.
    pub after_ms: Millis,
}

/// Purge group of the staff photos.
pub const PHOTOS: u64 = 12;

/// Observations of the stand-ins.
#[derive(Debug, Default)]
pub struct Observations {
    /// Checks the routing rules.
    pub checker: Checker,
    /// Accepted connections: machine, endpoint and time.
    pub accepts: Vec<(usize, usize, Millis)>,
    /// First requests on connections.
    pub first_requests: Vec<First>,
    /// Delays from client to machine of all other requests, for comparison.
    pub usual_delays_ms: Vec<Millis>,
    /// Requests received on a failing endpoint, and resets before a request was read: machine, endpoint,
    /// time.
    pub failed_endpoint_requests: Vec<(usize, usize, Millis)>,
    /// Number of open connections by machine and endpoint.
    pub open_connections: BTreeMap<(usize, usize), i64>,
    /// Requests received on an endpoint where another machine answers.
    pub wrong_name: u64,
    /// Requests on new connections to an endpoint that a reloaded operator's file has removed.
    pub after_reload: u64,
    /// Endpoints removed from the operator's file, and when.
    pub removed_endpoints: BTreeMap<(usize, usize), Millis>,
    /// Cache hits and all answers of the boxes, for photos and for other objects.
    pub cache_answers: [(u64, u64); 2],
    /// The daemon's log; shows only that a scenario exercised what it is meant to.
    pub log: String,
    /// Requests received: machine and time.
    pub arrivals: Vec<(usize, Millis)>,
    /// Connections opened before this time carry no more requests: the front-end web servers leave a router
    /// that is shutting down.
    pub retired_before: Millis,
}

/// The environment of one run.
#[derive(Debug)]
pub struct World {
    start: Instant,
    /// Loopback address on which its routers and machines listen.
    pub loopback: ReservedIp,
    seen: Mutex<Observations>,
    ended: AtomicBool,
    /// Log of the stand-ins' events, one line each, if the run keeps its logs.
    events: Option<Mutex<File>>,
}

impl World {
    /// Starts the run's clock. Events of the stand-ins are written to `events`, if given. Fails as
    /// [`ReservedIp::take`].
    pub fn new(events: Option<&Path>) -> std::io::Result<Self> {
        let (start, loopback) = (Instant::now(), ReservedIp::take()?);
        let events = events.map(File::create).transpose()?.map(Mutex::new);
        Ok(Self { start, loopback, seen: Mutex::default(), ended: AtomicBool::new(false), events })
    }

    /// Logs an event of a stand-in, if logs are kept.
    pub fn event(&self, text: impl FnOnce() -> String) {
        if let Some(file) = &self.events {
            let line = format!("{:.3} {}\n", self.now(), text());
            let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
            let _ = file.write_all(line.as_bytes()); // A lost log line doesn't affect the run.
        }
    }

    /// Returns the milliseconds since the run began.
    pub fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Locks the observations.
    pub fn observations(&self) -> MutexGuard<'_, Observations> {
        self.seen.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Takes all observations, leaving none.
    pub fn take(&self) -> Observations {
        std::mem::take(&mut *self.observations())
    }

    /// Ends all stand-ins.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Returns whether the stand-ins are to end.
    pub fn ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1e3)
}
