//! The texts that are made are good configurations of the size that was asked for.

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
fn a_part_of_the_size_is_a_good_configuration() {
    for limits in [Limited::None, Limited::Tenants, Limited::PerTenantOnRoutes] {
        for part in [0.0, 0.002, 0.05] {
            let size = Size {
                limits,
                ..Size::two_years()
            }
            .part(part);
            let text = size.rain();
            let loaded = load(&Memory::new([("size.rain", text.as_str())]), "size.rain");
            let read = loaded
                .configuration
                .unwrap_or_else(|| panic!("{size:?} has errors"));
            let members: usize = read.pools.iter().map(|pool| pool.members.len()).sum();
            let counted = (
                read.routes.len(),
                read.tenants.len(),
                read.pools.len(),
                members,
            );
            assert_eq!(
                counted,
                (size.routes, size.tenants, size.pools, size.members),
                "{size:?}"
            );
            let limited = read
                .routes
                .iter()
                .filter(|route| !route.limits.is_empty())
                .count();
            let wanted = if limits == Limited::PerTenantOnRoutes {
                size.routes
            } else {
                0
            };
            assert_eq!(limited, wanted);
        }
    }
}
