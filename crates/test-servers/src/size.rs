//! Configurations of a fleet of a given size: the operators' in two years, or a part of it.
//!
//! Their shape is that of a deployment of many services: each service has routes of its own, told apart by what its
//! entities begin with; one route in eight is for a few tenants alone; members stand in pools by zone.
//! The same size gives the same text. Names are numbers, so that nothing depends on them.

use std::fmt::Write as _;

/// One route in so many names tenants.
const OWN_TENANTS: usize = 8;
/// Tenants that such a route names.
const TENANTS_OF_ROUTE: usize = 4;
/// Shares are written in steps of this part of a per cent, the language's smallest.
const STEPS_OF_PERCENT: usize = 10_000;

/// The request classes.
const HEAD: &str =
    "rain 1\n\ntype check {\n  repeat: rerunnable\n  goal: 3.1 s\n  outer-limit: 7.8 s\n}\n\n\
     type register {\n  repeat: exclusive\n  goal: 2.3 s\n  outer-limit: 6.2 s\n  benefit: 3\n}\n\n";

/// Where limits stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limited {
    /// Nowhere.
    None,
    /// On each tenant.
    Tenants,
    /// On each tenant, and `per: tenant` on each route: routes times tenants counters, if all were used.
    PerTenantOnRoutes,
}

/// How large a fleet is. Each count is at least 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Services, each with routes of its own.
    pub services: usize,
    /// Routes of all services together.
    pub routes: usize,
    /// Tenants; at most 990,000, as a share has a smallest step.
    pub tenants: usize,
    /// Zones, among which the pools are spread.
    pub zones: usize,
    /// Pools.
    pub pools: usize,
    /// Members of all pools together.
    pub members: usize,
    /// Where there are limits.
    pub limits: Limited,
}

impl Size {
    /// The operators' size in two years: 630 nodes in six zones, 490 services, 5,400 routes, 23,000 tenants.
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

    /// The same shape with a part of the routes, tenants, services, pools and members; zones stay.
    #[must_use]
    pub fn part(self, fraction: f64) -> Self {
        let of = |count: usize| ((count as f64 * fraction).round() as usize).max(1);
        Self {
            services: of(self.services),
            routes: of(self.routes),
            tenants: of(self.tenants),
            pools: of(self.pools),
            members: of(self.members).max(of(self.pools)),
            ..self
        }
    }

    /// An entity whose requests this route takes.
    pub fn entity(&self, route: usize) -> String {
        format!("s{}/r{route}/1", route % self.services)
    }

    /// The configuration as one `.rain` text; members have addresses that nobody listens on.
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

    /// As [`Size::rain`], with the members' addresses by their numbers from 0.
    pub fn rain_to(&self, address: impl Fn(usize) -> String) -> String {
        let mut text = String::from(HEAD);
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

    // Writing to a string cannot fail, here and below.
    fn write_tenants(&self, text: &mut String) {
        let step = 99 * STEPS_OF_PERCENT / self.tenants;
        let (percent, fraction) = (step / STEPS_OF_PERCENT, step % STEPS_OF_PERCENT);
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
        if route.is_multiple_of(OWN_TENANTS) {
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

    /// The tenants that a route of its own names.
    fn tenants_of(&self, route: usize) -> Vec<String> {
        let first = route * TENANTS_OF_ROUTE;
        let mut tenants: Vec<usize> = (first..first + TENANTS_OF_ROUTE)
            .map(|tenant| tenant % self.tenants)
            .collect();
        tenants.sort_unstable();
        tenants.dedup();
        tenants.iter().map(|tenant| format!("t{tenant}")).collect()
    }
}
