//! Random changes of the configuration.

use super::*;

impl World {
    /// One to three things of the configuration change.
    pub(super) fn change(&mut self) {
        for _ in 0..self.rng.generate_range(1..=3) {
            let unique = self.rng.generate_range(0..1_000_000u64);
            let configuration = &mut self.configuration;
            let rng = &mut self.rng;
            let mut pick = |most: usize| rng.generate_range(0..most.max(1));
            match pick(8) {
                0 => {
                    let tenant = schema::Tenant {
                        name: format!("t{unique}"),
                        share: 3,
                        ..Default::default()
                    };
                    if configuration
                        .tenants
                        .iter()
                        .all(|other| other.name != tenant.name)
                    {
                        configuration.tenants.push(tenant);
                    }
                }
                1 if configuration.tenants.len() > 3 => {
                    let at = pick(configuration.tenants.len());
                    configuration.tenants.remove(at);
                }
                2 if configuration.pools.len() > 1 => {
                    let at = pick(configuration.pools.len());
                    configuration.pools.remove(at);
                }
                3 => {
                    let members = vec![schema::Member {
                        name: "m".into(),
                        weight: unique,
                        ..Default::default()
                    }];
                    let pool = schema::Pool {
                        name: format!("p{unique}"),
                        members,
                        ..Default::default()
                    };
                    if configuration
                        .pools
                        .iter()
                        .all(|other| other.name != pool.name)
                    {
                        configuration.pools.push(pool);
                    }
                }
                4 => {
                    let at = pick(configuration.pools.len());
                    let members = &mut configuration.pools[at].members;
                    if let Some(member) = members.first_mut() {
                        member.weight = unique;
                    }
                }
                5 => {
                    let (from, to) = (
                        pick(configuration.routes.len()),
                        pick(configuration.routes.len()),
                    );
                    let route = configuration.routes.remove(from);
                    configuration.routes.insert(to, route);
                }
                6 => {
                    let at = pick(configuration.routes.len());
                    let route = schema::Route {
                        name: format!("r{unique}"),
                        ..Default::default()
                    };
                    if configuration
                        .routes
                        .iter()
                        .all(|other| other.name != route.name)
                    {
                        configuration.routes.insert(at, route);
                    }
                }
                _ => {
                    let at = pick(configuration.tenants.len());
                    configuration.tenants[at].share = unique;
                }
            }
        }
        self.configuration.put_in_order();
    }
}
