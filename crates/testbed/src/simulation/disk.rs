//! Writes and flushes of a member's disk: one flush at a time, which covers all pending writes.

use super::events::EventKind;
use super::{Simulation, MS};
use rainstand_cluster::persistence::append;
use rainstand_replicated_state::member::WriteBatch;

/// Shortest flush, in nanoseconds, and the upper bound of a drawn addition to it.
const MIN_FLUSH_TIME: u64 = MS / 2;
const FLUSH_JITTER: u64 = 3 * MS;
/// Nanoseconds until a node whose disk failed is restarted.
const REPAIR_DELAY: u64 = 1_500 * MS;

impl Simulation {
    /// Writes all pending batches, and starts to flush them.
    pub(super) fn flush(&mut self, node: usize) {
        let state = &mut self.nodes[node];
        if state.is_flushing || state.writes.is_empty() {
            return;
        }
        let Some(store) = &mut state.store else {
            return;
        };
        let mut number = 0;
        let mut has_failed = false;
        for batch in state.writes.drain(..) {
            let WriteBatch {
                number: last,
                writes,
            } = batch;
            number = last;
            for write in writes {
                has_failed |= append(store, &write).is_err();
            }
        }
        state.is_flushing = true;
        let (incarnation, delay) = (state.incarnation, state.flush_delay);
        if has_failed {
            // No further write is confirmed until the process is restarted.
            return;
        }
        let after = delay + MIN_FLUSH_TIME + self.draw(FLUSH_JITTER);
        self.schedule(
            after,
            EventKind::Flushed {
                node,
                incarnation,
                number,
            },
        );
    }

    pub(super) fn on_flushed(&mut self, node: usize, number: u64) {
        let state = &mut self.nodes[node];
        let Some(store) = &mut state.store else {
            return;
        };
        if store.flush().is_err() {
            if let Some(member) = &mut state.member {
                member.stop();
            }
            return self.schedule(REPAIR_DELAY, EventKind::RepairDisk { node });
        }
        let full_shards = store.needs_compaction();
        state.is_flushing = false;
        self.call_member(node, |member, now| {
            member.on_persisted(now, number);
            if !full_shards.is_empty() {
                member.compact_shards(now, &full_shards);
            }
        });
        self.flush(node);
    }
}
