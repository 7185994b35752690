//! What the decisions know of pieces of objects: the arrivals of their requests, the forecast from them, and
//! their spread modes, in a table of bounded size.

use super::MachineIndex;
use crate::api::{Millis, ObjectId};
use indexmap::IndexMap;

/// How far the forecast looks ahead (its tau): about the time in which a peer gets its copy of a piece.
const FORECAST_S: usize = 3;
pub(super) const WINDOW_S: usize = 2 * FORECAST_S; // The window that the forecast is fitted to: two tau.
const NORMAL_RATE_GAIN: f64 = 0.1; // Weight of a new second in a piece's normal rate.
/// A piece without requests for longer than this is forgotten. Such pieces are looked for at this interval
/// too, so a piece is remembered for one to two intervals.
pub(super) const PIECE_IDLE_S: i64 = 30;
/// Default for the maximum number of pieces in the table.
const DEFAULT_MAX_PIECES: usize = 25_000;
/// Pieces that are considered to make room for a new one.
const MAX_EVICTION_STEPS: usize = 8;

/// What a cache stores one copy of: a piece of an object. With one home for all its pieces an object could
/// fill that cache's link.
pub(super) type Piece = (ObjectId, u64);
/// The state of a piece whose requests are spread.
#[derive(Debug, Default)]
pub(super) struct SpreadMode {
    pub(super) ready: Vec<MachineIndex>,
    pub(super) on_trial: Vec<MachineIndex>,
    pub(super) turn: usize,
}

/// The arrivals of requests for one piece, counted by the second.
#[derive(Debug, Default)]
pub(super) struct ArrivalCounts {
    pub(super) window: [u32; WINDOW_S],
    pub(super) current: u32,
    pub(super) second: i64,
    /// The seconds counted so far.
    pub(super) seconds_counted: usize,
    /// The mean rate of the seconds that left the window while no spread mode was open, so that the rise that
    /// opens the mode is not part of it.
    pub(super) normal_rate: Option<f64>,
}

impl ArrivalCounts {
    /// Moves the window on to a second. The counts that leave it go into the normal rate, unless that is
    /// frozen.
    pub(super) fn advance(&mut self, second: i64, freeze_normal_rate: bool) {
        let steps = second.saturating_sub(self.second).max(0);
        for _ in 0..steps.min(2 * WINDOW_S as i64) {
            if self.seconds_counted >= WINDOW_S && !freeze_normal_rate {
                let (leaving, old) =
                    (f64::from(self.window[0]), self.normal_rate.unwrap_or(self.window[0].into()));
                self.normal_rate = Some(old + NORMAL_RATE_GAIN * (leaving - old));
            }
            self.window.rotate_left(1);
            self.window[WINDOW_S - 1] = std::mem::take(&mut self.current);
            self.seconds_counted += 1;
        }
        self.second = self.second.max(second);
    }

    pub(super) fn mean_rate(&self) -> f64 {
        self.window.iter().sum::<u32>() as f64 / WINDOW_S as f64
    }

    /// Returns whether the mean rate, or the least-squares line over the window by the end of the forecast,
    /// reaches a threshold.
    pub(super) fn will_reach(&self, threshold: f64) -> bool {
        let (n, mean) = (WINDOW_S as f64, self.mean_rate());
        let middle = (n - 1.0) / 2.0;
        let rise = self.window.iter().enumerate().map(|(x, count)| (x as f64 - middle) * f64::from(*count));
        let slope = rise.sum::<f64>() / (n * (n * n - 1.0) / 12.0);
        let line = |ahead: f64| mean + slope * (middle + ahead);
        mean.max(line(0.0)).max(line(FORECAST_S as f64)) >= threshold
    }
}

/// What is known of one piece.
#[derive(Debug)]
pub(super) struct PieceState {
    pub(super) counts: ArrivalCounts,
    pub(super) spread: Option<Box<SpreadMode>>,
    /// Whether it was requested again since the table last looked for one to forget.
    requested_again: bool,
    /// Its transfer time, measured by an answer.
    pub(super) transfer_ms: Option<Millis>,
}

impl PieceState {
    /// Returns the state of a piece that is requested for the first time in this second.
    pub(super) fn new(second: i64) -> Self {
        let counts = ArrivalCounts { second, ..ArrivalCounts::default() };
        Self { counts, spread: None, requested_again: false, transfer_ms: None }
    }
}

/// The table of pieces. When it is full, a new piece takes the place of one that was not requested again
/// for a while: a hand goes round the table and passes over those that were (the CLOCK algorithm). So pieces
/// that are requested once, however many, replace each other and none that is in demand.
#[derive(Debug)]
pub(super) struct PieceTable {
    pieces: IndexMap<Piece, PieceState>,
    max_pieces: usize,
    hand: usize,
}

impl Default for PieceTable {
    fn default() -> Self {
        Self { pieces: IndexMap::new(), max_pieces: DEFAULT_MAX_PIECES, hand: 0 }
    }
}

impl PieceTable {
    /// Lowers the maximum number of pieces, which is at least 1.
    pub(super) fn limit(&mut self, max_pieces: usize) {
        self.max_pieces = max_pieces.clamp(1, DEFAULT_MAX_PIECES);
        self.pieces.truncate(self.max_pieces);
    }

    pub(super) fn contains(&self, piece: &Piece) -> bool {
        self.pieces.contains_key(piece)
    }

    pub(super) fn get(&self, piece: &Piece) -> Option<&PieceState> {
        self.pieces.get(piece)
    }

    pub(super) fn get_mut(&mut self, piece: &Piece) -> Option<&mut PieceState> {
        self.pieces.get_mut(piece)
    }

    /// Returns the state of a piece that is requested now, and inserts it if it is new. `None` if it is new
    /// and no room was found for it.
    pub(super) fn request(&mut self, piece: &Piece, second: i64) -> Option<&mut PieceState> {
        if let Some(at) = self.pieces.get_index_of(piece) {
            let (_, state) = self.pieces.get_index_mut(at)?;
            state.requested_again = true;
            return Some(state);
        }
        if !self.make_room() {
            return None;
        }
        Some(self.pieces.entry(piece.clone()).or_insert_with(|| PieceState::new(second)))
    }

    pub(super) fn remove(&mut self, piece: &Piece) {
        self.pieces.swap_remove(piece);
    }

    /// Forgets the pieces that have been idle for too long.
    pub(super) fn forget_idle(&mut self, second: i64) {
        self.pieces.retain(|_, state| state.spread.is_some() || second - state.counts.second <= PIECE_IDLE_S);
    }

    fn make_room(&mut self) -> bool {
        if self.pieces.len() < self.max_pieces {
            return true;
        }
        for _ in 0..MAX_EVICTION_STEPS {
            // Wherever a piece is evicted, the newest one takes its place: the hand moves on from it too.
            let at = if self.hand < self.pieces.len() { self.hand } else { 0 };
            self.hand = at + 1;
            let Some((_, state)) = self.pieces.get_index_mut(at) else { return true };
            if !std::mem::take(&mut state.requested_again) && state.spread.is_none() {
                self.pieces.swap_remove_index(at);
                return true;
            }
        }
        false
    }
}

#[cfg(test)]
mod tests;
