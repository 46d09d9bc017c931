//! Number of file reads when a store is opened.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_storage::faulty_disk::FaultyDisk;
use rainstand_storage::{Disk, IdentitySeed, Record, Store, StoreLimits};
use std::collections::BTreeMap;
use std::io;

/// Counts how often each file is read.
#[derive(Default)]
struct CountingDisk {
    disk: FaultyDisk,
    reads: BTreeMap<String, u32>,
}

impl Disk for &mut CountingDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        *self.reads.entry(name.to_owned()).or_default() += 1;
        self.disk.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.disk.append(name, bytes)
    }

    fn flush(&mut self, name: &str) -> io::Result<()> {
        self.disk.flush(name)
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.disk.truncate(name, len)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }

    fn quarantine(&mut self) -> io::Result<()> {
        self.disk.quarantine()
    }
}

fn open(disk: &mut CountingDisk) -> Store<&mut CountingDisk> {
    let seed = IdentitySeed { disk: 7, nonce: 1 };
    let limits = StoreLimits {
        segment_bytes: 256,
        ..StoreLimits::default()
    };
    Store::open(disk, limits, seed).unwrap().0
}

/// Guards against reading the log twice at start, which doubled the time to open a large disk: the check of all files
/// and the recovery of their contents each read them.
#[test]
fn opening_a_store_reads_each_file_once() {
    let mut disk = CountingDisk::default();
    let mut store = open(&mut disk);
    for index in 1..=40 {
        store.append(&Record::Entry {
            shard: 0,
            index,
            data: vec![7; 64],
        });
        store.flush().unwrap();
    }
    drop(store);
    disk.reads.clear();
    drop(open(&mut disk));
    let segments = disk.reads.keys().filter(|name| name.starts_with("log-"));
    assert!(segments.count() > 3, "{:?}", disk.reads);
    assert!(
        disk.reads.values().all(|&reads| reads == 1),
        "{:?}",
        disk.reads
    );
}
