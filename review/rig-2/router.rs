//! A router as the platform starts it: by the `run` line of the deploy file, from the root, with its configuration.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

static STARTED: Mutex<Vec<Child>> = Mutex::new(Vec::new());

extern "C" {
    fn prctl(option: i32, argument: u64, a: u64, b: u64, c: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Kills every process that was started, by its id, and waits for its end.
pub fn kill_all() {
    for child in STARTED.lock().unwrap().iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// What differs between configurations.
pub struct Config {
    pub name: String,
    pub board: SocketAddr,
    /// The events up to now.
    pub known: String,
    /// The settings, as JSON.
    pub settings: String,
    pub memory_mb: u32,
    pub sockets: u32,
    pub listen: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
}

impl Config {
    pub fn json(&self) -> String {
        let ops = self.ops.map_or(String::new(), |ops| format!(r#""ops":"{ops}","#));
        format!(
            r#"{{"name":"{}","listen":"{}",{ops}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"board":"{}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{},"settings":{}}}"#,
            self.name, self.listen, self.memory_mb, self.sockets, self.board, self.known, self.settings
        )
    }
}

/// Returns a loopback address with a free port.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Makes an operator's call; returns the status.
pub fn call(ops: SocketAddr, method: &str, path: &str) -> std::io::Result<u16> {
    let mut stream = std::net::TcpStream::connect(ops)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: router\r\nContent-Length: 0\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
}

/// A running router.
pub struct Router {
    pub pid: i32,
    pub address: SocketAddr,
    pub log: std::path::PathBuf,
}

impl Router {
    /// Starts a router and waits until `/alive` answers 200.
    pub fn start(folder: &Path, config: &Config) -> Result<Self, String> {
        let deploy =
            std::fs::read_to_string("deploy/balancer.toml").map_err(|e| format!("deploy file: {e}"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.split('"').next());
        let run = run.ok_or("the deploy file has no run line")?.to_owned();
        let path = folder.join(format!("{}.json", config.name));
        std::fs::write(&path, config.json()).map_err(|e| e.to_string())?;
        let temp = folder.join(format!("{}-tmp", config.name));
        std::fs::create_dir_all(&temp).map_err(|e| e.to_string())?;
        let log = folder.join(format!("{}.log", config.name));
        let file = std::fs::File::create(&log).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).env("PROXY_NAME", &config.name).env("PROXY_CONFIG", &path);
        command.env("PROXY_LISTEN", config.listen.to_string()).env("TMPDIR", &temp);
        for name in ["PROXY_OPS", "FROSTTURN_OPERATOR", "FROSTTURN_LOG", "FROSTTURN_LOG_LEVEL"] {
            command.env_remove(name);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(file);
        // The router ends with this process, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().map_err(|e| format!("cannot start the router: {e}"))?;
        let pid = child.id() as i32;
        STARTED.lock().unwrap().push(child);
        let router = Self { pid, address: config.listen, log };
        let until = Instant::now() + Duration::from_secs(20);
        while !crate::front::is_alive(router.address) {
            if Instant::now() > until || router.has_ended() {
                return Err(format!("the router did not become ready: {}", router.log_text()));
            }
            crate::sleep_ms(20);
        }
        Ok(router)
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn has_ended(&self) -> bool {
        let mut started = STARTED.lock().unwrap();
        let child = started.iter_mut().find(|child| child.id() as i32 == self.pid);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }
}

/// The settings of a site.
pub struct Site {
    pub classes: &'static str,
    /// The fresh times of the classes, and which of them run at the origin.
    pub fresh: &'static str,
    pub uncached: &'static str,
    pub notice_ms: u32,
    pub bypass: bool,
    pub joins: bool,
    pub detail: &'static str,
    pub siblings: &'static str,
}

/// `norte-rotas`.
pub const NORTE: Site = Site {
    classes: r#"[{"Name":"training-video","Repeat":"retryable","DedupScope":"all","DedupWindowMs":5000.0,"AimMs":400.0,"AimStretch":1.6,"HardLimitMs":5000.0,"LateWorth":0.15,"Stream":false,"Worth":2.0},
{"Name":"rota-page","Repeat":"retryable","DedupScope":"all","DedupWindowMs":5000.0,"AimMs":250.0,"AimStretch":2.0,"HardLimitMs":3000.0,"LateWorth":0.2,"Stream":false,"Worth":1.0},
{"Name":"shift-swap","Repeat":"fragile","DedupScope":"all","DedupWindowMs":5000.0,"AimMs":700.0,"HardLimitMs":3000.0,"LateWorth":0.0,"Stream":false,"Worth":3.0}]"#,
    fresh: "[0.0,0.0,0.0]",
    uncached: "[false,false,true]",
    notice_ms: 1000,
    bypass: true,
    joins: false,
    detail: "all",
    siblings: "any",
};

/// `cuentas-valle`.
pub const VALLE: Site = Site {
    classes: r#"[{"Name":"guide-video","Repeat":"retryable","DedupScope":"all","DedupWindowMs":5000.0,"AimMs":500.0,"AimStretch":1.6,"HardLimitMs":6000.0,"LateWorth":0.15,"Stream":false,"Worth":2.0},
{"Name":"forms-pages","Repeat":"retryable","DedupScope":"all","DedupWindowMs":5000.0,"AimMs":300.0,"AimStretch":2.0,"HardLimitMs":2500.0,"LateWorth":0.2,"Stream":false,"Worth":1.0},
{"Name":"ledger-filing","Repeat":"fragile","DedupScope":"all","DedupWindowMs":5000.0,"AimMs":600.0,"HardLimitMs":3000.0,"LateWorth":0.0,"Stream":false,"Worth":3.0}]"#,
    fresh: "[0.0,5000.0,0.0]",
    uncached: "[false,false,true]",
    notice_ms: 500,
    bypass: false,
    joins: true,
    detail: "hit",
    siblings: "location",
};

impl Site {
    /// The settings as nested JSON, with the names and figures of the site.
    pub fn settings(&self) -> String {
        let Self { classes, fresh, uncached, notice_ms, bypass, joins, detail, siblings } = self;
        format!(
            r#"{{"Az":"edge-1","Localities":["hub-1","hub-2","edge-1","edge-2"],"MachineTypes":["standard","parent","origin"],"Me":0,"Instances":2,"Layer":0,"Tiers":["caches"],"TickMs":2.0,"Discovery":"push","Family":"edge","Weights":"rough","WorthBy":"request",
"FamilyInfo":{{"BypassAllowed":{bypass},"Detail":"{detail}","GoneEverywhereMs":6000.0,"GoodForMs":{fresh},"StaleForMs":[0.0,0.0,0.0],"StaleEarns":[0.7,0.7,0.7],"Uncached":{uncached},"InPieces":[false,false,false],"InstancesByZone":[0,0,1,1],"ZoneHub":[0,1,0,1],"Joins":{joins},"LinkInKbPerS":[0.0,0.0,0.0,0.0],"LinkPrice":0.02,"MasterKind":2,"SecondTierKind":1,"NoticeTimeMs":{notice_ms}.0,"OneFlowKbPerS":9500.0,"OriginBearsMs":3000.0,"OriginStopsAt":2.5,"ParentColdFrom":0.064,"UpperColdMs":21000.0,"UpperFallMultiple":2.0,"Sideways":"{siblings}"}},
"Guarantees":{{"AskWithinMs":10000.0,"ColdFrom":0.17,"ColdMs":16000.0,"FallMultiple":2.5,"GraceToAnswerMs":8.0,"OverloadForMs":3000.0,"StopSendingWithinMs":1000.0}},
"Limits":{{"Cancelling":true,"ConnIdleMs":30000.0,"DialTimeoutMs":400.0,"MaxOpen":24320,"MaxRetryAfterMs":1000.0,"MayTell":false,"MostTries":6,"Probes":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":100}},
"ClientHabits":{{"MarksRetry":true}},"Stats":{{"Fields":["util","x1"],"Source":"pull"}},"RequestClasses":{classes}}}"#
        )
    }
}
