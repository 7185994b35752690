//! FastCGI 1.0 records, as far as a web server in the role of the client needs them.

pub const BEGIN: u8 = 1;
pub const END: u8 = 3;
pub const PARAMS: u8 = 4;
pub const STDIN: u8 = 5;
pub const STDOUT: u8 = 6;

/// Encodes one record.
pub fn record(kind: u8, id: u16, content: &[u8]) -> Vec<u8> {
    let padding = (8 - content.len() % 8) % 8;
    let mut out = vec![1, kind, (id >> 8) as u8, id as u8];
    out.extend_from_slice(&(content.len() as u16).to_be_bytes());
    out.extend_from_slice(&[padding as u8, 0]);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
    out
}

/// Appends a name-value pair.
fn pair(out: &mut Vec<u8>, name: &str, value: &str) {
    for part in [name, value] {
        if part.len() < 0x80 {
            out.push(part.len() as u8);
        } else {
            out.extend_from_slice(&(part.len() as u32 | 0x8000_0000).to_be_bytes());
        }
    }
    out.extend_from_slice(name.as_bytes());
    out.extend_from_slice(value.as_bytes());
}

/// The records of one request: the role Responder with KEEP_CONN, its parameters, and its body in records of
/// `piece` bytes. The last record ends the body.
pub fn request(id: u16, params: &[(&str, String)], body: &[u8], piece: usize) -> Vec<Vec<u8>> {
    let mut pairs = Vec::new();
    params.iter().for_each(|(name, value)| pair(&mut pairs, name, value));
    let mut records = vec![record(BEGIN, id, &[0, 1, 1, 0, 0, 0, 0, 0]), record(PARAMS, id, &pairs)];
    records.push(record(PARAMS, id, &[]));
    records.extend(body.chunks(piece.max(1)).map(|part| record(STDIN, id, part)));
    records.push(record(STDIN, id, &[]));
    records
}

/// Decodes records from a byte stream.
#[derive(Default)]
pub struct Decoder {
    bytes: Vec<u8>,
}

impl Decoder {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the next record: its type, request id and content.
    pub fn next(&mut self) -> Option<(u8, u16, Vec<u8>)> {
        let header = self.bytes.get(..8)?;
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let (kind, id, padding) =
            (header[1], u16::from_be_bytes([header[2], header[3]]), usize::from(header[6]));
        let content = self.bytes.get(8..8 + length)?.to_vec();
        if self.bytes.len() < 8 + length + padding {
            return None;
        }
        self.bytes.drain(..8 + length + padding);
        Some((kind, id, content))
    }
}
