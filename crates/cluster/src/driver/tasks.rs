//! The tasks of a member: its time, the replies to requesters, and the reports of the storage thread.

use super::{ClusterMember, Reply, StorageReport};
use rainstand_replicated_state::member::{GroupEvent, GroupMember};
use rainstand_storage::writer::WriteOutcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The shortest and the longest sleep between two ticks.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(200);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Ticks the group member when its deadline has come.
pub(super) async fn tick(member: Rc<ClusterMember>) {
    loop {
        let deadline = member.inspect(GroupMember::next_deadline);
        let left = deadline.saturating_sub(member.clock.now());
        let left = member
            .clock
            .real(left)
            .clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
        tokio::select! {
            () = sleep(left) => {}
            () = member.deadline_moved.notified() => {}
        }
        if member.inspect(|state| state.next_deadline() <= member.clock.now()) {
            member.drive(GroupMember::tick);
        }
    }
}

/// Calls the requesters back, in the order of the outcomes.
pub(super) async fn hand_out_replies(member: Rc<ClusterMember>) {
    loop {
        let next = member.replies.borrow_mut().pop_front();
        match next {
            Some(Reply { callback, outcome }) => callback(outcome),
            None => member.replies_queued.notified().await,
        }
    }
}

/// Passes on what the storage thread reports.
pub(super) async fn receive_storage_reports(
    member: Rc<ClusterMember>,
    mut reports: mpsc::UnboundedReceiver<StorageReport>,
) {
    while let Some(report) = reports.recv().await {
        if report.store_number != member.store_number.get() {
            continue;
        }
        match report.outcome {
            WriteOutcome::Durable {
                up_to,
                needs_compaction,
            } => {
                member.flushes.set(member.flushes.get() + 1);
                member.drive(|state, now| {
                    state.on_persisted(now, up_to);
                    if !needs_compaction.is_empty() {
                        state.compact_shards(now, &needs_compaction);
                    }
                });
            }
            WriteOutcome::Failed(reason) => {
                (member.log)(&GroupEvent::DiskFailed {
                    reason: reason.clone(),
                });
                member.fail(reason);
            }
        }
    }
}
