//! Crashes at every byte of a scripted series of writes: recovery yields a prefix of the written records that includes
//! all confirmed ones.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};
use rainstand_storage::{
    recover, Disk, IdentitySeed, LogSuffix, OpenError, Record, Recovered, Store, StoreLimits,
    StoredEntry, StoredSnapshot,
};

const SMALL_LIMITS: StoreLimits = StoreLimits {
    segment_bytes: 600,
    log_bytes: 2_000,
};

fn seed(disk: u64, nonce: u64) -> IdentitySeed {
    IdentitySeed { disk, nonce }
}

fn entry(shard: u16, index: u64, text: &str) -> Record {
    Record::Entry {
        shard,
        index,
        data: text.as_bytes().to_vec(),
    }
}

fn hard_state_record(shard: u16, text: &str) -> Record {
    Record::HardState {
        shard,
        data: text.as_bytes().to_vec(),
    }
}

#[derive(Clone)]
enum Step {
    Append(Record),
    Flush,
    InstallSnapshot(u16, u64, LogSuffix),
}

/// Two shards, a suffix that is replaced, snapshots, metadata.
fn scripted_steps() -> Vec<Step> {
    use Step::*;
    let mut steps = vec![
        Append(hard_state_record(0, "t1")),
        Append(entry(0, 1, "a")),
        Append(entry(1, 1, "x")),
        Flush,
    ];
    steps.extend([
        Append(entry(0, 2, "b")),
        Append(entry(0, 3, "c")),
        Flush,
        Append(entry(0, 2, "B")),
        Append(hard_state_record(0, "t2")),
        Flush,
    ]);
    steps.extend((3..9).flat_map(|n| [Append(entry(0, n, &"long ".repeat(n as usize))), Flush]));
    steps.extend([
        InstallSnapshot(0, 5, LogSuffix::Retain),
        Append(Record::Metadata {
            number: 9,
            data: b"note".to_vec(),
        }),
        Flush,
    ]);
    steps.extend((2..7).flat_map(|n| [Append(entry(1, n, &"y".repeat(40))), Flush]));
    steps.extend([
        InstallSnapshot(1, 6, LogSuffix::Retain),
        Append(entry(0, 9, "tail")),
        Flush,
        InstallSnapshot(0, 20, LogSuffix::Discard),
        Append(entry(0, 21, "after")),
        Flush,
    ]);
    steps
}

/// The contents that a recovery should yield after these steps.
fn expected_contents(steps: &[Step]) -> Recovered {
    let mut found = Recovered::default();
    for step in steps {
        match step {
            Step::Append(Record::HardState { shard, data }) => {
                found.shards.entry(*shard).or_default().hard_state = Some(data.clone());
            }
            Step::Append(Record::Metadata { number, data }) => {
                found.metadata.insert(*number, data.clone());
            }
            Step::Append(Record::Entry { shard, index, data }) => {
                let entries = &mut found.shards.entry(*shard).or_default().entries;
                entries.retain(|entry| entry.index < *index);
                entries.push(StoredEntry {
                    index: *index,
                    data: data.clone(),
                });
            }
            Step::InstallSnapshot(shard, index, suffix) => {
                let shard = found.shards.entry(*shard).or_default();
                shard.snapshot = Some(StoredSnapshot {
                    index: *index,
                    data: format!("snapshot {index}").into_bytes(),
                });
                shard
                    .entries
                    .retain(|entry| entry.index > *index && *suffix == LogSuffix::Retain);
            }
            Step::Append(_) | Step::Flush => {}
        }
    }
    found
}

fn run_step(store: &mut Store<FaultyDisk>, step: &Step) -> std::io::Result<()> {
    match step {
        Step::Append(record) => {
            store.append(record);
            Ok(())
        }
        Step::Flush => store.flush(),
        Step::InstallSnapshot(shard, index, suffix) => store.install_snapshot(
            *shard,
            *index,
            format!("snapshot {index}").as_bytes(),
            *suffix,
        ),
    }
}

fn is_same(found: &Recovered, expected: &Recovered) -> bool {
    // A shard without records is absent.
    found.metadata == expected.metadata
        && found
            .shards
            .iter()
            .all(|(shard, one)| expected.shards.get(shard).is_some_and(|other| one == other))
        && found.shards.len() == expected.shards.len()
}

/// A disk that fails once `remaining` is used up: each appended byte, flush, rename and removal counts as 1.
struct CrashingDisk {
    disk: FaultyDisk,
    remaining: usize,
}

impl CrashingDisk {
    fn spend(&mut self, n: usize) -> std::io::Result<usize> {
        let taken = n.min(self.remaining);
        self.remaining -= taken;
        Ok(taken)
    }

    fn ensure_running(&self) -> std::io::Result<()> {
        if self.remaining == 0 {
            return Err(std::io::Error::other("crashed"));
        }
        Ok(())
    }
}

impl Disk for CrashingDisk {
    fn list(&mut self) -> std::io::Result<Vec<String>> {
        self.disk.list()
    }
    fn read(&mut self, name: &str) -> std::io::Result<Vec<u8>> {
        self.disk.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.ensure_running()?;
        let n = self.spend(bytes.len())?;
        self.disk.append(name, &bytes[..n])?;
        self.ensure_running()
    }
    fn flush(&mut self, name: &str) -> std::io::Result<()> {
        self.ensure_running()?;
        self.spend(1)?;
        self.ensure_running()?;
        self.disk.flush(name)
    }
    fn truncate(&mut self, name: &str, len: u64) -> std::io::Result<()> {
        self.ensure_running()?;
        self.disk.truncate(name, len)
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.ensure_running()?;
        self.spend(1)?;
        self.ensure_running()?;
        self.disk.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.ensure_running()?;
        self.spend(1)?;
        self.ensure_running()?;
        self.disk.remove(name)
    }
    fn quarantine(&mut self) -> std::io::Result<()> {
        self.disk.quarantine()
    }
}

#[test]
fn crash_at_any_byte_recovers_a_prefix_with_all_confirmed_writes() {
    let steps = scripted_steps();
    let (mut crash_after, mut crashes, mut completed) = (1, 0, false);
    while !completed {
        let disk = FaultyDisk::default();
        let opened = Store::open(
            CrashingDisk {
                disk: disk.clone(),
                remaining: crash_after,
            },
            SMALL_LIMITS,
            seed(7, 1),
        );
        let mut confirmed = 0;
        completed = true;
        if let Ok((mut store, _)) = opened {
            for (step_index, step) in steps.iter().enumerate() {
                let done = match step {
                    Step::Append(record) => {
                        store.append(record);
                        Ok(())
                    }
                    Step::Flush => store.flush(),
                    Step::InstallSnapshot(shard, index, suffix) => store.install_snapshot(
                        *shard,
                        *index,
                        format!("snapshot {index}").as_bytes(),
                        *suffix,
                    ),
                };
                match done {
                    Ok(()) if !matches!(step, Step::Append(_)) => confirmed = step_index + 1,
                    Ok(()) => {}
                    Err(_) => {
                        completed = false;
                        break;
                    }
                }
            }
        } else {
            completed = false;
        }
        // Either all bytes that reached the disk survive, or only the flushed ones.
        for outcome in [CrashOutcome::First(usize::MAX), CrashOutcome::First(0)] {
            let crashed = disk.copy();
            crashed.crash(outcome);
            let contents = recover(&mut crashed.clone())
                .unwrap_or_else(|error| panic!("byte {crash_after}: {error}"));
            let (identity, found) = (contents.identity, contents.recovered);
            let fits =
                (confirmed..=steps.len()).any(|n| is_same(&found, &expected_contents(&steps[..n])));
            assert!(
                fits,
                "byte {crash_after}, confirmed {confirmed}: {found:#?}"
            );
            // The store reopens with these contents and keeps its disk id.
            let starts = identity.map_or(0, |identity| identity.incarnation);
            let (store, again) = Store::open(crashed, SMALL_LIMITS, seed(8, 2)).unwrap();
            assert!(is_same(&again, &found), "byte {crash_after}");
            assert_eq!(
                store.identity().incarnation,
                starts + 1,
                "byte {crash_after}"
            );
            assert_eq!(
                store.identity().disk,
                if starts > 0 { 7 } else { 8 },
                "byte {crash_after}"
            );
        }
        crash_after += 1;
        crashes += 1;
    }
    assert!(crashes > 1_000, "{crashes}");
}

#[test]
fn reordered_writes_are_reported_as_damage_or_recover_a_prefix() {
    let steps = scripted_steps();
    let mut damaged = 0;
    for zeros in (1..200).step_by(3) {
        let disk = FaultyDisk::default();
        let (mut store, _) = Store::open(disk.clone(), StoreLimits::default(), seed(7, 1)).unwrap();
        steps[..10]
            .iter()
            .for_each(|step| run_step(&mut store, step).unwrap());
        disk.set_faults(DiskFaults {
            ignores_flushes: true,
            ..DiskFaults::default()
        });
        steps[10..16]
            .iter()
            .for_each(|step| run_step(&mut store, step).unwrap());
        disk.crash(CrashOutcome::AllBut(zeros));
        match recover(&mut disk.clone()) {
            Err(OpenError::Damaged(damage)) => {
                damaged += 1;
                assert!(damage.file.starts_with("log-"), "{damage}");
            }
            Ok(contents) => {
                assert!((10..=16)
                    .any(|n| is_same(&contents.recovered, &expected_contents(&steps[..n]))))
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert!(damaged > 10, "{damaged}");
}

/// A flipped bit in the log or a snapshot is reported, as damage or a truncated tail, unless recovery does not need the
/// byte. The identity file has no checksum.
#[test]
fn flipped_bit_is_reported_or_recovers_a_prefix() {
    let (steps, mut rng) = (scripted_steps(), WyRand::new_seed(3));
    let disk = FaultyDisk::default();
    let (mut store, _) = Store::open(disk.clone(), SMALL_LIMITS, seed(7, 1)).unwrap();
    steps
        .iter()
        .for_each(|step| run_step(&mut store, step).unwrap());
    let complete = expected_contents(&steps);
    let names: Vec<String> = disk.clone().list().unwrap();
    let mut named = 0;
    for _ in 0..2_000 {
        let name = &names[rng.generate_range(0..names.len() as u64) as usize];
        let (byte, bit) = (
            rng.generate_range(0..disk.size(name) as u64) as usize,
            rng.generate_range(0..8u8),
        );
        let bad = disk.copy();
        bad.flip(name, byte, bit);
        match recover(&mut bad.clone()) {
            Err(OpenError::Damaged(_)) => named += 1,
            // A larger length in the newest segment looks like an interrupted write: a prefix is recovered.
            Ok(contents) if contents.recovered.truncated_tail.is_some() => {
                let found = &contents.recovered;
                assert!(
                    (0..=steps.len()).any(|n| is_same(found, &expected_contents(&steps[..n]))),
                    "{name} {byte}"
                );
            }
            Ok(contents) => {
                let (identity, found) = (contents.identity, contents.recovered);
                assert!(
                    is_same(&found, &complete),
                    "{name} {byte} {bit}: {found:#?}"
                );
                assert!(name == "identity" || identity.is_some_and(|identity| identity.disk == 7));
            }
            Err(error) => panic!("{error}"),
        }
    }
    assert!(named > 1_500, "{named}");
}

#[test]
fn nothing_is_confirmed_after_a_failed_flush() {
    for faults in [
        DiskFaults {
            flush_fails: true,
            ..DiskFaults::default()
        },
        DiskFaults {
            full: true,
            ..DiskFaults::default()
        },
        DiskFaults {
            unavailable: true,
            ..DiskFaults::default()
        },
    ] {
        let disk = FaultyDisk::default();
        let (mut store, _) = Store::open(disk.clone(), SMALL_LIMITS, seed(7, 1)).unwrap();
        store.append(&entry(0, 1, "kept"));
        store.flush().unwrap();
        disk.set_faults(faults);
        store.append(&entry(0, 2, "lost"));
        assert!(
            store.flush().is_err() && store.failure().is_some(),
            "{faults:?}"
        );
        // The faults are cleared, but nothing is confirmed: the contents of the disk are unknown.
        disk.set_faults(DiskFaults::default());
        store.append(&entry(0, 3, "never"));
        assert!(
            store.flush().is_err()
                && store
                    .install_snapshot(0, 1, b"s", LogSuffix::Retain)
                    .is_err(),
            "{faults:?}"
        );
        drop(store);
        disk.crash(CrashOutcome::First(usize::MAX));
        let found = recover(&mut disk.clone()).unwrap().recovered;
        assert_eq!(
            found.shards[&0].entries,
            [StoredEntry {
                index: 1,
                data: b"kept".to_vec()
            }],
            "{faults:?}"
        );
    }
}

#[test]
fn segments_in_snapshots_are_removed_and_idle_shards_need_compaction() {
    let disk = FaultyDisk::default();
    let (mut store, _) = Store::open(disk.clone(), SMALL_LIMITS, seed(7, 1)).unwrap();
    store.append(&entry(5, 1, "idle"));
    let mut compaction_needed = false;
    for n in 1..400 {
        store.append(&entry(0, n, &"z".repeat(50)));
        store.flush().unwrap();
        if n % 20 == 0 {
            store
                .install_snapshot(0, n - 5, b"all", LogSuffix::Retain)
                .unwrap();
        }
        if store.needs_compaction().contains(&5) {
            compaction_needed = true;
            store
                .install_snapshot(5, 1, b"idle", LogSuffix::Retain)
                .unwrap();
        }
        assert!(store.log_bytes() < 6_000, "{n}: {}", store.log_bytes());
    }
    assert!(compaction_needed);
    drop(store);
    let (store, found) = Store::open(disk.clone(), SMALL_LIMITS, seed(9, 2)).unwrap();
    assert_eq!(
        found.shards[&0].entries.last().map(|entry| entry.index),
        Some(399)
    );
    assert_eq!(
        found.shards[&5].snapshot,
        Some(StoredSnapshot {
            index: 1,
            data: b"idle".to_vec()
        })
    );
    assert_eq!(
        (
            store.identity().disk,
            store.identity().incarnation,
            store.last_index(0)
        ),
        (7, 2, 399)
    );
    assert!(
        disk.clone()
            .list()
            .unwrap()
            .iter()
            .filter(|name| name.starts_with("snap"))
            .count()
            == 2
    );
    let reinitialized = store.reinitialize(seed(11, 3)).unwrap();
    assert_eq!(
        (
            reinitialized.identity().disk,
            reinitialized.identity().incarnation,
            disk.quarantine_count()
        ),
        (11, 1, 1)
    );
}

#[test]
fn folder_is_locked_and_retains_three_quarantine_folders() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("disk");
    let open = |draw| {
        Store::open(
            rainstand_storage::FolderDisk::open(&path).unwrap(),
            SMALL_LIMITS,
            seed(draw, draw),
        )
    };
    let (mut store, _) = open(1).unwrap();
    assert!(rainstand_storage::FolderDisk::open(&path).is_err());
    store.append(&entry(0, 1, "one"));
    store.flush().unwrap();
    store
        .install_snapshot(0, 1, b"snapshot", LogSuffix::Retain)
        .unwrap();
    drop(store);
    let (mut store, found) = open(2).unwrap();
    assert_eq!(
        (
            found.shards[&0].snapshot_index(),
            store.identity().disk,
            store.identity().incarnation
        ),
        (1, 1, 2)
    );
    for n in 10..15 {
        store = store.reinitialize(seed(n, n)).unwrap();
        assert_eq!(store.identity().disk, n);
    }
    let quarantines = std::fs::read_dir(&path)
        .unwrap()
        .filter(|e| e.as_ref().unwrap().path().is_dir())
        .count();
    assert_eq!(quarantines, 3);
}
