//! The replicated log's messages and what is stored of it, byte for byte as the version that introduced each
//! wrote it.

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

fn config() -> Membership {
    let member = |id: u64, name: &str, votes: bool| Member {
        id,
        name: name.into(),
        is_voter: votes,
    };
    Membership {
        members: vec![
            member(1, "n1", true),
            member(2, "n2", true),
            member(9, "n3", false),
        ],
    }
}

fn base() -> SnapshotMetadata {
    SnapshotMetadata {
        index: 250,
        term: 6,
        stamp: 999,
        checksum: 0xabcd_ef01_2345_6789,
        config: config(),
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
                metadata: base(),
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
fn messages_are_written_as_before() {
    let all = messages()
        .into_iter()
        .map(|(name, message)| NamedBytes::new(name, message.encode_to_vec()));
    assert_bytes(MESSAGES, &all.collect::<Vec<_>>());
}

#[test]
fn messages_of_before_are_read_and_written_back() {
    let known = messages();
    let stored = read_bytes(MESSAGES);
    assert_eq!(stored.len(), known.len());
    for (NamedBytes { name, bytes }, (_, message)) in stored.into_iter().zip(known) {
        let read = Message::decode(&bytes[..]).unwrap();
        assert_eq!(read, message, "{name}");
        assert_eq!(read.encode_to_vec(), bytes, "{name}");
    }
}

#[test]
fn stored_parts_are_written_as_before_and_read_back() {
    let snapshot = Snapshot {
        metadata: base(),
        data: Bytes::from_static(b"table"),
    };
    let data = entry(EntryKind::Data, b"command");
    assert_bytes(
        STORED,
        &[
            NamedBytes::new("hard", HardState { term: 7, vote: 2 }.encode_to_vec()),
            NamedBytes::new("entry", data.encode_to_vec()),
            NamedBytes::new("entry-checksum", data.checksum(0x1234).to_be_bytes()),
            NamedBytes::new("configuration", config().encode_to_vec()),
            NamedBytes::new("snapshot", snapshot.encode_to_vec()),
        ],
    );
    let stored = read_bytes(STORED);
    assert_eq!(
        HardState::decode(&stored[0].bytes[..]).unwrap(),
        HardState { term: 7, vote: 2 }
    );
    assert_eq!(Entry::decode(&stored[1].bytes[..]).unwrap(), data);
    assert_eq!(Membership::decode(&stored[3].bytes[..]).unwrap(), config());
    assert_eq!(Snapshot::decode(&stored[4].bytes[..]).unwrap(), snapshot);
}
