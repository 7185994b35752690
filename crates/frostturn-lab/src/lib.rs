//! The laboratory's parts: stand-ins, load, faults between processes, and the checkers that watch them from outside.

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
