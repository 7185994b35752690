//! One instance of a plug-in's program, metered: instructions, memory, stack, bytes of advice, lines.
//!
//! A program exports `memory`, the globals `frostturn_version` (1) and `view` (where it keeps room for a view), and
//! any of the functions `init (len) -> code`, `request (len) -> advice`, `outcome (len)`, `machines (len)` and
//! `tick (len)`. `advice` is the place of the bytes in the upper half and their number in the lower; 0: none. It
//! may import `frostturn.log (place, len)`. Nothing else can be reached from within.

use super::Spec;
use frostturn_plugin_kit::{MAX_ADVICE, VERSION, VIEW_ROOM};
use std::fmt;
use wasmi::core::TrapCode;
use wasmi::errors::ErrorKind;
use wasmi::{
    Caller, CompilationMode, Config, Engine, Extern, Global, Linker, Memory, Module, StackLimits, Store,
    StoreLimits, StoreLimitsBuilder, TypedFunc, Val,
};

/// Calls inside each other, and values on the stack.
const MAX_DEPTH: usize = 256;
const MAX_STACK: usize = 16 * 1024;
/// What a line costs beside its bytes, in instructions: a call can't flood the log.
const LINE_FUEL: u64 = 4000;
/// Bytes of a line.
const MAX_LINE: usize = 200;
/// What starting one may cost, in calls' budgets.
const START_CALLS: u64 = 10;
/// Bytes of a program.
pub const MAX_PROGRAM_BYTES: usize = 1 << 20;

/// A function of a plug-in.
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

/// Why a plug-in can't be used, or a call of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It can't be compiled or lacks what it must have.
    InvalidProgram(String),
    /// Its `init` says no, with a code.
    InitFailed(i32),
    /// It trapped.
    Trap(String),
    /// Its budget was spent.
    OutOfFuel,
    /// Its advice can't be read, or lies outside its memory, or is too long.
    Malformed,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidProgram(why) => write!(f, "the program can't be used: {why}"),
            Self::InitFailed(code) => write!(f, "its init ended with {code}"),
            Self::Trap(why) => write!(f, "it trapped: {why}"),
            Self::OutOfFuel => f.write_str("it passed its budget"),
            Self::Malformed => f.write_str("its advice can't be read"),
        }
    }
}

struct Host {
    limits: StoreLimits,
    lines: Vec<String>,
}

/// A program that runs.
pub struct Instance {
    store: Store<Host>,
    memory: Memory,
    view: usize,
    request: Option<TypedFunc<i32, i64>>,
    told: [Option<TypedFunc<i32, ()>>; 3],
}

impl fmt::Debug for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Instance").field("view", &self.view).finish_non_exhaustive()
    }
}

fn program(why: impl fmt::Display) -> Fault {
    Fault::InvalidProgram(why.to_string())
}

fn ran(e: wasmi::Error) -> Fault {
    match (e.kind(), e.as_trap_code()) {
        (_, Some(TrapCode::OutOfFuel)) => Fault::OutOfFuel,
        (ErrorKind::TrapCode(code), _) => Fault::Trap(code.trap_message().to_owned()),
        _ => Fault::Trap(e.to_string()),
    }
}

impl Instance {
    /// Compiles and starts a program, and gives it its settings.
    pub fn new(bytes: &[u8], spec: &Spec) -> Result<Self, Fault> {
        if bytes.len() > MAX_PROGRAM_BYTES {
            return Err(program(format_args!("more than {MAX_PROGRAM_BYTES} bytes")));
        }
        let mut config = Config::default();
        let stack = StackLimits::new(1024, MAX_STACK, MAX_DEPTH).map_err(|_| program("stack limits"))?;
        config.consume_fuel(true).compilation_mode(CompilationMode::Eager).set_stack_limits(stack);
        let engine = Engine::new(&config);
        let module = Module::new(&engine, bytes).map_err(program)?;
        let limits =
            StoreLimitsBuilder::new().memory_size(spec.memory).memories(1).tables(4).table_elements(10_000);
        let host = Host { limits: limits.build(), lines: Vec::new() };
        let mut store = Store::new(&engine, host);
        store.limiter(|host| &mut host.limits);
        store.set_fuel(spec.fuel * START_CALLS).map_err(program)?;
        let mut linker = Linker::new(&engine);
        linker.func_wrap("frostturn", "log", log).map_err(program)?;
        let instance = linker
            .instantiate(&mut store, &module)
            .and_then(|ready| ready.start(&mut store))
            .map_err(program)?;
        let whole = |store: &Store<Host>, name: &str| -> Result<i32, Fault> {
            let global: Option<Global> = instance.get_global(store, name);
            match global.map(|global| global.get(store)) {
                Some(Val::I32(value)) => Ok(value),
                _ => Err(program(format_args!("it exports no global {name} (i32)"))),
            }
        };
        let version = whole(&store, "frostturn_version")?;
        if version != i32::from(VERSION) {
            return Err(program(format_args!("it is of version {version}, and {VERSION} is served")));
        }
        let view = whole(&store, "view")? as u32 as usize;
        let memory = instance.get_memory(&store, "memory").ok_or_else(|| program("it exports no memory"))?;
        if view.checked_add(VIEW_ROOM).is_none_or(|end| end > memory.data_size(&store)) {
            return Err(program(format_args!("its memory has no room of {VIEW_ROOM} bytes at view")));
        }
        let typed = |store: &Store<Host>, name: &str| match instance.get_func(store, name) {
            None => Ok(None),
            Some(func) => {
                func.typed::<i32, ()>(store).map(Some).map_err(|e| program(format_args!("{name}: {e}")))
            }
        };
        let told = [typed(&store, "outcome")?, typed(&store, "machines")?, typed(&store, "tick")?];
        let request = match instance.get_func(&store, "request") {
            None => None,
            Some(func) => {
                Some(func.typed::<i32, i64>(&store).map_err(|e| program(format_args!("request: {e}")))?)
            }
        };
        if let Some(init) = instance.get_func(&store, "init") {
            let init = init.typed::<i32, i32>(&store).map_err(|e| program(format_args!("init: {e}")))?;
            let settings = spec.settings_text();
            if settings.len() > VIEW_ROOM {
                return Err(program("its settings are too long"));
            }
            memory.write(&mut store, view, settings.as_bytes()).map_err(program)?;
            match init.call(&mut store, settings.len() as i32).map_err(ran)? {
                0 => {}
                code => return Err(Fault::InitFailed(code)),
            }
        }
        Ok(Self { store, memory, view, request, told })
    }

    /// Whether it has this hook.
    pub fn has(&self, hook: Hook) -> bool {
        match hook {
            Hook::Request => self.request.is_some(),
            Hook::Outcome => self.told[0].is_some(),
            Hook::Machines => self.told[1].is_some(),
            Hook::Tick => self.told[2].is_some(),
        }
    }

    /// Calls a hook with so much fuel; its advice, if it is `request` and gives any, and the fuel it took.
    pub fn call(&mut self, hook: Hook, view: &[u8], fuel: u64) -> (Result<Option<Vec<u8>>, Fault>, u64) {
        let said = self.call_within(hook, view, fuel);
        (said, fuel.saturating_sub(self.store.get_fuel().unwrap_or(0)))
    }

    fn call_within(&mut self, hook: Hook, view: &[u8], fuel: u64) -> Result<Option<Vec<u8>>, Fault> {
        let length = view.len().min(VIEW_ROOM);
        self.store.set_fuel(fuel).map_err(program)?;
        self.memory.write(&mut self.store, self.view, &view[..length]).map_err(program)?;
        let said = match hook {
            Hook::Request => match self.request {
                Some(request) => request.call(&mut self.store, length as i32).map_err(ran)?,
                None => 0,
            },
            Hook::Outcome | Hook::Machines | Hook::Tick => {
                let told = match hook {
                    Hook::Outcome => self.told[0],
                    Hook::Machines => self.told[1],
                    _ => self.told[2],
                };
                if let Some(told) = told {
                    told.call(&mut self.store, length as i32).map_err(ran)?;
                }
                0
            }
        };
        let (at, bytes) = ((said as u64 >> 32) as usize, (said as u64 & 0xffff_ffff) as usize);
        if bytes == 0 {
            return Ok(None);
        }
        if bytes > MAX_ADVICE {
            return Err(Fault::Malformed);
        }
        let end = at.checked_add(bytes).ok_or(Fault::Malformed)?;
        self.memory.data(&self.store).get(at..end).map(|said| Some(said.to_vec())).ok_or(Fault::Malformed)
    }

    /// Lines it has logged.
    pub fn take_lines(&mut self) -> Vec<String> {
        std::mem::take(&mut self.store.data_mut().lines)
    }
}

/// The one thing a plug-in can call: a line for the operators, paid for in fuel.
fn log(mut caller: Caller<'_, Host>, at: i32, length: i32) -> Result<(), wasmi::Error> {
    let (at, length) = (at as u32 as usize, (length as u32 as usize).min(MAX_LINE));
    let left = caller.get_fuel()?;
    let Some(left) = left.checked_sub(LINE_FUEL) else {
        caller.set_fuel(0)?;
        return Err(TrapCode::OutOfFuel.into());
    };
    caller.set_fuel(left)?;
    let Some(Extern::Memory(memory)) = caller.get_export("memory") else { return Ok(()) };
    let bytes = at.checked_add(length).and_then(|end| memory.data(&caller).get(at..end)).map(<[u8]>::to_vec);
    let bytes = bytes.ok_or(TrapCode::MemoryOutOfBounds)?;
    let text: String = String::from_utf8_lossy(&bytes).chars().filter(|one| !one.is_control()).collect();
    caller.data_mut().lines.push(text);
    Ok(())
}
