//! What frostturn and its plug-ins say to each other: views go in, advice comes out. Version 1.
//!
//! All figures are little-endian. A view has a head, whose length it gives, and then machines, whose number and
//! length it gives as well: a reader takes what it knows and skips what a newer writer has added. Advice is a
//! row of records of a kind, a length and a content; unknown kinds are skipped.
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

/// The version of this layout. A plug-in exports it as the global `frostturn_version`.
pub const VERSION: u16 = 1;
/// How a view begins.
pub const MAGIC: u32 = u32::from_le_bytes(*b"FTV1");
/// Bytes of this version's head, and of a machine.
pub const HEAD: usize = 64;
/// Bytes of a machine.
pub const MACHINE: usize = 32;
/// Machines in one view, at most.
pub const MAX_MACHINES: usize = 120;
/// Room that a plug-in keeps for a view, at its exported global `view`.
pub const VIEW_ROOM: usize = 4096;
/// Bytes of one advice, at most.
pub const MAX_ADVICE: usize = 1024;

/// A request is marked by its client as a repeat.
pub const REPEAT: u8 = 1;
/// A request names an object.
pub const OBJECT: u8 = 2;
/// Once it may have run, a request is never sent again.
pub const FRAGILE: u8 = 4;
/// A machine stands in the router's own location.
pub const NEAR: u16 = 1;
/// No machine is meant.
pub const NONE: u16 = u16::MAX;

/// What a view is of, beside the machines.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ViewHead {
    /// [`REPEAT`], [`OBJECT`], [`FRAGILE`].
    pub flags: u8,
    /// The class, a place in the site's settings.
    pub class: u16,
    /// The object, its 16 hex digits as a number; 0 without [`OBJECT`].
    pub object: u64,
    /// The part of it.
    pub piece: u64,
    /// Its group.
    pub group: u32,
    /// Its size in KB; 0: not told.
    pub size_kb: f32,
    /// Time left before the client gives up, in milliseconds.
    pub time_left_ms: u32,
    /// Attempts made before.
    pub attempt: u16,
    /// In `outcome`: 0 served, 1 missed, 2 turned away, 3 error, 4 out of time, 5 not connected, 6 broken,
    /// 7 called off, 8 never ran.
    pub outcome: u16,
    /// In `outcome`: the place of the machine, or [`NONE`] if it is no longer listed.
    pub machine: u16,
    /// In `outcome`: 0 no note, 1 it was held, 2 it was filled.
    pub note: u16,
    /// In `outcome`: from sending to the end, in milliseconds.
    pub waited_ms: f32,
    /// The router's clock, in milliseconds since its start.
    pub now_ms: u64,
}

/// One machine of a view.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Machine {
    /// Its name: the hex digits behind the last `-` as a number, else a hash of it.
    pub name: u64,
    /// Its last reported load, 0 to 1.
    pub load: Option<f32>,
    /// The age of that report in milliseconds.
    pub age_ms: Option<f32>,
    /// The part of its capacity that it has at least: under 1 while it is cold.
    pub warm: f32,
    /// Attempts of this router that are out there.
    pub in_flight: u32,
    /// Its registered size.
    pub size: f32,
    /// [`NEAR`].
    pub flags: u16,
}

impl ViewHead {
    /// Appends a view of this and at most [`MAX_MACHINES`] machines.
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

/// A view's bytes, checked.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    bytes: &'a [u8],
    head: usize,
    count: usize,
    each: usize,
}

fn take<const N: usize>(bytes: &[u8], at: usize) -> [u8; N] {
    bytes.get(at..at + N).and_then(|part| part.try_into().ok()).unwrap_or([0; N])
}

impl<'a> View<'a> {
    /// Reads a view of this or a newer version; `None`: it is none.
    pub fn read(bytes: &'a [u8]) -> Option<Self> {
        let word = |at| usize::from(u16::from_le_bytes(take(bytes, at)));
        let (head, count, each) = (word(6), word(8), word(10));
        let good = u32::from_le_bytes(take(bytes, 0)) == MAGIC && head >= HEAD && each >= MACHINE;
        (good && bytes.len() >= head + count * each).then_some(Self { bytes, head, count, each })
    }

    /// What it is of.
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

    /// How many machines it has.
    pub fn machines(&self) -> usize {
        self.count
    }

    /// One of them.
    pub fn machine(&self, at: usize) -> Option<Machine> {
        if at >= self.count {
            return None;
        }
        let bytes = self.bytes.get(self.head + at * self.each..)?;
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

/// One piece of advice. The router narrows it to what the rules allow, and then still decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Advice<'a> {
    /// Favour (above 0) or avoid (below 0) the machine at a place of the view, by -100 to 100.
    Favour {
        /// Its place.
        machine: u16,
        /// How strongly.
        strength: i16,
    },
    /// The rank at which a copy is kept, 0 to 3.
    Keep(u8),
    /// The oldest copy that will do, in milliseconds.
    Oldest(u32),
    /// Attempts at most.
    Attempts(u16),
    /// Refuse it, and have the client come back after so many milliseconds.
    Refuse(u32),
    /// Count it under this name.
    Label(&'a str),
}

impl Advice<'_> {
    /// Appends its record.
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

/// Advice that can't be read: a record is cut short, or its content has another length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Reads records one by one; after one that can't be read nothing follows.
pub fn advice(bytes: &[u8]) -> impl Iterator<Item = Result<Advice<'_>, Malformed>> {
    let mut rest = bytes;
    core::iter::from_fn(move || loop {
        if rest.is_empty() {
            return None;
        }
        let whole = rest.split_at_checked(4).and_then(|(head, after)| {
            let length = usize::from(u16::from_le_bytes(take(head, 2)));
            let (content, after) = after.split_at_checked(length)?;
            Some((u16::from_le_bytes(take(head, 0)), content, after))
        });
        let Some((kind, content, after)) = whole else {
            rest = &[];
            return Some(Err(Malformed));
        };
        rest = after;
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
            rest = &[];
        }
        return Some(one);
    })
}

/// A machine's name as a number: the hex digits behind its last `-`, else a hash (FNV-1a, 64 bits) of it.
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
