//! A fleet of real routers with a relay on every link, and the operations on each.

use crate::daemon::{call, Daemon, SharedListener, Start};
use crate::relay::{Link, Relays};
use crate::site::{Setup, Site};
use frostturn::fleet::View;
use frostturn::ops::control::Answer;
use frostturn::ops::Call;
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// Time limit for reaching an expected state. It bounds how long a test may hang, not how fast the state is
/// reached.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// One router of the fleet.
#[derive(Debug)]
pub struct Slot {
    /// Its name.
    pub name: String,
    /// Its process, if running.
    pub process: Option<Daemon>,
    /// Address on which it receives the others' datagrams.
    pub listen: SocketAddr,
    operator: PathBuf,
    /// Address for clients, shared by all its processes.
    pub address: Option<SocketAddr>,
    /// Logs of all its processes so far.
    pub logs: Vec<PathBuf>,
}

/// A fleet.
#[derive(Debug)]
pub struct Rig {
    /// Boxes, parent, origin and discovery service.
    pub site: Site,
    /// The links.
    pub relays: Relays,
    /// The routers.
    pub slots: Vec<Slot>,
    program: Option<PathBuf>,
    seed: u64,
}

impl Rig {
    /// Creates a site of `boxes` boxes and a fleet of `routers` routers, none of them started. `times` are
    /// forms that each operator's file has beside the peers.
    pub fn new(
        boxes: usize,
        routers: usize,
        times: &str,
        program: Option<PathBuf>,
        seed: u64,
        setup: &Setup,
    ) -> Result<Self, String> {
        let io = |e: std::io::Error| format!("cannot set up the fleet: {e}");
        let site = Site::start(boxes, setup)?;
        // Free ports: bound until all are known, so that no two are equal, and on a reserved address, so
        // that they stay free until the routers start and while one of them is down.
        let reserved: Vec<UdpSocket> = (0..routers)
            .map(|_| UdpSocket::bind(site.world.loopback.any_port()))
            .collect::<Result<_, _>>()
            .map_err(io)?;
        let listens: Vec<SocketAddr> =
            reserved.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>().map_err(io)?;
        let relays = Relays::start(&listens, seed).map_err(io)?;
        drop(reserved);
        let mut slots = Vec::new();
        for (at, listen) in listens.into_iter().enumerate() {
            let mut text = format!("(frostturn (fleet (name \"lab\") (listen \"{listen}\") {times}\n");
            for other in 0..routers {
                if let Some(address) = relays.address(at, other) {
                    let _ = writeln!(text, "  (peer \"n{other}\" \"{address}\")");
                    // Writing into a String can't fail.
                }
            }
            text.push_str("))\n");
            let operator = site.dir.join(format!("fleet{at}.scm"));
            std::fs::write(&operator, text).map_err(io)?;
            slots.push(Slot {
                name: format!("n{at}"),
                process: None,
                listen,
                operator,
                address: None,
                logs: Vec::new(),
            });
        }
        Ok(Self { site, relays, slots, program, seed })
    }

    /// Starts a process of a router. Returns the process that ran before, which goes on beside the new one.
    /// `fleet`: with the operator's file.
    pub fn spawn(&mut self, at: usize, fleet: bool, wait: bool) -> Result<Option<Daemon>, String> {
        let instances = self.slots.len();
        let slot = &mut self.slots[at];
        let number = (at + 1) * 1000 + slot.logs.len();
        let listen = slot.address.unwrap_or(self.site.world.loopback.any_port());
        let start = Start {
            dir: &self.site.dir,
            program: self.program.as_deref(),
            operator: fleet.then_some(&*slot.operator),
            discovery: self.site.discovery.address,
            known: self.site.discovery.known(),
            seed: self.seed.wrapping_add(number as u64),
            name: &slot.name,
            instances,
            shared_listener: Some(SharedListener { listen, number }),
            deadline_scale: 1.0,
            environment: &self.site.environment,
        };
        let new = if wait { Daemon::start(&start)? } else { Daemon::spawn(&start)? };
        slot.logs.push(new.log.clone());
        if wait {
            slot.address = Some(new.address);
        }
        Ok(slot.process.replace(new))
    }

    /// Starts all routers that are not running, and waits until they serve.
    pub fn start_all(&mut self, fleet: bool) -> Result<(), String> {
        for at in 0..self.slots.len() {
            if self.slots[at].process.is_none() {
                self.spawn(at, fleet, false)?;
            }
        }
        for slot in &mut self.slots {
            if let Some(process) = &mut slot.process {
                process.wait_until_ready(true)?;
                slot.address = Some(process.address);
            }
        }
        Ok(())
    }

    /// Changes the listen address of a router that is not running; its next start uses the new one.
    pub fn move_to(&mut self, at: usize, listen: SocketAddr) -> Result<(), String> {
        let slot = &mut self.slots[at];
        let io = |e: std::io::Error| format!("{}: {e}", slot.operator.display());
        let text = std::fs::read_to_string(&slot.operator).map_err(io)?;
        let text = text.replace(&format!("(listen \"{}\")", slot.listen), &format!("(listen \"{listen}\")"));
        std::fs::write(&slot.operator, text).map_err(io)?;
        self.relays.set_listen_address(at, listen);
        self.slots[at].listen = listen;
        Ok(())
    }

    /// Kills a router.
    pub fn kill(&mut self, at: usize) {
        self.slots[at].process = None;
    }

    /// Suspends or resumes a router.
    pub fn pause(&self, at: usize, stops: bool) {
        let Some(process) = &self.slots[at].process else { return };
        if stops {
            process.suspend();
        } else {
            process.resume();
        }
    }

    /// Sets the link of an ordered pair.
    pub fn set_link(&self, from: usize, to: usize, link: Link) {
        self.relays.links()[from][to] = link;
    }

    /// Sets all links for which `which` returns true, by sender and receiver.
    pub fn set_links(&self, link: Link, which: impl Fn(usize, usize) -> bool) {
        let mut links = self.relays.links();
        for (from, row) in links.iter_mut().enumerate() {
            for (to, one) in row.iter_mut().enumerate().filter(|(to, _)| which(from, *to)) {
                let _ = to;
                *one = link;
            }
        }
    }

    /// Returns a router's view of the fleet; `None`: it doesn't answer, or another process speaks for it.
    pub fn view(&self, at: usize) -> Option<View> {
        let ops = self.slots[at].process.as_ref()?.ops?;
        match call(ops, &Call::Fleet) {
            Ok(Answer::Accepted(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }

    /// Waits until a condition holds. The error gives the description and how all routers saw the fleet at
    /// the end.
    pub fn wait_until(&self, what: &str, condition: impl Fn(&Self) -> bool) -> Result<(), String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !condition(self) {
            if Instant::now() > until {
                let mut shown = String::new();
                for at in 0..self.slots.len() {
                    let _ = write!(shown, "\n{at}: {:?}", self.view(at)); // Writing into a String can't fail.
                }
                return Err(format!("timed out waiting until {what}{shown}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Returns whether a router has this quorum status.
    pub fn has_status(&self, at: usize, status: &str) -> bool {
        self.view(at).is_some_and(|view| view.me.standing == status)
    }

    /// Returns whether router `at` sees each of the others in this state.
    pub fn sees(&self, at: usize, others: &[usize], state: frostturn::fleet::State) -> bool {
        let Some(view) = self.view(at) else { return false };
        let named = |other: &&usize| {
            view.members.iter().any(|m| m.name == self.slots[**other].name && m.state == state)
        };
        others.iter().filter(|other| **other != at).filter(named).count()
            == others.iter().filter(|o| **o != at).count()
    }

    /// Returns all log lines of a router's processes so far.
    pub fn log(&self, at: usize) -> String {
        self.slots[at].logs.iter().map(|log| std::fs::read_to_string(log).unwrap_or_default()).collect()
    }
}
