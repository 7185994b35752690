//! The notice board's socket: one poll after the other. What they bring is [`crate::discovery`]'s.

use super::socket::{dial, Io};
use super::{Runtime, Source};
use crate::clock::UnixTime;
use crate::log_line;
use crate::reducer::Input;
use std::rc::Rc;

impl Runtime {
    /// A poll is due, or the one that is out has taken too long.
    pub(super) fn poll_board(&mut self) {
        if self.watch.poll_outstanding() {
            self.board_failed("no answer in time");
            if self.watch.next_poll_at > self.now() {
                return;
            }
        }
        let now = self.now();
        let bytes = self.watch.poll(now, self.board_at);
        if let Some((_, out)) = &mut self.board {
            *out = bytes;
        } else {
            match dial(&self.board_at.into()) {
                Ok(stream) => {
                    let sock = self.watch(Rc::new(stream), Source::Board, false);
                    self.board = Some((sock, bytes));
                }
                Err(e) => return self.board_failed(&format!("cannot be dialled: {e}")),
            }
        }
        self.dirty.insert(Source::Board);
    }

    pub(super) fn serve_board(&mut self) {
        let now = self.now();
        match self.write_board() {
            Ok(()) | Err(Io::Blocked) => {}
            Err(Io::Starved) => self.starve(Source::Board),
            Err(Io::Closed | Io::Broken) => return self.board_failed("broken"),
        }
        while let Some((sock, _)) = self.board.as_mut().filter(|(sock, _)| sock.readable) {
            let (bytes, eof) = match sock.read(&mut self.buffer) {
                Ok(bytes) => (bytes, false),
                Err(Io::Closed) => (0, true),
                Err(Io::Broken) => return self.board_failed("broken"),
                Err(Io::Blocked) => return,
                Err(Io::Starved) => return self.starve(Source::Board),
            };
            let waiting = self.watch.poll_outstanding();
            let fed = if waiting { self.watch.feed(now, &self.buffer[..bytes], eof) } else { Ok(None) };
            let stray = match fed {
                Ok(Some(news)) => {
                    let unix = UnixTime::now();
                    let inputs = news.events.into_iter().map(|notice| Input::DiscoveryEvent { notice, unix });
                    self.inbox.extend(inputs);
                    for doubt in &news.problems {
                        log_line!("an event of the board can't be read, and is taken as narrowly as can be: {doubt}");
                    }
                    news.unexpected_data
                }
                Ok(None) => !waiting && bytes > 0,
                Err(why) => return self.board_failed(&why),
            };
            if stray {
                // It would be taken for the answer to the next poll.
                self.reducer.counters.watch_faults += 1;
                log_line!("the board says more than it was asked for: its connection ends");
                return self.drop_board();
            }
            if eof {
                if self.watch.poll_outstanding() {
                    return self.board_failed("closed");
                }
                return self.drop_board();
            }
        }
    }

    /// Writes what there is of a poll.
    fn write_board(&mut self) -> Result<(), Io> {
        let Some((sock, out)) = &mut self.board else { return Ok(()) };
        while !out.is_empty() && sock.writable {
            let bytes = sock.write(out)?;
            out.drain(..bytes);
        }
        Ok(())
    }

    pub(super) fn drop_board(&mut self) {
        if let Some((sock, _)) = self.board.take() {
            self.drop_sock(&sock);
        }
    }

    /// The poll has failed: what is known stands, and it is resumed from the last event.
    pub(super) fn board_failed(&mut self, why: &str) {
        self.drop_board();
        self.reducer.counters.watch_faults += 1;
        log_line!("the board's poll failed: {why}");
        let now = self.now();
        self.watch.poll_failed(now);
    }
}
