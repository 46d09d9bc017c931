//! Moves shards to the members that should hold them.

use super::*;

impl GroupMember {
    /// The configuration's members changed: shards move, one safe step at a time. Whoever left the configuration is
    /// still heard until nothing is held there.
    pub fn set_members(&mut self, now: Duration, members: Vec<(String, String)>) {
        self.now = self.now.max(now);
        for (name, _) in members
            .iter()
            .filter(|(name, _)| *name != self.options.name)
        {
            self.peers.entry(name.clone()).or_default();
        }
        self.options.members = members;
        self.look = self.now;
        self.settle();
    }

    pub(super) fn look_at_members(&mut self) {
        let mut learning = self
            .shards
            .values()
            .filter(|one| {
                one.led
                    && one
                        .replica
                        .membership()
                        .members
                        .iter()
                        .any(|member| !member.is_voter)
            })
            .count();
        let ids: Vec<u16> = self.shards.keys().copied().collect();
        for shard in ids {
            let held = holders(&self.options.members, shard, self.options.copies);
            let wanted: Vec<(String, Option<ReplicaId>)> = held
                .iter()
                .map(|k| &self.options.members[*k].0)
                .map(|name| (name.clone(), self.disk_of(name)))
                .collect();
            let (me, now) = (self.disk, self.now);
            let Some(one) = self.shards.get_mut(&shard) else {
                continue;
            };
            if !one.replica.has_committed_in_term()
                || !one.replica.is_membership_committed()
                || one.replica.is_transferring_leadership()
            {
                continue;
            }
            let commit = one.replica.commit();
            let matched: BTreeMap<ReplicaId, u64> =
                one.replica.progress().map(|(id, at, _)| (id, at)).collect();
            let caught_up = |id: ReplicaId| matched.get(&id).is_some_and(|at| *at >= commit);
            match next(one.replica.membership(), &wanted, me, caught_up) {
                Next::Settled | Next::Wait => {}
                Next::HandTo(id) => drop(one.replica.transfer_leadership(now, id)),
                Next::Change(change) => {
                    let adds = matches!(change, rainstand_raft::MembershipChange::AddLearner(_));
                    if adds && learning >= self.options.moves {
                        continue;
                    }
                    if one.replica.propose_membership_change(now, &change).is_ok() {
                        learning += usize::from(adds);
                        let config = describe(one.replica.membership());
                        self.effects
                            .events
                            .push(GroupEvent::MembershipChanged { shard, config });
                    }
                }
            }
        }
    }
}

/// A configuration in a few words.
fn describe(config: &Membership) -> String {
    let one = |member: &rainstand_raft::Member| {
        format!(
            "{}/{:08x}{}",
            member.name,
            member.id as u32,
            if member.is_voter { "" } else { "?" }
        )
    };
    config.members.iter().map(one).collect::<Vec<_>>().join(" ")
}
