//! The idempotency keys of one shard: a state machine that the commands of the shard's log drive.
//!
//! | state of a key | how it came about | outcome of a start with the same fingerprint |
//! | --- | --- | --- |
//! | absent | never requested, or expired | granted |
//! | started by a claim | a start was granted | granted (same claim), in progress (another claim) |
//! | completed | its run's result was recorded | completed, with the result |
//! | indeterminate | its run ended without a result | indeterminate |
//! | withdrawn | its start was withdrawn before a launch | granted, except for the withdrawn claims |
//!
//! A start with another fingerprint (body, request class or tenant) is a key mismatch in every state but absent and
//! withdrawn. All expiry goes by the log's time, so that every replica expires a key at the same entry.

mod command;
mod key_state;
mod table;

pub use command::{Claim, ClaimOutcome, Command, Operation, Register, Start};
pub use key_state::KeyState;
pub use table::IdempotencyTable;
