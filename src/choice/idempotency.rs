//! Ensures that no request takes effect twice.
//!
//! - The result of a request with a key is cached until the key's window (time, from its class) has passed, counted
//!   from when the request reached the machine.
//! - A repeat, identified by its key, is answered with the result of the first attempt. It is never run, and never
//!   rejected, whatever the load. The same holds for a known repeat of a request that must not run twice.
//! - The cache entry of a request that never ran is discarded ([`rejection`](super::rejection)), so that its retry
//!   runs.
//!
//! Not in KIP-124.

use super::shared_constants::TIME_MARGIN;
use super::AdmissionController;
use crate::host::{Arrival, Host, Repeatability, RequestClass, RetryOf};
use crate::in_flight::Stage;
use std::time::Duration;

/// Whether the request repeats an earlier one and must not run again.
pub(super) fn is_repeat(class: &RequestClass, arrival: &Arrival) -> bool {
    class.repeatability != Repeatability::Idempotent && arrival.retry_of != RetryOf::No
}

impl AdmissionController {
    /// Answers a repeat with the result of the first attempt.
    pub(super) fn reply_to_repeat(&mut self, now: Duration, host: &mut dyn Host, index: usize) {
        self.in_flight.set_stage(index, Stage::AwaitingResult);
        host.reply_from_cache(index);
        self.expire_deadlines(now, host);
    }

    /// Caches the result of a request with a key for repeats. `waited`: time since it reached the machine.
    pub(super) fn cache_result(
        &mut self,
        now: Duration,
        host: &mut dyn Host,
        index: usize,
        waited: Duration,
    ) {
        let repeatability = self.in_flight.expect(index).class.repeatability;
        if let Repeatability::IdempotentWithKey(window) = repeatability {
            let span = (window + TIME_MARGIN).saturating_sub(waited);
            host.cache_result(index, span);
            self.in_flight.cache_result(index, now + span);
        }
    }
}
