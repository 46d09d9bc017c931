//! Commits a second of this log and of two stores of the crates' registry, all with a flush for each commit: so many
//! entries of 200 bytes each. Figures stand in `docs/design/copies.md`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_storage::{FolderDisk, IdentitySeed, Record, Store, StoreLimits};
use std::time::{Duration, Instant};

const LASTS: Duration = Duration::from_millis(1_500);
const TABLE: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("log");

fn rate(mut commit: impl FnMut(u64)) -> f64 {
    let (begun, mut n) = (Instant::now(), 0);
    while begun.elapsed() < LASTS {
        commit(n);
        n += 1;
    }
    n as f64 / begun.elapsed().as_secs_f64()
}

fn main() {
    let data = vec![7u8; 200];
    println!(
        "{:>8} {:>12} {:>12} {:>12}  commits a second",
        "entries", "own log", "redb", "fjall"
    );
    for group in [1u64, 16, 256] {
        let folder = tempfile::tempdir().expect("a folder");
        let disk = FolderDisk::open(&folder.path().join("own")).expect("a folder");
        let (mut store, _) = Store::open(
            disk,
            StoreLimits::default(),
            IdentitySeed { disk: 1, nonce: 2 },
        )
        .expect("a store");
        let own = rate(|n| {
            for k in 0..group {
                store.append(&Record::Entry {
                    shard: 0,
                    index: n * group + k + 1,
                    data: data.clone(),
                });
            }
            store.flush().expect("a flush");
        });
        let db = redb::Database::create(folder.path().join("redb")).expect("redb");
        let redb = rate(|n| {
            let write = db.begin_write().expect("a transaction");
            {
                let mut table = write.open_table(TABLE).expect("a table");
                for k in 0..group {
                    table.insert(n * group + k, &data[..]).expect("an entry");
                }
            }
            write.commit().expect("a commit");
        });
        let db = fjall::Database::builder(folder.path().join("fjall"))
            .open()
            .expect("fjall");
        let space = db
            .keyspace("log", fjall::KeyspaceCreateOptions::default)
            .expect("a space");
        let fjall = rate(|n| {
            for k in 0..group {
                space
                    .insert((n * group + k).to_be_bytes(), &data[..])
                    .expect("an entry");
            }
            db.persist(fjall::PersistMode::SyncData).expect("a flush");
        });
        println!("{group:>8} {own:>12.0} {redb:>12.0} {fjall:>12.0}");
    }
}
