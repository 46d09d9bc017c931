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

fn asks(
    room: &mut (TenantShares, FairShare),
    who: TenantKey,
    now: Duration,
    of: u32,
) -> Result<(), f64> {
    room.1.on_request(&room.0, who, now);
    room.1.check_share(&room.0, who, of)
}

/// Enters as many as may, up to `wanted`.
fn fill(room: &mut (TenantShares, FairShare), who: TenantKey, wanted: u32, of: u32) -> u32 {
    let mut entered = 0;
    for _ in 0..wanted {
        if asks(room, who, MS(1), of).is_ok() {
            room.1.acquire(who);
            entered += 1;
        }
    }
    entered
}

#[test]
fn a_sole_tenant_may_fill_the_pool_and_otherwise_gets_its_share() {
    let mut room = (weights(&[500_000, 300_000]), FairShare::default());
    assert_eq!(fill(&mut room, TenantKey::Configured(1), 100, 100), 100);
    // The other one still has its way in, past what the first took while it was alone.
    let its = fill(&mut room, TenantKey::Configured(0), 1_000, 100);
    assert_eq!(its, 63, "five eighths of a hundred, rounded up");
    // The first gets nothing more before it is below its part.
    assert!(asks(&mut room, TenantKey::Configured(1), MS(2), 100).unwrap_err() > 2.0);
    (0..70).for_each(|_| room.1.release(TenantKey::Configured(1)));
    assert_eq!(fill(&mut room, TenantKey::Configured(1), 100, 100), 8);
}

#[test]
fn unknown_tenants_take_nothing_from_configured_ones() {
    let mut room = (weights(&[300_000, 600_000]), FairShare::default());
    let mut got = 0;
    for n in 0..100_000u64 {
        let who = TenantKey::new(
            None,
            rainstand_routing::weighted_split::name_hash(&format!("made up {n}")),
        );
        room.1
            .on_request(&room.0, TenantKey::Configured(0), MS(n / 100));
        if asks(&mut room, who, MS(n / 100), 200).is_ok() {
            room.1.acquire(who);
            got += 1;
        }
    }
    // What nobody else uses they may have, but not what is kept.
    assert_eq!(got, 160);
    assert_eq!(
        fill(&mut room, TenantKey::Configured(0), 60, 200),
        60,
        "its share of 200, all of it"
    );
    assert_eq!(fill(&mut room, TenantKey::Configured(1), 120, 200), 120);
    assert_eq!(room.1.entry_counts().1, UNKNOWN_TENANT_CELLS);
    assert_eq!(room.1.open(), got + 180);
}

#[test]
fn an_inactive_tenant_frees_its_share() {
    let mut room = (weights(&[500_000, 500_000]), FairShare::default());
    room.1.on_request(&room.0, TenantKey::Configured(1), MS(0));
    assert_eq!(
        fill(&mut room, TenantKey::Configured(0), 20, 10),
        8,
        "eight while there is room, and half is its part"
    );
    room.1.tick(&room.0, MS(2_500));
    assert!(asks(&mut room, TenantKey::Configured(0), MS(2_500), 10).is_ok());
}

#[test]
fn shares_set_one_by_one_equal_a_new_list() {
    let mut one_by_one = weights(&[300_000, 0, 0]);
    for (at, share) in [
        (1, 200_000),
        (0, 0),
        (3, 50_000),
        (4, 0),
        (2, 10_000),
        (2, 0),
    ] {
        one_by_one.set(at, share);
    }
    let anew = weights(&[0, 200_000, 0, 50_000, 0]);
    (0..6).for_each(|at| assert_eq!(one_by_one.share_of(at), anew.share_of(at), "{at}"));
}

#[test]
fn entries_exist_for_active_tenants_only() {
    let mut room = (weights(&[43; 23_000]), FairShare::default());
    for tenant in [7, 22_999] {
        assert!(asks(&mut room, TenantKey::Configured(tenant), MS(0), 10).is_ok());
        room.1.acquire(TenantKey::Configured(tenant));
    }
    assert!(asks(&mut room, TenantKey::Unknown(3), MS(0), 10).is_ok());
    assert_eq!(room.1.entry_counts(), (3, 1));
    room.1.release(TenantKey::Configured(7));
    room.1.tick(&room.0, MS(2_500));
    assert_eq!(
        (room.1.entry_counts(), room.1.open()),
        ((1, 0), 1),
        "who has something open stays"
    );
    assert_eq!(
        room.1.entitlement(&room.0, 7, 10.0),
        Some(5.0),
        "and keeps its part"
    );
    room.1.release(TenantKey::Configured(22_999));
    room.1.tick(&room.0, MS(2_600));
    assert_eq!((room.1.entry_counts(), room.1.open()), ((0, 0), 0));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whoever holds less than its share of all tenants' shares is let in, whatever others do; and counts agree.
    #[test]
    fn a_tenant_below_its_share_is_always_admitted(
        shares in proptest::collection::vec(1u64..300_000, 1..5),
        steps in proptest::collection::vec((0u16..6, any::<bool>(), 0u64..900, any::<u64>()), 1..400),
        of in 1u32..120,
    ) {
        let mut room = (weights(&shares), FairShare::default());
        let (mut now, mut open): (u64, Vec<TenantKey>) = (0, Vec::new());
        let all: f64 = (0..=shares.len() as u32).map(|at| room.0.share_of(at)).sum();
        for (tenant, leaves, gap, mark) in steps {
            now += gap;
            if leaves && !open.is_empty() {
                let one = open.swap_remove(mark as usize % open.len());
                room.1.release(one);
                continue;
            }
            let known = (usize::from(tenant) < shares.len()).then_some(tenant);
            let who = TenantKey::new(known, mark);
            room.1.tick(&room.0, MS(now));
            let held = room.1.usage(who.entry()).open;
            let verdict = asks(&mut room, who, MS(now), of);
            if let Some(tenant) = known {
                let share = room.0.share_of(u32::from(tenant)) / all;
                if f64::from(held) < share * f64::from(of) {
                    prop_assert!(verdict.is_ok(), "held {held} of {of} at a share of {share}");
                }
            }
            match verdict {
                Ok(()) => {
                    room.1.acquire(who);
                    open.push(who);
                }
                Err(over) => prop_assert!(over >= 1.0),
            }
            prop_assert_eq!(room.1.open() as usize, open.len());
            let asked = room.1.usages().filter(|(_, one)| one.last_request.is_some());
            let sum: f64 = asked.map(|(at, _)| room.0.share_of(at)).sum();
            prop_assert!((room.1.active_weight() - sum).abs() < 1e-9);
        }
    }
}
