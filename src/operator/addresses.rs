//! Parses the section `(addresses …)`.

use super::form::{Node, Reader};
use super::head;
use crate::addresses::{AddressSettings, Endpoint, Family, MAX_DIALS, MAX_ENDPOINTS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

const WORDS: [&str; 7] =
    ["order", "attempt-delay", "pause", "dials-per-machine", "dials", "names", "machine"];
/// The range of the delay between connection attempts, from RFC 8305, section 5: 10 ms to 2 s.
const ATTEMPT_DELAY_RANGE_MS: [f64; 2] = [10.0, 2000.0];
/// The range of the pause of a failed endpoint.
const PAUSE_RANGE_MS: [f64; 2] = [50.0, 600_000.0];
/// The maximum length of a machine's name; the platform's names are far shorter.
const MAX_NAME_BYTES: usize = 256;
/// The kernel's maximum length of a Unix socket's path.
const MAX_PATH_BYTES: usize = 107;
const MAX_MACHINES: usize = 4096;

pub(super) fn read(reader: &mut Reader, parts: &[Node]) -> AddressSettings {
    let (mut settings, mut seen) = (AddressSettings::default(), Vec::new());
    let mut owners: BTreeMap<Endpoint, String> = BTreeMap::new();
    for part in parts {
        let Some((word, rest)) = reader.section(part, &WORDS, &mut seen) else { continue };
        match word {
            "order" => order(reader, part, rest, &mut settings),
            "attempt-delay" => {
                if let Some(range) = time_range(reader, part, rest, ATTEMPT_DELAY_RANGE_MS) {
                    settings.attempt_delay_ms = range;
                }
            }
            "pause" => {
                if let Some(range) = time_range(reader, part, rest, PAUSE_RANGE_MS) {
                    settings.pause_ms = range;
                }
            }
            "dials-per-machine" => {
                let Some([one]) = reader.exactly(part.at, rest) else { continue };
                match reader.whole(one, 1, 1000) {
                    Some(count) if count > MAX_DIALS => {
                        reader.fault(
                            one.at,
                            format!(
                                "violates the limit for cold machines: at most {MAX_DIALS} concurrent handshakes"
                            ),
                        );
                    }
                    count => settings.max_dials_per_machine = count.unwrap_or(settings.max_dials_per_machine),
                }
            }
            "dials" => {
                let Some([one]) = reader.exactly(part.at, rest) else { continue };
                settings.max_dials = reader.whole(one, 1, 10_000).unwrap_or(settings.max_dials);
            }
            "names" => {
                let Some([one]) = reader.exactly(part.at, rest) else { continue };
                settings.verify_names = reader.word(one, &["checked", "ignored"]) == Some("checked");
            }
            _ => machine(reader, part, rest, &mut settings, &mut owners),
        }
    }
    for (name, endpoints) in &settings.machines {
        if let Some(endpoint) =
            endpoints.iter().find(|endpoint| !settings.family_order.contains(&endpoint.family()))
        {
            reader.fault(
                (1, 1),
                format!("{endpoint} of {name} has an address family that the order does not include"),
            );
        }
    }
    settings
}

fn order(reader: &mut Reader, part: &Node, rest: &[Node], settings: &mut AddressSettings) {
    let mut order = Vec::new();
    for node in rest {
        let family = match reader.word(node, &["unix", "ipv6", "ipv4"]) {
            Some("unix") => Family::Unix,
            Some("ipv6") => Family::Ipv6,
            Some(_) => Family::Ipv4,
            None => continue,
        };
        if order.contains(&family) {
            reader.fault(node.at, "duplicate address family");
        }
        order.push(family);
    }
    if rest.is_empty() {
        reader.fault(part.at, "at least one of unix, ipv6, ipv4 is required");
    } else {
        settings.family_order = order;
    }
}

/// Parses a minimum and a maximum time, or one time for both.
fn time_range(
    reader: &mut Reader,
    part: &Node,
    rest: &[Node],
    [least, most]: [f64; 2],
) -> Option<(f64, f64)> {
    match rest {
        [one] => reader.millis(one, least, most).map(|ms| (ms, ms)),
        [low, high] => {
            let (a, b) = (reader.millis(low, least, most), reader.millis(high, least, most));
            let (a, b) = (a?, b?);
            if a > b {
                reader.fault(low.at, "the minimum is greater than the maximum");
            }
            Some((a, b))
        }
        _ => {
            reader.fault(part.at, "a minimum and a maximum time are required");
            None
        }
    }
}

fn machine(
    reader: &mut Reader,
    part: &Node,
    rest: &[Node],
    settings: &mut AddressSettings,
    owners: &mut BTreeMap<Endpoint, String>,
) {
    let Some((name, endpoints)) = rest.split_first() else {
        return reader.fault(part.at, "a machine's name and its endpoints are required");
    };
    let Some(name) = reader.text(name) else { return };
    if name.len() > MAX_NAME_BYTES || settings.machines.len() >= MAX_MACHINES {
        return reader.fault(
            part.at,
            format!("names have at most {MAX_NAME_BYTES} bytes and files at most {MAX_MACHINES} machines"),
        );
    }
    if endpoints.is_empty() || endpoints.len() >= MAX_ENDPOINTS {
        let most = MAX_ENDPOINTS - 1;
        reader.fault(part.at, format!("a machine has 1 to {most} endpoints here"));
    }
    let mut all = Vec::new();
    for node in endpoints {
        let Some(endpoint) = endpoint(reader, node) else { continue };
        match owners.insert(endpoint.clone(), name.to_owned()) {
            None => all.push(endpoint),
            Some(other) if other == name => reader.fault(node.at, "duplicate endpoint"),
            Some(other) => reader.fault(
                node.at,
                format!("violates the drain rule: {endpoint} also belongs to {other}, and requests for one would \
                     reach the other"),
            ),
        }
    }
    if settings.machines.insert(name.to_owned(), all).is_some() {
        reader.fault(part.at, format!("duplicate machine {name:?}"));
    }
}

fn endpoint(reader: &mut Reader, node: &Node) -> Option<Endpoint> {
    let Some((word, rest)) = head(node) else {
        reader.fault(node.at, "(unix \"/path\") or (tcp \"address:port\") is required");
        return None;
    };
    let word = reader.known(node.at, word, &["unix", "tcp"])?;
    let [value] = reader.exactly(node.at, rest)?;
    let text = reader.text(value)?;
    if word == "unix" {
        if !text.starts_with('/') || text.len() > MAX_PATH_BYTES || text.contains('\0') {
            reader.fault(value.at, format!("an absolute path of at most {MAX_PATH_BYTES} bytes is required"));
            return None;
        }
        return Some(Endpoint::Unix(Path::new(text).into()));
    }
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Some(Endpoint::Tcp(address)),
        _ => {
            reader.fault(value.at, "an address and port are required, as 127.0.0.1:7001 or [::1]:7001");
            None
        }
    }
}
