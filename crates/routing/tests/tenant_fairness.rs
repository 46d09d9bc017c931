//! Shares of a scarce pool among known and unknown tenants.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_routing::tenant_fairness::*;
use std::time::Duration;

const MS: fn(u64) -> Duration = Duration::from_millis;

fn weights(shares: &[u64]) -> TenantShares {
    TenantShares::new(shares.iter().copied())
}

fn request_place(
    pool: &mut (TenantShares, FairShare),
    key: TenantKey,
    now: Duration,
    places: u32,
) -> Result<(), f64> {
    pool.1.on_request(&pool.0, key, now);
    pool.1.check_share(&pool.0, key, places)
}

/// Takes up to `wanted` places for a tenant; returns the number taken.
fn fill(pool: &mut (TenantShares, FairShare), key: TenantKey, wanted: u32, places: u32) -> u32 {
    let mut taken = 0;
    for _ in 0..wanted {
        if request_place(pool, key, MS(1), places).is_ok() {
            pool.1.acquire(key);
            taken += 1;
        }
    }
    taken
}

#[test]
fn sole_tenant_may_fill_the_pool_and_other_tenants_still_get_their_share() {
    let mut pool = (weights(&[500_000, 300_000]), FairShare::default());
    assert_eq!(fill(&mut pool, TenantKey::Configured(1), 100, 100), 100);
    // The second tenant is admitted although the first one has filled the pool.
    let taken = fill(&mut pool, TenantKey::Configured(0), 1_000, 100);
    assert_eq!(taken, 63, "five eighths of 100, rounded up");
    // The first tenant is admitted again only when it is below its entitlement.
    assert!(request_place(&mut pool, TenantKey::Configured(1), MS(2), 100).unwrap_err() > 2.0);
    (0..70).for_each(|_| pool.1.release(TenantKey::Configured(1)));
    assert_eq!(fill(&mut pool, TenantKey::Configured(1), 100, 100), 8);
}

#[test]
fn unknown_tenants_do_not_reduce_the_places_of_configured_tenants() {
    let mut pool = (weights(&[300_000, 600_000]), FairShare::default());
    let mut admitted = 0;
    for n in 0..100_000u64 {
        let key = TenantKey::new(
            None,
            rainstand_routing::weighted_split::name_hash(&format!("made up {n}")),
        );
        pool.1
            .on_request(&pool.0, TenantKey::Configured(0), MS(n / 100));
        if request_place(&mut pool, key, MS(n / 100), 200).is_ok() {
            pool.1.acquire(key);
            admitted += 1;
        }
    }
    // They may use unused places up to the scarcity threshold, but not the reserved ones.
    assert_eq!(admitted, 160);
    assert_eq!(
        fill(&mut pool, TenantKey::Configured(0), 60, 200),
        60,
        "all of its share of 200 places"
    );
    assert_eq!(fill(&mut pool, TenantKey::Configured(1), 120, 200), 120);
    assert_eq!(pool.1.entry_counts().1, UNKNOWN_TENANT_CELLS);
    assert_eq!(pool.1.open(), admitted + 180);
}

#[test]
fn entitlement_grows_when_another_tenant_becomes_inactive() {
    let mut pool = (weights(&[500_000, 500_000]), FairShare::default());
    pool.1.on_request(&pool.0, TenantKey::Configured(1), MS(0));
    assert_eq!(
        fill(&mut pool, TenantKey::Configured(0), 20, 10),
        8,
        "eight until places are scarce; its entitlement is half"
    );
    pool.1.tick(&pool.0, MS(2_500));
    assert!(request_place(&mut pool, TenantKey::Configured(0), MS(2_500), 10).is_ok());
}

#[test]
fn shares_set_one_by_one_equal_shares_set_together() {
    let mut one_by_one = weights(&[300_000, 0, 0]);
    for (tenant, share) in [
        (1, 200_000),
        (0, 0),
        (3, 50_000),
        (4, 0),
        (2, 10_000),
        (2, 0),
    ] {
        one_by_one.set(tenant, share);
    }
    let new = weights(&[0, 200_000, 0, 50_000, 0]);
    (0..6).for_each(|i| assert_eq!(one_by_one.share_of(i), new.share_of(i), "{i}"));
}

#[test]
fn only_active_tenants_have_entries() {
    let mut pool = (weights(&[43; 23_000]), FairShare::default());
    for tenant in [7, 22_999] {
        assert!(request_place(&mut pool, TenantKey::Configured(tenant), MS(0), 10).is_ok());
        pool.1.acquire(TenantKey::Configured(tenant));
    }
    assert!(request_place(&mut pool, TenantKey::Unknown(3), MS(0), 10).is_ok());
    assert_eq!(pool.1.entry_counts(), (3, 1));
    pool.1.release(TenantKey::Configured(7));
    pool.1.tick(&pool.0, MS(2_500));
    assert_eq!(
        (pool.1.entry_counts(), pool.1.open()),
        ((1, 0), 1),
        "a tenant that holds a place keeps its entry"
    );
    assert_eq!(
        pool.1.entitlement(&pool.0, 7, 10.0),
        Some(5.0),
        "and its entitlement"
    );
    pool.1.release(TenantKey::Configured(22_999));
    pool.1.tick(&pool.0, MS(2_600));
    assert_eq!((pool.1.entry_counts(), pool.1.open()), ((0, 0), 0));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// A tenant that holds less than its share of the places is admitted, regardless of other tenants; and the counts of
    /// open places and active shares are exact.
    #[test]
    fn tenant_below_its_share_is_always_admitted(
        shares in proptest::collection::vec(1u64..300_000, 1..5),
        steps in proptest::collection::vec((0u16..6, any::<bool>(), 0u64..900, any::<u64>()), 1..400),
        places in 1u32..120,
    ) {
        let mut pool = (weights(&shares), FairShare::default());
        let (mut now, mut open): (u64, Vec<TenantKey>) = (0, Vec::new());
        let all: f64 = (0..=shares.len() as u32).map(|entry| pool.0.share_of(entry)).sum();
        for (tenant, releases, gap, hash) in steps {
            now += gap;
            if releases && !open.is_empty() {
                let released = open.swap_remove(hash as usize % open.len());
                pool.1.release(released);
                continue;
            }
            let configured = (usize::from(tenant) < shares.len()).then_some(tenant);
            let key = TenantKey::new(configured, hash);
            pool.1.tick(&pool.0, MS(now));
            let used = pool.1.usage(key.entry()).open;
            let result = request_place(&mut pool, key, MS(now), places);
            if let Some(tenant) = configured {
                let share = pool.0.share_of(u32::from(tenant)) / all;
                if f64::from(used) < share * f64::from(places) {
                    prop_assert!(result.is_ok(), "used {used} of {places} places at a share of {share}");
                }
            }
            match result {
                Ok(()) => {
                    pool.1.acquire(key);
                    open.push(key);
                }
                Err(excess) => prop_assert!(excess >= 1.0),
            }
            prop_assert_eq!(pool.1.open() as usize, open.len());
            let active = pool.1.usages().filter(|(_, usage)| usage.last_request.is_some());
            let sum: f64 = active.map(|(entry, _)| pool.0.share_of(entry)).sum();
            prop_assert!((pool.1.active_weight() - sum).abs() < 1e-9);
        }
    }
}
