//! The rates of pools against the quotas of tenants.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::Sort;
use crate::schema::{Rate, Route};
use crate::units::{self, ONE};
use foldhash::{HashMap, HashMapExt};

/// An hour, ns: every unit of a rate divides it.
const HOUR: u128 = 3_600_000_000_000;

impl Checker<'_, '_, '_> {
    /// A pool's rate against the quotas of the tenants that have nowhere else to go.
    pub(super) fn quotas(&mut self) {
        let all = self.all;
        let mut general: Vec<&Route> = Vec::new();
        let mut own: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in &all.routes {
            match route
                .r#match
                .as_ref()
                .filter(|matched| !matched.tenants.is_empty())
            {
                Some(matched) => {
                    for tenant in &matched.tenants {
                        own.entry(tenant).or_default().push(route);
                    }
                }
                None => general.push(route),
            }
        }
        let share = |route: &Route, pool: &str| {
            route
                .to
                .iter()
                .find(|target| target.pool == pool)
                .map_or(0, |target| target.share)
        };
        let limited: Vec<(usize, &Rate)> = all
            .pools
            .iter()
            .enumerate()
            .filter_map(|(k, pool)| {
                let limit = &all.limits[*self.limits.get(&*pool.limits)?];
                limit
                    .rate
                    .as_ref()
                    .filter(|_| limit.per() == crate::schema::Per::All)
                    .map(|rate| (k, rate))
            })
            .collect();
        for (k, rate) in limited {
            let name = &all.pools[k].name;
            let by_all = general.iter().map(|route| share(route, name)).min();
            if by_all == Some(0) {
                continue;
            }
            let mut promised = 0u128;
            for tenant in &all.tenants {
                let Some(quota) = &tenant.quota else { continue };
                let by_own = own
                    .get(&*tenant.name)
                    .into_iter()
                    .flatten()
                    .map(|route| share(route, name))
                    .min();
                let least = [by_all, by_own].into_iter().flatten().min().unwrap_or(0);
                promised += an_hour(quota) * u128::from(least) / u128::from(ONE);
            }
            if promised > an_hour(rate) {
                let a_second = (promised / 3_600) as u64;
                let words = format!(
                    "the pool `{}` lets in {}; its tenants' quotas come to {}",
                    shorten(name),
                    units::rate(rate.micro_tickets, rate.per_ns),
                    units::rate(a_second, 1_000_000_000)
                );
                let limit = self.limits[&*all.pools[k].limits];
                let other = self.block(Sort::Limits, limit).place("rate");
                let finding = self.tell(
                    Code::PoolTooSmall,
                    self.block(Sort::Pool, k).place("limits"),
                    words,
                );
                finding.also.push((other, "the rate".into()));
            }
        }
    }
}

/// Millionths of a ticket an hour, exactly.
fn an_hour(rate: &Rate) -> u128 {
    u128::from(rate.micro_tickets) * HOUR / u128::from(rate.per_ns.max(1))
}
