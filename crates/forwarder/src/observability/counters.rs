//! Counters of the sockets' side, and the log line of all counters.

use crate::ForwarderContext;
use std::cell::Cell;

/// What happened on the sockets since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections that were accepted.
    pub accepted_connections: Cell<u64>,
    /// Client connections that were closed at once, as there was no place and none to evict.
    pub refused_connections: Cell<u64>,
    /// Idle client connections that were asked to close for others.
    pub evicted_connections: Cell<u64>,
    /// Operations that failed for want of a descriptor.
    pub descriptor_exhaustions: Cell<u64>,
    /// Calls that were answered with an exception.
    pub exceptions: Cell<u64>,
    /// Requests rejected past the bound of requests in flight, or while draining.
    pub overload_rejections: Cell<u64>,
    /// Answers that had not reached their clients when this side ended the connection.
    pub cut_off_answers: Cell<u64>,
    /// Connections to members that were established.
    pub upstream_connections: Cell<u64>,
    /// Of these, those that broke.
    pub broken_upstream_connections: Cell<u64>,
    /// Of these, those that got no new attempts any more, as nothing was read on them during all of an attempt.
    pub silent_upstream_connections: Cell<u64>,
    /// Answers to attempts that had ended, late or second ones.
    pub late_answers: Cell<u64>,
    /// What members sent that is no answer.
    pub unreadable_replies: Cell<u64>,
    /// Attempts that had not been sent completely when their connection broke: proved not run.
    pub unsent_attempts: Cell<u64>,
}

/// Adds one to a counter.
pub(crate) fn increment(counter: &Cell<u64>) {
    add(counter, 1);
}

/// Adds to a counter.
pub(crate) fn add(counter: &Cell<u64>, number: u64) {
    counter.set(counter.get() + number);
}

impl ForwarderContext {
    /// All counters in one line, by the names that logs have had from the start.
    pub fn counters_line(&self) -> String {
        let sockets = &self.counters;
        let fleet = self.fleet.borrow().counts();
        let counters = [
            ("tickets", self.requests.len() as u64),
            ("conns", self.clients.borrow().len() as u64),
            ("first_tries", fleet.first_attempts),
            ("further_tries", fleet.retries),
            ("honoured", fleet.served),
            ("dismissed", fleet.rejected),
            ("given_up", fleet.failed),
            ("nobody", fleet.caller_gone),
            ("room", fleet.room),
            ("accepted", sockets.accepted_connections.get()),
            ("refused_connections", sockets.refused_connections.get()),
            ("made_room", sockets.evicted_connections.get()),
            ("descriptors_out", sockets.descriptor_exhaustions.get()),
            ("exceptions", sockets.exceptions.get()),
            ("full", sockets.overload_rejections.get()),
            ("cut_off", sockets.cut_off_answers.get()),
            ("links", sockets.upstream_connections.get()),
            ("broken_links", sockets.broken_upstream_connections.get()),
            ("quiet_links", sockets.silent_upstream_connections.get()),
            ("late_answers", sockets.late_answers.get()),
            ("unreadable", sockets.unreadable_replies.get()),
            (
                "stalled_ms",
                self.fleet.borrow().stalled().as_millis() as u64,
            ),
            ("unsent", sockets.unsent_attempts.get()),
        ];
        let fields = counters.map(|(name, value)| format!("{name}={value}"));
        fields.join(" ")
    }
}
