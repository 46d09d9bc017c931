//! Members of a group of three, for tests that carry out their effects.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "shared by test targets"
)]

use rainstand_raft::Timeouts;
use rainstand_replicated_state::member::{
    GroupMember, MemberConfig, RecoveredState, DEFAULT_COMPACTION_ENTRIES,
};
use rainstand_replicated_state::placement::MemberPlacement;
use std::time::Duration;

pub fn name(position: usize) -> String {
    format!("n{}", position + 1)
}

/// A member with an empty disk.
pub fn member(position: usize, shards: u16) -> GroupMember {
    let placement = |position| MemberPlacement {
        name: name(position),
        site: String::new(),
    };
    let config = MemberConfig {
        group: "test".into(),
        name: name(position),
        members: (0..3).map(placement).collect(),
        shards,
        replicas_per_shard: 3,
        timeouts: Timeouts {
            heartbeat_interval: Duration::from_millis(30),
            min_election_timeout: Duration::from_millis(150),
            max_election_timeout: Duration::from_millis(300),
        },
        max_concurrent_learners: 1,
        max_keys_per_shard: 100,
        compaction_entries: DEFAULT_COMPACTION_ENTRIES,
        seed: position as u64,
    };
    let recovered = RecoveredState {
        disk: position as u64 + 1,
        incarnation: 1,
        nonce: position as u64 + 1,
        ..RecoveredState::default()
    };
    GroupMember::new(config, recovered, Duration::ZERO)
}
