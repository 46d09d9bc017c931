//! Generated texts are valid configurations of the requested size.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::load;
use rainstand_config::source::Memory;
use rainstand_test_servers::size::{Limited, Size};

#[test]
fn scaled_size_yields_a_valid_configuration_with_the_requested_counts() {
    for limits in [Limited::None, Limited::Tenants, Limited::PerTenantOnRoutes] {
        for part in [0.0, 0.002, 0.05] {
            let size = Size {
                limits,
                ..Size::two_years()
            }
            .part(part);
            let text = size.rain();
            let loaded = load(&Memory::new([("size.rain", text.as_str())]), "size.rain");
            let configuration = loaded
                .configuration
                .unwrap_or_else(|| panic!("{size:?} has errors"));
            let members: usize = configuration
                .pools
                .iter()
                .map(|pool| pool.members.len())
                .sum();
            let counts = (
                configuration.routes.len(),
                configuration.tenants.len(),
                configuration.pools.len(),
                members,
            );
            assert_eq!(
                counts,
                (size.routes, size.tenants, size.pools, size.members),
                "{size:?}"
            );
            let limited_routes = configuration
                .routes
                .iter()
                .filter(|route| !route.limits.is_empty())
                .count();
            let expected = if limits == Limited::PerTenantOnRoutes {
                size.routes
            } else {
                0
            };
            assert_eq!(limited_routes, expected);
        }
    }
}
