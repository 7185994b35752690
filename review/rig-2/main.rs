//! Stand-ins and cases of the second review. Standard library only; built by `review/build-2.sh`.
//!
//! `rig CASE FOLDER` plays one case and writes `FOLDER/record.txt`. It exits with 1 if the rule of the case was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves out the disruption.

mod board;
mod case_drain_reader;
mod case_hang_repeat;
mod case_purge_outage;
mod case_upload_flood;
mod fastcgi;
mod front;
mod router;
mod shelf;

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

/// The Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64() * 1000.0)
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn new(folder: &str) -> std::io::Result<Self> {
        let file = File::create(format!("{folder}/record.txt"))?;
        Ok(Self { file: Arc::new(Mutex::new(file)), start: Instant::now() })
    }

    /// Writes one line with the time since the start of the case, in milliseconds.
    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:10.1} {}", text.as_ref());
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        let _ = writeln!(std::io::stdout(), "{}", text.as_ref());
        self.line(text);
    }
}

/// What a case has seen.
pub enum Verdict {
    Held,
    Broken,
}

/// Why a case could not run.
pub type Failed = String;

/// The surroundings of a case.
pub struct Setup {
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
    /// A temporary folder of this run.
    pub temp: std::path::PathBuf,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("rig CASE FOLDER");
        std::process::exit(2);
    };
    let Ok(record) = Record::new(folder) else {
        eprintln!("cannot write {folder}/record.txt");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temp = std::env::temp_dir().join(format!("frostturn-review-2-{}", std::process::id()));
    if let Err(e) = std::fs::create_dir_all(&temp) {
        eprintln!("cannot create {}: {e}", temp.display());
        std::process::exit(2);
    }
    let setup = Setup { record: record.clone(), trouble, temp: temp.clone() };
    {
        let (record, temp) = (record.clone(), temp.clone());
        std::thread::spawn(move || {
            std::thread::sleep(LIMIT);
            record.say("the case took too long");
            end(2, &temp);
        });
    }
    record.line(format!("case {case}, trouble {}", if trouble { "on" } else { "off" }));
    let outcome = match case.as_str() {
        "upload-flood" => case_upload_flood::run(&setup),
        "drain-reader" => case_drain_reader::run(&setup),
        "hang-repeat" => case_hang_repeat::run(&setup),
        "purge-outage" => case_purge_outage::run(&setup),
        _ => Err(format!("no such case: {case}")),
    };
    let code = match outcome {
        Ok(Verdict::Held) => {
            record.say("result: the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.say("result: the rule was broken");
            1
        }
        Err(why) => {
            record.say(format!("result: the case could not run: {why}"));
            2
        }
    };
    end(code, &temp);
}

/// Ends all processes that the case has started, removes its folder and exits.
fn end(code: i32, temp: &std::path::Path) -> ! {
    router::kill_all();
    let _ = std::fs::remove_dir_all(temp);
    std::process::exit(code);
}
