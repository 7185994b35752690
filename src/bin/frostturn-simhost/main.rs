//! Hosts routers on the simulator's wire: reads batches of events on standard input, gives each
//! instance its own, and writes one reply a batch.

#![forbid(unsafe_code)]

mod wire;

use frostturn::api::{Action, Event, ListEntry};
use frostturn::config::ParseError;
use frostturn::Router;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use wire::Fields;

/// One router and the names of its classes, which the wire uses in place of their numbers.
struct Instance {
    router: Router,
    classes: HashMap<String, usize>,
}

/// An inventory page, and how many of its rows are still to come.
#[derive(Default)]
struct Page {
    number: u64,
    rows_to_come: u64,
}

#[derive(Default)]
struct Host {
    now: f64,
    instances: BTreeMap<u64, Instance>,
    pages: HashMap<u64, Vec<ListEntry>>,
    filling: Page,
    actions: Vec<Action>,
    reply: String,
}

impl Host {
    /// Reads one line; true at the end of a batch, when the reply is complete.
    fn line(&mut self, line: &str) -> Result<bool, ParseError> {
        let mut fields = Fields::new(line);
        let Some(name) = fields.optional() else { return Ok(false) };
        match name {
            "BATCH" => self.now = fields.number("AtTimeMs")?,
            "COMMIT" => {
                self.reply.push_str("YIELD\n");
                return Ok(true);
            }
            "INVENTORY" => {
                self.filling = Page { number: fields.whole("Page")?, rows_to_come: fields.whole("Entries")? };
                self.pages.insert(self.filling.number, Vec::new());
            }
            "ROW" => {
                if self.filling.rows_to_come == 0 {
                    return Err("a row outside an inventory".to_owned());
                }
                self.filling.rows_to_come -= 1;
                let entry = wire::row(fields)?;
                self.pages.entry(self.filling.number).or_default().push(entry);
            }
            "SPAWN" => {
                let number = fields.whole("I")?;
                let seed = fields.whole("InitSeed")?;
                let settings = wire::settings(fields)?;
                let classes =
                    settings.classes.iter().enumerate().map(|(at, class)| (class.name.clone(), at)).collect();
                let router = Router::new(settings, seed, self.now);
                self.instances.insert(number, Instance { router, classes });
            }
            "DOWN" => {
                self.instances.remove(&fields.whole("I")?);
            }
            "MEMBERSHIP" => {
                let number = fields.whole("I")?;
                let (mode, page) = wire::membership(fields)?;
                let entries = page.and_then(|page| self.pages.get(&page)).cloned().unwrap_or_default();
                self.handle(number, Event::List { mode, entries });
            }
            "CALL" | "RESULT" | "WAKE" | "FIRST" | "DROPPED" | "ECHO" | "OUTDATED" => {
                let number = fields.whole("I")?;
                let Some(instance) = self.instances.get(&number) else { return Ok(false) };
                let class = |name: &str| instance.classes.get(name).copied().unwrap_or(usize::MAX);
                if let Some(event) = wire::event(name, fields, class)? {
                    self.handle(number, event);
                }
            }
            _ => {}
        }
        Ok(false)
    }

    fn handle(&mut self, number: u64, event: Event) {
        let Some(instance) = self.instances.get_mut(&number) else { return };
        instance.router.handle(self.now, event, &mut self.actions);
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
        if input.read_until(b'\n', &mut bytes).map_err(|e| format!("reading: {e}"))? == 0 {
            break;
        }
        let text = std::str::from_utf8(&bytes).map_err(|_| format!("line {number}: not UTF-8"))?;
        let line = text.trim_end_matches(['\n', '\r']);
        if host.line(line).map_err(|reason| format!("line {number}: {reason}"))? {
            output
                .write_all(host.reply.as_bytes())
                .and_then(|()| output.flush())
                .map_err(|e| format!("writing: {e}"))?;
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
