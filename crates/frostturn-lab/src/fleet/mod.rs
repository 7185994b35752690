//! Fleets under faults: what is drawn, what is played in simulated time and with real processes, and what is checked.

pub mod audit;
pub mod check;
pub mod schedule;
pub mod sim;
