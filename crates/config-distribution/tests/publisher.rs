//! What a publisher sends to its subscribers, and which attachments it accepts.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use bytes::Bytes;
use common::{deltas, identity, NOW};
use rainstand_config::schema;
use rainstand_config_distribution::frames::{
    Ack, Attach, Attached, ClientMessage, Delta, Nack, ServerMessage,
};
use rainstand_config_distribution::publisher::{self, Publisher, PublisherLimits};
use rainstand_config_distribution::subscriber::{Effect, Subscriber};
use rainstand_config_distribution::UpdateError;
use std::time::Duration;

/// Messages that are to be sent on one link.
fn messages_to(publisher: &mut Publisher, link: u64) -> Vec<ServerMessage> {
    let effects = publisher.take_effects().collect::<Vec<_>>();
    let sent = effects.into_iter().filter_map(|effect| match effect {
        publisher::Effect::Send { link: to, frame } if to == link => {
            Some(ServerMessage::from_frame(frame).unwrap())
        }
        _ => None,
    });
    sent.collect()
}

fn attach_frame(name: &str, version: u64, digest: u64) -> Bytes {
    let schema_version = schema::VERSION;
    ClientMessage::Attach(Attach {
        name: name.into(),
        version,
        digest,
        schema_version,
        ..Attach::default()
    })
    .into_frame()
}

#[test]
fn pings_continue_during_frequent_commits() {
    let deltas = deltas(100);
    let mut publisher = Publisher::new(NOW, PublisherLimits::default(), 1);
    let mut subscriber = Subscriber::new(NOW, identity("n", "r", "z"));
    subscriber.on_connected(NOW);
    let mut now = NOW;
    for delta in deltas {
        now += Duration::from_millis(500);
        publisher.mark_current(now);
        publisher.apply_committed(now, delta).unwrap();
        publisher.tick(now);
        for _ in 0..4 {
            for effect in subscriber.take_effects().collect::<Vec<_>>() {
                match effect {
                    Effect::Send(frame) => publisher.on_frame(now, 1, frame),
                    Effect::Apply(version) => subscriber.on_applied(version),
                    _ => {}
                }
            }
            messages_to(&mut publisher, 1)
                .into_iter()
                .for_each(|message| subscriber.on_frame(now, message.into_frame()));
        }
        assert!(
            !subscriber.is_server_lost(now),
            "the server is considered lost at version {}",
            subscriber.version()
        );
    }
    assert_eq!(subscriber.version(), 100);
}

#[test]
fn slow_subscriber_skips_intermediate_versions() {
    let deltas = deltas(200);
    let mut publisher = Publisher::new(NOW, PublisherLimits::default(), 1);
    publisher.apply_committed(NOW, deltas[0].clone()).unwrap();
    publisher.on_frame(NOW, 7, attach_frame("slow", 1, deltas[0].digest));
    assert!(matches!(
        messages_to(&mut publisher, 7)[..],
        [ServerMessage::Attached(Attached { version: 1, .. })]
    ));
    for delta in &deltas[1..199] {
        publisher.apply_committed(NOW, delta.clone()).unwrap();
    }
    // The first delta is in flight; the others wait for its acknowledgement.
    assert!(matches!(
        &messages_to(&mut publisher, 7)[..],
        [ServerMessage::Delta(Delta { from: 1, to: 2, .. })]
    ));
    publisher.on_frame(
        NOW,
        7,
        ClientMessage::Ack(Ack {
            version: 2,
            digest: deltas[1].digest,
        })
        .into_frame(),
    );
    let messages = messages_to(&mut publisher, 7);
    assert!(
        matches!(&messages[..], [ServerMessage::Delta(Delta { from: 2, to: 199, upserts, .. })] if upserts.len() == 1),
        "{messages:?}"
    );
    // A rejected version: nothing is sent until there is a newer one.
    publisher.on_frame(
        NOW,
        7,
        ClientMessage::Nack(Nack {
            version: 199,
            reason: "no".into(),
            current_version: 2,
        })
        .into_frame(),
    );
    publisher.tick(NOW + Duration::from_secs(1));
    assert!(messages_to(&mut publisher, 7).is_empty());
    let progress = &publisher.progress(1)[0];
    assert_eq!(
        (
            progress.version,
            progress.acknowledged,
            progress.rejected,
            progress.behind
        ),
        (199, 0, 1, 0)
    );
    publisher.apply_committed(NOW, deltas[199].clone()).unwrap();
    assert!(matches!(
        &messages_to(&mut publisher, 7)[..],
        [ServerMessage::Delta(Delta {
            from: 2,
            to: 200,
            ..
        })]
    ));
    // A delta from an old version is a conflict, and changes nothing.
    let refused = publisher
        .apply_committed(NOW, deltas[150].clone())
        .unwrap_err();
    assert_eq!(
        refused,
        UpdateError::VersionMismatch {
            base: 150,
            current: 200
        }
    );
    assert_eq!(publisher.version(), 200);
}

#[test]
fn subscriber_behind_history_resumes_snapshot_on_another_server() {
    let deltas = deltas(20);
    let limits = PublisherLimits {
        max_history_entries: 4,
        chunk_bytes: 10,
        window_chunks: 2,
        ..PublisherLimits::default()
    };
    let mut servers = [
        Publisher::new(NOW, limits, 1),
        Publisher::new(NOW, limits, 2),
    ];
    for server in &mut servers {
        deltas
            .iter()
            .for_each(|delta| server.apply_committed(NOW, delta.clone()).unwrap());
    }
    for (version, delta) in [(20, None), (16, Some(16)), (15, None), (0, None)] {
        let digest = deltas
            .get((version as usize).wrapping_sub(1))
            .map_or(0, |delta| delta.digest);
        servers[0].on_frame(
            NOW,
            version,
            attach_frame(&format!("n{version}"), version, digest),
        );
        let messages = messages_to(&mut servers[0], version);
        match messages.get(1) {
            None => assert_eq!(version, 20),
            Some(ServerMessage::Delta(messages)) => assert_eq!(Some(messages.from), delta),
            Some(ServerMessage::SnapshotChunk(chunk)) => {
                assert!(
                    version < 16 && chunk.offset == 0 && messages.len() == 3,
                    "{messages:?}"
                )
            }
            other => panic!("{version}: {other:?}"),
        }
    }
    // A transfer that is interrupted after some chunks is resumed on another server.
    let mut subscriber = Subscriber::new(NOW, identity("n", "r", "z"));
    let mut chunks = 0;
    for (server, most) in [(0, 3), (1, 1_000)] {
        subscriber.on_connected(NOW);
        let link = 50 + server as u64;
        while chunks < most {
            let up: Vec<Effect> = subscriber.take_effects().collect();
            if let Some(Effect::Apply(version)) =
                up.iter().find(|effect| matches!(effect, Effect::Apply(_)))
            {
                assert_eq!(*version, 20);
                subscriber.on_applied(20);
                break;
            }
            for effect in up {
                if let Effect::Send(frame) = effect {
                    servers[server].on_frame(NOW, link, frame);
                }
            }
            for message in messages_to(&mut servers[server], link) {
                chunks += usize::from(matches!(message, ServerMessage::SnapshotChunk(_)));
                subscriber.on_frame(NOW, message.into_frame());
            }
        }
        subscriber.on_link_closed();
    }
    let length = servers[0].compressed_snapshot().unwrap().len();
    assert_eq!(
        (subscriber.version(), subscriber.state()),
        (20, servers[0].state())
    );
    // Each byte arrived once, except for the window that was in flight at the interruption.
    assert!(
        chunks <= length.div_ceil(10) + 2,
        "{chunks} chunks for {length} bytes"
    );
}

#[test]
fn excess_attachments_get_distinct_retry_times() {
    let mut publisher = Publisher::new(
        NOW,
        PublisherLimits {
            max_subscribers: 500,
            ..PublisherLimits::default()
        },
        1,
    );
    let mut delays = Vec::new();
    for link in 0..300 {
        publisher.on_frame(NOW, link, attach_frame(&format!("n{link}"), 0, 0));
        match messages_to(&mut publisher, link)[..] {
            [ServerMessage::Attached(_)] => assert!(delays.is_empty()),
            [ServerMessage::RetryAfter(back)] => delays.push(back.after_ms),
            ref other => panic!("{other:?}"),
        }
    }
    assert_eq!(delays.len(), 279);
    let spread = delays.windows(2).all(|pair| pair[1] >= pair[0]) && delays[278] >= 2_700;
    assert!(spread, "{delays:?}");
    // Subscribers that retry at their time are accepted.
    for (link, after) in (1000..).zip(delays) {
        publisher.on_frame(
            NOW + Duration::from_millis(after),
            link,
            attach_frame(&format!("late{link}"), 0, 0),
        );
        assert!(
            matches!(
                messages_to(&mut publisher, link)[..],
                [ServerMessage::Attached(_)]
            ),
            "after {after} ms"
        );
    }
    // A full server refers to other servers.
    for link in 5000..5300 {
        publisher.on_frame(
            NOW + Duration::from_secs(60 + link),
            link,
            attach_frame(&format!("n{link}"), 0, 0),
        );
    }
    let messages = messages_to(&mut publisher, 5299);
    assert!(
        matches!(messages[..], [ServerMessage::RetryAfter(back)] if back.elsewhere),
        "{messages:?}"
    );
}
