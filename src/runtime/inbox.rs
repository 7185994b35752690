//! The queue of inputs for the reducer.

use crate::reducer::Input;
use std::collections::VecDeque;

/// The queue of inputs for the reducer.
#[derive(Debug, Default)]
pub struct Inbox {
    queue: VecDeque<Input>,
    /// Memory of the requests in the queue.
    request_bytes: usize,
}

impl Inbox {
    /// Adds an input. The progress of an attempt goes to the front: otherwise an attempt cancelled by a
    /// queued input could be taken for unsent although it was sent. A client's close or abort removes the
    /// client's queued requests, which the reducer has not seen, so that nothing is sent or dialled for them.
    pub fn push(&mut self, input: Input) {
        match input {
            Input::Progressed { .. } => return self.queue.push_front(input),
            Input::ConnectionClosed { conn } => self.remove_requests(conn),
            Input::Aborted { key: aborted } => {
                let same =
                    |other: &Input| matches!(other, Input::RequestReceived { key, .. } if *key == aborted);
                if let Some(at) = self.queue.iter().position(same) {
                    let removed = self.queue.remove(at);
                    self.request_bytes -= removed.as_ref().map_or(0, request_bytes);
                    return;
                }
            }
            _ => {}
        }
        self.request_bytes += request_bytes(&input);
        self.queue.push_back(input);
    }

    /// Removes the requests of a client connection.
    fn remove_requests(&mut self, conn: u64) {
        self.queue.retain(|other| {
            !matches!(other, Input::RequestReceived { key, .. } | Input::Health { key } if key.conn == conn)
        });
        self.request_bytes = self.queue.iter().map(request_bytes).sum();
    }

    /// Returns the memory of requests that the reducer has not seen, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Removes and returns the next input.
    pub fn pop(&mut self) -> Option<Input> {
        let input = self.queue.pop_front()?;
        self.request_bytes -= request_bytes(&input);
        Some(input)
    }
}

/// Returns the memory of the request in an input, in bytes.
fn request_bytes(input: &Input) -> usize {
    match input {
        Input::RequestReceived { request: Ok(request), .. } => request.memory_bytes(),
        _ => 0,
    }
}

impl Extend<Input> for Inbox {
    fn extend<T: IntoIterator<Item = Input>>(&mut self, inputs: T) {
        inputs.into_iter().for_each(|input| self.push(input));
    }
}
