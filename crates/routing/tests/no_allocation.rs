//! Routing a request does not allocate; a counting global allocator checks it.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::{load, source::Memory};
use rainstand_routing::router::{Admission, Router};
use rainstand_routing::table::Request;
use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Duration;

struct CountingAllocator;

thread_local! {
    static ALLOCATIONS: Cell<usize> = const { Cell::new(0) };
}

// SAFETY: all calls are forwarded to the system allocator; the counter is a thread-local cell.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[test]
fn admission_rejection_and_completion_do_not_allocate() {
    let text = "rain 1
type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s; limits: few }
tenant acme { share: 10 % }
limits few { rate: 100 tickets/s; burst: 5 tickets; per: tenant }
budget b { queue: 30 %; answer: 50 ms }
pool p { limits: few; member a { address: \"10.0.0.1:1\" } }
pool q { member a { address: \"10.0.0.2:1\" } }
route some { match { tenant: acme; entity: \"NO-*\" }; to: p 60 %, q 40 %; fall-back: q; budget: b }
route rest { to: p 50 %, q 50 %; split-by: chance }";
    let configuration = load(&Memory::new([("a.rain", text)]), "a.rain")
        .configuration
        .unwrap();
    let mut router = Router::new(&configuration, 1).unwrap();
    let before = ALLOCATIONS.with(Cell::get);
    let (mut admitted, mut rejected) = (0, 0);
    for n in 0..10_000u64 {
        let request = Request {
            tenant: [None, Some(0)][n as usize % 2],
            entity: ["NO-1", "SE-2", ""][n as usize % 3],
            ..Request::default()
        };
        match router.on_arrival(Duration::from_millis(n), &request, |pool| {
            n % 5 > 0 || pool == 1
        }) {
            Admission::Admitted(decision) => {
                admitted += 1;
                router.on_completed(decision);
            }
            Admission::Rejected(_) => rejected += 1,
        }
    }
    assert_eq!(ALLOCATIONS.with(Cell::get), before);
    assert!(
        admitted > 1_000 && rejected > 1_000,
        "{admitted} {rejected}"
    );
}

#[test]
fn a_bucket_allocates_only_for_its_first_request() {
    const TENANTS: u16 = 4_000;
    let mut text = String::from(
        "rain 1
type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }
limits few { rate: 1 tickets/min; burst: 5 tickets; per: tenant }
pool p { member a { address: \"10.0.0.1:1\" } }
route r { to: p; limits: few }
",
    );
    (0..TENANTS).for_each(|n| text.push_str(&format!("tenant t{n} {{ share: 0.02 % }}\n")));
    let configuration = load(&Memory::new([("a.rain", text)]), "a.rain")
        .configuration
        .unwrap();
    let mut router = Router::new(&configuration, 1).unwrap();
    let mut request_by_all_tenants = |now: Duration| {
        let before = ALLOCATIONS.with(Cell::get);
        for tenant in 0..TENANTS {
            let request = Request {
                tenant: Some(tenant),
                ..Request::default()
            };
            match router.on_arrival(now, &request, |_| true) {
                Admission::Admitted(decision) => router.on_completed(decision),
                Admission::Rejected(rejected) => panic!("{rejected:?}"),
            }
        }
        (
            ALLOCATIONS.with(Cell::get) - before,
            router.bucket_usage().in_use,
        )
    };
    // Capacity doubles instead of growing with each bucket: three lists, starting at 512 entries.
    let (allocations, in_use) = request_by_all_tenants(Duration::from_secs(1));
    assert!(
        allocations <= 9 && in_use == usize::from(TENANTS),
        "{allocations} allocations for {in_use} buckets"
    );
    assert_eq!(request_by_all_tenants(Duration::from_secs(2)).0, 0);
    // New buckets reuse the entries of those that became idle.
    assert_eq!(request_by_all_tenants(Duration::from_secs(1_000)).0, 0);
}
