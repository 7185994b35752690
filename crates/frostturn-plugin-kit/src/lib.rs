//! The binary interface between frostturn and its plug-ins, version 1: views are passed to a plug-in, which
//! returns advice.
//!
//! All numbers are little-endian. A view consists of a head, which contains its own length, and machines,
//! whose number and length the head contains as well: a reader uses the fields it knows and skips those that
//! a newer version has added. Advice is a sequence of records, each with a kind, a length and a content;
//! unknown kinds are skipped.
//!
//! ```
//! use frostturn_plugin_kit::{advice, Advice, Machine, View, ViewHead};
//!
//! let machine = Machine { name: 0xc41f7a, load: Some(0.25), ..Machine::default() };
//! let mut bytes = Vec::new();
//! ViewHead { class: 1, time_left_ms: 900, ..ViewHead::default() }.write(&[machine], &mut bytes);
//! let view = View::read(&bytes).unwrap();
//! assert_eq!((view.head().class, view.machine(0).unwrap().name), (1, 0xc41f7a));
//! let mut out = Vec::new();
//! Advice::Favour { machine: 0, strength: 50 }.write(&mut out);
//! assert_eq!(advice(&out).collect::<Vec<_>>(), [Ok(Advice::Favour { machine: 0, strength: 50 })]);
//! ```

#![no_std]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

extern crate alloc;
use alloc::vec::Vec;

/// The version of this interface. A plug-in exports it as the global `frostturn_version`.
pub const VERSION: u16 = 1;
/// The first four bytes of a view.
pub const MAGIC: u32 = u32::from_le_bytes(*b"FTV1");
/// The length of this version's head in bytes.
pub const HEAD: usize = 64;
/// The length of a machine in bytes.
pub const MACHINE: usize = 32;
/// The maximum number of machines in a view.
pub const MAX_MACHINES: usize = 120;
/// The size of the buffer for views in bytes, at the offset that the plug-in exports as the global `view`.
pub const VIEW_ROOM: usize = 4096;
/// The maximum length of the advice of a call in bytes.
pub const MAX_ADVICE: usize = 1024;

/// Flag of a view: the client marked the request as a repeat.
pub const REPEAT: u8 = 1;
/// Flag of a view: the request names an object.
pub const OBJECT: u8 = 2;
/// Flag of a view: the request is never sent again once it may have been executed.
pub const FRAGILE: u8 = 4;
/// Flag of a machine: it is in the router's own location.
pub const NEAR: u16 = 1;
/// The value of [`ViewHead::machine`] that means no machine.
pub const NONE: u16 = u16::MAX;

/// The head of a view: all data but the machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ViewHead {
    /// A combination of [`REPEAT`], [`OBJECT`] and [`FRAGILE`].
    pub flags: u8,
    /// The index of the request's class in the site's settings.
    pub class: u16,
    /// The object, as the number of its 16 hex digits; 0 without [`OBJECT`].
    pub object: u64,
    /// The piece of the object.
    pub piece: u64,
    /// The purge group of the object.
    pub group: u32,
    /// The size of the object in KB; 0 if it is not known.
    pub size_kb: f32,
    /// The time left until the request's deadline, in milliseconds.
    pub time_left_ms: u32,
    /// The number of earlier attempts.
    pub attempt: u16,
    /// In `outcome`: 0 ok, 1 miss, 2 full, 3 error, 4 timeout, 5 connect failed, 6 reset, 7 cancelled, 8 not
    /// sent.
    pub outcome: u16,
    /// In `outcome`: the index of the machine, or [`NONE`] if the machine is no longer listed.
    pub machine: u16,
    /// In `outcome`: 0 no cache status, 1 the object was cached, 2 it was filled.
    pub note: u16,
    /// In `outcome`: the duration of the attempt, in milliseconds.
    pub waited_ms: f32,
    /// The router's clock, in milliseconds since its start.
    pub now_ms: u64,
}

/// A machine of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Machine {
    /// The machine's name as a number, see [`name_number`].
    pub name: u64,
    /// The last reported load, 0 to 1.
    pub load: Option<f32>,
    /// The age of that report in milliseconds.
    pub age_ms: Option<f32>,
    /// The minimum share of its capacity that the machine has: below 1 during its cold start.
    pub warm: f32,
    /// This router's attempts in flight at the machine.
    pub in_flight: u32,
    /// The registered size.
    pub size: f32,
    /// [`NEAR`], or 0.
    pub flags: u16,
}

impl ViewHead {
    /// Appends a view with this head and at most [`MAX_MACHINES`] machines.
    pub fn write(&self, machines: &[Machine], out: &mut Vec<u8>) {
        let machines = &machines[..machines.len().min(MAX_MACHINES)];
        let start = out.len();
        out.extend_from_slice(&MAGIC.to_le_bytes());
        out.extend_from_slice(&VERSION.to_le_bytes());
        out.extend_from_slice(&(HEAD as u16).to_le_bytes());
        out.extend_from_slice(&(machines.len() as u16).to_le_bytes());
        out.extend_from_slice(&(MACHINE as u16).to_le_bytes());
        out.extend_from_slice(&[0, self.flags]);
        out.extend_from_slice(&self.class.to_le_bytes());
        out.extend_from_slice(&self.object.to_le_bytes());
        out.extend_from_slice(&self.piece.to_le_bytes());
        out.extend_from_slice(&self.group.to_le_bytes());
        out.extend_from_slice(&self.size_kb.to_le_bytes());
        out.extend_from_slice(&self.time_left_ms.to_le_bytes());
        for word in [self.attempt, self.outcome, self.machine, self.note] {
            out.extend_from_slice(&word.to_le_bytes());
        }
        out.extend_from_slice(&self.waited_ms.to_le_bytes());
        out.extend_from_slice(&self.now_ms.to_le_bytes());
        debug_assert_eq!(out.len() - start, HEAD);
        for machine in machines {
            out.extend_from_slice(&machine.name.to_le_bytes());
            for figure in [machine.load.unwrap_or(f32::NAN), machine.age_ms.unwrap_or(f32::NAN), machine.warm]
            {
                out.extend_from_slice(&figure.to_le_bytes());
            }
            out.extend_from_slice(&machine.in_flight.to_le_bytes());
            out.extend_from_slice(&machine.size.to_le_bytes());
            out.extend_from_slice(&machine.flags.to_le_bytes());
            out.extend_from_slice(&[0, 0]);
        }
    }
}

/// A decoded view.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    bytes: &'a [u8],
    head_length: usize,
    machine_count: usize,
    machine_length: usize,
}

/// Returns `N` bytes at an offset, or zeros if there are fewer.
fn take<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    bytes.get(at..at + N).and_then(|part| part.try_into().ok()).unwrap_or([0; N])
}

impl<'a> View<'a> {
    /// Decodes a view of this or a newer version; `None` if the bytes are no valid view.
    pub fn read(bytes: &'a [u8]) -> Option<Self> {
        let word = |at| usize::from(u16::from_le_bytes(take(bytes, at)));
        let (head_length, machine_count, machine_length) = (word(6), word(8), word(10));
        let valid =
            u32::from_le_bytes(take(bytes, 0)) == MAGIC && head_length >= HEAD && machine_length >= MACHINE;
        (valid && bytes.len() >= head_length + machine_count * machine_length).then_some(Self {
            bytes,
            head_length,
            machine_count,
            machine_length,
        })
    }

    /// Returns the head.
    pub fn head(&self) -> ViewHead {
        let bytes = self.bytes;
        let word = |at| u16::from_le_bytes(take(bytes, at));
        let long = |at| u32::from_le_bytes(take(bytes, at));
        ViewHead {
            flags: bytes.get(13).copied().unwrap_or(0),
            class: word(14),
            object: u64::from_le_bytes(take(bytes, 16)),
            piece: u64::from_le_bytes(take(bytes, 24)),
            group: long(32),
            size_kb: f32::from_le_bytes(take(bytes, 36)),
            time_left_ms: long(40),
            attempt: word(44),
            outcome: word(46),
            machine: word(48),
            note: word(50),
            waited_ms: f32::from_le_bytes(take(bytes, 52)),
            now_ms: u64::from_le_bytes(take(bytes, 56)),
        }
    }

    /// Returns the number of machines.
    pub fn machines(&self) -> usize {
        self.machine_count
    }

    /// Returns the machine at an index.
    pub fn machine(&self, at: usize) -> Option<Machine> {
        if at >= self.machine_count {
            return None;
        }
        let bytes = self.bytes.get(self.head_length + at * self.machine_length..)?;
        let figure = |at| f32::from_le_bytes(take(bytes, at));
        let known = |figure: f32| (!figure.is_nan()).then_some(figure);
        Some(Machine {
            name: u64::from_le_bytes(take(bytes, 0)),
            load: known(figure(8)),
            age_ms: known(figure(12)),
            warm: figure(16),
            in_flight: u32::from_le_bytes(take(bytes, 20)),
            size: figure(24),
            flags: u16::from_le_bytes(take(bytes, 28)),
        })
    }
}

/// A record of advice. The router restricts it to what the rules allow, and still makes the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice<'a> {
    /// Favour (above 0) or avoid (below 0) the machine at an index of the view.
    Favour {
        /// The index of the machine.
        machine: u16,
        /// The strength, -100 to 100.
        strength: i16,
    },
    /// The retention rank of the copy in the cache, 0 to 3.
    Keep(u8),
    /// The maximum age of an acceptable copy, in milliseconds.
    Oldest(u32),
    /// The maximum number of attempts.
    Attempts(u16),
    /// Refuse the request; the client may retry after this number of milliseconds.
    Refuse(u32),
    /// Count the request under this label.
    Label(&'a str),
}

impl Advice<'_> {
    /// Appends the encoded record.
    pub fn write(&self, out: &mut Vec<u8>) {
        let mut record = |kind: u16, parts: &[&[u8]]| {
            let length: usize = parts.iter().map(|part| part.len()).sum();
            out.extend_from_slice(&kind.to_le_bytes());
            out.extend_from_slice(&(length as u16).to_le_bytes());
            parts.iter().for_each(|part| out.extend_from_slice(part));
        };
        match self {
            Self::Favour { machine, strength } => {
                record(1, &[&machine.to_le_bytes(), &strength.to_le_bytes()])
            }
            Self::Keep(rank) => record(2, &[&[*rank]]),
            Self::Oldest(ms) => record(3, &[&ms.to_le_bytes()]),
            Self::Attempts(most) => record(4, &[&most.to_le_bytes()]),
            Self::Refuse(ms) => record(5, &[&ms.to_le_bytes()]),
            Self::Label(name) => record(6, &[name.as_bytes()]),
        }
    }
}

/// Malformed advice: a record is truncated, or its content has the wrong length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Decodes the records of advice. A malformed record is the last item.
pub fn advice(bytes: &[u8]) -> impl Iterator<Item = Result<Advice<'_>, Malformed>> {
    let mut remaining = bytes;
    core::iter::from_fn(move || loop {
        if remaining.is_empty() {
            return None;
        }
        let record = remaining.split_at_checked(4).and_then(|(head, after)| {
            let length = usize::from(u16::from_le_bytes(take(head, 2)));
            let (content, after) = after.split_at_checked(length)?;
            Some((u16::from_le_bytes(take(head, 0)), content, after))
        });
        let Some((kind, content, after)) = record else {
            remaining = &[];
            return Some(Err(Malformed));
        };
        remaining = after;
        let sized = |length| if content.len() == length { Ok(()) } else { Err(Malformed) };
        let one = match kind {
            1 => sized(4).map(|()| Advice::Favour {
                machine: u16::from_le_bytes(take(content, 0)),
                strength: i16::from_le_bytes(take(content, 2)),
            }),
            2 => sized(1).map(|()| Advice::Keep(content[0])),
            3 => sized(4).map(|()| Advice::Oldest(u32::from_le_bytes(take(content, 0)))),
            4 => sized(2).map(|()| Advice::Attempts(u16::from_le_bytes(take(content, 0)))),
            5 => sized(4).map(|()| Advice::Refuse(u32::from_le_bytes(take(content, 0)))),
            6 => core::str::from_utf8(content).map(Advice::Label).map_err(|_| Malformed),
            _ => continue,
        };
        if one.is_err() {
            remaining = &[];
        }
        return Some(one);
    })
}

/// Returns a name as a number: the hex digits after its last `-`, or else its 64-bit FNV-1a hash.
pub fn name_number(name: &str) -> u64 {
    let digits = name.rsplit('-').next().unwrap_or_default();
    let hex = if digits.len() <= 16 { u64::from_str_radix(digits, 16).ok() } else { None };
    hex.unwrap_or_else(|| {
        name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    })
}

#[cfg(test)]
mod tests;
