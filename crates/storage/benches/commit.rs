//! Commits per second of this log, redb and fjall, each with one flush per commit, by the number of 200-byte entries
//! per commit. Results are in `docs/design/copies.md`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_storage::{FolderDisk, IdentitySeed, Record, Store, StoreLimits};
use std::time::{Duration, Instant};

const MEASUREMENT_TIME: Duration = Duration::from_millis(1_500);
const TABLE: redb::TableDefinition<u64, &[u8]> = redb::TableDefinition::new("log");

fn commits_per_second(mut commit: impl FnMut(u64)) -> f64 {
    let (started_at, mut n) = (Instant::now(), 0);
    while started_at.elapsed() < MEASUREMENT_TIME {
        commit(n);
        n += 1;
    }
    n as f64 / started_at.elapsed().as_secs_f64()
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
        let own = commits_per_second(|n| {
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
        let redb = commits_per_second(|n| {
            let transaction = db.begin_write().expect("a transaction");
            {
                let mut table = transaction.open_table(TABLE).expect("a table");
                for k in 0..group {
                    table.insert(n * group + k, &data[..]).expect("an entry");
                }
            }
            transaction.commit().expect("a commit");
        });
        let db = fjall::Database::builder(folder.path().join("fjall"))
            .open()
            .expect("fjall");
        let keyspace = db
            .keyspace("log", fjall::KeyspaceCreateOptions::default)
            .expect("a space");
        let fjall = commits_per_second(|n| {
            for k in 0..group {
                keyspace
                    .insert((n * group + k).to_be_bytes(), &data[..])
                    .expect("an entry");
            }
            db.persist(fjall::PersistMode::SyncData).expect("a flush");
        });
        println!("{group:>8} {own:>12.0} {redb:>12.0} {fjall:>12.0}");
    }
}
