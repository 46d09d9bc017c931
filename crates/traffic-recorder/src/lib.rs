//! Records a program's own traffic as pcapng files.
//!
//! A program hands over each message that passes a connection ([`ConnectionRecorder::record`]); a thread of the recorder's
//! own makes packets of them and writes files. Between the two is a queue that is bounded in messages and bytes: where
//! the disk is slow, full or gone, messages are lost and counted, and nobody waits.
//!
//! | module | job |
//! | --- | --- |
//! | [`rotation`] | decides, without I/O, what is written to which file |
//! | [`file_store`] | the files, through a trait that tests make fail |
//! | `writer` | the thread that carries out the decisions |
//! | [`counters`] | what was written and what was lost |

pub mod counters;
pub mod file_store;
pub mod rotation;
mod writer;

pub use counters::Counters;
pub use rotation::Side;

use file_store::FileStore;
use rainstand_capture::packet::End;
use rotation::{RecordedMessage, Rotation};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::{sync_channel, SyncSender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use writer::Writer;

/// Messages that wait for the writer: some tenths of a second of a busy node.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 8_192;
/// Bytes that wait for the writer: an eighth of a node's memory.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// How long the writer has at the end to write what is queued.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Between polls for the writer's end.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// How much of a recording is retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of one file, exceeded by one message at most.
    pub file_bytes: u64,
    /// Files that are retained; the oldest is removed.
    pub files: u64,
}

/// A recording. Dropping it ends the recording; what is queued is written if the disk takes it within 500 ms.
pub struct Recorder {
    queue: Option<SyncSender<RecordedMessage>>,
    writer: Option<JoinHandle<()>>,
    counters: Arc<Counters>,
    next_connection: Cell<u64>,
}

impl Recorder {
    /// Starts the writer; `program` is named in each file's header.
    ///
    /// # Errors
    /// No thread could be started.
    pub fn start(
        store: impl FileStore + Send + 'static,
        limits: Limits,
        program: &str,
    ) -> std::io::Result<Rc<Self>> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_MESSAGES);
        let counters = Arc::new(Counters::default());
        let writer_counters = counters.clone();
        let rotation = Rotation::new(limits, rainstand_capture::write::head(program));
        let thread = std::thread::Builder::new().name("recorder".into());
        let writer =
            thread.spawn(move || Writer::new(store, rotation, &writer_counters).run(&receiver))?;
        Ok(Rc::new(Self {
            queue: Some(sender),
            writer: Some(writer),
            counters,
            next_connection: Cell::new(0),
        }))
    }

    /// The counters of this recording.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Begins the recording of one connection.
    pub fn connection(
        self: &Rc<Self>,
        client: SocketAddr,
        server: SocketAddr,
    ) -> ConnectionRecorder {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        ConnectionRecorder {
            recorder: self.clone(),
            number,
            ends: [client, server].map(|address| End::new(address.ip(), address.port())),
            sent_bytes: [Cell::new(0), Cell::new(0)],
        }
    }

    /// Queues a message, or counts it as lost.
    fn enqueue(&self, message: RecordedMessage) {
        let bytes = message.bytes.len();
        let queued = self
            .counters
            .queued_bytes
            .fetch_add(bytes, Ordering::Relaxed);
        let fits = queued + bytes <= MAX_QUEUED_BYTES;
        let accepted = fits
            && self
                .queue
                .as_ref()
                .is_some_and(|queue| queue.try_send(message).is_ok());
        if !accepted {
            self.counters
                .queued_bytes
                .fetch_sub(bytes, Ordering::Relaxed);
            self.counters.lost_queue.fetch_add(1, Ordering::Relaxed);
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
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !writer.is_finished() && Instant::now() < deadline {
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        if writer.is_finished() {
            // A writer that panicked has nothing more to report.
            let _ = writer.join();
        }
    }
}

/// The recording of one connection; dropping it records the connection's end.
pub struct ConnectionRecorder {
    recorder: Rc<Recorder>,
    number: u64,
    ends: [End; 2],
    /// Bytes of each side so far, lost ones included: a gap in the file is as long as what is missing.
    sent_bytes: [Cell<u64>; 2],
}

impl ConnectionRecorder {
    /// Records a complete message of one side, as it passed the socket.
    pub fn record(&self, side: Side, bytes: &[u8]) {
        let sent = &self.sent_bytes[side as usize];
        let offset = sent.replace(sent.get() + bytes.len() as u64);
        self.enqueue(side, offset, bytes.into(), false);
    }

    fn enqueue(&self, side: Side, offset: u64, bytes: Box<[u8]>, is_end: bool) {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.recorder.enqueue(RecordedMessage {
            at_ns: since_epoch.as_nanos() as u64,
            connection: self.number,
            ends: self.ends,
            side,
            offset,
            bytes,
            is_end,
        });
    }
}

impl Drop for ConnectionRecorder {
    fn drop(&mut self) {
        let offset = self.sent_bytes[Side::Client as usize].get();
        self.enqueue(Side::Client, offset, Box::default(), true);
    }
}
