//! Validation of settings: a value out of range is an error; a missing value or an unknown keyword gives a
//! warning that names the fallback. The names and their meaning are specified by the operators' wire
//! protocol.

use super::{number, Options, ParseError};
use std::collections::HashSet;

/// Settings with a single number, and its maximum.
const NUMBERS: [(&str, f64); 18] = [
    ("Guarantees.GraceToAnswerMs", f64::MAX),
    ("Guarantees.StopSendingWithinMs", f64::MAX),
    ("Guarantees.ColdFrom", 1.0),
    ("Guarantees.ColdMs", f64::MAX),
    ("Guarantees.FallMultiple", f64::MAX),
    ("Guarantees.OverloadForMs", f64::MAX),
    ("FamilyInfo.ParentColdFrom", 1.0),
    ("FamilyInfo.UpperColdMs", f64::MAX),
    ("FamilyInfo.UpperFallMultiple", f64::MAX),
    ("FamilyInfo.NoticeTimeMs", f64::MAX),
    ("FamilyInfo.GoneEverywhereMs", f64::MAX),
    ("FamilyInfo.OneFlowKbPerS", f64::MAX),
    ("Limits.MostTries", 1000.0),
    ("Limits.MaxRetryAfterMs", f64::MAX),
    ("Limits.DialTimeoutMs", f64::MAX),
    ("Limits.ConnIdleMs", f64::MAX),
    ("Limits.StreamsPerConn", 1e6),
    ("Limits.MaxOpen", 1e9),
];

/// Settings with a list of numbers, one per class or zone, and their maximum.
const NUMBER_LISTS: [(&str, f64); 5] = [
    ("FamilyInfo.GoodForMs", f64::MAX),
    ("FamilyInfo.StaleForMs", f64::MAX),
    ("FamilyInfo.StaleEarns", 1.0),
    ("FamilyInfo.InstancesByZone", 1e6),
    ("FamilyInfo.LinkInKbPerS", f64::MAX),
];

/// Settings with a keyword, the known keywords, and the fallback for an unknown one: the most restrictive.
const KEYWORDS: [(&str, &[&str], &str); 5] = [
    ("Discovery", &["push", "ask"], "push"),
    ("FamilyInfo.Detail", &["all", "hit", "silent"], "silent"),
    ("FamilyInfo.Sideways", &["any", "location", "silent"], "silent"),
    ("Weights", &["silent", "nominal", "rough", "live"], "silent"),
    ("Stats.Source", &["piggyback", "pull", "silent"], "silent"),
];

/// Returns warnings about settings that are usable, or an error for those that are not.
pub(super) fn warnings(options: &Options) -> Result<Vec<String>, ParseError> {
    let (mut warnings, mut missing) = (Vec::new(), Vec::new());
    for (path, max) in NUMBERS {
        match options.text(path) {
            "" | "-" => missing.push(path.to_owned()),
            text => check_range(text, path, max)?,
        }
    }
    for (path, max) in NUMBER_LISTS {
        options.list(path).try_for_each(|text| check_range(text, path, max))?;
    }
    let mut keywords: Vec<(String, &[&str], &str)> =
        KEYWORDS.iter().map(|(path, known, fallback)| ((*path).to_owned(), *known, *fallback)).collect();
    let mut names = HashSet::new();
    for at in 0..options.number("RequestClasses.count")?.clamp(0.0, 1e4) as usize {
        let path = |key: &str| format!("RequestClasses.{at}.{key}");
        let name = options.text(&path("Name"));
        if name.is_empty() || !names.insert(name) {
            return Err(format!("{} is missing or a duplicate: {name}", path("Name")));
        }
        for key in ["AimMs", "HardLimitMs", "DedupWindowMs", "AimStretch", "Worth"] {
            options.list(&path(key)).try_for_each(|text| check_range(text, &path(key), f64::MAX))?;
        }
        check_range(options.text(&path("LateWorth")), &path("LateWorth"), 1.0)?;
        if options.number(&path("HardLimitMs"))? == 0.0 {
            return Err(format!("{} is missing: no request of {name} could be served", path("HardLimitMs")));
        }
        keywords.push((path("Repeat"), &["retryable", "dedup", "fragile"], "fragile"));
        if options.text(&path("Repeat")) == "dedup" {
            keywords.push((path("DedupScope"), &["all", "zone", "cell"], "cell"));
            if options.number(&path("DedupWindowMs"))? == 0.0 {
                missing.push(path("DedupWindowMs"));
            }
        }
    }
    for (path, known, fallback) in keywords {
        match options.text(&path) {
            "" | "-" => missing.push(path),
            text if known.contains(&text) => {}
            text => warnings.push(format!("{path} has the unknown value {text}; using {fallback}")),
        }
    }
    let zone = options.text("Az");
    if !options.list("Localities").any(|known| known == zone) {
        warnings.push(format!("Az is not one of the Localities: {zone}"));
    }
    if !missing.is_empty() {
        warnings.push(format!("missing settings, using defaults: {}", missing.join(", ")));
    }
    Ok(warnings)
}

fn check_range(text: &str, path: &str, max: f64) -> Result<(), ParseError> {
    if matches!(text, "" | "-") || (0.0..=max).contains(&number(text, path)?) {
        return Ok(());
    }
    Err(format!("{path} is out of range: {text}"))
}
