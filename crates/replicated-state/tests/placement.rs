//! Placement of shards: sites, balance, and how little moves when members change.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_replicated_state::placement::{holders, shard_of, MemberPlacement};

fn members(sites: &[&str]) -> Vec<MemberPlacement> {
    sites
        .iter()
        .enumerate()
        .map(|(k, site)| MemberPlacement {
            name: format!("n{k}"),
            site: (*site).to_owned(),
        })
        .collect()
}

#[test]
fn no_site_holds_a_majority_if_there_are_enough_members_elsewhere() {
    for (sites, copies, max_per_site) in [
        (vec!["a", "a", "b", "b", "c", "c"], 3, 1),
        (vec!["a", "a", "a", "b", "c"], 3, 1),
        (vec!["a", "a", "b", "b", "c"], 5, 2),
        (vec!["a", "a", "a", "a", "b", "b", "c", "c", "c"], 5, 2),
        (vec!["a", "a", "b", "b"], 3, 2),
    ] {
        let members = members(&sites);
        for shard in 0..200 {
            let held = holders(&members, shard, copies);
            assert_eq!(held.len(), copies, "{sites:?}");
            for site in ["a", "b", "c"] {
                let there = held.iter().filter(|k| members[**k].site == site).count();
                assert!(there <= max_per_site, "{sites:?} shard {shard}: {held:?}");
            }
        }
    }
}

#[test]
fn shards_are_spread_evenly() {
    let members = members(&["", "", "", "", ""]);
    let mut held = [0; 5];
    (0..1_000).for_each(|shard| {
        holders(&members, shard, 3)
            .into_iter()
            .for_each(|k| held[k] += 1)
    });
    assert!(held.iter().all(|n| (540..660).contains(n)), "{held:?}");
}

#[test]
fn adding_or_removing_a_member_moves_only_its_shards() {
    let all = members(&["a", "b", "c", "a", "b", "c", "a"]);
    for removed in 0..all.len() {
        let mut fewer = all.clone();
        fewer.remove(removed);
        let mut moved = 0;
        for shard in 0..512 {
            let names = |of: &[MemberPlacement]| {
                let mut names: Vec<String> = holders(of, shard, 3)
                    .into_iter()
                    .map(|k| of[k].name.clone())
                    .collect();
                names.sort();
                names
            };
            let (before, after) = (names(&all), names(&fewer));
            if before.contains(&all[removed].name) {
                let stay = before.iter().filter(|name| after.contains(name)).count();
                assert!(stay >= 1, "{before:?} {after:?}");
            } else {
                assert_eq!(before, after, "shard {shard} without {removed}");
            }
            moved += after.iter().filter(|name| !before.contains(name)).count();
        }
        // One in 7 of 3 copies of 512 shards must move; sites push a few more on.
        assert!(moved < 512 * 3 / 7 * 3 / 2, "{removed}: {moved}");
    }
}

#[test]
fn keys_are_spread_evenly_over_shards() {
    let mut shards = [0; 16];
    (0..16_000u32).for_each(|n| shards[usize::from(shard_of(&n.to_be_bytes(), 16))] += 1);
    assert!(
        shards.iter().all(|n| (850..1_150).contains(n)),
        "{shards:?}"
    );
}
