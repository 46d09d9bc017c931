//! Encodes the orders of an admission controller as messages to the simulator.

use rainstand::{Host, Rejection, RetryElsewhere};
use std::collections::BTreeMap;
use std::fmt;
use std::io::Write;
use std::time::Duration;

/// Maps the protocol's request ids to indices and back, and encodes orders.
///
/// An index is in use from [`PolicyHost::add_request`] to [`Host::release`].
pub(crate) struct PolicyHost {
    node: String,
    can_cancel_runs: bool,
    indices: BTreeMap<u64, usize>,
    ids: Vec<u64>,
    free: Vec<usize>,
    orders: Vec<u8>,
}

impl PolicyHost {
    pub(crate) fn new(node: String, can_cancel_runs: bool) -> Self {
        let (indices, ids, free) = (BTreeMap::new(), Vec::new(), Vec::new());
        Self {
            node,
            can_cancel_runs,
            indices,
            ids,
            free,
            orders: Vec::new(),
        }
    }

    /// Assigns an index to an arriving request.
    pub(crate) fn add_request(&mut self, id: u64) -> usize {
        let index = self.free.pop().unwrap_or(self.ids.len());
        if index == self.ids.len() {
            self.ids.push(id);
        } else {
            self.ids[index] = id;
        }
        self.indices.insert(id, index);
        index
    }

    /// The index of a request in flight.
    pub(crate) fn index_of(&self, id: u64) -> Option<usize> {
        self.indices.get(&id).copied()
    }

    /// Moves the orders given so far to the end of `reply`.
    pub(crate) fn take_orders(&mut self, reply: &mut Vec<u8>) {
        reply.append(&mut self.orders);
    }

    fn node_order(&mut self, message: &str, fields: fmt::Arguments) {
        let node = &self.node;
        let written = writeln!(
            self.orders,
            "{{\"msg\":\"{message}\",\"nodeId\":\"{node}\"{fields}}}"
        );
        written.expect("writing to memory");
    }

    fn request_order(&mut self, message: &str, request: usize, fields: fmt::Arguments) {
        let id = self.ids[request];
        self.node_order(message, format_args!(",\"req\":{id}{fields}"));
    }
}

impl Host for PolicyHost {
    fn run(&mut self, request: usize) {
        self.request_order("process", request, format_args!(""));
    }

    fn cancel_run(&mut self, request: usize) {
        if self.can_cancel_runs {
            self.request_order("takeOff", request, format_args!(""));
        }
    }

    fn reply_from_cache(&mut self, request: usize) {
        self.request_order("reuse", request, format_args!(""));
    }

    fn cache_result(&mut self, request: usize, span: Duration) {
        let seconds = span.as_secs_f64();
        self.request_order("keep", request, format_args!(",\"spanS\":{seconds}"));
    }

    fn discard_result(&mut self, request: usize) {
        self.request_order("erase", request, format_args!(""));
    }

    fn reject(&mut self, request: usize, rejection: Rejection) {
        let seconds = rejection.retry_after.as_secs_f64();
        let terminal = rejection.retry_elsewhere == RetryElsewhere::Discouraged;
        let fields = format_args!(",\"backoffS\":{seconds},\"terminal\":{terminal}");
        self.request_order("pushBack", request, fields);
    }

    fn fail(&mut self, request: usize) {
        self.request_order("abort", request, format_args!(""));
    }

    fn call_downstream(&mut self, request: usize, deadline: Duration) {
        let seconds = deadline.as_secs_f64();
        self.request_order("call", request, format_args!(",\"notPastS\":{seconds}"));
    }

    fn reply_degraded(&mut self, request: usize) {
        self.request_order("degrade", request, format_args!(""));
    }

    fn advertise_load(&mut self, amount: f64) {
        self.node_order("announce", format_args!(",\"amount\":{amount}"));
    }

    fn set_health(&mut self, healthy: bool) {
        self.node_order(
            "reportHealth",
            format_args!(",\"on\":{healthy},\"shallow\":true"),
        );
    }

    fn close_idle_after(&mut self, span: Duration) {
        let seconds = span.as_secs_f64();
        self.node_order("trimAfter", format_args!(",\"spanS\":{seconds}"));
    }

    fn wake(&mut self, span: Duration) {
        let seconds = span.as_secs_f64();
        self.node_order(
            "schedule",
            format_args!(",\"spanS\":{seconds},\"handle\":0"),
        );
    }

    fn release(&mut self, request: usize) {
        self.indices.remove(&self.ids[request]);
        self.free.push(request);
    }
}
