//! Counters of socket events, and the log line with all counters.

use crate::ForwarderContext;
use std::cell::Cell;

/// Socket events since the start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Client connections that were accepted.
    pub accepted_connections: Cell<u64>,
    /// Client connections closed right after the accept: the limit was reached and none could be evicted.
    pub refused_connections: Cell<u64>,
    /// Idle client connections evicted in favour of new ones.
    pub evicted_connections: Cell<u64>,
    /// Operations that failed for lack of a descriptor.
    pub descriptor_exhaustions: Cell<u64>,
    /// Calls that were answered with an exception.
    pub exceptions: Cell<u64>,
    /// Requests rejected because the limit of requests in flight was reached, or while draining.
    pub overload_rejections: Cell<u64>,
    /// Answers not yet delivered when the forwarder closed the client's connection.
    pub cut_off_answers: Cell<u64>,
    /// Connections to members that were established.
    pub upstream_connections: Cell<u64>,
    /// Connections to members that broke.
    pub broken_upstream_connections: Cell<u64>,
    /// Connections to members taken out of use because nothing was read on them during a whole attempt.
    pub silent_upstream_connections: Cell<u64>,
    /// Late or duplicate answers: their attempts had already ended.
    pub late_answers: Cell<u64>,
    /// Messages from members that are not a valid answer.
    pub unreadable_replies: Cell<u64>,
    /// Attempts that were not completely sent when their connection broke, and so certainly did not run.
    pub unsent_attempts: Cell<u64>,
    /// Times at which another process may have come to be at a member's address.
    pub lost_processes: Cell<u64>,
}

/// Increments a counter.
pub(crate) fn increment(counter: &Cell<u64>) {
    add(counter, 1);
}

/// Adds `number` to a counter.
pub(crate) fn add(counter: &Cell<u64>, number: u64) {
    counter.set(counter.get() + number);
}

impl ForwarderContext {
    /// All counters in one line. Log readers depend on their names.
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
            ("room", fleet.over_tenant_share),
            ("key_moved", fleet.held_keys),
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
            ("lost_processes", sockets.lost_processes.get()),
        ];
        let fields = counters.map(|(name, value)| format!("{name}={value}"));
        fields.join(" ")
    }
}
