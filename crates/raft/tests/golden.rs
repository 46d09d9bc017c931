//! Messages and stored records of the replicated log: their encoding must stay the one of the version that introduced
//! each.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use prost::Message as _;
use rainstand_golden_files::{assert_bytes, read_bytes, NamedBytes};
use rainstand_raft::wire::{
    AppendRequest, AppendResponse, Body, ChunkAck, Entry, EntryKind, HardState, Member, Membership,
    Message, QuarantineNotice, Snapshot, SnapshotChunk, SnapshotMetadata, VoteRequest,
    VoteResponse,
};

const MESSAGES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/messages.hex");
const STORED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/stored.hex");

fn entry(kind: EntryKind, data: &'static [u8]) -> Entry {
    Entry {
        index: 300,
        term: 7,
        stamp: 1_000_000_007,
        kind: kind as i32,
        data: Bytes::from_static(data),
    }
}

fn membership() -> Membership {
    let member = |id: u64, name: &str, is_voter: bool| Member {
        id,
        name: name.into(),
        is_voter,
    };
    Membership {
        members: vec![
            member(1, "n1", true),
            member(2, "n2", true),
            member(9, "n3", false),
        ],
    }
}

fn snapshot_metadata() -> SnapshotMetadata {
    SnapshotMetadata {
        index: 250,
        term: 6,
        stamp: 999,
        checksum: 0xabcd_ef01_2345_6789,
        config: membership(),
    }
}

fn messages() -> Vec<(&'static str, Message)> {
    let entries = vec![
        entry(EntryKind::NoOp, b""),
        entry(EntryKind::Data, b"command"),
        entry(EntryKind::Config, b"members"),
    ];
    let bodies = vec![
        (
            "vote",
            Body::VoteRequest(VoteRequest {
                pre_vote: true,
                last_index: 299,
                last_term: 6,
                leadership_transfer: true,
            }),
        ),
        (
            "voted",
            Body::VoteResponse(VoteResponse {
                pre_vote: true,
                granted: true,
            }),
        ),
        (
            "append",
            Body::AppendRequest(AppendRequest {
                prev_index: 299,
                prev_term: 6,
                prev_checksum: 5,
                commit: 298,
                read_round: 12,
                entries,
            }),
        ),
        (
            "appended",
            Body::AppendResponse(AppendResponse {
                success: true,
                index: 302,
                read_round: 12,
                divergent_checksum: 44,
            }),
        ),
        (
            "piece",
            Body::SnapshotChunk(SnapshotChunk {
                metadata: snapshot_metadata(),
                total_bytes: 900,
                offset: 512,
                data: Bytes::from_static(b"piece"),
                read_round: 3,
            }),
        ),
        (
            "took",
            Body::ChunkAck(ChunkAck {
                index: 250,
                offset: 517,
                read_round: 3,
            }),
        ),
        ("now", Body::TimeoutNow(true)),
        (
            "aside",
            Body::QuarantineNotice(QuarantineNotice {
                index: 300,
                majority_checksum: 4,
            }),
        ),
    ];
    bodies
        .into_iter()
        .map(|(name, body)| {
            (
                name,
                Message {
                    to: 2,
                    from: 1,
                    term: 7,
                    body: Some(body),
                },
            )
        })
        .collect()
}

#[test]
fn messages_encode_to_the_golden_bytes() {
    let encoded = messages()
        .into_iter()
        .map(|(name, message)| NamedBytes::new(name, message.encode_to_vec()));
    assert_bytes(MESSAGES, &encoded.collect::<Vec<_>>());
}

#[test]
fn golden_messages_decode_and_encode_unchanged() {
    let expected = messages();
    let stored = read_bytes(MESSAGES);
    assert_eq!(stored.len(), expected.len());
    for (NamedBytes { name, bytes }, (_, message)) in stored.into_iter().zip(expected) {
        let decoded = Message::decode(&bytes[..]).unwrap();
        assert_eq!(decoded, message, "{name}");
        assert_eq!(decoded.encode_to_vec(), bytes, "{name}");
    }
}

#[test]
fn stored_records_encode_to_the_golden_bytes_and_decode() {
    let snapshot = Snapshot {
        metadata: snapshot_metadata(),
        data: Bytes::from_static(b"table"),
    };
    let data_entry = entry(EntryKind::Data, b"command");
    assert_bytes(
        STORED,
        &[
            NamedBytes::new("hard", HardState { term: 7, vote: 2 }.encode_to_vec()),
            NamedBytes::new("entry", data_entry.encode_to_vec()),
            NamedBytes::new("entry-checksum", data_entry.checksum(0x1234).to_be_bytes()),
            NamedBytes::new("configuration", membership().encode_to_vec()),
            NamedBytes::new("snapshot", snapshot.encode_to_vec()),
        ],
    );
    let stored = read_bytes(STORED);
    assert_eq!(
        HardState::decode(&stored[0].bytes[..]).unwrap(),
        HardState { term: 7, vote: 2 }
    );
    assert_eq!(Entry::decode(&stored[1].bytes[..]).unwrap(), data_entry);
    assert_eq!(
        Membership::decode(&stored[3].bytes[..]).unwrap(),
        membership()
    );
    assert_eq!(Snapshot::decode(&stored[4].bytes[..]).unwrap(), snapshot);
}
