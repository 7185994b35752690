//! RESP codec for arrays of bulk strings. Incremental, bounded in memory, and without I/O.

use crate::bytes::ReadBuffer;

/// Most parts of one frame.
const MAX_PARTS: usize = 8;
/// Most bytes of one part; objects have up to 240,000 bytes.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Most bytes of a line that holds a length.
const MAX_LENGTH_LINE_BYTES: usize = 16;

/// Why the input can't be parsed. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// Incremental decoder from bytes to frames.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: ReadBuffer,
    /// Parts of the current frame that are not decoded yet.
    parts_remaining: usize,
    /// Length of the next part in bytes, once its length line is decoded.
    part_length: Option<usize>,
    parts: Vec<Vec<u8>>,
}

impl Decoder {
    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.feed(bytes);
    }

    /// Whether a frame has begun and is incomplete.
    pub fn has_partial_frame(&self) -> bool {
        self.parts_remaining > 0 || !self.bytes.unread().is_empty()
    }

    /// Parses a length line that starts with `prefix`. Returns `None` while the line is incomplete.
    fn read_length_line(&mut self, prefix: u8, max: usize) -> Result<Option<usize>, ProtocolError> {
        let rest = self.bytes.unread();
        let Some(end) = rest.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
            return if rest.len() >= MAX_LENGTH_LINE_BYTES {
                Err(ProtocolError("length line too long"))
            } else {
                Ok(None)
            };
        };
        let digits = rest[..end].strip_prefix(&[prefix]).and_then(|line| line.strip_suffix(b"\r"));
        let digits = digits.filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit));
        let number = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<usize>().ok());
        let number = number.filter(|number| *number <= max).ok_or(ProtocolError("invalid length"))?;
        self.bytes.advance(end + 1);
        Ok(Some(number))
    }

    /// Returns the next complete frame, if there is one.
    pub fn next_frame(&mut self) -> Result<Option<Vec<Vec<u8>>>, ProtocolError> {
        loop {
            if let Some(length) = self.part_length {
                let Some((part, rest)) = self.bytes.unread().split_at_checked(length) else {
                    return Ok(None);
                };
                let Some(end) = rest.first_chunk::<2>() else { return Ok(None) };
                if end != b"\r\n" {
                    return Err(ProtocolError("bulk string without final CRLF"));
                }
                self.parts.push(part.to_vec());
                self.bytes.advance(length + 2);
                self.part_length = None;
                self.parts_remaining -= 1;
                if self.parts_remaining == 0 {
                    return Ok(Some(std::mem::take(&mut self.parts)));
                }
            } else if self.parts_remaining > 0 {
                self.part_length = self.read_length_line(b'$', MAX_PART_BYTES)?;
                if self.part_length.is_none() {
                    return Ok(None);
                }
            } else {
                match self.read_length_line(b'*', MAX_PARTS)? {
                    Some(0) => return Err(ProtocolError("empty array")),
                    Some(parts) => self.parts_remaining = parts,
                    None => return Ok(None),
                }
            }
        }
    }
}

/// Encodes one frame.
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}
