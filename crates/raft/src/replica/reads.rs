//! Linearizable reads without a log entry (ReadIndex): the leader records its commit index, and confirms with a round of
//! heartbeats that it still leads.

use super::{ProposalError, Replica};
use std::time::Duration;

/// Limit on the number of reads that wait for a majority.
const MAX_PENDING_READS: usize = 1_024;

/// A read that the leader confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadState {
    /// As passed to [`Replica::read`].
    pub token: u64,
    /// The read may be served once this index is applied.
    pub index: u64,
}

/// A read that waits until a majority has confirmed its round.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRead {
    token: u64,
    index: u64,
    round: u64,
}

impl Replica {
    /// Starts a read that observes everything committed before it. [`Ready::reads`](super::Ready::reads) returns
    /// `token` once the read is confirmed; reads that are pending when leadership ends are dropped.
    ///
    /// # Errors
    /// [`ProposalError::NotLeader`]; [`ProposalError::Busy`] if the leader has not committed an entry in its term yet
    /// or too many reads are pending.
    pub fn read(&mut self, now: Duration, token: u64) -> Result<(), ProposalError> {
        self.advance_clock(now);
        self.ensure_leader()?;
        if !self.has_committed_in_term() || self.pending_reads.len() >= MAX_PENDING_READS {
            return Err(ProposalError::Busy);
        }
        self.read_round += 1;
        self.pending_reads.push_back(PendingRead {
            token,
            index: self.commit_index,
            round: self.read_round,
        });
        self.send_heartbeats();
        self.confirm_reads();
        Ok(())
    }

    /// Moves the reads whose round a majority has confirmed to [`Ready::reads`](super::Ready::reads).
    pub(super) fn confirm_reads(&mut self) {
        while let Some(read) = self.pending_reads.front().copied() {
            let confirmed = self.has_majority(|id| {
                id == self.id
                    || self
                        .peers
                        .get(&id)
                        .is_some_and(|peer| peer.read_round >= read.round)
            });
            if !confirmed {
                break;
            }
            self.pending_reads.pop_front();
            self.ready.reads.push(ReadState {
                token: read.token,
                index: read.index,
            });
        }
    }
}
