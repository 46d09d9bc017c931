//! The versions that a subscriber stores: after a crash at any moment it begins with the last version that it could have
//! acknowledged, or with one that was stored later.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_cluster::attachment::AttachmentPhase;
use rainstand_cluster::version_store::format::LoggedUpdate;
use rainstand_cluster::version_store::recovery::{recover, StoredFiles};
use rainstand_cluster::version_store::store::MAX_LOG_BYTES;
use rainstand_cluster::version_store::{
    recover_folder, RecoveryError, StoreError, VersionStore, VersionWriter, LOG_FILE, SNAPSHOT_FILE,
};
use rainstand_config::schema::{self, Configuration, Tenant};
use rainstand_config_distribution::attachment::NodeIdentity;
use rainstand_config_distribution::delta::ConfigState;
use rainstand_config_distribution::frames::{Delta, ServerMessage, SnapshotChunk};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::subscriber::{Effect, PendingUpdate, Subscriber};
use rainstand_storage::faulty_disk::{CrashOutcome, DiskFaults, FaultyDisk};
use rainstand_storage::Disk;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A configuration whose first tenant has the version as its share.
fn configuration(version: u64, tenants: usize) -> Configuration {
    let tenant = |number: usize| Tenant {
        name: format!("tenant-{number}"),
        share: if number == 0 { version } else { 1 },
        ..Tenant::default()
    };
    let mut configuration = Configuration {
        version: schema::VERSION,
        tenants: (0..tenants).map(tenant).collect(),
        ..Configuration::default()
    };
    configuration.put_in_order();
    configuration
}

/// A version with few tenants.
fn version(number: u64) -> DecodedSnapshot {
    let state = ConfigState::from_configuration(&configuration(number, 3)).unwrap();
    let state = if number == 0 {
        ConfigState::default()
    } else {
        state
    };
    DecodedSnapshot {
        version: number,
        state,
    }
}

fn delta(from: &DecodedSnapshot, to: u64) -> Delta {
    from.state
        .delta_to(from.version, to, &configuration(to, 3))
        .unwrap()
}

fn delta_update(from: u64, to: u64) -> LoggedUpdate {
    let delta = delta(&version(from), to);
    LoggedUpdate::new(from, &PendingUpdate::Delta(delta))
}

fn snapshot_update(from: u64, to: u64) -> LoggedUpdate {
    let DecodedSnapshot { version, state } = version(to);
    let compressed = snapshot::encode(version, &state).unwrap().into();
    LoggedUpdate::new(
        from,
        &PendingUpdate::Snapshot {
            version,
            state,
            compressed,
        },
    )
}

/// A disk that copies itself after each change, so that a test can crash it at every moment.
#[derive(Clone, Default)]
struct CopyingDisk {
    disk: FaultyDisk,
    copies: Rc<RefCell<Vec<FaultyDisk>>>,
}

impl CopyingDisk {
    fn changed<T>(&self, result: T) -> T {
        self.copies.borrow_mut().push(self.disk.copy());
        result
    }
}

impl Disk for CopyingDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.disk.list()
    }
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.disk.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let result = self.disk.append(name, bytes);
        self.changed(result)
    }
    fn flush(&mut self, name: &str) -> io::Result<()> {
        let result = self.disk.flush(name);
        self.changed(result)
    }
    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        let result = self.disk.truncate(name, len);
        self.changed(result)
    }
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let result = self.disk.rename(from, to);
        self.changed(result)
    }
    fn remove(&mut self, name: &str) -> io::Result<()> {
        let result = self.disk.remove(name);
        self.changed(result)
    }
    fn quarantine(&mut self) -> io::Result<()> {
        self.disk.quarantine()
    }
}

fn files(disk: &mut impl Disk) -> StoredFiles {
    StoredFiles {
        snapshot: disk.read(SNAPSHOT_FILE).ok(),
        log: disk.read(LOG_FILE).unwrap_or_default(),
    }
}

/// One step of a subscriber and its disk.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A delta is stored, applied and acknowledged.
    Delta(u64),
    /// A complete version is stored, applied and acknowledged.
    Snapshot(u64),
    /// A delta is stored, and cannot be applied.
    Rejected(u64),
    /// The write of a delta fails in this way.
    Fails(u64, Fault),
    Checkpoint,
    /// The process is killed and starts again.
    Restart,
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Full,
    Unflushable,
    Unavailable,
}

impl Fault {
    fn on_disk(self) -> DiskFaults {
        let none = DiskFaults::default();
        match self {
            Fault::Full => DiskFaults { full: true, ..none },
            Fault::Unflushable => DiskFaults {
                flush_fails: true,
                ..none
            },
            Fault::Unavailable => DiskFaults {
                unavailable: true,
                ..none
            },
        }
    }
}

/// A process that stores versions on a disk.
struct Process {
    disk: CopyingDisk,
    store: Option<VersionStore<CopyingDisk>>,
    /// The last acknowledged version.
    in_force: u64,
    newest_attempted: u64,
}

impl Process {
    fn new() -> Self {
        Self {
            disk: CopyingDisk::default(),
            store: None,
            in_force: 0,
            newest_attempted: 0,
        }
    }

    fn store(&mut self, update: &LoggedUpdate) -> Result<(), StoreError> {
        self.newest_attempted = self.newest_attempted.max(update.to);
        let disk = self.disk.clone();
        let mut store = self.store.take().unwrap_or_else(|| VersionStore::new(disk));
        if store.needs_checkpoint() {
            store.checkpoint(&version(self.in_force))?;
        }
        store.append(update)?;
        self.store = Some(store);
        Ok(())
    }

    /// Plays a step; the disk must be recoverable at each moment of it.
    fn play(&mut self, step: Step) {
        self.disk.copies.borrow_mut().clear();
        let acknowledged = self.in_force;
        match step {
            Step::Delta(to) => {
                self.store(&delta_update(self.in_force, to)).unwrap();
                self.in_force = to;
            }
            Step::Snapshot(to) => {
                self.store(&snapshot_update(self.in_force, to)).unwrap();
                self.in_force = to;
            }
            Step::Rejected(to) => self.store(&delta_update(self.in_force, to)).unwrap(),
            Step::Fails(to, fault) => {
                self.disk.disk.set_faults(fault.on_disk());
                assert!(self.store(&delta_update(self.in_force, to)).is_err());
                self.disk.disk.set_faults(DiskFaults::default());
            }
            Step::Checkpoint => {
                let disk = self.disk.clone();
                let mut store = self.store.take().unwrap_or_else(|| VersionStore::new(disk));
                store.checkpoint(&version(self.in_force)).unwrap();
                self.store = Some(store);
            }
            Step::Restart => self.store = None,
        }
        for copy in self.disk.copies.borrow().iter() {
            self.check_crashes(copy, acknowledged, step);
        }
        // What is acknowledged now is durable now.
        self.check_crashes(&self.disk.disk, self.in_force, step);
    }

    /// Crashes a disk in every way, and checks what a start begins with.
    fn check_crashes(&self, disk: &FaultyDisk, acknowledged: u64, step: Step) {
        let unflushed = disk.unflushed_bytes();
        let first = (0..=unflushed).map(CrashOutcome::First);
        let all_but = (0..=unflushed).map(CrashOutcome::AllBut);
        for outcome in first.chain(all_but) {
            let mut crashed = disk.copy();
            crashed.crash(outcome);
            let recovered = recover(&files(&mut crashed));
            let context = format!("{step:?}, {outcome:?}: {:?}", recovered.errors);
            let newest = recovered.newest.unwrap_or_default();
            assert!(
                (acknowledged..=self.newest_attempted).contains(&newest.version),
                "version {} after {acknowledged} was acknowledged; {context}",
                newest.version
            );
            assert_eq!(newest.state, version(newest.version).state, "{context}");
            // If the newest cannot be applied, the acknowledged version is the other one.
            if newest.version > acknowledged && acknowledged > 0 {
                let previous = recovered.previous.expect(&context);
                assert_eq!(previous, version(acknowledged), "{context}");
            }
        }
    }
}

/// Guards against the loss of an acknowledged version by a kill or a power failure: crashes at every moment of each write
/// of updates, checkpoints and failed writes, with every prefix of the bytes that were not flushed.
#[test]
fn crash_at_any_moment_keeps_the_acknowledged_version() {
    use Step::{Checkpoint, Delta, Fails, Rejected, Restart, Snapshot};
    let plays: [&[Step]; 9] = [
        // The first version as a delta, and a burst.
        &[Delta(1), Delta(2), Delta(3), Delta(4)],
        &[Snapshot(7), Delta(8), Checkpoint, Delta(9), Checkpoint],
        // A checkpoint without a log.
        &[Checkpoint, Delta(1), Checkpoint, Checkpoint],
        // Versions that cannot be applied, before and after others.
        &[Rejected(1), Delta(2), Rejected(3), Rejected(4), Delta(5)],
        &[Delta(1), Rejected(2), Checkpoint, Rejected(3), Snapshot(4)],
        // Restarts at each place.
        &[Restart, Delta(1), Restart, Delta(2), Restart, Checkpoint],
        &[
            Delta(1),
            Rejected(2),
            Restart,
            Delta(3),
            Restart,
            Snapshot(5),
        ],
        // A full disk, one that loses what is not flushed, and one that is not there, with room again afterwards.
        &[
            Delta(1),
            Fails(2, Fault::Full),
            Fails(2, Fault::Full),
            Delta(2),
            Fails(3, Fault::Unflushable),
            Delta(3),
        ],
        &[
            Fails(1, Fault::Unavailable),
            Delta(1),
            Checkpoint,
            Fails(2, Fault::Unavailable),
            Delta(4),
            Fails(5, Fault::Full),
            Restart,
            Delta(6),
        ],
    ];
    for steps in plays {
        let mut process = Process::new();
        for step in steps {
            process.play(*step);
        }
    }
}

/// Guards against an older version after a damaged log: what lies before the damage is used, and the damage is reported.
#[test]
fn damaged_files_are_reported_and_the_rest_is_used() {
    let mut disk = FaultyDisk::default();
    let mut store = VersionStore::new(disk.clone());
    store.checkpoint(&version(3)).unwrap();
    for to in [4, 5, 6] {
        store.append(&delta_update(to - 1, to)).unwrap();
    }
    let intact = files(&mut disk);
    let length = intact.log.len();
    let newest = |files: &StoredFiles| recover(files).newest.map(|newest| newest.version);
    assert_eq!(
        (newest(&intact), recover(&intact).errors),
        (Some(6), vec![])
    );
    for byte in 0..length {
        let mut damaged = intact.clone();
        damaged.log[byte] ^= 0x10;
        let recovered = recover(&damaged);
        let expected = 3 + (byte * 3 / length) as u64;
        assert_eq!(recovered.newest, Some(version(expected)), "byte {byte}");
        assert!(
            matches!(&recovered.errors[..], [RecoveryError::LogTail(_)]),
            "{:?}",
            recovered.errors
        );
    }
    let no_snapshot = StoredFiles {
        snapshot: Some(b"damaged".to_vec()),
        ..intact.clone()
    };
    let recovered = recover(&no_snapshot);
    assert_eq!(recovered.newest, None);
    assert!(matches!(
        &recovered.errors[..],
        [RecoveryError::Snapshot(_)]
    ));
    // A log that leads to no newer version than the snapshot, as one that a crash brought back.
    let behind = StoredFiles {
        snapshot: Some(snapshot::encode(9, &version(9).state).unwrap()),
        ..intact
    };
    assert_eq!(newest(&behind), Some(9));
}

/// Guards against a release that cannot begin with what the one before stored: `version.packed` alone.
#[test]
fn folder_of_an_earlier_release_is_read_and_continued() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(recover_folder(folder.path()).newest, None);
    let old = snapshot::encode(41, &version(41).state).unwrap();
    std::fs::write(folder.path().join("version.packed"), old).unwrap();
    let recovered = recover_folder(folder.path());
    assert_eq!(
        (recovered.newest, recovered.errors),
        (Some(version(41)), vec![])
    );
    let mut subscriber = subscriber_with(version(41));
    let mut writer = VersionWriter::start(folder.path().to_owned(), 41).unwrap();
    receive(
        &mut subscriber,
        ServerMessage::Delta(delta(&version(41), 42)),
    );
    block_on(writer.store(&subscriber)).unwrap();
    assert_eq!(recover_folder(folder.path()).newest, Some(version(42)));
}

fn subscriber_with(in_force: DecodedSnapshot) -> Subscriber {
    let DecodedSnapshot { version, state } = in_force;
    let mut subscriber =
        Subscriber::with_version(Duration::ZERO, NodeIdentity::default(), version, state)
            .with_durable_storage();
    subscriber.on_connected(Duration::ZERO);
    subscriber
}

/// Receives a frame; the subscriber then asks for a write.
fn receive(subscriber: &mut Subscriber, message: ServerMessage) {
    subscriber.on_frame(Duration::ZERO, message.into_frame());
    let effects: Vec<Effect> = subscriber.take_effects().collect();
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Store(_))),
        "{effects:?}"
    );
}

fn apply(subscriber: &mut Subscriber, version: u64) {
    subscriber.on_stored(version);
    subscriber.on_applied(version);
    assert_eq!(subscriber.version(), version);
    drop(subscriber.take_effects());
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().build();
    runtime.unwrap().block_on(future)
}

/// A snapshot that is received whole is stored as it was received.
#[test]
fn received_snapshot_is_stored() {
    let folder = tempfile::tempdir().unwrap();
    let mut subscriber = subscriber_with(version(0));
    let mut writer = VersionWriter::start(folder.path().to_owned(), 0).unwrap();
    let bytes = snapshot::encode(5, &version(5).state).unwrap();
    let chunk = SnapshotChunk {
        version: 5,
        digest: version(5).state.digest(),
        offset: 0,
        length: bytes.len() as u64,
        bytes: bytes.into(),
    };
    receive(&mut subscriber, ServerMessage::SnapshotChunk(chunk));
    block_on(writer.store(&subscriber)).unwrap();
    assert_eq!(recover_folder(folder.path()).newest, Some(version(5)));
}

/// Guards against a checkpoint that removes an update which is stored and not applied yet.
#[test]
fn checkpoint_waits_for_a_pending_update() {
    let folder = tempfile::tempdir().unwrap();
    let mut subscriber = subscriber_with(version(1));
    let mut writer = VersionWriter::start(folder.path().to_owned(), 0).unwrap();
    receive(&mut subscriber, ServerMessage::Delta(delta(&version(1), 2)));
    block_on(writer.store(&subscriber)).unwrap();
    for phase in [AttachmentPhase::Linked, AttachmentPhase::Lost] {
        assert!(writer.checkpoint_if_due(&subscriber, phase).is_none());
    }
    apply(&mut subscriber, 2);
    let checkpoint = writer.checkpoint_if_due(&subscriber, AttachmentPhase::Lost);
    block_on(checkpoint.unwrap()).unwrap();
    assert!(!folder.path().join(LOG_FILE).exists());
    assert_eq!(recover_folder(folder.path()).newest, Some(version(2)));
}

/// Guards against a write that is reported as done although nothing reached the disk: a folder that cannot be created, as
/// a file is in its place, and one that another process has locked. Writes succeed once the cause is gone.
#[test]
fn writes_fail_until_the_folder_can_be_used() {
    let parent = tempfile::tempdir().unwrap();
    let folder = parent.path().join("versions");
    let mut subscriber = subscriber_with(version(1));
    let mut writer = VersionWriter::start(folder.clone(), 0).unwrap();
    receive(&mut subscriber, ServerMessage::Delta(delta(&version(1), 2)));
    let mut store = |subscriber: &Subscriber| block_on(writer.store(subscriber));

    std::fs::write(&folder, "a file").unwrap();
    assert!(matches!(store(&subscriber), Err(StoreError::Io(_))));
    std::fs::remove_file(&folder).unwrap();
    let other = rainstand_storage::FolderDisk::open(&folder).unwrap();
    let error = store(&subscriber).unwrap_err();
    assert!(error.to_string().contains("locked"), "{error}");
    assert_eq!(recover_folder(&folder).newest, None);

    drop(other);
    store(&subscriber).unwrap();
    assert_eq!(recover_folder(&folder).newest, Some(version(2)));
}

fn size(folder: &Path, file: &str) -> u64 {
    std::fs::metadata(folder.join(file)).map_or(0, |metadata| metadata.len())
}

/// Guards against an acknowledgement whose cost grows with the configuration: at the number of tenants in
/// `docs/CAPACITY.md`, a burst of changes writes as many bytes as with few tenants, and no checkpoint.
#[test]
fn bytes_written_for_a_change_do_not_depend_on_the_configuration() {
    const CHANGES: u64 = 20;
    let logged = [10, 23_000].map(|tenants| {
        let folder = tempfile::tempdir().unwrap();
        let state = ConfigState::from_configuration(&configuration(1, tenants)).unwrap();
        let mut subscriber = subscriber_with(DecodedSnapshot { version: 1, state });
        let mut writer = VersionWriter::start(folder.path().to_owned(), 0).unwrap();
        let mut after_first = 0;
        let mut durations = Vec::new();
        for to in 2..2 + CHANGES {
            let next = configuration(to, tenants);
            let delta = subscriber.state().delta_to(to - 1, to, &next).unwrap();
            receive(&mut subscriber, ServerMessage::Delta(delta));
            let started = Instant::now();
            block_on(writer.store(&subscriber)).unwrap();
            durations.push(started.elapsed());
            apply(&mut subscriber, to);
            if to == 2 {
                after_first = size(folder.path(), SNAPSHOT_FILE);
            }
        }
        assert_eq!(size(folder.path(), SNAPSHOT_FILE), after_first);
        let recovered = recover_folder(folder.path()).newest.unwrap();
        assert_eq!(recovered.version, 1 + CHANGES);
        assert_eq!(&recovered.state, subscriber.state());
        let logged = size(folder.path(), LOG_FILE);
        let first = durations.remove(0);
        durations.sort_unstable();
        println!(
            "{tenants} tenants: {} bytes a change; stored in {:?} at the median and {:?} at most, the first in {first:?}",
            logged / CHANGES,
            durations[durations.len() / 2],
            durations[durations.len() - 1],
        );
        logged
    });
    assert_eq!(logged[0], logged[1]);
}

/// Guards against an update that is appended after the incomplete record of a failed write, where no start would find it.
#[test]
fn nothing_is_appended_after_a_failed_write() {
    let disk = FaultyDisk::default();
    let mut store = VersionStore::new(disk.clone());
    store.checkpoint(&version(1)).unwrap();
    disk.set_faults(Fault::Full.on_disk());
    let update = delta_update(1, 2);
    assert!(matches!(store.append(&update), Err(StoreError::Io(_))));
    disk.set_faults(DiskFaults::default());
    assert!(matches!(
        store.append(&update),
        Err(StoreError::NoCheckpoint)
    ));
    store.checkpoint(&version(1)).unwrap();
    store.append(&update).unwrap();
    assert_eq!(recover(&files(&mut disk.clone())).newest, Some(version(2)));
}

/// The log is bounded: a checkpoint precedes the update after it reached its size.
#[test]
fn long_log_is_replaced_by_a_checkpoint() {
    let mut disk = FaultyDisk::default();
    let mut store = VersionStore::new(disk.clone());
    store.checkpoint(&version(1)).unwrap();
    let mut in_force = 1;
    while !store.needs_checkpoint() {
        store.append(&delta_update(in_force, in_force + 1)).unwrap();
        in_force += 1;
    }
    let record = delta_update(in_force, in_force + 1).encode().len();
    assert!((MAX_LOG_BYTES..MAX_LOG_BYTES + record).contains(&disk.size(LOG_FILE)));
    assert_eq!(recover(&files(&mut disk)).newest, Some(version(in_force)));
    store.checkpoint(&version(in_force)).unwrap();
    assert!(!store.needs_checkpoint());
    assert_eq!(disk.size(LOG_FILE), 0);
    assert_eq!(recover(&files(&mut disk)).newest, Some(version(in_force)));
}
