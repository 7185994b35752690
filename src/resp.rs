//! The RESP codec: arrays of bulk strings. Pure, incremental and bounded.

use crate::bytes::ReadBuffer;

/// Parts of one frame, at most.
const MAX_PARTS: usize = 8;
/// Bytes of one part, at most: an object has 240,000 at most.
const MAX_PART: usize = 256 * 1024;
/// Bytes of a line that gives a length.
const MAX_LINE: usize = 16;

/// Why bytes can't be read; the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault(pub &'static str);

/// Turns bytes into frames, wherever they are split.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: ReadBuffer,
    /// Parts of the frame that are still to come.
    to_come: usize,
    /// Length of the part that comes now.
    part: Option<usize>,
    parts: Vec<Vec<u8>>,
}

impl Decoder {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.feed(bytes);
    }

    /// Whether a frame has begun and isn't whole yet.
    pub fn midway(&self) -> bool {
        self.to_come > 0 || !self.bytes.unread().is_empty()
    }

    /// A line's number, once the line is whole.
    fn line(&mut self, mark: u8, most: usize) -> Result<Option<usize>, Fault> {
        let rest = self.bytes.unread();
        let Some(end) = rest.iter().take(MAX_LINE).position(|byte| *byte == b'\n') else {
            return if rest.len() >= MAX_LINE { Err(Fault("a length is too long")) } else { Ok(None) };
        };
        let digits = rest[..end].strip_prefix(&[mark]).and_then(|line| line.strip_suffix(b"\r"));
        let digits = digits.filter(|digits| !digits.is_empty() && digits.iter().all(u8::is_ascii_digit));
        let number = digits.and_then(|digits| std::str::from_utf8(digits).ok()?.parse::<usize>().ok());
        let number = number.filter(|number| *number <= most).ok_or(Fault("a length can't be read"))?;
        self.bytes.advance(end + 1);
        Ok(Some(number))
    }

    /// The next whole frame.
    pub fn next_frame(&mut self) -> Result<Option<Vec<Vec<u8>>>, Fault> {
        loop {
            if let Some(length) = self.part {
                let Some((part, rest)) = self.bytes.unread().split_at_checked(length) else {
                    return Ok(None);
                };
                let Some(end) = rest.first_chunk::<2>() else { return Ok(None) };
                if end != b"\r\n" {
                    return Err(Fault("a part has no end"));
                }
                self.parts.push(part.to_vec());
                self.bytes.advance(length + 2);
                self.part = None;
                self.to_come -= 1;
                if self.to_come == 0 {
                    return Ok(Some(std::mem::take(&mut self.parts)));
                }
            } else if self.to_come > 0 {
                self.part = self.line(b'$', MAX_PART)?;
                if self.part.is_none() {
                    return Ok(None);
                }
            } else {
                match self.line(b'*', MAX_PARTS)? {
                    Some(0) => return Err(Fault("an empty frame")),
                    Some(parts) => self.to_come = parts,
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
