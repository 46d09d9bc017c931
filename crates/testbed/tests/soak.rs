//! Three soaks that cover requests open until the kill, a crowd of bad connections, and signals before readiness.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::soak::{run, SoakOptions};
use std::path::Path;
use tokio::task::LocalSet;

#[test]
fn processes_in_use_until_their_kill_satisfy_the_invariants() {
    for seed in 1..4 {
        let folder = tempfile::tempdir().unwrap();
        let programs = Path::new(env!("CARGO_BIN_EXE_rainstand-testbed")).parent();
        let options = SoakOptions {
            seed,
            programs: programs.map(Path::to_owned),
            folder: folder.path().to_owned(),
            bug: None,
            seconds: 2,
        };
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let report = LocalSet::new().block_on(&runtime, run(&options)).unwrap();
        assert!(report.is_clean(), "{report:#?}");
        // The soak must have served requests and committed changes.
        assert!(report.answers > 100 && report.committed > 2, "{report:#?}");
        assert!(report.crowd > 0 || seed % 3 != 0, "{report:#?}");
    }
}
