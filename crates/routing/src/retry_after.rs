//! The retry-after of a rejected request: all rules of a forwarder in one place.
//!
//! | case | retry-after | jitter | bounds of the configuration |
//! | --- | --- | --- | --- |
//! | too many requests in flight, or draining (decided by the forwarder) | its `OVERLOAD_RETRY_AFTER` | no | no |
//! | no route matches | [`NO_ROUTE`] | no | no |
//! | a rate limit | until the limit admits the next request | no | yes |
//! | a concurrency limit | [`AT_CAPACITY`] | no | yes |
//! | no bucket for a limit | [`NO_BUCKET`] | no | yes |
//! | no usable pool | until the first member of the route's pools may take a request, else [`NO_ROUTE`] | yes | yes |
//! | the tenant is over its share of a scarce pool | until its excess requests have probably ended | yes | yes |
//! | its key had another home within its window | until the window has passed since | yes | no |
//! | the home of its key cannot take it | until it may, as far as known | yes | no |
//! | no member could take it | until the first member of the pool may, else [`DEFAULT`] | yes | no |
//! | its last attempt did not reach a member, and there is no retry | as above, but at least [`DEFAULT`] | yes | no |
//! | a member rejected it, and it is not retried | the member's own, at most [`MAX_RETRY_AFTER`] | no | no |
//!
//! Bounds are those of the route, else of the pool ([`clamp_to_configuration`]). A member, a node, computes its
//! retry-after by its own policy from its queues and quotas; a forwarder adds nothing to it.

use crate::table::Table;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// If nothing more specific is known.
pub const DEFAULT: Duration = Duration::from_millis(500);
/// At a concurrency limit, where the end of a running request is unknown: the duration of a typical run.
pub const AT_CAPACITY: Duration = Duration::from_millis(100);
/// Without a route or a usable pool: the time in which health statuses change.
pub const NO_ROUTE: Duration = Duration::from_secs(1);
/// While all buckets are in use: by then the sweep has visited all of them ([`crate::token_buckets`]).
pub const NO_BUCKET: Duration = Duration::from_secs(1);
/// Shortest retry-after before jitter: the time that a caller needs to send a request again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Longest retry-after that a forwarder computes with jitter, accepts from a member, or applies to a tenant at a
/// member: the state at any later time cannot be predicted.
pub const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Largest random extension, as a fraction of the retry-after, so that rejected callers do not all retry together.
const JITTER: f64 = 0.5;

/// Clamps a retry-after to its bounds and extends it at random.
pub(crate) fn with_jitter(retry_after: Duration, random: &mut WyRand) -> Duration {
    let fraction = f64::from(random.generate::<u32>()) / f64::from(u32::MAX);
    retry_after
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .mul_f64(1.0 + JITTER * fraction)
        .min(MAX_RETRY_AFTER)
}

/// Clamps a retry-after to the configured bounds of the route, else of the pool.
pub fn clamp_to_configuration(
    table: &Table,
    route: Option<u16>,
    pool: Option<u16>,
    retry_after: Duration,
) -> Duration {
    let Some(bounds) = table.retry_after_bounds(route, pool) else {
        return retry_after;
    };
    let min = Duration::from_nanos(bounds.least_ns);
    let max = Duration::from_nanos(bounds.most_ns).max(min);
    retry_after.max(min).min(max)
}
