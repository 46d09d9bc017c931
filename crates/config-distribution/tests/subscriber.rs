//! What a subscriber accepts, acknowledges and rejects, and when it leaves its server.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{deltas, identity, NOW};
use rainstand_config_distribution::delta::{merge, ConfigState};
use rainstand_config_distribution::frames::{
    Ack, Attach, Attached, ClientMessage, Delta, Nack, Ping, ResyncReason, ResyncRequest,
    ServerMessage,
};
use rainstand_config_distribution::subscriber::{
    Effect, PendingUpdate, Subscriber, SERVER_STALE_AFTER, SERVER_TIMEOUT,
};
use std::time::Duration;

fn sent_messages(subscriber: &mut Subscriber) -> Vec<ClientMessage> {
    let effects = subscriber.take_effects().collect::<Vec<_>>();
    let sent = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send(frame) => Some(ClientMessage::from_frame(frame).unwrap()),
        _ => None,
    });
    sent.collect()
}

/// A subscriber at version 3 on an open link, and the deltas to the versions 1 to 6.
fn subscriber_at_version_3() -> (Subscriber, Vec<Delta>) {
    let deltas = deltas(6);
    let mut state = ConfigState::default();
    deltas[..3]
        .iter()
        .for_each(|delta| state.apply(delta).unwrap());
    let mut subscriber = Subscriber::with_version(NOW, identity("n", "r", "z"), 3, state);
    subscriber.on_connected(NOW);
    assert!(matches!(
        &sent_messages(&mut subscriber)[..],
        [ClientMessage::Attach(Attach { version: 3, .. })]
    ));
    (subscriber, deltas)
}

#[test]
fn subscriber_accepts_only_deltas_from_its_version() {
    let current_ack = |s: &Subscriber| Ack {
        version: s.version(),
        digest: s.state().digest(),
    };
    // Outdated deltas are acknowledged again.
    for at in [0, 2] {
        let (mut subscriber, deltas) = subscriber_at_version_3();
        subscriber.on_frame(NOW, ServerMessage::Delta(deltas[at].clone()).into_frame());
        assert_eq!(
            sent_messages(&mut subscriber),
            [ClientMessage::Ack(current_ack(&subscriber))]
        );
        assert_eq!((subscriber.version(), subscriber.counters().stale), (3, 1));
    }
    // A gap.
    let (mut subscriber, deltas) = subscriber_at_version_3();
    subscriber.on_frame(NOW, ServerMessage::Delta(deltas[4].clone()).into_frame());
    let Ack { version, digest } = current_ack(&subscriber);
    assert_eq!(
        sent_messages(&mut subscriber),
        [ClientMessage::ResyncRequest(ResyncRequest {
            reason: ResyncReason::Gap as i32,
            version,
            digest
        })]
    );
    assert!(subscriber.pending().is_none());
    // A delta that leads to another digest.
    let differs = Delta {
        digest: 1,
        ..deltas[3].clone()
    };
    subscriber.on_frame(NOW, ServerMessage::Delta(differs).into_frame());
    assert_eq!(
        sent_messages(&mut subscriber),
        [ClientMessage::ResyncRequest(ResyncRequest {
            reason: ResyncReason::Diverged as i32,
            version,
            digest
        })]
    );
    assert_eq!(
        (
            subscriber.version(),
            subscriber.counters().gaps,
            subscriber.counters().divergences
        ),
        (3, 1, 1)
    );
    // The next delta is acknowledged once it is in force; other updates are ignored meanwhile.
    subscriber.on_frame(NOW, ServerMessage::Delta(deltas[3].clone()).into_frame());
    assert!(sent_messages(&mut subscriber).is_empty());
    subscriber.on_frame(
        NOW,
        ServerMessage::Delta(merge(&deltas[3], &deltas[4]).unwrap()).into_frame(),
    );
    subscriber.on_frame(
        NOW,
        ServerMessage::Ping(Ping {
            version: 5,
            age_ms: 0,
        })
        .into_frame(),
    );
    assert_eq!(
        sent_messages(&mut subscriber),
        [ClientMessage::Ack(Ack { version, digest })]
    );
    subscriber.on_applied(9);
    assert_eq!(subscriber.version(), 3, "version 9 is not pending");
    subscriber.on_applied(4);
    assert_eq!(
        sent_messages(&mut subscriber),
        [ClientMessage::Ack(current_ack(&subscriber))]
    );
    assert_eq!((subscriber.version(), subscriber.counters().busy), (4, 1));
    // A rejected version: the one before stays in force.
    subscriber.on_frame(NOW, ServerMessage::Delta(deltas[4].clone()).into_frame());
    subscriber.on_rejected(5, "no room for it");
    assert_eq!(
        sent_messages(&mut subscriber),
        [ClientMessage::Nack(Nack {
            version: 5,
            reason: "no room for it".into(),
            current_version: 4
        })]
    );
    assert_eq!(
        (
            subscriber.version(),
            subscriber.pending().map(PendingUpdate::version)
        ),
        (4, None)
    );
    // Without a link nothing is sent.
    subscriber.on_frame(
        NOW,
        ServerMessage::Delta(merge(&deltas[4], &deltas[5]).unwrap()).into_frame(),
    );
    subscriber.on_link_closed();
    subscriber.on_applied(6);
    assert!(sent_messages(&mut subscriber).is_empty() && subscriber.version() == 6);
}

#[test]
fn subscriber_detects_silent_and_stale_servers() {
    let after = |secs| NOW + Duration::from_secs(secs);
    let (mut subscriber, deltas) = subscriber_at_version_3();
    subscriber.on_frame(
        after(1),
        ServerMessage::Attached(Attached {
            version: 4,
            age_ms: 0,
        })
        .into_frame(),
    );
    assert_eq!(
        subscriber.staleness(after(1)),
        Duration::from_secs(1),
        "the server has a newer version"
    );
    subscriber.on_frame(
        after(1),
        ServerMessage::Delta(deltas[3].clone()).into_frame(),
    );
    subscriber.on_applied(4);
    assert_eq!(
        subscriber.staleness(after(2)),
        Duration::from_secs(1),
        "as current as the server was"
    );
    assert!(!subscriber.is_server_lost(after(1) + SERVER_TIMEOUT - Duration::from_nanos(1)));
    assert!(subscriber.is_server_lost(after(1) + SERVER_TIMEOUT));
    // Pings of a server that is cut off from the cluster.
    for secs in 2..30u64 {
        subscriber.on_frame(
            after(secs),
            ServerMessage::Ping(Ping {
                version: 4,
                age_ms: (secs - 1) * 1000,
            })
            .into_frame(),
        );
        assert_eq!(
            subscriber.staleness(after(secs)),
            Duration::from_secs(secs - 1)
        );
        assert_eq!(
            subscriber.is_server_lost(after(secs)),
            Duration::from_secs(secs - 1) >= SERVER_STALE_AFTER,
            "{secs}"
        );
    }
}
