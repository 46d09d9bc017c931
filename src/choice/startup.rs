//! What a node assumes after its start, when it knows neither its machine's speed nor what was there before it.
//!
//! - **Cold machine:** it does only a share of the concurrency that a warm one survives. The share grows from the
//!   initial speed to 1 over the warm-up time (settings, the slowest that is allowed); it bounds the ceiling of
//!   [`concurrency_limit`](super::concurrency_limit).
//! - **Predecessor:** an earlier process of this node may still hold calls at the downstream tier. What it held
//!   leaves the window as this process ages, so the part of the budget that may be used grows with that age from
//!   [`HEAD_START`] to 1; it bounds the budget of [`downstream_limit`](super::downstream_limit). The first process
//!   on a machine has the whole budget at once.
//!
//! Not in KIP-124.

use super::shared_constants::SAFETY_SHARE;
use crate::options::ColdStart;
use std::time::Duration;

/// Part of the downstream budget that a successor has at once: as much as the budget leaves of the share.
const HEAD_START: f64 = (1.0 - SAFETY_SHARE) / SAFETY_SHARE;
/// Warm-up times below this count as this, in seconds.
const MIN_WARM_UP_S: f64 = 1e-9;

/// Share of a warm machine's spare concurrency that this one has now, 0 to 1.
pub(super) fn warm_share(cold_start: Option<ColdStart>, now: Duration) -> f64 {
    cold_start.map_or(1.0, |cold| {
        let age = now.saturating_sub(cold.began).as_secs_f64()
            / cold.warm_up.as_secs_f64().max(MIN_WARM_UP_S);
        (cold.initial_speed + (1.0 - cold.initial_speed) * age).clamp(0.0, 1.0)
    })
}

/// How much of the downstream budget is free of what a predecessor may still hold.
#[derive(Default)]
pub(super) struct BudgetRamp {
    head_start: f64,
    /// When the budget was first asked for.
    began: Option<Duration>,
}

impl BudgetRamp {
    /// For a process that may have had a predecessor.
    pub(super) fn after_predecessor() -> Self {
        Self {
            head_start: HEAD_START,
            began: None,
        }
    }

    /// For the first process on its machine.
    pub(super) fn without_predecessor() -> Self {
        Self {
            head_start: 1.0,
            began: None,
        }
    }

    /// The part of the budget that may be used, 0 to 1. `window`: for which calls held count.
    pub(super) fn usable(&mut self, now: Duration, window: Duration) -> f64 {
        let began = *self.began.get_or_insert(now);
        let age = now.saturating_sub(began).as_secs_f64();
        (self.head_start + age / window.as_secs_f64()).min(1.0)
    }
}
