//! The comparison of all replicas at the end of a run.

use super::{name, Sim};
use prost::Message as _;
use rainstand_replicated_state::member::ShardView;
use std::collections::BTreeMap;

impl Sim {
    /// At the end: all copies of a shard that are as far have the same.
    pub(super) fn compare(&mut self) {
        /// Checksums of entries, keys and settled members, and whose they are.
        type Copy = (u64, u64, Option<u64>, usize);
        let mut seen: BTreeMap<(u16, u64), Copy> = BTreeMap::new();
        let mut wrong = Vec::new();
        for (k, node) in self.nodes.iter().enumerate() {
            let Some(member) = &node.member else {
                wrong.push(format!("{} is not up at the end", name(k)));
                continue;
            };
            for report in member.gossip_reports().iter() {
                let disk = report.disk;
                let told = report.charged_us.get("acme").copied().unwrap_or(0);
                let truth = self
                    .charged
                    .get(&(disk, report.epoch))
                    .copied()
                    .unwrap_or(0);
                if told > truth {
                    wrong.push(format!(
                        "{} has {told} of what a node charged: {truth}",
                        name(k)
                    ));
                }
            }
            for ShardView {
                shard,
                replica,
                table,
            } in member.shards()
            {
                // Of disks that hold a copy no more, nothing is asked.
                if replica.membership().member(replica.id()).is_none() {
                    continue;
                }
                let sum = replica.log().checksum(replica.applied()).unwrap_or(0);
                let state = twox_hash::XxHash3_64::oneshot(&table.snapshot());
                let members = twox_hash::XxHash3_64::oneshot(&replica.membership().encode_to_vec());
                let members = replica.is_membership_committed().then_some(members);
                let entry = seen
                    .entry((shard, replica.applied()))
                    .or_insert((sum, state, members, k));
                let what = if entry.0 != sum {
                    "entries"
                } else if entry.1 != state {
                    "keys"
                } else if entry
                    .2
                    .zip(members)
                    .is_some_and(|(one, other)| one != other)
                {
                    "members"
                } else {
                    continue;
                };
                let (at, one, other) = (replica.applied(), name(k), name(entry.3));
                wrong.push(format!(
                    "shard {shard} at {at}: {what} of {one} and {other} differ"
                ));
            }
        }
        self.out.wrong.extend(wrong);
    }
}
