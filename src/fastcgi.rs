//! FastCGI 1.0 codec. Decodes records from a byte stream and encodes them; performs no I/O. The content of a
//! stream record is returned in parts as it arrives; any other partial record is buffered until it is
//! complete.

use crate::bytes::ReadBuffer;

/// Record types.
pub mod kind {
    /// Starts a request (FCGI_BEGIN_REQUEST).
    pub const BEGIN: u8 = 1;
    /// The client has stopped waiting for a request (FCGI_ABORT_REQUEST).
    pub const ABORT: u8 = 2;
    /// Ends a request (FCGI_END_REQUEST).
    pub const END: u8 = 3;
    /// Name-value pairs of a request.
    pub const PARAMS: u8 = 4;
    /// Body of a request.
    pub const STDIN: u8 = 5;
    /// Answer to a request.
    pub const STDOUT: u8 = 6;
    /// Query for the server's limits.
    pub const GET_VALUES: u8 = 9;
    /// Answer to [`GET_VALUES`].
    pub const GET_VALUES_RESULT: u8 = 10;
    /// Answer to a management record of an unknown type.
    pub const UNKNOWN: u8 = 11;
}

/// Protocol status values of FCGI_END_REQUEST.
pub mod status {
    /// The answer is complete.
    pub const COMPLETE: u8 = 0;
    /// The request was rejected because too many are open.
    pub const OVERLOADED: u8 = 2;
    /// The requested role is not supported.
    pub const UNKNOWN_ROLE: u8 = 3;
}

const HEADER_BYTES: usize = 8;
/// Most bytes of an answer in one record: a multiple of 8, so that no padding is needed.
const MAX_STDOUT_BYTES: usize = 32_768;

/// Why the input can't be parsed. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolError {
    /// The record has a version other than 1.
    Version(u8),
    /// A record violates the protocol's order or form.
    Malformed(&'static str),
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The record type; see [`kind`].
    pub kind: u8,
    /// The request id; 0 for management records.
    pub request: u16,
    /// The content, without padding.
    pub content: Vec<u8>,
}

/// What is still to come of a stream record whose header was decoded.
#[derive(Clone, Copy, Debug)]
struct PartialRecord {
    kind: u8,
    request: u16,
    content_bytes: usize,
    padding_bytes: usize,
}

/// Incremental decoder from bytes to records. A record of [`kind::PARAMS`] or [`kind::STDIN`] that arrives in
/// parts is returned as several records, none of them empty unless it is.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: ReadBuffer,
    partial: Option<PartialRecord>,
}

impl Decoder {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.feed(bytes);
    }

    /// Returns the number of buffered bytes that do not form a complete record yet.
    pub fn pending(&self) -> usize {
        self.bytes.unread().len()
    }

    /// Whether the latest record has not arrived completely.
    pub fn has_partial_record(&self) -> bool {
        self.partial.is_some() || self.pending() > 0
    }

    /// Returns the number of bytes that the decoder has allocated.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Releases memory that holds no pending bytes.
    pub fn compact(&mut self) {
        self.bytes.compact();
    }

    /// Returns the next complete record or part of a stream record, if there is one.
    pub fn next_record(&mut self) -> Result<Option<Record>, ProtocolError> {
        if let Some(partial) = self.partial {
            if partial.content_bytes > 0 {
                return Ok(self.next_part(partial));
            }
            if !self.skip_padding(partial) {
                return Ok(None);
            }
        }
        let rest = self.bytes.unread();
        let Some((header, rest)) = rest.split_at_checked(HEADER_BYTES) else { return Ok(None) };
        if header[0] != 1 {
            return Err(ProtocolError::Version(header[0]));
        }
        let length = usize::from(u16::from_be_bytes([header[4], header[5]]));
        let whole = length + usize::from(header[6]);
        let (kind, request) = (header[1], u16::from_be_bytes([header[2], header[3]]));
        if rest.len() < whole {
            if length == 0 || !matches!(kind, kind::PARAMS | kind::STDIN) {
                return Ok(None);
            }
            let padding_bytes = usize::from(header[6]);
            let partial = PartialRecord { kind, request, content_bytes: length, padding_bytes };
            self.bytes.advance(HEADER_BYTES);
            return Ok(self.next_part(partial));
        }
        let record = Record { kind, request, content: rest[..length].to_vec() };
        self.bytes.advance(HEADER_BYTES + whole);
        Ok(Some(record))
    }

    /// Returns what has arrived of a stream record's content.
    fn next_part(&mut self, mut partial: PartialRecord) -> Option<Record> {
        let arrived = self.bytes.unread();
        let content = arrived[..arrived.len().min(partial.content_bytes)].to_vec();
        self.bytes.advance(content.len());
        partial.content_bytes -= content.len();
        self.partial = Some(partial);
        let PartialRecord { kind, request, .. } = partial;
        (!content.is_empty()).then_some(Record { kind, request, content })
    }

    /// Skips the padding of a stream record. Returns whether all of it has arrived.
    fn skip_padding(&mut self, mut partial: PartialRecord) -> bool {
        let arrived = self.bytes.unread().len().min(partial.padding_bytes);
        self.bytes.advance(arrived);
        partial.padding_bytes -= arrived;
        self.partial = Some(partial).filter(|partial| partial.padding_bytes > 0);
        self.partial.is_none()
    }
}

/// Appends one record to `out`. Callers split content that exceeds a record; any excess is dropped.
pub fn record(out: &mut Vec<u8>, kind: u8, request: u16, content: &[u8]) {
    let content = &content[..content.len().min(usize::from(u16::MAX))];
    let padding = (8 - content.len() % 8) % 8;
    let [id_high, id_low] = request.to_be_bytes();
    let [high, low] = (content.len() as u16).to_be_bytes();
    out.extend_from_slice(&[1, kind, id_high, id_low, high, low, padding as u8, 0]);
    out.extend_from_slice(content);
    out.extend_from_slice(&[0; 8][..padding]);
}

/// Returns the records of a complete answer, each as a separate buffer.
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

/// Returns the record that ends a request.
pub fn end(request: u16, protocol_status: u8) -> Vec<u8> {
    let mut out = Vec::new();
    record(&mut out, kind::END, request, &[0, 0, 0, 0, protocol_status, 0, 0, 0]);
    out
}

fn read_length(bytes: &mut &[u8]) -> Result<usize, ProtocolError> {
    const TRUNCATED: ProtocolError = ProtocolError::Malformed("truncated parameter");
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

/// Parses name-value pairs.
pub fn pairs(mut bytes: &[u8]) -> Result<Vec<Pair<'_>>, ProtocolError> {
    let mut pairs = Vec::new();
    while !bytes.is_empty() {
        let (name, value) = (read_length(&mut bytes)?, read_length(&mut bytes)?);
        let whole = name.checked_add(value).filter(|whole| *whole <= bytes.len());
        let whole = whole.ok_or(ProtocolError::Malformed("parameter length exceeds the content"))?;
        let (pair, rest) = bytes.split_at(whole);
        pairs.push(pair.split_at(name));
        bytes = rest;
    }
    Ok(pairs)
}

/// Appends a name-value pair to `out`.
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
