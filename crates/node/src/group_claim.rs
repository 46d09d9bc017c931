//! A request's claim to its idempotency key, on whose start and result the group must agree.

use bytes::Bytes;
use rainstand_replicated_state::idempotent_request::RequestStage;
use std::time::{Duration, Instant};

/// A request's claim to its key in the group.
pub struct GroupClaim {
    /// Its class and name, the same in all its attempts.
    pub key: Bytes,
    /// Hash of class, tenant and body, so that a key is never answered with the result of a different request.
    pub(crate) fingerprint: u64,
    /// How long a retry is recognized.
    pub(crate) window: Duration,
    /// When its caller stops waiting.
    pub(crate) deadline: Instant,
    pub(crate) stage: RequestStage,
    /// The number of the pending command to the group, while its start is claimed.
    pub(crate) pending_command: Option<u64>,
}

/// The request that a claim is made for.
pub struct ClaimedRequest<'a> {
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant; empty where there is none.
    pub tenant: &'a str,
    /// Its nonce, or the entity that it concerns; the same in all its attempts.
    pub name: &'a str,
    /// Its body.
    pub body: &'a [u8],
}

impl ClaimedRequest<'_> {
    /// Its class and name.
    fn key(&self) -> Bytes {
        [self.class.as_bytes(), b"\0", self.name.as_bytes()]
            .concat()
            .into()
    }

    /// Hash of class, tenant and body, each prefixed with its length.
    fn fingerprint(&self) -> u64 {
        let mut bytes = Vec::new();
        for part in [self.class.as_bytes(), self.tenant.as_bytes(), self.body] {
            bytes.extend_from_slice(&(part.len() as u32).to_le_bytes());
            bytes.extend_from_slice(part);
        }
        twox_hash::XxHash3_64::oneshot(&bytes)
    }
}

impl GroupClaim {
    /// A claim that was not sent to the group yet. `window` is how long a retry is recognized, `deadline` when the
    /// caller stops waiting.
    pub fn new(request: &ClaimedRequest, window: Duration, deadline: Instant) -> Self {
        Self {
            key: request.key(),
            fingerprint: request.fingerprint(),
            window,
            deadline,
            stage: RequestStage::Claiming,
            pending_command: None,
        }
    }
}
