//! A request router: decides where objects are served, cached and filled from, and handles the network around
//! these decisions.
//!
//! [`runtime`] serves on sockets; `docs/architecture.md` describes how the modules fit together. The
//! decisions are independent of it: a [`Router`] is a deterministic state machine without I/O. Create one
//! from [`Settings`](api::Settings), feed it [`Event`](api::Event)s with the time, and carry out the
//! [`Action`](api::Action)s that it returns.
//!
//! ```
//! use frostturn::api::*;
//! use frostturn::Router;
//!
//! let settings = Settings {
//!     zone: Some("east".into()),
//!     zones: vec!["east".into()],
//!     routers_by_zone: vec![1],
//!     routers: 1,
//!     origin_kind: Some("origin".into()),
//!     flow_kb_per_s: Some(1000.0),
//!     classes: vec![ClassSettings {
//!         name: "page".into(),
//!         aim_ms: 300.0,
//!         deadline_ms: 2000.0,
//!         repeat: Repeat::Retryable,
//!         worth: 1.0,
//!         ..ClassSettings::default()
//!     }],
//!     limits: Limits { max_attempts: 3, ..Limits::default() },
//!     ..Settings::default()
//! };
//! let mut router = Router::new(settings, 7, 0.0);
//! let mut actions = Vec::new();
//!
//! let entry = |cache: &str, kind: &str| ListEntry {
//!     cache: cache.into(),
//!     kind: kind.into(),
//!     cell: 0,
//!     zone: "east".into(),
//!     weight: 1.0,
//!     phase: Phase::Serving,
//!     online_since: None,
//! };
//! let entries = vec![entry("cache-a", "edge"), entry("store", "origin")];
//! router.handle(0.0, Event::List { mode: ListMode::Full, entries }, &mut actions);
//! router.handle(
//!     5.0,
//!     Event::Request(ClientRequest {
//!         id: "r1".into(),
//!         repeat: false,
//!         class: 0,
//!         size_kb: Some(40.0),
//!         piece: 0,
//!         budget_ms: 2000.0,
//!         object: Some("poster".into()),
//!         group: 3,
//!         advice: None,
//!     }),
//!     &mut actions,
//! );
//! let Some(Action::Fetch(fetch)) = actions.last() else { panic!("a fetch was expected") };
//! assert_eq!((fetch.cache.as_str(), fetch.source.as_str()), ("cache-a", "store"));
//! ```

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod addresses;
pub mod answer_memory;
pub mod api;
pub mod back;
pub mod bytes;
pub mod cli;
mod cli_ctl;
mod cli_plugin;
pub mod clock;
pub mod config;
pub mod counters;
pub mod discovery;
mod errno;
pub mod fastcgi;
pub mod fleet;
pub mod front;
pub mod handover;
pub mod log;
pub mod memory;
pub mod operator;
pub mod ops;
pub mod plugins;
pub mod policy;
pub mod reasons;
pub mod reducer;
pub mod resp;
pub mod runtime;
pub mod service;

pub use policy::Router;
