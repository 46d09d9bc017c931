//! Choosing and sending the update that a subscriber needs.

use super::report::{Effect, Event};
use super::session::InFlight;
use super::snapshots::CompressedSnapshot;
use super::{Link, Publisher};
use crate::frames::{ServerMessage, SnapshotChunk, SnapshotProgress};
use bytes::Bytes;
use std::time::Duration;

/// Minimum time between two snapshots that are compressed because a subscriber needs one.
const COMPRESSION_INTERVAL: Duration = Duration::from_secs(5);
/// Encoded deltas to the newest version that are cached, by the version that they begin at.
const MAX_CACHED_DELTAS: usize = 64;

impl Publisher {
    pub(super) fn offer_all(&mut self, now: Duration) {
        let links: Vec<Link> = self.sessions.keys().copied().collect();
        for link in links {
            self.offer(now, link);
        }
    }

    /// Sends the update that a subscriber needs, if it needs one and nothing is in flight to it.
    pub(super) fn offer(&mut self, now: Duration, link: Link) {
        let newest = self.version;
        let Some(session) = self.sessions.get(&link) else {
            return;
        };
        if !session.is_ready(now) {
            return;
        }
        if session.version > newest {
            self.report_ahead(link);
            return;
        }
        self.detect_divergence(link);
        let Some(session) = self.sessions.get(&link) else {
            return;
        };
        let rejected = session.rejected_version();
        let is_current = session.version == newest && !session.diverged;
        if rejected == Some(newest) || is_current {
            return;
        }
        if !session.diverged {
            if let Some(frame) = self.delta_frame_from(session.version) {
                self.send_delta(now, link, frame);
                return;
            }
        }
        self.begin_snapshot(now, link);
    }

    fn report_ahead(&mut self, link: Link) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        if session.reported_ahead {
            return;
        }
        session.reported_ahead = true;
        self.effects.push(Effect::Event(Event::SubscriberAhead {
            name: session.identity.name.clone(),
            version: session.version,
        }));
    }

    /// Marks a subscriber whose digest is not that of its version, as far as the history knows it.
    fn detect_divergence(&mut self, link: Link) {
        let Some(session) = self.sessions.get(&link) else {
            return;
        };
        if session.diverged || session.version == 0 {
            return;
        }
        let expected = self.digest_at(session.version);
        if expected.is_some_and(|expected| expected != session.digest) {
            self.mark_diverged(link);
        }
    }

    pub(super) fn mark_diverged(&mut self, link: Link) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        session.diverged = true;
        self.counters.divergences += 1;
        self.effects.push(Effect::Event(Event::Diverged {
            name: session.identity.name.clone(),
            version: session.version,
        }));
    }

    fn send_delta(&mut self, now: Duration, link: Link, frame: Bytes) {
        self.counters.deltas += 1;
        self.send(link, frame);
        if let Some(session) = self.sessions.get_mut(&link) {
            session.begin_delta(now, self.version);
        }
    }

    /// A frame with the delta from `version` to the newest one, encoded once for all subscribers that need it. `None` if
    /// the history does not reach back that far or the frame would be too large.
    fn delta_frame_from(&mut self, version: u64) -> Option<Bytes> {
        if let Some(cached) = self.delta_frames.get(&version) {
            return cached.clone();
        }
        let max_bytes = self.limits.max_delta_bytes;
        let frame = self
            .history
            .merged_from(version, max_bytes)
            .map(|delta| ServerMessage::Delta(delta).into_frame())
            .filter(|frame| frame.len() <= max_bytes);
        if self.delta_frames.len() < MAX_CACHED_DELTAS {
            self.delta_frames.insert(version, frame.clone());
        }
        frame
    }

    /// Begins the transfer of a snapshot that leads a subscriber on.
    fn begin_snapshot(&mut self, now: Duration, link: Link) {
        let Some(session) = self.sessions.get(&link) else {
            return;
        };
        let min_version = if session.diverged {
            session.version
        } else {
            session.version + 1
        };
        let rejected = session.rejected_version();
        let cached = self.cached_snapshot(min_version, rejected, session.partial);
        let Some(snapshot) = cached.or_else(|| self.compress_on_demand(now)) else {
            return;
        };
        self.counters.snapshots += 1;
        if let Some(session) = self.sessions.get_mut(&link) {
            session.begin_snapshot(now, &snapshot);
        }
        self.send_chunks(now, link);
    }

    /// A cached snapshot of at least `min_version`, newer than the `rejected` version, from which the newest version can
    /// be reached. Prefers the one that `partial` is a part of, then the newest.
    fn cached_snapshot(
        &self,
        min_version: u64,
        rejected: Option<u64>,
        partial: Option<SnapshotProgress>,
    ) -> Option<CompressedSnapshot> {
        let is_usable = |snapshot: &&CompressedSnapshot| {
            snapshot.version >= min_version
                && rejected.is_none_or(|rejected| snapshot.version > rejected)
                && (snapshot.version == self.version
                    || self.history.reaches_back_to(snapshot.version))
        };
        let is_begun = |snapshot: &&CompressedSnapshot| {
            partial.is_some_and(|partial| snapshot.is(partial.version, partial.digest))
        };
        let usable = || self.snapshots.iter().filter(is_usable);
        usable()
            .find(is_begun)
            .or_else(|| usable().next_back())
            .cloned()
    }

    /// Compresses the newest version, at most once in [`COMPRESSION_INTERVAL`].
    fn compress_on_demand(&mut self, now: Duration) -> Option<CompressedSnapshot> {
        let is_too_early = self
            .compressed_at
            .is_some_and(|compressed_at| now < compressed_at + COMPRESSION_INTERVAL);
        if is_too_early {
            return None;
        }
        self.compressed_at = Some(now);
        self.compressed_snapshot().ok()?;
        self.snapshots.iter().next_back().cloned()
    }

    /// Sends chunks of the transfer in flight as far as its window allows.
    pub(super) fn send_chunks(&mut self, now: Duration, link: Link) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        let InFlight::Snapshot(transfer) = session.in_flight else {
            return;
        };
        let cached = self.snapshots.find(transfer.version, transfer.digest);
        let Some(snapshot) = cached.cloned() else {
            // Evicted during the transfer: a newer one is sent instead.
            session.abandon_snapshot();
            self.offer(now, link);
            return;
        };
        let length = snapshot.bytes.len();
        let window = self.limits.window_chunks * self.limits.chunk_bytes;
        let window_end = transfer.received.saturating_add(window);
        let mut sent = transfer.sent;
        while sent < length && sent < window_end {
            let end = length.min(sent + self.limits.chunk_bytes);
            let chunk = SnapshotChunk {
                version: transfer.version,
                digest: transfer.digest,
                offset: sent as u64,
                length: length as u64,
                bytes: snapshot.bytes.slice(sent..end),
            };
            sent = end;
            self.send(link, ServerMessage::SnapshotChunk(chunk).into_frame());
        }
        if let Some(session) = self.sessions.get_mut(&link) {
            session.set_sent(sent);
        }
    }
}
