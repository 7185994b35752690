//! Lines for the operators: `tracing` behind one macro that is limited in rate, for each kind of line by itself.
//!
//! A kind of line is one place in the source that writes it. As text a line reads `frostturn: ` and its words;
//! as JSON it is one object with the words under `message` and what it speaks of (machine, address, attempt,
//! outcome) under names of their own.

use std::fmt;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

pub use tracing;

/// Lines a second of one kind that may be written for long.
const LINES_PER_S: f64 = 10.0;
/// Lines of one kind that may come together.
const BURST: f64 = 40.0;

/// A bucket of lines that may still be written, and how many were held back since the last one.
#[derive(Debug)]
pub struct Limiter {
    left: f64,
    at_s: f64,
    held_back: u64,
}

impl Limiter {
    /// A full bucket.
    pub const fn new() -> Self {
        Self { left: BURST, at_s: 0.0, held_back: 0 }
    }

    /// Whether a line may be written at `now_s`; if so, how many were held back before it.
    pub fn permit(&mut self, now_s: f64) -> Option<u64> {
        self.left = (self.left + LINES_PER_S * (now_s - self.at_s).max(0.0)).min(BURST);
        self.at_s = self.at_s.max(now_s);
        if self.left < 1.0 {
            self.held_back += 1;
            return None;
        }
        self.left -= 1.0;
        Some(std::mem::take(&mut self.held_back))
    }
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

/// A kind of line: its limiter on the process's clock; used by [`log_line!`](crate::log_line).
#[derive(Debug, Default)]
pub struct Kind(Mutex<Limiter>);

impl Kind {
    /// One that has written nothing yet.
    pub const fn new() -> Self {
        Self(Mutex::new(Limiter::new()))
    }

    /// As [`Limiter::permit`], now.
    pub fn permit(&self) -> Option<u64> {
        static START: OnceLock<Instant> = OnceLock::new();
        let now_s = START.get_or_init(Instant::now).elapsed().as_secs_f64();
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).permit(now_s)
    }
}

/// Writes one line, if the rate of its kind allows it; `always;` first writes it in any case, for lines that
/// come once or were asked for. Fields go before the words: `log_line!({ machine = %name } "{name} is back")`.
#[macro_export]
macro_rules! log_line {
    (always; { $($field:tt)* } $($part:tt)*) => {
        $crate::log::tracing::info!($($field)*, $($part)*)
    };
    (always; $($part:tt)*) => { $crate::log::tracing::info!($($part)*) };
    ({ $($field:tt)* } $($part:tt)*) => {{
        static KIND: $crate::log::Kind = $crate::log::Kind::new();
        if let Some(held) = KIND.permit() {
            let held_back = (held > 0).then_some(held);
            $crate::log::tracing::info!(held_back, $($field)*, $($part)*);
        }
    }};
    ($($part:tt)*) => {{
        static KIND: $crate::log::Kind = $crate::log::Kind::new();
        if let Some(held) = KIND.permit() {
            let held_back = (held > 0).then_some(held);
            $crate::log::tracing::info!(held_back, $($part)*);
        }
    }};
}

/// Writes one event in the life of a request, an attempt or a connection, at debug level: its name, the time on the
/// process's monotonic clock in milliseconds, and typed fields. Off unless the log level is `debug`; then nothing is
/// held back, so that one id can be followed through every process that touched it.
#[macro_export]
macro_rules! trace_event {
    ($now:expr, $event:literal, $($field:tt)*) => {
        $crate::log::tracing::debug!(event = $event, at_ms = $now, $($field)*)
    };
}

/// How much is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// What operators need: few lines, limited in rate.
    #[default]
    Info,
    /// Each event of each request and connection as well, with its reason.
    Debug,
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `frostturn: ` and the words.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Has this process's lines written to standard error. A second call changes nothing.
pub fn start(format: Format, level: Level) {
    let most = match level {
        Level::Info => tracing::Level::INFO,
        Level::Debug => tracing::Level::DEBUG,
    };
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(most);
    // The one error is that lines are written already.
    let _ = match format {
        Format::Text => lines.event_format(Words).try_init(),
        Format::Json => lines.json().flatten_event(true).with_current_span(false).try_init(),
    };
}

/// The text form: the words alone, and how many lines were held back before them; an event without words is written as
/// its fields.
#[derive(Debug)]
struct Words;

#[derive(Default)]
struct Said {
    words: String,
    fields: String,
    held_back: u64,
}

impl Visit for Said {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "held_back" {
            self.held_back = value;
        } else {
            self.record_debug(field, &value);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write as _;
        if field.name() == "message" {
            self.words = format!("{value:?}");
        } else {
            let _ = write!(self.fields, " {}={value:?}", field.name()); // Writing to a string doesn't fail.
        }
    }
}

impl<S, N> FormatEvent<S, N> for Words
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut said = Said::default();
        event.record(&mut said);
        if said.words.is_empty() {
            return writeln!(writer, "frostturn:{}", said.fields);
        }
        match said.held_back {
            0 => writeln!(writer, "frostturn: {}", said.words),
            held => writeln!(writer, "frostturn: {} ({held} lines held back)", said.words),
        }
    }
}

#[cfg(test)]
mod tests;
