//! Linearizable reads without a log entry (read index).

use super::{ProposalError, Replica, READS};
use crate::wire::ReplicaId;
use std::time::Duration;

impl Replica {
    /// A read that sees everything committed before it; `token` comes back in [`Out::reads`].
    ///
    /// # Errors
    /// If this is no leader that knows what is committed.
    pub fn read(&mut self, now: Duration, token: u64) -> Result<(), ProposalError> {
        self.now = self.now.max(now);
        if !self.is_leader() {
            return Err(ProposalError::NotLeader(
                self.leader.filter(|leader| *leader != self.id),
            ));
        }
        if !self.has_committed_in_term() || self.reads.len() >= READS {
            return Err(ProposalError::Busy);
        }
        self.round += 1;
        self.reads.push_back((token, self.commit, self.round));
        let ids: Vec<ReplicaId> = self.peers.keys().copied().collect();
        for id in ids {
            self.send(id, true);
        }
        self.answer_reads();
        Ok(())
    }

    pub(super) fn answer_reads(&mut self) {
        while let Some(&(token, index, round)) = self.reads.front() {
            let told = |id: &ReplicaId| {
                *id == self.id || self.peers.get(id).is_some_and(|peer| peer.round >= round)
            };
            if self.membership().voters().filter(told).count() < self.membership().majority() {
                break;
            }
            self.reads.pop_front();
            self.out.reads.push((token, index));
        }
    }
}
