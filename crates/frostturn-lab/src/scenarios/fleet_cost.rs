//! The cost of a large fleet for one real router. The daemon runs with 299 other routers, which are the
//! daemon's own pure state machines on sockets of this process, and next to it a daemon without a fleet,
//! both without load.

use super::Options;
use crate::daemon::{Daemon, Start};
use crate::fleet::audit::boot_ms;
use crate::report::{Bound, Report};
use crate::site::Site;
use frostturn::fleet::{Effect, Fleet, PeerAddress, Settings};
use std::fmt::Write;
use std::net::{SocketAddr, UdpSocket};
use std::thread;
use std::time::Duration;

const ROUTERS: usize = 300;
/// Time until all routers know each other, and the duration of the measurement, in ms.
const FORMATION_MS: f64 = 8000.0;
const MEASURED_MS: f64 = 20_000.0;
/// Memory of a router on the platform, in MB.
const MEMORY_MB: f64 = 32.0;

struct Peer {
    fleet: Fleet,
    socket: UdpSocket,
}

impl Peer {
    fn play(&mut self, buffer: &mut [u8]) {
        while let Ok(bytes) = self.socket.recv(buffer) {
            let _ = self.fleet.receive(boot_ms(), &buffer[..bytes]); // The fleet counts rejected datagrams.
        }
        if self.fleet.next_deadline() <= boot_ms() {
            self.fleet.tick(boot_ms());
        }
        for effect in self.fleet.take_effects() {
            if let Effect::Send { to, bytes } = effect {
                let _ = self.socket.send_to(&bytes, to); // A full buffer drops the datagram, as a network would.
            }
        }
    }
}

/// Creates the other routers and the daemon's operator's file.
fn others(listen: SocketAddr, seed: u64) -> Result<(Vec<Peer>, String), String> {
    let io = |e: std::io::Error| format!("sockets of the other routers: {e}");
    let sockets: Vec<UdpSocket> =
        (1..ROUTERS).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<Result<_, _>>().map_err(io)?;
    let mut at = vec![listen];
    for socket in &sockets {
        socket.set_nonblocking(true).map_err(io)?;
        at.push(socket.local_addr().map_err(io)?);
    }
    let mut text = format!("(frostturn (fleet (name \"lab\") (listen \"{listen}\")\n");
    for (one, address) in at.iter().enumerate().skip(1) {
        let _ = writeln!(text, "  (peer \"n{one}\" \"{address}\")"); // Writing into a String can't fail.
    }
    let mut peers = Vec::new();
    for (one, socket) in (1..).zip(sockets) {
        let mut set = Settings::new("lab", at[one]);
        let rest = at.iter().enumerate().filter(|(other, _)| *other != one);
        set.peers = rest.map(|(other, at)| PeerAddress { name: format!("n{other}"), address: *at }).collect();
        let fleet = Fleet::new(set, &format!("n{one}"), 1_800_000_000_000, boot_ms(), seed + one as u64)?;
        peers.push(Peer { fleet, socket });
    }
    Ok((peers, text + "))\n"))
}

/// Measures both daemons.
pub fn run(options: &Options) -> Result<Report, String> {
    let io = |e: std::io::Error| format!("listen address or operator's file: {e}");
    let site = Site::start(2, &options.setup())?;
    let listen =
        UdpSocket::bind(site.world.loopback.any_port()).and_then(|held| held.local_addr()).map_err(io)?;
    let (mut peers, text) = others(listen, options.seed)?;
    let operator = site.dir.join("fleet.scm");
    std::fs::write(&operator, text).map_err(io)?;
    let start = |operator| {
        Daemon::start(&Start {
            dir: &site.dir,
            program: options.daemon.as_deref(),
            operator,
            discovery: site.discovery.address,
            known: site.discovery.known(),
            seed: options.seed,
            name: "n0",
            instances: ROUTERS,
            shared_listener: None,
            deadline_scale: 1.0,
            environment: &site.environment,
        })
    };
    let (with, without) = (start(Some(operator.as_path()))?, start(None)?);
    let mut buffer = vec![0; 2048];
    let mut play = |until: f64| {
        while boot_ms() < until {
            peers.iter_mut().for_each(|peer| peer.play(&mut buffer));
            thread::sleep(Duration::from_millis(1));
        }
    };
    let began = boot_ms();
    play(began + FORMATION_MS);
    let before = [with.resource_usage().0, without.resource_usage().0];
    play(began + FORMATION_MS + MEASURED_MS);
    let after = [with.resource_usage(), without.resource_usage()];
    let cpu = [0, 1].map(|at| (after[at].0 - before[at]) / (MEASURED_MS / 1e3));
    let alive = peers[0].fleet.count_by_state()[1].1;
    let mb = after.map(|(_, kb)| kb as f64 / 1e3);
    println!(
        "CPU, ms per second: {:.1} with the fleet, {:.1} without; peak memory, MB: {:.1} and {:.1}",
        cpu[0], cpu[1], mb[0], mb[1]
    );
    let bounds = vec![
        Bound::most("memory_mb", mb[0], MEMORY_MB),
        // Ensures that the whole fleet was measured: another router sees all as alive, the daemon included.
        Bound::most("not_alive", (ROUTERS - 1 - alive) as f64, 0.0),
    ];
    Ok(Report { scenario: "fleet-cost", seed: options.seed, bounds, memory_mb: mb[0], ..Report::default() })
}
