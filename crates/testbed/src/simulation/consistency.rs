//! Checks at the end of a run: replicas of a shard with the same applied index have the same state, and no member
//! reports a higher charge than was made.

use super::{name, Simulation};
use prost::Message as _;
use rainstand_replicated_state::member::{GroupMember, ShardView};
use std::collections::btree_map::Entry;
use std::collections::BTreeMap;

/// Checksums of a replica's state.
struct Checksums {
    entries: u64,
    keys: u64,
    /// `None` while a membership change is not committed.
    members: Option<u64>,
}

impl Checksums {
    fn of(view: &ShardView<'_>) -> Self {
        let replica = view.replica;
        let members = replica.membership().encode_to_vec();
        let is_settled = replica.is_membership_committed();
        Self {
            entries: replica.log().checksum(replica.applied()).unwrap_or(0),
            keys: twox_hash::XxHash3_64::oneshot(&view.table.snapshot()),
            members: is_settled.then(|| twox_hash::XxHash3_64::oneshot(&members)),
        }
    }

    /// The first part of the state that differs.
    fn difference(&self, other: &Self) -> Option<&'static str> {
        let members = self.members.zip(other.members);
        if self.entries != other.entries {
            Some("entries")
        } else if self.keys != other.keys {
            Some("keys")
        } else if members.is_some_and(|(one, other)| one != other) {
            Some("members")
        } else {
            None
        }
    }
}

/// By shard and applied index, the checksums of the first replica found and its node.
type Replicas = BTreeMap<(u16, u64), (Checksums, usize)>;

impl Simulation {
    pub(super) fn check_consistency(&mut self) {
        let mut replicas = Replicas::new();
        let mut faults = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(member) = &node.member else {
                faults.push(format!(
                    "{} is not running at the end of the run",
                    name(index)
                ));
                continue;
            };
            self.check_charges(index, member, &mut faults);
            compare_replicas(index, member, &mut replicas, &mut faults);
        }
        self.outcome.faults.extend(faults);
    }

    /// No report of a charge may exceed what the node charged.
    fn check_charges(&self, index: usize, member: &GroupMember, faults: &mut Vec<String>) {
        for report in member.gossip_reports().iter() {
            let reported = report.charged_us.get("acme").copied().unwrap_or(0);
            let incarnation = (report.disk, report.epoch);
            let charged = self.charged.get(&incarnation).copied().unwrap_or(0);
            if reported > charged {
                let name = name(index);
                faults.push(format!(
                    "{name} has a report of {reported} us charged, but the node charged {charged} us"
                ));
            }
        }
    }
}

fn compare_replicas(
    index: usize,
    member: &GroupMember,
    replicas: &mut Replicas,
    faults: &mut Vec<String>,
) {
    for view in member.shards() {
        let replica = view.replica;
        // A disk that is no longer a member of the shard is not checked.
        if replica.membership().member(replica.id()).is_none() {
            continue;
        }
        let (shard, applied) = (view.shard, replica.applied());
        let checksums = Checksums::of(&view);
        match replicas.entry((shard, applied)) {
            Entry::Vacant(entry) => {
                entry.insert((checksums, index));
            }
            Entry::Occupied(entry) => {
                let (first, node) = entry.get();
                if let Some(part) = first.difference(&checksums) {
                    let (one, other) = (name(index), name(*node));
                    faults.push(format!(
                        "shard {shard} at {applied}: {part} of {one} and {other} differ"
                    ));
                }
            }
        }
    }
}
