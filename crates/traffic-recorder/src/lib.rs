//! Recording a program's own traffic as pcapng.
//!
//! A program hands over each message that passes a connection ([`Tape::said`]); a thread of the recorder's
//! own makes packets of them and writes files. Between the two stands a queue bounded in messages and bytes:
//! where the disk is slow, full or gone, messages are lost and counted, and nobody waits.
//!
//! | module | job |
//! | --- | --- |
//! | [`pages`] | decides, without I/O, what is written where: openings, holes, when a file is full, which goes |
//! | [`disk`] | files, through a trait that tests make fail |

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod disk;
pub mod pages;

use disk::Disk;
use pages::{Do, Line, Page, Pages};
use rainstand_capture::packet::End;
use std::cell::Cell;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TryRecvError};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Messages that wait for the writer: some tenths of a second of a busy node.
const MOST_MESSAGES: usize = 8_192;
/// Bytes that wait for the writer: an eighth of what a node may use.
const MOST_BYTES: usize = 4 << 20;
/// The writer looks for messages this often: waking it for each one would cost a ticket half of its own
/// time again. In this time the queue takes 80,000 messages a second.
const LOOK: Duration = Duration::from_millis(100);
/// And this often after a look that found many.
const LOOK_SOON: Duration = Duration::from_millis(10);
/// That many.
const MANY: usize = MOST_MESSAGES / 8;
/// Written out at least this often.
const FLUSH: Duration = Duration::from_millis(500);
/// At the end the writer has so long to write what waits.
const LAST: Duration = Duration::from_millis(500);
/// After a disk failed it is left alone for so long.
const PAUSE: Duration = Duration::from_secs(1);

/// Counters, readable at any time. What is lost is not in the files.
#[derive(Debug, Default)]
pub struct Counts {
    pub messages: AtomicU64,
    /// Lost since the queue was full.
    pub lost_queue: AtomicU64,
    /// Lost since the disk failed.
    pub lost_disk: AtomicU64,
    pub files: AtomicU64,
    pub removed: AtomicU64,
    pub errors: AtomicU64,
    waiting: AtomicUsize,
}

impl Counts {
    /// As the counters line of a program tells them.
    pub fn line(&self) -> String {
        let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "messages={} lost_queue={} lost_disk={} files={} removed={} errors={}",
            of(&self.messages),
            of(&self.lost_queue),
            of(&self.lost_disk),
            of(&self.files),
            of(&self.removed),
            of(&self.errors)
        )
    }
}

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one file, nearly.
    pub file_bytes: u64,
    /// Files that are kept; the oldest goes.
    pub files: u64,
}

/// Who hands over messages. Dropping it ends the recording, with all that waits written.
pub struct Recorder {
    queue: Option<SyncSender<Line>>,
    writer: Option<JoinHandle<()>>,
    counts: Arc<Counts>,
    next: Cell<u64>,
}

impl Recorder {
    /// Starts the writer.
    ///
    /// # Errors
    /// No thread could be started.
    pub fn start(
        disk: impl Disk + Send + 'static,
        limits: Limits,
        program: &str,
    ) -> std::io::Result<Rc<Self>> {
        let (queue, lines) = sync_channel(MOST_MESSAGES);
        let counts = Arc::new(Counts::default());
        let (theirs, head) = (counts.clone(), rainstand_capture::write::head(program));
        let writer = std::thread::Builder::new().name("recorder".into());
        let writer =
            writer.spawn(move || write(disk, Pages::new(limits, head), &lines, &theirs))?;
        Ok(Rc::new(Self {
            queue: Some(queue),
            writer: Some(writer),
            counts,
            next: Cell::new(0),
        }))
    }

    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// A connection; side 0 is who opened it.
    pub fn tape(self: &Rc<Self>, opener: SocketAddr, other: SocketAddr) -> Tape {
        let number = self.next.replace(self.next.get() + 1);
        let ends = [
            End::new(opener.ip(), opener.port()),
            End::new(other.ip(), other.port()),
        ];
        Tape {
            recorder: self.clone(),
            number,
            ends,
            said: [Cell::new(0), Cell::new(0)],
        }
    }

    fn hand_over(&self, line: Line) {
        let bytes = line.bytes.len();
        let room = self.counts.waiting.fetch_add(bytes, Ordering::Relaxed) + bytes <= MOST_BYTES;
        let taken = room
            && self
                .queue
                .as_ref()
                .is_some_and(|queue| queue.try_send(line).is_ok());
        if !taken {
            self.counts.waiting.fetch_sub(bytes, Ordering::Relaxed);
            self.counts.lost_queue.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for Recorder {
    fn drop(&mut self) {
        self.queue = None;
        let Some(writer) = self.writer.take() else {
            return;
        };
        // Guards against a disk that hangs at a program's end: what it does not take by then is lost.
        let by = Instant::now() + LAST;
        while !writer.is_finished() && Instant::now() < by {
            std::thread::sleep(Duration::from_millis(1));
        }
        if writer.is_finished() {
            // A writer that panicked has nothing more to say.
            let _ = writer.join();
        }
    }
}

/// One connection's recording; its end is told when it is dropped.
pub struct Tape {
    recorder: Rc<Recorder>,
    number: u64,
    ends: [End; 2],
    /// Bytes of each side so far, lost ones too: a hole in the file is as long as what is missing.
    said: [Cell<u64>; 2],
}

impl Tape {
    /// A whole message of one side, as it passed the socket.
    pub fn said(&self, side: usize, bytes: &[u8]) {
        let offset = self.said[side].replace(self.said[side].get() + bytes.len() as u64);
        self.line(side, offset, bytes.into(), false);
    }

    fn line(&self, side: usize, offset: u64, bytes: Box<[u8]>, over: bool) {
        let at = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_nanos() as u64;
        let Self { number, ends, .. } = *self;
        self.recorder.hand_over(Line {
            at,
            connection: number,
            ends,
            side,
            offset,
            bytes,
            over,
        });
    }
}

impl Drop for Tape {
    fn drop(&mut self) {
        self.line(0, self.said[0].get(), Box::default(), true);
    }
}

/// The writer: one file at a time, anew after each failure.
fn write(mut disk: impl Disk, mut pages: Pages, lines: &Receiver<Line>, counts: &Counts) {
    let mut file: Option<Box<dyn Write>> = None;
    let mut flushed = Instant::now();
    let mut found = 0;
    let mut not_before: Option<Instant> = None;
    loop {
        let line = match lines.try_recv() {
            Ok(line) => Some(line),
            Err(TryRecvError::Empty) => {
                std::thread::sleep(if found >= MANY { LOOK_SOON } else { LOOK });
                found = 0;
                None
            }
            Err(TryRecvError::Disconnected) => break,
        };
        if let Some(line) = line {
            found += 1;
            counts
                .waiting
                .fetch_sub(line.bytes.len(), Ordering::Relaxed);
            counts.messages.fetch_add(1, Ordering::Relaxed);
            if not_before.is_some_and(|then| Instant::now() < then) {
                counts.lost_disk.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            not_before = None;
            let mut failed = false;
            for step in pages.line(&line) {
                failed = match step {
                    Do::Open(Page(number)) => match disk.create(number) {
                        Ok(fresh) => {
                            file = Some(fresh);
                            counts.files.fetch_add(1, Ordering::Relaxed);
                            false
                        }
                        Err(_) => true,
                    },
                    Do::Remove(Page(number)) => {
                        // One that is gone already is no failure of the recording.
                        if disk.remove(number).is_ok() {
                            counts.removed.fetch_add(1, Ordering::Relaxed);
                        }
                        false
                    }
                    Do::Write(bytes) => file
                        .as_mut()
                        .is_none_or(|file| file.write_all(&bytes).is_err()),
                };
                if failed {
                    break;
                }
            }
            if failed {
                counts.errors.fetch_add(1, Ordering::Relaxed);
                counts.lost_disk.fetch_add(1, Ordering::Relaxed);
                file = None;
                pages.failed();
                not_before = Some(Instant::now() + PAUSE);
            }
        }
        if found.is_multiple_of(MANY) && flushed.elapsed() >= FLUSH {
            flushed = Instant::now();
            if file.as_mut().is_some_and(|file| file.flush().is_err()) {
                counts.errors.fetch_add(1, Ordering::Relaxed);
                file = None;
                pages.failed();
                not_before = Some(Instant::now() + PAUSE);
            }
        }
    }
    if let Some(mut file) = file {
        let _ = file.flush();
    }
}
