//! What was said is in the files, each file readable alone; a disk that fails costs records only.

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
        at_ns: 1_700_000_000_000_000_000 + offset,
        connection,
        ends,
        side,
        offset,
        bytes: bytes.into(),
        is_end,
    }
}

/// Runs messages through the rotation into files in memory.
fn files(limits: Limits, messages: &[RecordedMessage]) -> Vec<(u64, Vec<u8>)> {
    let mut rotation = Rotation::new(limits, rainstand_capture::write::head("test"));
    let mut kept: Vec<(u64, Vec<u8>)> = Vec::new();
    for message in messages {
        for action in rotation.on_message(message) {
            match action {
                FileAction::Open(FileNumber(number)) => kept.push((number, Vec::new())),
                FileAction::Remove(FileNumber(number)) => kept.retain(|(one, _)| *one != number),
                FileAction::Write(bytes) => kept.last_mut().unwrap().1.extend(bytes),
            }
        }
    }
    kept
}

/// Calls and answers on some connections: `lost` leaves messages out.
fn talk(
    seed: u64,
    connections: u64,
    calls: i32,
    lost: impl Fn(&mut WyRand) -> bool,
) -> (Vec<RecordedMessage>, usize) {
    let mut chance = WyRand::new_seed(seed);
    let mut said = vec![[0u64; 2]; connections as usize];
    let (mut messages, mut kept_calls) = (Vec::new(), 0);
    for seq in 1..=calls {
        for connection in 0..connections {
            let body: Vec<u8> = (0..chance.generate_range(0..3_000usize))
                .map(|_| chance.generate())
                .collect();
            let frames = [
                thrift::process(seq, &[("route", "check")], &body),
                thrift::answer(b"process", seq, &body, true),
            ];
            for (side, frame) in [Side::Client, Side::Server].into_iter().zip(&frames) {
                let offset = &mut said[connection as usize][side as usize];
                if !lost(&mut chance) {
                    messages.push(message(connection, side, *offset, frame, false));
                    kept_calls += usize::from(side == Side::Client);
                }
                *offset += frame.len() as u64;
            }
        }
    }
    messages.extend((0..connections).map(|connection| {
        message(
            connection,
            Side::Client,
            said[connection as usize][0],
            b"",
            true,
        )
    }));
    (messages, kept_calls)
}

#[test]
fn every_file_can_be_read_alone() {
    let (messages, calls) = talk(1, 7, 60, |_| false);
    let all = files(
        Limits {
            file_bytes: 60_000,
            files: 1_000,
        },
        &messages,
    );
    assert!(all.len() > 10, "{} files", all.len());
    let (mut found, mut alone, mut honoured) = (0, 0, 0);
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
        honoured += summary.tickets.honoured as usize;
        alone += summary.tickets.answers_alone as usize;
    }
    // A call in one file may have its answer in the next.
    assert_eq!((found, honoured + alone), (calls, calls));
    let few = files(
        Limits {
            file_bytes: 60_000,
            files: 3,
        },
        &messages,
    );
    assert_eq!(few, all[all.len() - 3..]);
}

#[test]
fn lost_messages_cost_their_own_requests_only() {
    for seed in 0..40 {
        let (messages, calls) = talk(seed, 3, 40, |chance| chance.generate_range(0..6u8) == 0);
        let all = files(
            Limits {
                file_bytes: u64::MAX,
                files: 1,
            },
            &messages,
        );
        let mut gone = 0;
        let summary = read(&all[0].1[..], |event| {
            if let Event::Ticket(ticket) = event {
                gone += u64::from(ticket.outcome == Outcome::Gone);
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
fn a_file_that_ends_anywhere_reads_up_to_its_last_whole_block() {
    let (messages, _) = talk(3, 2, 3, |_| false);
    let (_, file) = files(
        Limits {
            file_bytes: u64::MAX,
            files: 1,
        },
        &messages,
    )
    .remove(0);
    let mut before = 0;
    for cut in (0..=file.len()).step_by(7) {
        let calls = read(&file[..cut], |_| {}).tickets.calls;
        assert!(calls >= before);
        before = calls;
    }
    assert_eq!(read(&file[..], |_| {}).tickets.honoured, 6);
}

/// A disk that fails as told: no file, no room after some bytes, or writes that hang.
#[derive(Clone, Default)]
struct Faulty {
    no_file: Arc<AtomicBool>,
    room: Arc<AtomicUsize>,
    hangs: Arc<AtomicBool>,
    files: Arc<Mutex<Vec<Vec<u8>>>>,
}

struct FaultyFile(Faulty, usize);

impl Write for FaultyFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.0.hangs.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(1));
        }
        let room = self.0.room.load(Ordering::Relaxed);
        if room == 0 {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // A full disk takes a part of what it is given.
        let taken = bytes.len().min(room);
        self.0.room.store(room - taken, Ordering::Relaxed);
        self.0.files.lock().unwrap()[self.1].extend(&bytes[..taken]);
        Ok(taken)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl FileStore for Faulty {
    fn create(&mut self, _: u64) -> io::Result<Box<dyn Write>> {
        if self.no_file.load(Ordering::Relaxed) {
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

const WIDE: Limits = Limits {
    file_bytes: 1 << 40,
    files: 4,
};

#[test]
fn a_disk_that_fails_costs_records_and_is_tried_again() {
    let disk = Faulty::default();
    disk.room.store(5_000, Ordering::Relaxed);
    let recorder = Recorder::start(disk.clone(), WIDE, "test").unwrap();
    let frame = thrift::process(1, &[("route", "check")], &[7; 700]);
    let connection = recorder.connection(address(40_000), address(5050));
    let of = |count: &std::sync::atomic::AtomicU64| count.load(Ordering::Relaxed);
    let (mut handed, mut round) = (0u64, 0);
    // Full after some messages; then there is room again, and later ones are in a file of their own.
    while of(&recorder.counters().files) < 2 || of(&recorder.counters().errors) < 1 {
        connection.record(Side::Client, &frame);
        handed += 1;
        round += 1;
        if of(&recorder.counters().errors) > 0 {
            disk.room.store(1 << 30, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(5));
        assert!(
            round < 4_000,
            "it is not tried again: {}",
            recorder.counters().line()
        );
    }
    drop(connection);
    let counters = recorder.counters();
    assert!(
        of(&counters.lost_disk) > 0 && of(&counters.lost_queue) == 0,
        "{}",
        counters.line()
    );
    let lost = of(&counters.lost_disk);
    drop(recorder);
    let files = disk.files.lock().unwrap();
    let found: u64 = files
        .iter()
        .map(|file| read(&file[..], |_| {}).tickets.calls)
        .sum();
    // What is not counted as lost is there, but for what the failing write itself took along.
    assert!(
        found <= handed && found + lost + 1 >= handed.saturating_sub(8),
        "{found} {lost} {handed}"
    );
}

#[test]
fn a_disk_that_hangs_never_holds_up_who_hands_over() {
    let disk = Faulty::default();
    disk.room.store(1 << 30, Ordering::Relaxed);
    disk.hangs.store(true, Ordering::Relaxed);
    let recorder = Recorder::start(disk.clone(), WIDE, "test").unwrap();
    let connection = recorder.connection(address(40_000), address(5050));
    let frame = thrift::process(1, &[("route", "check")], &[7; 700]);
    // Far more than the queue holds; with a disk that never answers this would never end if it waited.
    for _ in 0..50_000 {
        connection.record(Side::Client, &frame);
    }
    let lost = recorder.counters().lost_queue.load(Ordering::Relaxed);
    assert!(lost > 40_000, "{}", recorder.counters().line());
    disk.hangs.store(false, Ordering::Relaxed);
    drop(connection);
    drop(recorder);
    let files = disk.files.lock().unwrap();
    assert_eq!(read(&files[0][..], |_| {}).tickets.calls, 50_000 - lost);
}

#[test]
fn files_in_a_folder_and_a_folder_that_goes() {
    let folder = tempfile::tempdir().unwrap();
    let inner = folder.path().join("records");
    std::fs::create_dir(&inner).unwrap();
    let directory = Directory {
        path: inner.clone(),
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
    let mut names: Vec<_> = std::fs::read_dir(&inner)
        .unwrap()
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    names.sort();
    assert_eq!(names.len(), 2, "{names:?}");
    assert!(
        names
            .iter()
            .all(|name| name.starts_with("n1-9-0000") && name.ends_with(".pcapng")),
        "{names:?}"
    );
    std::fs::remove_dir_all(&inner).unwrap();
    let directory = Directory {
        path: inner,
        name: "n1".into(),
        start: 10,
    };
    let recorder = Recorder::start(directory, WIDE, "test").unwrap();
    let connection = recorder.connection(address(40_000), address(5050));
    connection.record(Side::Client, b"lost");
    drop(connection);
    let counters = recorder.counters();
    while counters.errors.load(Ordering::Relaxed) == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(counters.files.load(Ordering::Relaxed), 0);
}
