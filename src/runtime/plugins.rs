//! Loading of plug-ins: reading, compiling and rehearsing them on a separate thread, so that requests don't
//! wait.

use super::Runtime;
use crate::log_line;
use crate::plugins::engine::MAX_PROGRAM_BYTES;
use crate::plugins::{Loaded, Spec};
use calloop::channel::{self, Event, Sender};
use std::fmt::Write;
use std::io::Read;
use std::path::Path;
use std::sync::Arc;

/// The result of loading the plug-ins of one configuration.
pub(super) struct LoadResult {
    /// The names of all plug-ins, in the configured order.
    order: Vec<String>,
    loaded: Vec<Loaded>,
    /// Plug-ins that can't be used, with the error.
    failed: Vec<(String, String)>,
    /// The number of the load; only the result of the latest one is applied.
    load: u64,
}

/// Reads the program of a plug-in. Fails if it is too large or changes while it is read.
pub fn read_program(path: &Path) -> Result<Arc<[u8]>, String> {
    let name = path.display();
    let file = std::fs::File::open(path).map_err(|e| format!("{name}: {e}"))?;
    let before = file.metadata().and_then(|data| data.modified());
    let mut bytes = Vec::new();
    (&file).take(MAX_PROGRAM_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(|e| format!("{name}: {e}"))?;
    if bytes.len() > MAX_PROGRAM_BYTES {
        return Err(format!("{name}: more than {MAX_PROGRAM_BYTES} bytes"));
    }
    // A file that is written meanwhile may be read half old and half new.
    let after = file.metadata().and_then(|data| data.modified());
    match (before, after) {
        (Ok(before), Ok(after)) if before != after => Err(format!("{name}: changed while being read")),
        _ => Ok(bytes.into()),
    }
}

/// Loads one plug-in and rehearses it on recorded views.
fn load(spec: &Spec, views: &[Vec<u8>]) -> Result<Loaded, String> {
    let program = read_program(&spec.file)?;
    let mut loaded = Loaded::new(spec.clone(), program.clone()).map_err(|fault| fault.to_string())?;
    loaded
        .rehearse(views)
        .map_err(|fault| format!("rehearsal with {} recorded views failed: {fault}", views.len()))?;
    // A fresh instance, as the rehearsal has changed the state of the first one.
    Loaded::new(spec.clone(), program).map_err(|fault| fault.to_string())
}

impl Runtime {
    /// Starts loading the plug-ins of the operator's file. The current ones stay in use until the result
    /// arrives.
    pub(super) fn load_plugins(&mut self, specs: Vec<Spec>) {
        let now = self.now();
        self.plugin_load += 1;
        if specs.is_empty() {
            return self.reducer.set_plugins(now, &[], Vec::new());
        }
        let Some(sender) = self.plugin_sender() else { return };
        let views = self.reducer.plugins().map_or(Vec::new(), |plugins| plugins.recorded_views());
        let load_number = self.plugin_load;
        std::thread::spawn(move || {
            let order = specs.iter().map(|spec| spec.name.clone()).collect();
            let mut result = LoadResult { order, loaded: Vec::new(), failed: Vec::new(), load: load_number };
            for spec in specs {
                match load(&spec, &views) {
                    Ok(loaded) => result.loaded.push(loaded),
                    Err(why) => result.failed.push((spec.name, why)),
                }
            }
            // The receiver is gone only when the process exits.
            let _ = sender.send(result);
        });
    }

    /// Writes the latest views of requests to the record file atomically, one line of hex digits per view.
    pub(super) fn write_views(&self) {
        let (Some(path), Some(plugins)) = (&self.view_record_path, self.reducer.plugins()) else { return };
        let mut text = String::new();
        for view in plugins.recorded_views() {
            view.iter().for_each(|byte| {
                let _ = write!(text, "{byte:02x}");
            });
            text.push('\n');
        }
        let part = path.with_extension("part");
        let name = path.display();
        match std::fs::write(&part, text).and_then(|()| std::fs::rename(&part, path)) {
            Ok(()) => log_line!(always; "wrote the latest views to {name}"),
            Err(e) => log_line!(always; "cannot write the latest views to {name}: {e}"),
        }
    }

    /// Returns the channel on which loading threads send their results, creating it on first use.
    fn plugin_sender(&mut self) -> Option<Sender<LoadResult>> {
        if self.plugin_results.is_none() {
            let (sender, receiver) = channel::channel();
            let registered = self.handle.insert_source(receiver, |event, &mut (), state: &mut Runtime| {
                if let Event::Msg(result) = event {
                    state.apply_loaded_plugins(result);
                }
            });
            match registered {
                Ok(_) => self.plugin_results = Some(sender),
                Err(e) => log_line!("cannot load plug-ins: {e}"),
            }
        }
        self.plugin_results.clone()
    }

    /// Passes loaded plug-ins to the reducer, unless a newer load has started.
    fn apply_loaded_plugins(&mut self, result: LoadResult) {
        if result.load != self.plugin_load {
            return;
        }
        let now = self.now();
        for (name, why) in &result.failed {
            log_line!(always; { plugin = %name }
                "cannot load plug-in {name}; a loaded version stays in use: {why}");
        }
        let names: Vec<&str> = result.loaded.iter().map(|loaded| loaded.spec.name.as_str()).collect();
        if !names.is_empty() {
            log_line!(always; "plug-ins taken: {}", names.join(", "));
        }
        self.reducer.set_plugins(now, &result.order, result.loaded);
    }
}
