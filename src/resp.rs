//! RESP codec for arrays of bulk strings. Incremental, bounded in memory, and without I/O.

use crate::bytes::ReadBuffer;

/// Most parts of one frame.
const MAX_PARTS: usize = 8;
/// Most bytes of one part; objects have up to 240,000 bytes.
const MAX_PART_BYTES: usize = 256 * 1024;
/// Most bytes of a line that holds a length.
const MAX_LENGTH_LINE_BYTES: usize = 16;
/// Largest part that is buffered without a grant, see [`Decoder::granting_large_parts`].
pub const SMALL_PART_BYTES: usize = 4 * 1024;
/// Bytes to feed at a time while no large part is granted.
const SMALL_READ_BYTES: usize = 8 * 1024;
const CRLF: &[u8; 2] = b"\r\n";

/// Why the input can't be parsed. The connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// A part of a frame whose length is known.
#[derive(Debug)]
enum Part {
    /// It is large, and none of it is buffered until [`Decoder::grant_part`] is called.
    AwaitsGrant(usize),
    /// It is collected in a buffer of its exact size.
    Collecting {
        /// The length of the part in bytes.
        length: usize,
        /// The bytes so far.
        bytes: Vec<u8>,
    },
}

impl Part {
    fn collecting(length: usize) -> Self {
        Self::Collecting { length, bytes: Vec::with_capacity(length) }
    }
}

/// What follows each part of a frame.
pub const PART_END: &[u8] = b"\r\n";

/// Incremental decoder from bytes to frames.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: ReadBuffer,
    /// Parts of the current frame that are not decoded yet.
    parts_remaining: usize,
    /// The current part, once its length line is decoded.
    part: Option<Part>,
    parts: Vec<Vec<u8>>,
    /// Whether large parts are buffered only when granted.
    grants_large_parts: bool,
    /// Whether the current frame has had a large part.
    frame_has_large_part: bool,
}

impl Decoder {
    /// Creates a decoder that buffers a part of more than [`SMALL_PART_BYTES`] only after
    /// [`Decoder::grant_part`], and accepts one such part per frame.
    pub fn granting_large_parts() -> Self {
        Self { grants_large_parts: true, ..Self::default() }
    }

    /// Adds received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.feed(bytes);
    }

    /// Whether a frame has begun and is incomplete.
    pub fn has_partial_frame(&self) -> bool {
        self.parts_remaining > 0 || !self.bytes.unread().is_empty()
    }

    /// Returns the length of the part that awaits a grant, if one does. Nothing should be fed until then.
    pub fn awaited_grant(&self) -> Option<usize> {
        match self.part {
            Some(Part::AwaitsGrant(length)) => Some(length),
            Some(Part::Collecting { .. }) | None => None,
        }
    }

    /// Allows the awaited part to be buffered.
    pub fn grant_part(&mut self) {
        if let Some(length) = self.awaited_grant() {
            self.part = Some(Part::collecting(length));
        }
    }

    /// Returns how many bytes to feed next, at most: the rest of a granted part, or a few for the next length
    /// lines and small parts.
    pub fn read_limit(&self) -> usize {
        match &self.part {
            Some(Part::Collecting { length, bytes }) if *length > SMALL_PART_BYTES => {
                (length + CRLF.len() - bytes.len()).saturating_sub(self.bytes.unread().len()).max(1)
            }
            Some(_) | None => SMALL_READ_BYTES,
        }
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

    fn begin_part(&mut self, length: usize) -> Result<Part, ProtocolError> {
        if !self.grants_large_parts || length <= SMALL_PART_BYTES {
            return Ok(Part::collecting(length));
        }
        if std::mem::replace(&mut self.frame_has_large_part, true) {
            return Err(ProtocolError("frame with more than one large part"));
        }
        Ok(Part::AwaitsGrant(length))
    }

    /// Moves received bytes to the current part. Returns the part once it is complete.
    fn collect_part(&mut self) -> Result<Option<Vec<u8>>, ProtocolError> {
        let Some(Part::Collecting { length, bytes }) = &mut self.part else { return Ok(None) };
        let missing = *length - bytes.len();
        let received = self.bytes.unread();
        let received = &received[..received.len().min(missing)];
        bytes.extend_from_slice(received);
        self.bytes.advance(received.len());
        if bytes.len() < *length {
            return Ok(None);
        }
        let Some(end) = self.bytes.unread().first_chunk::<2>() else { return Ok(None) };
        if end != CRLF {
            return Err(ProtocolError("bulk string without final CRLF"));
        }
        let part = std::mem::take(bytes);
        self.bytes.advance(CRLF.len());
        Ok(Some(part))
    }

    /// Returns the next complete frame, if there is one.
    pub fn next_frame(&mut self) -> Result<Option<Vec<Vec<u8>>>, ProtocolError> {
        loop {
            if self.part.is_some() {
                let Some(part) = self.collect_part()? else { return Ok(None) };
                self.parts.push(part);
                self.part = None;
                self.parts_remaining -= 1;
                if self.parts_remaining == 0 {
                    self.frame_has_large_part = false;
                    return Ok(Some(std::mem::take(&mut self.parts)));
                }
            } else if self.parts_remaining > 0 {
                let Some(length) = self.read_length_line(b'$', MAX_PART_BYTES)? else { return Ok(None) };
                self.part = Some(self.begin_part(length)?);
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

/// Encodes one frame up to the content of its last part, which is this long. The content and [`PART_END`] must
/// follow.
pub fn frame_head(parts: &[&[u8]], last_part_bytes: usize) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len() + 1).into_bytes();
    for part in parts {
        push_part(&mut out, part);
    }
    out.extend_from_slice(format!("${last_part_bytes}\r\n").as_bytes());
    out
}

fn push_part(out: &mut Vec<u8>, part: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(PART_END);
}

/// Encodes one frame.
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        push_part(&mut out, part);
    }
    out
}
