//! What a replica says and keeps when logs diverged.

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

/// A replica of three voters in term 1, all of whose log is a snapshot with this running checksum.
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

/// What happened: a follower whose running checksum is 0 answered a leader with another one as if their terms differed,
/// and was never found to have diverged. Why: in the response 0 stands for "no divergence", and the own checksum was
/// sent as it is. Seen in the code beside the other case, which sends at least 1; a checksum is 0 once in 2^64.
#[test]
fn a_follower_whose_checksum_is_zero_reports_its_divergence() {
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
    let sent = follower.take_ready().messages_after_persist;
    let reported = sent.iter().any(|message| {
        matches!(&message.body, Some(Body::AppendResponse(response))
            if !response.success && response.index == BASE_INDEX && response.divergent_checksum != 0)
    });
    assert!(reported, "{sent:?}");
}

/// What happened: a leader that was quarantined while it handed over its leadership went on reporting a transfer for
/// ever, as the transfer ends by the leader's clock or with its role as a follower. Seen in the code of the role change.
#[test]
fn a_quarantined_leader_transfers_nothing() {
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
    // A majority has another history than the leader.
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
