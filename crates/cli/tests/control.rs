//! Control machines and forwarders as processes: versions are published, confirmed, refused, and outlive machines.
//!
//! Verdicts go by events in the processes' logs and by answers; [`HANGS`] only catches what hangs.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod control_world;
mod program;

use control_world::{World, HANGS};
use rainstand_cluster::status;
use rainstand_config::schema::Configuration;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_replicated_state::versions::Publish;
use serde_json::Value;
use std::time::Instant;

#[test]
fn versions_reach_forwarders_and_outlive_machines() {
    let mut world = World::new();
    let (mut one, one_at) = world.forwarder("f1", "z0");
    let (mut two, two_at) = world.forwarder("f2", "z1");
    // The nearest first: each zone has a machine.
    for (forwarder, machine) in [(&mut one, "c1"), (&mut two, "c2")] {
        forwarder.says(&["event=\"attached\"", machine]);
    }

    // Publish: all confirm, whichever machine is asked.
    let (code, told) = world.publish("first.rain", 2, &[]);
    assert!(
        code == 0 && told.contains("version 1 is committed"),
        "{told}"
    );
    one.says(&["version_applied", "version=1"]);
    two.says(&["version_applied", "version=1"]);
    let told = world.confirmed(0, 1, 2);
    assert!(told["versions"][0]["at_ms"].as_u64() > Some(0), "{told}");

    // What is wrong is refused before it is sent, an old one as a conflict, and nothing is committed.
    let (code, told) = world.publish("bad.rain", 0, &[]);
    assert!(code == 1 && told.contains("nowhere"), "{told}");
    let (code, told) = world.publish("second.rain", 0, &["--from", "0"]);
    assert!(
        code == 1 && told.contains("conflict: made from version 0, but version 1 is there"),
        "{told}"
    );
    let (code, told) = world.publish("second.rain", 0, &["--dry-run"]);
    assert!(
        code == 0 && told.contains("share") && told.contains("would be version 2"),
        "{told}"
    );
    let (code, told) = world.publish("first.rain", 0, &[]);
    assert!(code == 0 && told.contains("nothing changes"), "{told}");
    assert_eq!(world.versions(1)["version"], 1);

    // The machine itself refuses it too, as when two publish at once.
    let late = Configuration {
        version: 1,
        ..Configuration::default()
    };
    let late =
        Publish::from_configuration(&ConfigState::from_configuration(&late).unwrap(), 0, &late)
            .unwrap();
    let told = world.ask(2, &status::encode_publish(&late));
    assert!(told["conflict"].is_string(), "{told}");

    // The change as a change, in force at both with one digest.
    let (code, told) = world.publish("second.rain", 0, &["--from", "1"]);
    assert!(code == 0 && told.contains("share"), "{told}");
    one.says(&["version_applied", "version=2"]);
    two.says(&["version_applied", "version=2"]);
    let told = world.confirmed(2, 2, 2);
    for at in [&one_at, &two_at] {
        let status = world.status(at);
        assert_eq!(
            (&status["version"], &status["digest"]),
            (&2.into(), &told["machines"][0]["digest"])
        );
    }

    // The machine that the first is attached to goes: it comes to another one and hears of the next version there.
    world.machines[0] = None;
    one.says(&["server_disconnected", "c1"]);
    one.says(&["event=\"attached\"", "version=2"]);
    let begun = Instant::now();
    while matches!(world.publish("third.rain", 1, &[]).0, 2 | 3) {
        assert!(begun.elapsed() < HANGS, "no majority of the two");
    }
    one.says(&["version_applied", "version=3"]);
    two.says(&["version_applied", "version=3"]);

    // Changes were applied as changes.
    for forwarder in [&one, &two] {
        let lines = forwarder.lines.0.lock().unwrap();
        assert!(
            !lines.iter().any(|line| line.contains("delta_not_applied")),
            "{lines:?}"
        );
    }

    // All machines gone: both run on with what they have and say how old it is.
    world.machines.clear();
    one.says(&["server_disconnected"]);
    two.says(&["server_disconnected"]);
    let status = world.status(&one_at);
    assert_eq!(
        (&status["version"], &status["machine"]),
        (&3.into(), &Value::Null)
    );
    let later = world.status(&one_at);
    assert!(
        later["age_ms"].as_u64() > status["age_ms"].as_u64(),
        "{status} {later}"
    );

    // A restart with nobody there begins with the last version from the disk.
    let kept = world.folder.path().join("kept-f2").join("version.packed");
    let begun = Instant::now();
    let held = || {
        rainstand_config_distribution::snapshot::decode(&std::fs::read(&kept).unwrap_or_default())
    };
    while held().map(|kept| kept.version) != Ok(3) {
        assert!(begun.elapsed() < HANGS, "version 3 is not kept");
        std::thread::yield_now();
    }
    drop(two);
    let (mut two, two_at) = world.forwarder("f2", "z1");
    two.says(&["event=\"start\""]);
    let status = world.status(&two_at);
    assert_eq!(
        (&status["version"], &status["digest"]),
        (&later["version"], &later["digest"])
    );
}
