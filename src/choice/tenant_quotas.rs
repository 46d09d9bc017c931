//! Tenant quotas: what a tenant is charged for, how much it may be charged in a window, and how long it counts as
//! over its quota. Source: KIP-124, "Request rate quotas".
//!
//! | KIP-124 | here | unit |
//! | --- | --- | --- |
//! | time on the broker's threads | charge of a run, [`run_charge`] | seconds of core time |
//! | window W | [`WINDOW`] | time |
//! | O, observed | what a tenant was charged in the window, as a decaying sum | seconds of core time |
//! | T, quota | the tenant's requests per second at this node times W times the mean charge | seconds of core time |
//! | delay X = (O - T) / T * W, at most W | [`TenantQuotas::delay`], set when a run ends | time |
//!
//! Departures from KIP-124:
//! - A quota is a number of requests per second over all servers. The mean charge on this node converts it to core
//!   time; until that mean is known, no tenant is over its quota.
//! - While all tenants together spend more than their quotas, every T is raised in proportion: a tenant is over
//!   its quota if its part of the core time spent exceeds its part of the quotas.
//! - [`BURST_CHARGES`] mean charges are allowed beyond T: a small quota covers only a few charges, and the run that
//!   has just ended does not show that the tenant spends too much.
//! - Responses are not delayed. [`admission`](super::admission) decides whether a request is rejected because of the
//!   delay, and does so only under overload.
//!
//! Requests without a known tenant share the last account, which has no quota and is never over it.

use super::shared_constants::{MEAN_SPAN, MIN_SAMPLES};
use crate::decay::{Decaying, Mean};
use std::time::Duration;

/// Window W of the quotas, and the longest delay.
pub(super) const WINDOW: Duration = Duration::from_secs(4);
/// How much a tenant may spend beyond its quota in a window, in mean charges.
const BURST_CHARGES: f64 = 1.0;

/// Values that the targets of all tenants are computed from.
#[derive(Clone, Copy)]
pub(super) struct TargetScale {
    /// Mean charge of a run, in seconds of core time.
    mean_charge: f64,
    /// What all tenants together spent in the window, in seconds of core time per request per second of their
    /// quotas.
    charge_per_rate: f64,
}

/// What a tenant spent and requested in the window, as multiples of its target T.
#[derive(Default)]
pub(super) struct TenantUsage {
    /// O / T: the core time charged.
    pub(super) spent: f64,
    /// The core time that all its requests would take, divided by T.
    pub(super) requested: f64,
}

impl TenantUsage {
    /// Whether the tenant spent more than its target.
    pub(super) fn is_over_quota(&self) -> bool {
        self.spent > 1.0
    }
}

/// Quota and usage of each tenant.
pub struct TenantQuotas {
    /// Quotas of the tenants in requests per second at this node, by account.
    rates: Vec<f64>,
    /// Charges by account, in seconds of core time.
    spent: Vec<Decaying>,
    /// Number of requests by account.
    requested: Vec<Decaying>,
    /// When the delay ends, by account.
    delayed_until: Vec<Duration>,
    /// Mean charge of a run, in seconds of core time.
    charge: Mean,
}

/// The charge of a run, in seconds of core time: its time without waits, times the cores per run where more runs than
/// cores share them.
pub(super) fn run_charge(time: Duration, cores: usize, running: usize) -> f64 {
    let cores_per_run = (cores as f64 / running as f64).min(1.0);
    time.as_secs_f64() * cores_per_run
}

impl TenantQuotas {
    /// `quotas`: requests per second over all `servers`, by tenant.
    pub fn new(quotas: &[f64], servers: usize) -> Self {
        let accounts = quotas.len() + 1;
        let rates = quotas
            .iter()
            .map(|quota| quota / servers.max(1) as f64)
            .collect();
        Self {
            rates,
            spent: vec![Decaying::default(); accounts],
            requested: vec![Decaying::default(); accounts],
            delayed_until: vec![Duration::ZERO; accounts],
            charge: Mean::default(),
        }
    }

    /// Takes over the quotas of `new`, which must have the same number of tenants.
    pub(super) fn set_rates(&mut self, new: Self) {
        self.rates = new.rates;
    }

    /// Number of tenants with a quota.
    pub(super) fn tenants(&self) -> usize {
        self.rates.len()
    }

    /// Number of accounts: one per tenant, and one for requests without a known tenant.
    pub(super) fn accounts(&self) -> usize {
        self.spent.len()
    }

    /// The account of a request's tenant.
    pub(super) fn account_of(&self, tenant: Option<usize>) -> usize {
        tenant.unwrap_or(usize::MAX).min(self.tenants())
    }

    /// Counts a request as demand of its tenant. Retries do not count: the retries of shed requests would cause more
    /// of them to be shed.
    pub(super) fn record_request(&mut self, now: Duration, account: usize, is_retry: bool) {
        let demand = if is_retry { 0.0 } else { 1.0 };
        self.requested[account].add(now, demand, WINDOW);
    }

    /// Removes a request that could not be started from the demand: it may be forged, and is then no demand of the
    /// tenant that it names.
    pub(super) fn withdraw_request(&mut self, now: Duration, account: usize) {
        self.requested[account].add(now, -1.0, WINDOW);
    }

    /// The mean charge of a run, in seconds of core time; zero before the first run.
    pub(super) fn mean_charge(&self) -> f64 {
        self.charge.read().unwrap_or(0.0)
    }

    /// The values that targets are computed from now; `None` while the mean charge is not known.
    pub(super) fn target_scale(&self, now: Duration) -> Option<TargetScale> {
        let mean_charge = self.charge.known(now, MEAN_SPAN, MIN_SAMPLES)?;
        let total_spent: f64 = self.spent.iter().map(|spent| spent.read(now, WINDOW)).sum();
        let charge_per_rate = total_spent / self.rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        Some(TargetScale {
            mean_charge,
            charge_per_rate,
        })
    }

    /// What a tenant spent and requested, as multiples of its target T; zero if it has no known target.
    pub(super) fn usage(
        &self,
        now: Duration,
        account: usize,
        scale: Option<TargetScale>,
    ) -> TenantUsage {
        let Some((rate, scale)) = self.rates.get(account).zip(scale) else {
            return TenantUsage::default();
        };
        let mean = scale.mean_charge;
        let target =
            rate * scale.charge_per_rate.max(mean * WINDOW.as_secs_f64()) + BURST_CHARGES * mean;
        let positive_target = target.max(f64::MIN_POSITIVE);
        let requested = self.requested[account].read(now, WINDOW) * mean / positive_target;
        TenantUsage {
            spent: self.spent[account].read(now, WINDOW) / positive_target,
            requested,
        }
    }

    /// Adds the charge of a run that ended, in seconds of core time, and recomputes its tenant's delay.
    pub(super) fn charge_run(&mut self, now: Duration, account: usize, charge: f64) {
        self.charge.add(now, charge, MEAN_SPAN);
        self.spent[account].add(now, charge, WINDOW);
        let excess = (self.usage(now, account, self.target_scale(now)).spent - 1.0).clamp(0.0, 1.0);
        self.delayed_until[account] = now + WINDOW.mul_f64(excess);
    }

    /// Remaining delay of a tenant; zero for a tenant within its quota.
    pub(super) fn delay(&self, now: Duration, account: usize) -> Duration {
        self.delayed_until[account].saturating_sub(now)
    }
}
