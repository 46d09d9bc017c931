//! The shards of this member.

use super::*;

impl GroupMember {
    pub(super) fn open(&mut self, shard: u16, state: PersistentState) {
        let seed = self.chance.generate::<u64>();
        let snapshot = state.snapshot.clone();
        let replica = Replica::new(self.disk, self.options.times, seed, self.now, state);
        let linger = self.options.times.election_timeout[1].as_nanos() as u64 * 100;
        let mut table = IdempotencyTable::new(self.options.keys, linger);
        if let Some(snapshot) = snapshot.filter(|snapshot| !snapshot.data.is_empty()) {
            self.effects.published_changed = true;
            // Bytes with a good checksum that are no table were written by another program.
            if table.restore(snapshot.data).is_err() {
                self.effects.events.push(GroupEvent::StaleDisk {
                    why: format!("shard {shard}: no table"),
                });
                self.over = true;
            }
        }
        let shard_ = Shard {
            replica,
            table,
            waiting: BTreeMap::new(),
            watchers: BTreeMap::new(),
            led: false,
        };
        self.shards.insert(shard, shard_);
    }

    pub(super) fn raft(&mut self, name: &str, raft: Raft) {
        let Raft {
            shard,
            message,
            generation,
        } = raft;
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        // Only from the disk that said hello, so that an old copy's words count for nothing.
        let known = peer
            .hello
            .as_ref()
            .is_some_and(|hello| hello.disk == message.from);
        let shard = shard as u16;
        if !known
            || message.to != self.disk
            || generation != self.generation
            || shard >= self.options.shards
        {
            return;
        }
        // These are sent when their term is durable there.
        let durable = match &message.body {
            Some(Body::Vote(vote)) => !vote.pre,
            Some(Body::Voted(voted)) => !voted.pre,
            Some(Body::Appended(_) | Body::Took(_) | Body::Append(_) | Body::Piece(_)) => true,
            _ => false,
        };
        if durable {
            let mark = peer.marks.entry(shard).or_default();
            mark.0 = mark.0.max(message.term);
        }
        if !self.shards.contains_key(&shard) {
            self.open(shard, PersistentState::default());
        }
        if let Some(one) = self.shards.get_mut(&shard) {
            one.replica.step(self.now, message);
        }
    }

    /// Takes what all shards have to say, until none says anything more.
    pub(super) fn settle(&mut self) {
        let ids: Vec<u16> = self.shards.keys().copied().collect();
        for shard in ids {
            self.settle_shard(shard);
            if self.over {
                return;
            }
        }
    }

    pub(super) fn settle_shard(&mut self, shard: u16) {
        let Some(one) = self.shards.get_mut(&shard) else {
            return;
        };
        let out = one.replica.take_ready();
        let leads = one.replica.is_leader();
        if leads != one.led {
            one.led = leads;
            let term = one.replica.term();
            let news = if leads {
                GroupEvent::BecameLeader { shard, term }
            } else {
                GroupEvent::LostLeadership { shard }
            };
            self.effects.events.push(news);
        }
        if out.is_empty() && (leads || one.waiting.is_empty() && one.watchers.is_empty()) {
            return;
        }
        if let Some(hard) = out.hard_state {
            self.writes.push(PersistentWrite::HardState { shard, hard });
        }
        if let Some((snapshot, alone)) = out.snapshot {
            if !snapshot.data.is_empty() && one.table.restore(snapshot.data.clone()).is_err() {
                self.effects.events.push(GroupEvent::StaleDisk {
                    why: format!("shard {shard}: no table came"),
                });
                self.over = true;
                return;
            }
            self.effects.published_changed = true;
            self.effects.events.push(GroupEvent::CaughtUp {
                shard,
                index: snapshot.metadata.index,
            });
            self.writes.push(PersistentWrite::InstallSnapshot {
                shard,
                snapshot,
                alone,
            });
        }
        for entry in out.entries {
            self.confirms.push((shard, entry.index, entry.term));
            self.writes.push(PersistentWrite::Entry { shard, entry });
        }
        if let Some(differs) = out.divergence {
            self.set_aside(GroupEvent::Diverged { shard, differs });
            return;
        }
        let generation = self.generation;
        let wrap = |message: rainstand_raft::Message| {
            let to = message.to;
            (
                to,
                Frame::of(FrameBody::Raft(Raft {
                    shard: u32::from(shard),
                    message,
                    generation,
                })),
            )
        };
        let now: Vec<_> = out.messages.into_iter().map(wrap).collect();
        let after: Vec<_> = out.messages_after_persist.into_iter().map(wrap).collect();
        for (to, frame) in now {
            if let Some(name) = self.name_of(to) {
                self.effects.frames.push((name, frame));
            }
        }
        for (to, frame) in after {
            if let Some(name) = self.name_of(to) {
                self.after.push((name, frame));
            }
        }
        for entry in out.committed {
            self.apply(shard, &entry);
        }
        if !leads {
            self.dismiss_waiting(shard);
        } else {
            self.mark(shard);
        }
    }

    /// What a leader knows of how far the others are, for telling an old copy of a disk.
    pub(super) fn mark(&mut self, shard: u16) {
        let Some(one) = self.shards.get(&shard) else {
            return;
        };
        let (term, commit) = (one.replica.term(), one.replica.commit());
        let marks: Vec<(ReplicaId, u64)> = one
            .replica
            .progress()
            .map(|(id, matched, _)| (id, matched.min(commit)))
            .collect();
        for (id, index) in marks.into_iter().filter(|mark| mark.1 > 0) {
            let of = |peer: &&mut Peer| peer.hello.as_ref().is_some_and(|hello| hello.disk == id);
            if let Some(peer) = self.peers.values_mut().find(of) {
                let known = peer.marks.entry(shard).or_default();
                *known = (known.0.max(term), known.1.max(index));
            }
        }
    }

    pub(super) fn apply(&mut self, shard: u16, entry: &Entry) {
        let Some(one) = self.shards.get_mut(&shard) else {
            return;
        };
        let waiting = one.waiting.remove(&entry.index);
        if entry.kind() != EntryKind::Data {
            return;
        }
        // What cannot be read was proposed by a later version: every copy passes over it alike.
        let Ok(command) = Command::decode(entry.data.clone()) else {
            return;
        };
        let told = one.table.apply(entry.stamp, &command);
        let over = !matches!(
            command.operation,
            Some(
                idempotency::Operation::Start(_)
                    | idempotency::Operation::Set(_)
                    | idempotency::Operation::Publish(_)
            )
        );
        self.effects.published_changed |=
            matches!(command.operation, Some(idempotency::Operation::Publish(_)));
        let watchers = if over {
            one.watchers.remove(&command.key)
        } else {
            None
        };
        let leads = one.replica.is_leader();
        // The end of a run, for the repeats that wait for it. One of a start that was taken back asks again.
        for watcher in watchers.unwrap_or_default() {
            match (&command.operation, &told) {
                (Some(idempotency::Operation::Done(result)), ClaimOutcome::Recorded) => {
                    self.send(&watcher, shard, ClaimOutcome::Completed(result.clone()));
                }
                (Some(idempotency::Operation::Failed(_)), ClaimOutcome::Recorded) => {
                    self.send(&watcher, shard, ClaimOutcome::Indeterminate)
                }
                _ => self.elsewhere(shard, &watcher),
            }
        }
        let Some((term, asker)) = waiting else { return };
        if term != entry.term {
            self.elsewhere(shard, &asker);
            return;
        }
        if told == ClaimOutcome::InProgress && leads {
            if let Some(one) = self.shards.get_mut(&shard) {
                let watchers = one.watchers.entry(command.key.clone()).or_default();
                if watchers.len() < WATCHERS && !watchers.contains(&asker) {
                    watchers.push(asker.clone());
                }
            }
        }
        self.send(&asker, shard, told);
    }

    pub(super) fn compact(&mut self) {
        for (shard, one) in &mut self.shards {
            let log = one.replica.log();
            if log.len() < self.options.compact && log.bytes() < COMPACT_BYTES {
                continue;
            }
            let index = one.replica.applied();
            if let Some(snapshot) = one.replica.compact(index, one.table.snapshot()) {
                self.writes.push(PersistentWrite::InstallSnapshot {
                    shard: *shard,
                    snapshot,
                    alone: false,
                });
            }
        }
    }

    /// Shards whose entries hold the store's oldest segment back are saved now.
    pub fn pressing(&mut self, now: Duration, shards: &[u16]) {
        self.now = self.now.max(now);
        for shard in shards {
            let Some(one) = self.shards.get_mut(shard) else {
                continue;
            };
            let index = one.replica.applied();
            if let Some(snapshot) = one.replica.compact(index, one.table.snapshot()) {
                self.writes.push(PersistentWrite::InstallSnapshot {
                    shard: *shard,
                    snapshot,
                    alone: false,
                });
            }
        }
        self.settle();
    }

    /// Hands over all shards that are led here to others; before a drain ends.
    pub fn transfer_all_leadership(&mut self, now: Duration) {
        self.now = self.now.max(now);
        for one in self
            .shards
            .values_mut()
            .filter(|one| one.replica.is_leader())
        {
            let best = one
                .replica
                .progress()
                .filter(|(id, ..)| one.replica.membership().is_voter(*id))
                .max_by_key(|(_, matched, heard)| (*matched, *heard))
                .map(|(id, ..)| id);
            if let Some(id) = best {
                let _ = one.replica.transfer_leadership(now, id);
            }
        }
        self.settle();
    }

    /// Shards that are led here and not handed over.
    pub fn led_shard_count(&self) -> usize {
        self.shards
            .values()
            .filter(|one| one.replica.is_leader())
            .count()
    }
}
