//! How long a connection is waited for. Pure: times come in as arguments.

use std::time::{Duration, Instant};

/// For the first whole frame from the connection's opening on, and for each later one from its first bytes on. Who
/// sends bad input must hear so within 3 s of connecting; a caller's frame comes in one piece.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// After bytes that cannot be read, for the answers that are still pending on the connection.
const PENDING_ANSWERS_TIMEOUT: Duration = Duration::from_millis(800);

/// The deadlines of what is read from one connection.
#[derive(Debug)]
pub struct ReadDeadlines {
    /// Since when the first frame is waited for: the opening, or the last check that found its request still in flight.
    first_frame_since: Instant,
    /// Since when a frame is begun and not complete.
    partial_frame_since: Option<Instant>,
    /// Once nothing more is read: when the requests still pending on the connection fail.
    answer_deadline: Option<Instant>,
}

impl ReadDeadlines {
    /// Those of a connection that was opened at this time.
    #[must_use]
    pub fn new(opened: Instant) -> Self {
        Self {
            first_frame_since: opened,
            partial_frame_since: None,
            answer_deadline: None,
        }
    }

    /// By when a complete frame must be there: the first on a connection on which nothing was served yet, else the
    /// one that was begun, if any.
    #[must_use]
    pub fn frame_deadline(&self, is_known: bool) -> Option<Instant> {
        let since = if is_known {
            self.partial_frame_since
        } else {
            Some(self.first_frame_since)
        };
        since.map(|since| since + FRAME_TIMEOUT)
    }

    /// By when what is pending fails, once nothing more is read.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Instant> {
        self.answer_deadline
    }

    /// Bytes came: `starts_frame` if a frame begins with them, `all_consumed` if none of them is left unread.
    pub fn on_bytes(&mut self, now: Instant, starts_frame: bool, all_consumed: bool) {
        self.partial_frame_since = if all_consumed {
            None
        } else {
            self.partial_frame_since
                .filter(|_| !starts_frame)
                .or(Some(now))
        };
    }

    /// The first request is still in flight: its frame counts as awaited from now on.
    pub fn extend_first_frame(&mut self, now: Instant) {
        self.first_frame_since = now;
    }

    /// Nothing more is read: from here on only pending answers are waited for.
    pub fn stop_reading(&mut self, now: Instant) {
        self.answer_deadline = Some(now + PENDING_ANSWERS_TIMEOUT);
    }

    /// What was pending has failed.
    pub fn clear_answer_deadline(&mut self) {
        self.answer_deadline = None;
    }
}
