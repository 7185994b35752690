//! The laboratory: runs real daemons against stand-ins, with load and injected faults, and checks them from
//! outside.

#![forbid(unsafe_code)]

pub mod check;
pub mod clients;
pub mod daemon;
pub mod discovery;
pub mod fleet;
pub mod hostile;
pub mod loopback;
pub mod machines;
pub mod relay;
pub mod report;
pub mod rig;
pub mod scenarios;
pub mod shims;
pub mod site;
pub mod world;
