//! A member's reports about itself, its peers and a key. The serialized names are those of the JSON output.

use super::hexadecimal;
use crate::driver::ClusterMember;
use rainstand_raft::{ReplicaId, Role};
use rainstand_replicated_state::idempotency::KeyState;
use rainstand_replicated_state::member::{GroupMember, KeyLookup, ReadOutcome, ShardView};
use serde::Serialize;
use std::time::Duration;

/// The answer to `status`.
#[derive(Serialize)]
pub(super) struct MemberReport {
    name: String,
    disk: String,
    pub(super) stopped: bool,
    failed: Option<String>,
    #[serde(rename = "set_asides")]
    quarantines: u64,
    flushes: u64,
    #[serde(rename = "unwritten")]
    pub(super) pending_writes: u64,
    #[serde(rename = "questions")]
    pub(super) pending_requests: usize,
    #[serde(rename = "turned_away")]
    rejected_requests: u64,
    pub(super) shards_with_leader: usize,
    #[serde(rename = "shards_in_all")]
    pub(super) shards_total: usize,
    #[serde(rename = "leads")]
    pub(super) led_shards: usize,
    pub(super) commit_ms: CommitTimes,
    pub(super) shards: Vec<ShardReport>,
}

/// Times from request to outcome, in milliseconds; `None` before the first outcome.
#[derive(Serialize)]
pub(super) struct CommitTimes {
    median: Option<f64>,
    pub(super) p99: Option<f64>,
}

/// A shard with a local replica.
#[derive(Serialize)]
pub(super) struct ShardReport {
    shard: u16,
    role: &'static str,
    /// `None` if no leader is known, or if the member that has its disk is not known.
    leader: Option<String>,
    pub(super) term: u64,
    commit: u64,
    applied: u64,
    last: u64,
    base: u64,
    pub(super) keys: usize,
    #[serde(rename = "aged")]
    expired: u64,
    members: Vec<ShardMember>,
    pub(super) peers: Vec<FollowerReport>,
}

/// A member of a shard.
#[derive(Serialize)]
struct ShardMember {
    name: String,
    disk: String,
    #[serde(rename = "votes")]
    is_voter: bool,
}

/// A follower's progress as its leader knows it.
#[derive(Serialize)]
pub(super) struct FollowerReport {
    disk: String,
    name: Option<String>,
    pub(super) behind: u64,
    #[serde(rename = "heard_ms")]
    last_contact_ms: u64,
}

/// The answer to `members`.
#[derive(Serialize)]
pub(super) struct PeersReport {
    name: String,
    disk: String,
    peers: Vec<PeerReport>,
}

/// Another member of the group.
#[derive(Serialize)]
struct PeerReport {
    name: String,
    #[serde(rename = "link")]
    is_connected: bool,
    disk: Option<String>,
    #[serde(rename = "old_copy")]
    is_stale: bool,
    sent_bytes: u64,
    #[serde(rename = "frames_lost")]
    dropped_frames: u64,
}

/// The answer to `why`.
#[derive(Serialize)]
pub(super) struct KeyReport {
    shard: u16,
    #[serde(rename = "copy_here")]
    replica: Option<ReplicaReport>,
    key: Option<KeyStateReport>,
    #[serde(rename = "asked")]
    member: String,
    /// Whether the local replica was confirmed to hold everything that was committed.
    confirmed: bool,
    #[serde(rename = "says")]
    explanation: &'static str,
}

/// The progress of the replica from which a key was read.
#[derive(Serialize)]
struct ReplicaReport {
    applied: u64,
    commit: u64,
    log_time_ms: u64,
}

/// The state of a key in the local replica.
#[derive(Serialize)]
struct KeyStateReport {
    state: &'static str,
    holder: String,
    holder_name: Option<String>,
    result_bytes: usize,
    #[serde(rename = "until_log_ms")]
    expires_at_log_ms: u64,
}

/// The name of a role in the JSON output.
fn role_name(role: Role) -> &'static str {
    match role {
        Role::Follower => "follower",
        Role::PreCandidate => "asking",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
        Role::Quarantined => "aside",
    }
}

/// The name of the member that has a disk, if this member knows it.
fn member_name(state: &GroupMember, disk: ReplicaId) -> Option<String> {
    if disk == state.disk() {
        return Some(state.name().to_owned());
    }
    let mut peers = state.peers();
    let peer = peers.find(|peer| peer.disk == Some(disk))?;
    Some(peer.name.to_owned())
}

pub(super) fn member(member: &ClusterMember) -> MemberReport {
    let times = member.commit_times();
    member.inspect(|state| {
        let leaders = state.known_leaders();
        MemberReport {
            name: state.name().to_owned(),
            disk: hexadecimal(state.disk()),
            stopped: state.is_stopped(),
            failed: member.failure(),
            quarantines: member.quarantines(),
            flushes: member.flushes(),
            pending_writes: state.pending_writes(),
            pending_requests: state.pending_request_count(),
            rejected_requests: state.rejected_request_count(),
            shards_with_leader: leaders.known,
            shards_total: leaders.total,
            led_shards: state.led_shard_count(),
            commit_ms: CommitTimes {
                median: quantile_ms(&times, 0.5),
                p99: quantile_ms(&times, 0.99),
            },
            shards: state.shards().map(|view| shard(state, &view)).collect(),
        }
    })
}

/// A quantile of times in ascending order.
fn quantile_ms(times: &[Duration], quantile: f64) -> Option<f64> {
    let index = ((times.len() as f64 * quantile) as usize).min(times.len().saturating_sub(1));
    times.get(index).map(|time| time.as_secs_f64() * 1e3)
}

fn shard(state: &GroupMember, view: &ShardView) -> ShardReport {
    let (replica, table) = (view.replica, view.table);
    let last = replica.log().last_index();
    let follower = |follower: rainstand_raft::FollowerProgress| FollowerReport {
        disk: hexadecimal(follower.id),
        name: member_name(state, follower.id),
        behind: last.saturating_sub(follower.match_index),
        last_contact_ms: state
            .now()
            .saturating_sub(follower.last_contact)
            .as_millis() as u64,
    };
    let member = |member: &rainstand_raft::Member| ShardMember {
        name: member.name.clone(),
        disk: hexadecimal(member.id),
        is_voter: member.is_voter,
    };
    ShardReport {
        shard: view.shard,
        role: role_name(replica.role()),
        leader: replica.leader().and_then(|disk| member_name(state, disk)),
        term: replica.term(),
        commit: replica.commit(),
        applied: replica.applied(),
        last,
        base: replica.log().base().index,
        keys: table.len(),
        expired: table.expired_count(),
        members: replica.membership().members.iter().map(member).collect(),
        peers: replica.progress().map(follower).collect(),
    }
}

pub(super) fn peers(member: &ClusterMember) -> PeersReport {
    member.inspect(|state| PeersReport {
        name: state.name().to_owned(),
        disk: hexadecimal(state.disk()),
        peers: state
            .peers()
            .map(|peer| {
                let outbox = member.outbox(peer.name);
                PeerReport {
                    name: peer.name.to_owned(),
                    is_connected: peer.is_connected,
                    disk: peer.disk.map(hexadecimal),
                    is_stale: peer.is_stale,
                    sent_bytes: outbox.sent_bytes(),
                    dropped_frames: outbox.dropped_frames(),
                }
            })
            .collect(),
    })
}

/// Converts a key from its textual form `type/name`.
pub(super) fn key_bytes(key: &str) -> Vec<u8> {
    key.replacen('/', "\0", 1).into_bytes()
}

/// Reports a key. `outcome` is the outcome of the preceding read of the key's shard.
pub(super) fn key(member: &ClusterMember, key: &[u8], outcome: ReadOutcome) -> KeyReport {
    member.inspect(|state| {
        let KeyLookup {
            shard,
            state: found,
        } = state.key_state(key);
        let view = state.shards().find(|view| view.shard == shard);
        KeyReport {
            shard,
            confirmed: outcome == ReadOutcome::Confirmed,
            explanation: explanation(view.is_some(), found.is_some(), outcome),
            replica: view.map(|view| ReplicaReport {
                applied: view.replica.applied(),
                commit: view.replica.commit(),
                log_time_ms: view.table.log_time_ns() / 1_000_000,
            }),
            key: found.map(|found| key_state(state, found)),
            member: state.name().to_owned(),
        }
    })
}

fn key_state(state: &GroupMember, found: &KeyState) -> KeyStateReport {
    KeyStateReport {
        state: found.state_name(),
        holder: hexadecimal(found.holder()),
        holder_name: member_name(state, found.holder()),
        result_bytes: found.result().len(),
        expires_at_log_ms: found.expires_at() / 1_000_000,
    }
}

fn explanation(has_replica: bool, has_key: bool, outcome: ReadOutcome) -> &'static str {
    match (has_replica, outcome, has_key) {
        (false, ..) => "this member holds no copy of the shard",
        (true, ReadOutcome::Unconfirmed, _) => {
            "not known: no majority confirms the copy here, it may be behind"
        }
        (true, ReadOutcome::Confirmed, false) => "not there: never asked, or aged out",
        (true, ReadOutcome::Confirmed, true) => "as of the entry applied here",
    }
}
