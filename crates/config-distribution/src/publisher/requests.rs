//! Handling of subscribers' frames.

use super::report::{Effect, Event};
use super::session::{AckOutcome, ResyncOutcome, SubscriberSession};
use super::{Link, Publisher};
use crate::frames::{
    Ack, Attach, Attached, ClientMessage, Nack, ResyncRequest, RetryAfter, ServerMessage,
    SnapshotProgress,
};
use bytes::Bytes;
use rainstand_config::schema;
use std::time::Duration;

/// Longest name of a process, zone or region, in bytes.
const MAX_NAME_BYTES: usize = 256;

impl Publisher {
    /// A frame arrived on a link. The first one must be an [`Attach`], and only the first. Bounding the number of links
    /// on which nothing arrives is the driver's job.
    pub fn on_frame(&mut self, now: Duration, link: Link, frame: Bytes) {
        self.counters.bytes_in += frame.len() as u64;
        let session = self.sessions.get_mut(&link);
        let is_attached = session.is_some();
        if let Some(session) = session {
            session.last_frame_at = now;
        }
        match (ClientMessage::from_frame(frame), is_attached) {
            (Ok(ClientMessage::Attach(attach)), false) => self.on_attach(now, link, attach),
            (Ok(ClientMessage::Ack(ack)), true) => self.on_ack(now, link, ack),
            (Ok(ClientMessage::Nack(nack)), true) => self.on_nack(now, link, nack),
            (Ok(ClientMessage::ResyncRequest(request)), true) => {
                self.on_resync_request(now, link, request);
            }
            (Ok(ClientMessage::SnapshotProgress(progress)), true) => {
                self.on_snapshot_progress(now, link, progress);
            }
            _ => self.reject_malformed(link),
        }
    }

    fn reject_malformed(&mut self, link: Link) {
        self.counters.malformed += 1;
        self.effects.push(Effect::Event(Event::Malformed { link }));
        self.close(link);
    }

    fn on_attach(&mut self, now: Duration, link: Link, attach: Attach) {
        let is_too_long = |text: &String| text.len() > MAX_NAME_BYTES;
        if [&attach.name, &attach.region, &attach.zone]
            .into_iter()
            .any(is_too_long)
            || attach.name.is_empty()
        {
            self.reject_malformed(link);
            return;
        }
        let is_reconnect = self.links.contains_key(&attach.name);
        let is_full = !is_reconnect && self.sessions.len() >= self.limits.max_subscribers;
        let is_schema_too_old = attach.schema_version < schema::VERSION;
        let must_retry_elsewhere = is_full || is_schema_too_old;
        if must_retry_elsewhere || !self.pacer.has_capacity(now) {
            self.reject_attachment(now, link, attach.name, must_retry_elsewhere);
        } else {
            self.accept_attachment(now, link, attach);
        }
    }

    fn reject_attachment(&mut self, now: Duration, link: Link, name: String, elsewhere: bool) {
        let after = self.pacer.retry_after(now);
        let after_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.counters.rejected_attachments += 1;
        self.effects
            .push(Effect::Event(Event::AttachRejected { name }));
        let retry = ServerMessage::RetryAfter(RetryAfter {
            after_ms,
            elsewhere,
        });
        self.send(link, retry.into_frame());
        self.effects.push(Effect::Close(link));
    }

    fn accept_attachment(&mut self, now: Duration, link: Link, attach: Attach) {
        self.pacer.record(now);
        if let Some(previous) = self.links.insert(attach.name.clone(), link) {
            // The process reconnected before the end of its previous link was noticed.
            self.sessions.remove(&previous);
            self.effects.push(Effect::Close(previous));
        }
        self.counters.attached += 1;
        self.effects.push(Effect::Event(Event::Attached {
            name: attach.name.clone(),
            version: attach.version,
        }));
        self.sessions
            .insert(link, SubscriberSession::new(now, attach));
        let attached = ServerMessage::Attached(Attached {
            version: self.version,
            age_ms: self.age_ms(now),
        });
        self.send(link, attached.into_frame());
        self.offer(now, link);
    }

    fn on_ack(&mut self, now: Duration, link: Link, ack: Ack) {
        let expected_digest = self.digest_at(ack.version);
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        match session.on_ack(now, ack, expected_digest) {
            AckOutcome::Outdated => return,
            AckOutcome::SameVersion => {}
            AckOutcome::NewVersion => self.counters.acks += 1,
        }
        self.offer(now, link);
    }

    fn on_nack(&mut self, now: Duration, link: Link, nack: Nack) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        let rejected = session.on_nack(nack);
        self.counters.nacks += 1;
        self.effects.push(Effect::Event(Event::Rejected {
            name: session.identity.name.clone(),
            version: rejected.version,
            reason: rejected.reason,
        }));
        self.offer(now, link);
    }

    fn on_resync_request(&mut self, now: Duration, link: Link, request: ResyncRequest) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        match session.on_resync_request(now, request) {
            ResyncOutcome::AlreadyInFlight => {
                self.counters.gaps += 1;
                return;
            }
            ResyncOutcome::Gap => self.counters.gaps += 1,
            ResyncOutcome::Diverged => self.mark_diverged(link),
        }
        self.offer(now, link);
    }

    fn on_snapshot_progress(&mut self, now: Duration, link: Link, progress: SnapshotProgress) {
        let Some(session) = self.sessions.get_mut(&link) else {
            return;
        };
        if session.on_snapshot_progress(now, progress) {
            self.send_chunks(now, link);
        }
    }
}
