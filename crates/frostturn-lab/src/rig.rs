//! Several real routers, a relay on every link between them, and what can be done to each.

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

/// A test that waits for a state gives up after this: no bound on how fast it is, only on how long the test may hang.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// One router of the fleet.
#[derive(Debug)]
pub struct Slot {
    /// Its name.
    pub name: String,
    /// Its process, if one runs.
    pub process: Option<Daemon>,
    /// Where it hears the others.
    pub listen: SocketAddr,
    operator: PathBuf,
    /// Where clients connect, over all its processes.
    pub address: Option<SocketAddr>,
    /// Logs of all its processes so far.
    pub logs: Vec<PathBuf>,
}

/// A fleet.
#[derive(Debug)]
pub struct Rig {
    /// Boxes, parent, origin and discovery.
    pub site: Site,
    /// The links.
    pub relays: Relays,
    /// The routers.
    pub slots: Vec<Slot>,
    program: Option<PathBuf>,
    seed: u64,
}

impl Rig {
    /// A site of `boxes` boxes and a fleet of `routers` routers, none of which runs yet. `times`: forms that stand in
    /// each operator's file beside the peers.
    pub fn new(
        boxes: usize,
        routers: usize,
        times: &str,
        program: Option<PathBuf>,
        seed: u64,
        setup: &Setup,
    ) -> Result<Self, String> {
        let io = |e: std::io::Error| format!("the fleet's links: {e}");
        let site = Site::start(boxes, setup)?;
        // Ports that are free: held until all are known, so that no two are alike, and on an address where nobody else
        // binds, so that they stay free until the routers run, and while one of them doesn't.
        let held: Vec<UdpSocket> = (0..routers)
            .map(|_| UdpSocket::bind(site.world.loopback.any_port()))
            .collect::<Result<_, _>>()
            .map_err(io)?;
        let listens: Vec<SocketAddr> =
            held.iter().map(UdpSocket::local_addr).collect::<Result<_, _>>().map_err(io)?;
        let relays = Relays::start(&listens, seed).map_err(io)?;
        drop(held);
        let mut slots = Vec::new();
        for (at, listen) in listens.into_iter().enumerate() {
            let mut text = format!("(frostturn (fleet (name \"lab\") (listen \"{listen}\") {times}\n");
            for other in 0..routers {
                if let Some(address) = relays.address(at, other) {
                    let _ = writeln!(text, "  (peer \"n{other}\" \"{address}\")");
                    // A String takes all that is written to it.
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

    /// Starts one router's process, or another one beside that which runs, which is given back. `fleet`: with its
    /// operator's file.
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

    /// Starts all that don't run, and waits until they serve.
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

    /// One that doesn't run will listen there from its next start on.
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

    /// Ends one at once.
    pub fn kill(&mut self, at: usize) {
        self.slots[at].process = None;
    }

    /// Stops one, or lets it go on.
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

    /// Sets all links for which `which` says so, from and to.
    pub fn set_links(&self, link: Link, which: impl Fn(usize, usize) -> bool) {
        let mut links = self.relays.links();
        for (from, row) in links.iter_mut().enumerate() {
            for (to, one) in row.iter_mut().enumerate().filter(|(to, _)| which(from, *to)) {
                let _ = to;
                *one = link;
            }
        }
    }

    /// What one says of the fleet; none: it doesn't answer, or another process speaks for it.
    pub fn view(&self, at: usize) -> Option<View> {
        let ops = self.slots[at].process.as_ref()?.ops?;
        match call(ops, &Call::Fleet) {
            Ok(Answer::Accepted(text)) => serde_json::from_str(&text).ok(),
            _ => None,
        }
    }

    /// Waits until something is so; an error says what was waited for, and how all routers saw the fleet at the end.
    pub fn wait_until(&self, what: &str, so: impl Fn(&Self) -> bool) -> Result<(), String> {
        let until = Instant::now() + WAIT_TIMEOUT;
        while !so(self) {
            if Instant::now() > until {
                let mut shown = String::new();
                for at in 0..self.slots.len() {
                    let _ = write!(shown, "\n{at}: {:?}", self.view(at)); // As above.
                }
                return Err(format!("waited in vain until {what}{shown}"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Whether one has this standing.
    pub fn has_status(&self, at: usize, standing: &str) -> bool {
        self.view(at).is_some_and(|view| view.me.standing == standing)
    }

    /// Whether `at` sees each of the others as it is told.
    pub fn sees(&self, at: usize, others: &[usize], state: frostturn::fleet::State) -> bool {
        let Some(view) = self.view(at) else { return false };
        let named = |other: &&usize| {
            view.members.iter().any(|m| m.name == self.slots[**other].name && m.state == state)
        };
        others.iter().filter(|other| **other != at).filter(named).count()
            == others.iter().filter(|o| **o != at).count()
    }

    /// All lines that one's processes have written so far.
    pub fn log(&self, at: usize) -> String {
        self.slots[at].logs.iter().map(|log| std::fs::read_to_string(log).unwrap_or_default()).collect()
    }
}
