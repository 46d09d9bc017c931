//! Effects, and what waits until writes are durable.

use super::*;

impl GroupMember {
    /// The effects of all calls since the last one.
    pub fn take_effects(&mut self) -> Effects {
        let mut effects = std::mem::take(&mut self.effects);
        let writes = std::mem::take(&mut self.writes);
        let (after, confirms) = (
            std::mem::take(&mut self.after),
            std::mem::take(&mut self.confirms),
        );
        if !writes.is_empty() {
            self.number += 1;
            effects.write = Some((self.number, writes));
        }
        if !after.is_empty() || !confirms.is_empty() {
            if self.written >= self.number {
                effects.frames.extend(after);
            } else {
                self.held.push_back(AwaitingPersist {
                    number: self.number,
                    frames: after,
                    confirms,
                });
            }
        }
        if self.held.len() > HELD && !self.over {
            effects.events.push(GroupEvent::DiskStalled);
            self.over = true;
        }
        effects
    }

    /// Writes up to this number are durable.
    pub fn on_persisted(&mut self, now: Duration, to: u64) {
        self.now = self.now.max(now);
        self.written = self.written.max(to);
        while self
            .held
            .front()
            .is_some_and(|held| held.number <= self.written)
        {
            let Some(AwaitingPersist {
                frames, confirms, ..
            }) = self.held.pop_front()
            else {
                break;
            };
            self.effects.frames.extend(frames);
            for (shard, index, term) in confirms {
                if let Some(one) = self.shards.get_mut(&shard) {
                    one.replica.on_persisted(index, term);
                }
            }
        }
        self.settle();
    }

    /// Writes that are not durable yet.
    pub fn pending_writes(&self) -> u64 {
        self.number - self.written
    }
}
