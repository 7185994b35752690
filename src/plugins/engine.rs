//! An instance of a plug-in's program, with limits on instructions, memory, stack, advice and log lines.
//!
//! A program exports `memory`, the globals `frostturn_version` (1) and `view` (the offset of the buffer for
//! views), and any of the functions `init (len) -> code`, `request (len) -> advice`, `outcome (len)`,
//! `machines (len)` and `tick (len)`. `advice` holds the offset of the bytes in its upper half and their
//! number in the lower half; 0 means no advice. The program may import `frostturn.log (offset, len)`; nothing
//! else is accessible to it.

use super::Spec;
use frostturn_plugin_kit::{MAX_ADVICE, VERSION, VIEW_ROOM};
use std::fmt;
use wasmi::core::TrapCode;
use wasmi::errors::ErrorKind;
use wasmi::{
    Caller, CompilationMode, Config, Engine, Extern, Global, Linker, Memory, Module, StackLimits, Store,
    StoreLimits, StoreLimitsBuilder, TypedFunc, Val,
};

/// The maximum depth of nested calls.
const MAX_CALL_DEPTH: usize = 256;
/// The maximum number of values on the stack.
const MAX_STACK_VALUES: usize = 16 * 1024;
/// The fuel that a log line costs, so that a call can't flood the log.
const LINE_FUEL: u64 = 4000;
/// The maximum length of a log line in bytes.
const MAX_LINE_BYTES: usize = 200;
/// The fuel for a start, in multiples of the fuel for a call.
const START_FUEL_CALLS: u64 = 10;
/// The maximum size of a program in bytes.
pub const MAX_PROGRAM_BYTES: usize = 1 << 20;

/// A function of a plug-in that the router calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hook {
    /// A request is to be routed.
    Request,
    /// An attempt has ended.
    Outcome,
    /// The list of machines has changed.
    Machines,
    /// A second has passed.
    Tick,
}

/// Why a plug-in can't be loaded, or a call of it failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The program can't be compiled or instantiated, or lacks a required export.
    InvalidProgram(String),
    /// Its `init` returned this code instead of 0.
    InitFailed(i32),
    /// The call trapped.
    Trap(String),
    /// The call used up its fuel.
    OutOfFuel,
    /// The advice is malformed, outside the memory or too long.
    Malformed,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidProgram(why) => write!(f, "invalid program: {why}"),
            Self::InitFailed(code) => write!(f, "init failed with {code}"),
            Self::Trap(why) => write!(f, "trapped: {why}"),
            Self::OutOfFuel => f.write_str("fuel budget exceeded"),
            Self::Malformed => f.write_str("malformed advice"),
        }
    }
}

/// The data of the host side of an instance.
struct Host {
    limits: StoreLimits,
    lines: Vec<String>,
}

/// A running program.
pub struct Instance {
    store: Store<Host>,
    memory: Memory,
    /// The offset of the buffer for views.
    view: usize,
    request: Option<TypedFunc<i32, i64>>,
    /// The hooks without a result: `outcome`, `machines` and `tick`.
    notifications: [Option<TypedFunc<i32, ()>>; 3],
}

impl fmt::Debug for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Instance").field("view", &self.view).finish_non_exhaustive()
    }
}

fn invalid(why: impl fmt::Display) -> Fault {
    Fault::InvalidProgram(why.to_string())
}

fn call_fault(e: wasmi::Error) -> Fault {
    match (e.kind(), e.as_trap_code()) {
        (_, Some(TrapCode::OutOfFuel)) => Fault::OutOfFuel,
        (ErrorKind::TrapCode(code), _) => Fault::Trap(code.trap_message().to_owned()),
        _ => Fault::Trap(e.to_string()),
    }
}

impl Instance {
    /// Compiles and starts a program, and passes it its settings.
    pub fn new(bytes: &[u8], spec: &Spec) -> Result<Self, Fault> {
        if bytes.len() > MAX_PROGRAM_BYTES {
            return Err(invalid(format_args!("more than {MAX_PROGRAM_BYTES} bytes")));
        }
        let mut config = Config::default();
        let stack =
            StackLimits::new(1024, MAX_STACK_VALUES, MAX_CALL_DEPTH).map_err(|_| invalid("stack limits"))?;
        config.consume_fuel(true).compilation_mode(CompilationMode::Eager).set_stack_limits(stack);
        let engine = Engine::new(&config);
        let module = Module::new(&engine, bytes).map_err(invalid)?;
        let limits =
            StoreLimitsBuilder::new().memory_size(spec.memory).memories(1).tables(4).table_elements(10_000);
        let host = Host { limits: limits.build(), lines: Vec::new() };
        let mut store = Store::new(&engine, host);
        store.limiter(|host| &mut host.limits);
        store.set_fuel(spec.fuel * START_FUEL_CALLS).map_err(invalid)?;
        let mut linker = Linker::new(&engine);
        linker.func_wrap("frostturn", "log", log).map_err(invalid)?;
        let instance = linker
            .instantiate(&mut store, &module)
            .and_then(|ready| ready.start(&mut store))
            .map_err(invalid)?;
        let global_i32 = |store: &Store<Host>, name: &str| -> Result<i32, Fault> {
            let global: Option<Global> = instance.get_global(store, name);
            match global.map(|global| global.get(store)) {
                Some(Val::I32(value)) => Ok(value),
                _ => Err(invalid(format_args!("no exported global {name} (i32)"))),
            }
        };
        let version = global_i32(&store, "frostturn_version")?;
        if version != i32::from(VERSION) {
            return Err(invalid(format_args!(
                "interface version {version} is not supported, only {VERSION}"
            )));
        }
        let view = global_i32(&store, "view")? as u32 as usize;
        let memory = instance.get_memory(&store, "memory").ok_or_else(|| invalid("no exported memory"))?;
        if view.checked_add(VIEW_ROOM).is_none_or(|end| end > memory.data_size(&store)) {
            return Err(invalid(format_args!("memory has no room of {VIEW_ROOM} bytes at view")));
        }
        let notification = |store: &Store<Host>, name: &str| match instance.get_func(store, name) {
            None => Ok(None),
            Some(func) => {
                func.typed::<i32, ()>(store).map(Some).map_err(|e| invalid(format_args!("{name}: {e}")))
            }
        };
        let notifications = [
            notification(&store, "outcome")?,
            notification(&store, "machines")?,
            notification(&store, "tick")?,
        ];
        let request = match instance.get_func(&store, "request") {
            None => None,
            Some(func) => {
                Some(func.typed::<i32, i64>(&store).map_err(|e| invalid(format_args!("request: {e}")))?)
            }
        };
        if let Some(init) = instance.get_func(&store, "init") {
            let init = init.typed::<i32, i32>(&store).map_err(|e| invalid(format_args!("init: {e}")))?;
            let settings = spec.settings_text();
            if settings.len() > VIEW_ROOM {
                return Err(invalid("settings are too long"));
            }
            memory.write(&mut store, view, settings.as_bytes()).map_err(invalid)?;
            match init.call(&mut store, settings.len() as i32).map_err(call_fault)? {
                0 => {}
                code => return Err(Fault::InitFailed(code)),
            }
        }
        Ok(Self { store, memory, view, request, notifications })
    }

    /// Returns whether the plug-in has a hook.
    pub fn has(&self, hook: Hook) -> bool {
        match hook {
            Hook::Request => self.request.is_some(),
            Hook::Outcome => self.notifications[0].is_some(),
            Hook::Machines => self.notifications[1].is_some(),
            Hook::Tick => self.notifications[2].is_some(),
        }
    }

    /// Calls a hook with an amount of fuel. Returns the advice, which only `request` gives, and the fuel
    /// used.
    pub fn call(&mut self, hook: Hook, view: &[u8], fuel: u64) -> (Result<Option<Vec<u8>>, Fault>, u64) {
        let advice = self.call_with_fuel(hook, view, fuel);
        (advice, fuel.saturating_sub(self.store.get_fuel().unwrap_or(0)))
    }

    fn call_with_fuel(&mut self, hook: Hook, view: &[u8], fuel: u64) -> Result<Option<Vec<u8>>, Fault> {
        let length = view.len().min(VIEW_ROOM);
        self.store.set_fuel(fuel).map_err(invalid)?;
        self.memory.write(&mut self.store, self.view, &view[..length]).map_err(invalid)?;
        let packed = match hook {
            Hook::Request => match self.request {
                Some(request) => request.call(&mut self.store, length as i32).map_err(call_fault)?,
                None => 0,
            },
            Hook::Outcome | Hook::Machines | Hook::Tick => {
                let notification = match hook {
                    Hook::Outcome => self.notifications[0],
                    Hook::Machines => self.notifications[1],
                    _ => self.notifications[2],
                };
                if let Some(notification) = notification {
                    notification.call(&mut self.store, length as i32).map_err(call_fault)?;
                }
                0
            }
        };
        let (at, bytes) = ((packed as u64 >> 32) as usize, (packed as u64 & 0xffff_ffff) as usize);
        if bytes == 0 {
            return Ok(None);
        }
        if bytes > MAX_ADVICE {
            return Err(Fault::Malformed);
        }
        let end = at.checked_add(bytes).ok_or(Fault::Malformed)?;
        self.memory.data(&self.store).get(at..end).map(|advice| Some(advice.to_vec())).ok_or(Fault::Malformed)
    }

    /// Takes the lines that the plug-in has logged.
    pub fn take_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.store.data_mut().lines)
    }
}

/// The only import of plug-ins: logs a line for the operators, which costs fuel.
fn log(mut caller: Caller<'_, Host>, at: i32, length: i32) -> Result<(), wasmi::Error> {
    let (at, length) = (at as u32 as usize, (length as u32 as usize).min(MAX_LINE_BYTES));
    let left = caller.get_fuel()?;
    let Some(left) = left.checked_sub(LINE_FUEL) else {
        caller.set_fuel(0)?;
        return Err(TrapCode::OutOfFuel.into());
    };
    caller.set_fuel(left)?;
    let Some(Extern::Memory(memory)) = caller.get_export("memory") else { return Ok(()) };
    let bytes = at.checked_add(length).and_then(|end| memory.data(&caller).get(at..end)).map(<[u8]>::to_vec);
    let bytes = bytes.ok_or(TrapCode::MemoryOutOfBounds)?;
    let text: String = String::from_utf8_lossy(&bytes).chars().filter(|char| !char.is_control()).collect();
    caller.data_mut().lines.push(text);
    Ok(())
}
