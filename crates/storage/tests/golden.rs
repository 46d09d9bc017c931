//! The encoding of records and files of a store is unchanged, byte for byte, from the version that introduced each.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_golden_files::{assert_bytes, read_bytes, NamedBytes};
use rainstand_storage::record::{read_record, ReadOutcome, Record};
use rainstand_storage::{
    recover, Disk, FolderDisk, IdentitySeed, LogSuffix, Store, StoreLimits, StoredEntry,
    StoredSnapshot,
};
use std::path::Path;

const RECORDS: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/records.hex");
const STORE_FILES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/golden/files.hex");

fn records() -> Vec<(&'static str, Record)> {
    vec![
        (
            "hard",
            Record::HardState {
                shard: 3,
                data: b"hard".to_vec(),
            },
        ),
        (
            "entry",
            Record::Entry {
                shard: 3,
                index: 300,
                data: b"entry".to_vec(),
            },
        ),
        (
            "base",
            Record::SnapshotMarker {
                shard: 3,
                index: 299,
                suffix: LogSuffix::Retain,
            },
        ),
        (
            "base-alone",
            Record::SnapshotMarker {
                shard: 3,
                index: 299,
                suffix: LogSuffix::Discard,
            },
        ),
        (
            "note",
            Record::Metadata {
                number: 2,
                data: b"note".to_vec(),
            },
        ),
    ]
}

#[test]
fn record_encoding_is_unchanged_and_decodes() {
    let written = records().into_iter().map(|(name, record)| {
        let mut bytes = Vec::new();
        record.encode_into(&mut bytes);
        assert_eq!(bytes.len(), record.encoded_len(), "{name}");
        NamedBytes::new(name, bytes)
    });
    assert_bytes(RECORDS, &written.collect::<Vec<_>>());
    for (NamedBytes { name, bytes }, (_, record)) in read_bytes(RECORDS).into_iter().zip(records())
    {
        assert_eq!(
            read_record(&bytes),
            ReadOutcome::Complete {
                record,
                len: bytes.len()
            },
            "{name}"
        );
    }
}

/// Opens a store twice and writes hard states, entries of two shards, metadata, and a snapshot of one shard.
fn write_store(folder: &Path) {
    let open = |disk, nonce| {
        Store::open(
            FolderDisk::open(folder).unwrap(),
            StoreLimits::default(),
            IdentitySeed { disk, nonce },
        )
        .unwrap()
        .0
    };
    let mut store = open(0x1122_3344_5566_7788, 5);
    store.append(&Record::Metadata {
        number: 4,
        data: b"n1".to_vec(),
    });
    store.append(&Record::HardState {
        shard: 0,
        data: b"term 1".to_vec(),
    });
    for index in 1..=4 {
        store.append(&Record::Entry {
            shard: 0,
            index,
            data: format!("entry {index}").into_bytes(),
        });
        store.append(&Record::Entry {
            shard: 1,
            index,
            data: format!("other {index}").into_bytes(),
        });
    }
    store.flush().unwrap();
    store
        .install_snapshot(0, 3, b"snapshot", LogSuffix::Retain)
        .unwrap();
    store.append(&Record::HardState {
        shard: 0,
        data: b"term 2".to_vec(),
    });
    store.flush().unwrap();
    drop(store);
    let mut store = open(9, 6);
    store.append(&Record::Entry {
        shard: 0,
        index: 5,
        data: b"entry 5".to_vec(),
    });
    store.flush().unwrap();
}

#[test]
fn file_encoding_is_unchanged() {
    let folder = tempfile::tempdir().unwrap();
    write_store(folder.path());
    let mut disk = FolderDisk::open(folder.path()).unwrap();
    let names = disk.list().unwrap();
    let files = names.into_iter().map(|name| {
        let bytes = disk.read(&name).unwrap();
        NamedBytes::new(name, bytes)
    });
    assert_bytes(STORE_FILES, &files.collect::<Vec<_>>());
}

#[test]
fn files_of_earlier_versions_are_recovered() {
    let (earlier, current) = (tempfile::tempdir().unwrap(), tempfile::tempdir().unwrap());
    for NamedBytes { name, bytes } in read_bytes(STORE_FILES) {
        std::fs::write(earlier.path().join(name), bytes).unwrap();
    }
    write_store(current.path());
    let recovered = |folder: &Path| recover(&mut FolderDisk::open(folder).unwrap()).unwrap();
    let contents = recovered(earlier.path());
    assert_eq!(contents, recovered(current.path()));
    let (identity, found) = (contents.identity.unwrap(), contents.recovered);
    assert_eq!(
        (identity.disk, identity.incarnation, identity.nonce),
        (0x1122_3344_5566_7788, 2, 6)
    );
    assert_eq!(found.shards[&0].hard_state.as_deref(), Some(&b"term 2"[..]));
    assert_eq!(
        found.shards[&0].snapshot,
        Some(StoredSnapshot {
            index: 3,
            data: b"snapshot".to_vec()
        })
    );
    let last = found.shards[&0].entries.last().unwrap();
    assert_eq!(
        *last,
        StoredEntry {
            index: 5,
            data: b"entry 5".to_vec()
        }
    );
    assert_eq!(found.metadata[&4], b"n1");
}
