//! Recorded messages are in the files, each file is readable on its own, and a disk failure loses only messages.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_capture::read;
use rainstand_capture::tickets::{Event, Outcome};
use rainstand_protocol::thrift;
use rainstand_traffic_recorder::file_store::{Directory, FileStore};
use rainstand_traffic_recorder::rotation::{FileAction, FileNumber, RecordedMessage, Rotation};
use rainstand_traffic_recorder::{Limits, Recorder, Side};
use std::io::{self, Write};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

fn address(port: u16) -> std::net::SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn message(
    connection: u64,
    side: Side,
    offset: u64,
    bytes: &[u8],
    is_end: bool,
) -> RecordedMessage {
    let end = |port| rainstand_capture::packet::End::new([127, 0, 0, 1].into(), port);
    let ends = [end(40_000 + connection as u16), end(5050)];
    RecordedMessage {
        timestamp_ns: 1_700_000_000_000_000_000 + offset,
        connection,
        ends,
        side,
        offset,
        bytes: bytes.into(),
        is_end,
    }
}

/// Passes messages through the rotation and returns the retained files with their numbers.
fn rotated_files(limits: Limits, messages: &[RecordedMessage]) -> Vec<(u64, Vec<u8>)> {
    let mut rotation = Rotation::new(limits, rainstand_capture::write::head("test"));
    let mut files: Vec<(u64, Vec<u8>)> = Vec::new();
    for message in messages {
        for action in rotation.on_message(message) {
            match action {
                FileAction::Open(FileNumber(number)) => files.push((number, Vec::new())),
                FileAction::Remove(FileNumber(number)) => files.retain(|(n, _)| *n != number),
                FileAction::Write(bytes) => files.last_mut().unwrap().1.extend(bytes),
            }
        }
    }
    files
}

/// Calls and answers on several connections without the messages that `lost` drops, and the number of calls left.
fn generate_messages(
    seed: u64,
    connections: u64,
    calls: i32,
    lost: impl Fn(&mut WyRand) -> bool,
) -> (Vec<RecordedMessage>, usize) {
    let mut rng = WyRand::new_seed(seed);
    let mut sent_bytes = vec![[0u64; 2]; connections as usize];
    let (mut messages, mut recorded_calls) = (Vec::new(), 0);
    for seq in 1..=calls {
        for connection in 0..connections {
            let body: Vec<u8> = (0..rng.generate_range(0..3_000usize))
                .map(|_| rng.generate())
                .collect();
            let frames = [
                thrift::process(seq, &[("route", "check")], &body),
                thrift::answer(b"process", seq, &body, true),
            ];
            for (side, frame) in [Side::Client, Side::Server].into_iter().zip(&frames) {
                let offset = &mut sent_bytes[connection as usize][side as usize];
                if !lost(&mut rng) {
                    messages.push(message(connection, side, *offset, frame, false));
                    recorded_calls += usize::from(side == Side::Client);
                }
                *offset += frame.len() as u64;
            }
        }
    }
    messages.extend((0..connections).map(|connection| {
        message(
            connection,
            Side::Client,
            sent_bytes[connection as usize][0],
            b"",
            true,
        )
    }));
    (messages, recorded_calls)
}

#[test]
fn each_file_is_readable_on_its_own() {
    let (messages, calls) = generate_messages(1, 7, 60, |_| false);
    let all = rotated_files(
        Limits {
            file_bytes: 60_000,
            files: 1_000,
        },
        &messages,
    );
    assert!(all.len() > 10, "{} files", all.len());
    let (mut found, mut unmatched_answers, mut served) = (0, 0, 0);
    for (_, file) in &all {
        assert!(file.len() < 70_000);
        let summary = read(&file[..], |_| {});
        assert_eq!(
            (
                summary.streams.holes,
                summary.tickets.cut_calls,
                summary.tickets.unreadable
            ),
            (0, 0, 0)
        );
        assert_eq!(summary.cut_off, None);
        found += summary.tickets.calls as usize;
        served += summary.tickets.honoured as usize;
        unmatched_answers += summary.tickets.answers_alone as usize;
    }
    // The answer to a call may be in the file after the call.
    assert_eq!((found, served + unmatched_answers), (calls, calls));
    let newest = rotated_files(
        Limits {
            file_bytes: 60_000,
            files: 3,
        },
        &messages,
    );
    assert_eq!(newest, all[all.len() - 3..]);
}

#[test]
fn lost_messages_affect_only_their_own_requests() {
    for seed in 0..40 {
        let (messages, calls) =
            generate_messages(seed, 3, 40, |rng| rng.generate_range(0..6u8) == 0);
        let all = rotated_files(
            Limits {
                file_bytes: u64::MAX,
                files: 1,
            },
            &messages,
        );
        let mut disconnected = 0;
        let summary = read(&all[0].1[..], |event| {
            if let Event::Ticket(ticket) = event {
                disconnected += u64::from(ticket.outcome == Outcome::Gone);
            }
        });
        assert_eq!(
            summary.tickets.calls as usize, calls,
            "seed {seed}: {summary:?}"
        );
        assert_eq!(
            (summary.tickets.cut_calls, summary.streams.holes),
            (0, 0),
            "seed {seed}"
        );
        assert!(summary.tickets.answers_alone > 0 && summary.tickets.none > 0);
    }
}

#[test]
fn truncated_file_is_readable_up_to_its_last_complete_block() {
    let (messages, _) = generate_messages(3, 2, 3, |_| false);
    let (_, file) = rotated_files(
        Limits {
            file_bytes: u64::MAX,
            files: 1,
        },
        &messages,
    )
    .remove(0);
    let mut previous_calls = 0;
    for cut in (0..=file.len()).step_by(7) {
        let calls = read(&file[..cut], |_| {}).tickets.calls;
        assert!(calls >= previous_calls);
        previous_calls = calls;
    }
    assert_eq!(read(&file[..], |_| {}).tickets.honoured, 6);
}

/// A fake store with injected faults: file creation fails, the free space runs out, or writes hang.
#[derive(Clone, Default)]
struct FaultyStore {
    create_fails: Arc<AtomicBool>,
    free_bytes: Arc<AtomicUsize>,
    writes_hang: Arc<AtomicBool>,
    files: Arc<Mutex<Vec<Vec<u8>>>>,
}

struct FaultyFile(FaultyStore, usize);

impl Write for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.0.writes_hang.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let free_bytes = self.0.free_bytes.load(Ordering::Relaxed);
        if free_bytes == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // A disk that fills up writes only part of the buffer.
        let written_bytes = bytes.len().min(free_bytes);
        self.0
            .free_bytes
            .store(free_bytes - written_bytes, Ordering::Relaxed);
        self.0.files.lock().unwrap()[self.1].extend(&bytes[..written_bytes]);
        Ok(written_bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl FileStore for FaultyStore {
    fn create(&mut self, _: u64) -> io::Result<Box<dyn Write>> {
        if self.create_fails.load(Ordering::Relaxed) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let mut files = self.files.lock().unwrap();
        files.push(Vec::new());
        Ok(Box::new(FaultyFile(self.clone(), files.len() - 1)))
    }

    fn remove(&mut self, _: u64) -> io::Result<()> {
        Ok(())
    }
}

const LARGE_LIMITS: Limits = Limits {
    file_bytes: 1 << 40,
    files: 4,
};

#[test]
fn recording_resumes_after_a_disk_failure() {
    let disk = FaultyStore::default();
    disk.free_bytes.store(5_000, Ordering::Relaxed);
    let recorder = Recorder::start(disk.clone(), LARGE_LIMITS, "test").unwrap();
    let frame = thrift::process(1, &[("route", "check")], &[7; 700]);
    let connection = recorder.connection(address(40_000), address(5050));
    let value = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    let (mut recorded, mut iterations) = (0u64, 0);
    // The disk is full after a few messages; once it has free space again, later messages are in a new file.
    while value(&recorder.counters().files) < 2 || value(&recorder.counters().errors) < 1 {
        connection.record(Side::Client, &frame);
        recorded += 1;
        iterations += 1;
        if value(&recorder.counters().errors) > 0 {
            disk.free_bytes.store(1 << 30, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(5));
        assert!(
            iterations < 4_000,
            "recording did not resume after the disk failure: {}",
            recorder.counters().line()
        );
    }
    drop(connection);
    let counters = recorder.counters();
    assert!(
        value(&counters.lost_disk) > 0 && value(&counters.lost_queue) == 0,
        "{}",
        counters.line()
    );
    let lost = value(&counters.lost_disk);
    drop(recorder);
    let files = disk.files.lock().unwrap();
    let found: u64 = files
        .iter()
        .map(|file| read(&file[..], |_| {}).tickets.calls)
        .sum();
    // Messages not counted as lost are in the files, except those lost in the failed write itself.
    assert!(
        found <= recorded && found + lost + 1 >= recorded.saturating_sub(8),
        "{found} {lost} {recorded}"
    );
}

#[test]
fn recording_does_not_block_while_the_disk_hangs() {
    let disk = FaultyStore::default();
    disk.free_bytes.store(1 << 30, Ordering::Relaxed);
    disk.writes_hang.store(true, Ordering::Relaxed);
    let recorder = Recorder::start(disk.clone(), LARGE_LIMITS, "test").unwrap();
    let connection = recorder.connection(address(40_000), address(5050));
    let frame = thrift::process(1, &[("route", "check")], &[7; 700]);
    // Far more messages than the queue holds: if `record` waited for the hanging disk, the loop would never end.
    for _ in 0..50_000 {
        connection.record(Side::Client, &frame);
    }
    let lost = recorder.counters().lost_queue.load(Ordering::Relaxed);
    assert!(lost > 40_000, "{}", recorder.counters().line());
    disk.writes_hang.store(false, Ordering::Relaxed);
    drop(connection);
    drop(recorder);
    let files = disk.files.lock().unwrap();
    assert_eq!(read(&files[0][..], |_| {}).tickets.calls, 50_000 - lost);
}

#[test]
fn oldest_files_are_removed_and_a_missing_directory_counts_as_an_error() {
    let temp_dir = tempfile::tempdir().unwrap();
    let capture_dir = temp_dir.path().join("records");
    std::fs::create_dir(&capture_dir).unwrap();
    let directory = Directory {
        path: capture_dir.clone(),
        name: "n1".into(),
        start: 9,
    };
    let recorder = Recorder::start(
        directory,
        Limits {
            file_bytes: 4_000,
            files: 2,
        },
        "test",
    )
    .unwrap();
    let connection = recorder.connection(address(40_000), address(5050));
    for seq in 1..=40 {
        connection.record(
            Side::Client,
            &thrift::process(seq, &[("route", "check")], &[7; 700]),
        );
    }
    drop(connection);
    drop(recorder);
    let mut names: Vec<_> = std::fs::read_dir(&capture_dir)
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(
        names
            .iter()
            .all(|name| name.starts_with("n1-9-0000") && name.ends_with(".pcapng")),
        "{names:?}"
    );
    std::fs::remove_dir_all(&capture_dir).unwrap();
    let directory = Directory {
        path: capture_dir,
        name: "n1".into(),
        start: 10,
    };
    let recorder = Recorder::start(directory, LARGE_LIMITS, "test").unwrap();
    let connection = recorder.connection(address(40_000), address(5050));
    connection.record(Side::Client, b"lost");
    drop(connection);
    let counters = recorder.counters();
    while counters.errors.load(Ordering::Relaxed) == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(counters.files.load(Ordering::Relaxed), 0);
}
