//! Which answers of a connection have not reached the client yet.
//!
//! An answer has arrived when the client's system acknowledged its last byte. Answers are known by where they end in the
//! bytes of the stream; those that have arrived are forgotten from time to time, so that the list stays as long as what
//! the system and the connection hold.

use rainstand_lingering_close::unacknowledged_bytes;
use std::collections::VecDeque;
use tokio::net::TcpStream;

/// Frames that are remembered before it is asked which of them have arrived.
const MIN_FRAMES_BEFORE_PRUNING: usize = 64;

/// Where a frame lies in the bytes of the stream.
#[derive(Clone, Copy)]
struct FramePosition {
    start: u64,
    /// Just past its last byte.
    end: u64,
    is_answer: bool,
}

/// Frames of one connection that may not have arrived.
pub(super) struct UndeliveredFrames {
    frames: VecDeque<FramePosition>,
    /// Bytes that were queued on the connection since its opening.
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
    /// Bytes that were queued since the opening.
    pub(super) fn queued_bytes(&self) -> u64 {
        self.queued_bytes
    }

    /// A frame was queued.
    pub(super) fn on_queued(&mut self, frame_bytes: usize, is_answer: bool) {
        let start = self.queued_bytes;
        self.queued_bytes += frame_bytes as u64;
        self.frames.push_back(FramePosition {
            start,
            end: self.queued_bytes,
            is_answer,
        });
    }

    /// Forgets what has arrived, if many frames are remembered; `unwritten`: bytes that the system did not take yet.
    pub(super) fn prune(&mut self, stream: &TcpStream, unwritten: usize) {
        if self.frames.len() < self.prune_at {
            return;
        }
        self.forget_arrived(stream, unwritten);
        self.prune_at = (2 * self.frames.len()).max(MIN_FRAMES_BEFORE_PRUNING);
        self.frames.shrink_to(self.prune_at);
    }

    /// Answers that have not arrived.
    pub(super) fn count_answers(&mut self, stream: &TcpStream, unwritten: usize) -> u64 {
        self.forget_arrived(stream, unwritten);
        let answers = self.frames.iter().filter(|frame| frame.is_answer);
        answers.count() as u64
    }

    /// Bytes at the end of the stream that belong to frames of which the system took nothing.
    pub(super) fn unbegun_bytes(&self, unwritten: usize) -> usize {
        let written = self.queued_bytes - unwritten as u64;
        let unbegun = self.frames.iter().find(|frame| frame.start >= written);
        unbegun.map_or(0, |frame| self.queued_bytes.saturating_sub(frame.start)) as usize
    }

    /// The last bytes of the stream were taken back; their frames stay undelivered.
    pub(super) fn on_dropped(&mut self, dropped_bytes: usize) {
        self.queued_bytes -= dropped_bytes as u64;
    }

    fn forget_arrived(&mut self, stream: &TcpStream, unwritten: usize) {
        let written = self.queued_bytes - unwritten as u64;
        let arrived = written.saturating_sub(unacknowledged_bytes(stream).unwrap_or(0));
        while self
            .frames
            .front()
            .is_some_and(|frame| frame.end <= arrived)
        {
            self.frames.pop_front();
        }
    }
}
