//! What a change costs goes by what it says: allocations are counted, in number and bytes, at two sizes of the whole.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::schema::{self, Configuration, Match, Per, Rate};
use rainstand_config::units::ONE;
use rainstand_routing::router::Router;
use rainstand_routing::table_update::{EntryKind, TableChange};
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Duration;

struct Counting;

thread_local! {
    static MADE: Cell<(usize, usize)> = const { Cell::new((0, 0)) };
}

// SAFETY: all work is the system allocator's; the count is a plain cell of this thread.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        MADE.with(|made| made.set((made.get().0 + 1, made.get().1 + layout.size())));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALL: Counting = Counting;

fn tenant(n: usize, share: u64) -> schema::Tenant {
    schema::Tenant {
        name: format!("t{n:05}"),
        share,
        limits: "l".into(),
        ..Default::default()
    }
}

fn pool(n: usize, weight: u64) -> schema::Pool {
    let member = schema::Member {
        address: format!("10.0.0.{n}:1"),
        weight,
        ..Default::default()
    };
    schema::Pool {
        name: format!("p{n:02}"),
        members: vec![member],
        ..Default::default()
    }
}

fn limits(burst: u64) -> schema::Limits {
    let rate = Some(Rate {
        micro_tickets: ONE,
        per_ns: 1_000_000_000,
    });
    schema::Limits {
        name: "l".into(),
        rate,
        burst,
        per: Per::Tenant.into(),
        ..Default::default()
    }
}

fn route(n: usize, pool: usize) -> schema::Route {
    schema::Route {
        name: format!("r{n:05}"),
        to: vec![schema::Target {
            pool: format!("p{pool:02}"),
            share: ONE,
        }],
        r#match: Some(Match {
            entities: vec![format!("r{n:05}/*")],
            ..Default::default()
        }),
        limits: "l".into(),
        ..Default::default()
    }
}

fn whole(routes: usize, tenants: usize) -> Configuration {
    let traffic = schema::TrafficType {
        name: "t".into(),
        goal_ns: 1_000_000_000,
        ..Default::default()
    };
    Configuration {
        version: 1,
        types: vec![traffic],
        tenants: (0..tenants).map(|n| tenant(n, 7)).collect(),
        pools: (0..90).map(|n| pool(n, ONE)).collect(),
        limits: vec![limits(1)],
        routes: (0..routes).map(|n| route(n, n % 90)).collect(),
        ..Default::default()
    }
}

/// Allocations and bytes of each kind of change, after one of each that may make room for more.
fn costs(routes: usize, tenants: usize) -> Vec<(&'static str, usize, usize)> {
    let mut router = Router::new(&whole(routes, tenants), 1).unwrap();
    let mut cost = |what: &'static str, change: &dyn Fn(usize) -> TableChange| {
        for n in 0..3 {
            router.apply(&[change(n)], Duration::ZERO).unwrap();
        }
        let change = change(3);
        let before = MADE.with(Cell::get);
        router.apply(&[change], Duration::ZERO).unwrap();
        let after = MADE.with(Cell::get);
        (what, after.0 - before.0, after.1 - before.1)
    };
    vec![
        cost("tenant changed", &|n| {
            TableChange::Tenant(tenant(3, n as u64))
        }),
        cost("tenant new", &|n| {
            TableChange::Tenant(tenant(90_000 + n, 7))
        }),
        cost("tenant gone", &|n| {
            TableChange::Remove(EntryKind::Tenant, format!("t{n:05}"))
        }),
        cost("limits changed", &|n| {
            TableChange::Limits(limits(2 + n as u64))
        }),
        cost("pool changed", &|n| {
            TableChange::Pool(pool(7, 2 + n as u64))
        }),
        cost("route changed", &|n| {
            TableChange::Route(route(5, n), Some("r00006".into()))
        }),
        cost("route new in front", &|n| {
            TableChange::Route(route(90_000 + n, 1), Some("r00000".into()))
        }),
        cost("route moved", &|n| {
            TableChange::Route(route(90_000 + n, 1), Some("r00020".into()))
        }),
        cost("route gone", &|n| {
            TableChange::Remove(EntryKind::Route, format!("r0001{n}"))
        }),
    ]
}

#[test]
fn the_cost_of_an_update_does_not_depend_on_the_table() {
    // Both just under a power of two, so that no list has to grow where it is counted.
    let (small, large) = (costs(54, 230), costs(5_400, 23_000));
    assert_eq!(small, large);
    for (what, made, bytes) in large {
        assert!(
            made <= 20 && bytes <= 2_500,
            "{what}: {made} allocations, {bytes} bytes"
        );
    }
}
