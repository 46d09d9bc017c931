//! Limits what one forwarder sends to a member that is warming up or may be cold: its part of what all forwarders
//! together may send.
//!
//! A member that just started would be overloaded by the sum of what all forwarders send it, and none of them knows
//! what the others send. Each forwarder therefore has an equal part of the rate that the member can take at its age.
//! The part is issued as permits, one each time its integral over time passes a whole number, and a permit expires if
//! it is not used soon, so that none accumulate. The phase of the first permit is random, so thirty senders with a
//! third of a permit each send ten requests, not thirty; and after a pause of all senders they do not each send one
//! request at the same time.
//!
//! Only a process that has been connected to a member without interruption knows that the member has not restarted. A
//! process that just started, or whose last connection closed, does not: the member may be cold, and gets the rate of
//! one that has just started, until it has been connected for its warm-up time.
//!
//! Invariant: the expected number of permits of all senders between two times is what the warm-up allows in that time,
//! whether senders join, leave, restart, or learn of the member's start late. A permit is used at most once.

use std::time::Duration;

/// Fraction of the requests of a warm member that a member gets that has just started; more than 0, or it would never
/// warm up.
pub const INITIAL_SHARE: f64 = 0.05;
/// Number of senders that is assumed if the configuration gives none: more than most fleets have, since too slow a
/// warm-up is safer than too fast a one.
pub const DEFAULT_SENDERS: u64 = 32;
/// Lifetime of a permit as a fraction of the window: long enough for the next request or two to use it.
const PERMIT_LIFETIME_WINDOW_FRACTION: f64 = 0.25;

/// Minimum wait for a permit, in seconds; more than 0, or the caller would retry at the same time.
const MIN_WAIT_S: f64 = 1e-6;
/// Maximum wait for a permit, in seconds, since a very small rate would overflow the duration. About a year, which is
/// in effect never.
const MAX_WAIT_S: f64 = 3e7;

/// The warm-up settings of one member, as they apply to this forwarder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    permits_per_second_when_warm: f64,
    warm_up_s: f64,
    /// How long a permit can be used.
    permit_lifetime: Duration,
}

impl WarmUpRule {
    /// `rate`: requests per second that all forwarders together may send to a warm member; `window`: time over which
    /// the rate is measured; `senders`: number of forwarders that send to it, 0 if unknown.
    pub fn new(rate: f64, window: Duration, senders: u64, warm_up: Duration) -> Self {
        let senders = if senders == 0 {
            DEFAULT_SENDERS
        } else {
            senders
        };
        // A window can contain the permits issued in it and those that had not expired when it began.
        let permits_per_second = rate / senders as f64 / (1.0 + PERMIT_LIFETIME_WINDOW_FRACTION);
        Self {
            permits_per_second_when_warm: permits_per_second,
            warm_up_s: warm_up.as_secs_f64(),
            permit_lifetime: window.mul_f64(PERMIT_LIFETIME_WINDOW_FRACTION),
        }
    }

    /// Permits issued from a member's start until this age, in seconds.
    fn permits_until_age(&self, age: f64) -> f64 {
        let initial_phase_s = age.min(INITIAL_SHARE * self.warm_up_s);
        let age_in_ramp = age.clamp(initial_phase_s, self.warm_up_s.max(initial_phase_s));
        let warm_s = age - age_in_ramp;
        let ramp_integral = (age_in_ramp * age_in_ramp - initial_phase_s * initial_phase_s)
            / (2.0 * self.warm_up_s);
        self.permits_per_second_when_warm
            * (INITIAL_SHARE * initial_phase_s + ramp_integral + warm_s)
    }

    /// The age in seconds at which this many permits have been issued since the member's start.
    fn age_at_permits(&self, permits: f64) -> f64 {
        let warm_seconds = permits / self.permits_per_second_when_warm;
        let initial_phase_s = INITIAL_SHARE * self.warm_up_s;
        if warm_seconds <= INITIAL_SHARE * initial_phase_s {
            return warm_seconds / INITIAL_SHARE;
        }
        let age_in_ramp = (2.0 * self.warm_up_s * (warm_seconds - INITIAL_SHARE * initial_phase_s)
            + initial_phase_s * initial_phase_s)
            .sqrt();
        age_in_ramp.min(self.warm_up_s)
    }
}

/// The permits of one forwarder for one member. See the module's documentation.
#[derive(Clone, Debug)]
pub struct WarmUpLimiter {
    rule: WarmUpRule,
    /// Since when there has been a connection without interruption; `None` if not connected.
    connected_since: Option<Duration>,
    /// Time from which permits are counted: the last change of `connected_since` or of the rule.
    counted_from: Duration,
    /// Fraction of a permit that had accrued by `counted_from`.
    initial_fraction: f64,
    /// Number of permits since `counted_from` that are used or expired.
    used_or_expired: f64,
}

impl WarmUpLimiter {
    /// Creates a limiter for a member whose age is unknown. `phase`: random, from 0 to less than 1.
    pub fn new(rule: WarmUpRule, phase: f64, now: Duration) -> Self {
        Self {
            rule,
            connected_since: None,
            counted_from: now,
            initial_fraction: phase.clamp(0.0, 1.0 - f64::EPSILON),
            used_or_expired: 0.0,
        }
    }

    /// Records that there has been a connection without interruption since `since`, which replaces an earlier time.
    pub fn on_connected(&mut self, since: Duration, now: Duration) {
        if self.connected_since != Some(since) {
            self.restart_count(now);
            self.connected_since = Some(since);
        }
    }

    /// Records that the last connection closed: the member may restart unnoticed.
    pub fn on_disconnected(&mut self, now: Duration) {
        if self.connected_since.is_some() {
            self.restart_count(now);
            self.connected_since = None;
        }
    }

    /// Takes over the state of a limiter with another rule, except for permits that are not used yet.
    pub fn carry_over_from(&mut self, previous: &WarmUpLimiter, now: Duration) {
        self.connected_since = previous.connected_since;
        self.counted_from = now;
        self.used_or_expired = 0.0;
        self.initial_fraction = previous.permits_until(now).fract();
    }

    /// Restarts the count at `now`: keeps the accrued fraction of the next permit and drops unused permits.
    fn restart_count(&mut self, now: Duration) {
        self.initial_fraction = self.permits_until(now).fract();
        self.counted_from = now;
        self.used_or_expired = 0.0;
    }

    /// Permits issued from `counted_from` until `now`, including the accrued fraction of the next one.
    fn permits_until(&self, now: Duration) -> f64 {
        let rule = &self.rule;
        let Some(since) = self.connected_since else {
            let elapsed = now.saturating_sub(self.counted_from).as_secs_f64();
            return self.initial_fraction
                + rule.permits_per_second_when_warm * INITIAL_SHARE * elapsed;
        };
        let age = |time: Duration| time.saturating_sub(since).as_secs_f64();
        self.initial_fraction + rule.permits_until_age(age(now.max(self.counted_from)))
            - rule.permits_until_age(age(self.counted_from))
    }

    /// Whether the member is known to be warm.
    pub fn is_warm(&self, now: Duration) -> bool {
        self.connected_since
            .is_some_and(|since| now.saturating_sub(since).as_secs_f64() >= self.rule.warm_up_s)
    }

    /// Permits that are used or expired by `now`.
    fn used_or_expired_at(&self, now: Duration) -> f64 {
        let expired_before = now
            .checked_sub(self.rule.permit_lifetime)
            .filter(|time| *time > self.counted_from);
        self.used_or_expired
            .max(expired_before.map_or(0.0, |time| self.permits_until(time).floor()))
    }

    /// The time of the next permit, or `None` if a request may be sent now.
    pub fn blocked_until(&self, now: Duration) -> Option<Duration> {
        if self.is_warm(now) {
            return None;
        }
        let (permits, used_or_expired) = (self.permits_until(now), self.used_or_expired_at(now));
        if used_or_expired + 1.0 <= permits {
            return None;
        }
        let (rule, missing_fraction) = (&self.rule, used_or_expired + 1.0 - permits);
        let wait = match self.connected_since {
            None => missing_fraction / (rule.permits_per_second_when_warm * INITIAL_SHARE),
            Some(since) => {
                let age = now.saturating_sub(since).as_secs_f64();
                rule.age_at_permits(rule.permits_until_age(age) + missing_fraction) - age
            }
        };
        Some(now + Duration::from_secs_f64(wait.clamp(MIN_WAIT_S, MAX_WAIT_S)))
    }

    /// Records a request to the member, which uses a permit unless the member is warm.
    pub fn take(&mut self, now: Duration) {
        if !self.is_warm(now) {
            self.used_or_expired = self.used_or_expired_at(now) + 1.0;
        }
    }
}
