//! The section `(addresses …)`.

use super::form::{Node, Reader};
use super::head;
use crate::addresses::{AddressSettings, Endpoint, Family, MAX_DIALS, MAX_ENDPOINTS};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;

const WORDS: [&str; 7] =
    ["order", "attempt-delay", "pause", "dials-per-machine", "dials", "names", "machine"];
/// RFC 8305, section 5: no less than 10 ms between two attempts, and no more than 2 s.
const DELAY_MS: [f64; 2] = [10.0, 2000.0];
const PAUSE_MS: [f64; 2] = [50.0, 600_000.0];
/// The platform's longest name is far shorter; the kernel's longest path of a Unix socket is 107 bytes.
const MAX_NAME: usize = 256;
const MAX_PATH: usize = 107;
const MAX_MACHINES: usize = 4096;

pub(super) fn read(reader: &mut Reader, parts: &[Node]) -> AddressSettings {
    let (mut rules, mut seen) = (AddressSettings::default(), Vec::new());
    let mut places: BTreeMap<Endpoint, String> = BTreeMap::new();
    for part in parts {
        let Some((word, rest)) = reader.section(part, &WORDS, &mut seen) else { continue };
        match word {
            "order" => order(reader, part, rest, &mut rules),
            "attempt-delay" => {
                if let Some(both) = span(reader, part, rest, DELAY_MS) {
                    rules.attempt_delay_ms = both;
                }
            }
            "pause" => {
                if let Some(both) = span(reader, part, rest, PAUSE_MS) {
                    rules.pause_ms = both;
                }
            }
            "dials-per-machine" => {
                let Some([one]) = reader.exactly(part.at, rest) else { continue };
                match reader.whole(one, 1, 1000) {
                    Some(count) if count > MAX_DIALS => {
                        reader.fault(
                            one.at,
                            format!("breaks the rule on cold boxes: at most {MAX_DIALS} handshakes at once"),
                        );
                    }
                    count => rules.max_dials_per_machine = count.unwrap_or(rules.max_dials_per_machine),
                }
            }
            "dials" => {
                let Some([one]) = reader.exactly(part.at, rest) else { continue };
                rules.max_dials = reader.whole(one, 1, 10_000).unwrap_or(rules.max_dials);
            }
            "names" => {
                let Some([one]) = reader.exactly(part.at, rest) else { continue };
                rules.verify_names = reader.word(one, &["checked", "ignored"]) == Some("checked");
            }
            _ => machine(reader, part, rest, &mut rules, &mut places),
        }
    }
    for (name, endpoints) in &rules.machines {
        if let Some(lost) = endpoints.iter().find(|endpoint| !rules.family_order.contains(&endpoint.family()))
        {
            reader.fault((1, 1), format!("{lost} of {name} is of a family that the order leaves out"));
        }
    }
    rules
}

fn order(reader: &mut Reader, part: &Node, rest: &[Node], rules: &mut AddressSettings) {
    let mut order = Vec::new();
    for node in rest {
        let family = match reader.word(node, &["unix", "ipv6", "ipv4"]) {
            Some("unix") => Family::Unix,
            Some("ipv6") => Family::Ipv6,
            Some(_) => Family::Ipv4,
            None => continue,
        };
        if order.contains(&family) {
            reader.fault(node.at, "this family is there twice");
        }
        order.push(family);
    }
    if rest.is_empty() {
        reader.fault(part.at, "at least one of unix, ipv6, ipv4 is wanted");
    } else {
        rules.family_order = order;
    }
}

/// A least and a most, or one figure for both.
fn span(reader: &mut Reader, part: &Node, rest: &[Node], [least, most]: [f64; 2]) -> Option<(f64, f64)> {
    match rest {
        [one] => reader.millis(one, least, most).map(|ms| (ms, ms)),
        [low, high] => {
            let (a, b) = (reader.millis(low, least, most), reader.millis(high, least, most));
            let (a, b) = (a?, b?);
            if a > b {
                reader.fault(low.at, "the least is more than the most");
            }
            Some((a, b))
        }
        _ => {
            reader.fault(part.at, "a least and a most time are wanted");
            None
        }
    }
}

fn machine(
    reader: &mut Reader,
    part: &Node,
    rest: &[Node],
    rules: &mut AddressSettings,
    places: &mut BTreeMap<Endpoint, String>,
) {
    let Some((name, endpoints)) = rest.split_first() else {
        return reader.fault(part.at, "a machine's name and its endpoints are wanted");
    };
    let Some(name) = reader.text(name) else { return };
    if name.len() > MAX_NAME || rules.machines.len() >= MAX_MACHINES {
        return reader
            .fault(part.at, format!("names have {MAX_NAME} bytes and files {MAX_MACHINES} machines"));
    }
    if endpoints.is_empty() || endpoints.len() >= MAX_ENDPOINTS {
        let most = MAX_ENDPOINTS - 1;
        reader.fault(part.at, format!("a machine has 1 to {most} endpoints here"));
    }
    let mut all = Vec::new();
    for node in endpoints {
        let Some(endpoint) = endpoint(reader, node) else { continue };
        match places.insert(endpoint.clone(), name.to_owned()) {
            None => all.push(endpoint),
            Some(other) if other == name => reader.fault(node.at, "this endpoint is there twice"),
            Some(other) => reader.fault(
                node.at,
                format!("breaks the rule on drains: {endpoint} is {other}'s as well, and work for one would reach the other"),
            ),
        }
    }
    if rules.machines.insert(name.to_owned(), all).is_some() {
        reader.fault(part.at, format!("machine {name:?} is there twice"));
    }
}

fn endpoint(reader: &mut Reader, node: &Node) -> Option<Endpoint> {
    let Some((word, rest)) = head(node) else {
        reader.fault(node.at, "(unix \"/path\") or (tcp \"address:port\") is wanted");
        return None;
    };
    let word = reader.known(node.at, word, &["unix", "tcp"])?;
    let [value] = reader.exactly(node.at, rest)?;
    let text = reader.text(value)?;
    if word == "unix" {
        if !text.starts_with('/') || text.len() > MAX_PATH || text.contains('\0') {
            reader.fault(value.at, format!("an absolute path of at most {MAX_PATH} bytes is wanted"));
            return None;
        }
        return Some(Endpoint::Unix(Path::new(text).into()));
    }
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Some(Endpoint::Tcp(address)),
        _ => {
            reader.fault(value.at, "an address and port are wanted, as 127.0.0.1:7001 or [::1]:7001");
            None
        }
    }
}
