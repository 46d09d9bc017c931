//! Events for on-call staff, written to standard error by rate-limited macros.

use std::cell::Cell;
use std::fmt::{self, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::subscriber::SetGlobalDefaultError;
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

/// Long-term limit of lines per second: about as fast as a person can read scrolling text.
const LINES_PER_SECOND: f64 = 20.0;

/// Lines that may be written in one burst, such as at a start or as connections end in a drain.
pub const MAX_BURST: f64 = 200.0;

/// The part of a burst, in lines, reserved for events about the whole node, such as a start or a drain.
pub const RESERVED_BURST: f64 = 20.0;

/// What an event is about, which decides how early its line is suppressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventScope {
    /// The whole node.
    Node,
    /// One connection or request. A flood causes hundreds of such events, so they are suppressed first.
    Single,
}

/// A token bucket for lines, with a count of the suppressed ones.
pub struct RateLimiter {
    tokens: Cell<f64>,
    refilled_at: Cell<Option<Instant>>,
    suppressed: Cell<u64>,
}

impl RateLimiter {
    /// A full bucket.
    pub const fn new() -> Self {
        Self {
            tokens: Cell::new(MAX_BURST),
            refilled_at: Cell::new(None),
            suppressed: Cell::new(0),
        }
    }

    /// Takes a token for a line and returns the number of lines suppressed before it, or None if it is suppressed, too.
    pub fn acquire(&self, now: Instant, scope: EventScope) -> Option<u64> {
        let elapsed = self
            .refilled_at
            .replace(Some(now))
            .map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        let refilled = self.tokens.get() + elapsed * LINES_PER_SECOND;
        self.tokens.set(refilled.min(MAX_BURST));
        let reserved = match scope {
            EventScope::Node => 0.0,
            EventScope::Single => RESERVED_BURST,
        };
        if self.tokens.get() < 1.0 + reserved {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.tokens.set(self.tokens.get() - 1.0);
        Some(self.suppressed.take())
    }
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self::new()
    }
}

thread_local! {
    /// The limiter of this thread's lines.
    pub static LOG_LIMITER: RateLimiter = const { RateLimiter::new() };
}

/// Logs an event about the whole node: a stable code, the words of its line, and fields. Lines past the rate limit are
/// suppressed, and the next written line is preceded by their number. The fields `what` and `why` are written without
/// their name in a text line.
#[macro_export]
macro_rules! log_event {
    (scope: $scope:ident, $code:literal, $words:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if let Some(suppressed) = $crate::log::LOG_LIMITER.with(|limiter| {
            limiter.acquire(std::time::Instant::now(), $crate::log::EventScope::$scope)
        }) {
            $crate::log::ignore_write_panic(|| {
                if suppressed > 0 {
                    tracing::info!(event = "log_suppressed", words = "log", held_back = suppressed);
                }
                tracing::info!(event = $code, words = $words $(, $key = %$value)*);
            });
        }
    };
    ($code:literal, $($rest:tt)*) => { $crate::log_event!(scope: Node, $code, $($rest)*) };
}

/// Logs an event about one connection or request. A flood causes hundreds of such events, so they are suppressed first.
#[macro_export]
macro_rules! log_frequent {
    ($($rest:tt)*) => { $crate::log_event!(scope: Single, $($rest)*) };
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Words, and fields as `name=value`.
    #[default]
    Text,
    /// One object per line: `at_ms`, `event`, and the fields.
    Json,
}

/// Another subscriber is already installed.
#[derive(Debug, thiserror::Error)]
#[error("log: {0}")]
pub struct InstallError(#[from] SetGlobalDefaultError);

/// Writes each event as a line.
pub struct LogLayer {
    format: LogFormat,
    write: fn(&str),
}

impl LogLayer {
    /// Writes to standard error.
    pub fn new(format: LogFormat) -> Self {
        Self::with_writer(format, |line| {
            ignore_write_panic(|| eprintln!("{line}"));
        })
    }

    /// Writes through a function, which receives lines without line ends.
    pub fn with_writer(format: LogFormat, write: fn(&str)) -> Self {
        Self { format, write }
    }

    /// Installs the layer as the process's global subscriber.
    ///
    /// # Errors
    /// If another subscriber is already installed.
    pub fn install(self) -> Result<(), InstallError> {
        let subscriber = tracing_subscriber::registry().with(self);
        tracing::subscriber::set_global_default(subscriber)?;
        Ok(())
    }
}

impl<S: Subscriber> Layer<S> for LogLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut fields = EventFields::default();
        event.record(&mut fields);
        match self.format {
            LogFormat::Text => (self.write)(&fields.text()),
            LogFormat::Json => (self.write)(&fields.json()),
        }
    }
}

/// The fields of one event.
#[derive(Default)]
struct EventFields {
    event: String,
    words: String,
    others: Vec<(&'static str, String)>,
}

impl Visit for EventFields {
    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "event" => value.clone_into(&mut self.event),
            "words" => value.clone_into(&mut self.words),
            name => self.others.push((name, value.to_owned())),
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.others.push((field.name(), format!("{value:?}")));
    }
}

impl EventFields {
    fn text(&self) -> String {
        let mut line = self.words.clone();
        for (name, value) in &self.others {
            let _ = match *name {
                "what" => write!(line, " {value}"),
                "why" => write!(line, ": {value}"),
                name => write!(line, " {name}={value}"),
            };
        }
        line
    }

    fn json(&self) -> String {
        let at_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let mut object = serde_json::Map::new();
        object.insert("at_ms".into(), at_ms.into());
        object.insert("event".into(), self.event.clone().into());
        for (name, value) in &self.others {
            object.insert((*name).to_owned(), json_value(value));
        }
        serde_json::Value::Object(object).to_string()
    }
}

/// Converts numbers and booleans to JSON numbers and booleans, so that readers need not parse strings.
fn json_value(text: &str) -> serde_json::Value {
    match (text.parse::<i64>(), text) {
        (Ok(number), _) => number.into(),
        (_, "true") => true.into(),
        (_, "false") => false.into(),
        (_, text) => text.into(),
    }
}

/// Runs `write_line` and ignores a panic: `eprintln!` panics if the log's reader has closed the pipe.
pub fn ignore_write_panic(write_line: impl FnOnce()) {
    let _ = catch_unwind(AssertUnwindSafe(write_line));
}
