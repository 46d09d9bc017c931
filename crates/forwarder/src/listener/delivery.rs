//! Tracks which answers of a connection have not reached the client yet.
//!
//! An answer is delivered when the client's kernel has acknowledged its last byte. Answers are tracked by their end
//! offset in the stream; delivered ones are removed from time to time, so that the list is bounded by what the kernel's
//! and the connection's buffers hold.

use rainstand_lingering_close::unacknowledged_bytes;
use std::collections::VecDeque;
use tokio::net::TcpStream;

/// Number of tracked frames from which on delivered ones are looked for and removed.
const MIN_FRAMES_BEFORE_PRUNING: usize = 64;

/// Byte offsets of a frame in the stream.
#[derive(Clone, Copy)]
struct FramePosition {
    start: u64,
    /// Exclusive.
    end: u64,
    is_answer: bool,
}

/// Frames of one connection that may not be delivered.
pub(super) struct UndeliveredFrames {
    frames: VecDeque<FramePosition>,
    /// Bytes queued on the connection since it was opened.
    queued_bytes: u64,
    prune_at: usize,
}

impl Default for UndeliveredFrames {
    fn default() -> Self {
        Self {
            frames: VecDeque::new(),
            queued_bytes: 0,
            prune_at: MIN_FRAMES_BEFORE_PRUNING,
        }
    }
}

impl UndeliveredFrames {
    /// Bytes queued since the connection was opened.
    pub(super) fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// Records a queued frame.
    pub(super) fn on_queued(&mut self, frame_bytes: usize, is_answer: bool) {
        let start = self.queued_bytes;
        self.queued_bytes += frame_bytes as u64;
        self.frames.push_back(FramePosition {
            start,
            end: self.queued_bytes,
            is_answer,
        });
    }

    /// Removes delivered frames if many are tracked; `unwritten`: queued bytes that the kernel has not accepted yet.
    pub(super) fn prune(&mut self, stream: &TcpStream, unwritten: usize) {
        if self.frames.len() < self.prune_at {
            return;
        }
        self.remove_delivered(stream, unwritten);
        self.prune_at = (2 * self.frames.len()).max(MIN_FRAMES_BEFORE_PRUNING);
        self.frames.shrink_to(self.prune_at);
    }

    /// Number of answers that are not delivered.
    pub(super) fn count_answers(&mut self, stream: &TcpStream, unwritten: usize) -> u64 {
        self.remove_delivered(stream, unwritten);
        let answers = self.frames.iter().filter(|frame| frame.is_answer);
        answers.count() as u64
    }

    /// Bytes at the end of the stream that belong to frames of which the kernel has accepted nothing.
    pub(super) fn unstarted_bytes(&self, unwritten: usize) -> usize {
        let written = self.queued_bytes - unwritten as u64;
        let unstarted = self.frames.iter().find(|frame| frame.start >= written);
        unstarted.map_or(0, |frame| self.queued_bytes.saturating_sub(frame.start)) as usize
    }

    /// Records that the last bytes of the stream were dropped from the queue; their frames remain undelivered.
    pub(super) fn on_dropped(&mut self, dropped_bytes: usize) {
        self.queued_bytes -= dropped_bytes as u64;
    }

    fn remove_delivered(&mut self, stream: &TcpStream, unwritten: usize) {
        let written = self.queued_bytes - unwritten as u64;
        let delivered = written.saturating_sub(unacknowledged_bytes(stream).unwrap_or(0));
        while self
            .frames
            .front()
            .is_some_and(|frame| frame.end <= delivered)
        {
            self.frames.pop_front();
        }
    }
}
