//! When a datagram leaves, and for whom: only how soon things are known hangs on this, never whether they are right.
//!
//! In each epoch a few routers are *clerks*, others in each one: by rank, so that all know who, and nobody is elected. Each
//! router tells what it knows to two of the epoch's *hubs*, these tell the clerks, and after a period a clerk begins the next
//! epoch: its word goes on by whoever hears it first, to a few others each, so that it has reached nearly all after some links.

use super::ballots::rank;
use crate::api::Millis;

/// Clerks in an epoch.
pub const CLERKS: usize = 3;
/// Up to so many routers tell the clerks themselves.
const WITHOUT_HUBS: usize = 60;
/// Those that one tells what it knows in an epoch, and those that it passes the word of an epoch's beginning on to.
pub const UP: usize = 2;
/// See [`UP`].
pub const ON: usize = 3;
/// Parts of a period after which the second of those is told, and somebody by chance.
pub const LATER: [f64; 2] = [0.25, 0.7];
/// Part of a period after which a hub tells the clerks what it has gathered.
const GATHERED: f64 = 0.45;
/// Parts of a period by which each further clerk waits longer, and by which, at least, everybody else does.
const CLERK_LATER: f64 = 0.04;
const OTHERS_LATER: f64 = 0.3;
/// By how much longer at most, by chance.
const SPREAD: f64 = 0.5;

/// Who does what in an epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// The clerks, the first by rank first.
    pub clerks: Vec<usize>,
    /// The hubs; none in a fleet of some dozens.
    pub hubs: Vec<usize>,
}

/// Whom a router passes the word of an epoch's beginning on to: so far on in the roster as all others do, so that it comes to each
/// from just as many; by chance one in twenty would hear it from nobody.
pub fn on(epoch: u32, me: usize, routers: usize) -> impl Iterator<Item = usize> {
    let by =
        move |which: usize| 1 + rank(epoch, usize::from(u16::MAX) - which) as usize % (routers - 1).max(1);
    (0..ON).map(move |which| (me + by(which)) % routers)
}

/// The roles in an epoch among those that `may` have one.
pub fn roles(epoch: u32, routers: usize, may: impl Fn(usize) -> bool) -> Roles {
    let mut ranked: Vec<(u32, usize)> =
        (0..routers).filter(|of| may(*of)).map(|of| (rank(epoch, of), of)).collect();
    let hubs = if routers > WITHOUT_HUBS { (routers as f64).sqrt().ceil() as usize } else { 0 };
    let wanted = (CLERKS + hubs).min(ranked.len());
    if wanted > 0 && wanted < ranked.len() {
        ranked.select_nth_unstable(wanted - 1);
        ranked.truncate(wanted);
    }
    ranked.sort_unstable();
    let mut clerks: Vec<usize> = ranked.into_iter().map(|(_, of)| of).collect();
    let hubs = clerks.split_off(clerks.len().min(CLERKS));
    Roles { clerks, hubs }
}

impl Roles {
    /// Whom a router tells what it knows.
    pub fn up(&self, me: usize, epoch: u32) -> Vec<usize> {
        let to = if self.hubs.is_empty() { &self.clerks } else { &self.hubs };
        let from = rank(epoch ^ 0x5555, me) as usize;
        let ring = (0..to.len()).map(|step| to[(from + step) % to.len()]);
        ring.filter(|of| *of != me).take(UP).collect()
    }

    /// In how long after an epoch's beginning a hub tells the clerks; none for who is no hub.
    pub fn gathered(&self, me: usize, period_ms: Millis) -> Option<Millis> {
        self.hubs.contains(&me).then_some(GATHERED * period_ms)
    }

    /// In how long a router begins the next epoch, where nobody has before; `part` is 0 to 1, by chance.
    pub fn ends(&self, me: usize, period_ms: Millis, part: f64) -> Millis {
        let later = match self.clerks.iter().position(|of| *of == me) {
            Some(at) => CLERK_LATER * at as f64,
            None => OTHERS_LATER + SPREAD * part,
        };
        (1.0 + later) * period_ms
    }
}

#[cfg(test)]
mod tests;
