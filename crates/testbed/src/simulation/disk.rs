//! Writes and flushes of one member's disk.

use super::events::EventKind;
use super::{Sim, MS};
use rainstand_cluster::persistence::append;
use rainstand_replicated_state::member::WriteBatch;

impl Sim {
    pub(super) fn flush(&mut self, node: usize) {
        let one = &mut self.nodes[node];
        if one.flushing || one.jobs.is_empty() {
            return;
        }
        let Some(store) = &mut one.store else { return };
        let mut to = 0;
        let mut failed = false;
        for WriteBatch { number, writes } in one.jobs.drain(..) {
            to = number;
            for write in writes {
                failed |= append(store, &write).is_err();
            }
        }
        one.flushing = true;
        let (life, slow) = (one.life, one.slow);
        if failed {
            return;
        }
        let after = slow + MS / 2 + self.draw(3 * MS);
        self.later(
            after,
            EventKind::Flushed {
                node,
                life,
                number: to,
            },
        );
    }

    pub(super) fn flushed(&mut self, node: usize, number: u64) {
        let Some(store) = &mut self.nodes[node].store else {
            return;
        };
        if store.flush().is_err() {
            // Said, and nothing more is confirmed until the process is started anew.
            if let Some(member) = &mut self.nodes[node].member {
                member.stop();
            }
            return self.later(
                1_500 * MS,
                EventKind::Heal {
                    fault: usize::MAX - node,
                },
            );
        }
        let pressing = store.needs_compaction();
        self.nodes[node].flushing = false;
        self.with(node, |member, now| {
            member.on_persisted(now, number);
            if !pressing.is_empty() {
                member.compact_shards(now, &pressing);
            }
        });
        self.flush(node);
    }
}
