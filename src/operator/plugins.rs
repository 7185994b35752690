//! Parses the section `(plugins …)`.

use super::form::{Form, Node, Reader};
use super::head;
use crate::plugins::{Spec, MAX_PLUGINS};
use std::path::PathBuf;

const WORDS: [&str; 6] = ["file", "settings", "memory", "fuel", "fuel-per-second", "may-refuse"];
/// The range of a plug-in's memory: from one page of WebAssembly memory to 4 MiB, so that several plug-ins
/// fit into 32 MB.
const MEMORY_RANGE_BYTES: [f64; 2] = [65_536.0, 4_194_304.0];
/// The maximum fuel of a call: more could block the event loop for longer than a millisecond.
const MAX_FUEL: usize = 200_000;
const MAX_FUEL_PER_S: usize = 100_000_000;

pub(super) fn read(reader: &mut Reader, parts: &[Node]) -> (Vec<Spec>, Option<PathBuf>) {
    let mut specs: Vec<Spec> = Vec::new();
    let mut record = None;
    for part in parts {
        if let Some(("record", values)) = head(part) {
            let Some([value]) = reader.exactly(part.at, values) else { continue };
            record = path(reader, value);
            continue;
        }
        let Some(rest) = reader.expect_head(part, "plugin") else { continue };
        let Some((name, rest)) = rest.split_first() else {
            reader.fault(part.at, "a plug-in's name and its settings are required");
            continue;
        };
        let Some(text) = reader.text(name) else { continue };
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if text.len() > 32 || !text.bytes().all(plain) {
            reader.fault(name.at, "a name consists of at most 32 letters, digits, - and _");
        }
        if specs.iter().any(|spec| spec.name == text) {
            reader.fault(name.at, format!("duplicate plug-in {text:?}"));
        }
        if specs.len() >= MAX_PLUGINS {
            reader.fault(part.at, format!("more than {MAX_PLUGINS} plug-ins"));
            break;
        }
        let mut spec = Spec::new(text, PathBuf::new());
        plugin(reader, part, rest, &mut spec);
        specs.push(spec);
    }
    (specs, record)
}

/// Parses an absolute path.
fn path(reader: &mut Reader, value: &Node) -> Option<PathBuf> {
    let text = reader.text(value)?;
    if !text.starts_with('/') {
        reader.fault(value.at, "an absolute path is required");
    }
    Some(PathBuf::from(text))
}

/// Parses the settings of one plug-in.
fn plugin(reader: &mut Reader, part: &Node, rest: &[Node], spec: &mut Spec) {
    let mut seen = Vec::new();
    for node in rest {
        let Some((word, values)) = reader.section(node, &WORDS, &mut seen) else { continue };
        match word {
            "file" => {
                let Some([value]) = reader.exactly(node.at, values) else { continue };
                spec.file = path(reader, value).unwrap_or_default();
            }
            "memory" => {
                let Some([value]) = reader.exactly(node.at, values) else { continue };
                spec.memory =
                    reader.bytes(value, MEMORY_RANGE_BYTES[0], MEMORY_RANGE_BYTES[1]).unwrap_or(spec.memory);
            }
            "fuel" => {
                let Some([value]) = reader.exactly(node.at, values) else { continue };
                spec.fuel = reader.whole(value, 100, MAX_FUEL).map_or(spec.fuel, |fuel| fuel as u64);
            }
            "fuel-per-second" => {
                let Some([value]) = reader.exactly(node.at, values) else { continue };
                let fuel = reader.whole(value, 1000, MAX_FUEL_PER_S);
                spec.fuel_per_s = fuel.map_or(spec.fuel_per_s, |fuel| fuel as u64);
            }
            "may-refuse" => {
                for value in values {
                    let Some(class) = reader.text(value) else { continue };
                    spec.may_refuse.push(class.to_owned());
                }
            }
            _ => values.iter().for_each(|value| setting(reader, value, spec)),
        }
    }
    if spec.file.as_os_str().is_empty() {
        reader.fault(part.at, "a plug-in needs (file \"/path\")");
    }
    if spec.fuel_per_s < spec.fuel {
        reader.fault(
            part.at,
            "fuel-per-second is less than the fuel of a call: the plug-in would never be called",
        );
    }
}

/// Parses `(name value)`, which is passed to the plug-in as it is.
fn setting(reader: &mut Reader, node: &Node, spec: &mut Spec) {
    let Some((name, [value])) = head(node) else {
        return reader.fault(node.at, "(name value) is required");
    };
    let value = match &value.form {
        Form::Word(text) | Form::Text(text) => text.clone(),
        Form::Quantity(number, unit) => format!("{number}{unit}"),
        _ => return reader.fault(value.at, "a word, text or a number is required"),
    };
    if value.contains('\n') {
        return reader.fault(node.at, "a value must not contain line breaks");
    }
    spec.settings.push((name.to_owned(), value));
}
