//! Compatibility with stored data: the current version starts from a member's folder that an earlier version wrote,
//! with identity, log, snapshots, metadata, keyed results and published versions. Messages keep their encoding.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod world;

use bytes::Bytes;
use prost::Message as _;
use rainstand_cluster::framing::with_length_prefix;
use rainstand_cluster::recovery::{self, RecoveryMode};
use rainstand_cluster::status;
use rainstand_config::schema::{Configuration, Tenant, VERSION};
use rainstand_golden_files::{assert_bytes, read_bytes, NamedBytes, WRITE_VARIABLE};
use rainstand_replicated_state::frames::Frame;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Operation, Register};
use rainstand_replicated_state::versions::Publish;
use std::path::{Path, PathBuf};
use world::{completed, start_operation, test_cluster, RunningMember, TestCluster};

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/member");
const QUESTIONS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/questions.hex");

fn configuration(tenants: usize) -> Configuration {
    let tenants = (0..tenants).map(|index| Tenant {
        name: format!("t{index}"),
        ..Tenant::default()
    });
    Configuration {
        version: VERSION,
        tenants: tenants.collect(),
        ..Configuration::default()
    }
}

fn publish(member: &RunningMember, from: u64, tenants: usize) {
    let state = member.inspect(|group| {
        group.inspect(|member| {
            member
                .published(member.now())
                .unwrap()
                .versions
                .state()
                .clone()
        })
    });
    let publish = Publish::from_configuration(&state, from, &configuration(tenants)).unwrap();
    assert_eq!(
        member.execute_until_outcome(9, "configuration", &Operation::Publish(publish)),
        ClaimOutcome::Recorded
    );
}

/// Writes the folder of a single member: keys in each state and two versions in the snapshots, and one further key and
/// version in the log after them.
fn write_member(cluster: &TestCluster) {
    let member = cluster.start_member("n1");
    cluster.wait_until_all_shards_led(&[&member]);
    for key in ["known", "uncertain", "started", "withdrawn"] {
        assert_eq!(
            member.execute_until_outcome(1, key, &start_operation()),
            ClaimOutcome::Granted
        );
    }
    assert_eq!(
        member.execute_until_outcome(1, "known", &Operation::Done("R".into())),
        ClaimOutcome::Recorded
    );
    assert_eq!(
        member.execute_until_outcome(1, "uncertain", &Operation::Failed(true)),
        ClaimOutcome::Recorded
    );
    assert_eq!(
        member.execute_until_outcome(1, "withdrawn", &Operation::Withdraw(true)),
        ClaimOutcome::Recorded
    );
    let register = Register {
        version: 3,
        data: Bytes::from_static(b"value"),
    };
    assert_eq!(
        member.execute_until_outcome(1, "register", &Operation::Set(register)),
        ClaimOutcome::Recorded
    );
    publish(&member, 0, 1);
    publish(&member, 1, 2);
    drop(member);
    // The recovery writes the snapshots.
    recovery::recover(&cluster.folder(0), "n1", RecoveryMode::AcceptLoss).unwrap();
    let member = cluster.start_member("n1");
    assert_eq!(
        member.execute_until_outcome(2, "late", &start_operation()),
        ClaimOutcome::Granted
    );
    assert_eq!(
        member.execute_until_outcome(2, "late", &Operation::Done("L".into())),
        ClaimOutcome::Recorded
    );
    publish(&member, 2, 3);
}

fn copy_folder(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).unwrap();
    for file in std::fs::read_dir(from).unwrap() {
        let file = file.unwrap();
        if file.file_name() != "lock" {
            std::fs::copy(file.path(), to.join(file.file_name())).unwrap();
        }
    }
}

#[test]
fn member_starts_from_a_folder_written_by_an_earlier_version() {
    let stored = PathBuf::from(FOLDER);
    if !stored.exists() && std::env::var_os(WRITE_VARIABLE).is_some() {
        let cluster = test_cluster(1);
        write_member(&cluster);
        copy_folder(&cluster.folder(0), &stored);
    }
    let cluster = test_cluster(1);
    copy_folder(&stored, &cluster.folder(0));
    let files = std::fs::read_dir(&stored)
        .unwrap()
        .map(|file| file.unwrap().file_name().into_string().unwrap());
    let files: Vec<String> = files.collect();
    for kind in ["identity", "log-", "snap-"] {
        assert!(files.iter().any(|file| file.starts_with(kind)), "{files:?}");
    }
    let member = cluster.start_member("n1");
    cluster.wait_until_all_shards_led(&[&member]);
    assert_eq!(member.inspect(|group| group.quarantines()), 0);
    assert_eq!(
        member.execute_until_outcome(7, "known", &start_operation()),
        completed("R")
    );
    assert_eq!(
        member.execute_until_outcome(7, "late", &start_operation()),
        completed("L")
    );
    assert_eq!(
        member.execute_until_outcome(7, "uncertain", &start_operation()),
        ClaimOutcome::Indeterminate
    );
    assert_eq!(
        member.execute_until_outcome(7, "started", &start_operation()),
        ClaimOutcome::InProgress
    );
    let identity: serde_json::Value =
        serde_json::from_slice(&std::fs::read(stored.join("identity")).unwrap()).unwrap();
    let (disk, register, version, published) = member.inspect(|group| {
        group.inspect(|member| {
            let versions = member.published(member.now()).unwrap().versions;
            let register = member.register(b"register").unwrap().clone();
            (
                member.disk(),
                register,
                versions.version(),
                versions.state().configuration().unwrap(),
            )
        })
    });
    assert_eq!(Some(disk), identity["disk"].as_u64());
    assert_eq!((register.version, &register.data[..]), (3, &b"value"[..]));
    assert_eq!((version, published), (3, configuration(3)));
}

#[test]
fn encoding_of_questions_and_frames_is_unchanged() {
    let publish = Publish {
        from: 4,
        published_at_ms: 5,
        delta: Bytes::from_static(b"delta"),
        snapshot: Bytes::new(),
    };
    let frame = Frame::default().encode_to_vec();
    assert_bytes(
        QUESTIONS,
        &[
            NamedBytes::new("ask", status::encode_question("why register/K-17")),
            NamedBytes::new("publish", status::encode_publish(&publish)),
            NamedBytes::new("frame", with_length_prefix(&frame)),
            NamedBytes::new(
                "asked",
                with_length_prefix(&status::encode_question("status")),
            ),
        ],
    );
    let stored = read_bytes(QUESTIONS);
    assert_eq!(
        status::decode_question(&stored[0].bytes),
        Some("why register/K-17")
    );
    assert_eq!(status::decode_publish(&stored[1].bytes), Some(publish));
}
