//! The FastCGI 1.0 codec: bytes to records and back. Pure, incremental, bounded by the record's length field.

use crate::bytes::ReadBuffer;

/// Kinds of records.
pub mod kind {
    /// A request begins.
    pub const BEGIN: u8 = 1;
    /// Its client has stopped waiting.
    pub const ABORT: u8 = 2;
    /// A request is over.
    pub const END: u8 = 3;
    /// Name-value pairs.
    pub const PARAMS: u8 = 4;
    /// The request's body.
    pub const STDIN: u8 = 5;
    /// The answer.
    pub const STDOUT: u8 = 6;
    /// Questions about the server.
    pub const GET_VALUES: u8 = 9;
    /// Answers to them.
    pub const GET_VALUES_RESULT: u8 = 10;
    /// A management record that isn't known.
    pub const UNKNOWN: u8 = 11;
}

/// Protocol status values of END_REQUEST.
pub mod status {
    /// The answer is complete.
    pub const COMPLETE: u8 = 0;
    /// Turned away.
    pub const OVERLOADED: u8 = 2;
    /// The role isn't served here.
    pub const UNKNOWN_ROLE: u8 = 3;
}

const HEADER_BYTES: usize = 8;
/// The largest piece of an answer in one record: a multiple of 8, so that it needs no padding.
const MAX_STDOUT_BYTES: usize = 32_768;

/// Why bytes can't be read; the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// Not version 1.
    Version(u8),
    /// A record that breaks the protocol's order or form.
    Malformed(&'static str),
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its kind.
    pub kind: u8,
    /// The request it belongs to; 0: management.
    pub request: u16,
    /// Its content, without padding.
    pub content: Vec<u8>,
}

/// Turns bytes into records, wherever they are split.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: ReadBuffer,
}

impl Decoder {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.feed(bytes);
    }

    /// Bytes of a record that isn't whole yet.
    pub fn pending(&self) -> usize {
        self.bytes.unread().len()
    }

    /// The next whole record.
    pub fn next_record(&mut self) -> Result<Option<Record>, ProtocolError> {
        let rest = self.bytes.unread();
        let Some((header, rest)) = rest.split_at_checked(HEADER_BYTES) else { return Ok(None) };
        if header[0] != 1 {
            return Err(ProtocolError::Version(header[0]));
        }
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let whole = length + usize::from(header[6]);
        if rest.len() < whole {
            return Ok(None);
        }
        let record = Record {
            kind: header[1],
            request: u16::from_be_bytes([header[2], header[3]]),
            content: rest[..length].to_vec(),
        };
        self.bytes.advance(HEADER_BYTES + whole);
        Ok(Some(record))
    }
}

/// Appends one record. `content` longer than a record holds is cut: callers split it.
pub fn record(out: &mut Vec<u8>, kind: u8, request: u16, content: &[u8]) {
    let content = &content[..content.len().min(usize::from(u16::MAX))];
    let padding = (8 - content.len() % 8) % 8;
    let [id_high, id_low] = request.to_be_bytes();
    let [high, low] = (content.len() as u16).to_be_bytes();
    out.extend_from_slice(&[1, kind, id_high, id_low, high, low, padding as u8, 0]);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
}

/// The records of a whole answer, each by itself.
pub fn answer(request: u16, head: &str, body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::with_capacity(2 + body.len() / MAX_STDOUT_BYTES);
    let mut first = head.as_bytes().to_vec();
    let (start, rest) = body.split_at(body.len().min(MAX_STDOUT_BYTES - first.len().min(MAX_STDOUT_BYTES)));
    first.extend_from_slice(start);
    for content in std::iter::once(first.as_slice()).chain(rest.chunks(MAX_STDOUT_BYTES)) {
        let mut out = Vec::with_capacity(content.len() + 2 * HEADER_BYTES);
        record(&mut out, kind::STDOUT, request, content);
        records.push(out);
    }
    let mut out = Vec::new();
    record(&mut out, kind::STDOUT, request, &[]);
    out.extend_from_slice(&end(request, status::COMPLETE));
    records.push(out);
    records
}

/// The record that ends a request.
pub fn end(request: u16, protocol_status: u8) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, kind::END, request, &[0, 0, 0, 0, protocol_status, 0, 0, 0]);
    out
}

fn read_length(bytes: &mut &[u8]) -> Result<usize, ProtocolError> {
    const TRUNCATED: ProtocolError = ProtocolError::Malformed("a parameter is cut short");
    let (first, rest) = bytes.split_first().ok_or(TRUNCATED)?;
    if *first < 0x80 {
        *bytes = rest;
        return Ok(usize::from(*first));
    }
    let (more, rest) = rest.split_first_chunk::<3>().ok_or(TRUNCATED)?;
    *bytes = rest;
    Ok(u32::from_be_bytes([first & 0x7f, more[0], more[1], more[2]]) as usize)
}

/// A name and its value.
pub type Pair<'a> = (&'a [u8], &'a [u8]);

/// Reads name-value pairs.
pub fn pairs(mut bytes: &[u8]) -> Result<Vec<Pair<'_>>, ProtocolError> {
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let (name, value) = (read_length(&mut bytes)?, read_length(&mut bytes)?);
        let whole = name.checked_add(value).filter(|whole| *whole <= bytes.len());
        let whole = whole.ok_or(ProtocolError::Malformed("a parameter's length is impossible"))?;
        let (pair, rest) = bytes.split_at(whole);
        pairs.push(pair.split_at(name));
        bytes = rest;
    }
    Ok(pairs)
}

/// Appends a name-value pair.
pub fn pair(out: &mut Vec<u8>, name: &[u8], value: &[u8]) {
    for part in [name, value] {
        match u8::try_from(part.len()) {
            Ok(short) if short < 0x80 => out.push(short),
            _ => out.extend_from_slice(&(part.len() as u32 | 0x8000_0000).to_be_bytes()),
        }
    }
    out.extend_from_slice(name);
    out.extend_from_slice(value);
}
