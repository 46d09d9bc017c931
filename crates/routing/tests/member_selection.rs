//! Selection of a member by load, zone, weight and entity.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::WyRand;
use rainstand_routing::member_selection::*;
use rainstand_routing::weighted_split::name_hash;
use std::time::Duration;

fn pool(count: usize) -> Vec<Member> {
    (0..count)
        .map(|k| {
            Member::new(
                name_hash(&format!("10.0.0.{k}:1")),
                1.0,
                k % 2 == 0,
                Duration::ZERO,
            )
        })
        .collect()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn load_is_proportional_to_weight() {
    let mut members = pool(10);
    members.iter_mut().for_each(|member| member.near = true);
    members[3].weight = 2.0;
    let mut rng = WyRand::new_seed(2);
    for _ in 0..1_100 {
        let (k, reason) = select_member(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "",
            &mut rng,
            |_| 1.0,
        )
        .unwrap();
        assert_eq!(reason, SelectionReason::Near);
        members[k].in_flight += 1;
    }
    for (k, member) in members.iter().enumerate() {
        let expected = if k == 3 { 200 } else { 100 };
        assert!(
            member.in_flight.abs_diff(expected) <= 10,
            "{k}: {}",
            member.in_flight
        );
    }
}

#[test]
fn member_that_fails_fast_attracts_no_extra_traffic() {
    // Member 0 fails after 1 ms, the others respond after 50 ms; 200 requests per second for 20 s.
    let mut members = pool(5);
    members.iter_mut().for_each(|member| member.near = true);
    let mut rng = WyRand::new_seed(3);
    let mut open: Vec<(u64, usize)> = Vec::new();
    let mut counts = [0u32; 5];
    for now_ms in (0..20_000).step_by(5) {
        open.retain(|(until_ms, k)| {
            let ended = *until_ms <= now_ms;
            if ended {
                members[*k].in_flight -= 1;
                if *k == 0 {
                    members[0].on_failed_attempt(ms(*until_ms - 1), ms(50));
                }
            }
            !ended
        });
        let (k, _) = select_member(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(now_ms),
            "",
            &mut rng,
            |_| 1.0,
        )
        .unwrap();
        members[k].in_flight += 1;
        counts[k] += 1;
        open.push((now_ms + if k == 0 { 1 } else { 50 }, k));
    }
    let fair_share = counts.iter().sum::<u32>() / 5;
    assert!(counts[0] <= fair_share + fair_share / 10, "{counts:?}");
}

#[test]
fn least_loaded_and_round_robin_select_as_documented() {
    let mut members = pool(4);
    members.iter_mut().for_each(|member| member.near = true);
    members[2].in_flight = 0;
    [0, 1, 3].into_iter().for_each(|k| members[k].in_flight = 5);
    let mut rng = WyRand::new_seed(8);
    let mut policy = SelectionPolicy::LeastLoaded;
    assert_eq!(
        select_member(&mut policy, &mut members, ms(0), "", &mut rng, |_| 1.0)
            .unwrap()
            .0,
        2
    );
    let mut round_robin = SelectionPolicy::RoundRobin(3);
    let mut select_next = |members: &mut Vec<Member>| {
        select_member(&mut round_robin, members, ms(0), "", &mut rng, |k| {
            f64::from(u8::from(k != 1))
        })
        .unwrap()
        .0
    };
    let order: Vec<usize> = (0..5).map(|_| select_next(&mut members)).collect();
    assert_eq!(order, [3, 0, 2, 3, 0]);
}

#[test]
fn near_members_are_preferred_until_their_load_exceeds_the_spill_factor() {
    let mut members = pool(4);
    let mut rng = WyRand::new_seed(4);
    for _ in 0..40 {
        let (k, reason) = select_member(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "",
            &mut rng,
            |_| 1.0,
        )
        .unwrap();
        members[k].in_flight += 1;
        assert!(reason != SelectionReason::Near || members[k].near);
    }
    let near: u32 = members
        .iter()
        .filter(|member| member.near)
        .map(|member| member.in_flight)
        .sum();
    assert!(
        (28..=32).contains(&near),
        "three quarters of the requests: {near}"
    );
    // No near member is usable: a remote one is selected.
    let (k, reason) = select_member(
        &mut SelectionPolicy::default(),
        &mut members,
        ms(0),
        "",
        &mut rng,
        |k| f64::from(k as u32 % 2),
    )
    .unwrap();
    assert_eq!((members[k].near, reason), (false, SelectionReason::Any));
    assert_eq!(
        select_member(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "",
            &mut rng,
            |_| 0.0
        ),
        None
    );
}

#[test]
fn affinity_is_stable_and_overloads_no_member() {
    let mut members = pool(8);
    let mut rng = WyRand::new_seed(5);
    let (preferred, reason) = select_member(
        &mut SelectionPolicy::default(),
        &mut members,
        ms(0),
        "NO-1",
        &mut rng,
        |_| 1.0,
    )
    .unwrap();
    assert_eq!(reason, SelectionReason::Affinity);
    for _ in 0..400 {
        let (k, _) = select_member(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "NO-1",
            &mut rng,
            |_| 1.0,
        )
        .unwrap();
        members[k].in_flight += 1;
    }
    let max_open = members.iter().map(|member| member.in_flight).max().unwrap();
    assert!(max_open <= 64, "of 400 requests over 8 members: {max_open}");
    assert!(members[preferred].in_flight > 50);
    members.iter_mut().for_each(|member| member.in_flight = 0);
    assert_eq!(
        select_member(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "NO-1",
            &mut rng,
            |_| 1.0
        )
        .unwrap()
        .0,
        preferred
    );
    let (other, _) = select_member(
        &mut SelectionPolicy::default(),
        &mut members,
        ms(0),
        "NO-1",
        &mut rng,
        |k| f64::from(u8::from(k != preferred)),
    )
    .unwrap();
    assert_ne!(other, preferred);
}

#[test]
fn restarted_member_gets_a_gradually_rising_share() {
    let mut members = pool(4);
    for member in &mut members {
        member.near = true;
        member.warm_up = ms(10_000);
    }
    members[1].started = Some(ms(100_000));
    let mut count_at = |now: u64| {
        let mut rng = WyRand::new_seed(6);
        let mut count = 0;
        for _ in 0..4_000 {
            let (k, _) = select_member(
                &mut SelectionPolicy::default(),
                &mut members,
                ms(now),
                "",
                &mut rng,
                |_| 1.0,
            )
            .unwrap();
            count += u32::from(k == 1);
            members[k].in_flight += 1;
        }
        members.iter_mut().for_each(|member| member.in_flight = 0);
        count
    };
    let (cold, half_warm, warm) = (count_at(100_000), count_at(105_000), count_at(115_000));
    assert!(
        cold < 120 && (450..700).contains(&half_warm) && (930..1_070).contains(&warm),
        "{cold} {half_warm} {warm}"
    );
}
