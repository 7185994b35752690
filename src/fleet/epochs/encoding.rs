//! Sets of routers by their places in the roster, as datagrams carry them: whichever form is shortest.

use fixedbitset::FixedBitSet;
use serde::{Deserialize, Serialize};

/// A set as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Form {
    /// These places.
    Only(Vec<u16>),
    /// All but these.
    AllBut(Vec<u16>),
    /// A bit a place.
    Bits(Vec<u8>),
}

impl Form {
    /// The shortest form of a set.
    pub fn of(set: &FixedBitSet) -> Self {
        let (all, ones) = (set.len(), set.count_ones(..));
        let few = all / 16;
        let places = |those: &mut dyn Iterator<Item = usize>| those.map(|at| at as u16).collect();
        if ones <= few {
            Self::Only(places(&mut set.ones()))
        } else if all - ones <= few {
            Self::AllBut(places(&mut set.zeroes()))
        } else {
            let mut bits = vec![0u8; all.div_ceil(8)];
            set.ones().for_each(|at| bits[at / 8] |= 1 << (at % 8));
            Self::Bits(bits)
        }
    }

    /// The set among `all` places; none if it names others.
    pub fn read(&self, all: usize) -> Option<FixedBitSet> {
        let mut set = FixedBitSet::with_capacity(all);
        match self {
            Self::Only(these) | Self::AllBut(these) => {
                if these.len() > all || these.iter().any(|at| usize::from(*at) >= all) {
                    return None;
                }
                these.iter().for_each(|at| set.insert(usize::from(*at)));
                if matches!(self, Self::AllBut(_)) {
                    set.toggle_range(..);
                }
            }
            Self::Bits(bits) => {
                if bits.len() != all.div_ceil(8) {
                    return None;
                }
                (0..all).filter(|at| bits[at / 8] >> (at % 8) & 1 == 1).for_each(|at| set.insert(at));
            }
        }
        Some(set)
    }
}

/// How many epochs ago each router was last heard of, as a sender knows: 0, 1, up to 3, or longer ago.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lags {
    /// So long for all but these.
    Most(u8, Vec<(u16, u8)>),
    /// Two bits a place.
    Bits(Vec<u8>),
}

/// More than three epochs ago, or never.
pub const LONG: u8 = 3;

impl Lags {
    /// What is told for so many epochs: never less than it was.
    pub fn step(epochs: u32) -> u8 {
        match epochs {
            0 | 1 => epochs as u8,
            2 | 3 => 2,
            _ => LONG,
        }
    }

    /// How many epochs are meant, at most.
    pub fn epochs(step: u8) -> Option<u32> {
        [Some(0), Some(1), Some(3), None][usize::from(step & 3)]
    }

    /// The shortest form.
    pub fn of(steps: &[u8]) -> Self {
        let count = |step: u8| steps.iter().filter(|one| **one == step).count();
        let most = (0..=LONG).max_by_key(|step| count(*step)).unwrap_or(0);
        if (steps.len() - count(most)) * 3 <= steps.len() / 4 {
            let others = steps.iter().enumerate().filter(|(_, step)| **step != most);
            return Self::Most(most, others.map(|(at, step)| (at as u16, *step)).collect());
        }
        let mut bits = vec![0u8; steps.len().div_ceil(4)];
        steps.iter().enumerate().for_each(|(at, step)| bits[at / 4] |= (step & 3) << (2 * (at % 4)));
        Self::Bits(bits)
    }

    /// A step for each of `all`; none if it names others.
    pub fn read(&self, all: usize) -> Option<Vec<u8>> {
        match self {
            Self::Most(most, others) => {
                if others.len() > all || others.iter().any(|(at, _)| usize::from(*at) >= all) {
                    return None;
                }
                let mut steps = vec![*most & 3; all];
                others.iter().for_each(|(at, step)| steps[usize::from(*at)] = step & 3);
                Some(steps)
            }
            Self::Bits(bits) if bits.len() == all.div_ceil(4) => {
                Some((0..all).map(|at| bits[at / 4] >> (2 * (at % 4)) & 3).collect())
            }
            Self::Bits(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
