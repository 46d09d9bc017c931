//! What members of a group send each other, the commands of the replicated log and the snapshot of a shard, byte
//! for byte as the version that introduced each wrote it.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use prost::Message as _;
use rainstand_config::schema::{Configuration, Tenant, VERSION};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_golden_files::{assert_bytes, read_bytes, NamedBytes};
use rainstand_raft::wire::{Body, Message, VoteRequest};
use rainstand_replicated_state::frames::{
    BootstrapConfig, BootstrapMember, CommandRequest, CommandResponse, Frame, FrameBody, Hello,
    PeerIncarnation, PeerIncarnations, Raft, ResponseCode, ShardProgress, StaleDiskNotice,
};
use rainstand_replicated_state::gossip::GossipReport;
use rainstand_replicated_state::idempotency::{
    Claim, Command, IdempotencyTable, Operation, Register, Start,
};
use rainstand_replicated_state::versions::Publish;

const FRAMES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/frames.hex");
const COMMANDS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/commands.hex");
const TABLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/tables.hex");

fn claim(holder: u64) -> Claim {
    Claim {
        holder,
        trace: Bytes::from(vec![holder as u8; 16]),
    }
}

fn command(key: &'static str, holder: u64, operation: Operation) -> Command {
    Command {
        key: Bytes::from_static(key.as_bytes()),
        claim: claim(holder),
        operation: Some(operation),
    }
}

fn configuration(shares: &[u32]) -> Configuration {
    let tenants = shares.iter().enumerate().map(|(at, _)| Tenant {
        name: format!("t{at}"),
        ..Tenant::default()
    });
    Configuration {
        version: VERSION,
        tenants: tenants.collect(),
        ..Configuration::default()
    }
}

fn publish(from: u64, head: &ConfigState, shares: &[u32]) -> Publish {
    Publish {
        published_at_ms: 1_700_000_000_000 + from,
        ..Publish::from_configuration(head, from, &configuration(shares)).unwrap()
    }
}

fn commands() -> Vec<(&'static str, Command)> {
    vec![
        (
            "start",
            command(
                "K",
                3,
                Operation::Start(Start {
                    fingerprint: 0xfeed,
                    window_ns: 60_000_000_000,
                }),
            ),
        ),
        (
            "done",
            command("K", 3, Operation::Done(Bytes::from_static(b"result"))),
        ),
        ("failed", command("K", 3, Operation::Failed(true))),
        ("withdraw", command("K", 3, Operation::Withdraw(true))),
        (
            "set",
            command(
                "name",
                3,
                Operation::Set(Register {
                    version: 4,
                    data: Bytes::from_static(b"data"),
                }),
            ),
        ),
        (
            "publish",
            command(
                "configuration",
                3,
                Operation::Publish(publish(0, &ConfigState::default(), &[10, 20])),
            ),
        ),
        (
            "publish-whole",
            command(
                "configuration",
                3,
                Operation::Publish(Publish {
                    from: 2,
                    published_at_ms: 5,
                    delta: Bytes::new(),
                    snapshot: Bytes::from_static(b"packed"),
                }),
            ),
        ),
    ]
}

fn shard_progress() -> Vec<ShardProgress> {
    vec![
        ShardProgress {
            shard: 0,
            term: 4,
            index: 900,
        },
        ShardProgress {
            shard: 3,
            term: 2,
            index: 17,
        },
    ]
}

fn frames() -> Vec<(String, Frame)> {
    let bootstrap_member = |name: &str, disk| BootstrapMember {
        name: name.into(),
        site: "s1".into(),
        disk,
    };
    let hello = Hello {
        group: "test".into(),
        name: "n1".into(),
        disk: 0x1122_3344_5566_7788,
        incarnation: 3,
        nonce: 99,
        uninitialized: true,
        shards: 16,
        shard_progress: shard_progress(),
        generation: 2,
    };
    let message = Message {
        to: 1,
        from: 2,
        term: 3,
        body: Some(Body::VoteRequest(VoteRequest {
            pre_vote: false,
            last_index: 9,
            last_term: 2,
            leadership_transfer: false,
        })),
    };
    let report = GossipReport {
        epoch: 3,
        sequence: 40,
        charged_us: [("acme".to_owned(), 1_500), ("zeta".to_owned(), 7)].into(),
        spare_capacity: 2_500,
        disk: 0x1122,
    };
    let mut all: Vec<(String, Frame)> = vec![
        ("hello".into(), Frame::from_body(FrameBody::Hello(hello))),
        (
            "form".into(),
            Frame::from_body(FrameBody::Bootstrap(BootstrapConfig {
                members: vec![bootstrap_member("n1", 1), bootstrap_member("n2", 2)],
                shards: 16,
                replicas_per_shard: 3,
            })),
        ),
        (
            "raft".into(),
            Frame::from_body(FrameBody::Raft(Raft {
                shard: 5,
                message,
                generation: 2,
            })),
        ),
        (
            "behind".into(),
            Frame::from_body(FrameBody::StaleDisk(StaleDiskNotice {
                disk: 7,
                reason: "start 1 after start 2".into(),
            })),
        ),
        ("soft".into(), Frame::from_body(FrameBody::Gossip(report))),
        (
            "up".into(),
            Frame::from_body(FrameBody::FromSubscriber(Bytes::from_static(b"up"))),
        ),
        (
            "down".into(),
            Frame::from_body(FrameBody::ToSubscriber(Bytes::from_static(b"down"))),
        ),
    ];
    for (name, command) in commands() {
        all.push((
            format!("ask-{name}"),
            Frame::from_body(FrameBody::Request(CommandRequest {
                id: 1 << 40,
                shard: 5,
                command,
            })),
        ));
    }
    for number in 0..=12 {
        let code = ResponseCode::try_from(number).unwrap() as i32;
        let result = Bytes::from_static(b"result");
        let response = CommandResponse {
            id: 1 << 40,
            shard: 5,
            code,
            result,
            leader: 9,
        };
        all.push((
            format!("answer-{number}"),
            Frame::from_body(FrameBody::Response(response)),
        ));
    }
    all
}

#[test]
fn frames_are_encoded_as_before_and_decoded() {
    let known = frames();
    let written = known
        .iter()
        .map(|(name, frame)| NamedBytes::new(name.clone(), frame.encode_to_vec()));
    assert_bytes(FRAMES, &written.collect::<Vec<_>>());
    for (NamedBytes { name, bytes }, (_, frame)) in read_bytes(FRAMES).into_iter().zip(known) {
        let read = Frame::decode(&bytes[..]).unwrap();
        assert_eq!(read, frame, "{name}");
        assert_eq!(read.encode_to_vec(), bytes, "{name}");
    }
}

#[test]
fn commands_and_metadata_are_encoded_as_before_and_decoded() {
    let known = commands();
    let mut written: Vec<_> = known
        .iter()
        .map(|(name, command)| NamedBytes::new(*name, command.encode_to_vec()))
        .collect();
    let seen = PeerIncarnation {
        name: "n2".into(),
        disk: 5,
        incarnation: 6,
        nonce: 7,
        shard_progress: shard_progress(),
        replaced_disks: vec![3, 4],
    };
    let incarnations = PeerIncarnations { seen: vec![seen] };
    written.push(NamedBytes::new("witness", incarnations.encode_to_vec()));
    assert_bytes(COMMANDS, &written);
    let stored = read_bytes(COMMANDS);
    for (NamedBytes { name, bytes }, (_, command)) in stored.iter().zip(&known) {
        assert_eq!(Command::decode(&bytes[..]).unwrap(), *command, "{name}");
    }
    let last = stored.last().unwrap();
    assert_eq!(
        PeerIncarnations::decode(&last.bytes[..]).unwrap(),
        incarnations
    );
}

/// Keys in each state, a register, and published versions.
fn table() -> IdempotencyTable {
    let mut table = IdempotencyTable::new(100, 1_000);
    let start = |fingerprint| {
        Operation::Start(Start {
            fingerprint,
            window_ns: 60_000,
        })
    };
    table.apply(10, &command("started", 1, start(1)));
    table.apply(11, &command("known", 2, start(2)));
    table.apply(
        12,
        &command("known", 2, Operation::Done(Bytes::from_static(b"result"))),
    );
    table.apply(13, &command("uncertain", 3, start(3)));
    table.apply(14, &command("uncertain", 3, Operation::Failed(true)));
    table.apply(15, &command("withdrawn", 4, start(4)));
    table.apply(16, &command("withdrawn", 4, Operation::Withdraw(true)));
    table.apply(
        17,
        &command(
            "register",
            5,
            Operation::Set(Register {
                version: 2,
                data: Bytes::from_static(b"v"),
            }),
        ),
    );
    for from in 0..3u64 {
        let shares: Vec<u32> = (0..=from as u32).collect();
        let publish = publish(from, table.versions().state(), &shares);
        table.apply(
            20 + from,
            &command("configuration", 6, Operation::Publish(publish)),
        );
    }
    assert_eq!(table.versions().version(), 3);
    table
}

#[test]
fn snapshot_of_a_shard_is_encoded_as_before() {
    assert_bytes(TABLES, &[NamedBytes::new("table", table().snapshot())]);
}

#[test]
fn snapshot_of_an_earlier_version_is_restored() {
    let stored = read_bytes(TABLES).remove(0).bytes;
    let mut restored = IdempotencyTable::new(100, 1_000);
    restored.restore(stored.clone().into()).unwrap();
    assert_eq!(restored.snapshot(), stored);
    assert_eq!(restored, table());
}
