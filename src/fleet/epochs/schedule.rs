//! When datagrams are sent, and to whom. This decides only how fast information spreads, never whether it is
//! correct.
//!
//! In each epoch a few routers are *coordinators*, different ones in each epoch. They follow from the ranks,
//! so that all routers know them without an election. Each router sends what it knows to two of the epoch's
//! *aggregators*, which send to the coordinators, and after a period a coordinator begins the next epoch.
//! Each router that hears of the new epoch forwards it to a few others, so that it reaches nearly all within
//! a few hops.

use super::ballots::epoch_rank;
use crate::api::Millis;

/// Coordinators in an epoch.
pub const COORDINATORS: usize = 3;
/// Up to this size of a fleet, routers send to the coordinators directly.
const MAX_ROUTERS_WITHOUT_AGGREGATORS: usize = 60;
/// Aggregators to which a router sends what it knows in an epoch, and routers to which it forwards the
/// beginning of an epoch.
pub const REPORT_TARGETS: usize = 2;
/// See [`REPORT_TARGETS`].
pub const FORWARD_TARGETS: usize = 3;
/// Periods after which a router sends to its second aggregator, and to a random router.
pub const DELAYED_SEND_PERIODS: [f64; 2] = [0.25, 0.7];
/// Periods after which an aggregator sends to the coordinators.
const AGGREGATION_PERIODS: f64 = 0.45;
/// Periods by which each further coordinator waits longer, and by which, at least, all other routers do.
const COORDINATOR_STAGGER_PERIODS: f64 = 0.04;
const FALLBACK_DELAY_PERIODS: f64 = 0.3;
/// Maximum additional random wait of those others, in periods.
const FALLBACK_SPREAD_PERIODS: f64 = 0.5;

/// The roles of routers in an epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// The coordinators, first by rank first.
    pub coordinators: Vec<usize>,
    /// The aggregators; none in a fleet of up to [`MAX_ROUTERS_WITHOUT_AGGREGATORS`] routers.
    pub aggregators: Vec<usize>,
}

/// Returns the routers to which a router forwards the beginning of an epoch. All routers use the same offsets
/// in the roster, so that each is sent it by equally many; with random targets one in twenty would not be
/// sent it at all.
pub fn forward_targets(epoch: u32, me: usize, routers: usize) -> impl Iterator<Item = usize> {
    let offset = move |which: usize| {
        1 + epoch_rank(epoch, usize::from(u16::MAX) - which) as usize % (routers - 1).max(1)
    };
    (0..FORWARD_TARGETS).map(move |which| (me + offset(which)) % routers)
}

/// Returns the roles in an epoch among the eligible routers.
pub fn roles(epoch: u32, routers: usize, eligible: impl Fn(usize) -> bool) -> Roles {
    let mut ranked: Vec<(u32, usize)> = (0..routers)
        .filter(|router| eligible(*router))
        .map(|router| (epoch_rank(epoch, router), router))
        .collect();
    let aggregators =
        if routers > MAX_ROUTERS_WITHOUT_AGGREGATORS { (routers as f64).sqrt().ceil() as usize } else { 0 };
    let wanted = (COORDINATORS + aggregators).min(ranked.len());
    if wanted > 0 && wanted < ranked.len() {
        ranked.select_nth_unstable(wanted - 1);
        ranked.truncate(wanted);
    }
    ranked.sort_unstable();
    let mut coordinators: Vec<usize> = ranked.into_iter().map(|(_, router)| router).collect();
    let aggregators = coordinators.split_off(coordinators.len().min(COORDINATORS));
    Roles { coordinators, aggregators }
}

impl Roles {
    /// Returns the routers to which a router sends what it knows.
    pub fn report_targets(&self, me: usize, epoch: u32) -> Vec<usize> {
        let to = if self.aggregators.is_empty() { &self.coordinators } else { &self.aggregators };
        let from = epoch_rank(epoch ^ 0x5555, me) as usize;
        let ring = (0..to.len()).map(|step| to[(from + step) % to.len()]);
        ring.filter(|router| *router != me).take(REPORT_TARGETS).collect()
    }

    /// Returns the time in ms from the beginning of an epoch after which an aggregator sends to the
    /// coordinators; none for other routers.
    pub fn aggregation_delay_ms(&self, me: usize, period_ms: Millis) -> Option<Millis> {
        self.aggregators.contains(&me).then_some(AGGREGATION_PERIODS * period_ms)
    }

    /// Returns the time in ms after which a router begins the next epoch if no other has. `fraction` is
    /// random, from 0 to 1.
    pub fn epoch_length_ms(&self, me: usize, period_ms: Millis, fraction: f64) -> Millis {
        let delay = match self.coordinators.iter().position(|router| *router == me) {
            Some(position) => COORDINATOR_STAGGER_PERIODS * position as f64,
            None => FALLBACK_DELAY_PERIODS + FALLBACK_SPREAD_PERIODS * fraction,
        };
        (1.0 + delay) * period_ms
    }
}

#[cfg(test)]
mod tests;
