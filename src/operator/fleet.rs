//! The section `(fleet …)`.

use super::form::{Node, Reader};
use crate::fleet::settings::{PeerAddress, RouterId, Settings, MAX_NAME_BYTES, MAX_ROUTERS};
use std::net::SocketAddr;

const WORDS: [&str; 5] = ["name", "listen", "peer", "period", "suspicion"];
const PERIOD_MS: [f64; 2] = [100.0, 5000.0];
const SUSPICION_MS: [f64; 2] = [500.0, 120_000.0];
/// A suspect needs time for so many datagrams to come and go before it can be given up.
const LEAST_PERIODS: f64 = 4.0;

pub(super) fn read(reader: &mut Reader, section: &Node, parts: &[Node]) -> Option<Settings> {
    let (mut name, mut listen, mut seen) = (None, None, Vec::new());
    let mut settings = Settings::new("", ([0, 0, 0, 0], 0).into());
    for part in parts {
        let peer = super::head(part).filter(|(word, _)| *word == "peer");
        if let Some((_, rest)) = peer {
            peer_at(reader, part, rest, &mut settings.peers);
            continue;
        }
        let Some((word, rest)) = reader.section(part, &WORDS, &mut seen) else { continue };
        match word {
            "name" => {
                let Some([value]) = reader.exactly(part.at, rest) else { continue };
                name = named(reader, value);
            }
            "listen" => {
                let Some([value]) = reader.exactly(part.at, rest) else { continue };
                listen = address(reader, value).map(|address| (value, address));
            }
            "period" => {
                let Some([value]) = reader.exactly(part.at, rest) else { continue };
                let [least, most] = PERIOD_MS;
                settings.period_ms = reader.millis(value, least, most).unwrap_or(settings.period_ms);
            }
            "suspicion" => {
                let Some([least, most]) = reader.exactly(part.at, rest) else { continue };
                let read = [least, most].map(|node| reader.millis(node, SUSPICION_MS[0], SUSPICION_MS[1]));
                let [Some(least), Some(most)] = read else { continue };
                settings.suspicion_ms = [least, most];
                if least > most {
                    reader.fault(part.at, "the least suspicion is longer than the most");
                }
            }
            _ => {}
        }
    }
    if settings.suspicion_ms[0] < LEAST_PERIODS * settings.period_ms {
        let (least, period) = (settings.suspicion_ms[0], settings.period_ms);
        let why = format!(
            "a suspicion of {least}ms is too short for a period of {period}ms: four periods are the least"
        );
        reader.fault(section.at, why);
    }
    match (&name, listen) {
        // What is there and wrong has been told.
        (None, _) if seen.contains(&"name") => {}
        (_, None) if seen.contains(&"listen") => {}
        (None, _) => reader.fault(section.at, "a fleet needs (name \"…\")"),
        (_, None) => reader.fault(section.at, "a fleet needs (listen \"127.0.0.1:7401\")"),
        (_, Some((node, at))) => {
            if let Some(peer) = settings.peers.iter().find(|peer| peer.address == at) {
                reader.fault(
                    node.at,
                    format!("peer {} is reached where this router itself listens", peer.name),
                );
            }
            if let Some(peer) = settings.peers.iter().find(|peer| peer.address.is_ipv4() != at.is_ipv4()) {
                reader.fault(node.at, format!("peer {} is of another family of addresses", peer.name));
            }
        }
    }
    if settings.router_count() > MAX_ROUTERS {
        reader.fault(section.at, format!("more than {MAX_ROUTERS} routers"));
    }
    (settings.fleet, settings.listen) = (name?, listen?.1);
    Some(settings)
}

fn named(reader: &mut Reader, node: &Node) -> Option<String> {
    let text = reader.text(node)?;
    if text.len() > MAX_NAME_BYTES || text.contains(char::is_whitespace) {
        reader.fault(node.at, format!("a name of {MAX_NAME_BYTES} bytes at most, without blanks, is wanted"));
    }
    Some(text.to_owned())
}

fn address(reader: &mut Reader, node: &Node) -> Option<SocketAddr> {
    let address = reader.text(node)?.parse::<SocketAddr>().ok().filter(|address| address.port() != 0);
    if address.is_none() {
        reader.fault(node.at, "an address and port is wanted, as \"127.0.0.1:7401\"");
    }
    address
}

fn peer_at(reader: &mut Reader, part: &Node, rest: &[Node], peers: &mut Vec<PeerAddress>) {
    let Some([name, at]) = reader.exactly(part.at, rest) else { return };
    let (Some(name_text), Some(address)) = (named(reader, name), address(reader, at)) else { return };
    if peers.iter().any(|peer| peer.name == name_text) {
        return reader.fault(name.at, format!("peer {name_text:?} is there twice"));
    }
    if let Some(other) = peers.iter().find(|peer| peer.address == address) {
        return reader.fault(at.at, format!("peers {name_text} and {} have one address", other.name));
    }
    if let Some(other) = peers.iter().find(|peer| RouterId::of(&peer.name) == RouterId::of(&name_text)) {
        let why =
            format!("datagrams can't tell {name_text} from {}: one of them needs another name", other.name);
        return reader.fault(name.at, why);
    }
    peers.push(PeerAddress { name: name_text, address });
}
