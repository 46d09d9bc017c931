//! Membership changes, one at a time.

use super::progress::PeerProgress;
use super::{ProposalError, Replica};
use crate::wire::{Entry, EntryKind, Member, Membership, ReplicaId};
use prost::Message as _;
use std::collections::BTreeSet;
use std::time::Duration;

/// A change to one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// Adds a member that replicates the log and does not vote.
    AddLearner(Member),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or learner.
    Remove(ReplicaId),
}

/// A membership, and the index of the entry or snapshot that contains it.
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

/// The membership in an entry; `None` unless its kind is `Config`.
pub(super) fn membership_of(entry: &Entry) -> Option<Membership> {
    (entry.kind() == EntryKind::Config)
        .then(|| Membership::decode(&entry.data[..]).unwrap_or_default())
}

impl Replica {
    /// The newest membership in the log, committed or not: a membership takes effect when it is appended.
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

    /// Proposes a change to one member; returns the index of its entry.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`], or the reason why the change is invalid or not safe yet.
    pub fn propose_membership_change(
        &mut self,
        now: Duration,
        change: &MembershipChange,
    ) -> Result<u64, ProposalError> {
        self.advance_clock(now);
        self.ensure_leader()?;
        // The majorities before and after a change overlap only if members change one at a time, and only after the
        // leader has committed an entry in its term.
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

    /// Whether a peer has all committed entries.
    fn has_caught_up(&self, id: ReplicaId) -> bool {
        self.peers
            .get(&id)
            .is_some_and(|peer| peer.match_index >= self.commit_index)
    }

    /// Adds and removes peers to match the newest membership.
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
