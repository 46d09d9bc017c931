//! Forms a group from uninitialized disks.
//!
//! Once every configured member is connected and uninitialized, the first member by name announces all disks with a
//! [`BootstrapConfig`], and each member that receives it creates its shards with exactly these disks. A disk that is
//! not in the configuration holds nothing and does not vote until a shard's leader adds it as a learner.

use super::{GroupEvent, GroupMember, PersistentWrite, METADATA_BOOTSTRAP};
use crate::frames::{BootstrapConfig, BootstrapMember, FrameBody};
use crate::placement::{holders, MemberPlacement};
use bytes::Bytes;
use prost::Message as _;
use rainstand_raft::wire::Snapshot;
use rainstand_raft::{HardState, Membership, PersistentState, ReplicaId, SnapshotMetadata};

impl GroupMember {
    /// Whether this disk holds no log.
    pub(super) fn is_uninitialized(&self) -> bool {
        let has_empty_log = |shard: &super::Shard| shard.replica.log().last_index() == 0;
        self.bootstrap.is_none() && self.shards.values().all(has_empty_log)
    }

    /// Forms the group if this member is the one to do so and all others are connected and uninitialized.
    pub(super) fn bootstrap_if_ready(&mut self) {
        let first = self.config.members.iter().map(|member| &member.name).min();
        if first != Some(&self.config.name) || !self.is_uninitialized() {
            return;
        }
        let Some(mut members) = self.uninitialized_members() else {
            return;
        };
        members.sort_by(|a, b| a.name.cmp(&b.name));
        self.adopt_bootstrap(&BootstrapConfig {
            members,
            shards: u32::from(self.config.shards),
            replicas_per_shard: self.config.replicas_per_shard as u32,
        });
    }

    /// All configured members with their disks; none unless each is connected and uninitialized.
    fn uninitialized_members(&self) -> Option<Vec<BootstrapMember>> {
        let bootstrap_member = |member: &MemberPlacement| {
            Some(BootstrapMember {
                name: member.name.clone(),
                site: member.site.clone(),
                disk: self.uninitialized_disk_of(&member.name)?,
            })
        };
        self.config.members.iter().map(bootstrap_member).collect()
    }

    fn uninitialized_disk_of(&self, name: &str) -> Option<ReplicaId> {
        if name == self.config.name {
            return Some(self.disk);
        }
        let peer = self.peers.get(name).filter(|peer| peer.connected)?;
        let hello = peer.hello.as_ref().filter(|hello| hello.uninitialized)?;
        Some(hello.disk)
    }

    /// A group of a single member is formed without waiting for anybody.
    pub(super) fn bootstrap_single_member(&mut self) {
        if self.bootstrap.is_none() && self.config.members.len() == 1 {
            self.bootstrap_if_ready();
        }
    }

    /// Records a bootstrap configuration that includes this disk, creates its shards, and passes it on.
    pub(super) fn adopt_bootstrap(&mut self, bootstrap: &BootstrapConfig) {
        let includes_this_disk = bootstrap
            .members
            .iter()
            .any(|member| member.disk == self.disk);
        if self.bootstrap.is_some()
            || !self.is_uninitialized()
            || !includes_this_disk
            || bootstrap.shards != u32::from(self.config.shards)
        {
            return;
        }
        self.writes.push(PersistentWrite::Metadata {
            number: METADATA_BOOTSTRAP,
            data: bootstrap.encode_to_vec().into(),
        });
        self.bootstrap = Some(bootstrap.clone());
        self.create_bootstrap_shards(bootstrap);
        self.effects.events.push(GroupEvent::Bootstrapped {
            members: bootstrap.members.len(),
        });
        for member in &bootstrap.members {
            if member.name != self.config.name {
                self.send_to(&member.name, FrameBody::Bootstrap(bootstrap.clone()));
            }
        }
    }

    /// Creates the shards that the bootstrap configuration places on this disk and that have no log yet.
    pub(super) fn create_bootstrap_shards(&mut self, bootstrap: &BootstrapConfig) {
        let placements: Vec<MemberPlacement> = bootstrap
            .members
            .iter()
            .map(|member| MemberPlacement {
                name: member.name.clone(),
                site: member.site.clone(),
            })
            .collect();
        for shard in 0..self.config.shards {
            let shard_members: Vec<&BootstrapMember> =
                holders(&placements, shard, bootstrap.replicas_per_shard as usize)
                    .into_iter()
                    .map(|position| &bootstrap.members[position])
                    .collect();
            let is_holder = shard_members.iter().any(|member| member.disk == self.disk);
            let has_log = self
                .shards
                .get(&shard)
                .is_some_and(|state| state.replica.log().last_index() > 0);
            if is_holder && !has_log {
                self.create_shard(shard, &shard_members);
            }
        }
    }

    /// Starts a shard's log with a snapshot that holds nothing but the members.
    fn create_shard(&mut self, shard: u16, members: &[&BootstrapMember]) {
        let voters = members
            .iter()
            .map(|member| (member.disk, member.name.clone()));
        let snapshot = Snapshot {
            metadata: SnapshotMetadata {
                index: 1,
                term: 1,
                stamp: 0,
                checksum: 1,
                config: Membership::from_voters(voters),
            },
            data: Bytes::new(),
        };
        let hard_state = self
            .shards
            .get(&shard)
            .map_or(HardState::default(), |state| HardState {
                term: state.replica.term(),
                vote: state.replica.vote(),
            });
        self.writes.push(PersistentWrite::InstallSnapshot {
            shard,
            snapshot: snapshot.clone(),
            discard_suffix: true,
        });
        let state = PersistentState {
            hard_state,
            snapshot: Some(snapshot),
            entries: Vec::new(),
        };
        self.open_shard(shard, state);
    }
}
