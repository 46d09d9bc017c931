//! Generates configurations for a fleet of a given size: the one projected for two years ahead, or a fraction of it.
//!
//! They resemble a deployment of many services: each service has its own routes, which match a prefix of the entity;
//! one route in eight matches a few tenants only; members are grouped in pools by zone. The same size always yields the
//! same text. Names are just numbers, so that nothing depends on them.

use std::fmt::Write as _;

/// One in this many routes matches only some tenants.
const TENANT_ROUTE_INTERVAL: usize = 8;
/// Number of tenants that such a route matches.
const TENANTS_PER_TENANT_ROUTE: usize = 4;
/// Steps per per cent in which shares are written: the smallest step of the configuration language.
const SHARE_STEPS_PER_PERCENT: usize = 10_000;

/// Start of each configuration, with the request classes.
const HEADER: &str =
    "rain 1\n\ntype check {\n  repeat: rerunnable\n  goal: 3.1 s\n  outer-limit: 7.8 s\n}\n\n\
     type register {\n  repeat: exclusive\n  goal: 2.3 s\n  outer-limit: 6.2 s\n  benefit: 3\n}\n\n";

/// Which entries of a configuration have limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limited {
    /// None.
    None,
    /// Each tenant.
    Tenants,
    /// Each tenant, and each route with `per: tenant`: up to routes times tenants counters.
    PerTenantOnRoutes,
}

/// The size of a fleet. Each count is at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Services, each with its own routes.
    pub services: usize,
    /// Routes of all services together.
    pub routes: usize,
    /// Tenants; at most 990,000, because a share cannot be below its smallest step.
    pub tenants: usize,
    /// Zones, over which the pools are distributed.
    pub zones: usize,
    /// Pools.
    pub pools: usize,
    /// Members of all pools together.
    pub members: usize,
    /// Which entries have limits.
    pub limits: Limited,
}

impl Size {
    /// The size projected for two years ahead: 630 nodes in six zones, 490 services, 5,400 routes, 23,000 tenants.
    pub fn two_years() -> Self {
        Self {
            services: 490,
            routes: 5_400,
            tenants: 23_000,
            zones: 6,
            pools: 90,
            members: 630,
            limits: Limited::Tenants,
        }
    }

    /// Scales all counts but the zones by `fraction`.
    #[must_use]
    pub fn part(self, fraction: f64) -> Self {
        let scaled = |count: usize| ((count as f64 * fraction).round() as usize).max(1);
        Self {
            services: scaled(self.services),
            routes: scaled(self.routes),
            tenants: scaled(self.tenants),
            pools: scaled(self.pools),
            members: scaled(self.members).max(scaled(self.pools)),
            ..self
        }
    }

    /// An entity that `route` matches.
    pub fn entity(&self, route: usize) -> String {
        format!("s{}/r{route}/1", route % self.services)
    }

    /// The configuration as one `.rain` text, with member addresses on which no server listens.
    pub fn rain(&self) -> String {
        self.rain_to(|member| {
            format!(
                "10.{}.{}.{}:5050",
                1 + member / 62_500,
                member / 250 % 250,
                1 + member % 250
            )
        })
    }

    /// As [`Size::rain`], with the address of each member given by `address`, which gets the member's number from 0.
    pub fn rain_to(&self, address: impl Fn(usize) -> String) -> String {
        let mut text = String::from(HEADER);
        self.write_limits(&mut text);
        self.write_tenants(&mut text);
        self.write_pools(&mut text, address);
        for route in 0..self.routes {
            self.write_route(&mut text, route);
        }
        text
    }

    fn write_limits(&self, text: &mut String) {
        if self.limits != Limited::None {
            text.push_str("limits tenant {\n  rate: 300 tickets/s\n  burst: 150 tickets\n}\n\n");
        }
        if self.limits == Limited::PerTenantOnRoutes {
            text.push_str(
                "limits route {\n  rate: 100 tickets/s\n  burst: 50 tickets\n  per: tenant\n}\n\n",
            );
        }
    }

    // Writing to a string cannot fail, here and in the functions below.
    fn write_tenants(&self, text: &mut String) {
        let step = 99 * SHARE_STEPS_PER_PERCENT / self.tenants;
        let (percent, fraction) = (
            step / SHARE_STEPS_PER_PERCENT,
            step % SHARE_STEPS_PER_PERCENT,
        );
        for tenant in 0..self.tenants {
            let _ = writeln!(
                text,
                "tenant t{tenant} {{\n  share: {percent}.{fraction:04} %"
            );
            if self.limits != Limited::None {
                text.push_str("  limits: tenant\n");
            }
            text.push_str("}\n");
        }
    }

    fn write_pools(&self, text: &mut String, address: impl Fn(usize) -> String) {
        for pool in 0..self.pools {
            let _ = writeln!(text, "pool p{pool} {{\n  zone: z{}", pool % self.zones);
            for member in (pool..self.members).step_by(self.pools) {
                let _ = writeln!(
                    text,
                    "  member n{member} {{\n    address: \"{}\"\n    warm-up: 18 s\n  }}",
                    address(member)
                );
            }
            text.push_str("}\n");
        }
    }

    fn write_route(&self, text: &mut String, route: usize) {
        let service = route % self.services;
        let _ = write!(
            text,
            "route r{route} {{\n  match {{\n    entity: \"s{service}/r{route}/*\"\n"
        );
        if route.is_multiple_of(TENANT_ROUTE_INTERVAL) {
            let names = self.tenants_of(route).join(", ");
            let _ = writeln!(text, "    tenant: {names}");
        }
        let (first, second) = (route % self.pools, (route + 1) % self.pools);
        if first == second {
            let _ = writeln!(text, "  }}\n  to: p{first}");
        } else {
            let _ = writeln!(
                text,
                "  }}\n  to: p{first} 70 %, p{second} 30 %\n  split-by: entity"
            );
        }
        if self.limits == Limited::PerTenantOnRoutes {
            text.push_str("  limits: route\n");
        }
        text.push_str("}\n");
    }

    /// The tenants that a route with a tenant condition matches.
    fn tenants_of(&self, route: usize) -> Vec<String> {
        let first = route * TENANTS_PER_TENANT_ROUTE;
        let mut tenants: Vec<usize> = (first..first + TENANTS_PER_TENANT_ROUTE)
            .map(|tenant| tenant % self.tenants)
            .collect();
        tenants.sort_unstable();
        tenants.dedup();
        tenants.iter().map(|tenant| format!("t{tenant}")).collect()
    }
}
