//! Which members hold which shard: each shard ranks all members by a hash of both (rendezvous hashing) and takes them
//! in that order, passing over those of a site that has its part already.
//!
//! A shard's rank of the others does not change when a member comes or goes, so only shards that gain or lose it
//! move, and where sites bind, those that the site's part pushes on.

use twox_hash::XxHash3_64;

/// The shard of a key.
pub fn shard_of(key: &[u8], shards: u16) -> u16 {
    (XxHash3_64::oneshot_with_seed(0x5a17, key) % u64::from(shards.max(1))) as u16
}

/// Members of one shard by place in `members` (name, site), the first by rank first. No site has a majority of the
/// copies, if there are members enough elsewhere.
pub fn holders(members: &[(String, String)], shard: u16, copies: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = members
        .iter()
        .enumerate()
        .map(|(k, (name, _))| {
            (
                XxHash3_64::oneshot_with_seed(u64::from(shard) + 1, name.as_bytes()),
                k,
            )
        })
        .collect();
    ranked.sort_unstable();
    let copies = copies.min(members.len());
    let minority = copies.saturating_sub(1) / 2;
    let mut taken: Vec<usize> = Vec::new();
    // First with no majority at a site, then as it comes.
    for most in [minority.max(1), usize::MAX] {
        for (_, k) in &ranked {
            let site = &members[*k].1;
            let there = taken
                .iter()
                .filter(|t| members[**t].1 == *site && !site.is_empty())
                .count();
            if taken.len() < copies && there < most && !taken.contains(k) {
                taken.push(*k);
            }
        }
    }
    taken
}

#[cfg(test)]
mod tests {
    use super::*;

    fn members(sites: &[&str]) -> Vec<(String, String)> {
        sites
            .iter()
            .enumerate()
            .map(|(k, site)| (format!("n{k}"), (*site).to_owned()))
            .collect()
    }

    #[test]
    fn no_site_has_a_majority_where_there_are_members_enough_elsewhere() {
        for (sites, copies, most) in [
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
                    let there = held.iter().filter(|k| members[**k].1 == site).count();
                    assert!(there <= most, "{sites:?} shard {shard}: {held:?}");
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
    fn one_member_more_or_less_moves_no_more_than_it_must() {
        let all = members(&["a", "b", "c", "a", "b", "c", "a"]);
        for gone in 0..all.len() {
            let mut fewer = all.clone();
            fewer.remove(gone);
            let mut moved = 0;
            for shard in 0..512 {
                let names = |of: &[(String, String)]| {
                    let mut names: Vec<String> = holders(of, shard, 3)
                        .into_iter()
                        .map(|k| of[k].0.clone())
                        .collect();
                    names.sort();
                    names
                };
                let (before, after) = (names(&all), names(&fewer));
                if before.contains(&all[gone].0) {
                    let stay = before.iter().filter(|name| after.contains(name)).count();
                    assert!(stay >= 1, "{before:?} {after:?}");
                } else {
                    assert_eq!(before, after, "shard {shard} without {gone}");
                }
                moved += after.iter().filter(|name| !before.contains(name)).count();
            }
            // One in 7 of 3 copies of 512 shards must move; sites push a few more on.
            assert!(moved < 512 * 3 / 7 * 3 / 2, "{gone}: {moved}");
        }
    }

    #[test]
    fn keys_fall_evenly_into_shards() {
        let mut shards = [0; 16];
        (0..16_000u32).for_each(|n| shards[usize::from(shard_of(&n.to_be_bytes(), 16))] += 1);
        assert!(
            shards.iter().all(|n| (850..1_150).contains(n)),
            "{shards:?}"
        );
    }
}
