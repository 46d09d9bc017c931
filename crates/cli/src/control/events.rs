//! Log events of a config server. Their names are documented in `docs/control.md` and `docs/copies.md`.

use rainstand_config_distribution::publisher::Event;
use rainstand_replicated_state::member::GroupEvent;

/// Logs an event of the cluster under the name that nodes use for the same event.
pub(super) fn log_group_event(event: &GroupEvent) {
    match event {
        GroupEvent::Bootstrapped { members } => {
            tracing::info!(event = "group_bootstrapped", members);
        }
        GroupEvent::BecameLeader { shard, term } => {
            tracing::info!(event = "shard_leadership_gained", shard, term);
        }
        GroupEvent::LostLeadership { shard } => {
            tracing::info!(event = "shard_leadership_lost", shard);
        }
        GroupEvent::MembershipChanged { shard, membership } => {
            tracing::info!(
                event = "shard_membership_changed",
                shard,
                config = membership
            );
        }
        GroupEvent::CaughtUp { shard, index } => {
            tracing::info!(event = "shard_snapshot_installed", shard, index);
        }
        GroupEvent::StalePeer { name, reason, .. } => {
            tracing::warn!(event = "peer_stale_disk", name, why = reason);
        }
        GroupEvent::StaleDisk { reason } => {
            tracing::warn!(event = "replica_quarantined", why = reason);
        }
        GroupEvent::Diverged { shard, .. } => tracing::error!(event = "replica_diverged", shard),
        GroupEvent::DiskStalled => tracing::error!(event = "disk_stalled"),
        GroupEvent::DiskFailed { reason } => {
            tracing::error!(event = "disk_failed", why = reason);
        }
    }
}

/// Logs an event of a subscriber.
pub(super) fn log_publisher_event(event: &Event) {
    match event {
        Event::Attached { name, version } => {
            tracing::info!(event = "subscriber_attached", name, version);
        }
        Event::Disconnected { name } => tracing::info!(event = "subscriber_disconnected", name),
        Event::AttachRejected { name } => tracing::info!(event = "attachment_rejected", name),
        Event::Rejected {
            name,
            version,
            reason,
        } => {
            tracing::warn!(event = "subscriber_rejected_version", name, version, reason);
        }
        Event::Diverged { name, version } => {
            tracing::error!(event = "subscriber_diverged", name, version);
        }
        Event::SubscriberAhead { name, version } => {
            tracing::warn!(event = "subscriber_ahead", name, version);
        }
        Event::Malformed { link } => {
            tracing::warn!(event = "subscriber_malformed_frame", link);
        }
    }
}
