//! The receive buffer shared by the FastCGI and RESP decoders.

/// Capacity that a buffer may keep beyond what it holds, in bytes. There are hundreds of idle connections.
pub const MAX_IDLE_CAPACITY_BYTES: usize = 1024;

/// Received bytes in order of arrival, with the position up to which they are decoded.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    position: usize,
}

impl ReadBuffer {
    /// Appends received bytes and discards those already decoded.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.position));
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the bytes that are not decoded yet.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.position..]
    }

    /// Returns the number of bytes allocated.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Releases the memory of a burst, except for the bytes that are not decoded yet.
    pub fn compact(&mut self) {
        self.bytes.drain(..std::mem::take(&mut self.position));
        if self.bytes.is_empty() {
            self.bytes = Vec::new();
        } else if self.bytes.capacity() > self.bytes.len() + MAX_IDLE_CAPACITY_BYTES {
            self.bytes.shrink_to_fit();
        }
    }

    /// Marks `bytes` bytes as decoded. Releases the memory of a burst once the buffer is empty.
    pub fn advance(&mut self, bytes: usize) {
        self.position = (self.position + bytes).min(self.bytes.len());
        if self.position == self.bytes.len() {
            self.position = 0;
            self.bytes.clear();
            if self.bytes.capacity() > MAX_IDLE_CAPACITY_BYTES {
                self.bytes = Vec::new();
            }
        }
    }
}
