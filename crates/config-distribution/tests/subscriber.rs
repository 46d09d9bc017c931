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
    ServerMessage, SnapshotChunk,
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

/// A subscriber at version 3 that stores versions, on an open link, and the deltas to the versions 1 to 6.
fn storing_subscriber_at_version_3() -> (Subscriber, Vec<Delta>) {
    let (plain, deltas) = subscriber_at_version_3();
    let state = plain.state().clone();
    let mut subscriber =
        Subscriber::with_version(NOW, identity("n", "r", "z"), 3, state).with_durable_storage();
    subscriber.on_connected(NOW);
    sent_messages(&mut subscriber);
    (subscriber, deltas)
}

/// The versions that the subscriber acknowledged, and what it asked the driver to do, since the last call.
fn acks_and_work(subscriber: &mut Subscriber) -> (Vec<u64>, Vec<Effect>) {
    let (mut acks, mut work) = (Vec::new(), Vec::new());
    for effect in subscriber.take_effects().collect::<Vec<_>>() {
        match effect {
            Effect::Send(frame) => match ClientMessage::from_frame(frame).unwrap() {
                ClientMessage::Ack(ack) => acks.push(ack.version),
                ClientMessage::Nack(_) => {}
                other => panic!("{other:?}"),
            },
            Effect::Store(_) | Effect::Apply(_) => work.push(effect),
            _ => {}
        }
    }
    (acks, work)
}

fn ping() -> bytes::Bytes {
    ServerMessage::Ping(Ping {
        version: 6,
        age_ms: 0,
    })
    .into_frame()
}

/// Guards against an acknowledgement of a version that a crash could still undo: nothing that happens while a version is
/// being written lets it be applied or acknowledged.
#[test]
fn version_is_applied_and_acknowledged_only_after_it_is_stored() {
    type Meanwhile = fn(&mut Subscriber, &[Delta]);
    let cases: [(&str, Meanwhile); 6] = [
        ("nothing", |_, _| {}),
        ("a ping", |subscriber, _| subscriber.on_frame(NOW, ping())),
        ("the same delta again", |subscriber, deltas| {
            subscriber.on_frame(NOW, ServerMessage::Delta(deltas[3].clone()).into_frame());
        }),
        ("a delta to a newer version", |subscriber, deltas| {
            let newer = merge(&deltas[3], &deltas[4]).unwrap();
            subscriber.on_frame(NOW, ServerMessage::Delta(newer).into_frame());
        }),
        ("a new link", |subscriber, _| {
            subscriber.on_link_closed();
            subscriber.on_connected(NOW);
            let attach = sent_messages(subscriber);
            assert!(matches!(
                &attach[..],
                [ClientMessage::Attach(Attach { version: 3, .. })]
            ));
        }),
        ("a report that it was applied", |subscriber, _| {
            subscriber.on_applied(4);
        }),
    ];
    for (meanwhile, play) in cases {
        let (mut subscriber, deltas) = storing_subscriber_at_version_3();
        subscriber.on_frame(NOW, ServerMessage::Delta(deltas[3].clone()).into_frame());
        assert_eq!(
            acks_and_work(&mut subscriber),
            (vec![], vec![Effect::Store(4)]),
            "{meanwhile}"
        );
        play(&mut subscriber, &deltas);
        let (acks, work) = acks_and_work(&mut subscriber);
        assert!(acks.iter().all(|version| *version == 3), "{meanwhile}");
        assert_eq!((work, subscriber.version()), (vec![], 3), "{meanwhile}");
        subscriber.on_stored(4);
        assert_eq!(
            acks_and_work(&mut subscriber),
            (vec![], vec![Effect::Apply(4)]),
            "{meanwhile}"
        );
        subscriber.on_applied(4);
        let (acks, _) = acks_and_work(&mut subscriber);
        assert_eq!((acks, subscriber.version()), (vec![4], 4), "{meanwhile}");
    }
}

/// Guards against a version in force that is not on disk because the disk was full: the last good version stays in force,
/// the server is told why, and the version is applied without further messages once it can be stored.
#[test]
fn version_that_cannot_be_stored_is_rejected_and_stored_later() {
    let (mut subscriber, deltas) = storing_subscriber_at_version_3();
    subscriber.on_frame(NOW, ServerMessage::Delta(deltas[3].clone()).into_frame());
    sent_messages(&mut subscriber);
    subscriber.on_store_failed(NOW, 4, "no space");
    assert_eq!(
        sent_messages(&mut subscriber),
        [ClientMessage::Nack(Nack {
            version: 4,
            reason: "no space".into(),
            current_version: 3
        })]
    );
    // Later failures are not reported again, and the delays between the attempts grow to an upper bound.
    let mut now = NOW;
    let mut delays = Vec::new();
    for _ in 0..7 {
        let retry_at = subscriber.store_retry_at().unwrap();
        delays.push((retry_at - now).as_secs());
        subscriber.on_tick(retry_at - Duration::from_nanos(1));
        assert_eq!(acks_and_work(&mut subscriber), (vec![], vec![]));
        subscriber.on_tick(retry_at);
        assert_eq!(
            acks_and_work(&mut subscriber),
            (vec![], vec![Effect::Store(4)])
        );
        now = retry_at;
        subscriber.on_store_failed(now, 4, "no space");
        assert!(sent_messages(&mut subscriber).is_empty());
    }
    assert_eq!(delays, [1, 2, 4, 8, 16, 16, 16]);
    assert_eq!(subscriber.version(), 3);
    subscriber.on_tick(subscriber.store_retry_at().unwrap());
    subscriber.on_stored(4);
    subscriber.on_applied(4);
    let (acks, _) = acks_and_work(&mut subscriber);
    assert_eq!((acks, subscriber.version()), (vec![4], 4));
    assert_eq!(subscriber.counters().failed_writes, 8);

    // A newer version replaces one that could not be stored.
    subscriber.on_frame(NOW, ServerMessage::Delta(deltas[4].clone()).into_frame());
    subscriber.on_store_failed(now, 5, "no space");
    let newer = merge(&deltas[4], &deltas[5]).unwrap();
    subscriber.on_frame(now, ServerMessage::Delta(newer).into_frame());
    subscriber.on_stored(5);
    assert_eq!(
        acks_and_work(&mut subscriber).1,
        [Effect::Store(5), Effect::Store(6)],
        "the write of version 5 has failed"
    );
    subscriber.on_stored(6);
    subscriber.on_applied(6);
    let (acks, _) = acks_and_work(&mut subscriber);
    assert_eq!((acks, subscriber.version()), (vec![6], 6));
}

/// A config server that is behind leads no subscriber back, whatever it sends.
#[test]
fn server_that_is_behind_does_not_change_the_version_in_force() {
    let (mut subscriber, deltas) = storing_subscriber_at_version_3();
    let mut older = ConfigState::default();
    deltas[..2]
        .iter()
        .for_each(|delta| older.apply(delta).unwrap());
    let compressed = rainstand_config_distribution::snapshot::encode(2, &older).unwrap();
    let chunk = SnapshotChunk {
        version: 2,
        digest: older.digest(),
        offset: 0,
        length: compressed.len() as u64,
        bytes: compressed.into(),
    };
    let attached = Attached {
        version: 2,
        age_ms: 0,
    };
    for message in [
        ServerMessage::Attached(attached),
        ServerMessage::Delta(deltas[1].clone()),
        ServerMessage::SnapshotChunk(chunk),
        ServerMessage::Ping(Ping {
            version: 2,
            age_ms: 0,
        }),
    ] {
        subscriber.on_frame(NOW, message.into_frame());
        let (acks, work) = acks_and_work(&mut subscriber);
        assert!(acks.iter().all(|version| *version == 3));
        assert_eq!((work, subscriber.version()), (vec![], 3));
    }
}
