//! A scripted history of writes, cut at every byte: what recovery finds is a beginning of what was written, and all
//! that a flush confirmed.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};
use rainstand_storage::store::recover;
use rainstand_storage::{Disk, OpenError, Record, Recovered, Store, StoreLimits};

const SMALL: StoreLimits = StoreLimits {
    segment: 600,
    log: 2_000,
};

fn entry(shard: u16, index: u64, text: &str) -> Record {
    Record::Entry {
        shard,
        index,
        data: text.as_bytes().to_vec(),
    }
}

fn hard(shard: u16, text: &str) -> Record {
    Record::HardState {
        shard,
        data: text.as_bytes().to_vec(),
    }
}

#[derive(Clone)]
enum Step {
    Put(Record),
    Flush,
    Save(u16, u64, bool),
}

/// Two shards, a change of mind about a tail, snapshots, a note.
fn script() -> Vec<Step> {
    use Step::*;
    let mut steps = vec![
        Put(hard(0, "t1")),
        Put(entry(0, 1, "a")),
        Put(entry(1, 1, "x")),
        Flush,
    ];
    steps.extend([
        Put(entry(0, 2, "b")),
        Put(entry(0, 3, "c")),
        Flush,
        Put(entry(0, 2, "B")),
        Put(hard(0, "t2")),
        Flush,
    ]);
    steps.extend((3..9).flat_map(|n| [Put(entry(0, n, &"long ".repeat(n as usize))), Flush]));
    steps.extend([
        Save(0, 5, false),
        Put(Record::Metadata {
            number: 9,
            data: b"note".to_vec(),
        }),
        Flush,
    ]);
    steps.extend((2..7).flat_map(|n| [Put(entry(1, n, &"y".repeat(40))), Flush]));
    steps.extend([
        Save(1, 6, false),
        Put(entry(0, 9, "tail")),
        Flush,
        Save(0, 20, true),
        Put(entry(0, 21, "after")),
        Flush,
    ]);
    steps
}

/// The store as it stands in memory after so many steps, for comparing.
fn wanted(steps: &[Step]) -> Recovered {
    let mut found = Recovered::default();
    for step in steps {
        match step {
            Step::Put(Record::HardState { shard, data }) => {
                found.shards.entry(*shard).or_default().hard_state = Some(data.clone());
            }
            Step::Put(Record::Metadata { number, data }) => {
                found.metadata.insert(*number, data.clone());
            }
            Step::Put(Record::Entry { shard, index, data }) => {
                let entries = &mut found.shards.entry(*shard).or_default().entries;
                entries.retain(|entry| entry.0 < *index);
                entries.push((*index, data.clone()));
            }
            Step::Save(shard, index, alone) => {
                let shard = found.shards.entry(*shard).or_default();
                shard.snapshot = Some((*index, format!("snapshot {index}").into_bytes()));
                shard.entries.retain(|entry| entry.0 > *index && !alone);
            }
            Step::Put(_) | Step::Flush => {}
        }
    }
    found
}

fn play(store: &mut Store<FaultyDisk>, step: &Step) -> std::io::Result<()> {
    match step {
        Step::Put(record) => {
            store.append(record);
            Ok(())
        }
        Step::Flush => store.flush(),
        Step::Save(shard, index, alone) => store.install_snapshot(
            *shard,
            *index,
            format!("snapshot {index}").as_bytes(),
            *alone,
        ),
    }
}

fn same(found: &Recovered, wanted: &Recovered) -> bool {
    // A shard of which nothing was written is one that is not there.
    found.metadata == wanted.metadata
        && found
            .shards
            .iter()
            .all(|(shard, one)| wanted.shards.get(shard).is_some_and(|other| one == other))
        && found.shards.len() == wanted.shards.len()
}

/// A folder that crashes by itself: at the n-th byte that reaches it, everything after is lost.
struct Until {
    disk: FaultyDisk,
    left: usize,
}

impl Until {
    fn spend(&mut self, n: usize) -> std::io::Result<usize> {
        let taken = n.min(self.left);
        self.left -= taken;
        Ok(taken)
    }

    fn over(&self) -> std::io::Result<()> {
        if self.left == 0 {
            return Err(std::io::Error::other("crashed"));
        }
        Ok(())
    }
}

impl Disk for Until {
    fn list(&mut self) -> std::io::Result<Vec<String>> {
        self.disk.list()
    }
    fn read(&mut self, name: &str) -> std::io::Result<Vec<u8>> {
        self.disk.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        self.over()?;
        let n = self.spend(bytes.len())?;
        self.disk.append(name, &bytes[..n])?;
        self.over()
    }
    fn flush(&mut self, name: &str) -> std::io::Result<()> {
        self.over()?;
        self.spend(1)?;
        self.over()?;
        self.disk.flush(name)
    }
    fn truncate(&mut self, name: &str, len: u64) -> std::io::Result<()> {
        self.over()?;
        self.disk.truncate(name, len)
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.over()?;
        self.spend(1)?;
        self.over()?;
        self.disk.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.over()?;
        self.spend(1)?;
        self.over()?;
        self.disk.remove(name)
    }
    fn quarantine(&mut self) -> std::io::Result<()> {
        self.disk.quarantine()
    }
}

#[test]
fn cut_at_every_byte_a_beginning_is_found_and_all_that_was_confirmed() {
    let steps = script();
    let (mut at, mut crashes, mut ends) = (1, 0, false);
    while !ends {
        let disk = FaultyDisk::default();
        let opened = Store::open(
            Until {
                disk: disk.clone(),
                left: at,
            },
            SMALL,
            [7, 1],
        );
        let mut confirmed = 0;
        ends = true;
        if let Ok((mut store, _)) = opened {
            for (k, step) in steps.iter().enumerate() {
                let done = match step {
                    Step::Put(record) => {
                        store.append(record);
                        Ok(())
                    }
                    Step::Flush => store.flush(),
                    Step::Save(shard, index, alone) => store.install_snapshot(
                        *shard,
                        *index,
                        format!("snapshot {index}").as_bytes(),
                        *alone,
                    ),
                };
                match done {
                    Ok(()) if !matches!(step, Step::Put(_)) => confirmed = k + 1,
                    Ok(()) => {}
                    Err(_) => {
                        ends = false;
                        break;
                    }
                }
            }
        } else {
            ends = false;
        }
        // Everything that reached the disk stays, or nothing that was not flushed.
        for leaves in [CrashOutcome::First(usize::MAX), CrashOutcome::First(0)] {
            let left = disk.copy();
            left.crash(leaves);
            let (_, found) =
                recover(&mut left.clone()).unwrap_or_else(|why| panic!("byte {at}: {why}"));
            let fits = (confirmed..=steps.len()).any(|n| same(&found, &wanted(&steps[..n])));
            assert!(fits, "byte {at}, confirmed {confirmed}: {found:#?}");
            // And it goes on from there, as the same disk.
            let boots = recover(&mut left.clone())
                .unwrap()
                .0
                .map_or(0, |identity| identity.boot);
            let (store, again) = Store::open(left, SMALL, [8, 2]).unwrap();
            assert!(same(&again, &found), "byte {at}");
            assert_eq!(store.identity().boot, boots + 1, "byte {at}");
            assert_eq!(
                store.identity().disk,
                if boots > 0 { 7 } else { 8 },
                "byte {at}"
            );
        }
        at += 1;
        crashes += 1;
    }
    assert!(crashes > 1_000, "{crashes}");
}

#[test]
fn writes_that_came_in_another_order_are_damage_or_a_beginning() {
    let steps = script();
    let mut damaged = 0;
    for zeros in (1..200).step_by(3) {
        let disk = FaultyDisk::default();
        let (mut store, _) = Store::open(disk.clone(), StoreLimits::default(), [7, 1]).unwrap();
        steps[..10]
            .iter()
            .for_each(|step| play(&mut store, step).unwrap());
        disk.set_faults(DiskFaults {
            lies: true,
            ..DiskFaults::default()
        });
        steps[10..16]
            .iter()
            .for_each(|step| play(&mut store, step).unwrap());
        disk.crash(CrashOutcome::AllBut(zeros));
        match recover(&mut disk.clone()) {
            Err(OpenError::Damaged(damage)) => {
                damaged += 1;
                assert!(damage.file.starts_with("log-"), "{damage}");
            }
            Ok((_, found)) => assert!((10..=16).any(|n| same(&found, &wanted(&steps[..n])))),
            Err(why) => panic!("{why}"),
        }
    }
    assert!(damaged > 10, "{damaged}");
}

/// One bit turned over anywhere in what was flushed is named, or is in bytes that nothing needs any more.
#[test]
fn a_bit_that_turned_over_is_named_and_never_believed() {
    let (steps, mut chance) = (script(), WyRand::new_seed(3));
    let disk = FaultyDisk::default();
    let (mut store, _) = Store::open(disk.clone(), SMALL, [7, 1]).unwrap();
    steps
        .iter()
        .for_each(|step| play(&mut store, step).unwrap());
    let whole = wanted(&steps);
    let names: Vec<String> = disk.clone().list().unwrap();
    let mut named = 0;
    for _ in 0..2_000 {
        let name = &names[chance.generate_range(0..names.len() as u64) as usize];
        let (byte, bit) = (
            chance.generate_range(0..disk.size(name) as u64) as usize,
            chance.generate_range(0..8u8),
        );
        let bad = disk.copy();
        bad.flip(name, byte, bit);
        match recover(&mut bad.clone()) {
            Err(OpenError::Damaged(_)) => named += 1,
            // A length that grew looks like a write cut short, if it is the newest segment's: a beginning is left.
            Ok((_, found)) if found.truncated_tail.is_some() => {
                assert!(
                    (0..=steps.len()).any(|n| same(&found, &wanted(&steps[..n]))),
                    "{name} {byte}"
                );
            }
            Ok((identity, found)) => {
                assert!(same(&found, &whole), "{name} {byte} {bit}: {found:#?}");
                assert!(name == "identity" || identity.is_some_and(|identity| identity.disk == 7));
            }
            Err(why) => panic!("{why}"),
        }
    }
    assert!(named > 1_500, "{named}");
}

#[test]
fn after_a_flush_that_failed_nothing_is_confirmed_any_more() {
    for ills in [
        DiskFaults {
            flush_fails: true,
            ..DiskFaults::default()
        },
        DiskFaults {
            full: true,
            ..DiskFaults::default()
        },
        DiskFaults {
            gone: true,
            ..DiskFaults::default()
        },
    ] {
        let disk = FaultyDisk::default();
        let (mut store, _) = Store::open(disk.clone(), SMALL, [7, 1]).unwrap();
        store.append(&entry(0, 1, "kept"));
        store.flush().unwrap();
        disk.set_faults(ills);
        store.append(&entry(0, 2, "lost"));
        assert!(
            store.flush().is_err() && store.failed().is_some(),
            "{ills:?}"
        );
        // The disk is well again, and still nothing is confirmed: what it holds is not known.
        disk.set_faults(DiskFaults::default());
        store.append(&entry(0, 3, "never"));
        assert!(
            store.flush().is_err() && store.install_snapshot(0, 1, b"s", false).is_err(),
            "{ills:?}"
        );
        drop(store);
        disk.crash(CrashOutcome::First(usize::MAX));
        let (_, found) = recover(&mut disk.clone()).unwrap();
        assert_eq!(
            found.shards[&0].entries,
            [(1, b"kept".to_vec())],
            "{ills:?}"
        );
    }
}

#[test]
fn segments_go_once_they_are_in_snapshots_and_idle_shards_are_asked_for_theirs() {
    let disk = FaultyDisk::default();
    let (mut store, _) = Store::open(disk.clone(), SMALL, [7, 1]).unwrap();
    store.append(&entry(5, 1, "idle"));
    let mut pressed = false;
    for n in 1..400 {
        store.append(&entry(0, n, &"z".repeat(50)));
        store.flush().unwrap();
        if n % 20 == 0 {
            store.install_snapshot(0, n - 5, b"all", false).unwrap();
        }
        if store.needs_compaction().contains(&5) {
            pressed = true;
            store.install_snapshot(5, 1, b"idle", false).unwrap();
        }
        assert!(store.bytes() < 6_000, "{n}: {}", store.bytes());
    }
    assert!(pressed);
    drop(store);
    let (store, found) = Store::open(disk.clone(), SMALL, [9, 2]).unwrap();
    assert_eq!(
        found.shards[&0].entries.last().map(|entry| entry.0),
        Some(399)
    );
    assert_eq!(found.shards[&5].snapshot, Some((1, b"idle".to_vec())));
    assert_eq!(
        (store.identity().disk, store.identity().boot, store.last(0)),
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
    let anew = store.reinitialize([11, 3]).unwrap();
    assert_eq!(
        (
            anew.identity().disk,
            anew.identity().boot,
            disk.quarantine_count()
        ),
        (11, 1, 1)
    );
}

#[test]
fn a_folder_is_one_process_s_and_what_was_set_aside_is_kept_a_few_times() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("disk");
    let open = |chance| {
        Store::open(
            rainstand_storage::FolderDisk::open(&path).unwrap(),
            SMALL,
            [chance, chance],
        )
    };
    let (mut store, _) = open(1).unwrap();
    assert!(rainstand_storage::FolderDisk::open(&path).is_err());
    store.append(&entry(0, 1, "one"));
    store.flush().unwrap();
    store.install_snapshot(0, 1, b"snapshot", false).unwrap();
    drop(store);
    let (mut store, found) = open(2).unwrap();
    assert_eq!(
        (
            found.shards[&0].snapshot.as_ref().unwrap().0,
            store.identity().disk,
            store.identity().boot
        ),
        (1, 1, 2)
    );
    for n in 10..15 {
        store = store.reinitialize([n, n]).unwrap();
        assert_eq!(store.identity().disk, n);
    }
    let asides = std::fs::read_dir(&path)
        .unwrap()
        .filter(|e| e.as_ref().unwrap().path().is_dir())
        .count();
    assert_eq!(asides, 3);
}
