//! Encoding and decoding of the fields in frames.

use crate::api::{Keep, LoadReport, Millis, Note};
use crate::config;
use crate::reducer::Call;
use crate::resp;

/// `name=value,name=value`, or `-` for none.
#[derive(Clone, Copy)]
pub(super) struct Fields<'a>(pub(super) &'a str);

impl<'a> Fields<'a> {
    pub(super) fn get(self, name: &str) -> Option<&'a str> {
        let mut pairs = self.0.split(',').filter_map(|pair| pair.split_once('='));
        pairs.find(|(given, _)| *given == name).map(|(_, value)| value)
    }

    pub(super) fn number(self, name: &str) -> Option<f64> {
        self.get(name)?.parse().ok().filter(|number: &f64| number.is_finite())
    }

    pub(super) fn report(self) -> LoadReport {
        let mut report = LoadReport::default();
        for (name, value) in
            self.get("meter").unwrap_or("").split(';').filter_map(|pair| pair.split_once(':'))
        {
            if let Some(slot) = config::report_value(&mut report, name) {
                *slot = value.parse().ok().filter(|number: &f64| number.is_finite());
            }
        }
        report
    }
}

pub(super) fn parse_note(name: &str) -> Option<Note> {
    Some(match name {
        "cached" => Note::Hit,
        "fetched" => Note::Filled,
        "fetched_root" => Note::FilledFromOrigin,
        "merged" => Note::Joined,
        "past_fresh" => Note::Stale,
        "up_refused" => Note::SourceRefused,
        "up_lost" => Note::SourceLost,
        "up_empty" => Note::SourceLacks,
        "fills_full" => Note::NoFillPlace,
        "root_failed" => Note::OriginFailed,
        _ => return None,
    })
}

/// Returns a time limit as sent to machines, in whole milliseconds; `None` if the attempt has no limit of its
/// own.
pub(super) fn wire_limit_ms(limit_ms: Millis) -> Option<u64> {
    (limit_ms > 0.0).then(|| limit_ms.ceil() as u64)
}

/// Encodes a request with the given time limit.
pub(super) fn encode_request(call: &Call, limit_ms: Millis) -> Vec<u8> {
    let (ask, fetch) = (&call.ask, &call.fetch);
    let mut fields = format!("cls={}", ask.class);
    let mut field = |name: &str, value: String| fields.extend([",", name, "=", &value]);
    if let Some(object) = &ask.object {
        field("item", object.clone());
    }
    if let Some(piece) = ask.piece {
        field("chunk", piece.to_string());
    }
    if let Some(limit) = wire_limit_ms(limit_ms) {
        field("limit", limit.to_string());
    }
    if fetch.source != fetch.cache {
        field("fetch", fetch.source.to_string());
    }
    match fetch.keep {
        Keep::No => {}
        Keep::Low => field("retain", "1".to_owned()),
        Keep::Middle => field("retain", "2".to_owned()),
        Keep::High => field("retain", "3".to_owned()),
    }
    if let Some(age) = fetch.max_age_ms {
        field("newer", (age.floor().max(1.0) as u64).to_string());
    }
    let flags = [(fetch.join, "coalesce"), (fetch.held_only, "shallow"), (fetch.renew, "freshen")];
    let flags: Vec<&str> = flags.iter().filter(|(wanted, _)| *wanted).map(|(_, flag)| *flag).collect();
    if !flags.is_empty() {
        field("handle", flags.join("+"));
    }
    if let Some(tag) = &ask.holds {
        field("holds", tag.clone());
    }
    // Specified by the platform's list of names only, not by the protocol specification. Machines refuse a
    // keyed request without it, as one that no client sent.
    if let Some(key) = &ask.idempotency_key {
        field("nonce", key.to_string());
    }
    resp::frame(&[b"REQ", ask.id.as_bytes(), fields.as_bytes(), &ask.body])
}
