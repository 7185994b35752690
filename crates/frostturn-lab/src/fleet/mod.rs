//! Fleets under faults: schedules, simulation, parsing of real routers' logs, and checks.

pub mod audit;
pub mod check;
pub mod schedule;
pub mod sim;
