//! Read deadlines of a connection. Pure: times are passed in as arguments.

use std::time::{Duration, Instant};

/// For the first complete frame, counted from the connection's opening, and for each later one, counted from its
/// first bytes. A peer that sends bad input must be notified within 3 s of connecting; callers send frames in one piece.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);

/// How long pending answers are waited for once reading has stopped, such as after unreadable bytes.
const PENDING_ANSWERS_TIMEOUT: Duration = Duration::from_millis(800);

/// The read deadlines of one connection.
#[derive(Debug)]
pub struct ReadDeadlines {
    /// Start of the wait for the first frame: the opening, or the last check that found its request still in flight.
    first_frame_since: Instant,
    /// When the first bytes of a still incomplete frame arrived.
    partial_frame_since: Option<Instant>,
    /// When pending requests on the connection fail; set once reading has stopped.
    answer_deadline: Option<Instant>,
}

impl ReadDeadlines {
    /// The deadlines of a connection that was opened at this time.
    #[must_use]
    pub fn new(opened: Instant) -> Self {
        Self {
            first_frame_since: opened,
            partial_frame_since: None,
            answer_deadline: None,
        }
    }

    /// When the next complete frame is due: the first one if nothing was served on the connection yet (`has_served`
    /// is false), else the partly received one, if any.
    #[must_use]
    pub fn frame_deadline(&self, has_served: bool) -> Option<Instant> {
        let since = if has_served {
            self.partial_frame_since
        } else {
            Some(self.first_frame_since)
        };
        since.map(|since| since + FRAME_TIMEOUT)
    }

    /// When pending requests fail, once reading has stopped.
    #[must_use]
    pub fn answer_deadline(&self) -> Option<Instant> {
        self.answer_deadline
    }

    /// Bytes arrived: `starts_frame` if a frame begins with them, `all_consumed` if no partial frame is left.
    pub fn on_bytes(&mut self, now: Instant, starts_frame: bool, all_consumed: bool) {
        self.partial_frame_since = if all_consumed {
            None
        } else {
            self.partial_frame_since
                .filter(|_| !starts_frame)
                .or(Some(now))
        };
    }

    /// The first request is still in flight: restarts the wait for the first frame.
    pub fn extend_first_frame(&mut self, now: Instant) {
        self.first_frame_since = now;
    }

    /// Reading has stopped: starts the wait for pending answers.
    pub fn stop_reading(&mut self, now: Instant) {
        self.answer_deadline = Some(now + PENDING_ANSWERS_TIMEOUT);
    }

    /// The pending requests have failed.
    pub fn clear_answer_deadline(&mut self) {
        self.answer_deadline = None;
    }
}
