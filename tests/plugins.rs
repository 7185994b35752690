//! Valid and hostile plug-ins on the engine, the advice filter and the whole reducer, with seeded inputs and
//! simulated time.

mod common;

use common::listed;
use frostturn::api::{CacheId, ClassSettings, Limits, Phase, Repeat, Retention, Settings};
use frostturn::clock::UnixTime;
use frostturn::discovery::{Announcement, DiscoveryEvent, ListedMachine};
use frostturn::plugins::advice_filter::{self, Permissions};
use frostturn::plugins::engine::{Fault, Hook, Instance};
use frostturn::plugins::{Loaded, Spec};
use frostturn::reducer::{
    Answer, AttemptEnd, Effect, IncomingRequest, Input, Progress, Reducer, Reply, RequestKey,
};
use frostturn_plugin_kit::{self as kit, Advice as Record, Machine, ViewHead};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::BTreeMap;
use std::path::PathBuf;

fn spec(settings: &[(&str, &str)]) -> Spec {
    let settings = settings.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect();
    Spec { settings, ..Spec::new("test", PathBuf::new()) }
}

/// Returns a program with this body of `request` and these further fields.
fn program(request: &str, more: &str) -> String {
    format!(
        r#"(module (memory (export "memory") 1) (global (export "frostturn_version") i32 (i32.const 1))
        (global (export "view") i32 (i32.const 4096)) {more}
        (func (export "request") (param $len i32) (result i64) {request}))"#
    )
}

fn view(machines: &[Machine], head: ViewHead) -> Vec<u8> {
    let mut out = Vec::new();
    head.write(machines, &mut out);
    out
}

fn advice_of(instance: &mut Instance, view: &[u8]) -> Vec<String> {
    let (advice, _) = instance.call(Hook::Request, view, 20_000);
    let bytes = advice.expect("no fault").unwrap_or_default();
    kit::advice(&bytes).map(|one| format!("{:?}", one.expect("readable"))).collect()
}

const PHOTOS: &str = include_str!("../examples/plugins/photos.wat");
const SMALL: &str = include_str!("../examples/plugins/small_boxes.wat");
const REFUSE: &str = include_str!("../examples/plugins/refuse_early.wat");
const NEW: &str = include_str!("../examples/plugins/new.wat");

#[test]
fn photos_are_favoured_at_the_machine_that_served_them() {
    let mut photos = Instance::new(PHOTOS.as_bytes(), &spec(&[("group", "12")])).expect("good");
    let machines = [Machine { name: 0xa, ..Machine::default() }, Machine { name: 0xb, ..Machine::default() }];
    let head = ViewHead { group: 12, object: 77, machine: 1, note: 1, ..ViewHead::default() };
    assert!(advice_of(&mut photos, &view(&machines, head)).is_empty(), "no outcome is known yet");
    photos.call(Hook::Outcome, &view(&machines, ViewHead { outcome: 3, ..head }), 20_000).0.expect("well");
    assert!(advice_of(&mut photos, &view(&machines, head)).is_empty(), "it was not served");
    photos.call(Hook::Outcome, &view(&machines, head), 20_000).0.expect("well");
    // The machine has another position in the next view.
    let turned = [machines[1], machines[0]];
    assert_eq!(advice_of(&mut photos, &view(&turned, head)), ["Favour { machine: 0, strength: 60 }"]);
    assert!(advice_of(&mut photos, &view(&turned, ViewHead { group: 11, ..head })).is_empty());
    assert!(advice_of(&mut photos, &view(&turned[1..], head)).is_empty(), "the machine is no longer listed");
    assert!(matches!(Instance::new(PHOTOS.as_bytes(), &spec(&[])), Err(Fault::InitFailed(1))));
}

#[test]
fn examples_avoid_small_machines_under_load_and_refuse_early_when_all_are_full() {
    let mut small = Instance::new(SMALL.as_bytes(), &spec(&[("class", "2")])).expect("good");
    let machine = |load, size| Machine { load, size, ..Machine::default() };
    let head = ViewHead { class: 2, ..ViewHead::default() };
    let busy = [machine(Some(0.9), 8.0), machine(None, 2.0), machine(Some(0.8), 8.0)];
    assert_eq!(advice_of(&mut small, &view(&busy, head)), ["Favour { machine: 1, strength: -50 }"]);
    let calm = [machine(Some(0.2), 8.0), machine(None, 2.0)];
    assert!(advice_of(&mut small, &view(&calm, head)).is_empty());
    assert!(advice_of(&mut small, &view(&busy, ViewHead::default())).is_empty(), "another class");
    let mut early = Instance::new(REFUSE.as_bytes(), &spec(&[("class", "2")])).expect("good");
    let full = [machine(Some(0.95), 8.0), machine(Some(1.0), 2.0)];
    assert_eq!(advice_of(&mut early, &view(&full, head)), ["Refuse(500)", "Label(\"full\")"]);
    assert!(advice_of(&mut early, &view(&busy, head)).is_empty(), "not all are known to be full");
    let mut new = Instance::new(NEW.as_bytes(), &spec(&[])).expect("the starting point is good");
    assert_eq!(advice_of(&mut new, &view(&full, head)), ["Label(\"seen\")"]);
}

#[test]
fn invalid_programs_are_rejected_with_a_reason() {
    let start = |text: &str| Instance::new(text.as_bytes(), &spec(&[])).map(|_| ()).unwrap_err().to_string();
    for (text, reason) in [
        ("(module", "expected"),
        ("no module at all", "expected"),
        ("(module)", "no exported global frostturn_version"),
        (
            &program("(i64.const 0)", "").replace("(i32.const 1))", "(i32.const 2))"),
            "interface version 2 is not supported",
        ),
        (&program("(i64.const 0)", "").replace("4096", "65000"), "no room"),
        (&program("(i64.const 0)", r#"(import "env" "open" (func))"#), "import"),
        (&program("(i64.const 0)", "(func $s (unreachable)) (start $s)"), "unreachable"),
        (&program("(i64.const 0)", "(func $s (loop (br 0))) (start $s)"), "fuel"),
        (&program("(i64.const 0)", r#"(func (export "tick"))"#), "tick"),
        (
            &program("(i64.const 0)", r#"(func (export "init") (param i32) (result i32) (i32.const 7))"#),
            "with 7",
        ),
        (&program("(i64.const 0)", "(memory 1)"), "memor"),
    ] {
        let found = start(text);
        assert!(found.contains(reason), "{text}: {found}");
    }
}

/// Hostile programs, each with the result of a call of `request`: whether it gives advice, or a part of the
/// fault's text.
fn hostile() -> Vec<(&'static str, String, Result<bool, &'static str>)> {
    let random = |bytes: &str| {
        let more = format!(r#"(data (i32.const 0) "{bytes}")"#);
        program("(i64.const 16)", &more)
    };
    vec![
        ("endless loop", program("(loop (br 0)) (i64.const 0)", ""), Err("budget")),
        ("endless recursion", program("(call $r) (i64.const 0)", "(func $r (call $r))"), Err("trapped")),
        (
            "memory without end",
            program("(loop (br_if 0 (i32.ne (memory.grow (i32.const 1)) (i32.const -1)))) (i64.const 0)", ""),
            Ok(false),
        ),
        ("trap", program("(unreachable)", ""), Err("trapped")),
        ("outside its memory", program("(i64.load (i32.const 0x7fffffff))", ""), Err("trapped")),
        ("1 GB of advice", program("(i64.const 0x40000000)", ""), Err("advice")),
        ("advice outside its memory", program("(i64.const 0x7fffffff00000008)", ""), Err("advice")),
        ("all bits", program("(i64.const -1)", ""), Err("advice")),
        ("bytes without sense", random("\\01\\00\\ff\\ff\\07\\07\\07\\07\\07\\07\\07\\07\\07\\07\\07\\07"), Ok(true)),
        (
            "a flood of lines",
            program(
                r#"(loop (call $log (i32.const 0) (i32.const 100)) (br 0)) (i64.const 0)"#,
                r#"(import "frostturn" "log" (func $log (param i32 i32)))"#,
            )
            .replacen(r#"(module (memory (export "memory") 1) (global"#, r#"(module (import "frostturn" "log" (func $log (param i32 i32))) (memory (export "memory") 1) (global"#, 1)
            .replacen(r#"(import "frostturn" "log" (func $log (param i32 i32)))
        (func"#, "(func", 1),
            Err("budget"),
        ),
    ]
}

#[test]
fn hostile_programs_end_within_their_budgets() {
    for (name, text, expected) in hostile() {
        let mut instance =
            Instance::new(text.as_bytes(), &spec(&[])).unwrap_or_else(|e| panic!("{name}: {e}"));
        for _ in 0..3 {
            let (advice, fuel_used) = instance.call(Hook::Request, &view(&[], ViewHead::default()), 20_000);
            assert!(fuel_used <= 20_000, "{name} used {fuel_used}");
            match (&advice, expected) {
                (Ok(advice), Ok(some)) => assert_eq!(advice.is_some(), some, "{name}"),
                (Err(fault), Err(word)) => assert!(fault.to_string().contains(word), "{name}: {fault}"),
                other => panic!("{name}: {other:?}"),
            }
            assert!(instance.take_lines().len() <= 5, "log lines cost fuel");
        }
    }
}

/// Advice that mixes arbitrary bytes and valid records.
#[derive(Clone, Debug)]
struct AnyAdvice(Vec<u8>);

impl Arbitrary for AnyAdvice {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut out = Vec::new();
        for _ in 0..u8::arbitrary(g) % 12 {
            match u8::arbitrary(g) % 8 {
                0 | 1 => Record::Favour { machine: u16::arbitrary(g) % 8, strength: i16::arbitrary(g) }
                    .write(&mut out),
                2 => Record::Keep(u8::arbitrary(g) % 6).write(&mut out),
                3 => Record::Oldest(u32::arbitrary(g)).write(&mut out),
                4 => Record::Attempts(u16::arbitrary(g) % 9).write(&mut out),
                5 => Record::Refuse(u32::arbitrary(g)).write(&mut out),
                6 => Record::Label("a_label").write(&mut out),
                _ => out.extend(Vec::<u8>::arbitrary(g)),
            }
        }
        Self(out)
    }
}

#[test]
fn filtered_advice_names_only_allowed_machines_and_relaxes_no_limit() {
    fn property(one: AnyAdvice, other: AnyAdvice, kind: u8, cold: u8, most: u8) -> bool {
        let names: Vec<CacheId> = (0..5).map(|at| CacheId::from(format!("m{at}").as_str())).collect();
        let machine =
            |at: u8| Machine { warm: if cold & (1 << at) == 0 { 1.0 } else { 0.3 }, ..Machine::default() };
        let machines: Vec<Machine> = (0..5).map(machine).collect();
        let class = ClassSettings {
            repeat: [Repeat::Retryable, Repeat::Fragile][usize::from(kind % 2)],
            uncached: kind & 2 != 0,
            fresh_ms: (kind & 4 != 0).then_some(8000.0),
            ..ClassSettings::default()
        };
        let limits = Limits {
            max_attempts: usize::from(most % 5),
            retry_after: kind & 8 != 0,
            max_retry_after_ms: 3000.0,
            ..Limits::default()
        };
        let (names, machines, may_refuse) = (&names[..], &machines[..], kind & 16 != 0);
        let allowed = Permissions { names, machines, class: &class, limits: &limits, may_refuse };
        let both = [&one, &other].map(|said| advice_filter::filter(&said.0, &allowed).unwrap_or_default());
        let [one, other] = both;
        let narrowed = one.merge(other);
        let advice = &narrowed.advice;
        for (name, strength) in &advice.preferences {
            let at = names.iter().position(|known| known == name).expect("an allowed machine");
            assert!(strength.abs() <= 100 && (*strength <= 0 || cold & (1 << at) == 0));
        }
        assert!(advice.max_attempts.is_none_or(|n| n >= 1 && n <= limits.max_attempts.max(1)));
        assert!(advice.max_age_ms.is_none_or(|ms| !class.uncached && (1.0..=8000.0).contains(&ms)));
        assert!(advice.retention.is_none_or(|keep| !class.uncached && keep as u8 <= Retention::High as u8));
        let refused = advice.refuse_retry_after_ms;
        assert!(refused.is_none_or(|ms| may_refuse && class.repeat != Repeat::Fragile && ms <= 3000.0));
        narrowed.labels.iter().all(|label| label.len() <= 32)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 9))
        .tests(3000)
        .quickcheck(property as fn(AnyAdvice, AnyAdvice, u8, u8, u8) -> bool);
}

/// A reducer with a list of machines, driven step by step.
struct Rig {
    reducer: Reducer,
    now: f64,
    next: u64,
    out: BTreeMap<u64, (RequestKey, String)>,
    replies: BTreeMap<RequestKey, Vec<Reply>>,
    attempts: BTreeMap<RequestKey, u32>,
    lines: Vec<String>,
}

const NAMES: [&str; 4] = ["e0", "e1", "e2", "e3"];

impl Rig {
    fn new(plugins: &[(&str, String)], may_refuse: &[&str]) -> Self {
        let settings: Settings = common::settings();
        let net = common::net();
        let mut reducer = Reducer::new(settings, net, 7, 0.0, UnixTime(1e12));
        let loaded = plugins.iter().map(|(name, text)| {
            let may_refuse = may_refuse.iter().map(|class| (*class).to_owned()).collect();
            let spec = Spec { may_refuse, ..Spec::new(name, PathBuf::new()) };
            Loaded::new(spec, text.as_bytes().into()).expect("it starts")
        });
        let loaded: Vec<Loaded> = loaded.collect();
        let order: Vec<String> = plugins.iter().map(|(name, _)| (*name).to_owned()).collect();
        reducer.set_plugins(0.0, &order, loaded);
        let mut rig = Self {
            reducer,
            now: 0.0,
            next: 0,
            out: BTreeMap::new(),
            replies: BTreeMap::new(),
            attempts: BTreeMap::new(),
            lines: Vec::new(),
        };
        let edges = NAMES.iter().map(|name| listed(name, "edge", Phase::Serving));
        let machines =
            edges.chain([listed("p0", "parent", Phase::Serving), listed("o0", "origin", Phase::Serving)]);
        rig.list(true, machines.collect());
        rig
    }

    fn list(&mut self, whole: bool, machines: Vec<ListedMachine>) {
        let notice =
            DiscoveryEvent { rev: 1, announcement: Some(Announcement::Pool { snapshot: whole, machines }) };
        self.step(Input::DiscoveryEvent { event: notice, unix: UnixTime(1e12 + self.now) });
    }

    fn step(&mut self, input: Input) {
        for effect in self.reducer.step(self.now, input) {
            match effect {
                Effect::Send { attempt, machine: member, request: call } => {
                    let client = RequestKey {
                        conn: 1,
                        serial: u64::from_str_radix(&call.request.id, 16).expect("ours"),
                    };
                    *self.attempts.entry(client).or_default() += 1;
                    self.out.insert(attempt, (client, member.to_string()));
                }
                Effect::Stop { attempt } => drop(self.out.remove(&attempt)),
                Effect::Answer { key: client, reply } => self.replies.entry(client).or_default().push(reply),
                Effect::Log(line) => self.lines.push(line),
                _ => {}
            }
        }
    }

    /// Requests an object. Returns the machine of the first attempt, if there is one.
    fn ask(&mut self, class: &str, object: u64) -> Option<String> {
        self.next += 1;
        let client = RequestKey { conn: 1, serial: self.next };
        let ask = IncomingRequest {
            id: format!("{:016x}", self.next),
            class: class.into(),
            timeout_ms: 3000.0,
            object: Some(format!("{object:016x}")),
            size_kb: Some(10.0),
            group: 3,
            ..IncomingRequest::default()
        };
        self.step(Input::RequestReceived { key: client, request: Ok(ask), age_ms: 0.0 });
        self.out.values().find(|(of, _)| *of == client).map(|(_, member)| member.clone())
    }

    /// Ends all attempts in flight with `end`.
    fn end_all(&mut self, end: &AttemptEnd) {
        for attempt in self.out.keys().copied().collect::<Vec<_>>() {
            self.out.remove(&attempt);
            let progress = Progress::WrittenWhole;
            self.step(Input::Progressed { attempt, progress });
            self.step(Input::Ended { attempt, end: end.clone() });
        }
    }
}

fn done() -> AttemptEnd {
    AttemptEnd::Answer(Answer {
        outcome: frostturn::api::Outcome::Ok,
        body: vec![1],
        unchanged: false,
        cache_status: Some(frostturn::api::CacheStatus::Hit),
        source_ttfb_ms: None,
        report: frostturn::api::LoadReport::default(),
    })
}

/// Returns a program that favours the machine at this position.
fn favours(place: u16, strength: i16) -> String {
    let mut records = Vec::new();
    Record::Favour { machine: place, strength }.write(&mut records);
    let bytes: String = records.iter().map(|byte| format!("\\{byte:02x}")).collect();
    program("(i64.const 8)", &format!(r#"(data (i32.const 0) "{bytes}")"#))
}

#[test]
fn a_favoured_machine_is_chosen_only_while_the_rules_allow_it() {
    let mut rig = Rig::new(&[("one", favours(2, 80))], &[]);
    for object in 0..20 {
        assert_eq!(rig.ask("read", object).as_deref(), Some("e2"), "positions refer to the view");
        rig.end_all(&done());
        rig.now += 50.0;
    }
    // While the machine drains, it gets nothing, and its position belongs to another machine.
    rig.list(false, vec![listed("e2", "edge", Phase::Draining)]);
    for object in 0..20 {
        assert_ne!(rig.ask("read", object).as_deref(), Some("e2"));
        rig.end_all(&done());
        rig.now += 50.0;
    }
    let mut avoided = Rig::new(&[("one", favours(0, -80)), ("two", favours(1, -80))], &[]);
    for object in 0..20 {
        let went = avoided.ask("read", object);
        assert!(
            matches!(went.as_deref(), Some("e2" | "e3")),
            "{went:?}: the advice of both plug-ins applies"
        );
        avoided.end_all(&done());
        avoided.now += 50.0;
    }
}

#[test]
fn no_advice_sends_a_fragile_request_twice_or_refuses_it() {
    let mut records = Vec::new();
    Record::Refuse(100).write(&mut records);
    Record::Attempts(60_000).write(&mut records);
    Record::Favour { machine: 1, strength: 100 }.write(&mut records);
    let bytes: String = records.iter().map(|byte| format!("\\{byte:02x}")).collect();
    let text =
        program(&format!("(i64.const {})", records.len()), &format!(r#"(data (i32.const 0) "{bytes}")"#));
    let mut rig = Rig::new(&[("two", text)], &["fragile", "read"]);
    for object in 0..50 {
        assert!(rig.ask("fragile", object).is_some(), "a fragile request is not refused");
        rig.end_all(&AttemptEnd::Lost(Progress::WrittenWhole));
        rig.now += 20.0;
    }
    assert!(rig.attempts.values().all(|attempts| *attempts == 1), "a fragile request may have been executed");
    assert_eq!(rig.replies.len(), 50);
    // A request that may be refused is refused at once, with a retry delay if the settings allow one.
    assert_eq!(rig.ask("read", 99), None);
    let last = rig.replies.values().last().and_then(|replies| replies.first());
    assert!(matches!(last, Some(Reply::Refused { .. })), "{last:?}");
}

#[test]
fn every_request_gets_exactly_one_answer_despite_hostile_plug_ins() {
    for (name, text, _) in hostile() {
        let mut rig = Rig::new(&[("bad", text), ("good", favours(1, 50))], &[]);
        for object in 0..200 {
            rig.ask(["read", "page", "keyed", "fragile"][object as usize % 4], object % 17);
            rig.end_all(&done());
            rig.now += 40.0;
        }
        assert!(rig.replies.len() == 200 && rig.replies.values().all(|replies| replies.len() == 1), "{name}");
        let served = rig.replies.values().filter(|r| matches!(r[0], Reply::Served(_))).count();
        assert_eq!(served, 200, "{name}");
        let (_, counts) = rig.reducer.plugins().expect("they are there").counts().next().expect("the first");
        if counts.faults > 0 {
            // Three consecutive faults, then growing pauses, each followed by a restart.
            assert!(counts.faults < 40 && counts.skipped > 100, "{name}: {counts:?}");
            assert!(rig.lines.iter().any(|line| line.contains("is left out for")), "{name}: {:?}", rig.lines);
        }
    }
}

#[test]
fn requests_beyond_the_fuel_per_second_are_served_without_advice() {
    // Each call uses slightly less than the fuel of a call.
    let text = program(
        "(local $n i32) (local.set $n (i32.const 7000)) (loop (br_if 0 (local.tee $n (i32.sub (local.get $n) (i32.const 1))))) (i64.const 0)",
        "",
    );
    let mut rig = Rig::new(&[("greedy", text)], &[]);
    for object in 0..3000 {
        rig.ask("read", object % 50);
        rig.end_all(&done());
        rig.now += 0.2;
    }
    let (_, counts) = rig.reducer.plugins().expect("there").counts().next().expect("one");
    assert!(counts.faults == 0 && counts.skipped > 500 && counts.calls > 500, "{counts:?}");
    assert!(rig.replies.len() == 3000 && rig.replies.values().all(|replies| replies.len() == 1));
}

#[test]
fn a_new_version_takes_over_at_once_unless_its_rehearsal_fails() {
    let mut rig = Rig::new(&[("one", favours(0, 80))], &[]);
    for object in 0..20 {
        assert_eq!(rig.ask("read", object).as_deref(), Some("e0"));
        rig.end_all(&done());
        rig.now += 50.0;
    }
    let views = rig.reducer.plugins().expect("there").recorded_views();
    assert_eq!(views.len(), 20);
    let load = |text: String| Loaded::new(Spec::new("one", PathBuf::new()), text.as_bytes().into());
    // Traps only on views of objects above 10.
    let late = program(
        "(if (i64.gt_u (i64.load (i32.const 4112)) (i64.const 10)) (then (unreachable))) (i64.const 0)",
        "",
    );
    assert!(matches!(load(late).expect("it starts").rehearse(&views), Err(Fault::Trap(_))));
    let mut good = load(favours(3, 80)).expect("it starts");
    assert_eq!(good.rehearse(&views), Ok(()));
    rig.ask("read", 1);
    rig.reducer.set_plugins(rig.now, &["one".to_owned()], vec![good]);
    rig.end_all(&done());
    assert_eq!(rig.ask("read", 2).as_deref(), Some("e3"));
    rig.reducer.set_plugins(rig.now, &[], Vec::new());
    assert!(rig.reducer.plugins().is_none(), "no plug-ins are left");
}
