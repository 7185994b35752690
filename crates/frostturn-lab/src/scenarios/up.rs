//! A first demonstration: a small site served for some seconds.

use super::Options;
use crate::clients;
use crate::report::Report;
use crate::site::Site;

/// Serves four boxes, a parent and the origin with 400 requests a second.
pub fn run(options: &Options) -> Result<Report, String> {
    let site = Site::start(4, &options.setup())?;
    println!("stand-ins are running; discovery service at {}", site.discovery.address);
    let daemon = site.daemon(options.daemon.as_deref(), options.plain, options.seed)?;
    println!("frostturn serves on {}", daemon.address);
    let (rate, seconds) = (options.rate.unwrap_or(400.0), options.seconds.unwrap_or(5.0));
    let load = clients::run(&site.world, daemon.address, rate, seconds * 1e3, options.seed);
    let (report, _, ended) = site.finish("up", options.seed, daemon, &load);
    ended.map(|()| report)
}
