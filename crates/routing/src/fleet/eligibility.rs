//! Which members may take a request of a tenant now, and why others are skipped.

use super::pool::Pool;
use super::types::MemberRef;
use super::{Pauses, DRAINING_WEIGHT};
use crate::decision_log::SkipReason;
use crate::health::Ejection;
use crate::tenant_fairness::TenantKey;
use rainstand_config::units::ONE;
use std::time::Duration;

/// First pause key of unknown tenants; lower ones are indices of configured tenants.
const UNKNOWN_TENANT_BASE: u32 = 0x1_0000;

/// The key of a configured tenant, or of the cell of an unknown one, in [`Pauses`].
pub(super) fn pause_key(tenant: TenantKey) -> u32 {
    match tenant {
        TenantKey::Configured(tenant) => u32::from(tenant),
        TenantKey::Unknown(cell) => UNKNOWN_TENANT_BASE + u32::from(cell),
    }
}

/// Why a member is skipped, and until when if that is known.
#[derive(Clone, Copy)]
pub(super) struct Skip {
    pub(super) reason: SkipReason,
    /// On the fleet's clock. Unknown for [`SkipReason::Full`]: then it is the current time, and users of this module
    /// assume the typical duration of an attempt.
    pub(super) until: Duration,
}

/// Which members a request of one tenant may use at one time.
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

    /// Why a member is skipped; `None` if it may take the request.
    pub(super) fn skip(&self, member_ref: MemberRef) -> Option<Skip> {
        let (pool, member) = (
            &self.pools[usize::from(member_ref.pool)],
            usize::from(member_ref.member),
        );
        let skip = |reason, until| Some(Skip { reason, until });
        let health = pool.health.as_ref();
        if let Some(Ejection { reason, until }) = health.and_then(|health| health.ejection(member))
        {
            return skip(SkipReason::Ejected(reason), until);
        }
        if let Some(until) = self.paused_until(member_ref) {
            return skip(SkipReason::RetryAfter, until);
        }
        if pool.in_flight >= pool.places || !pool.limits[member].has_capacity() {
            return skip(SkipReason::Full, self.now);
        }
        let ramp = pool.members[member].warm_up_limiter.as_ref();
        if let Some(until) = ramp.and_then(|ramp| ramp.blocked_until(self.now)) {
            return skip(SkipReason::WarmingUp, until);
        }
        let draining_until = pool.draining_until[member];
        (draining_until > self.now).then_some(Skip {
            reason: SkipReason::Draining,
            until: draining_until,
        })
    }

    /// When the retry-after of the member for the tenant ends, if one is stored.
    fn paused_until(&self, member_ref: MemberRef) -> Option<Duration> {
        if self.pauses.is_empty() {
            return None;
        }
        let until = *self.pauses.get(&(member_ref, pause_key(self.tenant)))?;
        (until > self.now).then_some(until)
    }

    /// Fraction of its usual traffic that a member may get; 0 if it is skipped.
    pub(super) fn weight(&self, member_ref: MemberRef) -> f64 {
        match self.skip(member_ref).map(|skip| skip.reason) {
            Some(SkipReason::Draining) => DRAINING_WEIGHT,
            Some(_) => 0.0,
            None => {
                let health = self.pools[usize::from(member_ref.pool)].health.as_ref();
                health.map_or(1.0, |health| {
                    health.traffic_fraction(usize::from(member_ref.member)) as f64 / ONE as f64
                })
            }
        }
    }

    /// Whether any member of a pool, other than `except`, may take the request.
    pub(super) fn any_usable(&self, pool: u16, except: Option<MemberRef>) -> bool {
        (0..self.member_count(pool))
            .map(|member| MemberRef { pool, member })
            .any(|member_ref| Some(member_ref) != except && self.weight(member_ref) > 0.0)
    }
}
