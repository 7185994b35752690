//! Bytes that have come and are not yet read: the part that the codecs share.

/// Room that is kept where nothing is left unread.
const KEPT: usize = 16 * 1024;

/// Bytes in the order in which they came.
#[derive(Debug, Default)]
pub struct ReadBuffer {
    bytes: Vec<u8>,
    at: usize,
}

impl ReadBuffer {
    /// Takes bytes in, and lets go of those that were read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.drain(..std::mem::take(&mut self.at));
        self.bytes.extend_from_slice(bytes);
    }

    /// What is not yet read.
    pub fn unread(&self) -> &[u8] {
        &self.bytes[self.at..]
    }

    /// So much of it has been read. Room that one burst took isn't kept: there are hundreds of these.
    pub fn advance(&mut self, bytes: usize) {
        self.at = (self.at + bytes).min(self.bytes.len());
        if self.at == self.bytes.len() {
            self.at = 0;
            self.bytes.clear();
            if self.bytes.capacity() > KEPT {
                self.bytes = Vec::new();
            }
        }
    }
}
