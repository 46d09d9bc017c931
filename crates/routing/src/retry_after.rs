//! When a rejected caller is asked to come back: all rules of a forwarder in one place.
//!
//! | case | retry-after | jitter | bounds of the configuration |
//! | --- | --- | --- | --- |
//! | too many requests in flight, or draining (decided by the forwarder) | its `OVERLOAD_RETRY_AFTER` | no | no |
//! | no route takes it | [`NO_ROUTE`] | no | no |
//! | a rate limit | when the limit admits the next request | no | yes |
//! | a concurrency limit | [`AT_CAPACITY`] | no | yes |
//! | no bucket for a limit | [`NO_BUCKET`] | no | yes |
//! | no usable pool | when the first member of the route's pools may take it, else [`NO_ROUTE`] | yes | yes |
//! | the tenant has its share of a scarce pool | when as much as it is over has probably ended | yes | yes |
//! | no member could take it | when the first member of the pool may, else [`DEFAULT`] | yes | no |
//! | its last attempt did not reach a member, and there is no retry | as above, but at least [`DEFAULT`] | yes | no |
//! | a member rejected it, and it is not retried | the member's own, at most [`MAX_RETRY_AFTER`] | no | no |
//!
//! Bounds are those of the route, else of the pool ([`clamp_to_configuration`]). What a member, a node, asks for is
//! computed by its own policy from its queues and quotas; a forwarder adds nothing to it.

use crate::table::Table;
use nanorand::{Rng, WyRand};
use std::time::Duration;

/// Where nothing better is known.
pub const DEFAULT: Duration = Duration::from_millis(500);
/// At a concurrency limit, where nobody knows when a request ends: a typical run.
pub const AT_CAPACITY: Duration = Duration::from_millis(100);
/// Without a route or a usable pool: as long as health takes to change.
pub const NO_ROUTE: Duration = Duration::from_secs(1);
/// Where all buckets are in use: by then the sweep has visited all ([`crate::token_buckets`]).
pub const NO_BUCKET: Duration = Duration::from_secs(1);
/// Shortest with jitter: what a caller needs to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Longest that a forwarder tells with jitter, believes of a member, or keeps a tenant from a member for: nothing is
/// known of a time further ahead.
pub const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Extended at random by up to this part, so that rejected callers do not come back all at once.
const JITTER: f64 = 0.5;

/// Within the bounds of a retry-after, and extended at random.
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
    let Some(bounds) = table.bounds(route, pool) else {
        return retry_after;
    };
    let min = Duration::from_nanos(bounds.least_ns);
    let max = Duration::from_nanos(bounds.most_ns).max(min);
    retry_after.max(min).min(max)
}
