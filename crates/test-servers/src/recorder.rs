//! Records what the peers of one run see for the checker of the four rules: servers what ran, callers what they sent and
//! what they were answered. Requests are identified by their `trace`, sixteen hexadecimal digits.

use rainstand_invariants::{Answer, InvariantChecker, Kind, Step, Tally, Violation};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Low bits of a trace, which differ between the attempts of one request.
const ATTEMPT_BITS: u32 = 16;

/// A recorder that all peers of one run share.
#[derive(Clone)]
pub struct InvariantRecorder {
    checker: Arc<Mutex<InvariantChecker>>,
    start: Instant,
}

impl Default for InvariantRecorder {
    fn default() -> Self {
        Self {
            checker: Arc::default(),
            start: Instant::now(),
        }
    }
}

/// A request's number from its trace; `None` for a trace that is not of this form.
pub fn request_number(trace: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(trace).ok()?;
    Some(u64::from_str_radix(text, 16).ok()? >> ATTEMPT_BITS)
}

/// The trace of a request's first attempt.
pub fn trace(request: u64) -> String {
    format!("{:016x}", request << ATTEMPT_BITS)
}

impl InvariantRecorder {
    /// Time since the recorder was made, as the checker counts it.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The checker as it stands, for what only some runs check.
    pub fn checker(&self) -> MutexGuard<'_, InvariantChecker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A violation is retained and reported at the end: the peer that saw it is in the middle of a conversation.
    fn record(&self, request: u64, step: Step) {
        let now = self.now();
        let _ = self.checker().record(now, request, step);
    }

    /// A caller sends a request; its answer is due after `timeout`.
    pub fn on_request(&self, request: u64, kind: Kind, timeout: Duration) {
        let asked = Step::Asked {
            kind,
            due: self.now() + timeout,
            front: 0,
        };
        self.record(request, asked);
    }

    /// Server number `server` runs an attempt. A trace that is of no request is ignored.
    pub fn on_run(&self, trace: &[u8], server: u32, is_retry: bool) {
        if let Some(request) = request_number(trace) {
            let ran = Step::Ran {
                on: server,
                marked: is_retry,
            };
            self.record(request, ran);
        }
    }

    /// A caller reads an answer.
    pub fn on_answer(&self, request: u64, answer: Answer) {
        self.record(request, Step::Answered(answer));
    }

    /// A caller does not wait for a request any more.
    pub fn on_caller_gone(&self, request: u64) {
        self.record(request, Step::Left);
    }

    /// Ends the run.
    ///
    /// # Errors
    /// The first rule that broke.
    pub fn finish(&self) -> Result<Tally, Violation> {
        let now = self.now();
        self.checker().finish(now)
    }
}
