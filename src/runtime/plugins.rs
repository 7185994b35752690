//! Plug-ins' files: read, compiled and rehearsed on a thread of their own, so that requests don't wait for it.

use super::Runtime;
use crate::log_line;
use crate::plugins::engine::MAX_PROGRAM;
use crate::plugins::{Loaded, Spec};
use calloop::channel::{self, Event, Sender};
use std::fmt::Write;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

/// What a loading thread has come to.
pub(super) struct Ready {
    /// All names, in order.
    order: Vec<String>,
    loaded: Vec<Loaded>,
    /// Those that can't be used, and why.
    failed: Vec<(String, String)>,
    /// Which reload it is of: a later one's result goes before an earlier one's.
    turn: u64,
}

/// The bytes of a program, read whole.
pub fn read_program(path: &Path) -> Result<Arc<[u8]>, String> {
    let shown = path.display();
    let file = std::fs::File::open(path).map_err(|e| format!("{shown}: {e}"))?;
    let before = file.metadata().and_then(|data| data.modified());
    let mut bytes = Vec::new();
    (&file).take(MAX_PROGRAM as u64 + 1).read_to_end(&mut bytes).map_err(|e| format!("{shown}: {e}"))?;
    if bytes.len() > MAX_PROGRAM {
        return Err(format!("{shown}: more than {MAX_PROGRAM} bytes"));
    }
    // One that is written while it is read may be half of each.
    let after = file.metadata().and_then(|data| data.modified());
    match (before, after) {
        (Ok(before), Ok(after)) if before != after => Err(format!("{shown}: it changed while it was read")),
        _ => Ok(bytes.into()),
    }
}

fn load(spec: &Spec, views: &[Vec<u8>]) -> Result<Loaded, String> {
    let program = read_program(&spec.file)?;
    let mut loaded = Loaded::new(spec.clone(), program.clone()).map_err(|fault| fault.to_string())?;
    loaded.rehearse(views).map_err(|fault| format!("over {} recorded views: {fault}", views.len()))?;
    // What it learned from the rehearsal was learned twice.
    Loaded::new(spec.clone(), program).map_err(|fault| fault.to_string())
}

impl Runtime {
    /// Has the plug-ins of an operator's file loaded. What is there goes on until then.
    pub(super) fn load_plugins(&mut self, specs: Vec<Spec>) {
        let now = self.now();
        self.plugin_turn += 1;
        if specs.is_empty() {
            return self.reducer.set_plugins(now, &[], Vec::new());
        }
        let Some(sender) = self.plugin_sender() else { return };
        let views = self.reducer.plugins().map_or(Vec::new(), |plugins| plugins.recorded());
        let turn = self.plugin_turn;
        std::thread::spawn(move || {
            let order = specs.iter().map(|spec| spec.name.clone()).collect();
            let mut ready = Ready { order, loaded: Vec::new(), failed: Vec::new(), turn };
            for spec in specs {
                match load(&spec, &views) {
                    Ok(loaded) => ready.loaded.push(loaded),
                    Err(why) => ready.failed.push((spec.name, why)),
                }
            }
            // Nobody waits for it any more only when the process ends.
            let _ = sender.send(ready);
        });
    }

    /// Writes the latest views of requests, a line of hex digits each, whole or not at all.
    pub(super) fn write_views(&self) {
        let (Some(path), Some(plugins)) = (&self.record, self.reducer.plugins()) else { return };
        let mut text = String::new();
        for view in plugins.recorded() {
            view.iter().for_each(|byte| {
                let _ = write!(text, "{byte:02x}");
            });
            text.push('\n');
        }
        let part = path.with_extension("part");
        let shown = path.display();
        match std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, path)) {
            Ok(()) => log_line!(always; "the latest views are in {shown}"),
            Err(e) => log_line!(always; "the latest views can't be written to {shown}: {e}"),
        }
    }

    /// Where loading threads tell what they have come to.
    fn plugin_sender(&mut self) -> Option<Sender<Ready>> {
        if self.plugin_ready.is_none() {
            let (sender, receiver) = channel::channel();
            let taken = self.handle.insert_source(receiver, |event, &mut (), state: &mut Runtime| {
                if let Event::Msg(ready) = event {
                    state.plugins_ready(ready);
                }
            });
            match taken {
                Ok(_) => self.plugin_ready = Some(sender),
                Err(e) => log_line!("plug-ins can't be loaded: {e}"),
            }
        }
        self.plugin_ready.clone()
    }

    fn plugins_ready(&mut self, ready: Ready) {
        if ready.turn != self.plugin_turn {
            return;
        }
        let now = self.now();
        for (name, why) in &ready.failed {
            log_line!(always; { plugin = %name } "plug-in {name} is not taken, an old version stays: {why}");
        }
        let names: Vec<&str> = ready.loaded.iter().map(|one| one.spec.name.as_str()).collect();
        if !names.is_empty() {
            log_line!(always; "plug-ins taken: {}", names.join(", "));
        }
        self.reducer.set_plugins(now, &ready.order, ready.loaded);
    }
}
