//! What travels between a control machine and its subscribers, and the packed snapshot, byte for byte as the
//! version that introduced each wrote it.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use prost::Message as _;
use rainstand_config::schema::{Configuration, Member, Pool, Route, Tenant, TrafficType, VERSION};
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::{
    Ack, Attach, Attached, ClientMessage, Delta, Nack, Ping, Resource, ResourceKind, ResourceName,
    ResyncReason, ResyncRequest, RetryAfter, ServerMessage, Snapshot, SnapshotChunk,
    SnapshotProgress,
};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_golden_files::{assert_bytes, read_bytes, NamedBytes};

const FILE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/frames.hex");
const SNAPSHOTS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/snapshots.hex");

fn delta() -> Delta {
    let kinds = (1..=17).map(|kind| Resource {
        kind,
        name: format!("thing-{kind}"),
        pool: if kind == ResourceKind::Member as i32 {
            "hall".into()
        } else {
            String::new()
        },
        rank: if kind == ResourceKind::Route as i32 {
            1 << 32
        } else {
            0
        },
        body: Bytes::from(vec![10, 1, b'a' + kind as u8]),
    });
    let removal = ResourceName {
        kind: ResourceKind::Member as i32,
        name: "n1".into(),
        pool: "hall".into(),
    };
    Delta {
        from: 6,
        to: 9,
        digest: 0x0123_4567_89ab_cdef,
        upserts: kinds.collect(),
        removals: vec![removal],
    }
}

fn progress() -> SnapshotProgress {
    SnapshotProgress {
        version: 5,
        digest: 77,
        offset: 8192,
    }
}

fn client_messages() -> Vec<(&'static str, ClientMessage)> {
    let attach = Attach {
        name: "f-17".into(),
        region: "north".into(),
        zone: "z2".into(),
        version: 4,
        digest: 0xfeed_beef,
        schema_version: 3,
        partial: Some(progress()),
    };
    vec![
        ("up-attach", ClientMessage::Attach(attach)),
        (
            "up-confirm",
            ClientMessage::Ack(Ack {
                version: 9,
                digest: 0x0123_4567_89ab_cdef,
            }),
        ),
        (
            "up-refuse",
            ClientMessage::Nack(Nack {
                version: 9,
                reason: "no such pool".into(),
                current_version: 6,
            }),
        ),
        (
            "up-ask-gap",
            ClientMessage::ResyncRequest(ResyncRequest {
                reason: ResyncReason::Gap as i32,
                version: 6,
                digest: 5,
            }),
        ),
        (
            "up-ask-differs",
            ClientMessage::ResyncRequest(ResyncRequest {
                reason: ResyncReason::Diverged as i32,
                version: 6,
                digest: 5,
            }),
        ),
        ("up-got", ClientMessage::SnapshotProgress(progress())),
    ]
}

fn server_messages() -> Vec<(&'static str, ServerMessage)> {
    let piece = SnapshotChunk {
        version: 5,
        digest: 77,
        offset: 8192,
        length: 9000,
        bytes: Bytes::from_static(b"piece"),
    };
    vec![
        (
            "down-attached",
            ServerMessage::Attached(Attached {
                version: 9,
                age_ms: 1500,
            }),
        ),
        (
            "down-come-back",
            ServerMessage::RetryAfter(RetryAfter {
                after_ms: 800,
                elsewhere: true,
            }),
        ),
        ("down-delta", ServerMessage::Delta(delta())),
        ("down-piece", ServerMessage::SnapshotChunk(piece)),
        (
            "down-ping",
            ServerMessage::Ping(Ping {
                version: 9,
                age_ms: 20,
            }),
        ),
    ]
}

#[test]
fn frames_match_golden_bytes() {
    let up = client_messages()
        .into_iter()
        .map(|(name, up)| NamedBytes::new(name, up.into_frame()));
    let down = server_messages()
        .into_iter()
        .map(|(name, down)| NamedBytes::new(name, down.into_frame()));
    assert_bytes(FILE, &up.chain(down).collect::<Vec<_>>());
}

#[test]
fn golden_frames_round_trip() {
    let (up, down) = (client_messages(), server_messages());
    for NamedBytes { name, bytes } in read_bytes(FILE) {
        if name.starts_with("up-") {
            let read = ClientMessage::from_frame(bytes.clone().into()).unwrap();
            assert!(
                up.iter().any(|(known, up)| *known == name && *up == read),
                "{name}: {read:?}"
            );
            assert_eq!(read.into_frame(), bytes, "{name}");
        } else {
            let read = ServerMessage::from_frame(bytes.clone().into()).unwrap();
            assert!(
                down.iter()
                    .any(|(known, down)| *known == name && *down == read),
                "{name}: {read:?}"
            );
            assert_eq!(read.into_frame(), bytes, "{name}");
        }
    }
}

fn configuration() -> Configuration {
    let member = |name: &str| Member {
        name: name.into(),
        address: format!("10.0.0.{}:5050", name.len()),
        ..Member::default()
    };
    Configuration {
        version: VERSION,
        types: vec![TrafficType {
            name: "check".into(),
            ..TrafficType::default()
        }],
        tenants: vec![Tenant {
            name: "acme".into(),
            ..Tenant::default()
        }],
        pools: vec![Pool {
            name: "hall".into(),
            members: vec![member("n"), member("nn")],
            ..Pool::default()
        }],
        routes: ["one", "two"]
            .map(|name| Route {
                name: name.into(),
                ..Route::default()
            })
            .to_vec(),
        ..Configuration::default()
    }
}

#[test]
fn digest_and_snapshot_match_golden_bytes() {
    let state = ConfigState::from_configuration(&configuration()).unwrap();
    let whole = Snapshot {
        version: 3,
        digest: state.digest(),
        resources: state.resources().collect(),
    };
    let mut changed = configuration();
    changed.pools[0].members.remove(0);
    changed.routes.push(Route {
        name: "three".into(),
        ..Route::default()
    });
    assert_bytes(
        SNAPSHOTS,
        &[
            NamedBytes::new("digest", state.digest().to_be_bytes()),
            NamedBytes::new("whole", whole.encode_to_vec()),
            NamedBytes::new("packed", snapshot::encode(3, &state).unwrap()),
            NamedBytes::new(
                "change",
                state.delta_to(3, 4, &changed).unwrap().encode_to_vec(),
            ),
        ],
    );
}

#[test]
fn golden_snapshot_and_delta_lead_to_the_same_states() {
    let stored = read_bytes(SNAPSHOTS);
    let of = |name: &str| &stored.iter().find(|one| one.name == name).unwrap().bytes;
    let DecodedSnapshot { version, mut state } = snapshot::decode(of("packed")).unwrap();
    assert_eq!(
        (version, &state.digest().to_be_bytes()[..]),
        (3, &of("digest")[..])
    );
    assert_eq!(state.configuration().unwrap(), configuration());
    assert_eq!(&snapshot::encode(version, &state).unwrap(), of("packed"));
    let change = Delta::decode(&of("change")[..]).unwrap();
    state.apply(&change).unwrap();
    assert_eq!(state.digest(), change.digest);
    assert_eq!(change.encode_to_vec(), *of("change"));
}
