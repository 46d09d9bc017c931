//! What one forwarder may send to a member that warms up, or may be cold: its part of what all forwarders may send.
//!
//! A member that just started would be overloaded by the sum of what all forwarders send it, and none of them knows the
//! others. So each has its part of the budget, the member's rate at its age over the number of senders, and nothing of
//! it is saved up: a turn comes up each time the integral of the part passes a whole number, and expires if it is not
//! used soon. The phase of the first turn is random, so thirty senders with a third of a turn each send ten requests,
//! not thirty; and a pause of all does not end with one request of each.
//!
//! Only a process that has been connected to a member without a gap knows that it is the same one as before. One that
//! just started, or closed its last connection, knows nothing of it: the member may be cold, and gets the part of one
//! that has just started, until it has been connected for its warm-up time.
//!
//! Invariant: between two times the turns of all senders are in the mean what the warm-up allows between them, whichever
//! senders join, leave, learn late or restart; a turn is used once.

use std::time::Duration;

/// A member that just started gets this part of a warm one's requests: never none, or it would not warm up at all.
pub const INITIAL_SHARE: f64 = 0.05;
/// Senders that are assumed where the configuration names no number: more than most fleets have, so that it errs
/// toward warming slowly.
pub const DEFAULT_SENDERS: u64 = 32;
/// How long a turn stays open, as a part of the window: long enough to be met by the next request or two.
const TURN_LIFETIME_WINDOW_FRACTION: f64 = 0.25;

/// The rule for one member, as far as this forwarder has to keep it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    /// Turns a second once it is warm.
    share: f64,
    warm_up: f64,
    open: Duration,
}

impl WarmUpRule {
    /// `rate`: calls a second that a warm member may be sent by all; `window`: over which it bears them; `senders`:
    /// forwarders that send to it, 0 where nobody said.
    pub fn new(rate: f64, window: Duration, senders: u64, warm_up: Duration) -> Self {
        let senders = if senders == 0 {
            DEFAULT_SENDERS
        } else {
            senders
        };
        // A window may hold the turns that came up in it and those that were still open when it began.
        let share = rate / senders as f64 / (1.0 + TURN_LIFETIME_WINDOW_FRACTION);
        Self {
            share,
            warm_up: warm_up.as_secs_f64(),
            open: window.mul_f64(TURN_LIFETIME_WINDOW_FRACTION),
        }
    }

    /// Turns since its start for one of this age, s.
    fn sum(&self, age: f64) -> f64 {
        let flat = age.min(INITIAL_SHARE * self.warm_up);
        let rising = age.clamp(flat, self.warm_up.max(flat));
        let over = age - rising;
        let rise = (rising * rising - flat * flat) / (2.0 * self.warm_up);
        self.share * (INITIAL_SHARE * flat + rise + over)
    }

    /// The age at which there have been so many, s.
    fn age(&self, sum: f64) -> f64 {
        let (of_full, flat) = (sum / self.share, INITIAL_SHARE * self.warm_up);
        if of_full <= INITIAL_SHARE * flat {
            return of_full / INITIAL_SHARE;
        }
        let rising = (2.0 * self.warm_up * (of_full - INITIAL_SHARE * flat) + flat * flat).sqrt();
        rising.min(self.warm_up)
    }
}

/// The turns of one forwarder at one member. See the module's documentation.
#[derive(Clone, Debug)]
pub struct WarmUpLimiter {
    rule: WarmUpRule,
    /// Connected without a gap since then.
    since: Option<Duration>,
    /// The sum is `level` at `from`, when something was last learned.
    from: Duration,
    level: f64,
    /// Turns up to this one are used or lost.
    used: f64,
}

impl WarmUpLimiter {
    /// Nothing is known of the member. `phase`: random, from 0 up to 1.
    pub fn new(rule: WarmUpRule, phase: f64, now: Duration) -> Self {
        Self {
            rule,
            since: None,
            from: now,
            level: phase.clamp(0.0, 1.0 - f64::EPSILON),
            used: 0.0,
        }
    }

    /// Connected without a gap since then; whatever was known before is no longer.
    pub fn on_connected(&mut self, since: Duration, now: Duration) {
        if self.since != Some(since) {
            self.turn(now);
            self.since = Some(since);
        }
    }

    /// No connection is left: what answers there next may have just started.
    pub fn on_disconnected(&mut self, now: Duration) {
        if self.since.is_some() {
            self.turn(now);
            self.since = None;
        }
    }

    /// What was known under another rule holds, but for turns that were open.
    pub fn carry(&mut self, before: &WarmUpLimiter, now: Duration) {
        (self.since, self.from, self.used) = (before.since, now, 0.0);
        self.level = before.at(now).fract();
    }

    fn turn(&mut self, now: Duration) {
        (self.level, self.from, self.used) = (self.at(now).fract(), now, 0.0);
    }

    /// The sum of turns at a time.
    fn at(&self, now: Duration) -> f64 {
        let rule = &self.rule;
        let Some(since) = self.since else {
            return self.level
                + rule.share * INITIAL_SHARE * now.saturating_sub(self.from).as_secs_f64();
        };
        let age = |at: Duration| at.saturating_sub(since).as_secs_f64();
        self.level + rule.sum(age(now.max(self.from))) - rule.sum(age(self.from))
    }

    /// Whether it is known to be warm.
    pub fn is_warm(&self, now: Duration) -> bool {
        self.since
            .is_some_and(|since| now.saturating_sub(since).as_secs_f64() >= self.rule.warm_up)
    }

    /// Turns that are used or lost by then.
    fn used_at(&self, now: Duration) -> f64 {
        let old = now
            .checked_sub(self.rule.open)
            .filter(|then| *then > self.from);
        self.used.max(old.map_or(0.0, |then| self.at(then).floor()))
    }

    /// Until when it may get nothing, if it may get nothing now.
    pub fn blocked_until(&self, now: Duration) -> Option<Duration> {
        if self.is_warm(now) {
            return None;
        }
        let (sum, used) = (self.at(now), self.used_at(now));
        if used + 1.0 <= sum {
            return None;
        }
        let (rule, missing) = (&self.rule, used + 1.0 - sum);
        let wait = match self.since {
            None => missing / (rule.share * INITIAL_SHARE),
            Some(since) => {
                let age = now.saturating_sub(since).as_secs_f64();
                rule.age(rule.sum(age) + missing) - age
            }
        };
        // Rates may be as small as one likes; a year is never.
        Some(now + Duration::from_secs_f64(wait.clamp(1e-6, 3e7)))
    }

    /// A call goes to it.
    pub fn take(&mut self, now: Duration) {
        if !self.is_warm(now) {
            self.used = self.used_at(now) + 1.0;
        }
    }
}
