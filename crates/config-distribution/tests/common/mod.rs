//! Configurations and deltas that the tests share.

#![allow(dead_code, reason = "each test target uses a part")]

use rainstand_config::schema::{self, Configuration, Member, Pool, Route, Tenant};
use rainstand_config_distribution::attachment::NodeIdentity;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::Delta;
use std::time::Duration;

/// Start of every test on its clock.
pub const NOW: Duration = Duration::from_secs(100);

/// A tenant with this share.
pub fn tenant(name: &str, share: u64) -> Tenant {
    Tenant {
        name: name.into(),
        share,
        ..Tenant::default()
    }
}

/// A configuration with these tenants and routes, and one pool of one member.
pub fn configuration(tenants: &[(&str, u64)], routes: &[&str]) -> Configuration {
    let mut configuration = Configuration {
        version: schema::VERSION,
        ..Configuration::default()
    };
    configuration.tenants = tenants
        .iter()
        .map(|(name, share)| tenant(name, *share))
        .collect();
    configuration.routes = routes
        .iter()
        .map(|name| Route {
            name: (*name).into(),
            ..Route::default()
        })
        .collect();
    let members = vec![Member {
        name: "m".into(),
        ..Member::default()
    }];
    configuration.pools = vec![Pool {
        name: "p".into(),
        members,
        ..Pool::default()
    }];
    configuration.put_in_order();
    configuration
}

/// Deltas to the versions 1 to `n`; the share of tenant `a` is the number of the version.
pub fn deltas(n: u64) -> Vec<Delta> {
    let mut state = ConfigState::default();
    let deltas = (1..=n).map(|version| {
        let configuration = configuration(&[("a", version), ("b", 7)], &["r"]);
        let delta = state
            .delta_to(version - 1, version, &configuration)
            .unwrap();
        state.apply(&delta).unwrap();
        delta
    });
    deltas.collect()
}

/// Name and location of a node.
pub fn identity(name: &str, region: &str, zone: &str) -> NodeIdentity {
    NodeIdentity {
        name: name.into(),
        region: region.into(),
        zone: zone.into(),
    }
}
