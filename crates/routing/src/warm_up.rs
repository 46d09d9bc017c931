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

/// Shortest wait for a turn, in seconds: never none, or the caller would ask again at the same time.
const MIN_WAIT_S: f64 = 1e-6;
/// Longest wait for a turn, in seconds: a very small rate would overflow the time, and about a year stands for never.
const MAX_WAIT_S: f64 = 3e7;

/// The rule for one member, as far as this forwarder has to keep it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpRule {
    turns_per_second_when_warm: f64,
    warm_up_s: f64,
    /// How long a turn may be used.
    turn_lifetime: Duration,
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
        let turns_per_second = rate / senders as f64 / (1.0 + TURN_LIFETIME_WINDOW_FRACTION);
        Self {
            turns_per_second_when_warm: turns_per_second,
            warm_up_s: warm_up.as_secs_f64(),
            turn_lifetime: window.mul_f64(TURN_LIFETIME_WINDOW_FRACTION),
        }
    }

    /// Turns since the start of a member of this age, in seconds.
    fn turns_until_age(&self, age: f64) -> f64 {
        let flat = age.min(INITIAL_SHARE * self.warm_up_s);
        let rising = age.clamp(flat, self.warm_up_s.max(flat));
        let over = age - rising;
        let rise = (rising * rising - flat * flat) / (2.0 * self.warm_up_s);
        self.turns_per_second_when_warm * (INITIAL_SHARE * flat + rise + over)
    }

    /// The age in seconds at which there have been so many turns.
    fn age_at_turns(&self, turns: f64) -> f64 {
        let warm_seconds = turns / self.turns_per_second_when_warm;
        let flat = INITIAL_SHARE * self.warm_up_s;
        if warm_seconds <= INITIAL_SHARE * flat {
            return warm_seconds / INITIAL_SHARE;
        }
        let rising =
            (2.0 * self.warm_up_s * (warm_seconds - INITIAL_SHARE * flat) + flat * flat).sqrt();
        rising.min(self.warm_up_s)
    }
}

/// The turns of one forwarder at one member. See the module's documentation.
#[derive(Clone, Debug)]
pub struct WarmUpLimiter {
    rule: WarmUpRule,
    /// Connected without a gap since then.
    connected_since: Option<Duration>,
    /// When something was last learned; turns are counted from then.
    counted_from: Duration,
    /// The part of a turn that had come up by then.
    turns_before: f64,
    /// Turns up to this one are used or lost.
    used: f64,
}

impl WarmUpLimiter {
    /// Nothing is known of the member. `phase`: random, from 0 up to 1.
    pub fn new(rule: WarmUpRule, phase: f64, now: Duration) -> Self {
        Self {
            rule,
            connected_since: None,
            counted_from: now,
            turns_before: phase.clamp(0.0, 1.0 - f64::EPSILON),
            used: 0.0,
        }
    }

    /// Connected without a gap since then; whatever was known before is no longer.
    pub fn on_connected(&mut self, since: Duration, now: Duration) {
        if self.connected_since != Some(since) {
            self.restart_turns(now);
            self.connected_since = Some(since);
        }
    }

    /// No connection is left: what answers there next may have just started.
    pub fn on_disconnected(&mut self, now: Duration) {
        if self.connected_since.is_some() {
            self.restart_turns(now);
            self.connected_since = None;
        }
    }

    /// What was known under another rule holds, but for turns that were open.
    pub fn carry(&mut self, before: &WarmUpLimiter, now: Duration) {
        self.connected_since = before.connected_since;
        self.counted_from = now;
        self.used = 0.0;
        self.turns_before = before.turns_until(now).fract();
    }

    /// Counts again from now: the fraction of the next turn is kept, turns that are open are lost.
    fn restart_turns(&mut self, now: Duration) {
        self.turns_before = self.turns_until(now).fract();
        self.counted_from = now;
        self.used = 0.0;
    }

    /// The turns that have come up by a time.
    fn turns_until(&self, now: Duration) -> f64 {
        let rule = &self.rule;
        let Some(since) = self.connected_since else {
            let elapsed = now.saturating_sub(self.counted_from).as_secs_f64();
            return self.turns_before + rule.turns_per_second_when_warm * INITIAL_SHARE * elapsed;
        };
        let age = |at: Duration| at.saturating_sub(since).as_secs_f64();
        self.turns_before + rule.turns_until_age(age(now.max(self.counted_from)))
            - rule.turns_until_age(age(self.counted_from))
    }

    /// Whether it is known to be warm.
    pub fn is_warm(&self, now: Duration) -> bool {
        self.connected_since
            .is_some_and(|since| now.saturating_sub(since).as_secs_f64() >= self.rule.warm_up_s)
    }

    /// Turns that are used or lost by then.
    fn used_at(&self, now: Duration) -> f64 {
        let old = now
            .checked_sub(self.rule.turn_lifetime)
            .filter(|then| *then > self.counted_from);
        self.used
            .max(old.map_or(0.0, |then| self.turns_until(then).floor()))
    }

    /// Until when it may get nothing, if it may get nothing now.
    pub fn blocked_until(&self, now: Duration) -> Option<Duration> {
        if self.is_warm(now) {
            return None;
        }
        let (turns, used) = (self.turns_until(now), self.used_at(now));
        if used + 1.0 <= turns {
            return None;
        }
        let (rule, missing) = (&self.rule, used + 1.0 - turns);
        let wait = match self.connected_since {
            None => missing / (rule.turns_per_second_when_warm * INITIAL_SHARE),
            Some(since) => {
                let age = now.saturating_sub(since).as_secs_f64();
                rule.age_at_turns(rule.turns_until_age(age) + missing) - age
            }
        };
        Some(now + Duration::from_secs_f64(wait.clamp(MIN_WAIT_S, MAX_WAIT_S)))
    }

    /// A call goes to it.
    pub fn take(&mut self, now: Duration) {
        if !self.is_warm(now) {
            self.used = self.used_at(now) + 1.0;
        }
    }
}
