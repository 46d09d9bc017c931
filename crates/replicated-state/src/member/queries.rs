//! Queries for operators.

use super::*;

impl GroupMember {
    /// A key that this disk started under a trace, if the shard's copy here tells.
    pub fn key_claimed_here(&self, trace: &[u8]) -> Option<Bytes> {
        // A claim is its disk's: what an earlier start of this program began is still this disk's.
        let claim = self.claim(trace);
        self.shards
            .values()
            .find_map(|one| one.table.claimed_by(&claim).cloned())
    }

    /// The row of a key in the copy here, and its shard.
    pub fn key_state(&self, key: &[u8]) -> (u16, Option<&idempotency::KeyState>) {
        let shard = shard_of(key, self.options.shards);
        (
            shard,
            self.shards.get(&shard).and_then(|one| one.table.get(key)),
        )
    }

    pub fn register(&self, name: &[u8]) -> Option<&idempotency::Register> {
        self.shards.get(&0).and_then(|one| one.table.register(name))
    }

    /// What was published, where there is a copy of it here; and whether a leader is known, so that nothing newer is
    /// committed for longer than an election takes.
    pub fn published(&self) -> Option<(&Versions, bool)> {
        let one = self.shards.get(&0)?;
        let current = one.replica.has_committed_in_term()
            || !one.replica.is_leader() && one.replica.leader().is_some();
        let current = current && one.replica.applied() == one.replica.commit();
        Some((one.table.versions(), current && !self.over))
    }

    /// Shards here: number, replica, table.
    pub fn shards(&self) -> impl Iterator<Item = (u16, &Replica, &IdempotencyTable)> {
        self.shards
            .iter()
            .map(|(shard, one)| (*shard, &one.replica, &one.table))
    }

    /// Members by name: whether a link is open, and the disk last heard.
    pub fn peers(&self) -> impl Iterator<Item = (&str, bool, Option<ReplicaId>, bool)> {
        self.peers.iter().map(|(name, peer)| {
            (
                name.as_str(),
                peer.here,
                peer.hello.as_ref().map(|hello| hello.disk),
                peer.refused.is_some(),
            )
        })
    }

    pub fn pending_request_count(&self) -> usize {
        self.questions.len()
    }

    /// Shards that know who leads them, of all; by what is known here.
    pub fn known_leaders(&self) -> (usize, usize) {
        let known = (0..self.options.shards).filter(|shard| {
            self.shards
                .get(shard)
                .is_some_and(|one| one.replica.leader().is_some())
                || self.leaders.contains_key(shard)
        });
        (known.count(), usize::from(self.options.shards))
    }
}
