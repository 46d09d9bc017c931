//! Nothing on a request's way allocates: counted by an allocator of this test's own.

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

struct Counting;

thread_local! {
    static MADE: Cell<usize> = const { Cell::new(0) };
}

// SAFETY: all work is the system allocator's; the count is a plain cell of this thread.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        MADE.with(|made| made.set(made.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, at: *mut u8, layout: Layout) {
        unsafe { System.dealloc(at, layout) }
    }
}

#[global_allocator]
static ALL: Counting = Counting;

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
    let made = load(&Memory::new([("a.rain", text)]), "a.rain")
        .configuration
        .unwrap();
    let mut router = Router::new(&made, 1).unwrap();
    let before = MADE.with(Cell::get);
    let (mut went, mut turned) = (0, 0);
    for n in 0..10_000u64 {
        let request = Request {
            tenant: [None, Some(0)][n as usize % 2],
            entity: ["NO-1", "SE-2", ""][n as usize % 3],
            ..Request::default()
        };
        match router.on_arrival(Duration::from_millis(n), &request, |pool| {
            n % 5 > 0 || pool == 1
        }) {
            Admission::Admitted(way) => {
                went += 1;
                router.on_completed(way);
            }
            Admission::Rejected(_) => turned += 1,
        }
    }
    assert_eq!(MADE.with(Cell::get), before);
    assert!(went > 1_000 && turned > 1_000, "{went} {turned}");
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
    let made = load(&Memory::new([("a.rain", text)]), "a.rain")
        .configuration
        .unwrap();
    let mut router = Router::new(&made, 1).unwrap();
    let mut all = |now: Duration| {
        let before = MADE.with(Cell::get);
        for tenant in 0..TENANTS {
            let request = Request {
                tenant: Some(tenant),
                ..Request::default()
            };
            match router.on_arrival(now, &request, |_| true) {
                Admission::Admitted(way) => router.on_completed(way),
                Admission::Rejected(turned) => panic!("{turned:?}"),
            }
        }
        (MADE.with(Cell::get) - before, router.bucket_usage().in_use)
    };
    // Room grows by doubling, not with each bucket: three lists from 512 on.
    let (made, in_use) = all(Duration::from_secs(1));
    assert!(
        made <= 9 && in_use == usize::from(TENANTS),
        "{made} for {in_use}"
    );
    assert_eq!(all(Duration::from_secs(2)).0, 0);
    // Others take the places of those that are idle again.
    assert_eq!(all(Duration::from_secs(1_000)).0, 0);
}
