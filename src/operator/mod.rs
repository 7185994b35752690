//! The operator's file: S-expressions that enable optional subsystems, one section per subsystem.
//!
//! The file is parsed into typed settings. All faults are reported together, each with its line and column; a
//! file with a fault changes nothing.

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

/// The maximum size of a file in bytes.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The maximum length of a socket's path in bytes. The system allows 107, and the socket is first created
/// under a longer temporary name.
const MAX_SOCKET_PATH_BYTES: usize = 90;

/// The settings of an operator's file. A subsystem without a section is disabled.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// `(addresses …)`: several endpoints per machine.
    pub addresses: Option<AddressSettings>,
    /// `(plugins …)`: programs of the operators that give advice, in the order of the file.
    pub plugins: Vec<Spec>,
    /// `(ops (unix …))`: a Unix socket for operators' calls, with or without an address in the config.
    pub ops_socket: Option<PathBuf>,
    /// `(fleet …)`: the other request routers, and the address on which this one receives their datagrams.
    pub fleet: Option<crate::fleet::Settings>,
    /// The file to which the latest views of requests are written on SIGUSR1, for `frostturn plugin run`.
    pub view_record_path: Option<PathBuf>,
}

impl OperatorConfig {
    /// Parses a file's bytes.
    ///
    /// ```
    /// let valid = frostturn::operator::OperatorConfig::read(b"(frostturn (addresses (order ipv6 ipv4)))");
    /// assert_eq!(valid.unwrap().addresses.unwrap().family_order.len(), 2);
    /// let error = frostturn::operator::OperatorConfig::read(b"(frostturn\n  (adresses))").unwrap_err();
    /// assert!(error.to_string().starts_with("2:4: "));
    /// ```
    pub fn read(bytes: &[u8]) -> Result<Self, Faults> {
        let forms = form::read(bytes).map_err(|fault| Faults(vec![fault]))?;
        let mut reader = Reader::default();
        let mut operator = Self::default();
        let [root] = &forms[..] else {
            let at = forms.get(1).map_or((1, 1), |node| node.at);
            return Err(Faults(vec![Fault::new(at, "one form (frostturn …) is required")]));
        };
        let Some(sections) = reader.expect_head(root, "frostturn") else { return Err(reader.into_faults()) };
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

    /// Reads and parses the file at `path`. The error names the file, and each fault with its position.
    pub fn load(path: &Path) -> Result<Self, String> {
        let bytes = read_bytes(path).map_err(|e| format!("{}: {e}", path.display()))?;
        Self::read_named(&bytes, path)
    }

    /// Parses a file's bytes. The error names the file at each fault.
    pub fn read_named(bytes: &[u8], path: &Path) -> Result<Self, String> {
        let with_path = |fault: &Fault| format!("{}:{fault}", path.display());
        Self::read(bytes).map_err(|faults| faults.0.iter().map(with_path).collect::<Vec<String>>().join("; "))
    }
}

/// Parses the section `(ops …)`.
fn ops(reader: &mut Reader, section: &Node, parts: &[Node]) -> Option<PathBuf> {
    let (mut seen, mut socket) = (Vec::new(), None);
    for part in parts {
        let Some((_, values)) = reader.section(part, &["unix"], &mut seen) else { continue };
        let Some([value]) = reader.exactly(part.at, values) else { continue };
        let Some(text) = reader.text(value) else { continue };
        if !text.starts_with('/') || text.len() > MAX_SOCKET_PATH_BYTES {
            reader.fault(
                value.at,
                format!("an absolute path of at most {MAX_SOCKET_PATH_BYTES} bytes is required"),
            );
        }
        socket = Some(PathBuf::from(text));
    }
    if parts.is_empty() {
        reader.fault(section.at, "(unix \"/path\") is required");
    }
    socket
}

/// Reads a file; fails if it exceeds the maximum size.
pub fn read_bytes(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    std::fs::File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(std::io::Error::other(format!("more than {MAX_FILE_BYTES} bytes")));
    }
    Ok(bytes)
}

/// Splits a list into its first word and the rest; `None` if the node is no such list.
fn head(node: &Node) -> Option<(&str, &[Node])> {
    match &node.form {
        Form::List(parts) => match parts.split_first() {
            Some((Node { form: Form::Word(word), .. }, rest)) => Some((word, rest)),
            _ => None,
        },
        _ => None,
    }
}
