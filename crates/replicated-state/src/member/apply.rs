//! Applies committed commands to a shard's state, and answers those who proposed them or wait for their keys.

use super::requester::Requester;
use super::{GroupMember, Proposal};
use crate::idempotency::{ClaimOutcome, Command, Operation};
use bytes::Bytes;
use prost::Message as _;
use rainstand_raft::{Entry, EntryKind};

/// Requesters that wait at the leader for the end of one key's run. Those beyond it retry in intervals.
const MAX_WATCHERS_PER_KEY: usize = 32;

impl GroupMember {
    /// Applies a committed entry.
    pub(super) fn apply(&mut self, shard: u16, entry: &Entry) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let proposal = state.proposals.remove(&entry.index);
        // A command that cannot be decoded was proposed by a later version: every replica skips it alike.
        let command = match entry.kind() {
            EntryKind::Data => Command::decode(entry.data.clone()).ok(),
            _ => None,
        };
        let Some(command) = command else {
            // Another entry took the index of a proposal: whoever waits for that tries again at once.
            if let Some(proposal) = proposal {
                self.redirect(&proposal.requester, shard);
            }
            return;
        };
        let outcome = state.table.apply(entry.stamp, &command);
        if matches!(command.operation, Some(Operation::Publish(_))) {
            self.effects.published_changed = true;
        }
        self.notify_watchers(shard, &command, &outcome);
        if let Some(proposal) = proposal {
            self.finish_proposal(shard, &proposal, entry.term, &command.key, outcome);
        }
    }

    /// Answers the requesters that wait for the end of a run, if the command ended it. After a withdrawn start they
    /// send their requests again.
    fn notify_watchers(&mut self, shard: u16, command: &Command, outcome: &ClaimOutcome) {
        if !ends_run(command) {
            return;
        }
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let watchers = state.watchers.remove(&command.key).unwrap_or_default();
        for watcher in watchers {
            match (&command.operation, outcome) {
                (Some(Operation::Done(result)), ClaimOutcome::Recorded) => {
                    self.respond(&watcher, shard, ClaimOutcome::Completed(result.clone()));
                }
                (Some(Operation::Failed(_)), ClaimOutcome::Recorded) => {
                    self.respond(&watcher, shard, ClaimOutcome::Indeterminate);
                }
                _ => self.redirect(&watcher, shard),
            }
        }
    }

    fn finish_proposal(
        &mut self,
        shard: u16,
        proposal: &Proposal,
        entry_term: u64,
        key: &Bytes,
        outcome: ClaimOutcome,
    ) {
        if proposal.term != entry_term {
            self.redirect(&proposal.requester, shard);
            return;
        }
        if outcome == ClaimOutcome::InProgress {
            self.watch(shard, key, &proposal.requester);
        }
        self.respond(&proposal.requester, shard, outcome);
    }

    /// Registers a requester for the end of a key's run, where this replica leads.
    fn watch(&mut self, shard: u16, key: &Bytes, requester: &Requester) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        if !state.replica.is_leader() {
            return;
        }
        let watchers = state.watchers.entry(key.clone()).or_default();
        if watchers.len() < MAX_WATCHERS_PER_KEY && !watchers.contains(requester) {
            watchers.push(requester.clone());
        }
    }

    /// This replica does not lead: whoever waits here is sent to the leader.
    pub(super) fn redirect_requesters(&mut self, shard: u16) {
        let Some(state) = self.shards.get_mut(&shard) else {
            return;
        };
        let proposals = std::mem::take(&mut state.proposals);
        state.watchers.clear();
        for proposal in proposals.into_values() {
            self.redirect(&proposal.requester, shard);
        }
    }
}

/// Whether a run of the command's key may have ended with it.
fn ends_run(command: &Command) -> bool {
    !matches!(
        command.operation,
        Some(Operation::Start(_) | Operation::Set(_) | Operation::Publish(_))
    )
}
