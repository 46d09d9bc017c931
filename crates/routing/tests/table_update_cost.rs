//! The allocations of an update, in number and bytes, depend on its changes and not on the size of the table: they are
//! counted at two table sizes.

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

struct CountingAllocator;

thread_local! {
    /// The number of allocations, and their bytes.
    static ALLOCATED: Cell<(usize, usize)> = const { Cell::new((0, 0)) };
}

// SAFETY: delegates to the system allocator; the counter is a plain cell of this thread.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.with(|total| total.set((total.get().0 + 1, total.get().1 + layout.size())));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

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

fn configuration(routes: usize, tenants: usize) -> Configuration {
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

/// The number and bytes of the allocations of each kind of change, after three of the same kind that may grow a list.
fn costs(routes: usize, tenants: usize) -> Vec<(&'static str, usize, usize)> {
    let mut router = Router::new(&configuration(routes, tenants), 1).unwrap();
    let mut cost = |name: &'static str, change: &dyn Fn(usize) -> TableChange| {
        for n in 0..3 {
            router.apply(&[change(n)], Duration::ZERO).unwrap();
        }
        let change = change(3);
        let before = ALLOCATED.with(Cell::get);
        router.apply(&[change], Duration::ZERO).unwrap();
        let after = ALLOCATED.with(Cell::get);
        (name, after.0 - before.0, after.1 - before.1)
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
fn update_allocates_the_same_for_tables_of_different_sizes() {
    // The sizes are below a power of two, so that no list has to grow during a counted change.
    let (small, large) = (costs(54, 230), costs(5_400, 23_000));
    assert_eq!(small, large);
    for (name, allocations, bytes) in large {
        assert!(
            allocations <= 20 && bytes <= 2_500,
            "{name}: {allocations} allocations, {bytes} bytes"
        );
    }
}
