//! A leader hands its leadership to another voter.

use super::{ProposalError, Replica};
use crate::wire::{Body, Message, ReplicaId};
use std::time::Duration;

impl Replica {
    /// Hands leadership to a voter, once it has everything.
    ///
    /// # Errors
    /// If this is no leader, or the other cannot lead.
    pub fn transfer_leadership(
        &mut self,
        now: Duration,
        to: ReplicaId,
    ) -> Result<(), ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(self.leader));
        }
        if !self.membership().is_voter(to) || to == self.id {
            return Err(ProposalError::NotNow("it is no other voter"));
        }
        self.handing = Some((to, self.now + self.times.election_timeout[0]));
        self.hand_over(to);
        Ok(())
    }

    pub(super) fn hand_over(&mut self, to: ReplicaId) {
        if self.handing.is_some_and(|(id, _)| id == to)
            && self
                .peers
                .get(&to)
                .is_some_and(|peer| peer.matched == self.log.last())
        {
            let message = Message {
                to,
                from: self.id,
                term: self.term,
                body: Some(Body::Now(true)),
            };
            self.out.messages.push(message);
        }
    }
}
