//! One attached subscriber: what it holds, and what is in flight to it.

use super::report::RejectedVersion;
use super::snapshots::CompressedSnapshot;
use super::{ACK_TIMEOUT, SUBSCRIBER_TIMEOUT};
use crate::attachment::NodeIdentity;
use crate::frames::{Ack, Attach, Nack, ResyncReason, ResyncRequest, SnapshotProgress};
use std::time::Duration;

/// A subscriber that has received a complete snapshot but does not acknowledge it gets it from the beginning after this
/// long: it may need time to apply it.
const SNAPSHOT_ACK_TIMEOUT: Duration = ACK_TIMEOUT.saturating_mul(4);
/// Base of the delay between two repeated resyncs of one subscriber; it doubles with each.
const RESYNC_BACKOFF: Duration = Duration::from_secs(1);
/// Upper bound of that delay.
const MAX_RESYNC_BACKOFF: Duration = Duration::from_secs(64);
/// Largest exponent of the backoff, which reaches its upper bound before.
const MAX_BACKOFF_EXPONENT: u32 = 16;
/// Reasons of rejections are truncated to this many bytes.
const MAX_REASON_BYTES: usize = 256;

/// The one update that is in flight to a subscriber.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InFlight {
    Nothing,
    Delta {
        from: u64,
        to: u64,
        sent_at: Duration,
    },
    Snapshot(SnapshotTransfer),
}

/// A snapshot that is sent in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SnapshotTransfer {
    pub(super) version: u64,
    pub(super) digest: u64,
    /// Bytes that the subscriber reported as received.
    pub(super) received: usize,
    /// Bytes that were sent; at least `received`.
    pub(super) sent: usize,
    /// When the transfer began, or when `received` last changed or chunks were last sent again.
    last_progress_at: Duration,
}

/// What has to be done after a periodic check of a session's in-flight update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeliveryAction {
    /// Wait for the subscriber.
    Wait,
    /// Nothing is in flight: offer an update.
    Offer,
    /// The update timed out and was abandoned: offer one again.
    OfferAgain,
    /// Chunks timed out: send them again.
    ResendChunks,
}

/// How an acknowledgement relates to the version that the subscriber was known to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AckOutcome {
    /// An older version: the frame was overtaken by a later one, and is ignored.
    Outdated,
    SameVersion,
    NewVersion,
}

/// What to do about a request to resync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResyncOutcome {
    /// The requested delta is in flight already.
    AlreadyInFlight,
    /// Send a delta, or a snapshot.
    Gap,
    /// Only a snapshot repairs the subscriber's state.
    Diverged,
}

#[derive(Debug)]
pub(super) struct SubscriberSession {
    pub(super) identity: NodeIdentity,
    /// Version that the subscriber holds, and its digest.
    pub(super) version: u64,
    pub(super) digest: u64,
    pub(super) in_flight: InFlight,
    /// The newest version that it rejected.
    pub(super) rejected: Option<RejectedVersion>,
    /// Its state is not that of its version: only a snapshot repairs that.
    pub(super) diverged: bool,
    /// That it holds a newer version than this server was reported.
    pub(super) reported_ahead: bool,
    /// Resyncs since it last acknowledged a new version.
    resync_attempts: u32,
    /// No update is offered before.
    pub(super) resync_at: Duration,
    /// The interrupted download that it reported when it attached.
    pub(super) partial: Option<SnapshotProgress>,
    pub(super) last_frame_at: Duration,
    pub(super) last_ping_at: Duration,
}

impl SubscriberSession {
    pub(super) fn new(now: Duration, attach: Attach) -> Self {
        let Attach {
            name,
            region,
            zone,
            version,
            digest,
            partial,
            ..
        } = attach;
        Self {
            identity: NodeIdentity { name, region, zone },
            version,
            digest,
            in_flight: InFlight::Nothing,
            rejected: None,
            diverged: false,
            reported_ahead: false,
            resync_attempts: 0,
            resync_at: now,
            partial,
            last_frame_at: now,
            last_ping_at: now,
        }
    }

    pub(super) fn is_timed_out(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_frame_at) >= SUBSCRIBER_TIMEOUT
    }

    /// Whether an update may be sent: nothing is in flight, and no resync is being delayed.
    pub(super) fn is_ready(&self, now: Duration) -> bool {
        self.in_flight == InFlight::Nothing && now >= self.resync_at
    }

    pub(super) fn rejected_version(&self) -> Option<u64> {
        self.rejected.as_ref().map(|rejected| rejected.version)
    }

    /// `expected_digest` is the digest of the acknowledged version, where it is known.
    pub(super) fn on_ack(
        &mut self,
        now: Duration,
        ack: Ack,
        expected_digest: Option<u64>,
    ) -> AckOutcome {
        if ack.version < self.version {
            return AckOutcome::Outdated;
        }
        let is_new = ack.version > self.version;
        if is_new {
            self.resync_attempts = 0;
            self.resync_at = now;
        }
        let is_transferred = matches!(self.in_flight, InFlight::Snapshot(transfer)
            if (transfer.version, transfer.digest) == (ack.version, ack.digest));
        // What was applied since may have repaired the state. If not, the next offer detects it again.
        if is_new || is_transferred || expected_digest == Some(ack.digest) {
            self.diverged = false;
        }
        (self.version, self.digest) = (ack.version, ack.digest);
        // It could apply later what it rejected at first.
        self.rejected
            .take_if(|rejected| rejected.version == ack.version);
        if self.is_delivered() {
            self.in_flight = InFlight::Nothing;
        }
        if is_new {
            AckOutcome::NewVersion
        } else {
            AckOutcome::SameVersion
        }
    }

    /// Whether the update in flight was applied, or is of no more use to the version that the subscriber now holds.
    fn is_delivered(&self) -> bool {
        match self.in_flight {
            InFlight::Nothing => false,
            InFlight::Delta { from, .. } => from != self.version,
            InFlight::Snapshot(transfer) => transfer.version <= self.version && !self.diverged,
        }
    }

    /// Records a rejection, and returns it with a truncated reason.
    pub(super) fn on_nack(&mut self, nack: Nack) -> RejectedVersion {
        let Nack {
            version,
            mut reason,
            ..
        } = nack;
        reason.truncate(reason.floor_char_boundary(MAX_REASON_BYTES));
        let is_rejected = match self.in_flight {
            InFlight::Nothing => false,
            InFlight::Delta { to, .. } => to <= version,
            InFlight::Snapshot(transfer) => transfer.version <= version,
        };
        if is_rejected {
            self.in_flight = InFlight::Nothing;
        }
        let rejected = RejectedVersion { version, reason };
        if self.rejected_version().is_none_or(|known| version >= known) {
            self.rejected = Some(rejected.clone());
        }
        rejected
    }

    /// Accepts what the subscriber says that it holds, and gives up what is in flight, unless that is what it requests.
    pub(super) fn on_resync_request(
        &mut self,
        now: Duration,
        request: ResyncRequest,
    ) -> ResyncOutcome {
        (self.version, self.digest) = (request.version, request.digest);
        let is_gap = request.reason == ResyncReason::Gap as i32;
        let is_in_flight =
            matches!(self.in_flight, InFlight::Delta { from, .. } if from == request.version);
        if is_gap && is_in_flight {
            return ResyncOutcome::AlreadyInFlight;
        }
        self.in_flight = InFlight::Nothing;
        self.partial = None;
        self.resync_at = now + self.resync_delay();
        self.resync_attempts = self.resync_attempts.saturating_add(1);
        if is_gap {
            ResyncOutcome::Gap
        } else {
            ResyncOutcome::Diverged
        }
    }

    /// The first resync is not delayed; the ones after it back off exponentially.
    fn resync_delay(&self) -> Duration {
        if self.resync_attempts == 0 {
            return Duration::ZERO;
        }
        let exponent = self.resync_attempts.min(MAX_BACKOFF_EXPONENT);
        RESYNC_BACKOFF
            .saturating_mul(1 << exponent)
            .min(MAX_RESYNC_BACKOFF)
    }

    /// Updates the transfer in flight; `false` if the report is of another one.
    pub(super) fn on_snapshot_progress(
        &mut self,
        now: Duration,
        progress: SnapshotProgress,
    ) -> bool {
        let InFlight::Snapshot(transfer) = &mut self.in_flight else {
            return false;
        };
        if (progress.version, progress.digest) != (transfer.version, transfer.digest) {
            return false;
        }
        let received = usize::try_from(progress.offset).unwrap_or(usize::MAX);
        if received < transfer.received {
            // The subscriber dropped its download. Sending resumes where it now is; further reports of the same offset
            // change nothing.
            transfer.sent = received;
            transfer.last_progress_at = now;
        } else if received > transfer.received {
            // It may have received more than was sent on this link.
            transfer.sent = transfer.sent.max(received);
            transfer.last_progress_at = now;
        }
        transfer.received = received;
        true
    }

    pub(super) fn begin_delta(&mut self, now: Duration, to: u64) {
        self.in_flight = InFlight::Delta {
            from: self.version,
            to,
            sent_at: now,
        };
    }

    /// Begins the transfer of `snapshot`, and resumes the subscriber's interrupted download if it is of this snapshot.
    pub(super) fn begin_snapshot(&mut self, now: Duration, snapshot: &CompressedSnapshot) {
        let resumed_at = self
            .partial
            .filter(|partial| snapshot.is(partial.version, partial.digest))
            .and_then(|partial| usize::try_from(partial.offset).ok())
            .filter(|offset| *offset < snapshot.bytes.len())
            .unwrap_or(0);
        self.in_flight = InFlight::Snapshot(SnapshotTransfer {
            version: snapshot.version,
            digest: snapshot.digest,
            received: resumed_at,
            sent: resumed_at,
            last_progress_at: now,
        });
    }

    /// Records that the transfer in flight was sent up to here.
    pub(super) fn set_sent(&mut self, sent: usize) {
        if let InFlight::Snapshot(transfer) = &mut self.in_flight {
            transfer.sent = sent;
        }
    }

    /// Gives up the transfer in flight and the subscriber's interrupted download.
    pub(super) fn abandon_snapshot(&mut self) {
        self.in_flight = InFlight::Nothing;
        self.partial = None;
    }

    /// Checks the update in flight for timeouts.
    pub(super) fn check_delivery(&mut self, now: Duration) -> DeliveryAction {
        match &mut self.in_flight {
            InFlight::Nothing => DeliveryAction::Offer,
            InFlight::Delta { sent_at, .. } => {
                if now.saturating_sub(*sent_at) < ACK_TIMEOUT {
                    return DeliveryAction::Wait;
                }
                self.in_flight = InFlight::Nothing;
                DeliveryAction::OfferAgain
            }
            InFlight::Snapshot(transfer) => {
                let elapsed = now.saturating_sub(transfer.last_progress_at);
                let is_received = transfer.received == transfer.sent;
                if is_received && elapsed >= SNAPSHOT_ACK_TIMEOUT {
                    self.abandon_snapshot();
                    DeliveryAction::OfferAgain
                } else if transfer.received < transfer.sent && elapsed >= ACK_TIMEOUT {
                    transfer.sent = transfer.received;
                    transfer.last_progress_at = now;
                    DeliveryAction::ResendChunks
                } else {
                    DeliveryAction::Wait
                }
            }
        }
    }
}
