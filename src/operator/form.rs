//! Parses S-expressions with their positions, and extracts typed settings from them.

use super::head;
use crate::api::Millis;
use lexpr::datum::Ref;
use lexpr::Value;
use std::fmt;

/// The maximum number of forms in a file.
const MAX_FORMS: usize = 100_000;
/// The maximum nesting depth of lists; `lexpr` itself stops at 128.
const MAX_DEPTH: usize = 32;
/// The maximum number of faults that are reported for a file.
const MAX_FAULTS: usize = 50;
/// The similarity from which a known word is suggested for an unknown one, 0 to 1.
const SUGGESTION_SIMILARITY: f64 = 0.7;

/// A line and a column, both from 1.
pub type Position = (usize, usize);

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its position.
    pub at: Position,
    /// What is wrong, or what is required.
    pub reason: String,
}

impl Fault {
    /// Creates a fault.
    pub fn new(at: Position, reason: impl Into<String>) -> Self {
        Self { at, reason: reason.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.at.0, self.at.1, self.reason)
    }
}

/// All faults of a file, in the order of their positions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(Fault::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Faults {}

/// The content of a form.
#[derive(Clone, Debug, PartialEq)]
pub enum Form {
    /// A bare word.
    Word(String),
    /// Text in double quotes.
    Text(String),
    /// A number with its unit, such as `80ms`; the unit may be empty.
    Quantity(f64, String),
    /// A list.
    List(Vec<Node>),
    /// Anything else, which is not valid in settings.
    Other,
}

/// A form with its position.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// Where the form begins.
    pub at: Position,
    /// Its content.
    pub form: Form,
}

/// Parses all forms of a file.
pub fn read(bytes: &[u8]) -> Result<Vec<Node>, Fault> {
    let text = std::str::from_utf8(bytes).map_err(|e| {
        let line = 1 + bytes[..e.valid_up_to()].iter().filter(|byte| **byte == b'\n').count();
        Fault::new((line, 1), "not UTF-8")
    })?;
    reject_unsupported_syntax(text)?;
    let mut parser = lexpr::Parser::from_str(text);
    let (mut nodes, mut left) = (Vec::new(), MAX_FORMS);
    loop {
        match parser.next_datum() {
            Ok(Some(datum)) => nodes.push(node(datum.as_ref(), MAX_DEPTH, &mut left)?),
            Ok(None) => return Ok(nodes),
            Err(e) => {
                let at = e.location().map_or((1, 1), |position| (position.line(), position.column().max(1)));
                let reason = e.to_string();
                let reason = reason.split(" at line ").next().unwrap_or_default();
                return Err(Fault::new(at, format!("invalid syntax: {reason}")));
            }
        }
    }
}

/// Rejects quotes and other syntax that settings don't need, and lists that are nested too deep: the parser
/// would recurse on nested quotes without a limit.
fn reject_unsupported_syntax(text: &str) -> Result<(), Fault> {
    let (mut at, mut depth, mut quoted, mut escaped, mut comment) = ((1, 0), 0usize, false, false, false);
    for byte in text.bytes() {
        at.1 += 1;
        if byte == b'\n' {
            (at, comment) = ((at.0 + 1, 0), false);
        }
        if comment {
            continue;
        }
        if quoted {
            (quoted, escaped) = (escaped || byte != b'"', !escaped && byte == b'\\');
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b';' => comment = true,
            b'(' | b'[' => depth += 1,
            b')' | b']' => depth = depth.saturating_sub(1),
            b'\'' | b'`' | b',' | b'#' | b'|' => {
                return Err(Fault::new(at, format!("{:?} is not supported", char::from(byte))));
            }
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Err(Fault::new(at, format!("lists are nested more than {MAX_DEPTH} deep")));
        }
    }
    Ok(())
}

fn node(datum: Ref<'_>, depth: usize, left: &mut usize) -> Result<Node, Fault> {
    let start = datum.span().start();
    let at = (start.line(), start.column() + 1);
    *left = left.checked_sub(1).ok_or_else(|| Fault::new(at, format!("more than {MAX_FORMS} forms")))?;
    let form = match datum.value() {
        Value::Symbol(word) => Form::Word(word.to_string()),
        Value::String(text) => Form::Text(text.to_string()),
        Value::Number(number) => Form::Quantity(number.as_f64().unwrap_or(f64::NAN), String::new()),
        Value::Null => Form::List(Vec::new()),
        Value::Cons(_) => {
            let depth = depth
                .checked_sub(1)
                .ok_or_else(|| Fault::new(at, format!("lists are nested more than {MAX_DEPTH} deep")))?;
            let Some(items) = datum.list_iter() else {
                return Ok(Node { at, form: Form::Other });
            };
            let mut parts: Vec<Node> = Vec::new();
            // A word that begins where a number ends is the number's unit.
            let mut number_ends = None;
            for item in items {
                let (span, part) = (item.span(), node(item, depth, left)?);
                let adjacent = number_ends == Some((span.start().line(), span.start().column()));
                match (parts.last_mut().map(|last| &mut last.form), &part.form) {
                    (Some(Form::Quantity(_, unit)), Form::Word(word)) if adjacent && unit.is_empty() => {
                        unit.clone_from(word);
                        number_ends = None;
                    }
                    _ => {
                        let number = matches!(part.form, Form::Quantity(..));
                        number_ends = number.then(|| (span.end().line(), span.end().column()));
                        parts.push(part);
                    }
                }
            }
            Form::List(parts)
        }
        _ => Form::Other,
    };
    Ok(Node { at, form })
}

/// Extracts settings from forms and collects the faults.
#[derive(Debug, Default)]
pub struct Reader(Vec<Fault>);

impl Reader {
    /// Records a fault.
    pub fn fault(&mut self, at: Position, reason: impl Into<String>) {
        if self.0.len() < MAX_FAULTS {
            self.0.push(Fault::new(at, reason));
        }
    }

    /// Returns the recorded faults.
    pub fn into_faults(self) -> Faults {
        let mut faults = self.0;
        faults.sort_by_key(|fault| fault.at);
        Faults(faults)
    }

    /// Returns the settings if there are no faults.
    pub fn finish<T>(self, settings: T) -> Result<T, Faults> {
        if self.0.is_empty() {
            Ok(settings)
        } else {
            Err(self.into_faults())
        }
    }

    /// Returns the forms after the first one of a list that must begin with `word`.
    pub fn expect_head<'a>(&mut self, node: &'a Node, word: &str) -> Option<&'a [Node]> {
        match head(node) {
            Some((found, rest)) if found == word => Some(rest),
            _ => {
                self.fault(node.at, format!("({word} …) is required"));
                None
            }
        }
    }

    /// Returns the first word and the remaining forms of a list that must begin with a known word, each of
    /// which may occur only once.
    pub fn section<'a>(
        &mut self,
        node: &'a Node,
        known: &[&'static str],
        seen: &mut Vec<&'static str>,
    ) -> Option<(&'static str, &'a [Node])> {
        let Some((word, rest)) = head(node) else {
            self.fault(node.at, format!("a list that begins with one of {} is required", known.join(", ")));
            return None;
        };
        let at = (node.at.0, node.at.1 + 1);
        let word = self.known(at, word, known)?;
        if word != "machine" && seen.contains(&word) {
            self.fault(at, format!("duplicate {word}"));
            return None;
        }
        seen.push(word);
        Some((word, rest))
    }

    /// Returns the known word that equals `word`, or records a fault that suggests the most similar one.
    pub fn known(&mut self, at: Position, word: &str, known: &[&'static str]) -> Option<&'static str> {
        if let Some(found) = known.iter().find(|known| **known == word) {
            return Some(found);
        }
        let similarity = |known: &&&str| strsim::jaro_winkler(word, known);
        let nearest = known.iter().max_by(|a, b| similarity(a).total_cmp(&similarity(b)));
        let nearest = nearest.filter(|nearest| similarity(nearest) >= SUGGESTION_SIMILARITY);
        let hint = nearest.map_or(format!("known words: {}", known.join(", ")), |nearest| {
            format!("did you mean {nearest}?")
        });
        self.fault(at, format!("unknown word {word:?}; {hint}"));
        None
    }

    /// Parses a bare word, which must be one of the known ones.
    pub fn word(&mut self, node: &Node, known: &[&'static str]) -> Option<&'static str> {
        match &node.form {
            Form::Word(word) => self.known(node.at, word, known),
            _ => {
                self.fault(node.at, format!("one of {} is required", known.join(", ")));
                None
            }
        }
    }

    /// Parses text in quotes, which must not be empty.
    pub fn text<'a>(&mut self, node: &'a Node) -> Option<&'a str> {
        match &node.form {
            Form::Text(text) if !text.is_empty() => Some(text),
            _ => {
                self.fault(node.at, "text in double quotes is required");
                None
            }
        }
    }

    /// Parses a time with its unit, within bounds in milliseconds.
    pub fn millis(&mut self, node: &Node, least: Millis, most: Millis) -> Option<Millis> {
        let units = [("ms", 1.0), ("s", 1e3), ("m", 6e4)];
        let required = "a time with its unit is required, as 80ms, 2s or 5m";
        self.quantity(node, &units, required, least, most, |ms| format!("{ms}ms"))
    }

    /// Parses a size with its unit, within bounds in bytes.
    pub fn bytes(&mut self, node: &Node, least: f64, most: f64) -> Option<usize> {
        let units = [("kb", 1024.0), ("mb", 1024.0 * 1024.0)];
        let required = "a size with its unit is required, as 64kb or 1mb";
        let shown = |bytes: f64| format!("{}kb", bytes / 1024.0);
        self.quantity(node, &units, required, least, most, shown).map(|bytes| bytes as usize)
    }

    /// Parses a number with one of the units, within bounds.
    fn quantity(
        &mut self,
        node: &Node,
        units: &[(&str, f64)],
        required: &str,
        least: f64,
        most: f64,
        shown: impl Fn(f64) -> String,
    ) -> Option<f64> {
        let found = match &node.form {
            Form::Quantity(value, unit) => {
                units.iter().find(|(known, _)| known == unit).map(|(_, by)| value * by)
            }
            _ => None,
        };
        let Some(found) = found.filter(|found| found.is_finite()) else {
            self.fault(node.at, required);
            return None;
        };
        if found < least || found > most {
            self.fault(node.at, format!("must be between {} and {}", shown(least), shown(most)));
            return None;
        }
        Some(found)
    }

    /// Parses an integer without a unit, within bounds.
    pub fn whole(&mut self, node: &Node, least: usize, most: usize) -> Option<usize> {
        match &node.form {
            Form::Quantity(value, unit)
                if unit.is_empty()
                    && value.fract() == 0.0
                    && (least as f64..=most as f64).contains(value) =>
            {
                Some(*value as usize)
            }
            _ => {
                self.fault(node.at, format!("an integer from {least} to {most} is required"));
                None
            }
        }
    }

    /// Returns the forms if there are exactly `N`.
    pub fn exactly<'a, const N: usize>(&mut self, at: Position, nodes: &'a [Node]) -> Option<&'a [Node; N]> {
        let found = <&[Node; N]>::try_from(nodes).ok();
        if found.is_none() {
            self.fault(at, format!("{N} values are required here, not {}", nodes.len()));
        }
        found
    }
}
