//! The simulator's line protocol: parses lines into events and formats actions as lines. No decision is made
//! here.

use frostturn::api::*;
use frostturn::config::{self, number, ParseError};
use std::fmt::Write;

/// The tab-separated fields of one line, read from left to right.
pub struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    /// Returns the fields of a line, none of them read yet.
    pub fn new(line: &'a str) -> Self {
        Self(line.split('\t'))
    }

    /// Returns the next field; `None` where it is absent, empty or `-`.
    pub fn optional(&mut self) -> Option<&'a str> {
        self.0.next().filter(|text| !text.is_empty() && *text != "-")
    }

    fn required(&mut self, what: &str) -> Result<&'a str, ParseError> {
        self.optional().ok_or_else(|| format!("{what} is missing"))
    }

    /// Returns the next field as a whole number. `what` names the field in errors.
    pub fn whole(&mut self, what: &str) -> Result<u64, ParseError> {
        whole(self.required(what)?, what)
    }

    fn whole_or_zero(&mut self, what: &str) -> Result<u64, ParseError> {
        self.optional().map_or(Ok(0), |text| whole(text, what))
    }

    /// Returns the next field as a number. `what` names the field in errors.
    pub fn number(&mut self, what: &str) -> Result<f64, ParseError> {
        number(self.required(what)?, what)
    }

    fn number_or_none(&mut self, what: &str) -> Result<Option<f64>, ParseError> {
        self.optional().map(|text| number(text, what)).transpose()
    }

    /// Returns a name or an id that may be absent, which is written as `-` or 0.
    fn name_or_none(&mut self) -> Option<&'a str> {
        self.optional().filter(|text| *text != "0")
    }
}

fn whole(text: &str, what: &str) -> Result<u64, ParseError> {
    text.parse::<u64>()
        .or_else(|_| match text.parse::<f64>() {
            Ok(value) if value >= 0.0 && value.fract() == 0.0 && value < 1e18 => Ok(value as u64),
            _ => Err(()),
        })
        .map_err(|()| format!("{what} is not a whole number: {text}"))
}

fn outcome(code: u64) -> Result<Outcome, ParseError> {
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

fn cache_status(code: u64) -> Option<CacheStatus> {
    Some(match code {
        1 => CacheStatus::Hit,
        2 => CacheStatus::Filled,
        3 => CacheStatus::FilledFromOrigin,
        4 => CacheStatus::Joined,
        5 => CacheStatus::Stale,
        6 => CacheStatus::SourceRefused,
        7 => CacheStatus::SourceUnavailable,
        8 => CacheStatus::SourceMiss,
        9 => CacheStatus::NoFillSlot,
        10 => CacheStatus::OriginFailed,
        _ => return None,
    })
}

fn report(text: Option<&str>) -> Result<LoadReport, ParseError> {
    let mut report = LoadReport::default();
    for pair in text.unwrap_or_default().split(',').filter(|pair| !pair.is_empty()) {
        let (name, value) =
            pair.split_once(':').or_else(|| pair.split_once('=')).ok_or("a report value has no name")?;
        if let Some(target) = config::report_value(&mut report, name) {
            *target = Some(number(value, name)?);
        }
    }
    Ok(report)
}

/// Parses one `ROW` line of an inventory, after its name.
pub fn row(mut fields: Fields) -> Result<ListEntry, ParseError> {
    let kind = fields.optional().unwrap_or_default().into();
    let cell = fields.whole_or_zero("Block")?;
    let zone = fields.optional().unwrap_or_default().into();
    let weight = fields.number_or_none("Rating")?.unwrap_or(1.0);
    let phase = match fields.required("Phase")? {
        "SERVING" => Phase::Serving,
        "DRAINING" => Phase::Draining,
        "DELETED" => Phase::Deleted,
        other => return Err(format!("unknown phase {other}")),
    };
    let online_since = fields.number_or_none("OnlineSinceMs")?.filter(|since| *since > 0.0);
    let cache = fields.required("Cache")?.into();
    Ok(ListEntry { cache, kind, cell, zone, weight, phase, online_since })
}

/// Parses the mode and the page number of a `MEMBERSHIP` line.
pub fn membership(mut fields: Fields) -> Result<(ListMode, Option<u64>), ParseError> {
    let mode = match fields.required("Mode")? {
        "incr" => ListMode::Changes,
        "total" => ListMode::Full,
        "warm_copy" => ListMode::Cached,
        "lost" => ListMode::Failed,
        other => return Err(format!("unknown mode {other}")),
    };
    fields.whole_or_zero("Generation")?;
    let page = fields.optional().map(|text| whole(text, "Page")).transpose()?;
    Ok((mode, page))
}

/// Parses an event other than a list; `None` if the name is unknown.
pub fn event(
    name: &str,
    mut fields: Fields,
    class: impl Fn(&str) -> usize,
) -> Result<Option<Event>, ParseError> {
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
            advice: None,
        }),
        "RESULT" => Event::Result(AttemptResult {
            id: fields.required("Xid")?.into(),
            attempt: fields.whole("Go")? as usize,
            cache: fields.required("Cache")?.into(),
            outcome: outcome(fields.whole("How")?)?,
            elapsed_ms: fields.number("WaitTimeMs")?,
            last: fields.whole_or_zero("Last")? != 0,
            cache_status: cache_status(fields.whole_or_zero("Note")?),
            source_ttfb_ms: fields.number_or_none("SourceWaitMs")?,
            report: report(fields.optional())?,
            size_kb: None, // The simulator does not count bytes.
        }),
        "FIRST" => {
            Event::Started { id: fields.required("Xid")?.into(), attempt: fields.whole("Go")? as usize }
        }
        "DROPPED" => Event::Aborted { id: fields.required("Xid")?.into() },
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

/// Parses the settings of a `SPAWN` line.
pub fn settings(fields: Fields) -> Result<Settings, ParseError> {
    config::settings(&fields.0.filter_map(|pair| pair.split_once('=')).collect())
}

/// Appends one action of an instance as a line.
pub fn action(out: &mut String, instance: u64, action: &Action) {
    // Writing to a `String` does not fail.
    let _ = match action {
        Action::Fetch(fetch) => {
            let how = u8::from(fetch.join)
                + 2 * u8::from(fetch.cached_only)
                + 8 * u8::from(fetch.background_refresh);
            let rank = match fetch.retention {
                Retention::NoStore => 0,
                Retention::Low => 1,
                Retention::Middle => 2,
                Retention::High => 3,
            };
            let (id, cache, source) = (&fetch.id, &fetch.cache, &fetch.source);
            let (timeout, age) = (fetch.timeout_ms, fetch.max_age_ms.unwrap_or(0.0));
            writeln!(out, "GET\t{instance}\t{id}\t{cache}\t{how}\t{timeout:.3}\t{source}\t{age:.3}\t{rank}")
        }
        Action::Refuse { id, retry_after_ms, .. } => {
            writeln!(out, "PUSH_BACK\t{instance}\t{id}\t{:.1}", retry_after_ms.unwrap_or(0.0))
        }
        Action::Fail { id, .. } => writeln!(out, "LOSE\t{instance}\t{id}"),
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
