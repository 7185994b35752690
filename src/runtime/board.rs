//! The socket to the discovery service, which carries one long poll after the other. [`crate::discovery`]
//! builds the polls and parses the responses.

use super::socket::{dial, IoStatus};
use super::{Runtime, Source};
use crate::clock::UnixTime;
use crate::log_line;
use crate::reducer::Input;
use std::rc::Rc;

impl Runtime {
    /// Sends the next poll. Called when it is due, or when the outstanding poll has timed out.
    pub(super) fn poll_discovery(&mut self) {
        if self.discovery_watch.poll_outstanding() {
            self.discovery_failed("no answer in time");
            if self.discovery_watch.next_poll_at > self.now() {
                return;
            }
        }
        let now = self.now();
        let bytes = self.discovery_watch.poll(now, self.discovery_address);
        if let Some((_, output)) = &mut self.discovery {
            *output = bytes;
        } else {
            match dial(&self.discovery_address.into()) {
                Ok(stream) => {
                    let socket = self.register_socket(Rc::new(stream), Source::Board, false);
                    self.discovery = Some((socket, bytes));
                }
                Err(e) => return self.discovery_failed(&format!("cannot connect: {e}")),
            }
        }
        self.runnable.insert(Source::Board);
    }

    /// Writes the rest of a poll and reads its response.
    pub(super) fn serve_discovery(&mut self) {
        let now = self.now();
        match self.write_discovery() {
            Ok(()) | Err(IoStatus::Blocked) => {}
            Err(IoStatus::Shortage) => self.defer_for_shortage(Source::Board),
            Err(IoStatus::Closed | IoStatus::Broken) => return self.discovery_failed("broken"),
        }
        while let Some((socket, _)) = self.discovery.as_mut().filter(|(socket, _)| socket.readable) {
            let (bytes, eof) = match socket.read(&mut self.buffer) {
                Ok(bytes) => (bytes, false),
                Err(IoStatus::Closed) => (0, true),
                Err(IoStatus::Broken) => return self.discovery_failed("broken"),
                Err(IoStatus::Blocked) => return,
                Err(IoStatus::Shortage) => return self.defer_for_shortage(Source::Board),
            };
            let waiting = self.discovery_watch.poll_outstanding();
            let response =
                if waiting { self.discovery_watch.feed(now, &self.buffer[..bytes], eof) } else { Ok(None) };
            let stray = match response {
                Ok(Some(received)) => {
                    let unix = UnixTime::now();
                    let inputs = received
                        .events
                        .into_iter()
                        .map(|notice| Input::DiscoveryEvent { event: notice, unix });
                    self.inbox.extend(inputs);
                    for problem in &received.problems {
                        log_line!("malformed discovery event, interpreted restrictively: {problem}");
                    }
                    received.unexpected_data
                }
                Ok(None) => !waiting && bytes > 0,
                Err(why) => return self.discovery_failed(&why),
            };
            if stray {
                // The extra bytes would be read as the response to the next poll.
                self.reducer.counters.watch_faults += 1;
                log_line!("unsolicited data from the discovery service; closing the connection");
                return self.close_discovery();
            }
            if eof {
                if self.discovery_watch.poll_outstanding() {
                    return self.discovery_failed("closed");
                }
                return self.close_discovery();
            }
        }
    }

    /// Writes as much of the pending poll as the socket accepts.
    fn write_discovery(&mut self) -> Result<(), IoStatus> {
        let Some((socket, output)) = &mut self.discovery else { return Ok(()) };
        while !output.is_empty() && socket.writable {
            let bytes = socket.write(output)?;
            output.drain(..bytes);
        }
        Ok(())
    }

    /// Closes the connection to the discovery service.
    pub(super) fn close_discovery(&mut self) {
        if let Some((socket, _)) = self.discovery.take() {
            self.close_socket(&socket);
        }
    }

    /// Handles a failed poll. The list of machines stays as it is, and polling resumes from the last event
    /// received.
    pub(super) fn discovery_failed(&mut self, why: &str) {
        self.close_discovery();
        self.reducer.counters.watch_faults += 1;
        log_line!("discovery poll failed: {why}");
        let now = self.now();
        self.discovery_watch.poll_failed(now);
    }
}
