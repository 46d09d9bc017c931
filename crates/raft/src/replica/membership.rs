//! Changes of the members, one at a time.

use super::{MembershipChange, Peer, ProposalError, Replica};
use crate::wire::{EntryKind, Member, ReplicaId};
use prost::Message as _;
use std::collections::BTreeSet;
use std::time::Duration;

impl Replica {
    /// A change of the members.
    ///
    /// # Errors
    /// If this is no leader, or a change would not be safe now.
    pub fn propose_membership_change(
        &mut self,
        now: Duration,
        change: &MembershipChange,
    ) -> Result<u64, ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(
                self.leader.filter(|leader| *leader != self.id),
            ));
        }
        // Guards against two majorities that do not meet: one change at a time, and none before this leader knows
        // what is committed.
        if !self.is_membership_committed() {
            return Err(ProposalError::NotNow("a change is on its way"));
        }
        if !self.has_committed_in_term() {
            return Err(ProposalError::NotNow("the leader is new"));
        }
        let mut config = self.membership().clone();
        match change {
            MembershipChange::AddLearner(member) if config.member(member.id).is_some() => {
                return Err(ProposalError::NotNow("it is a member"));
            }
            MembershipChange::AddLearner(member) => config.members.push(Member {
                is_voter: false,
                ..member.clone()
            }),
            MembershipChange::Promote(id) => {
                let caught_up = self
                    .peers
                    .get(id)
                    .is_some_and(|peer| peer.matched >= self.commit);
                let Some(member) = config.members.iter_mut().find(|member| member.id == *id) else {
                    return Err(ProposalError::NotNow("it is no member"));
                };
                if !caught_up {
                    return Err(ProposalError::NotNow("it has not caught up"));
                }
                member.is_voter = true;
            }
            MembershipChange::Remove(id) => {
                if config.is_voter(*id) && config.voters().count() == 1 {
                    return Err(ProposalError::NotNow("nobody would be left"));
                }
                config.members.retain(|member| member.id != *id);
            }
        }
        config.members.sort();
        let index = self.append(EntryKind::Config, config.encode_to_vec().into());
        self.spread();
        Ok(index)
    }

    /// Peers are those of the newest configuration.
    pub(super) fn meet_members(&mut self) {
        let ids: BTreeSet<ReplicaId> = self
            .membership()
            .members
            .iter()
            .map(|member| member.id)
            .collect();
        self.peers.retain(|id, _| ids.contains(id));
        for id in ids.into_iter().filter(|id| *id != self.id) {
            let (next, heard) = (self.log.last() + 1, self.now);
            self.peers.entry(id).or_insert(Peer {
                next,
                matched: 0,
                waiting: None,
                piece: None,
                heard,
                round: 0,
                differs: None,
            });
        }
    }
}
