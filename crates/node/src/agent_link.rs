//! The state of the link to the execution agent, as used by the rest of the node. No I/O happens here:
//! [`crate::agent`] reads and writes the socket.

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

/// Initial buffer size for a command, in bytes: enough for a launch with a short body.
const COMMAND_CAPACITY: usize = 128;

/// What the node knows about whether the agent has read a command.
///
/// The agent reads the commands of one link in order, so its answer to a sample proves that it has read every command
/// that was sent before the sample on the same link. After a link has ended, nothing more is learned about its commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandStatus {
    /// It was not sent, as the link was not ready.
    Unsent,
    /// It was sent; `sample` is the number of the last sample that was requested before it.
    Sent {
        /// Counts the samples of all links.
        sample: u64,
    },
    /// The agent has read it.
    Confirmed,
    /// Its link ended before a later sample was answered: the agent may have read it or not.
    Unknown,
}

impl CommandStatus {
    /// The status once the command's link has ended; `answered` is the number of the last sample answered until then.
    #[must_use]
    pub fn after_disconnect(self, answered: u64) -> Self {
        match self {
            Self::Sent { sample } if sample < answered => Self::Confirmed,
            Self::Sent { .. } => Self::Unknown,
            Self::Unsent | Self::Confirmed | Self::Unknown => self,
        }
    }
}

/// The link to the agent.
#[derive(Default)]
pub struct AgentLink {
    /// Commands that are not written to the socket yet.
    pub(crate) outgoing: RefCell<Ring>,
    /// The recording of this link, if it is recorded.
    pub(crate) recording: RefCell<Option<ConnectionRecorder>>,
    /// Wakes the task that serves the link.
    pub(crate) wakeup: Notify,
    /// Whether the replay was read, so that commands are sent immediately. Before that, only the table records them.
    pub(crate) is_ready: Cell<bool>,
    /// The number of the last notice that was read.
    pub(crate) last_offset: Cell<u64>,
    /// The number of the last notice before which another one was lost: not kept by the agent, or skipped as unreadable.
    pub(crate) last_gap: Cell<u64>,
    /// The number of the last notice before the line that could not be read.
    pub(crate) unreadable_after: Cell<Option<u64>>,
    /// Samples requested so far; the first sample on a link marks the end of its replay.
    pub(crate) samples_requested: Cell<u64>,
    /// The number of the last sample that was answered.
    pub(crate) last_sample_answered: Cell<u64>,
    /// When the wait for a greeting or a sample began.
    pub(crate) awaiting_since: Cell<Option<Instant>>,
    /// How long a greeting or a sample is awaited before the link counts as dead.
    pub(crate) reply_timeout: Cell<Duration>,
    /// Notifies tasks that wait for gauges.
    pub sampled: Notify,
    /// Notified when the agent's address changes: the link must be reopened there.
    pub address_changed: Notify,
}

impl AgentLink {
    /// Sends a command. Until the replay was read it is dropped, as [`crate::dispatch::resend`] sends it then.
    pub fn command(&self, line: fmt::Arguments) -> CommandStatus {
        if !self.is_ready.get() {
            return CommandStatus::Unsent;
        }
        self.write(line);
        CommandStatus::Sent {
            sample: self.samples_requested.get(),
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

    /// Records a numbered notice that was handled.
    pub(crate) fn on_notice_handled(&self, offset: u64) {
        if offset > self.last_offset.get() + 1 {
            self.last_gap.set(offset);
        }
        self.last_offset.set(offset);
    }

    /// Records that a line was skipped as unreadable: it may have been the next notice.
    pub(crate) fn on_notice_skipped(&self) {
        self.last_gap.set(self.last_offset.get() + 1);
    }

    /// Whether a notice may have been lost since the one with this number.
    pub(crate) fn has_lost_notices_since(&self, offset: u64) -> bool {
        self.last_gap.get() > offset
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

    /// A connection to the agent was opened: subscribes to the notices that were not read yet.
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

    /// When the link counts as dead, if a greeting or a sample is awaited.
    pub(crate) fn reply_deadline(&self) -> Option<Instant> {
        let since = self.awaiting_since.get()?;
        Some(since + self.reply_timeout.get())
    }

    /// The link's part of the counters log line.
    pub fn state(&self, counts: &Counts) -> String {
        format!(
            "ready={} last={} links={}",
            self.is_ready.get(),
            self.last_offset.get(),
            counts.agent_links.get()
        )
    }
}

/// The gauges in a sample: `load` holds the values in the order of the gauge names in the settings, `names`.
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
