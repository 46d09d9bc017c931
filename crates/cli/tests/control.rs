//! Config servers and forwarders as processes: versions are published, confirmed and rejected, and survive the loss of
//! servers.
//!
//! Checks use log events and responses; [`HANG_TIMEOUT`] only detects hangs.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod control_world;
mod program;

use control_world::{TestCluster, HANG_TIMEOUT};
use rainstand_cluster::status;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_replicated_state::versions::Publish;
use serde_json::Value;
use std::time::Instant;

#[test]
fn published_versions_reach_forwarders_and_survive_the_loss_of_servers() {
    let mut cluster = TestCluster::new();
    let (mut first, first_admin) = cluster.start_forwarder("f1", "z0");
    let (mut second, second_admin) = cluster.start_forwarder("f2", "z1");
    // Each forwarder attaches to the server in its zone.
    for (forwarder, server) in [(&mut first, "c1"), (&mut second, "c2")] {
        forwarder.wait_for_line(&["event=\"attached\"", server]);
    }

    // All forwarders confirm a version, whichever server it is published at.
    let (code, output) = cluster.publish("first.rain", 2, &[]);
    assert!(
        code == 0 && output.contains("version 1 is committed"),
        "{output}"
    );
    first.wait_for_line(&["version_applied", "version=1"]);
    second.wait_for_line(&["version_applied", "version=1"]);
    let versions = cluster.wait_until_confirmed(0, 1, 2);
    assert!(
        versions["versions"][0]["at_ms"].as_u64() > Some(0),
        "{versions}"
    );

    // An invalid configuration is rejected before it is sent, one based on an old version as a conflict; nothing is
    // committed.
    let (code, output) = cluster.publish("bad.rain", 0, &[]);
    assert!(code == 1 && output.contains("nowhere"), "{output}");
    let (code, output) = cluster.publish("second.rain", 0, &["--from", "0"]);
    assert!(
        code == 1 && output.contains("conflict: made from version 0, but version 1 is there"),
        "{output}"
    );
    let (code, output) = cluster.publish("second.rain", 0, &["--dry-run"]);
    assert!(
        code == 0 && output.contains("share") && output.contains("would be version 2"),
        "{output}"
    );
    let (code, output) = cluster.publish("first.rain", 0, &[]);
    assert!(code == 0 && output.contains("nothing changes"), "{output}");
    assert_eq!(cluster.versions(1)["version"], 1);

    // The server itself reports the conflict, too, as for two concurrent publishers.
    let stale = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let stale =
        Publish::from_configuration(&ConfigState::from_configuration(&stale).unwrap(), 0, &stale)
            .unwrap();
    let response = cluster.request(2, &status::encode_publish(&stale));
    assert!(response["conflict"].is_string(), "{response}");

    // A change is sent as a delta and is in force at both forwarders with the same digest.
    let (code, output) = cluster.publish("second.rain", 0, &["--from", "1"]);
    assert!(code == 0 && output.contains("share"), "{output}");
    first.wait_for_line(&["version_applied", "version=2"]);
    second.wait_for_line(&["version_applied", "version=2"]);
    let versions = cluster.wait_until_confirmed(2, 2, 2);
    for admin in [&first_admin, &second_admin] {
        let status = cluster.forwarder_status(admin);
        assert_eq!(
            (&status["version"], &status["digest"]),
            (&2.into(), &versions["machines"][0]["digest"])
        );
    }

    // The first forwarder's server is killed: the forwarder attaches to another one and gets the next version there.
    cluster.servers[0] = None;
    first.wait_for_line(&["server_disconnected", "c1"]);
    first.wait_for_line(&["event=\"attached\"", "version=2"]);
    let started = Instant::now();
    while matches!(cluster.publish("third.rain", 1, &[]).0, 2 | 3) {
        assert!(
            started.elapsed() < HANG_TIMEOUT,
            "the remaining two servers commit nothing"
        );
    }
    first.wait_for_line(&["version_applied", "version=3"]);
    second.wait_for_line(&["version_applied", "version=3"]);

    // Changes were applied as deltas.
    for forwarder in [&first, &second] {
        let lines = forwarder.lines.0.lock().unwrap();
        assert!(
            !lines.iter().any(|line| line.contains("delta_not_applied")),
            "{lines:?}"
        );
    }

    // All servers are killed: both forwarders continue with the version that they have and report its age.
    cluster.servers.clear();
    first.wait_for_line(&["server_disconnected"]);
    second.wait_for_line(&["server_disconnected"]);
    let status = cluster.forwarder_status(&first_admin);
    assert_eq!(
        (&status["version"], &status["machine"]),
        (&3.into(), &Value::Null)
    );
    let later = cluster.forwarder_status(&first_admin);
    assert!(
        later["age_ms"].as_u64() > status["age_ms"].as_u64(),
        "{status} {later}"
    );

    // Without a server, a forwarder restarts with the last version stored on disk.
    let snapshot_path = cluster
        .folder
        .path()
        .join("control-f2")
        .join("version.packed");
    let started = Instant::now();
    let stored_snapshot = || {
        rainstand_config_distribution::snapshot::decode(
            &std::fs::read(&snapshot_path).unwrap_or_default(),
        )
    };
    while stored_snapshot().map(|snapshot| snapshot.version) != Ok(3) {
        assert!(started.elapsed() < HANG_TIMEOUT, "version 3 is not stored");
        std::thread::yield_now();
    }
    drop(second);
    let (mut second, second_admin) = cluster.start_forwarder("f2", "z1");
    second.wait_for_line(&["event=\"start\""]);
    let status = cluster.forwarder_status(&second_admin);
    assert_eq!(
        (&status["version"], &status["digest"]),
        (&later["version"], &later["digest"])
    );
}
