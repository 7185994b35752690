//! Encodings for datagrams: sets of routers by their indexes in the roster, in whichever form is shortest,
//! and the epoch lags of all routers.

use fixedbitset::FixedBitSet;
use serde::{Deserialize, Serialize};

/// An encoded set of routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EncodedSet {
    /// The indexes of the members.
    Only(Vec<u16>),
    /// The indexes of all that are not members.
    AllBut(Vec<u16>),
    /// One bit for each index.
    Bits(Vec<u8>),
}

impl EncodedSet {
    /// Encodes a set in its shortest form.
    pub fn of(set: &FixedBitSet) -> Self {
        let (router_count, ones) = (set.len(), set.count_ones(..));
        let few = router_count / 16;
        let encode_indexes =
            |indexes: &mut dyn Iterator<Item = usize>| indexes.map(|index| index as u16).collect();
        if ones <= few {
            Self::Only(encode_indexes(&mut set.ones()))
        } else if router_count - ones <= few {
            Self::AllBut(encode_indexes(&mut set.zeroes()))
        } else {
            let mut bits = vec![0u8; router_count.div_ceil(8)];
            set.ones().for_each(|index| bits[index / 8] |= 1 << (index % 8));
            Self::Bits(bits)
        }
    }

    /// Decodes a set for a roster of `router_count` routers; none if it doesn't fit.
    pub fn decode(&self, router_count: usize) -> Option<FixedBitSet> {
        let mut set = FixedBitSet::with_capacity(router_count);
        match self {
            Self::Only(these) | Self::AllBut(these) => {
                if these.len() > router_count || these.iter().any(|index| usize::from(*index) >= router_count)
                {
                    return None;
                }
                these.iter().for_each(|index| set.insert(usize::from(*index)));
                if matches!(self, Self::AllBut(_)) {
                    set.toggle_range(..);
                }
            }
            Self::Bits(bits) => {
                if bits.len() != router_count.div_ceil(8) {
                    return None;
                }
                (0..router_count)
                    .filter(|index| bits[index / 8] >> (index % 8) & 1 == 1)
                    .for_each(|index| set.insert(index));
            }
        }
        Some(set)
    }
}

/// How many epochs ago the sender last heard of each router: 0, 1, up to 3, or longer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EpochLags {
    /// One step for all routers except the listed ones.
    Sparse(u8, Vec<(u16, u8)>),
    /// Two bits for each index.
    Bits(Vec<u8>),
}

/// The step for more than three epochs ago, or never.
pub const LONG_LAG: u8 = 3;

impl EpochLags {
    /// Returns the step for a number of epochs; it never stands for fewer.
    pub fn quantize(epochs: u32) -> u8 {
        match epochs {
            0 | 1 => epochs as u8,
            2 | 3 => 2,
            _ => LONG_LAG,
        }
    }

    /// Returns the maximum number of epochs that a step stands for; none if unlimited.
    pub fn max_epochs(step: u8) -> Option<u32> {
        [Some(0), Some(1), Some(3), None][usize::from(step & 3)]
    }

    /// Encodes the steps of all routers in their shortest form.
    pub fn of(steps: &[u8]) -> Self {
        let count = |step: u8| steps.iter().filter(|one| **one == step).count();
        let most = (0..=LONG_LAG).max_by_key(|step| count(*step)).unwrap_or(0);
        if (steps.len() - count(most)) * 3 <= steps.len() / 4 {
            let others = steps.iter().enumerate().filter(|(_, step)| **step != most);
            return Self::Sparse(most, others.map(|(index, step)| (index as u16, *step)).collect());
        }
        let mut bits = vec![0u8; steps.len().div_ceil(4)];
        steps.iter().enumerate().for_each(|(index, step)| bits[index / 4] |= (step & 3) << (2 * (index % 4)));
        Self::Bits(bits)
    }

    /// Decodes a step for each of `router_count` routers; none if the encoding doesn't fit.
    pub fn decode(&self, router_count: usize) -> Option<Vec<u8>> {
        match self {
            Self::Sparse(most, others) => {
                if others.len() > router_count
                    || others.iter().any(|(index, _)| usize::from(*index) >= router_count)
                {
                    return None;
                }
                let mut steps = vec![*most & 3; router_count];
                others.iter().for_each(|(index, step)| steps[usize::from(*index)] = step & 3);
                Some(steps)
            }
            Self::Bits(bits) if bits.len() == router_count.div_ceil(4) => {
                Some((0..router_count).map(|index| bits[index / 4] >> (2 * (index % 4)) & 3).collect())
            }
            Self::Bits(_) => None,
        }
    }
}

#[cfg(test)]
mod tests;
