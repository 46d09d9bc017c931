//! What each tenant has spent, and what it may spend.

use super::shared_constants::{MEAN_SPAN, MIN_SAMPLES};
use crate::decay::{Decaying, Mean};
use std::time::Duration;

/// Window of the quotas: shows the rate of a tenant of one request a second, yet is short beside a surge.
pub(super) const WINDOW: Duration = Duration::from_secs(4);
/// Mean charges beyond its quota that a tenant may spend in a window: one run alone proves no habit.
pub(super) const BURST_CHARGES: f64 = 1.0;

/// What the targets of all tenants are computed from.
#[derive(Clone, Copy)]
pub(super) struct TargetScale {
    /// Mean charge of a run, in seconds of core time.
    pub(super) mean_charge: f64,
    /// What all tenants spent in the window, for each unit of their quotas.
    pub(super) charge_per_rate: f64,
}

/// What a tenant spent and requested in the window, in multiples of its target.
#[derive(Default)]
pub(super) struct TenantUsage {
    /// Core time that was charged.
    pub(super) spent: f64,
    /// Core time that all its requests would take.
    pub(super) requested: f64,
}

/// What each tenant has spent, and what it may spend: the design's quota.
pub struct TenantQuotas {
    pub(super) rates: Vec<f64>,
    pub(super) spent: Vec<Decaying>,
    pub(super) requested: Vec<Decaying>,
    pub(super) rejected_until: Vec<Duration>,
    pub(super) charge: Mean,
}

impl TenantQuotas {
    /// `quotas`: requests a second over all `servers`; the last account is for requests of no tenant.
    pub fn new(quotas: &[f64], servers: usize) -> Self {
        let n = quotas.len() + 1;
        let rates = quotas
            .iter()
            .map(|quota| quota / servers.max(1) as f64)
            .collect();
        let (spent, requested) = (vec![Decaying::default(); n], vec![Decaying::default(); n]);
        Self {
            rates,
            spent,
            requested,
            rejected_until: vec![Duration::ZERO; n],
            charge: Mean::default(),
        }
    }

    /// The mean charge, and what all tenants together spent for each unit of quota: one pass for all of them.
    pub(super) fn target_scale(&self, now: Duration) -> Option<TargetScale> {
        let mean_charge = self.charge.known(now, MEAN_SPAN, MIN_SAMPLES)?;
        let all: f64 = self.spent.iter().map(|spent| spent.read(now, WINDOW)).sum();
        let charge_per_rate = all / self.rates.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        Some(TargetScale {
            mean_charge,
            charge_per_rate,
        })
    }

    /// T is the quota times the mean charge; while the tenants together spend more than their quotas, the
    /// capacity is lent in proportion, so that T never binds below what is there. Guards against thin quotas
    /// too: two charges that come together prove nothing.
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
        let target_or_tiny = target.max(f64::MIN_POSITIVE);
        let requested = self.requested[account].read(now, WINDOW) * mean / target_or_tiny;
        TenantUsage {
            spent: self.spent[account].read(now, WINDOW) / target_or_tiny,
            requested,
        }
    }

    /// At the end of a run: X = (O - T) / T * W, at most W.
    pub(super) fn charge_run(&mut self, now: Duration, account: usize, charge: f64) {
        self.charge.add(now, charge, MEAN_SPAN);
        self.spent[account].add(now, charge, WINDOW);
        let excess = (self.usage(now, account, self.target_scale(now)).spent - 1.0).clamp(0.0, 1.0);
        self.rejected_until[account] = now + WINDOW.mul_f64(excess);
    }
}
