//! Encoding and decoding of the fields in frames.

use super::frame::SHARED_BODY_BYTES;
use crate::api::{CacheStatus, LoadReport, Millis, Retention};
use crate::config;
use crate::reducer::OutgoingRequest;
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

pub(super) fn parse_cache_status(name: &str) -> Option<CacheStatus> {
    Some(match name {
        "cached" => CacheStatus::Hit,
        "fetched" => CacheStatus::Filled,
        "fetched_root" => CacheStatus::FilledFromOrigin,
        "merged" => CacheStatus::Joined,
        "past_fresh" => CacheStatus::Stale,
        "up_refused" => CacheStatus::SourceRefused,
        "up_lost" => CacheStatus::SourceUnavailable,
        "up_empty" => CacheStatus::SourceMiss,
        "fills_full" => CacheStatus::NoFillSlot,
        "root_failed" => CacheStatus::OriginFailed,
        _ => return None,
    })
}

/// Returns a time limit as sent to machines, in whole milliseconds; `None` if the attempt has no limit of its
/// own.
pub(super) fn wire_limit_ms(limit_ms: Millis) -> Option<u64> {
    (limit_ms > 0.0).then(|| limit_ms.ceil() as u64)
}

/// Encodes a request with the given time limit, without its body and what follows if the body is shared.
pub(super) fn encode_request(outgoing: &OutgoingRequest, limit_ms: Millis) -> Vec<u8> {
    let (request, fetch) = (&outgoing.request, &outgoing.fetch);
    let mut fields = format!("cls={}", request.class);
    let mut field = |name: &str, value: String| fields.extend([",", name, "=", &value]);
    if let Some(object) = &request.object {
        field("item", object.clone());
    }
    if let Some(piece) = request.piece {
        field("chunk", piece.to_string());
    }
    if let Some(limit) = wire_limit_ms(limit_ms) {
        field("limit", limit.to_string());
    }
    if fetch.source != fetch.cache {
        field("fetch", fetch.source.to_string());
    }
    match fetch.retention {
        Retention::NoStore => {}
        Retention::Low => field("retain", "1".to_owned()),
        Retention::Middle => field("retain", "2".to_owned()),
        Retention::High => field("retain", "3".to_owned()),
    }
    if let Some(age) = fetch.max_age_ms {
        field("newer", (age.floor().max(1.0) as u64).to_string());
    }
    let flags =
        [(fetch.join, "coalesce"), (fetch.cached_only, "shallow"), (fetch.background_refresh, "freshen")];
    let flags: Vec<&str> = flags.iter().filter(|(wanted, _)| *wanted).map(|(_, flag)| *flag).collect();
    if !flags.is_empty() {
        field("handle", flags.join("+"));
    }
    if let Some(tag) = &request.client_tag {
        field("holds", tag.clone());
    }
    // Specified by the platform's list of names only, not by the protocol specification. Machines refuse a
    // keyed request without it, as one that no client sent.
    if let Some(key) = &request.idempotency_key {
        field("nonce", key.to_string());
    }
    let head: [&[u8]; 3] = [b"REQ", request.id.as_bytes(), fields.as_bytes()];
    match request.body.len() >= SHARED_BODY_BYTES {
        true => resp::frame_head(&head, request.body.len()),
        false => resp::frame(&[head[0], head[1], head[2], &request.body]),
    }
}
