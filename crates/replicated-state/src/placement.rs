//! Which members hold which shard.
//!
//! Each shard ranks all members by a hash of both (rendezvous hashing) and is held by the first of them, except that
//! members of a site that already holds its share are skipped. A member that comes or goes does not change how a shard
//! ranks the others: only the shards that gain or lose that member move, and where sites bind, a few more.

use twox_hash::XxHash3_64;

/// The shard of registers and of the published versions of the configuration.
pub const SHARD_OF_REGISTERS: u16 = 0;

/// Seed of the hash that spreads keys over shards. Changing it would move every key.
const KEY_HASH_SEED: u64 = 0x5a17;

/// A configured member and where it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberPlacement {
    /// Name of the member.
    pub name: String,
    /// Its site, such as a data center; empty if it counts as a site of its own.
    pub site: String,
}

/// The shard of a key.
pub fn shard_of(key: &[u8], shards: u16) -> u16 {
    let hash = XxHash3_64::oneshot_with_seed(KEY_HASH_SEED, key);
    (hash % u64::from(shards.max(1))) as u16
}

/// Positions in `members` of those that hold a shard, the first by rank first.
///
/// No site holds a majority of the replicas if there are enough members elsewhere.
pub fn holders(members: &[MemberPlacement], shard: u16, replicas: usize) -> Vec<usize> {
    let ranked = ranked_positions(members, shard);
    let replicas = replicas.min(members.len());
    let minority = replicas.saturating_sub(1) / 2;
    let mut chosen: Vec<usize> = Vec::new();
    // The second pass fills up from any site if the first could not find enough members.
    for max_per_site in [minority.max(1), usize::MAX] {
        for position in &ranked {
            let site = &members[*position].site;
            let chosen_at_site = chosen
                .iter()
                .filter(|other| !site.is_empty() && members[**other].site == *site)
                .count();
            let is_new = !chosen.contains(position);
            if chosen.len() < replicas && chosen_at_site < max_per_site && is_new {
                chosen.push(*position);
            }
        }
    }
    chosen
}

/// All positions in `members`, in the order in which a shard prefers them.
fn ranked_positions(members: &[MemberPlacement], shard: u16) -> Vec<usize> {
    let seed = u64::from(shard) + 1;
    let mut ranked: Vec<(u64, usize)> = members
        .iter()
        .enumerate()
        .map(|(position, member)| {
            let rank = XxHash3_64::oneshot_with_seed(seed, member.name.as_bytes());
            (rank, position)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, position)| position).collect()
}
