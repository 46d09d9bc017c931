//! Picks a second on one core, and what an open version costs. `cargo bench -p rainstand-routing`

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
        "an open version of 1,000 routes, 400 tenants, 60 pools: {} KiB",
        table.size() >> 10
    );
    let table = Table::new(&configuration(6)).unwrap();
    println!("an open version of 6 routes: {} KiB", table.size() >> 10);
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
    let mut chance = WyRand::new_seed(5);
    let one = |_| {
        let entity = format!("NO-{}", chance.generate_range(0..100_000u32));
        (
            chance.generate_range(0..10u16),
            Some(chance.generate_range(0..400u16)),
            entity,
        )
    };
    (0..4_096).map(one).collect()
}

/// The route and the pool, by entity.
#[divan::bench(args = [6, 1_000])]
fn place(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let table = Table::new(&configuration(routes)).unwrap();
    let all = requests();
    let mut chance = WyRand::new_seed(1);
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
                        .place(&request, &mut chance, |_| true)
                        .map_or(0, |place| place.pool),
                );
            }
            sum
        });
}

/// The whole decision with limits, and the request's end.
#[divan::bench(args = [6, 1_000])]
fn arrived_and_ended(bencher: divan::Bencher<'_, '_>, routes: usize) {
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
                if let Admission::Admitted(way) = router.on_arrival(now, &request, |_| true) {
                    router.on_completed(way);
                }
            }
            router.counts().admitted
        });
}

/// The member of a pool of eight that an entity belongs to.
#[divan::bench]
fn member_of_eight(bencher: divan::Bencher<'_, '_>) {
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

/// A version by one named thing: a tenant's share, and a new route in front and its removal.
#[divan::bench(args = [6, 1_000])]
fn a_change_of_a_tenant(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let whole = configuration(routes);
    let mut router = Router::new(&whole, 1).unwrap();
    let mut tenant = whole.tenants[7].clone();
    bencher.bench_local(|| {
        tenant.share ^= 1;
        router.apply(&[TableChange::Tenant(tenant.clone())], Duration::ZERO)
    });
}

#[divan::bench(args = [6, 1_000])]
fn a_route_comes_in_front_and_goes(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let whole = configuration(routes);
    let mut router = Router::new(&whole, 1).unwrap();
    let mut route = whole.routes[0].clone();
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

/// What a version costs that comes as the whole.
#[divan::bench(args = [6, 1_000])]
fn the_whole_anew(bencher: divan::Bencher<'_, '_>, routes: usize) {
    let whole = configuration(routes);
    let mut router = Router::new(&whole, 1).unwrap();
    bencher.bench_local(|| router.install(&whole, Duration::ZERO));
}
