//! Operators' sockets: accepted, read, answered and let go. What a call means is the reducer's.

use super::socket::{listen, register, Io, Sock};
use super::{Runtime, Source};
use crate::errno::{self, ErrorClass};
use crate::log_line;
use crate::ops::control::Place;
use crate::ops::{self, MAX_CALLERS, WHOLE_MS};
use crate::reducer::Input;
use calloop::{Interest, LoopHandle};
use socket2::{Domain, SockAddr, Socket, Type};
use std::net::Shutdown;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::rc::Rc;
use std::{fs, io};

/// One caller.
pub(super) struct Caller {
    sock: Sock,
    bytes: Vec<u8>,
    out: Vec<u8>,
    /// Its call is with the reducer, or answered.
    asked: bool,
    /// It was refused and may still be sending: closed at once, a reset would overtake the answer.
    lingers: bool,
    since: f64,
}

impl Runtime {
    /// Takes operators' connections; where there are too many, the one that has waited longest goes.
    pub(super) fn accept_callers(&mut self) {
        (0..self.ops_places.len()).for_each(|at| self.accept_callers_at(at));
    }

    fn accept_callers_at(&mut self, at: usize) {
        loop {
            let stream = match self.ops_places[at].listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) => match errno::classify(&e) {
                    ErrorClass::WouldBlock => return,
                    ErrorClass::Interrupted => continue,
                    // No readiness will tell of those that still wait.
                    ErrorClass::Peer | ErrorClass::Unreachable | ErrorClass::Shortage => {
                        return self.starve(Source::Callers);
                    }
                },
            };
            if stream.set_nonblocking(true).is_err() {
                continue; // It could hold everything up.
            }
            let sock = self.watch(Rc::new(stream), Source::Caller(self.next_caller + 1), true);
            if self.callers.len() >= MAX_CALLERS {
                if let Some(oldest) = self.callers.keys().next().copied() {
                    self.close_caller(oldest);
                }
            }
            self.next_caller += 1;
            let caller = Caller {
                sock,
                bytes: Vec::new(),
                out: Vec::new(),
                asked: false,
                lingers: false,
                since: self.now(),
            };
            self.callers.insert(self.next_caller, caller);
            self.dirty.insert(Source::Caller(self.next_caller));
        }
    }

    pub(super) fn caller_sock(&mut self, key: u64) -> Option<&mut Sock> {
        self.callers.get_mut(&key).map(|caller| &mut caller.sock)
    }

    /// Reads a call and writes its answer.
    pub(super) fn serve_caller(&mut self, key: u64) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        let mut heard = None;
        while caller.sock.readable && (!caller.asked || caller.lingers) {
            match caller.sock.read(&mut self.buffer[..ops::MAX_CALL]) {
                Ok(_) if caller.lingers => continue,
                Ok(bytes) => caller.bytes.extend_from_slice(&self.buffer[..bytes]),
                Err(Io::Closed | Io::Broken) => return self.close_caller(key),
                Err(Io::Blocked) => break,
                Err(Io::Starved) => {
                    self.starve(Source::Caller(key));
                    break;
                }
            }
            match ops::read(&caller.bytes) {
                Ok(None) => {}
                Ok(Some(call)) => {
                    caller.asked = true;
                    heard = Some(call);
                }
                Err(refusal) => {
                    (caller.asked, caller.lingers) = (true, true);
                    caller.out = ops::answer(Err(refusal));
                }
            }
        }
        if heard == Some(ops::Call::Fleet) {
            let page = self.fleet_page();
            return self.answer_caller(key, page);
        }
        if let Some(call) = heard {
            // What another process was told meanwhile holds here too, before a word is said of it.
            self.take_state();
            self.inbox.push(Input::Operator { caller: key, call });
        }
        self.write_caller(key);
    }

    /// The reducer has its verdict, or what is to be told.
    pub(super) fn answer_caller(&mut self, key: u64, answer: Vec<u8>) {
        if let Some(caller) = self.callers.get_mut(&key) {
            caller.out = answer;
            self.write_caller(key);
        }
    }

    fn write_caller(&mut self, key: u64) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        while !caller.out.is_empty() && caller.sock.writable {
            match caller.sock.write(&caller.out) {
                Ok(bytes) => {
                    caller.out.drain(..bytes);
                    if caller.out.is_empty() {
                        if caller.lingers && caller.sock.stream.shutdown(Shutdown::Write).is_ok() {
                            return; // Until it closes, or the sweep lets it go.
                        }
                        return self.close_caller(key);
                    }
                }
                Err(Io::Closed | Io::Broken) => return self.close_caller(key),
                Err(Io::Blocked) => return,
                Err(Io::Starved) => return self.starve(Source::Caller(key)),
            }
        }
    }

    /// Lets go of callers that finish no call.
    pub(super) fn sweep_callers(&mut self, now: f64) {
        let late = self.callers.iter().filter(|(_, caller)| now - caller.since > 2.0 * WHOLE_MS);
        let late: Vec<u64> = late.map(|(key, _)| *key).collect();
        late.into_iter().for_each(|key| self.close_caller(key));
    }

    pub(super) fn close_caller(&mut self, key: u64) {
        if let Some(caller) = self.callers.remove(&key) {
            self.drop_sock(&caller.sock);
        }
    }

    /// Where operators call is told, a line a place.
    pub(super) fn say_ops(&self) {
        for place in &self.ops_places {
            log_line!("operators call at {}", place.at);
        }
    }
}

/// One place where operators call.
pub(super) struct Called {
    listener: Rc<Socket>,
    at: Place,
    /// The Unix socket's file, by its number: another process may have put its own there since.
    inode: Option<u64>,
}

impl Called {
    /// Listens there. A Unix socket is this user's alone; it replaces what an earlier process left, whole, so that a
    /// caller finds the old or the new one.
    pub(super) fn listen(handle: &LoopHandle<'static, Runtime>, at: Place) -> io::Result<Self> {
        let (listener, at, inode) = match at {
            Place::Tcp(address) => {
                let listener = listen(address)?;
                let at = Place::Tcp(listener.local_addr()?);
                (Rc::new(Socket::from(listener)), at, None)
            }
            Place::Unix(path) => {
                let mut part = path.clone().into_os_string();
                part.push(format!(".{}", std::process::id()));
                let _ = fs::remove_file(&part); // Of a process that died and had the same number.
                let listener = Socket::new(Domain::UNIX, Type::STREAM, None)?;
                listener.set_nonblocking(true)?;
                listener.bind(&SockAddr::unix(&part)?)?;
                fs::set_permissions(&part, fs::Permissions::from_mode(0o600))?;
                listener.listen(MAX_CALLERS as i32)?;
                let inode = fs::metadata(&part)?.ino();
                fs::rename(&part, &path)?;
                (Rc::new(listener), Place::Unix(path), Some(inode))
            }
        };
        register(handle, listener.clone(), Source::Callers, Interest::READ)?;
        Ok(Self { listener, at, inode })
    }
}

impl Drop for Called {
    /// A socket's file is taken away with it, if it is still this process's.
    fn drop(&mut self) {
        if let Place::Unix(path) = &self.at {
            if fs::metadata(path).is_ok_and(|there| Some(there.ino()) == self.inode) {
                let _ = fs::remove_file(path); // It may have gone just now.
            }
        }
    }
}
