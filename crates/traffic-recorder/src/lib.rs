//! Records a program's own traffic as pcapng files.
//!
//! A program passes each message of a connection to [`ConnectionRecorder::record`]; the recorder's writer thread turns
//! the messages into packets and writes them to files. The queue between them is bounded in messages and bytes: if the
//! disk is slow, full or missing, messages are dropped and counted, and recording never blocks.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`rotation`] | decides, without I/O, what is written to which file |
//! | [`file_store`] | access to the files, through a trait that lets tests inject failures |
//! | `writer` | the thread that executes the decisions |
//! | [`counters`] | counts of written and lost messages, files and errors |

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

/// Maximum number of queued messages: a few tenths of a second of traffic at a busy node.
pub(crate) const MAX_QUEUED_MESSAGES: usize = 8_192;
/// Maximum number of queued bytes: an eighth of a node's memory.
const MAX_QUEUED_BYTES: usize = 4 << 20;
/// How long dropping a [`Recorder`] waits for the writer to write the queued messages.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which dropping a [`Recorder`] checks whether the writer has finished.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Limits on the size and number of the files retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum bytes of one file, exceeded by at most one message.
    pub file_bytes: u64,
    /// Maximum number of files; beyond it, the oldest is removed.
    pub files: u64,
}

/// A recording. Dropping it ends the recording and allows 500 ms for the queued messages to be written.
pub struct Recorder {
    queue: Option<SyncSender<RecordedMessage>>,
    writer: Option<JoinHandle<()>>,
    counters: Arc<Counters>,
    next_connection: Cell<u64>,
}

impl Recorder {
    /// Starts the writer thread; each file's header contains the name `program`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(
        store: impl FileStore + Send + 'static,
        limits: Limits,
        program: &str,
    ) -> std::io::Result<Rc<Self>> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_MESSAGES);
        let counters = Arc::new(Counters::default());
        let writer_counters = counters.clone();
        let rotation = Rotation::new(limits, rainstand_capture::write::head(program));
        let builder = std::thread::Builder::new().name("recorder".into());
        let writer =
            builder.spawn(move || Writer::new(store, rotation, &writer_counters).run(&receiver))?;
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

    /// Starts recording one connection.
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
        // Keeps a hanging disk from blocking the program's exit: messages not written by the deadline are lost.
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !writer.is_finished() && Instant::now() < deadline {
            std::thread::sleep(SHUTDOWN_POLL_INTERVAL);
        }
        if writer.is_finished() {
            // The result is ignored: a writer that panicked has nothing more to report.
            let _ = writer.join();
        }
    }
}

/// Records one connection; dropping it records the end of the connection.
pub struct ConnectionRecorder {
    recorder: Rc<Recorder>,
    number: u64,
    ends: [End; 2],
    /// Bytes sent by each side so far, including lost ones, so that a gap in the file has the length of the lost data.
    sent_bytes: [Cell<u64>; 2],
}

impl ConnectionRecorder {
    /// Records a complete message sent by one side, with the bytes as sent on the socket.
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
            timestamp_ns: since_epoch.as_nanos() as u64,
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
