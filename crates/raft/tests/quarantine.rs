//! Behaviour of a replica when logs diverge.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_raft::wire::{
    AppendRequest, AppendResponse, Body, HardState, Member, Membership, Snapshot, VoteResponse,
};
use rainstand_raft::{
    CampaignKind, Message, PersistentState, Replica, ReplicaId, Role, SnapshotMetadata, Timeouts,
};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);
const BASE_INDEX: u64 = 5;

/// One of three voters, in term 1, with a log that is only a snapshot with this running checksum.
fn replica(id: ReplicaId, checksum: u64) -> Replica {
    let member = |id: ReplicaId| Member {
        id,
        name: format!("n{id}"),
        is_voter: true,
    };
    let metadata = SnapshotMetadata {
        index: BASE_INDEX,
        term: 1,
        stamp: 0,
        checksum,
        config: Membership {
            members: (1..=3).map(member).collect(),
        },
    };
    let state = PersistentState {
        hard_state: HardState { term: 1, vote: 0 },
        snapshot: Some(Snapshot {
            metadata,
            data: "state".into(),
        }),
        entries: Vec::new(),
    };
    let timeouts = Timeouts {
        heartbeat_interval: Duration::from_millis(50),
        min_election_timeout: Duration::from_millis(300),
        max_election_timeout: Duration::from_millis(600),
    };
    Replica::new(id, timeouts, 7, NOW, state)
}

fn message(from: ReplicaId, to: ReplicaId, term: u64, body: Body) -> Message {
    Message {
        to,
        from,
        term,
        body: Some(body),
    }
}

/// Guards against an undetected divergence: in the response, checksum 0 means "no divergence". A divergent follower with
/// running checksum 0 (probability 2^-64) therefore seemed to report a term mismatch; it must send at least 1.
#[test]
fn follower_with_checksum_zero_reports_its_divergence() {
    let mut follower = replica(2, 0);
    let request = AppendRequest {
        prev_index: BASE_INDEX,
        prev_term: 1,
        prev_checksum: 7,
        commit: BASE_INDEX,
        read_round: 0,
        entries: Vec::new(),
    };
    follower.step(NOW, message(1, 2, 1, Body::AppendRequest(request)));
    let responses = follower.take_ready().messages_after_persist;
    let reported = responses.iter().any(|message| {
        matches!(&message.body, Some(Body::AppendResponse(response))
            if !response.success && response.index == BASE_INDEX && response.divergent_checksum != 0)
    });
    assert!(reported, "{responses:?}");
}

/// Guards against a transfer that never ends: it was cleared only by the leader's clock or when the leader became a
/// follower, so a leader quarantined during a transfer reported it forever.
#[test]
fn quarantined_leader_ends_its_leadership_transfer() {
    let mut leader = replica(1, 7);
    leader.campaign(NOW, CampaignKind::Election);
    let vote = VoteResponse {
        pre_vote: false,
        granted: true,
    };
    leader.step(NOW, message(2, 1, 2, Body::VoteResponse(vote)));
    assert_eq!(leader.role(), Role::Leader);
    leader.transfer_leadership(NOW, 2).unwrap();
    assert!(leader.is_transferring_leadership());
    // A majority reports a different history from the leader's.
    for from in [2, 3] {
        let response = AppendResponse {
            success: false,
            index: BASE_INDEX,
            read_round: 0,
            divergent_checksum: 9,
        };
        leader.step(NOW, message(from, 1, 2, Body::AppendResponse(response)));
    }
    assert_eq!(leader.role(), Role::Quarantined);
    assert!(!leader.is_transferring_leadership());
}
