//! Commands of a shard's log, and their outcomes.

use crate::versions::Publish;
use bytes::Bytes;

/// Who wants to run a key: a disk, and the trace of the request there.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Claim {
    /// Disk of the member that received the request.
    #[prost(uint64, tag = "1")]
    pub holder: u64,
    /// Trace identifier of the request.
    #[prost(bytes = "bytes", tag = "2")]
    pub trace: Bytes,
}

/// A request to run a key.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Start {
    /// Hash of request class, tenant and body.
    #[prost(uint64, tag = "1")]
    pub fingerprint: u64,
    /// How long repeats are recognized, in nanoseconds of log time.
    #[prost(uint64, tag = "2")]
    pub window_ns: u64,
}

/// A named value with a version.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Register {
    /// Version; only a later one replaces the value.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The value.
    #[prost(bytes = "bytes", tag = "2")]
    pub data: Bytes,
}

/// What a command does to its key, register, or the published configuration.
#[derive(Clone, PartialEq, Eq, Hash, prost::Oneof)]
pub enum Operation {
    /// Claims the key for a run.
    #[prost(message, tag = "3")]
    Start(Start),
    /// Records the run's result.
    #[prost(bytes = "bytes", tag = "4")]
    Done(Bytes),
    /// Records that the run ended without a result and may have had its effect. The value is always true.
    #[prost(bool, tag = "5")]
    Failed(bool),
    /// Withdraws the claim: nothing was launched and nothing will be. The value is always true.
    #[prost(bool, tag = "6")]
    Withdraw(bool),
    /// Sets the register that the key names.
    #[prost(message, tag = "7")]
    Set(Register),
    /// Publishes the next version of the configuration.
    #[prost(message, tag = "8")]
    Publish(Publish),
}

/// The data of a log entry.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Command {
    /// The idempotency key, or the name of a register.
    #[prost(bytes = "bytes", tag = "1")]
    pub key: Bytes,
    /// On whose behalf.
    #[prost(message, required, tag = "2")]
    pub claim: Claim,
    /// What to do; none if a later version of the program proposed it.
    #[prost(oneof = "Operation", tags = "3, 4, 5, 6, 7, 8")]
    pub operation: Option<Operation>,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The claim holds the key: it may launch the run, and no other claim will.
    Granted,
    /// The run has completed with this result.
    Completed(Bytes),
    /// Another claim holds the key, and its run has not ended.
    InProgress,
    /// The run may have had its effect, and there will be no result.
    Indeterminate,
    /// The key is in use for another body, request class or tenant.
    KeyMismatch,
    /// This claim was withdrawn before.
    Withdrawn,
    /// The table is full.
    CapacityExceeded,
    /// The command is committed and took effect.
    Recorded,
    /// The claim does not hold the key any more, or the register has a later version.
    NotHeld,
    /// The published version was not made from the newest one; the text says which that is.
    Conflict(Bytes),
    /// The published version cannot be applied; the text says why.
    Rejected(Bytes),
}
