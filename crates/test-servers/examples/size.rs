//! Prints a configuration at the size projected for two years ahead, or a fraction of it:
//! `cargo run -p rainstand-test-servers --example size -- 0.25 per-tenant > /tmp/quarter.rain`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_test_servers::size::{Limited, Size};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let part = arguments.next().map_or(Ok(1.0), |part| part.parse::<f64>());
    let limits = match arguments.next().as_deref() {
        Some("none") => Some(Limited::None),
        Some("tenants") | None => Some(Limited::Tenants),
        Some("per-tenant") => Some(Limited::PerTenantOnRoutes),
        Some(_) => None,
    };
    let (Ok(part), Some(limits)) = (part, limits) else {
        eprintln!("usage: size [PART [none | tenants | per-tenant]]");
        std::process::exit(2);
    };
    print!(
        "{}",
        Size {
            limits,
            ..Size::two_years()
        }
        .part(part)
        .rain()
    );
}
