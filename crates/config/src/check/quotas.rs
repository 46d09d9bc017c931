//! The rates of pools against the quotas of tenants.

use super::Checker;
use crate::codes::Code;
use crate::finding::shorten;
use crate::resolve::BlockKind;
use crate::schema::{Configuration, Per, Rate, Route};
use crate::units::{self, ONE};
use foldhash::{HashMap, HashMapExt};

/// An hour, ns, which every unit of a rate divides.
const HOUR_NS: u128 = 3_600_000_000_000;
const HOUR_SECONDS: u128 = 3_600;
const SECOND_NS: u64 = 1_000_000_000;

/// The routes that a tenant's requests may take.
struct RoutesByTenant<'k> {
    of_all_tenants: Vec<&'k Route>,
    /// Routes that name tenants, by each of them.
    own: HashMap<&'k str, Vec<&'k Route>>,
}

impl<'k> RoutesByTenant<'k> {
    fn new(all: &'k Configuration) -> Self {
        let mut routes = Self {
            of_all_tenants: Vec::new(),
            own: HashMap::new(),
        };
        for route in &all.routes {
            let tenants = route.r#match.as_ref().map_or(&[][..], |one| &one.tenants);
            if tenants.is_empty() {
                routes.of_all_tenants.push(route);
            }
            for tenant in tenants {
                routes.own.entry(tenant).or_default().push(route);
            }
        }
        routes
    }

    /// The smallest share of a request's chances to reach a pool, over the routes of all tenants.
    fn least_share_of_all(&self, pool: &str) -> Option<u64> {
        let routes = self.of_all_tenants.iter();
        routes.map(|route| share_of(route, pool)).min()
    }

    /// The same over a tenant's own routes.
    fn least_share_of(&self, tenant: &str, pool: &str) -> Option<u64> {
        let routes = self.own.get(tenant).into_iter().flatten();
        routes.map(|route| share_of(route, pool)).min()
    }
}

/// The share of a route's requests that go to a pool, in millionths.
fn share_of(route: &Route, pool: &str) -> u64 {
    let target = route.to.iter().find(|target| target.pool == pool);
    target.map_or(0, |target| target.share)
}

/// Millionths of a ticket an hour, exactly.
fn per_hour(rate: &Rate) -> u128 {
    u128::from(rate.micro_tickets) * HOUR_NS / u128::from(rate.per_ns.max(1))
}

impl<'k> Checker<'k, '_, '_> {
    /// A pool admits at least the quotas of the tenants that have nowhere else to go.
    pub(super) fn check_quotas(&mut self) {
        let routes = RoutesByTenant::new(self.all);
        for (index, pool) in self.all.pools.iter().enumerate() {
            let Some(limits) = self.limits.get(&*pool.limits).copied() else {
                continue;
            };
            let Some(rate) = self.rate_of_all(limits) else {
                continue;
            };
            let quotas_per_hour = quotas_per_hour(self.all, &routes, &pool.name);
            if quotas_per_hour > per_hour(rate) {
                let quotas_per_second = (quotas_per_hour / HOUR_SECONDS) as u64;
                let message = format!(
                    "the pool `{}` lets in {}; its tenants' quotas come to {}",
                    shorten(&pool.name),
                    units::rate(rate.micro_tickets, rate.per_ns),
                    units::rate(quotas_per_second, SECOND_NS)
                );
                let rate_span = self.block(BlockKind::Limits, limits).span_of("rate");
                let span = self.block(BlockKind::Pool, index).span_of("limits");
                self.report(Code::PoolTooSmall, span, message)
                    .add_label(rate_span, "the rate");
            }
        }
    }

    /// The rate of limits that hold for all requests together.
    fn rate_of_all(&self, limits: usize) -> Option<&'k Rate> {
        let limits = &self.all.limits[limits];
        limits.rate.as_ref().filter(|_| limits.per() == Per::All)
    }
}

/// What the quotas of all tenants come to at a pool, in millionths of a ticket an hour.
fn quotas_per_hour(all: &Configuration, routes: &RoutesByTenant<'_>, pool: &str) -> u128 {
    let of_all_tenants = routes.least_share_of_all(pool);
    if of_all_tenants == Some(0) {
        return 0;
    }
    let tenants = all.tenants.iter();
    let quotas = tenants.filter_map(|tenant| Some((tenant, tenant.quota.as_ref()?)));
    quotas
        .map(|(tenant, quota)| {
            let own = routes.least_share_of(&tenant.name, pool);
            let least = [of_all_tenants, own].into_iter().flatten().min();
            per_hour(quota) * u128::from(least.unwrap_or(0)) / u128::from(ONE)
        })
        .sum()
}
