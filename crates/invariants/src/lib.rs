//! The four rules as a checker that any run reports to, step by step: a forwarder's tests on loopback, a simulated
//! fleet, a model of ten thousand nodes. It knows no sockets and no clock; whoever runs passes in what happened.
//!
//! | rule | what breaks it here |
//! | --- | --- |
//! | 1, no request lost | no answer by its deadline, a second answer, an answer to nothing that was requested |
//! | 2, no effect twice | a second unmarked run of a request with a key, any second run of a non-idempotent one, rejected though it ran |
//! | 3, safe drain | a front that is gone while requests there are unanswered |
//! | 4, nothing falls over | anything measured past its bound, retries past their budget |
//!
//! The first violation is returned at once and stored, with the steps of the request that led to it.
//!
//! Invariant: `open` is the number of requests that have neither an answer nor a caller that left; the steps stored
//! of one request are at most [`MAX_STEPS`], so the memory of a long run grows with its requests alone.
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
