//! Transfer of leadership to another voter.

use super::{CampaignKind, ProposalError, Replica, Role};
use crate::wire::{Body, ReplicaId};
use std::time::Duration;

/// A transfer in progress; no proposals are accepted until it ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeadershipTransfer {
    target: ReplicaId,
    /// When the leader aborts the transfer.
    deadline: Duration,
}

impl Replica {
    /// Transfers leadership to a voter, once it has the complete log. After the shortest election timeout the leader
    /// aborts the transfer and accepts proposals again.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`], or [`ProposalError::InvalidTransferTarget`] if `to` is this replica or not a voter.
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        to: ReplicaId,
    ) -> Result<(), ProposalError> {
        self.advance_clock(now);
        self.ensure_leader()?;
        if !self.membership().is_voter(to) || to == self.id {
            return Err(ProposalError::InvalidTransferTarget);
        }
        self.leadership_transfer = Some(LeadershipTransfer {
            target: to,
            deadline: self.now + self.timeouts.min_election_timeout,
        });
        self.send_timeout_now(to);
        Ok(())
    }

    /// Whether this leader is transferring its leadership.
    pub fn is_transferring_leadership(&self) -> bool {
        self.leadership_transfer.is_some()
    }

    pub(super) fn expire_leadership_transfer(&mut self) {
        let expired = self
            .leadership_transfer
            .is_some_and(|transfer| self.now >= transfer.deadline);
        if expired {
            self.leadership_transfer = None;
        }
    }

    /// Tells `to` to campaign, if it is the transfer target and has the complete log.
    pub(super) fn send_timeout_now(&mut self, to: ReplicaId) {
        let is_target = self
            .leadership_transfer
            .is_some_and(|transfer| transfer.target == to);
        let has_complete_log = self
            .peers
            .get(&to)
            .is_some_and(|peer| peer.match_index == self.log.last_index());
        if is_target && has_complete_log {
            self.send(to, Body::TimeoutNow(true));
        }
    }

    pub(super) fn handle_timeout_now(&mut self, from: ReplicaId) {
        if self.role == Role::Follower && self.leader == Some(from) {
            self.campaign(self.now, CampaignKind::LeadershipTransfer);
        }
    }
}
