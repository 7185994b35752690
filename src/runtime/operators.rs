//! Sockets of the operators' HTTP interface: accepting, reading, answering and closing. The reducer executes
//! the calls.

use super::socket::{listen, register, IoStatus, PolledSocket};
use super::{Runtime, Source};
use crate::errno::{self, ErrorClass};
use crate::log_line;
use crate::ops::control::OpsAddress;
use crate::ops::{self, CALL_TIMEOUT_MS, MAX_CALLERS};
use crate::reducer::Input;
use calloop::{Interest, LoopHandle};
use socket2::{Domain, SockAddr, Socket, Type};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::rc::Rc;
use std::{fs, io};

/// A connection of an operator.
pub(super) struct Caller {
    socket: PolledSocket,
    input: Vec<u8>,
    output: Vec<u8>,
    /// The call has been read whole: it is with the reducer, or answered.
    received: bool,
    /// When the connection was accepted, in milliseconds of the monotonic clock.
    accepted_at: f64,
}

impl Runtime {
    /// Accepts connections of operators; while there are too many, closes the oldest one.
    pub(super) fn accept_callers(&mut self) {
        (0..self.operator_listeners.len()).for_each(|at| self.accept_callers_at(at));
    }

    fn accept_callers_at(&mut self, at: usize) {
        loop {
            let stream = match self.operator_listeners[at].listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) => match errno::classify(&e) {
                    ErrorClass::WouldBlock => return,
                    ErrorClass::Interrupted => continue,
                    // No readiness event will follow for the connections that are still queued.
                    ErrorClass::Peer | ErrorClass::Unreachable | ErrorClass::Shortage => {
                        return self.defer_for_shortage(Source::Callers);
                    }
                },
            };
            if stream.set_nonblocking(true).is_err() {
                continue; // A blocking socket could stall the event loop.
            }
            let socket = self.register_socket(Rc::new(stream), Source::Caller(self.last_caller + 1), true);
            if self.callers.len() >= MAX_CALLERS {
                if let Some(oldest) = self.callers.keys().next().copied() {
                    self.close_caller(oldest);
                }
            }
            self.last_caller += 1;
            let caller = Caller {
                socket,
                input: Vec::new(),
                output: Vec::new(),
                received: false,
                accepted_at: self.now(),
            };
            self.callers.insert(self.last_caller, caller);
            self.runnable.insert(Source::Caller(self.last_caller));
        }
    }

    /// Returns the socket of an operator's connection.
    pub(super) fn caller_socket(&mut self, key: u64) -> Option<&mut PolledSocket> {
        self.callers.get_mut(&key).map(|caller| &mut caller.socket)
    }

    /// Reads a call and writes its answer.
    pub(super) fn serve_caller(&mut self, key: u64) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        let mut complete = None;
        while caller.socket.readable && !caller.received {
            match caller.socket.read(&mut self.buffer[..ops::MAX_CALL_BYTES]) {
                Ok(bytes) => caller.input.extend_from_slice(&self.buffer[..bytes]),
                Err(IoStatus::Closed | IoStatus::Broken) => return self.close_caller(key),
                Err(IoStatus::Blocked) => break,
                Err(IoStatus::Shortage) => {
                    self.defer_for_shortage(Source::Caller(key));
                    break;
                }
            }
            match ops::read(&caller.input) {
                Ok(None) => {}
                Ok(Some(call)) => {
                    caller.received = true;
                    complete = Some(call);
                }
                Err(refusal) => {
                    caller.received = true;
                    caller.output = ops::answer(Err(refusal));
                }
            }
        }
        if complete == Some(ops::Call::Fleet) {
            let response = self.fleet_response();
            return self.answer_caller(key, response);
        }
        if let Some(call) = complete {
            // Changes saved by another process meanwhile must be in effect before the call is answered.
            self.sync_state();
            self.inbox.push(Input::Operator { caller: key, call });
        }
        self.write_caller(key);
    }

    /// Sends the answer to a call.
    pub(super) fn answer_caller(&mut self, key: u64, answer: Vec<u8>) {
        if let Some(caller) = self.callers.get_mut(&key) {
            caller.output = answer;
            self.write_caller(key);
        }
    }

    fn write_caller(&mut self, key: u64) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        while !caller.output.is_empty() && caller.socket.writable {
            match caller.socket.write(&caller.output) {
                Ok(bytes) => {
                    caller.output.drain(..bytes);
                    if caller.output.is_empty() {
                        return self.close_answered_caller(key);
                    }
                }
                Err(IoStatus::Closed | IoStatus::Broken) => return self.close_caller(key),
                Err(IoStatus::Blocked) => return,
                Err(IoStatus::Shortage) => return self.defer_for_shortage(Source::Caller(key)),
            }
        }
    }

    /// Closes connections on which no call has been completed in time.
    pub(super) fn sweep_callers(&mut self, now: f64) {
        let expired =
            self.callers.iter().filter(|(_, caller)| now - caller.accepted_at > 2.0 * CALL_TIMEOUT_MS);
        let expired: Vec<u64> = expired.map(|(key, _)| *key).collect();
        expired.into_iter().for_each(|key| self.close_caller(key));
    }

    /// Closes an operator's connection after its answer. The operator may still be sending, and a reset could
    /// cost it the answer.
    fn close_answered_caller(&mut self, key: u64) {
        if let Some(caller) = self.callers.remove(&key) {
            self.linger(Source::Caller(key), caller.socket);
        }
    }

    /// Closes an operator's connection.
    pub(super) fn close_caller(&mut self, key: u64) {
        if let Some(caller) = self.callers.remove(&key) {
            self.close_socket(&caller.socket);
        }
    }

    /// Logs the addresses of the operators' interface, one line each.
    pub(super) fn log_operator_listeners(&self) {
        for listener in &self.operator_listeners {
            log_line!("operators call at {}", listener.address);
        }
    }
}

/// A listening socket of the operators' interface.
pub(super) struct OperatorListener {
    listener: Rc<Socket>,
    address: OpsAddress,
    /// The inode of the Unix socket's file, as another process may have replaced the file since.
    inode: Option<u64>,
}

impl OperatorListener {
    /// Starts listening. A Unix socket is accessible to this user only, and atomically replaces the file of
    /// an earlier process, so that a caller finds either the old or the new one.
    pub(super) fn listen(handle: &LoopHandle<'static, Runtime>, address: OpsAddress) -> io::Result<Self> {
        let (listener, address, inode) = match address {
            OpsAddress::Tcp(address) => {
                let listener = listen(address)?;
                let address = OpsAddress::Tcp(listener.local_addr()?);
                (Rc::new(Socket::from(listener)), address, None)
            }
            OpsAddress::Unix(path) => {
                let mut part = path.clone().into_os_string();
                part.push(format!(".{}", std::process::id()));
                let _ = fs::remove_file(&part); // It may be left from a process that had the same id.
                let listener = Socket::new(Domain::UNIX, Type::STREAM, None)?;
                listener.set_nonblocking(true)?;
                listener.bind(&SockAddr::unix(&part)?)?;
                fs::set_permissions(&part, fs::Permissions::from_mode(0o600))?;
                listener.listen(MAX_CALLERS as i32)?;
                let inode = fs::metadata(&part)?.ino();
                fs::rename(&part, &path)?;
                (Rc::new(listener), OpsAddress::Unix(path), Some(inode))
            }
        };
        register(handle, listener.clone(), Source::Callers, Interest::READ)?;
        Ok(Self { listener, address, inode })
    }
}

impl Drop for OperatorListener {
    /// Removes the Unix socket's file, if it still belongs to this process.
    fn drop(&mut self) {
        if let OpsAddress::Unix(path) = &self.address {
            if fs::metadata(path).is_ok_and(|found| Some(found.ino()) == self.inode) {
                let _ = fs::remove_file(path); // It may have been replaced or removed just now.
            }
        }
    }
}
