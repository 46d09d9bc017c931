//! Records the events of one test run for the invariant checker: servers record runs, callers record requests and
//! answers. A request is identified by its `trace`, sixteen hexadecimal digits.

use rainstand_invariants::{Answer, InvariantChecker, Kind, Step, Tally, Violation};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Number of low bits of a trace, which differ between the attempts of one request.
const ATTEMPT_BITS: u32 = 16;

/// A recorder shared by all servers and callers of one test run.
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

/// Extracts the request number from a trace; `None` if the trace has another format.
pub fn request_number(trace: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(trace).ok()?;
    Some(u64::from_str_radix(text, 16).ok()? >> ATTEMPT_BITS)
}

/// The trace of a request's first attempt.
pub fn trace(request: u64) -> String {
    format!("{:016x}", request << ATTEMPT_BITS)
}

impl InvariantRecorder {
    /// Time since the recorder was created; the checker's clock.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The checker in its present state, for checks that only some runs make.
    pub fn checker(&self) -> MutexGuard<'_, InvariantChecker> {
        self.checker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a step. The checker retains a violation until [`Self::finish`], so that the connection on which it was
    /// seen goes on.
    fn record(&self, request: u64, step: Step) {
        let now = self.now();
        let _ = self.checker().record(now, request, step);
    }

    /// Records that a caller sends a request; its answer is due after `timeout`.
    pub fn on_request(&self, request: u64, kind: Kind, timeout: Duration) {
        let step = Step::Asked {
            kind,
            due: self.now() + timeout,
            front: 0,
        };
        self.record(request, step);
    }

    /// Records that server number `server` runs an attempt; a trace in another format is ignored.
    pub fn on_run(&self, trace: &[u8], server: u32, is_retry: bool) {
        if let Some(request) = request_number(trace) {
            let step = Step::Ran {
                on: server,
                marked: is_retry,
            };
            self.record(request, step);
        }
    }

    /// Records that a caller reads an answer.
    pub fn on_answer(&self, request: u64, answer: Answer) {
        self.record(request, Step::Answered(answer));
    }

    /// Records that a caller no longer waits for a request.
    pub fn on_caller_gone(&self, request: u64) {
        self.record(request, Step::Left);
    }

    /// Ends the run.
    ///
    /// # Errors
    /// The first violation of an invariant.
    pub fn finish(&self) -> Result<Tally, Violation> {
        let now = self.now();
        self.checker().finish(now)
    }
}
