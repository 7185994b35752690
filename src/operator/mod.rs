//! The operator's file: S-expressions that switch on what the platform doesn't need, one section a subsystem.
//!
//! Read once into typed settings. Every fault is reported with its line and column, all of them in one go; a file
//! with a fault changes nothing.

mod addresses;
mod fleet;
mod form;
mod plugins;

pub use form::{Fault, Faults};

use crate::addresses::AddressSettings;
use crate::plugins::Spec;
use form::{Form, Node, Reader};
use std::io::Read;
use std::path::{Path, PathBuf};

/// Bytes of a file, at most.
const MAX_FILE: u64 = 1 << 20;

/// Bytes of a socket's path: the system takes 107, and it is first made under a longer name.
const MAX_SOCKET: usize = 90;

/// What an operator's file says. A section that isn't there is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// `(addresses …)`: several addresses for one machine.
    pub addresses: Option<AddressSettings>,
    /// `(plugins …)`: the operators' own programs that give advice, in their order.
    pub plugins: Vec<Spec>,
    /// `(ops (unix …))`: a Unix socket where operators call, beside the config's place or without one.
    pub ops_socket: Option<PathBuf>,
    /// `(fleet …)`: the other request routers, and where this one hears them.
    pub fleet: Option<crate::fleet::Settings>,
    /// Where SIGUSR1 has the latest views of requests written, for `frostturn plugin run`.
    pub view_record_path: Option<PathBuf>,
}

impl OperatorConfig {
    /// Reads a file's bytes.
    ///
    /// ```
    /// let good = frostturn::operator::OperatorConfig::read(b"(frostturn (addresses (order ipv6 ipv4)))");
    /// assert_eq!(good.unwrap().addresses.unwrap().family_order.len(), 2);
    /// let bad = frostturn::operator::OperatorConfig::read(b"(frostturn\n  (adresses))").unwrap_err();
    /// assert!(bad.to_string().starts_with("2:4: "));
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Self, Faults> {
        let forms = form::read(bytes).map_err(|fault| Faults(vec![fault]))?;
        let mut reader = Reader::default();
        let mut operator = Self::default();
        let [root] = &forms[..] else {
            let at = forms.get(1).map_or((1, 1), |node| node.at);
            return Err(Faults(vec![Fault::new(at, "one form (frostturn …) is wanted")]));
        };
        let Some(sections) = reader.headed(root, "frostturn") else { return Err(reader.into_faults()) };
        let mut seen = Vec::new();
        for section in sections {
            const SECTIONS: [&str; 4] = ["addresses", "fleet", "ops", "plugins"];
            let Some((word, rest)) = reader.section(section, &SECTIONS, &mut seen) else { continue };
            match word {
                "addresses" => operator.addresses = Some(addresses::read(&mut reader, rest)),
                "fleet" => operator.fleet = fleet::read(&mut reader, section, rest),
                "ops" => operator.ops_socket = ops(&mut reader, section, rest),
                _ => (operator.plugins, operator.view_record_path) = plugins::read(&mut reader, rest),
            }
        }
        reader.finish(operator)
    }

    /// Reads the file at `path`; an error names the file, and each fault with its place.
    pub fn load(path: &Path) -> Result<Self, String> {
        let bytes = read_bytes(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read_named(&bytes, path)
    }

    /// Reads a file's bytes; faults are told with its name.
    pub fn read_named(bytes: &[u8], path: &Path) -> Result<Self, String> {
        let place = |fault: &Fault| format!("{}:{fault}", path.display());
        Self::read(bytes).map_err(|faults| faults.0.iter().map(place).collect::<Vec<String>>().join("; "))
    }
}

/// The section `(ops …)`.
fn ops(reader: &mut Reader, section: &Node, parts: &[Node]) -> Option<PathBuf> {
    let (mut seen, mut socket) = (Vec::new(), None);
    for part in parts {
        let Some((_, values)) = reader.section(part, &["unix"], &mut seen) else { continue };
        let Some([value]) = reader.exactly(part.at, values) else { continue };
        let Some(text) = reader.text(value) else { continue };
        if !text.starts_with('/') || text.len() > MAX_SOCKET {
            reader.fault(value.at, format!("an absolute path of {MAX_SOCKET} bytes at most is wanted"));
        }
        socket = Some(PathBuf::from(text));
    }
    if parts.is_empty() {
        reader.fault(section.at, "(unix \"/path\") is wanted");
    }
    socket
}

/// The bytes of a file of a bounded size.
pub fn read_bytes(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    std::fs::File::open(path)?.take(MAX_FILE + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE {
        return Err(std::io::Error::other(format!("more than {MAX_FILE} bytes")));
    }
    Ok(bytes)
}

/// A list's head word, if it is one.
fn head(node: &Node) -> Option<(&str, &[Node])> {
    match &node.form {
        Form::List(parts) => match parts.split_first() {
            Some((Node { form: Form::Word(word), .. }, rest)) => Some((word, rest)),
            _ => None,
        },
        _ => None,
    }
}
