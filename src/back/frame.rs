//! A frame that is queued for a machine. The body of a request may be large, and its attempts share it with the
//! request rather than copy it.

use super::wire::{encode_request, wire_limit_ms};
use crate::api::Millis;
use crate::reducer::OutgoingRequest;
use crate::resp;

/// Body size from which a body is shared, in bytes. Smaller ones are written together with what precedes them.
pub(super) const SHARED_BODY_BYTES: usize = 4 * 1024;

#[derive(Clone, Debug)]
pub(super) struct Frame {
    /// The encoded frame, or all of it that stands before a shared body.
    bytes: Vec<u8>,
    /// The attempt that this frame carries, if any: its time limit is encoded again when the frame is
    /// written.
    outgoing: Option<OutgoingRequest>,
    /// The id under which an answer is expected; `None` for STOP.
    pub(super) opens_id: Option<String>,
    /// The attempt must not be repeated, so it should not share its connection: a fault of another answer
    /// would cost it its own.
    pub(super) exclusive: bool,
    /// How often the frame was moved from a connection that closed.
    pub(super) moves: u8,
}

impl Frame {
    /// Creates the frame of an attempt.
    pub(super) fn attempt(outgoing: &OutgoingRequest) -> Self {
        Self {
            bytes: encode_request(outgoing, outgoing.fetch.timeout_ms),
            outgoing: Some(outgoing.clone()),
            opens_id: Some(outgoing.request.id.clone()),
            exclusive: outgoing.exclusive_connection,
            moves: 0,
        }
    }

    /// Creates a frame that carries no attempt.
    pub(super) fn command(bytes: Vec<u8>, opens_id: Option<String>) -> Self {
        Self { bytes, outgoing: None, opens_id, exclusive: false, moves: 0 }
    }

    /// Changes the time limit of the attempt, before any byte is written.
    pub(super) fn set_time_limit(&mut self, limit_ms: Millis) {
        if let Some(outgoing) = &self.outgoing {
            if wire_limit_ms(outgoing.fetch.timeout_ms) != wire_limit_ms(limit_ms) {
                self.bytes = encode_request(outgoing, limit_ms);
            }
        }
    }

    /// Returns the length of the encoded frame in bytes.
    pub(super) fn len(&self) -> usize {
        let shared = self.shared_body().map_or(0, |body| body.len() + resp::PART_END.len());
        self.bytes.len() + shared
    }

    /// Returns bytes to write next, of which there is at least one, once `written` bytes of the frame are
    /// written.
    pub(super) fn rest(&self, written: usize) -> &[u8] {
        let Some(at) = written.checked_sub(self.bytes.len()) else { return &self.bytes[written..] };
        let body = self.shared_body().unwrap_or_default();
        match at.checked_sub(body.len()) {
            None => &body[at..],
            Some(at) => resp::PART_END.get(at..).unwrap_or_default(),
        }
    }

    fn shared_body(&self) -> Option<&[u8]> {
        let body = &self.outgoing.as_ref()?.request.body;
        (body.len() >= SHARED_BODY_BYTES).then_some(&body[..])
    }
}
