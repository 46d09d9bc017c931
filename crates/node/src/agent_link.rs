//! The state of the link to the execution agent, as the rest of the node sees it. No I/O happens here:
//! [`crate::agent`] moves the bytes.

use crate::counters::Counts;
use crate::socket_buffer::Ring;

use rainstand::Gauges;
use rainstand_traffic_recorder::{ConnectionRecorder, Side};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::Write;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Enough for most commands, in bytes: a launch with a short body.
const COMMAND_CAPACITY: usize = 128;

/// The link to the agent.
#[derive(Default)]
pub struct AgentLink {
    /// Commands that are not written yet.
    pub(crate) outgoing: RefCell<Ring>,
    /// Where this link is recorded, if it is.
    pub(crate) recording: RefCell<Option<ConnectionRecorder>>,
    /// Wakes the task that serves the link.
    pub(crate) wakeup: Notify,
    /// The replay was read: commands go out as they come. Before, they are only noted in the table.
    pub(crate) is_ready: Cell<bool>,
    /// The number of the last notice that was read.
    pub(crate) last_offset: Cell<u64>,
    /// The number of the notice behind which a line could not be read.
    pub(crate) unreadable_after: Cell<Option<u64>>,
    /// Samples requested so far; the first of a link marks the replay's end.
    pub(crate) samples_requested: Cell<u64>,
    /// Since when a greeting or a sample is awaited.
    pub(crate) awaiting_since: Cell<Option<Instant>>,
    /// For how long it is awaited before the link counts as dead.
    pub(crate) reply_timeout: Cell<Duration>,
    /// Notifies those that wait for gauges.
    pub sampled: Notify,
    /// The agent has another address: the link is to be opened there.
    pub moved: Notify,
}

impl AgentLink {
    /// Sends a command; before the replay was read it is dropped, as the table knows to send it then.
    pub fn command(&self, line: fmt::Arguments) {
        if self.is_ready.get() {
            self.write(line);
        }
    }

    /// Queues a line for the task that serves the link.
    pub(crate) fn write(&self, line: fmt::Arguments) {
        let mut text = Vec::with_capacity(COMMAND_CAPACITY);
        if text.write_fmt(line).is_ok() {
            self.outgoing.borrow_mut().put(&text);
            if let Some(recording) = &*self.recording.borrow() {
                recording.record(Side::Client, &text);
            }
            self.wakeup.notify_one();
        }
    }

    /// Requests the gauges, unless the last request is still pending.
    pub fn sample(&self) {
        if self.is_ready.get() && self.awaiting_since.get().is_none() {
            self.request_sample();
        }
    }

    /// Requests the gauges.
    pub(crate) fn request_sample(&self) {
        self.samples_requested.set(self.samples_requested.get() + 1);
        self.awaiting_since.set(Some(Instant::now()));
        self.write(format_args!(
            "{{\"cmd\":\"sample\",\"token\":\"{}\"}}\n",
            self.samples_requested.get()
        ));
    }

    /// A connection to the agent is open: subscribes to the notices that were not read yet.
    pub(crate) fn on_connected(
        &self,
        recording: Option<ConnectionRecorder>,
        greeting_timeout: Duration,
    ) {
        self.outgoing.borrow_mut().clear();
        *self.recording.borrow_mut() = recording;
        self.write(format_args!(
            "{{\"cmd\":\"subscribe\",\"offset\":{}}}\n",
            self.last_offset.get()
        ));
        self.reply_timeout.set(greeting_timeout);
        self.awaiting_since.set(Some(Instant::now()));
    }

    /// The connection to the agent ended, or could not be opened.
    pub(crate) fn on_disconnected(&self) {
        self.is_ready.set(false);
        self.recording.take();
        self.awaiting_since.set(None);
    }

    /// When the link counts as dead, if something is awaited on it.
    pub(crate) fn reply_deadline(&self) -> Option<Instant> {
        let since = self.awaiting_since.get()?;
        Some(since + self.reply_timeout.get())
    }

    /// The link's part of the counters' line.
    pub fn state(&self, counts: &Counts) -> String {
        format!(
            "ready={} last={} links={}",
            self.is_ready.get(),
            self.last_offset.get(),
            counts.agent_links.get()
        )
    }
}

/// The gauges in a sample: `load` holds the values in the order of the settings' gauges, which `names` lists.
pub fn gauges(names: &[String], load: &[Value]) -> Gauges {
    let value = |name: &str| {
        let position = names.iter().position(|known| known == name)?;
        load.get(position).and_then(Value::as_f64)
    };
    Gauges {
        cores_busy: value("core_use"),
        runnable: value("on_cores"),
        memory: value("heap_share"),
        connections: value("links"),
    }
}
