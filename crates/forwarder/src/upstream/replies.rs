//! Frames from members: answers to attempts, and shutdown notices.

use super::connection::UpstreamConnection;
use super::Upstream;
use crate::observability::increment;
use crate::request_table::OutcomeReceipt;
use crate::ForwarderContext;
use rainstand_protocol::thrift::{self, Texts, What};
use rainstand_routing::fleet::AttemptOutcome;
use rainstand_routing::retry_after::MAX_RETRY_AFTER;
use std::rc::Rc;
use std::time::Duration;

pub(super) fn on_frame(
    context: &Rc<ForwarderContext>,
    upstream: &Upstream,
    connection: &UpstreamConnection,
    address: &str,
    frame: &[u8],
) {
    if thrift::kind(frame) == Some(thrift::ONEWAY) {
        on_shutdown_notice(context, upstream, connection, address);
        return;
    }
    let Ok(answer) = thrift::answered(frame) else {
        increment(&context.counters.unreadable_replies);
        return;
    };
    if connection.is_watch() {
        // That the member answers is all that a probe asks.
        return;
    }
    let Some(id) = connection.take_answered(answer.seq) else {
        // A duplicate answer, or one to a cancelled or unknown attempt.
        increment(&context.counters.late_answers);
        return;
    };
    let receipt = match answer.what {
        What::Answer { body, .. } => context.on_served(id, body),
        What::Backoff(fields) => context.on_attempt_outcome(id, rejection_outcome(&fields)),
        What::Lost | What::Exception { .. } => {
            context.on_attempt_outcome(id, AttemptOutcome::Failed)
        }
    };
    if receipt == OutcomeReceipt::Late {
        increment(&context.counters.late_answers);
    }
}

/// Retires the connection. A single connection may be closed for many reasons; the member counts as draining only if
/// all its connections are retired.
fn on_shutdown_notice(
    context: &ForwarderContext,
    upstream: &Upstream,
    connection: &UpstreamConnection,
    address: &str,
) {
    connection.retire();
    let connections = upstream.connections.borrow();
    if connections.iter().all(|other| other.is_retired()) {
        upstream.is_draining.set(true);
        let now = context.now();
        context.fleet.borrow_mut().on_leaving(address, now);
    }
}

/// The outcome of a rejection by a member; a missing or malformed retry-after counts as zero.
fn rejection_outcome(fields: &Texts<'_>) -> AttemptOutcome {
    let text = |key: &[u8]| {
        fields
            .iter()
            .find(|(name, _)| *name == key)
            .map(|(_, value)| *value)
    };
    let retry_after = text(b"pause")
        .and_then(|value| std::str::from_utf8(value).ok()?.parse::<u64>().ok())
        .map_or(Duration::ZERO, Duration::from_millis);
    AttemptOutcome::Rejected {
        pause: retry_after.min(MAX_RETRY_AFTER),
        nowhere_else: text(b"terminal") == Some(b"1"),
    }
}
