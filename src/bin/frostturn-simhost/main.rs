//! Runs routers under the simulator: reads batches of events from standard input, passes each event to its
//! router instance, and writes one reply per batch to standard output.

#![forbid(unsafe_code)]

mod wire;

use frostturn::api::{Action, Event, ListEntry};
use frostturn::config::ParseError;
use frostturn::Router;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::Fields;

/// A router and the indices of its classes, which the protocol refers to by name.
struct Instance {
    router: Router,
    classes: HashMap<String, usize>,
}

/// The inventory page that is being read, and the number of its rows that are still to come.
#[derive(Default)]
struct OpenPage {
    number: u64,
    rows_left: u64,
}

/// All router instances, the inventory pages, and the reply to the current batch.
#[derive(Default)]
struct Host {
    now_ms: f64,
    instances: BTreeMap<u64, Instance>,
    pages: HashMap<u64, Vec<ListEntry>>,
    open_page: OpenPage,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Handles one line. Returns true at the end of a batch, when the reply is complete.
    fn handle_line(&mut self, line: &str) -> Result<bool, ParseError> {
        let mut fields = Fields::new(line);
        let Some(name) = fields.optional() else { return Ok(false) };
        match name {
            "BATCH" => self.now_ms = fields.number("AtTimeMs")?,
            "COMMIT" => {
                self.reply.push_str("YIELD\n");
                return Ok(true);
            }
            "INVENTORY" => {
                self.open_page =
                    OpenPage { number: fields.whole("Page")?, rows_left: fields.whole("Entries")? };
                self.pages.insert(self.open_page.number, Vec::new());
            }
            "ROW" => {
                if self.open_page.rows_left == 0 {
                    return Err("a row outside an inventory".to_owned());
                }
                self.open_page.rows_left -= 1;
                let entry = wire::row(fields)?;
                self.pages.entry(self.open_page.number).or_default().push(entry);
            }
            "SPAWN" => {
                let number = fields.whole("I")?;
                let seed = fields.whole("InitSeed")?;
                let settings = wire::settings(fields)?;
                let classes = settings
                    .classes
                    .iter()
                    .enumerate()
                    .map(|(index, class)| (class.name.clone(), index))
                    .collect();
                let router = Router::new(settings, seed, self.now_ms);
                self.instances.insert(number, Instance { router, classes });
            }
            "DOWN" => {
                self.instances.remove(&fields.whole("I")?);
            }
            "MEMBERSHIP" => {
                let number = fields.whole("I")?;
                let (mode, page) = wire::membership(fields)?;
                let entries = page.and_then(|page| self.pages.get(&page)).cloned().unwrap_or_default();
                self.handle_event(number, Event::List { mode, entries });
            }
            "CALL" | "RESULT" | "WAKE" | "FIRST" | "DROPPED" | "ECHO" | "OUTDATED" => {
                let number = fields.whole("I")?;
                let Some(instance) = self.instances.get(&number) else { return Ok(false) };
                let class = |name: &str| instance.classes.get(name).copied().unwrap_or(usize::MAX);
                if let Some(event) = wire::event(name, fields, class)? {
                    self.handle_event(number, event);
                }
            }
            _ => {}
        }
        Ok(false)
    }

    /// Passes an event to an instance and appends its actions to the reply.
    fn handle_event(&mut self, number: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&number) else { return };
        instance.router.handle(self.now_ms, event, &mut self.actions);
        for action in self.actions.drain(..) {
            wire::action(&mut self.reply, number, &action);
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = BufWriter::new(io::stdout().lock());
    let mut host = Host::default();
    let mut bytes = Vec::new();
    for number in 1_u64.. {
        bytes.clear();
        if input.read_until(b'\n', &mut bytes).map_err(|e| format!("cannot read standard input: {e}"))? == 0 {
            break;
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| format!("line {number}: not valid UTF-8"))?;
        let line = text.trim_end_matches(['\n', '\r']);
        if host.handle_line(line).map_err(|reason| format!("line {number}: {reason}"))? {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("cannot write to standard output: {e}"))?;
            host.reply.clear();
        }
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("frostturn-simhost: {reason}");
            ExitCode::FAILURE
        }
    }
}
