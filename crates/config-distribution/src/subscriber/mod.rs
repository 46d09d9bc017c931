//! The subscriber's side: the version in force, what is accepted, acknowledged and rejected.
//!
//! | received | action |
//! | --- | --- |
//! | a delta from the version in force | validated, stored, then applied by the driver; acknowledged once it is in force |
//! | a delta to the version in force or an older one | acknowledged again, otherwise ignored |
//! | a delta from another version | a delta from the version in force is requested |
//! | a delta that is invalid or leads to another digest | reported, and a snapshot is requested |
//! | a chunk of a snapshot | kept across links; its progress is reported; an older version is ignored |
//! | anything while the driver stores or applies a version | ignored: the server retransmits what is not acknowledged |
//! | the driver cannot apply a version | rejected with the reason; the last good one stays in force |
//! | the driver cannot store a version | rejected with the reason; storing is retried until it succeeds or another update arrives |
//!
//! Invariants: the version never decreases; the version in force is the last one that the driver reported as applied;
//! an [`Ack`] names only a version that is in force. With durable storage, a version is applied only after the driver
//! reported it as stored, so no decision and no [`Ack`] is based on a version that a crash could undo.

mod download;
mod pending;
mod report;

pub use pending::PendingUpdate;
pub use report::{Counters, Effect, Event};

use crate::attachment::{NodeIdentity, RetryTarget};
use crate::delta::ConfigState;
use crate::frames::{
    Ack, Attach, ClientMessage, Delta, Nack, ResyncReason, ResyncRequest, ServerMessage,
    SnapshotChunk, SnapshotProgress,
};
use crate::planted_bugs::{is_planted, PlantedBug};
use crate::snapshot::{self, DecodedSnapshot};
use crate::UpdateError;
use bytes::Bytes;
use download::{ChunkOutcome, SnapshotDownload};
use pending::{Pending, Stage};
use rainstand_config::schema;
use std::time::Duration;

/// A server is left when no frame of it arrived for this long: two and a half ping intervals.
pub const SERVER_TIMEOUT: Duration = Duration::from_secs(5);
/// A server is left for another one when, for this long, it did not know whether others have a newer version.
pub const SERVER_STALE_AFTER: Duration = Duration::from_secs(8);
/// The reason of a rejection is truncated to this many bytes.
pub const MAX_REASON_BYTES: usize = 256;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LinkState {
    Disconnected,
    /// The link is open, and the server has not accepted the attachment yet.
    Attaching,
    Attached {
        since: Duration,
    },
}

/// A process that holds one version. All times are measured on one monotonic clock whose origin is the driver's choice.
pub struct Subscriber {
    identity: NodeIdentity,
    version: u64,
    state: ConfigState,
    /// Whether versions are stored before they are applied.
    has_storage: bool,
    pending: Option<Pending>,
    download: Option<SnapshotDownload>,
    link: LinkState,
    /// When the last frame arrived, or the link opened.
    last_frame_at: Duration,
    /// Newest version on the server.
    server_version: u64,
    /// When the server last knew that no other has a newer version.
    server_current_at: Duration,
    /// When the version in force was last known to be the newest.
    current_at: Duration,
    effects: Vec<Effect>,
    counters: Counters,
}

impl Subscriber {
    /// Without a configuration: version 0, which is empty.
    #[must_use]
    pub fn new(now: Duration, identity: NodeIdentity) -> Self {
        Self::with_version(now, identity, 0, ConfigState::default())
    }

    /// With a version that is in force already, as read from a disk.
    #[must_use]
    pub fn with_version(
        now: Duration,
        identity: NodeIdentity,
        version: u64,
        state: ConfigState,
    ) -> Self {
        Self {
            identity,
            version,
            state,
            has_storage: false,
            pending: None,
            download: None,
            link: LinkState::Disconnected,
            last_frame_at: now,
            server_version: 0,
            server_current_at: now,
            current_at: now,
            effects: Vec::new(),
            counters: Counters::default(),
        }
    }

    /// Requires the driver to store each version durably before it is applied ([`Effect::Store`]). Without it, versions
    /// are lost when the process ends.
    #[must_use]
    pub fn with_durable_storage(mut self) -> Self {
        self.has_storage = true;
        self
    }

    /// The version in force; 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The state in force.
    #[must_use]
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether the server accepted the attachment on the current link.
    #[must_use]
    pub fn is_attached(&self) -> bool {
        matches!(self.link, LinkState::Attached { .. })
    }

    /// The update that is being stored or applied, or waits to be stored again.
    #[must_use]
    pub fn pending(&self) -> Option<&PendingUpdate> {
        self.pending.as_ref().map(|pending| &pending.update)
    }

    /// When [`Self::on_tick`] is due; `None` if no write is to be retried.
    #[must_use]
    pub fn store_retry_at(&self) -> Option<Duration> {
        match self.pending.as_ref()?.stage {
            Stage::StoreFailed { retry_at } => Some(retry_at),
            Stage::Storing | Stage::Applying => None,
        }
    }

    /// Retries a failed write once [`Self::store_retry_at`] is reached.
    pub fn on_tick(&mut self, now: Duration) {
        if self.store_retry_at().is_none_or(|retry_at| now < retry_at) {
            return;
        }
        if let Some(pending) = &mut self.pending {
            pending.stage = Stage::Storing;
            let version = pending.update.version();
            self.effects.push(Effect::Store(version));
        }
    }

    fn is_busy(&self) -> bool {
        self.pending.as_ref().is_some_and(Pending::is_in_progress)
    }

    /// Time since the version in force was last known to be the newest.
    #[must_use]
    pub fn staleness(&self, now: Duration) -> Duration {
        now.saturating_sub(self.current_at)
    }

    /// Removes and returns the effects, in order.
    pub fn take_effects(&mut self) -> std::vec::Drain<'_, Effect> {
        self.effects.drain(..)
    }

    /// Whether the driver should leave the server: it is silent ([`SERVER_TIMEOUT`]), or does not know whether it has
    /// the newest version ([`SERVER_STALE_AFTER`]).
    #[must_use]
    pub fn is_server_lost(&self, now: Duration) -> bool {
        let elapsed = |since: Duration| now.saturating_sub(since);
        let is_silent = elapsed(self.last_frame_at) >= SERVER_TIMEOUT;
        match self.link {
            LinkState::Disconnected => false,
            LinkState::Attaching => is_silent,
            LinkState::Attached { since } => {
                let is_stale = elapsed(since) >= SERVER_STALE_AFTER
                    && elapsed(self.server_current_at) >= SERVER_STALE_AFTER;
                is_silent || is_stale
            }
        }
    }

    /// A link opened: requests the attachment on it.
    pub fn on_connected(&mut self, now: Duration) {
        self.link = LinkState::Attaching;
        self.last_frame_at = now;
        let NodeIdentity { name, region, zone } = self.identity.clone();
        self.send(ClientMessage::Attach(Attach {
            name,
            region,
            zone,
            version: self.version,
            digest: self.state.digest(),
            schema_version: schema::VERSION,
            partial: self.download.as_ref().map(SnapshotDownload::progress),
        }));
    }

    /// The link ended. A pending update stays pending, as the driver is applying it.
    pub fn on_link_closed(&mut self) {
        self.link = LinkState::Disconnected;
        self.effects
            .retain(|effect| !matches!(effect, Effect::Send(_)));
    }

    /// A frame arrived on the open link.
    pub fn on_frame(&mut self, now: Duration, frame: Bytes) {
        self.last_frame_at = now;
        self.counters.bytes_in += frame.len() as u64;
        match ServerMessage::from_frame(frame) {
            Ok(ServerMessage::Attached(attached)) => {
                if self.link != LinkState::Disconnected {
                    self.link = LinkState::Attached { since: now };
                }
                self.update_server_version(now, attached.version, attached.age_ms);
            }
            Ok(ServerMessage::Ping(ping)) => {
                self.update_server_version(now, ping.version, ping.age_ms);
                self.send_ack();
            }
            Ok(ServerMessage::RetryAfter(retry)) => {
                let target = if retry.elsewhere {
                    RetryTarget::OtherServer
                } else {
                    RetryTarget::SameServer
                };
                self.effects.push(Effect::RetryAfter {
                    after: Duration::from_millis(retry.after_ms),
                    target,
                });
            }
            Ok(ServerMessage::Delta(delta)) => self.on_delta(delta),
            Ok(ServerMessage::SnapshotChunk(chunk)) => self.on_snapshot_chunk(&chunk),
            Err(_) => {
                self.counters.malformed += 1;
                self.effects.push(Effect::Event(Event::Malformed));
                self.effects.push(Effect::Close);
            }
        }
    }

    fn update_server_version(&mut self, now: Duration, version: u64, age_ms: u64) {
        self.server_version = version;
        self.server_current_at = now.saturating_sub(Duration::from_millis(age_ms));
        self.update_current_at();
    }

    fn update_current_at(&mut self) {
        if self.server_version <= self.version {
            self.current_at = self.current_at.max(self.server_current_at);
        }
    }

    fn on_delta(&mut self, delta: Delta) {
        if self.is_busy() {
            self.counters.busy += 1;
        } else if delta.to <= self.version {
            self.counters.stale += 1;
            self.send_ack();
        } else if delta.from != self.version && !is_planted(PlantedBug::DeltaOverGap) {
            self.counters.gaps += 1;
            self.effects.push(Effect::Event(Event::Gap {
                current: self.version,
                from: delta.from,
            }));
            self.request_resync(ResyncReason::Gap);
        } else if let Err(reason) = self.state.validate(&delta) {
            self.on_divergence(delta.to, reason);
        } else {
            self.begin_update(PendingUpdate::Delta(delta));
        }
    }

    fn on_snapshot_chunk(&mut self, chunk: &SnapshotChunk) {
        if self.is_busy() {
            self.counters.busy += 1;
            return;
        }
        // A snapshot of the version in force, but with another digest, repairs a divergence.
        let is_current = (chunk.version, chunk.digest) == (self.version, self.state.digest());
        if is_current || chunk.version < self.version {
            self.counters.stale += 1;
            self.send_ack();
            return;
        }
        let length = usize::try_from(chunk.length).unwrap_or(usize::MAX);
        if length > snapshot::MAX_COMPRESSED_BYTES {
            let reason = UpdateError::TooLarge("the snapshot is larger than is taken");
            self.on_divergence(chunk.version, reason);
            return;
        }
        self.counters.chunks += 1;
        let Some(mut download) = self.download_for(chunk, length) else {
            return;
        };
        if download.append(chunk) == ChunkOutcome::Ignored {
            self.counters.stale += 1;
        }
        if download.is_complete() {
            self.finish_download(download);
            return;
        }
        let progress = download.progress();
        self.download = Some(download);
        self.send(ClientMessage::SnapshotProgress(progress));
    }

    /// Takes the download that `chunk` belongs to, or begins one. Returns `None` if the chunk is of another snapshot than
    /// the present download, and not its first: that snapshot is then requested from its beginning.
    fn download_for(&mut self, chunk: &SnapshotChunk, length: usize) -> Option<SnapshotDownload> {
        let current = self
            .download
            .take_if(|download| download.includes(chunk, length));
        if current.is_some() {
            return current;
        }
        if chunk.offset > 0 {
            self.counters.stale += 1;
            self.send(ClientMessage::SnapshotProgress(SnapshotProgress {
                version: chunk.version,
                digest: chunk.digest,
                offset: 0,
            }));
            return None;
        }
        self.download = None;
        Some(SnapshotDownload::new(chunk, length))
    }

    fn finish_download(&mut self, download: SnapshotDownload) {
        match snapshot::decode(download.bytes()) {
            Ok(DecodedSnapshot { version, state })
                if (version, state.digest()) == (download.version(), download.digest()) =>
            {
                self.send(ClientMessage::SnapshotProgress(download.progress()));
                let compressed = download.into_bytes().into();
                self.begin_update(PendingUpdate::Snapshot {
                    version,
                    state,
                    compressed,
                });
            }
            Ok(_) => self.on_divergence(download.version(), UpdateError::DigestMismatch),
            Err(reason) => self.on_divergence(download.version(), reason),
        }
    }

    fn on_divergence(&mut self, version: u64, reason: UpdateError) {
        self.counters.divergences += 1;
        self.effects
            .push(Effect::Event(Event::Diverged { version, reason }));
        self.request_resync(ResyncReason::Diverged);
    }

    fn request_resync(&mut self, reason: ResyncReason) {
        self.send(ClientMessage::ResyncRequest(ResyncRequest {
            reason: reason as i32,
            version: self.version,
            digest: self.state.digest(),
        }));
    }

    fn begin_update(&mut self, update: PendingUpdate) {
        let (version, digest) = (update.version(), update.digest());
        let (effect, stage) = if self.has_storage && !is_planted(PlantedBug::UnstoredAck) {
            (Effect::Store(version), Stage::Storing)
        } else {
            (Effect::Apply(version), Stage::Applying)
        };
        self.effects.push(effect);
        if is_planted(PlantedBug::EarlyAck) {
            self.send(ClientMessage::Ack(Ack { version, digest }));
        }
        self.pending = Some(Pending::new(update, stage));
    }

    /// The pending update to `version` is durable, and is applied next. Does nothing if another update is pending, or
    /// none.
    pub fn on_stored(&mut self, version: u64) {
        let pending = self.pending.as_mut();
        let Some(pending) = pending.filter(|pending| pending.is_at(version, Stage::Storing)) else {
            return;
        };
        pending.stage = Stage::Applying;
        self.effects.push(Effect::Event(Event::Stored { version }));
        self.effects.push(Effect::Apply(version));
    }

    /// The driver could not write the pending update to `version`. It is not applied: after a crash it could be lost.
    /// The server is told once; the write is retried. `reason` is truncated to [`MAX_REASON_BYTES`]. Does nothing if
    /// another update is pending, or none.
    pub fn on_store_failed(&mut self, now: Duration, version: u64, reason: &str) {
        let pending = self.pending.as_mut();
        let Some(pending) = pending.filter(|pending| pending.is_at(version, Stage::Storing)) else {
            return;
        };
        let is_first_failure = pending.on_store_failed(now);
        self.counters.failed_writes += 1;
        let reason = truncated(reason);
        if is_first_failure {
            self.send_nack(version, reason.clone());
        }
        let event = Event::StoreFailed { version, reason };
        self.effects.push(Effect::Event(event));
    }

    /// The driver applied the pending update to `version`: decisions are based on it from now on. Does nothing if
    /// another update is being applied, or none.
    pub fn on_applied(&mut self, version: u64) {
        let Some(update) = self.take_applied(version) else {
            return;
        };
        match update {
            PendingUpdate::Delta(delta) => {
                // It was validated against this same state when it arrived. Should it fail nevertheless, a snapshot
                // repairs the state.
                if let Err(reason) = self.state.apply(&delta) {
                    self.on_divergence(version, reason);
                    return;
                }
            }
            PendingUpdate::Snapshot { state, .. } => self.state = state,
        }
        self.version = version;
        self.download
            .take_if(|download| download.version() <= version);
        self.update_current_at();
        self.counters.applied += 1;
        self.effects.push(Effect::Event(Event::Applied { version }));
        self.send_ack();
    }

    /// The driver could not apply the pending update to `version`; the version before stays in force. `reason` is
    /// truncated to [`MAX_REASON_BYTES`]. Does nothing if another update is pending, or none.
    pub fn on_rejected(&mut self, version: u64, reason: &str) {
        if self.take_applied(version).is_none() {
            return;
        }
        self.counters.nacks += 1;
        let reason = truncated(reason);
        self.effects.push(Effect::Event(Event::Rejected {
            version,
            reason: reason.clone(),
        }));
        self.send_nack(version, reason);
    }

    /// Removes and returns the update to `version` if the driver is applying it.
    fn take_applied(&mut self, version: u64) -> Option<PendingUpdate> {
        let pending = self
            .pending
            .take_if(|pending| pending.is_at(version, Stage::Applying))?;
        Some(pending.update)
    }

    /// Sends on the open link; without one, nothing is sent.
    fn send(&mut self, message: ClientMessage) {
        if self.link == LinkState::Disconnected {
            return;
        }
        let frame = message.into_frame();
        self.counters.bytes_out += frame.len() as u64;
        self.effects.push(Effect::Send(frame));
    }

    fn send_nack(&mut self, version: u64, reason: String) {
        self.send(ClientMessage::Nack(Nack {
            version,
            reason,
            current_version: self.version,
        }));
    }

    fn send_ack(&mut self) {
        self.send(ClientMessage::Ack(Ack {
            version: self.version,
            digest: self.state.digest(),
        }));
    }
}

/// The reason of a rejection, as far as it is sent.
fn truncated(reason: &str) -> String {
    reason[..reason.floor_char_boundary(MAX_REASON_BYTES)].to_owned()
}
