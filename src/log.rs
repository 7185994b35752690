//! Log output: `tracing` behind a macro that limits the rate of each call site separately.
//!
//! In text form a line is `frostturn: ` followed by the message. In JSON form it is one object with the text
//! under `message` and the subjects of the line (machine, address, attempt, outcome) as separate fields.

use std::fmt;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

pub use tracing;

/// Sustained rate of lines per second from one call site.
const LINES_PER_S: f64 = 10.0;
/// Lines that one call site may write in a burst.
const BURST_LINES: f64 = 40.0;

/// A token bucket for log lines that counts the lines suppressed since the last permitted one.
#[derive(Debug)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at_s: f64,
    suppressed: u64,
}

impl RateLimiter {
    /// Creates a full bucket.
    pub const fn new() -> Self {
        Self { tokens: BURST_LINES, refilled_at_s: 0.0, suppressed: 0 }
    }

    /// Returns the number of lines suppressed since the last permitted one if a line may be written at
    /// `now_s` (seconds), and `None` if this line is suppressed too.
    pub fn permit(&mut self, now_s: f64) -> Option<u64> {
        self.tokens = (self.tokens + LINES_PER_S * (now_s - self.refilled_at_s).max(0.0)).min(BURST_LINES);
        self.refilled_at_s = self.refilled_at_s.max(now_s);
        if self.tokens < 1.0 {
            self.suppressed += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.suppressed))
    }
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self::new()
    }
}

/// The rate limiter of one call site, on the process's monotonic clock; used by
/// [`log_line!`](crate::log_line).
#[derive(Debug, Default)]
pub struct CallSiteLimiter(Mutex<RateLimiter>);

impl CallSiteLimiter {
    /// Creates a limiter with a full bucket.
    pub const fn new() -> Self {
        Self(Mutex::new(RateLimiter::new()))
    }

    /// Calls [`RateLimiter::permit`] with the current time.
    pub fn permit(&self) -> Option<u64> {
        static START: OnceLock<Instant> = OnceLock::new();
        let now_s = START.get_or_init(Instant::now).elapsed().as_secs_f64();
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).permit(now_s)
    }
}

/// Writes one line at info level, subject to the rate limit of the call site. A leading `always;` exempts the
/// line from the limit, for lines that occur once or were requested by an operator. Structured fields precede
/// the message: `log_line!({ machine = %name } "{name} is back")`.
#[macro_export]
macro_rules! log_line {
    (always; { $($field:tt)* } $($message:tt)*) => {
        $crate::log::tracing::info!($($field)*, $($message)*)
    };
    (always; $($message:tt)*) => { $crate::log::tracing::info!($($message)*) };
    ({ $($field:tt)* } $($message:tt)*) => {{
        static LIMITER: $crate::log::CallSiteLimiter = $crate::log::CallSiteLimiter::new();
        if let Some(suppressed) = LIMITER.permit() {
            let held_back = (suppressed > 0).then_some(suppressed);
            $crate::log::tracing::info!(held_back, $($field)*, $($message)*);
        }
    }};
    ($($message:tt)*) => {{
        static LIMITER: $crate::log::CallSiteLimiter = $crate::log::CallSiteLimiter::new();
        if let Some(suppressed) = LIMITER.permit() {
            let held_back = (suppressed > 0).then_some(suppressed);
            $crate::log::tracing::info!(held_back, $($message)*);
        }
    }};
}

/// Writes one event of a request, an attempt or a connection at debug level: its name, the time on the
/// process's monotonic clock in milliseconds, and typed fields. Events are not rate limited, so that with the
/// log level `debug` one id can be followed through every process that handled it.
#[macro_export]
macro_rules! trace_event {
    ($now:expr, $event:literal, $($field:tt)*) => {
        $crate::log::tracing::debug!(event = $event, at_ms = $now, $($field)*)
    };
}

/// The log level.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Level {
    /// Rate-limited lines for operators.
    #[default]
    Info,
    /// Additionally every event of every request and connection, with its reason.
    Debug,
}

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `frostturn: ` followed by the message.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Starts writing the log of this process to standard error. A second call has no effect.
pub fn start(format: Format, level: Level) {
    let max_level = match level {
        Level::Info => tracing::Level::INFO,
        Level::Debug => tracing::Level::DEBUG,
    };
    let builder = tracing_subscriber::fmt().with_writer(std::io::stderr).with_max_level(max_level);
    // The only possible error is that a subscriber is set already.
    let _ = match format {
        Format::Text => builder.event_format(TextFormat).try_init(),
        Format::Json => builder.json().flatten_event(true).with_current_span(false).try_init(),
    };
}

/// The text format: the message and the number of lines suppressed before it. An event without a message is
/// written as its fields.
#[derive(Debug)]
struct TextFormat;

/// Collects the fields of one event.
#[derive(Default)]
struct EventFields {
    message: String,
    fields: String,
    suppressed: u64,
}

impl Visit for EventFields {
    fn record_u64(&mut self, field: &Field, value: u64) {
        if field.name() == "held_back" {
            self.suppressed = value;
        } else {
            self.record_debug(field, &value);
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        use fmt::Write as _;
        if field.name() == "message" {
            self.message = format!("{value:?}");
        } else {
            let _ = write!(self.fields, " {}={value:?}", field.name()); // Writing to a string can't fail.
        }
    }
}

impl<S, N> FormatEvent<S, N> for TextFormat
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
        let mut collected = EventFields::default();
        event.record(&mut collected);
        if collected.message.is_empty() {
            return writeln!(writer, "frostturn:{}", collected.fields);
        }
        match collected.suppressed {
            0 => writeln!(writer, "frostturn: {}", collected.message),
            suppressed => writeln!(writer, "frostturn: {} ({suppressed} lines held back)", collected.message),
        }
    }
}

#[cfg(test)]
mod tests;
