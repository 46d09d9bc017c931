//! Moves the shards led here to the members that the placement gives them, one safe membership change at a time.

use super::{GroupEvent, GroupMember};
use crate::placement::{holders, MemberPlacement};
use crate::reconfiguration::{next_step, NextStep, WantedMember};
use rainstand_raft::{Membership, MembershipChange, ReplicaId};
use std::collections::BTreeMap;
use std::time::Duration;

impl GroupMember {
    /// Replaces the configured members. Shards move to their new holders step by step; a member that left the
    /// configuration stays connected until it holds nothing.
    pub fn set_members(&mut self, now: Duration, members: Vec<MemberPlacement>) {
        self.advance_time(now);
        for member in &members {
            if member.name != self.config.name {
                self.peers.entry(member.name.clone()).or_default();
            }
        }
        self.config.members = members;
        self.membership_check_at = self.now;
        self.settle();
    }

    /// Takes the next step of each shard that is led here, within the bound on concurrent learners.
    pub(super) fn check_membership(&mut self) {
        let mut learners = self.shards_with_learner();
        let shards: Vec<u16> = self.shards.keys().copied().collect();
        for shard in shards {
            match self.next_membership_step(shard) {
                None | Some(NextStep::Settled | NextStep::Wait) => {}
                Some(NextStep::TransferLeadership(to)) => {
                    let now = self.now;
                    if let Some(state) = self.shards.get_mut(&shard) {
                        // A transfer that is not possible now is tried again at the next check.
                        let _ = state.replica.transfer_leadership(now, to);
                    }
                }
                Some(NextStep::Change(change)) => {
                    let adds_learner = matches!(change, MembershipChange::AddLearner(_));
                    if adds_learner && learners >= self.config.max_concurrent_learners {
                        continue;
                    }
                    if self.propose_membership_change(shard, &change) {
                        learners += usize::from(adds_learner);
                    }
                }
            }
        }
    }

    fn shards_with_learner(&self) -> usize {
        self.shards
            .values()
            .filter(|state| state.was_leader)
            .filter(|state| {
                let members = &state.replica.membership().members;
                members.iter().any(|member| !member.is_voter)
            })
            .count()
    }

    /// The next step of a shard; none unless it is led here and no other change is in progress.
    fn next_membership_step(&self, shard: u16) -> Option<NextStep> {
        let replica = &self.shards.get(&shard)?.replica;
        if !replica.has_committed_in_term()
            || !replica.is_membership_committed()
            || replica.is_transferring_leadership()
        {
            return None;
        }
        let wanted: Vec<WantedMember> = self
            .shard_holders(shard)
            .into_iter()
            .map(|position| &self.config.members[position].name)
            .map(|name| WantedMember {
                name: name.clone(),
                disk: self.connected_disk_of(name),
            })
            .collect();
        let commit = replica.commit();
        let matched: BTreeMap<ReplicaId, u64> = replica
            .progress()
            .map(|follower| (follower.id, follower.match_index))
            .collect();
        let is_caught_up =
            |id: ReplicaId| matched.get(&id).is_some_and(|matched| *matched >= commit);
        Some(next_step(
            replica.membership(),
            &wanted,
            self.disk,
            is_caught_up,
        ))
    }

    /// Whether the change was proposed.
    fn propose_membership_change(&mut self, shard: u16, change: &MembershipChange) -> bool {
        let now = self.now;
        let Some(state) = self.shards.get_mut(&shard) else {
            return false;
        };
        if state
            .replica
            .propose_membership_change(now, change)
            .is_err()
        {
            return false;
        }
        let membership = describe(state.replica.membership());
        let event = GroupEvent::MembershipChanged { shard, membership };
        self.effects.events.push(event);
        true
    }

    /// Positions in `config.members` of those that should hold a shard.
    pub(super) fn shard_holders(&self, shard: u16) -> Vec<usize> {
        holders(&self.config.members, shard, self.config.replicas_per_shard)
    }
}

/// A membership for people: each member's name with the low half of its disk, and a question mark after learners.
fn describe(membership: &Membership) -> String {
    let describe_member = |member: &rainstand_raft::Member| {
        let learner_mark = if member.is_voter { "" } else { "?" };
        format!("{}/{:08x}{learner_mark}", member.name, member.id as u32)
    };
    let members: Vec<String> = membership.members.iter().map(describe_member).collect();
    members.join(" ")
}
