//! The background tasks of a member: ticks, replies to requesters, and reports of the storage thread.

use super::{ClusterMember, Reply, StorageReport};
use rainstand_replicated_state::member::{GroupEvent, GroupMember};
use rainstand_storage::writer::WriteOutcome;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// The shortest and the longest wait between two checks of the deadline.
const MIN_TICK_INTERVAL: Duration = Duration::from_micros(200);
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Ticks the group member at its deadlines.
pub(super) async fn tick(member: Rc<ClusterMember>) {
    loop {
        let deadline = member.inspect(GroupMember::next_deadline);
        let remaining = deadline.saturating_sub(member.clock.now());
        let remaining = member
            .clock
            .to_real_time(remaining)
            .clamp(MIN_TICK_INTERVAL, MAX_TICK_INTERVAL);
        tokio::select! {
            () = sleep(remaining) => {}
            () = member.deadline_moved.notified() => {}
        }
        if member.inspect(|state| state.next_deadline() <= member.clock.now()) {
            member.drive(GroupMember::tick);
        }
    }
}

/// Calls the reply callbacks in the order in which the outcomes were queued.
pub(super) async fn deliver_replies(member: Rc<ClusterMember>) {
    loop {
        let next = member.replies.borrow_mut().pop_front();
        match next {
            Some(Reply { callback, outcome }) => callback(outcome),
            None => member.replies_queued.notified().await,
        }
    }
}

/// Passes the reports of the current store's thread to the group member.
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
