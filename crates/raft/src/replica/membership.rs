//! Membership changes, one at a time.

use super::progress::PeerProgress;
use super::{ProposalError, Replica};
use crate::wire::{Entry, EntryKind, Member, Membership, ReplicaId};
use prost::Message as _;
use std::collections::BTreeSet;
use std::time::Duration;

/// A change of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that replicates the log and does not vote.
    AddLearner(Member),
    /// Gives a learner that has caught up a vote.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

/// A membership, and the index of the entry or snapshot that holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct IndexedMembership {
    pub(super) index: u64,
    pub(super) membership: Membership,
}

impl IndexedMembership {
    pub(super) fn new(index: u64, membership: Membership) -> Self {
        Self { index, membership }
    }
}

/// The membership that an entry holds, if it holds one.
pub(super) fn membership_of(entry: &Entry) -> Option<Membership> {
    (entry.kind() == EntryKind::Config)
        .then(|| Membership::decode(&entry.data[..]).unwrap_or_default())
}

impl Replica {
    /// The newest membership of the log, committed or not: a membership is in force from when it is appended.
    ///
    /// # Panics
    /// Never: the log's base always has a membership, which may be empty.
    pub fn membership(&self) -> &Membership {
        let newest = self.memberships.last();
        &newest.expect("the base has a membership").membership
    }

    /// Whether the newest membership is committed.
    pub fn is_membership_committed(&self) -> bool {
        self.memberships
            .last()
            .is_some_and(|newest| newest.index <= self.commit_index)
    }

    /// Proposes a change of one member; returns the index of its entry.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`], or why the change would not be safe now.
    pub fn propose_membership_change(
        &mut self,
        now: Duration,
        change: &MembershipChange,
    ) -> Result<u64, ProposalError> {
        self.advance_clock(now);
        self.ensure_leader()?;
        // Two majorities always overlap, as members change one at a time, and only after the leader has learnt in
        // its own term what is committed.
        if !self.is_membership_committed() {
            return Err(ProposalError::ChangeInProgress);
        }
        if !self.has_committed_in_term() {
            return Err(ProposalError::NoCommitInTerm);
        }
        let membership = self.changed_membership(change)?;
        let index = self.append_as_leader(EntryKind::Config, membership.encode_to_vec().into());
        self.replicate_to_all();
        Ok(index)
    }

    fn changed_membership(&self, change: &MembershipChange) -> Result<Membership, ProposalError> {
        let mut membership = self.membership().clone();
        match change {
            MembershipChange::AddLearner(member) => {
                if membership.member(member.id).is_some() {
                    return Err(ProposalError::AlreadyMember);
                }
                membership.members.push(Member {
                    is_voter: false,
                    ..member.clone()
                });
            }
            MembershipChange::Promote(id) => {
                let mut members = membership.members.iter_mut();
                let Some(member) = members.find(|member| member.id == *id) else {
                    return Err(ProposalError::NotMember);
                };
                if !self.has_caught_up(*id) {
                    return Err(ProposalError::NotCaughtUp);
                }
                member.is_voter = true;
            }
            MembershipChange::Remove(id) => {
                if membership.is_voter(*id) && membership.voters().count() == 1 {
                    return Err(ProposalError::LastVoter);
                }
                membership.members.retain(|member| member.id != *id);
            }
        }
        membership.members.sort();
        Ok(membership)
    }

    /// Whether a peer holds all that is committed.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.match_index >= self.commit_index)
    }

    /// Makes the peers those of the newest membership.
    pub(super) fn sync_peers(&mut self) {
        let ids: BTreeSet<ReplicaId> = self
            .membership()
            .members
            .iter()
            .map(|member| member.id)
            .collect();
        self.peers.retain(|id, _| ids.contains(id));
        let next_index = self.log.last_index() + 1;
        for id in ids.into_iter().filter(|id| *id != self.id) {
            self.peers
                .entry(id)
                .or_insert_with(|| PeerProgress::new(next_index, self.now));
        }
    }
}
