//! Events for on-call staff, on standard error, through one macro that is bounded in rate.

use std::cell::Cell;
use std::fmt::{self, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::layer::{Context, Layer, SubscriberExt};

/// Lines a second in the long run: as fast as a person can follow a scroll.
const LINES: f64 = 20.0;
/// Lines that may come together: a start, or the connections that end at a drain.
const TOGETHER: f64 = 200.0;
/// Of those, left to lines about the whole node by lines about one connection or ticket: a start or a drain.
const KEPT_BACK: f64 = 20.0;

/// How many lines may be written, and how many were not.
pub struct RateLimiter {
    left: Cell<f64>,
    at: Cell<Option<Instant>>,
    held_back: Cell<u64>,
}

impl RateLimiter {
    pub const fn new() -> Self {
        Self {
            left: Cell::new(TOGETHER),
            at: Cell::new(None),
            held_back: Cell::new(0),
        }
    }

    /// Whether a line may go now, and how many were held back before it; `often`: one of many alike.
    pub fn open(&self, now: Instant, often: bool) -> Option<u64> {
        let since = self
            .at
            .replace(Some(now))
            .map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.left
            .set((self.left.get() + since * LINES).min(TOGETHER));
        if self.left.get() < 1.0 + if often { KEPT_BACK } else { 0.0 } {
            self.held_back.set(self.held_back.get() + 1);
            return None;
        }
        self.left.set(self.left.get() - 1.0);
        Some(self.held_back.take())
    }
}

impl Default for RateLimiter {
    fn default() -> Self {
        Self::new()
    }
}

thread_local! {
    pub static LOG_LIMITER: RateLimiter = const { RateLimiter::new() };
}

/// An event with a stable code, the words of its line, and fields; past the rate none, and how many were
/// held back is told with the next one. Fields called `what` and `why` are told without their name in a text line.
#[macro_export]
macro_rules! log_event {
    (often: $often:literal, $code:literal, $words:literal $(, $key:ident = $value:expr)* $(,)?) => {
        if let Some(held_back) = $crate::log::LOG_LIMITER.with(|tap| tap.open(std::time::Instant::now(), $often)) {
            $crate::log::ignore_write_panic(|| {
                if held_back > 0 {
                    tracing::info!(event = "log_held_back", words = "log", held_back = held_back);
                }
                tracing::info!(event = $code, words = $words $(, $key = %$value)*);
            });
        }
    };
    ($code:literal, $($rest:tt)*) => { $crate::log_event!(often: false, $code, $($rest)*) };
}

/// An event about one connection or ticket, of which a flood brings hundreds: the first to be held back.
#[macro_export]
macro_rules! log_frequent {
    ($($rest:tt)*) => { $crate::log_event!(often: true, $($rest)*) };
}

/// How lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    #[default]
    Text,
    /// One object a line: `at_ms`, `event`, and the fields.
    Json,
}

/// Writes events to standard error, a line each.
pub struct LogLayer {
    form: LogFormat,
    write: fn(&str),
}

impl LogLayer {
    pub fn new(form: LogFormat) -> Self {
        Self {
            form,
            write: |line| ignore_write_panic(|| eprintln!("{line}")),
        }
    }

    /// From here on the program's events are written.
    ///
    /// # Errors
    /// Somebody else writes them already.
    pub fn install(self) -> Result<(), String> {
        let all = tracing_subscriber::registry().with(self);
        tracing::subscriber::set_global_default(all).map_err(|e| format!("log: {e}"))
    }
}

impl<S: Subscriber> Layer<S> for LogLayer {
    fn on_event(&self, event: &Event<'_>, _: Context<'_, S>) {
        let mut told = EventFields::default();
        event.record(&mut told);
        match self.form {
            LogFormat::Text => (self.write)(&told.text()),
            LogFormat::Json => (self.write)(&told.json()),
        }
    }
}

/// The fields of one event.
#[derive(Default)]
struct EventFields {
    event: String,
    words: String,
    fields: Vec<(&'static str, String)>,
}

impl Visit for EventFields {
    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "event" => value.clone_into(&mut self.event),
            "words" => value.clone_into(&mut self.words),
            name => self.fields.push((name, value.to_owned())),
        }
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.fields.push((field.name(), format!("{value:?}")));
    }
}

impl EventFields {
    fn text(&self) -> String {
        let mut line = self.words.clone();
        for (name, value) in &self.fields {
            let _ = match *name {
                "what" => write!(line, " {value}"),
                "why" => write!(line, ": {value}"),
                name => write!(line, " {name}={value}"),
            };
        }
        line
    }

    fn json(&self) -> String {
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis() as u64;
        let mut all = serde_json::Map::new();
        all.insert("at_ms".into(), at.into());
        all.insert("event".into(), self.event.clone().into());
        for (name, value) in &self.fields {
            // Numbers and truths as such, so that others need not read them out of texts.
            let value = match (value.parse::<i64>(), value.as_str()) {
                (Ok(number), _) => number.into(),
                (_, "true") => true.into(),
                (_, "false") => false.into(),
                (_, text) => text.into(),
            };
            all.insert((*name).to_owned(), value);
        }
        serde_json::Value::Object(all).to_string()
    }
}

/// Guards against a reader of the log that went away: `eprintln!` panics then, and the node goes on.
pub fn ignore_write_panic(line: impl FnOnce()) {
    let _ = catch_unwind(AssertUnwindSafe(line));
}

#[cfg(test)]
mod tests {
    use super::*;

    thread_local! {
        static HEARD: std::cell::RefCell<Vec<String>> = const { std::cell::RefCell::new(Vec::new()) };
    }

    #[test]
    fn events_are_told_as_text_and_as_json() {
        let write = |line: &str| HEARD.with(|heard| heard.borrow_mut().push(line.to_owned()));
        for form in [LogFormat::Text, LogFormat::Json] {
            let all = tracing_subscriber::registry().with(LogLayer { form, write });
            tracing::subscriber::with_default(all, || {
                log_event!("connection_end", "end", conn = 7, code = "eof", open = 0);
                log_event!(
                    "agent_refused",
                    "agent refused",
                    what = "launch",
                    req = "0a\nb".escape_debug()
                );
                log_frequent!("announce_down", "announce down", why = "nobody there");
            });
        }
        let heard = HEARD.take();
        assert_eq!(
            heard[..3],
            [
                "end conn=7 code=eof open=0",
                "agent refused launch req=0a\\nb",
                "announce down: nobody there"
            ]
        );
        let told: Vec<serde_json::Value> = heard[3..]
            .iter()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect();
        assert_eq!(
            (&told[0]["event"], &told[0]["conn"], &told[0]["code"]),
            (&"connection_end".into(), &7.into(), &"eof".into())
        );
        assert_eq!(
            (
                &told[2]["why"],
                told[2]["at_ms"].as_u64() > Some(1_700_000_000_000)
            ),
            (&"nobody there".into(), true)
        );
    }

    #[test]
    fn lines_past_the_rate_are_counted_not_written() {
        let (tap, start) = (RateLimiter::new(), Instant::now());
        let written = (0..1_000)
            .filter(|_| tap.open(start, true).is_some())
            .count();
        assert_eq!(written, (TOGETHER - KEPT_BACK) as usize);
        // A flood of them leaves room for what concerns the whole node.
        assert_eq!(tap.open(start, false), Some(1_000 - written as u64));
        assert_eq!(
            (1..1_000)
                .filter(|_| tap.open(start, false).is_some())
                .count(),
            KEPT_BACK as usize - 1
        );
    }
}
