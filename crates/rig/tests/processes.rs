//! Several processes of the program under faults, with seeds that are few and fixed.

use rainstand_config::schema::Rig;
use rainstand_config::source::Disk;
use rainstand_rig::plan::schedule;
use rainstand_rig::stage::{play, Place, Report};
use std::path::Path;
use tokio::task::LocalSet;

fn rig(file: &str) -> Rig {
    let path = format!("{}/../../experiments/rig/{file}", env!("CARGO_MANIFEST_DIR"));
    let outcome = rainstand_config::load(&Disk, &path);
    outcome.configuration.unwrap_or_else(|| panic!("{path} is refused")).rigs.remove(0)
}

fn run(rig: &Rig, seed: u64) -> Report {
    let folder = tempfile::tempdir().unwrap();
    let programs = Path::new(env!("CARGO_BIN_EXE_rainstand-rig")).parent().map(Path::to_owned);
    let place = Place { programs, folder: folder.path().to_owned(), bug: None };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, play(rig, seed, &schedule(rig, seed), &place)).unwrap()
}

#[test]
fn nodes_without_copies_keep_the_rules_while_links_break_and_processes_stop() {
    let rig = rig("plain.rain");
    for seed in 1..4 {
        let report = run(&rig, seed);
        assert!(report.good(), "seed {seed}: {:#?} {:#?}", report.broken.first(), report.fell);
        assert!(report.tally.answered > 200 && report.resets > 0, "seed {seed}: {report:?}");
    }
}

/// The rig can fail: nodes that keep no copies run a key again when it is repeated elsewhere.
#[test]
fn repeats_at_other_nodes_are_found_to_run_twice_without_copies() {
    let rig = Rig { r#move: true, faults: Vec::new(), lasts_ns: 1_500_000_000, ..rig("plain.rain") };
    let report = run(&rig, 1);
    let found: Vec<_> = report.broken.iter().map(|broken| broken.check).collect();
    assert!(found.contains(&"ran-twice") && report.fell.is_empty(), "{found:?} {:?}", report.fell);
}
