//! Forms a group from uninitialized disks.

use super::*;

impl GroupMember {
    /// Whether this disk holds no log.
    pub(super) fn fresh(&self) -> bool {
        self.form.is_none()
            && self
                .shards
                .values()
                .all(|one| one.replica.log().last() == 0)
    }

    /// Everybody is here and nobody has anything: the first by name says with which disks the group begins.
    pub(super) fn form_if_all_are_fresh(&mut self) {
        let first = self.options.members.iter().map(|(name, _)| name).min();
        if first != Some(&self.options.name) || !self.fresh() {
            return;
        }
        let mut members = Vec::new();
        for (name, site) in &self.options.members {
            let disk = if *name == self.options.name {
                self.disk
            } else {
                match self
                    .peers
                    .get(name)
                    .and_then(|peer| peer.hello.as_ref().filter(|_| peer.here))
                {
                    Some(hello) if hello.uninitialized => hello.disk,
                    _ => return,
                }
            };
            members.push(BootstrapMember {
                name: name.clone(),
                site: site.clone(),
                disk,
            });
        }
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let (shards, copies) = (u32::from(self.options.shards), self.options.copies as u32);
        self.take_form(BootstrapConfig {
            members,
            shards,
            copies,
        });
    }

    pub(super) fn alone(&mut self) {
        if self.form.is_none() && self.options.members.len() == 1 {
            self.form_if_all_are_fresh();
        }
    }

    pub(super) fn take_form(&mut self, form: BootstrapConfig) {
        let mine = form.members.iter().any(|one| one.disk == self.disk);
        if self.form.is_some()
            || !self.fresh()
            || !mine
            || form.shards != u32::from(self.options.shards)
        {
            return;
        }
        self.writes.push(PersistentWrite::Metadata {
            number: METADATA_BOOTSTRAP,
            data: form.encode_to_vec().into(),
        });
        self.form = Some(form.clone());
        self.begin(&form);
        self.effects.events.push(GroupEvent::Bootstrapped {
            members: form.members.len(),
        });
        let names: Vec<String> = form.members.iter().map(|one| one.name.clone()).collect();
        for name in names.into_iter().filter(|name| *name != self.options.name) {
            self.effects
                .frames
                .push((name, Frame::of(FrameBody::Bootstrap(form.clone()))));
        }
    }

    /// Begins the shards that fall to this disk by a form and are not there yet.
    pub(super) fn begin(&mut self, form: &BootstrapConfig) {
        let names: Vec<(String, String)> = form
            .members
            .iter()
            .map(|one| (one.name.clone(), one.site.clone()))
            .collect();
        for shard in 0..self.options.shards {
            let held = holders(&names, shard, form.copies as usize);
            let of: Vec<&BootstrapMember> = held.iter().map(|k| &form.members[*k]).collect();
            let mine = of.iter().any(|one| one.disk == self.disk);
            let there = self
                .shards
                .get(&shard)
                .is_some_and(|one| one.replica.log().last() > 0);
            if !mine || there {
                continue;
            }
            let config = Membership::from_voters(of.iter().map(|one| (one.disk, one.name.clone())));
            let base = SnapshotMetadata {
                index: 1,
                term: 1,
                stamp: 0,
                checksum: 1,
                config,
            };
            let snapshot = Snapshot {
                metadata: base,
                data: Bytes::new(),
            };
            let hard = self
                .shards
                .get(&shard)
                .map_or(HardState::default(), |one| HardState {
                    term: one.replica.term(),
                    vote: one.replica.vote(),
                });
            self.writes.push(PersistentWrite::InstallSnapshot {
                shard,
                snapshot: snapshot.clone(),
                alone: true,
            });
            self.open(
                shard,
                PersistentState {
                    hard_state: hard,
                    snapshot: Some(snapshot),
                    entries: Vec::new(),
                },
            );
        }
    }
}
