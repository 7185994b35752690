//! A router's configuration: the JSON config, its overrides, and the settings of the decision module.
//!
//! The simulator sends settings as path=value pairs; the JSON config holds them as nested objects. The JSON
//! is flattened to the same pairs, so that one parser reads both.

mod check;

use crate::api::*;
use crate::discovery::{self, DiscoveryEvent};
use crate::errno;
use crate::operator::{self, OperatorConfig};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why something can't be parsed.
pub type ParseError = String;

/// How long a purge bounds the age of copies if no setting says when all machines have dropped theirs.
const DEFAULT_PURGE_AGE_BOUND_MS: Millis = 3_600_000.0;

/// The settings of the network side.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSettings {
    /// A dial that takes longer counts as failed.
    pub dial_timeout_ms: Millis,
    /// Machines close connections that are idle for this long.
    pub idle_ms: Millis,
    /// Attempts that may be outstanding on one connection.
    pub streams_per_connection: usize,
    /// Client requests that may be open.
    pub max_open_requests: usize,
    /// Memory that all of the router's processes may use together.
    pub memory_bytes: usize,
    /// File descriptors that the process may use.
    pub max_descriptors: usize,
    /// Highest rate of one transfer to a client, in bytes per second; `None` if unknown.
    pub flow_bytes_per_s: Option<f64>,
}

/// A router's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The router's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery_address: SocketAddr,
    /// The address for operators' calls, if any.
    pub ops: Option<SocketAddr>,
    /// Seed of all random choices.
    pub seed: u64,
    /// The revision up to which `known_events` are complete.
    pub known_rev: u64,
    /// Discovery events from before the start.
    pub known_events: Vec<DiscoveryEvent>,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The settings of the network side.
    pub net: NetworkSettings,
    /// Warnings about missing or unknown settings.
    pub warnings: Vec<String>,
}

/// Paths of the JSON config and the operator's file, and values that override the config.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The JSON config.
    pub config: Option<PathBuf>,
    /// Overrides the config's name.
    pub name: Option<String>,
    /// Overrides the config's listening address.
    pub listen: Option<String>,
    /// Overrides the config's address for operators' calls.
    pub ops: Option<String>,
    /// The operator's file; `None` leaves all of its features off.
    pub operator: Option<PathBuf>,
}

/// Why the files can't be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadError {
    /// The cause.
    pub message: String,
    /// The files could not be read for a reason that may pass; nothing is known to be wrong with them.
    pub transient: bool,
}

impl LoadError {
    fn unreadable(path: &std::path::Path, error: &std::io::Error) -> Self {
        Self { message: format!("{}: {error}", path.display()), transient: errno::is_transient(error) }
    }
}

impl From<ParseError> for LoadError {
    fn from(message: ParseError) -> Self {
        Self { message, transient: false }
    }
}

impl Sources {
    /// Loads both files, or neither.
    pub fn load(&self) -> Result<(Config, OperatorConfig), LoadError> {
        let path = self.config.as_ref().ok_or_else(|| "PROXY_CONFIG isn't set".to_owned())?;
        let shown = path.display();
        let bytes = std::fs::read(path).map_err(|e| LoadError::unreadable(path, &e))?;
        let config = Config::read(bytes, self.name.clone(), self.listen.clone());
        let mut config = config.map_err(|e| format!("{shown}: {e}"))?;
        if let Some(ops) = &self.ops {
            config.ops = Some(ops.parse().map_err(|_| format!("ops is not an address: {ops}"))?);
        }
        let Some(path) = self.operator.as_deref() else { return Ok((config, OperatorConfig::default())) };
        let bytes = operator::read_bytes(path).map_err(|e| LoadError::unreadable(path, &e))?;
        Ok((config, OperatorConfig::read_named(&bytes, path)?))
    }
}

impl Config {
    /// Parses the JSON config; `name` and `listen` override its values.
    pub fn read(mut json: Vec<u8>, name: Option<String>, listen: Option<String>) -> Result<Self, ParseError> {
        let value = simd_json::to_owned_value(&mut json).map_err(|e| format!("not JSON: {e}"))?;
        let text = |key: &str| value.get_str(key).map(str::to_owned);
        let address = |text: Option<String>, what: &str| {
            let text = text.ok_or_else(|| format!("{what} is missing"))?;
            text.parse::<SocketAddr>().map_err(|_| format!("{what} is not an address: {text}"))
        };
        let seed = text("seed").unwrap_or_default();
        let seed = u64::from_str_radix(&seed, 16).map_err(|_| format!("seed is not a hex number: {seed}"))?;
        let mut pairs = Vec::new();
        flatten("", value.get("settings").ok_or("settings are missing")?, &mut pairs);
        let options: Options = pairs.iter().map(|(path, value)| (path.as_str(), value.as_str())).collect();
        let positive_or =
            |path: &str, default: f64| options.number(path).map(|n| if n > 0.0 { n } else { default });
        let limit = |key: &str, default: f64| {
            let given = value.get("limits").and_then(|limits| limits.get(key)).and_then(|v| v.cast_f64());
            given.filter(|n| *n > 0.0).unwrap_or(default)
        };
        let (known_rev, known_events) = match value.get("known") {
            Some(known) => discovery::parse_events(known).map_err(|e| format!("known: {e}"))?,
            None => (0, Vec::new()),
        };
        let warnings = check::warnings(&options)?;
        let mut settings = settings(&options)?;
        // Without any attempt, no request would be served.
        settings.limits.max_attempts = settings.limits.max_attempts.max(1);
        if settings.classes.is_empty() {
            return Err("settings contain no request class".to_owned());
        }
        Ok(Self {
            name: name.or(text("name")).unwrap_or_default(),
            listen: address(listen.or(text("listen")), "listen")?,
            discovery_address: address(text("board"), "board")?,
            ops: text("ops").map(|ops| address(Some(ops), "ops")).transpose()?,
            seed,
            known_rev,
            known_events,
            net: NetworkSettings {
                dial_timeout_ms: positive_or("Limits.DialTimeoutMs", 400.0)?,
                idle_ms: positive_or("Limits.ConnIdleMs", 30_000.0)?,
                streams_per_connection: positive_or("Limits.StreamsPerConn", 32.0)? as usize,
                max_open_requests: positive_or("Limits.MaxOpen", 4096.0)? as usize,
                memory_bytes: (limit("memory_mb", 192.0) * 1e6) as usize,
                max_descriptors: limit("sockets", 1024.0) as usize,
                flow_bytes_per_s: value
                    .get("flow_bytes_per_s")
                    .and_then(|flow| flow.cast_f64())
                    .filter(|flow| *flow > 0.0 && flow.is_finite()),
            },
            settings,
            warnings,
        })
    }
}

/// Flattens nested JSON to the pairs of the simulator's first message: plain lists are joined by commas,
/// lists of objects add their length under `.count`.
fn flatten(path: &str, value: &OwnedValue, pairs: &mut Vec<(String, String)>) {
    let below = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    if let Some(object) = value.as_object() {
        object.iter().for_each(|(key, value)| flatten(&below(key), value, pairs));
    } else if let Some(list) = value.as_array() {
        if list.iter().any(|item| item.is_object()) {
            pairs.push((below("count"), list.len().to_string()));
            list.iter().enumerate().for_each(|(at, item)| flatten(&below(&at.to_string()), item, pairs));
        } else {
            pairs.push((path.to_owned(), list.iter().map(scalar).collect::<Vec<_>>().join(",")));
        }
    } else {
        pairs.push((path.to_owned(), scalar(value)));
    }
}

fn scalar(value: &OwnedValue) -> String {
    match value.as_str() {
        Some(text) => text.to_owned(),
        None if value.is_null() => "-".to_owned(),
        None => value.encode(),
    }
}

/// Returns the field of a load report with the given wire name; `None` if the name is unknown.
pub fn report_value<'a>(report: &'a mut LoadReport, name: &str) -> Option<&'a mut Option<f64>> {
    Some(match name {
        "util" => &mut report.util,
        "inflight" => &mut report.inflight,
        "x0" => &mut report.hit_share,
        "x1" => &mut report.link,
        _ => return None,
    })
}

/// Parses a finite number.
pub fn number(text: &str, what: &str) -> Result<f64, ParseError> {
    text.parse::<f64>()
        .ok()
        .filter(|value| value.is_finite())
        .ok_or_else(|| format!("{what} is not a number: {text}"))
}

/// The settings as path=value pairs, as in the simulator's first message.
#[derive(Debug, Default)]
pub struct Options<'a>(HashMap<&'a str, &'a str>);

impl<'a> FromIterator<(&'a str, &'a str)> for Options<'a> {
    fn from_iter<T: IntoIterator<Item = (&'a str, &'a str)>>(pairs: T) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl<'a> Options<'a> {
    fn text(&self, path: &str) -> &'a str {
        self.0.get(path).copied().unwrap_or_default()
    }

    fn list(&self, path: &str) -> impl Iterator<Item = &'a str> {
        self.text(path).split(',').filter(|item| !item.is_empty())
    }

    fn number(&self, path: &str) -> Result<f64, ParseError> {
        self.number_or(path, 0.0)
    }

    /// Returns a number, or `missing` if it is absent or `-`.
    fn number_or(&self, path: &str, missing: f64) -> Result<f64, ParseError> {
        match self.text(path) {
            "" | "-" => Ok(missing),
            text => number(text, path),
        }
    }

    fn numbers(&self, path: &str) -> Result<Vec<f64>, ParseError> {
        self.list(path).map(|text| number(text, path)).collect()
    }

    fn flag(&self, path: &str) -> bool {
        matches!(self.text(path), "true" | "1")
    }

    fn flags(&self, path: &str) -> Vec<bool> {
        self.list(path).map(|text| matches!(text, "true" | "1")).collect()
    }

    fn kind(&self, path: &str) -> Result<Option<MachineKind>, ParseError> {
        let place = self.number_or(path, -1.0)?;
        Ok(self
            .list("MachineTypes")
            .enumerate()
            .find(|(at, _)| *at as f64 == place)
            .map(|(_, name)| name.into()))
    }
}

/// Parses the settings of the decision module.
pub fn settings(options: &Options) -> Result<Settings, ParseError> {
    let guarantees = Guarantees {
        answer_grace_ms: options.number("Guarantees.GraceToAnswerMs")?,
        stop_sending_ms: options.number("Guarantees.StopSendingWithinMs")?,
        cold_start_share: options.number("Guarantees.ColdFrom")?,
        cold_start_ms: options.number("Guarantees.ColdMs")?,
        overload_multiple: options.number("Guarantees.FallMultiple")?,
        overload_ms: options.number("Guarantees.OverloadForMs")?,
        parent_cold_start_share: options.number("FamilyInfo.ParentColdFrom")?,
        parent_cold_start_ms: options.number("FamilyInfo.UpperColdMs")?,
        parent_overload_multiple: options.number("FamilyInfo.UpperFallMultiple")?,
        purge_notice_ms: options.number("FamilyInfo.NoticeTimeMs")?,
        // Bounding ages for too long only costs memory; for too short a time, a purged copy could be served.
        purge_gone_ms: options.number_or("FamilyInfo.GoneEverywhereMs", DEFAULT_PURGE_AGE_BOUND_MS)?,
    };
    let limits = Limits {
        max_attempts: options.number("Limits.MostTries")? as usize,
        cancelling: options.flag("Limits.Cancelling"),
        probes: options.flag("Limits.Probes"),
        retry_after: options.flag("Limits.RetryAfter"),
        max_retry_after_ms: options.number("Limits.MaxRetryAfterMs")?,
        hedging: options.flag("Limits.SecondCopies"),
    };
    Ok(Settings {
        zone: Some(options.text("Az")).filter(|name| !name.is_empty()).map(Zone::from),
        zones: options.list("Localities").map(Zone::from).collect(),
        routers_by_zone: as_integers(options.numbers("FamilyInfo.InstancesByZone")?),
        zone_hubs: options.numbers("FamilyInfo.ZoneHub")?.iter().map(|hub| *hub as usize).collect(),
        zone_links_kb_per_s: options.numbers("FamilyInfo.LinkInKbPerS")?,
        routers: options.number("Instances")? as u32,
        classes: classes(options)?,
        parent_kind: options.kind("FamilyInfo.SecondTierKind")?,
        origin_kind: options.kind("FamilyInfo.MasterKind")?,
        bypass_allowed: options.flag("FamilyInfo.BypassAllowed"),
        joins: options.flag("FamilyInfo.Joins"),
        detail: match options.text("FamilyInfo.Detail") {
            "all" => Detail::All,
            "hit" => Detail::Hit,
            _ => Detail::None,
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
            _ => Weights::Unknown,
        },
        discovery: match options.text("Discovery") {
            "ask" => Discovery::Ask,
            _ => Discovery::Push,
        },
        reports: match options.text("Stats.Source") {
            "piggyback" => ReportSource::Piggyback,
            "pull" => ReportSource::Pull,
            _ => ReportSource::None,
        },
        guarantees,
        limits,
    })
}

fn as_integers(values: Vec<f64>) -> Vec<u32> {
    values.into_iter().map(|value| value as u32).collect()
}

fn classes(options: &Options) -> Result<Vec<ClassSettings>, ParseError> {
    let fresh = options.numbers("FamilyInfo.GoodForMs")?;
    let stale = options.numbers("FamilyInfo.StaleForMs")?;
    let stale_worth = options.numbers("FamilyInfo.StaleEarns")?;
    let in_pieces = options.flags("FamilyInfo.InPieces");
    let uncached = options.flags("FamilyInfo.Uncached");
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
                stream: options.flag(&path("Stream")),
                fresh_ms: fresh.get(at).copied().filter(|span| *span > 0.0),
                stale_ms: stale.get(at).copied().unwrap_or_default(),
                stale_worth: stale_worth.get(at).copied().unwrap_or_default(),
                in_pieces: in_pieces.get(at).copied().unwrap_or_default(),
                uncached: uncached.get(at).copied().unwrap_or_default(),
            })
        })
        .collect()
}
