//! What makes a request one whose start and result a group agrees on.

use bytes::Bytes;
use rainstand_replicated_state::idempotent_request::RequestStage;
use std::time::{Duration, Instant};

/// A request's claim to its key in the group.
pub struct GroupClaim {
    /// Its class and its name, which all tries of it carry alike.
    pub key: Bytes,
    /// Over class, tenant and body: a key is never answered with the result of another request.
    pub(crate) fingerprint: u64,
    /// How long retries are told apart.
    pub(crate) window: Duration,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    pub(crate) stage: RequestStage,
    /// The number of the pending command to the group, while its start is claimed.
    pub(crate) pending_command: Option<u64>,
}

impl GroupClaim {
    /// A claim that the group was not asked for yet. `key`: the names of class and request; `parts`: what the
    /// fingerprint is over, as class, tenant and body.
    pub fn new(key: (&str, &[u8]), parts: [&[u8]; 3], window: Duration, deadline: Instant) -> Self {
        let (class, name) = key;
        let mut fingerprinted = Vec::new();
        for part in parts {
            fingerprinted.extend_from_slice(&(part.len() as u32).to_le_bytes());
            fingerprinted.extend_from_slice(part);
        }
        Self {
            key: [class.as_bytes(), b"\0", name].concat().into(),
            fingerprint: twox_hash::XxHash3_64::oneshot(&fingerprinted),
            window,
            deadline,
            stage: RequestStage::Claiming,
            pending_command: None,
        }
    }
}
