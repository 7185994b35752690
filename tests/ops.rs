//! Exclusions on the reducer: an operator's word against the board's.

mod common;

use common::listed;
use frostturn::api::Phase;
use frostturn::board::{Notice, Word};
use frostturn::ops::{Call, Verdict};
use frostturn::reducer::{Ask, Client, Effect, Input, Reducer};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeSet;

const NAMES: [&str; 3] = ["e0", "e1", "e2"];

fn kind(name: &str) -> &'static str {
    if name == "o0" {
        "origin"
    } else {
        "edge"
    }
}

#[derive(Clone, Debug)]
enum Step {
    Board(usize, u8),
    Whole,
    Exclude(usize),
    Include(usize),
    Ask,
    Wait(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let which = usize::arbitrary(g) % NAMES.len();
        match u8::arbitrary(g) % 10 {
            0 | 1 => Self::Board(which, u8::arbitrary(g) % 3),
            2 => Self::Whole,
            3 => Self::Exclude(which),
            4 => Self::Include(which),
            5 => Self::Wait(u8::arbitrary(g)),
            _ => Self::Ask,
        }
    }
}

#[test]
fn what_an_operator_has_taken_out_gets_nothing_whatever_the_board_says() {
    fn property(steps: Vec<Step>) -> bool {
        let net = common::net();
        let mut reducer = Reducer::new(common::settings(), net, 7, 0.0, 1e12);
        let (mut now, mut serial) = (0.0, 0);
        // The model: what was answered with yes, and what the board has as known.
        let (mut out, mut known) = (BTreeSet::new(), BTreeSet::from(NAMES));
        let whole = || {
            NAMES
                .iter()
                .chain(&["o0"])
                .map(|name| listed(name, kind(name), Phase::Serving))
                .collect::<Vec<_>>()
        };
        let board = |machines, whole| Notice { rev: 1, word: Some(Word::Pool { whole, machines }) };
        reducer.step(now, Input::Notice { notice: board(whole(), true), unix_ms: 1e12 });
        for step in steps {
            let unix_ms = 1e12 + now;
            let effects = match step {
                Step::Board(at, phase) => {
                    let phase = [Phase::Serving, Phase::Draining, Phase::Deleted][usize::from(phase)];
                    match phase {
                        Phase::Deleted => known.remove(NAMES[at]),
                        _ => known.insert(NAMES[at]),
                    };
                    reducer.step(
                        now,
                        Input::Notice {
                            notice: board(vec![listed(NAMES[at], "edge", phase)], false),
                            unix_ms,
                        },
                    )
                }
                Step::Whole => {
                    known = BTreeSet::from(NAMES);
                    reducer.step(now, Input::Notice { notice: board(whole(), true), unix_ms })
                }
                Step::Exclude(at) | Step::Include(at) => {
                    let (name, take_out) = (NAMES[at], matches!(step, Step::Exclude(_)));
                    let call = if take_out { Call::Exclude(name.into()) } else { Call::Include(name.into()) };
                    let effects = reducer.step(now, Input::Operator { caller: 1, call, unix_ms });
                    let verdicts = effects.iter().filter_map(|effect| match effect {
                        Effect::Verdict { verdict, .. } => Some(*verdict),
                        _ => None,
                    });
                    let verdicts: Vec<Verdict> = verdicts.collect();
                    let may = known.contains(name) || (!take_out && out.contains(name));
                    assert_eq!(
                        verdicts,
                        [if may { Verdict::Yes } else { Verdict::Unknown }],
                        "one word to a call"
                    );
                    if may {
                        if take_out {
                            out.insert(name)
                        } else {
                            out.remove(name)
                        };
                    }
                    effects
                }
                Step::Ask => {
                    serial += 1;
                    let ask = Ask {
                        id: format!("{serial:016x}"),
                        class: "read".into(),
                        timeout_ms: 3000.0,
                        object: Some(format!("{:016x}", serial % 40)),
                        size_kb: Some(10.0),
                        ..Ask::default()
                    };
                    let client = Client { conn: 1, serial };
                    reducer.step(now, Input::Asked { client, ask: Ok(ask), age_ms: 0.0 })
                }
                Step::Wait(ms) => {
                    now += f64::from(ms);
                    reducer.step(now, Input::Due)
                }
            };
            for effect in effects {
                if let Effect::Send { member, call, .. } = effect {
                    assert!(!out.contains(member.as_str()), "{member} is out");
                    assert!(!out.contains(call.fetch.source.as_str()), "nor is it a fill's source");
                }
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(150, 4))
        .tests(300)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
