//! Which members may take a request of a tenant now, and why others are skipped.

use super::pool::Pool;
use super::types::MemberRef;
use super::{Pauses, LEAVING_WEIGHT};
use crate::decision_log::SkipReason;
use crate::health::Ejection;
use crate::tenant_fairness::TenantKey;
use rainstand_config::units::ONE;
use std::time::Duration;

/// Behind the indices of configured tenants: the cells of unknown ones.
const UNKNOWN_TENANT_BASE: u32 = 0x1_0000;

/// One number for a configured tenant or a cell of unknown ones.
pub(super) fn pause_key(tenant: TenantKey) -> u32 {
    match tenant {
        TenantKey::Configured(tenant) => u32::from(tenant),
        TenantKey::Unknown(cell) => UNKNOWN_TENANT_BASE + u32::from(cell),
    }
}

/// Why a member is skipped, and until when as far as that is known.
#[derive(Clone, Copy)]
pub(super) struct Skip {
    pub(super) reason: SkipReason,
    /// On the fleet's clock. Not known for [`SkipReason::Full`]: it is the present time then, and callers assume a typical
    /// attempt.
    pub(super) until: Duration,
}

/// What a request of one tenant may use at one time.
pub(super) struct Eligibility<'f> {
    pub(super) pools: &'f [Pool],
    pub(super) pauses: &'f Pauses,
    pub(super) now: Duration,
    pub(super) tenant: TenantKey,
}

impl Eligibility<'_> {
    /// Number of members of a pool.
    pub(super) fn member_count(&self, pool: u16) -> u16 {
        self.pools[usize::from(pool)].members.len() as u16
    }

    /// Why a member is skipped; `None` if it can take the request.
    pub(super) fn skip(&self, at: MemberRef) -> Option<Skip> {
        let (pool, member) = (&self.pools[usize::from(at.pool)], usize::from(at.member));
        let skip = |reason, until| Some(Skip { reason, until });
        let health = pool.health.as_ref();
        if let Some(Ejection { reason, until }) = health.and_then(|health| health.ejection(member))
        {
            return skip(SkipReason::Ejected(reason), until);
        }
        if let Some(until) = self.paused_until(at) {
            return skip(SkipReason::RetryAfter, until);
        }
        if pool.in_flight >= pool.places || !pool.limits[member].has_capacity() {
            return skip(SkipReason::Full, self.now);
        }
        let ramp = pool.members[member].ramp.as_ref();
        if let Some(until) = ramp.and_then(|ramp| ramp.blocked_until(self.now)) {
            return skip(SkipReason::WarmingUp, until);
        }
        let leaving = pool.leaving[member];
        (leaving > self.now).then_some(Skip {
            reason: SkipReason::Leaving,
            until: leaving,
        })
    }

    /// Until when the member asked the tenant to stay away.
    fn paused_until(&self, at: MemberRef) -> Option<Duration> {
        if self.pauses.is_empty() {
            return None;
        }
        let until = *self.pauses.get(&(at, pause_key(self.tenant)))?;
        (until > self.now).then_some(until)
    }

    /// The part of its usual traffic that a member may get; 0 if it is skipped.
    pub(super) fn weight(&self, at: MemberRef) -> f64 {
        match self.skip(at).map(|skip| skip.reason) {
            Some(SkipReason::Leaving) => LEAVING_WEIGHT,
            Some(_) => 0.0,
            None => {
                let health = self.pools[usize::from(at.pool)].health.as_ref();
                health.map_or(1.0, |health| {
                    health.usable(usize::from(at.member)) as f64 / ONE as f64
                })
            }
        }
    }

    /// Whether any member of a pool, other than `except`, can take the request.
    pub(super) fn any(&self, pool: u16, except: Option<MemberRef>) -> bool {
        (0..self.member_count(pool))
            .map(|member| MemberRef { pool, member })
            .any(|at| Some(at) != except && self.weight(at) > 0.0)
    }
}
