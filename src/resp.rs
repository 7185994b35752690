//! The RESP codec: arrays of bulk strings. Pure, incremental and bounded.

use crate::bytes::ReadBuffer;

/// Parts of one frame, at most.
const MAX_PARTS: usize = 8;
/// Bytes of one part, at most: an object has 240,000 at most.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Bytes of a line that gives a length.
const MAX_LENGTH_LINE_BYTES: usize = 16;

/// Why bytes can't be read; the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// Turns bytes into frames, wherever they are split.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: ReadBuffer,
    /// Parts of the frame that are still to come.
    parts_remaining: usize,
    /// Length of the part that comes now.
    part_length: Option<usize>,
    parts: Vec<Vec<u8>>,
}

impl Decoder {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.feed(bytes);
    }

    /// Whether a frame has begun and isn't whole yet.
    pub fn has_partial_frame(&self) -> bool {
        self.parts_remaining > 0 || !self.bytes.unread().is_empty()
    }

    /// A line's number, once the line is whole.
    fn read_length_line(&mut self, prefix: u8, max: usize) -> Result<Option<usize>, ProtocolError> {
        let rest = self.bytes.unread();
        let Some(end) = rest.iter().take(MAX_LENGTH_LINE_BYTES).position(|byte| *byte == b'\n') else {
            return if rest.len() >= MAX_LENGTH_LINE_BYTES {
                Err(ProtocolError("a length is too long"))
            } else {
                Ok(None)
            };
        };
        let digits = rest[..end].strip_prefix(&[prefix]).and_then(|line| line.strip_suffix(b"\r"));
        let digits = digits.filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit));
        let number = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<usize>().ok());
        let number = number.filter(|number| *number <= max).ok_or(ProtocolError("a length can't be read"))?;
        self.bytes.advance(end + 1);
        Ok(Some(number))
    }

    /// The next whole frame.
    pub fn next_frame(&mut self) -> Result<Option<Vec<Vec<u8>>>, ProtocolError> {
        loop {
            if let Some(length) = self.part_length {
                let Some((part, rest)) = self.bytes.unread().split_at_checked(length) else {
                    return Ok(None);
                };
                let Some(end) = rest.first_chunk::<2>() else { return Ok(None) };
                if end != b"\r\n" {
                    return Err(ProtocolError("a part has no end"));
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
                    Some(0) => return Err(ProtocolError("an empty frame")),
                    Some(parts) => self.parts_remaining = parts,
                    None => return Ok(None),
                }
            }
        }
    }
}

/// One frame's bytes.
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
    out
}
