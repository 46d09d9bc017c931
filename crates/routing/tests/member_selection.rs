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
fn load_follows_weight() {
    let mut members = pool(10);
    members.iter_mut().for_each(|member| member.near = true);
    members[3].weight = 2.0;
    let mut chance = WyRand::new_seed(2);
    for _ in 0..1_100 {
        let (k, how) = choose(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "",
            &mut chance,
            |_| 1.0,
        )
        .unwrap();
        assert_eq!(how, SelectionReason::Near);
        members[k].open += 1;
    }
    for (k, member) in members.iter().enumerate() {
        let wanted = if k == 3 { 200 } else { 100 };
        assert!(member.open.abs_diff(wanted) <= 10, "{k}: {}", member.open);
    }
}

#[test]
fn fast_failure_draws_no_traffic() {
    // Member 0 fails in 1 ms, the others take 50 ms; 200 requests a second for 20 s.
    let mut members = pool(5);
    members.iter_mut().for_each(|member| member.near = true);
    let mut chance = WyRand::new_seed(3);
    let mut open: Vec<(u64, usize)> = Vec::new();
    let mut got = [0u32; 5];
    for t in (0..20_000).step_by(5) {
        open.retain(|(until, k)| {
            let over = *until <= t;
            if over {
                members[*k].open -= 1;
                if *k == 0 {
                    members[0].failed(ms(*until - 1), ms(50));
                }
            }
            !over
        });
        let (k, _) = choose(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(t),
            "",
            &mut chance,
            |_| 1.0,
        )
        .unwrap();
        members[k].open += 1;
        got[k] += 1;
        open.push((t + if k == 0 { 1 } else { 50 }, k));
    }
    let fair = got.iter().sum::<u32>() / 5;
    assert!(got[0] <= fair + fair / 10, "{got:?}");
}

#[test]
fn other_policies_select_as_documented() {
    let mut members = pool(4);
    members.iter_mut().for_each(|member| member.near = true);
    members[2].open = 0;
    [0, 1, 3].into_iter().for_each(|k| members[k].open = 5);
    let mut chance = WyRand::new_seed(8);
    let mut least = SelectionPolicy::LeastLoaded;
    assert_eq!(
        choose(&mut least, &mut members, ms(0), "", &mut chance, |_| 1.0)
            .unwrap()
            .0,
        2
    );
    let mut turn = SelectionPolicy::RoundRobin(3);
    let mut next = |members: &mut Vec<Member>| {
        choose(&mut turn, members, ms(0), "", &mut chance, |k| {
            f64::from(u8::from(k != 1))
        })
        .unwrap()
        .0
    };
    let order: Vec<usize> = (0..5).map(|_| next(&mut members)).collect();
    assert_eq!(order, [3, 0, 2, 3, 0]);
}

#[test]
fn near_members_first_until_they_exceed_their_share() {
    let mut members = pool(4);
    let mut chance = WyRand::new_seed(4);
    for _ in 0..40 {
        let (k, how) = choose(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "",
            &mut chance,
            |_| 1.0,
        )
        .unwrap();
        members[k].open += 1;
        assert!(how != SelectionReason::Near || members[k].near);
    }
    let near: u32 = members
        .iter()
        .filter(|member| member.near)
        .map(|member| member.open)
        .sum();
    assert!((28..=32).contains(&near), "three of four parts: {near}");
    // No near one can be used: the others take all.
    let (k, how) = choose(
        &mut SelectionPolicy::default(),
        &mut members,
        ms(0),
        "",
        &mut chance,
        |k| f64::from(k as u32 % 2),
    )
    .unwrap();
    assert_eq!((members[k].near, how), (false, SelectionReason::Any));
    assert_eq!(
        choose(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "",
            &mut chance,
            |_| 0.0
        ),
        None
    );
}

#[test]
fn affinity_is_stable_and_overloads_no_member() {
    let mut members = pool(8);
    let mut chance = WyRand::new_seed(5);
    let (own, how) = choose(
        &mut SelectionPolicy::default(),
        &mut members,
        ms(0),
        "NO-1",
        &mut chance,
        |_| 1.0,
    )
    .unwrap();
    assert_eq!(how, SelectionReason::Affinity);
    for _ in 0..400 {
        let (k, _) = choose(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "NO-1",
            &mut chance,
            |_| 1.0,
        )
        .unwrap();
        members[k].open += 1;
    }
    let most = members.iter().map(|member| member.open).max().unwrap();
    assert!(most <= 64, "of 400 over 8: {most}");
    assert!(members[own].open > 50);
    members.iter_mut().for_each(|member| member.open = 0);
    assert_eq!(
        choose(
            &mut SelectionPolicy::default(),
            &mut members,
            ms(0),
            "NO-1",
            &mut chance,
            |_| 1.0
        )
        .unwrap()
        .0,
        own
    );
    let (other, _) = choose(
        &mut SelectionPolicy::default(),
        &mut members,
        ms(0),
        "NO-1",
        &mut chance,
        |k| f64::from(u8::from(k != own)),
    )
    .unwrap();
    assert_ne!(other, own);
}

#[test]
fn a_restarted_member_warms_up_gradually() {
    let mut members = pool(4);
    for member in &mut members {
        member.near = true;
        member.warm_up = ms(10_000);
    }
    members[1].started = Some(ms(100_000));
    let mut part_at = |now: u64| {
        let mut chance = WyRand::new_seed(6);
        let mut got = 0;
        for _ in 0..4_000 {
            let (k, _) = choose(
                &mut SelectionPolicy::default(),
                &mut members,
                ms(now),
                "",
                &mut chance,
                |_| 1.0,
            )
            .unwrap();
            got += u32::from(k == 1);
            members[k].open += 1;
        }
        members.iter_mut().for_each(|member| member.open = 0);
        got
    };
    let (cold, half, warm) = (part_at(100_000), part_at(105_000), part_at(115_000));
    assert!(
        cold < 120 && (450..700).contains(&half) && (930..1_070).contains(&warm),
        "{cold} {half} {warm}"
    );
}
