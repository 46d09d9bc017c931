//! Decisions per second on one core, and the memory of a configuration version in use.
//! `cargo bench -p rainstand-routing`

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::{load, source::Memory};
use rainstand_routing::router::{Admission, Router};
use rainstand_routing::table::{Request, Table};
use rainstand_routing::table_update::{EntryKind, TableChange};
use std::fmt::Write;
use std::time::Duration;

fn main() {
    let table = Table::new(&configuration(1_000)).unwrap();
    println!(
        "memory of a version with 1,000 routes, 400 tenants, 60 pools: {} KiB",
        table.size() >> 10
    );
    let table = Table::new(&configuration(6)).unwrap();
    println!(
        "memory of a version with 6 routes: {} KiB",
        table.size() >> 10
    );
    divan::main();
}

fn configuration(routes: usize) -> rainstand_config::schema::Configuration {
    let mut text = String::from(
        "rain 1\nlimits l { rate: 1000000000 tickets/s; burst: 1000 tickets; per: tenant }\n",
    );
    for n in 0..10 {
        let _ = writeln!(
            text,
            "type t{n} {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}"
        );
    }
    for n in 0..400 {
        let _ = writeln!(text, "tenant c{n} {{ share: 0.1 % }}");
    }
    for n in 0..60 {
        let _ = write!(text, "pool p{n} {{");
        for m in 0..8 {
            let _ = write!(text, "member n{m} {{ address: \"10.0.{n}.{m}:5050\" }};");
        }
        let _ = writeln!(text, "}}");
    }
    for n in 0..routes - 1 {
        let _ = writeln!(
            text,
            "route r{n} {{ match {{ tenant: c{}; type: t{}; entity: \"NO-{n}*\" }}; to: p{} 60 %, p{} 40 %; limits: l }}",
            n % 400,
            n / 400,
            n % 60,
            (n + 1) % 60
        );
    }
    let _ = writeln!(
        text,
        "route rest {{ to: p0 50 %, p1 30 %, p2 20 %; fall-back: p3; limits: l }}"
    );
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings.first()))
}

fn requests() -> Vec<(u16, Option<u16>, String)> {
    let mut rng = WyRand::new_seed(5);
    let random_request = |_| {
        let entity = format!("NO-{}", rng.generate_range(0..100_000u32));
        (
            rng.generate_range(0..10u16),
            Some(rng.generate_range(0..400u16)),
            entity,
        )
    };
    (0..4_096).map(random_request).collect()
}

/// Selection of the route and, by entity, the pool.
#[divan::bench(args = [6, 1_000])]
fn select_route_and_pool(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let table = Table::new(&configuration(routes)).unwrap();
    let all = requests();
    let mut rng = WyRand::new_seed(1);
    bencher
        .counter(divan::counter::ItemsCount::new(all.len()))
        .bench_local(|| {
            let mut sum = 0u64;
            for (traffic, tenant, entity) in &all {
                let request = Request {
                    request_class: *traffic,
                    tenant: *tenant,
                    entity,
                    is_retry: false,
                    size: 900,
                    ..Request::default()
                };
                sum += u64::from(
                    table
                        .place(&request, &mut rng, |_| true)
                        .map_or(0, |place| place.pool),
                );
            }
            sum
        });
}

/// The complete decision with limits, and the end of the request.
#[divan::bench(args = [6, 1_000])]
fn admit_and_complete(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let mut router = Router::new(&configuration(routes), 1).unwrap();
    let all = requests();
    let mut now = Duration::ZERO;
    bencher
        .counter(divan::counter::ItemsCount::new(all.len()))
        .bench_local(|| {
            for (traffic, tenant, entity) in &all {
                now += Duration::from_micros(1);
                let request = Request {
                    request_class: *traffic,
                    tenant: *tenant,
                    entity,
                    is_retry: false,
                    size: 900,
                    ..Request::default()
                };
                if let Admission::Admitted(decision) = router.on_arrival(now, &request, |_| true) {
                    router.on_completed(decision);
                }
            }
            router.counts().admitted
        });
}

/// Selection of the member for an entity in a pool of eight.
#[divan::bench]
fn select_member_of_eight(bencher: divan::Bencher<'_, '_>) {
    let table = Table::new(&configuration(6)).unwrap();
    let all = requests();
    bencher
        .counter(divan::counter::ItemsCount::new(all.len()))
        .bench_local(|| {
            all.iter()
                .map(|(_, _, entity)| table.member(3, entity, |_| true).unwrap_or(0))
                .sum::<usize>()
        });
}

/// An incremental update of one entry: a change of a tenant's share.
#[divan::bench(args = [6, 1_000])]
fn update_tenant(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let initial = configuration(routes);
    let mut router = Router::new(&initial, 1).unwrap();
    let mut tenant = initial.tenants[7].clone();
    bencher.bench_local(|| {
        tenant.share ^= 1;
        router.apply(&[TableChange::Tenant(tenant.clone())], Duration::ZERO)
    });
}

#[divan::bench(args = [6, 1_000])]
fn insert_and_remove_first_route(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let initial = configuration(routes);
    let mut router = Router::new(&initial, 1).unwrap();
    let mut route = initial.routes[0].clone();
    let before = Some(std::mem::replace(&mut route.name, "new".into()));
    bencher.bench_local(|| {
        router
            .apply(
                &[TableChange::Route(route.clone(), before.clone())],
                Duration::ZERO,
            )
            .unwrap();
        router
            .apply(
                &[TableChange::Remove(EntryKind::Route, "new".into())],
                Duration::ZERO,
            )
            .unwrap();
    });
}

/// Installation of a complete configuration.
#[divan::bench(args = [6, 1_000])]
fn install_complete_configuration(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let initial = configuration(routes);
    let mut router = Router::new(&initial, 1).unwrap();
    bencher.bench_local(|| router.install(&initial, Duration::ZERO));
}
