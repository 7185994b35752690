//! What one process of a router hands over to the next: a small file, versioned and checksummed, whole or nothing.
//!
//! Owns the form alone. Reading and writing files is [`crate::runtime`]'s, what is in it the reducer's. So far the
//! machines that operators have taken out.

use crate::api::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;
use twox_hash::XxHash64;

/// How a file begins; the last byte is the version.
const MAGIC: &[u8; 8] = b"FTSTATE\x01";
/// The magic, the length and the checksum.
const HEAD: usize = 20;
/// Bytes of a file, at most.
pub const MAX_FILE: usize = 256 * 1024;
/// One that is older belongs to a process that is long gone: a running one saves it anew more often.
pub const OLD_MS: Millis = 15_000.0;
/// How often a running one does.
pub const EVERY_MS: Millis = 5000.0;

/// What is handed over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// The Unix time at which it was saved.
    pub saved_unix_ms: Millis,
    /// Whose it is: where clients connect.
    pub listen: String,
    /// Machines that operators have taken out, in order.
    pub excluded: Vec<String>,
}

/// Why a file is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is larger than one can be.
    TooLarge,
    /// It is no such file, or of another version.
    Foreign,
    /// It is cut short or was changed.
    Torn,
    /// It is of a process that is long gone, or from the future.
    Old,
    /// It is another router's.
    Other,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "it is too large",
            Self::Foreign => "it is of another kind or version",
            Self::Torn => "it is cut short or was changed",
            Self::Old => "it is too old",
            Self::Other => "it is another router's",
        })
    }
}

impl State {
    /// The bytes of a file; `None`: there is more than a file may hold.
    pub fn write(&self) -> Option<Vec<u8>> {
        let body = postcard::to_stdvec(self).ok().filter(|body| body.len() <= MAX_FILE - HEAD)?;
        let mut out = MAGIC.to_vec();
        out.extend_from_slice(&(body.len() as u32).to_le_bytes());
        out.extend_from_slice(&XxHash64::oneshot(0, &body).to_le_bytes());
        out.extend_from_slice(&body);
        Some(out)
    }

    /// Reads a file's bytes for the router that listens there.
    pub fn read(bytes: &[u8], listen: &str, unix_ms: Millis) -> Result<Self, Refused> {
        if bytes.len() > MAX_FILE {
            return Err(Refused::TooLarge);
        }
        let rest = bytes.strip_prefix(MAGIC).ok_or(Refused::Foreign)?;
        let (length, rest) = rest.split_first_chunk::<4>().ok_or(Refused::Torn)?;
        let (sum, body) = rest.split_first_chunk::<8>().ok_or(Refused::Torn)?;
        let whole = body.len() == u32::from_le_bytes(*length) as usize;
        if !whole || XxHash64::oneshot(0, body) != u64::from_le_bytes(*sum) {
            return Err(Refused::Torn);
        }
        let state: Self = postcard::from_bytes(body).map_err(|_| Refused::Torn)?;
        if state.listen != listen {
            return Err(Refused::Other);
        }
        // The clock may have been set by a little meanwhile.
        let age = unix_ms - state.saved_unix_ms;
        if !(-OLD_MS..=OLD_MS).contains(&age) {
            return Err(Refused::Old);
        }
        Ok(state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    fn state() -> State {
        State {
            saved_unix_ms: 1e12,
            listen: "127.0.0.1:7".into(),
            excluded: vec!["s-1".into(), "s-2".into()],
        }
    }

    #[test]
    fn a_file_is_taken_whole_or_refused_with_its_reason() {
        let bytes = state().write().expect("small");
        let read = |bytes: &[u8], listen, at| State::read(bytes, listen, at);
        assert_eq!(read(&bytes, "127.0.0.1:7", 1e12 + 9000.0), Ok(state()));
        assert_eq!(read(&bytes, "127.0.0.1:8", 1e12), Err(Refused::Other));
        assert_eq!(read(&bytes, "127.0.0.1:7", 1e12 + 16_000.0), Err(Refused::Old));
        assert_eq!(read(&bytes, "127.0.0.1:7", f64::NAN), Err(Refused::Old));
        assert_eq!(read(b"{}", "127.0.0.1:7", 1e12), Err(Refused::Foreign));
        assert_eq!(read(&vec![0; MAX_FILE + 1], "127.0.0.1:7", 1e12), Err(Refused::TooLarge));
        assert!((MAGIC.len()..bytes.len())
            .all(|at| read(&bytes[..at], "127.0.0.1:7", 1e12) == Err(Refused::Torn)));
        for at in MAGIC.len()..bytes.len() {
            let mut torn = bytes.clone();
            torn[at] ^= 4;
            assert_eq!(read(&torn, "127.0.0.1:7", 1e12), Err(Refused::Torn), "byte {at}");
        }
        let huge = State { excluded: vec!["x".repeat(1000); 1000], ..state() };
        assert_eq!(huge.write(), None);
    }

    #[test]
    fn no_bytes_make_the_reader_panic() {
        fn property(bytes: Vec<u8>) -> bool {
            let _ = State::read(&bytes, "", 0.0);
            let sum = XxHash64::oneshot(0, &bytes).to_le_bytes();
            let whole = [&MAGIC[..], &(bytes.len() as u32).to_le_bytes(), &sum, &bytes].concat();
            let _ = State::read(&whole, "", 0.0);
            true
        }
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(200, 8))
            .tests(2000)
            .quickcheck(property as fn(Vec<u8>) -> bool);
    }
}
