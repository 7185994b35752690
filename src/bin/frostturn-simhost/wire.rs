//! The simulator's wire: lines to events, actions to lines. No decision is taken here.

use frostturn::api::*;
use std::collections::HashMap;
use std::fmt::Write;

/// Why a line cannot be read.
pub type Fault = String;

/// The fields of one line, taken from left to right.
pub struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    pub fn new(line: &'a str) -> Self {
        Self(line.split('\t'))
    }

    /// The next field; `None` where it is absent.
    pub fn optional(&mut self) -> Option<&'a str> {
        self.0.next().filter(|text| !text.is_empty() && *text != "-")
    }

    fn required(&mut self, what: &str) -> Result<&'a str, Fault> {
        self.optional().ok_or_else(|| format!("{what} is missing"))
    }

    pub fn whole(&mut self, what: &str) -> Result<u64, Fault> {
        whole(self.required(what)?, what)
    }

    fn whole_or_zero(&mut self, what: &str) -> Result<u64, Fault> {
        self.optional().map_or(Ok(0), |text| whole(text, what))
    }

    pub fn number(&mut self, what: &str) -> Result<f64, Fault> {
        number(self.required(what)?, what)
    }

    fn number_or_none(&mut self, what: &str) -> Result<Option<f64>, Fault> {
        self.optional().map(|text| number(text, what)).transpose()
    }

    /// A name or id that may be absent, written as `-` or 0.
    fn name_or_none(&mut self) -> Option<&'a str> {
        self.optional().filter(|text| *text != "0")
    }
}

fn whole(text: &str, what: &str) -> Result<u64, Fault> {
    text.parse::<u64>()
        .or_else(|_| match text.parse::<f64>() {
            Ok(value) if value >= 0.0 && value.fract() == 0.0 && value < 1e18 => Ok(value as u64),
            _ => Err(()),
        })
        .map_err(|()| format!("{what} is not a whole number: {text}"))
}

fn number(text: &str, what: &str) -> Result<f64, Fault> {
    text.parse::<f64>()
        .ok()
        .filter(|value| value.is_finite())
        .ok_or_else(|| format!("{what} is not a number: {text}"))
}

fn outcome(code: u64) -> Result<Outcome, Fault> {
    Ok(match code {
        200 => Outcome::Ok,
        500 => Outcome::Error,
        503 => Outcome::Full,
        504 => Outcome::Timeout,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::Moot,
        404 => Outcome::Miss,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn note(code: u64) -> Option<Note> {
    Some(match code {
        1 => Note::Hit,
        2 => Note::Filled,
        3 => Note::FilledFromOrigin,
        4 => Note::Joined,
        5 => Note::Stale,
        6 => Note::SourceRefused,
        7 => Note::SourceLost,
        8 => Note::SourceLacks,
        9 => Note::NoFillPlace,
        10 => Note::OriginFailed,
        _ => return None,
    })
}

fn report(text: Option<&str>) -> Result<LoadReport, Fault> {
    let mut report = LoadReport::default();
    for pair in text.unwrap_or_default().split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) =
            pair.split_once(':').or_else(|| pair.split_once('=')).ok_or("a report value has no name")?;
        let slot = match name {
            "util" => &mut report.util,
            "inflight" => &mut report.inflight,
            "x0" => &mut report.hit_share,
            "x1" => &mut report.link,
            _ => continue,
        };
        *slot = Some(number(value, name)?);
    }
    Ok(report)
}

/// Reads one `ROW` line of an inventory, its name taken off already.
pub fn row(mut fields: Fields) -> Result<ListEntry, Fault> {
    let kind = fields.optional().unwrap_or_default().into();
    let cell = fields.whole_or_zero("Block")?;
    let zone = fields.optional().unwrap_or_default().into();
    let rating = fields.number_or_none("Rating")?.unwrap_or(1.0);
    let phase = match fields.required("Phase")? {
        "SERVING" => Phase::Serving,
        "DRAINING" => Phase::Draining,
        "DELETED" => Phase::Deleted,
        other => return Err(format!("unknown phase {other}")),
    };
    let online_since = fields.number_or_none("OnlineSinceMs")?.filter(|since| *since > 0.0);
    let cache = fields.required("Cache")?.into();
    Ok(ListEntry { cache, kind, cell, zone, rating, phase, online_since })
}

/// Reads the mode and the page of a `MEMBERSHIP` line.
pub fn membership(mut fields: Fields) -> Result<(ListMode, Option<u64>), Fault> {
    let mode = match fields.required("Mode")? {
        "incr" => ListMode::Changes,
        "total" => ListMode::Full,
        "warm_copy" => ListMode::Held,
        "lost" => ListMode::Lost,
        other => return Err(format!("unknown mode {other}")),
    };
    fields.whole_or_zero("Generation")?;
    let page = fields.optional().map(|text| whole(text, "Page")).transpose()?;
    Ok((mode, page))
}

/// Reads an event other than a list; `None` for a message that is not known.
pub fn event(name: &str, mut fields: Fields, class: impl Fn(&str) -> usize) -> Result<Option<Event>, Fault> {
    Ok(Some(match name {
        "CALL" => Event::Request(ClientRequest {
            id: fields.required("Xid")?.into(),
            repeat: fields.whole_or_zero("Options")? & 2 != 0,
            class: class(fields.required("TierClass")?),
            size_kb: fields.number_or_none("VolumeKb")?.filter(|size| *size > 0.0),
            piece: fields.whole_or_zero("Piece")?,
            budget_ms: fields.number("BudgetMs")?,
            object: fields.name_or_none().map(ObjectId::from),
            group: fields.whole_or_zero("PurgeGroup")?,
        }),
        "RESULT" => Event::Result(AttemptResult {
            id: fields.required("Xid")?.into(),
            attempt: fields.whole("Go")? as usize,
            cache: fields.required("Cache")?.into(),
            outcome: outcome(fields.whole("How")?)?,
            waited_ms: fields.number("WaitTimeMs")?,
            last: fields.whole_or_zero("Last")? != 0,
            note: note(fields.whole_or_zero("Note")?),
            source_wait_ms: fields.number_or_none("SourceWaitMs")?,
            report: report(fields.optional())?,
        }),
        "FIRST" => {
            Event::Started { id: fields.required("Xid")?.into(), attempt: fields.whole("Go")? as usize }
        }
        "DROPPED" => Event::Dropped { id: fields.required("Xid")?.into() },
        "WAKE" => Event::Timer(Token(fields.whole("Cookie")?)),
        "ECHO" => {
            let cache = fields.required("Cache")?.into();
            let outcome = outcome(fields.whole("How")?)?;
            fields.number_or_none("WaitTimeMs")?;
            Event::Probed { cache, outcome, report: report(fields.optional())? }
        }
        "OUTDATED" => Event::Purged {
            object: fields.name_or_none().map(ObjectId::from),
            group: fields.whole_or_zero("Tag")?,
            age_ms: fields.number_or_none("OldnessMs")?.unwrap_or(0.0),
        },
        _ => return Ok(None),
    }))
}

/// The path=value pairs of a `SPAWN` line.
struct Options<'a>(HashMap<&'a str, &'a str>);

impl<'a> Options<'a> {
    fn text(&self, path: &str) -> &'a str {
        self.0.get(path).copied().unwrap_or_default()
    }

    fn list(&self, path: &str) -> impl Iterator<Item = &'a str> {
        self.text(path).split(',').filter(|item| !item.is_empty())
    }

    fn number(&self, path: &str) -> Result<f64, Fault> {
        match self.text(path) {
            "" | "-" => Ok(0.0),
            text => number(text, path),
        }
    }

    fn numbers(&self, path: &str) -> Result<Vec<f64>, Fault> {
        self.list(path).map(|text| number(text, path)).collect()
    }

    fn yes(&self, path: &str) -> bool {
        matches!(self.text(path), "true" | "1")
    }

    fn yeses(&self, path: &str) -> Vec<bool> {
        self.list(path).map(|text| matches!(text, "true" | "1")).collect()
    }

    fn kind(&self, path: &str) -> Result<Option<MachineKind>, Fault> {
        let place = match self.text(path) {
            "" | "-" => -1.0,
            text => number(text, path)?,
        };
        Ok(self
            .list("MachineTypes")
            .enumerate()
            .find(|(at, _)| *at as f64 == place)
            .map(|(_, name)| name.into()))
    }
}

/// Reads the pairs of a `SPAWN` line.
pub fn settings(fields: Fields) -> Result<Settings, Fault> {
    let options = Options(fields.0.filter_map(|pair| pair.split_once('=')).collect());
    let guarantees = Guarantees {
        grace_to_answer_ms: options.number("Guarantees.GraceToAnswerMs")?,
        stop_sending_ms: options.number("Guarantees.StopSendingWithinMs")?,
        cold_from: options.number("Guarantees.ColdFrom")?,
        cold_ms: options.number("Guarantees.ColdMs")?,
        fall_multiple: options.number("Guarantees.FallMultiple")?,
        overload_ms: options.number("Guarantees.OverloadForMs")?,
        parent_cold_from: options.number("FamilyInfo.ParentColdFrom")?,
        parent_cold_ms: options.number("FamilyInfo.UpperColdMs")?,
        parent_fall_multiple: options.number("FamilyInfo.UpperFallMultiple")?,
        purge_notice_ms: options.number("FamilyInfo.NoticeTimeMs")?,
        purge_gone_ms: options.number("FamilyInfo.GoneEverywhereMs")?,
    };
    let limits = Limits {
        max_attempts: options.number("Limits.MostTries")? as usize,
        cancelling: options.yes("Limits.Cancelling"),
        probes: options.yes("Limits.Probes"),
        retry_after: options.yes("Limits.RetryAfter"),
        max_retry_after_ms: options.number("Limits.MaxRetryAfterMs")?,
        second_copies: options.yes("Limits.SecondCopies"),
    };
    Ok(Settings {
        zone: Some(options.text("Az")).filter(|name| !name.is_empty()).map(Zone::from),
        zones: options.list("Localities").map(Zone::from).collect(),
        routers_by_zone: as_whole(options.numbers("FamilyInfo.InstancesByZone")?),
        zone_hubs: options.numbers("FamilyInfo.ZoneHub")?.iter().map(|hub| *hub as usize).collect(),
        zone_links_kb_per_s: options.numbers("FamilyInfo.LinkInKbPerS")?,
        routers: options.number("Instances")? as u32,
        classes: classes(&options)?,
        parent_kind: options.kind("FamilyInfo.SecondTierKind")?,
        origin_kind: options.kind("FamilyInfo.MasterKind")?,
        bypass_allowed: options.yes("FamilyInfo.BypassAllowed"),
        joins: options.yes("FamilyInfo.Joins"),
        detail: match options.text("FamilyInfo.Detail") {
            "all" => Detail::All,
            "hit" => Detail::Hit,
            _ => Detail::Silent,
        },
        siblings: match options.text("FamilyInfo.Sideways") {
            "any" => Siblings::Any,
            "location" => Siblings::Location,
            _ => Siblings::None,
        },
        flow_kb_per_s: Some(options.number("FamilyInfo.OneFlowKbPerS")?).filter(|pace| *pace > 0.0),
        weights: match options.text("Weights") {
            "nominal" => Weights::Nominal,
            "rough" => Weights::Rough,
            "live" => Weights::Live,
            _ => Weights::Silent,
        },
        discovery: match options.text("Discovery") {
            "ask" => Discovery::Ask,
            _ => Discovery::Push,
        },
        reports: match options.text("Stats.Source") {
            "piggyback" => ReportSource::Piggyback,
            "pull" => ReportSource::Pull,
            _ => ReportSource::Silent,
        },
        guarantees,
        limits,
    })
}

fn as_whole(values: Vec<f64>) -> Vec<u32> {
    values.into_iter().map(|value| value as u32).collect()
}

fn classes(options: &Options) -> Result<Vec<ClassSettings>, Fault> {
    let fresh = options.numbers("FamilyInfo.GoodForMs")?;
    let stale = options.numbers("FamilyInfo.StaleForMs")?;
    let stale_worth = options.numbers("FamilyInfo.StaleEarns")?;
    let in_pieces = options.yeses("FamilyInfo.InPieces");
    let uncached = options.yeses("FamilyInfo.Uncached");
    let count = options.number("RequestClasses.count")?.clamp(0.0, 1e4) as usize;
    (0..count)
        .map(|at| {
            let path = |key: &str| format!("RequestClasses.{at}.{key}");
            let scope = match options.text(&path("DedupScope")) {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                _ => DedupScope::Cell,
            };
            let repeat = match options.text(&path("Repeat")) {
                "retryable" => Repeat::Retryable,
                "dedup" => Repeat::Dedup { scope, window_ms: options.number(&path("DedupWindowMs"))? },
                _ => Repeat::Fragile,
            };
            Ok(ClassSettings {
                name: options.text(&path("Name")).to_owned(),
                aim_ms: options.number(&path("AimMs"))?,
                aim_stretch: options.number(&path("AimStretch"))?,
                deadline_ms: options.number(&path("HardLimitMs"))?,
                repeat,
                worth: options.number(&path("Worth"))?,
                late_worth: options.number(&path("LateWorth"))?,
                stream: options.yes(&path("Stream")),
                fresh_ms: fresh.get(at).copied().filter(|span| *span > 0.0),
                stale_ms: stale.get(at).copied().unwrap_or_default(),
                stale_worth: stale_worth.get(at).copied().unwrap_or_default(),
                in_pieces: in_pieces.get(at).copied().unwrap_or_default(),
                uncached: uncached.get(at).copied().unwrap_or_default(),
            })
        })
        .collect()
}

/// Writes one action of an instance as a line.
pub fn action(out: &mut String, instance: u64, action: &Action) {
    // Writing to a `String` cannot fail.
    let _ = match action {
        Action::Fetch(fetch) => {
            let how = u8::from(fetch.join) + 2 * u8::from(fetch.held_only) + 8 * u8::from(fetch.renew);
            let rank = match fetch.keep {
                Keep::No => 0,
                Keep::Low => 1,
                Keep::Middle => 2,
                Keep::High => 3,
            };
            let (id, cache, source) = (&fetch.id, &fetch.cache, &fetch.source);
            let (timeout, age) = (fetch.timeout_ms, fetch.max_age_ms.unwrap_or(0.0));
            writeln!(out, "GET\t{instance}\t{id}\t{cache}\t{how}\t{timeout:.3}\t{source}\t{age:.3}\t{rank}")
        }
        Action::Refuse { id, hold_off_ms } => {
            writeln!(out, "PUSH_BACK\t{instance}\t{id}\t{:.1}", hold_off_ms.unwrap_or(0.0))
        }
        Action::Fail { id } => writeln!(out, "LOSE\t{instance}\t{id}"),
        Action::Abandon { id, attempt } => writeln!(out, "ABANDON\t{instance}\t{id}\t{attempt}"),
        Action::Timer { delay_ms, token } => {
            writeln!(out, "REMIND\t{instance}\t{delay_ms:.3}\t{}", token.0)
        }
        Action::Probe { cache } => writeln!(out, "SAMPLE\t{instance}\t{cache}"),
        Action::Subscribe => writeln!(out, "SUBSCRIBE\t{instance}\t1"),
        Action::Log(text) => {
            writeln!(out, "SAY_LOG\t{instance}\t{}", text.replace(['\t', '\n', '\r'], " "))
        }
    };
}
