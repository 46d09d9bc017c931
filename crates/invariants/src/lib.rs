//! Checks the four invariants over the steps that any run reports: a forwarder's tests on loopback, a simulated fleet,
//! a model of ten thousand nodes. The checker has no sockets and no clock; its caller passes in each step and its time.
//!
//! | invariant | what violates it here |
//! | --- | --- |
//! | 1, no request lost | no answer by its deadline, a second answer, an answer to an unknown request |
//! | 2, no effect twice | a second unmarked run of a keyed request, any second run of a non-idempotent one, both a run and a rejection |
//! | 3, safe drain | a forwarder that has exited while requests at it are unanswered |
//! | 4, nothing exceeds its bound | a measured value above its bound, retries above their budget |
//!
//! Each violation is returned to the caller with the steps of the request that led to it; the first one is stored.
//!
//! Invariant: `open` is the number of requests that have no answer and whose caller has not disconnected. At most
//! [`MAX_STEPS`] steps are stored per request, so the memory of a long run grows only with its requests.
//!
//! ```
//! use rainstand_invariants::{Answer, InvariantChecker, Kind, Step};
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//! let mut checker = InvariantChecker::default();
//! checker.record(ms(0), 7, Step::Asked { kind: Kind::Exclusive, due: ms(900), front: 0 }).unwrap();
//! checker.record(ms(1), 7, Step::Ran { on: 3, marked: false }).unwrap();
//! let violation = checker.record(ms(2), 7, Step::Answered(Answer::Dismissed)).unwrap_err();
//! assert_eq!(violation.rule, 2);
//! assert!(violation.to_string().contains("dismissed though it ran"), "{violation}");
//! ```

mod checker;
mod step;
mod violation;

pub use checker::{InvariantChecker, Tally, MAX_STEPS};
pub use step::{Answer, Kind, Step};
pub use violation::{RecordedStep, Violation};
