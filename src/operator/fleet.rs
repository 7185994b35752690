//! Parses the section `(fleet …)`.

use super::form::{Node, Reader};
use crate::fleet::settings::{PeerAddress, RouterId, Settings, MAX_NAME_BYTES, MAX_ROUTERS};
use std::net::SocketAddr;

const WORDS: [&str; 5] = ["name", "listen", "peer", "period", "suspicion"];
/// The range of the protocol period.
const PERIOD_RANGE_MS: [f64; 2] = [100.0, 5000.0];
/// The range of the time after which a suspected router is removed.
const SUSPICION_RANGE_MS: [f64; 2] = [500.0, 120_000.0];
/// The minimum suspicion in periods: a suspected router needs time to exchange several datagrams before it is
/// removed.
const MIN_SUSPICION_PERIODS: f64 = 4.0;

pub(super) fn read(reader: &mut Reader, section: &Node, parts: &[Node]) -> Option<Settings> {
    let (mut name, mut listen, mut seen) = (None, None, Vec::new());
    let mut settings = Settings::new("", ([0, 0, 0, 0], 0).into());
    for part in parts {
        let peer = super::head(part).filter(|(word, _)| *word == "peer");
        if let Some((_, rest)) = peer {
            add_peer(reader, part, rest, &mut settings.peers);
            continue;
        }
        let Some((word, rest)) = reader.section(part, &WORDS, &mut seen) else { continue };
        match word {
            "name" => {
                let Some([value]) = reader.exactly(part.at, rest) else { continue };
                name = router_name(reader, value);
            }
            "listen" => {
                let Some([value]) = reader.exactly(part.at, rest) else { continue };
                listen = address(reader, value).map(|address| (value, address));
            }
            "period" => {
                let Some([value]) = reader.exactly(part.at, rest) else { continue };
                let [least, most] = PERIOD_RANGE_MS;
                settings.period_ms = reader.millis(value, least, most).unwrap_or(settings.period_ms);
            }
            "suspicion" => {
                let Some([least, most]) = reader.exactly(part.at, rest) else { continue };
                let read = [least, most]
                    .map(|node| reader.millis(node, SUSPICION_RANGE_MS[0], SUSPICION_RANGE_MS[1]));
                let [Some(least), Some(most)] = read else { continue };
                settings.suspicion_ms = [least, most];
                if least > most {
                    reader.fault(part.at, "the minimum suspicion is greater than the maximum");
                }
            }
            _ => {}
        }
    }
    if settings.suspicion_ms[0] < MIN_SUSPICION_PERIODS * settings.period_ms {
        let (least, period) = (settings.suspicion_ms[0], settings.period_ms);
        let why = format!(
            "a suspicion of {least}ms is too short for a period of {period}ms: at least four periods are required"
        );
        reader.fault(section.at, why);
    }
    match (&name, listen) {
        // The fault of an invalid value is reported already.
        (None, _) if seen.contains(&"name") => {}
        (_, None) if seen.contains(&"listen") => {}
        (None, _) => reader.fault(section.at, "a fleet needs (name \"…\")"),
        (_, None) => reader.fault(section.at, "a fleet needs (listen \"127.0.0.1:7401\")"),
        (_, Some((node, at))) => {
            if let Some(peer) = settings.peers.iter().find(|peer| peer.address == at) {
                reader.fault(
                    node.at,
                    format!("peer {} has the address on which this router listens", peer.name),
                );
            }
            if let Some(peer) = settings.peers.iter().find(|peer| peer.address.is_ipv4() != at.is_ipv4()) {
                reader.fault(node.at, format!("peer {} has another address family", peer.name));
            }
        }
    }
    if settings.router_count() > MAX_ROUTERS {
        reader.fault(section.at, format!("more than {MAX_ROUTERS} routers"));
    }
    (settings.fleet, settings.listen) = (name?, listen?.1);
    Some(settings)
}

/// Parses the name of a router or a fleet.
fn router_name(reader: &mut Reader, node: &Node) -> Option<String> {
    let text = reader.text(node)?;
    if text.len() > MAX_NAME_BYTES || text.contains(char::is_whitespace) {
        reader.fault(node.at, format!("a name of at most {MAX_NAME_BYTES} bytes without blanks is required"));
    }
    Some(text.to_owned())
}

/// Parses an IP address with a port.
fn address(reader: &mut Reader, node: &Node) -> Option<SocketAddr> {
    let address = reader.text(node)?.parse::<SocketAddr>().ok().filter(|address| address.port() != 0);
    if address.is_none() {
        reader.fault(node.at, "an address and port are required, as \"127.0.0.1:7401\"");
    }
    address
}

/// Parses a peer's name and address, and adds the peer.
fn add_peer(reader: &mut Reader, part: &Node, rest: &[Node], peers: &mut Vec<PeerAddress>) {
    let Some([name, at]) = reader.exactly(part.at, rest) else { return };
    let (Some(name_text), Some(address)) = (router_name(reader, name), address(reader, at)) else { return };
    if peers.iter().any(|peer| peer.name == name_text) {
        return reader.fault(name.at, format!("duplicate peer {name_text:?}"));
    }
    if let Some(other) = peers.iter().find(|peer| peer.address == address) {
        return reader.fault(at.at, format!("peers {name_text} and {} have the same address", other.name));
    }
    if let Some(other) = peers.iter().find(|peer| RouterId::of(&peer.name) == RouterId::of(&name_text)) {
        let why = format!(
            "{name_text} and {} have the same identifier in datagrams: one of them needs another name",
            other.name
        );
        return reader.fault(name.at, why);
    }
    peers.push(PeerAddress { name: name_text, address });
}
