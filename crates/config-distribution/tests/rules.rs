//! The rules of each part alone, case by case.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use bytes::Bytes;
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration, Member, Pool, Route, Tenant};
use rainstand_config_distribution::attachment::{
    preference_order, AttachmentPolicy, NodeIdentity, ATTACH_JITTER, MAX_RETRY_DELAY,
};
use rainstand_config_distribution::delta::{merge, ConfigState};
use rainstand_config_distribution::frames::{
    Ack, Attach, Attached, ClientMessage, Delta, Nack, Ping, Resource, ResourceKind, ResyncReason,
    ResyncRequest, ServerMessage,
};
use rainstand_config_distribution::publisher::{self, Publisher, PublisherLimits};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::subscriber::{
    Effect, PendingUpdate, Subscriber, SERVER_STALE_AFTER, SERVER_TIMEOUT,
};
use rainstand_config_distribution::UpdateError;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(100);

fn tenant(name: &str, share: u64) -> Tenant {
    Tenant {
        name: name.into(),
        share,
        ..Tenant::default()
    }
}

fn configuration(tenants: &[(&str, u64)], routes: &[&str]) -> Configuration {
    let mut made = Configuration {
        version: schema::VERSION,
        ..Configuration::default()
    };
    made.tenants = tenants
        .iter()
        .map(|(name, share)| tenant(name, *share))
        .collect();
    made.routes = routes
        .iter()
        .map(|name| Route {
            name: (*name).into(),
            ..Route::default()
        })
        .collect();
    let members = vec![Member {
        name: "m".into(),
        ..Member::default()
    }];
    made.pools = vec![Pool {
        name: "p".into(),
        members,
        ..Pool::default()
    }];
    made.put_in_order();
    made
}

/// Versions 1 to n, each with tenant `a` at its number.
fn deltas(n: u64) -> Vec<Delta> {
    let mut state = ConfigState::default();
    let made = (1..=n).map(|version| {
        let configuration = configuration(&[("a", version), ("b", 7)], &["r"]);
        let delta = state
            .delta_to(version - 1, version, &configuration)
            .unwrap();
        state.apply(&delta).unwrap();
        delta
    });
    made.collect()
}

fn who(name: &str, region: &str, zone: &str) -> NodeIdentity {
    NodeIdentity {
        name: name.into(),
        region: region.into(),
        zone: zone.into(),
    }
}

#[test]
fn every_list_of_the_schema_is_carried() {
    let lists = schema::descriptor()
        .fields()
        .filter(|field| field.is_list())
        .count();
    // Members are things of their own beside their pools.
    let kinds = (1..)
        .take_while(|kind| ResourceKind::try_from(*kind).is_ok())
        .count()
        - 1;
    assert_eq!(
        lists, kinds,
        "a list of the schema that no kind of thing carries would be lost on the way"
    );
    let text = rainstand_test_servers::size::Size::two_years()
        .part(0.01)
        .rain();
    let files = rainstand_config::source::Memory::new([("a.rain", text.as_str())]);
    let whole = rainstand_config::load(&files, "a.rain")
        .configuration
        .expect("no errors");
    assert_eq!(
        ConfigState::from_configuration(&whole)
            .unwrap()
            .configuration()
            .unwrap(),
        whole
    );
}

#[test]
fn a_change_of_one_thing_is_a_delta_of_one_thing() {
    let before = configuration(&[("a", 1), ("b", 2), ("c", 3)], &["r1", "r2", "r3", "r4"]);
    let state = ConfigState::from_configuration(&before).unwrap();
    let cases: [(&str, [usize; 2], Configuration); 5] = [
        ("nothing", [0, 0], before.clone()),
        (
            "a share",
            [1, 0],
            configuration(&[("a", 9), ("b", 2), ("c", 3)], &["r1", "r2", "r3", "r4"]),
        ),
        (
            "one gone",
            [0, 1],
            configuration(&[("a", 1), ("c", 3)], &["r1", "r2", "r3", "r4"]),
        ),
        (
            "a route to the front",
            [1, 0],
            configuration(&[("a", 1), ("b", 2), ("c", 3)], &["r4", "r1", "r2", "r3"]),
        ),
        (
            "a route in between",
            [1, 0],
            configuration(
                &[("a", 1), ("b", 2), ("c", 3)],
                &["r1", "r2", "new", "r3", "r4"],
            ),
        ),
    ];
    for (what, counts, after) in cases {
        let delta = state.delta_to(1, 2, &after).unwrap();
        assert_eq!(
            [delta.upserts.len(), delta.removals.len()],
            counts,
            "{what}"
        );
        let mut changed = state.clone();
        changed.apply(&delta).unwrap();
        assert_eq!(changed.configuration().unwrap(), after, "{what}");
        assert!(changed.verify_digest(), "{what}");
    }
}

#[test]
fn routes_can_be_put_in_at_one_place_for_ever() {
    let mut names: Vec<String> = vec!["first".into(), "last".into()];
    let mut state = ConfigState::default();
    let mut large = 0;
    for k in 0..100 {
        names.insert(1, format!("r{k}"));
        let routes: Vec<&str> = names.iter().map(String::as_str).collect();
        let delta = state
            .delta_to(k, k + 1, &configuration(&[], &routes))
            .unwrap();
        large += usize::from(k > 0 && delta.upserts.len() > 1);
        state.apply(&delta).unwrap();
        assert_eq!(
            state.routes().map(|route| route.name).collect::<Vec<_>>(),
            routes
        );
    }
    assert!(
        (1..=4).contains(&large),
        "ranks were given anew {large} times"
    );
}

#[test]
fn a_delta_that_cannot_be_applied_whole_changes_nothing() {
    let state =
        ConfigState::from_configuration(&configuration(&[("a", 1)], &["r1", "r2"])).unwrap();
    let good = state
        .delta_to(1, 2, &configuration(&[("a", 2)], &["r1", "r2"]))
        .unwrap();
    let thing = |kind: ResourceKind, name: &str, pool: &str, rank, body: Vec<u8>| Resource {
        kind: kind as i32,
        name: name.into(),
        pool: pool.into(),
        rank,
        body: body.into(),
    };
    let encoded = |name: &str| prost::Message::encode_to_vec(&tenant(name, 1));
    let route = prost::Message::encode_to_vec(&Route {
        name: "r9".into(),
        ..Route::default()
    });
    let member = prost::Message::encode_to_vec(&Member {
        name: "m".into(),
        ..Member::default()
    });
    let rank = state.routes().next().unwrap().rank;
    let bad = [
        ("another digest", None),
        (
            "of a kind that is not known here",
            Some(Resource {
                kind: 99,
                ..thing(ResourceKind::Tenant, "x", "", 0, vec![])
            }),
        ),
        (
            "what it says cannot be read",
            Some(thing(ResourceKind::Tenant, "x", "", 0, vec![255])),
        ),
        (
            "what it says has another name",
            Some(thing(ResourceKind::Tenant, "x", "", 0, encoded("y"))),
        ),
        ("named twice", Some(good.upserts[0].clone())),
        (
            "a rank belongs to routes",
            Some(thing(ResourceKind::Tenant, "x", "", 4, encoded("x"))),
        ),
        (
            "two routes at one place",
            Some(thing(ResourceKind::Route, "r9", "", rank, route)),
        ),
        (
            "a member of a pool that is not there",
            Some(thing(ResourceKind::Member, "m", "nowhere", 0, member)),
        ),
        (
            "a pool's name belongs to members",
            Some(thing(ResourceKind::Tenant, "x", "p", 0, encoded("x"))),
        ),
    ];
    for (why, thing) in bad {
        let mut delta = good.clone();
        match thing {
            Some(thing) => delta.upserts.push(thing),
            None => delta.digest ^= 1,
        }
        let mut changed = state.clone();
        let refused = changed.apply(&delta).unwrap_err();
        assert!(refused.to_string().contains(why), "{why}: {refused}");
        assert_eq!(changed, state, "{why}");
    }
    let mut without = good.clone();
    without
        .removals
        .push(rainstand_config_distribution::frames::ResourceName {
            kind: ResourceKind::Pool as i32,
            name: "p".into(),
            pool: "".into(),
        });
    assert!(state
        .validate(&without)
        .unwrap_err()
        .to_string()
        .contains("goes without its members"));
}

#[test]
fn deltas_made_into_one_lead_to_the_same() {
    let mut chance = WyRand::new_seed(4);
    let mut state = ConfigState::default();
    let first = state.clone();
    let mut all: Option<Delta> = None;
    for version in 0..60u64 {
        let tenants: Vec<String> = (0..6)
            .filter(|_| chance.generate::<bool>())
            .map(|k| format!("t{k}"))
            .collect();
        let tenants: Vec<(&str, u64)> = tenants
            .iter()
            .map(|name| (name.as_str(), version))
            .collect();
        let mut routes = ["r1", "r2", "r3", "r4", "r5"];
        chance.shuffle(&mut routes);
        let delta = state
            .delta_to(version, version + 1, &configuration(&tenants, &routes))
            .unwrap();
        state.apply(&delta).unwrap();
        all = Some(match all {
            Some(before) => merge(&before, &delta).unwrap(),
            None => delta,
        });
        let mut at_once = first.clone();
        at_once.apply(all.as_ref().unwrap()).unwrap();
        assert_eq!(at_once, state);
    }
    let gap = Delta {
        from: 3,
        to: 4,
        ..Delta::default()
    };
    assert_eq!(
        merge(&all.unwrap(), &gap),
        Err(UpdateError::VersionMismatch {
            base: 3,
            current: 60
        })
    );
}

#[test]
fn a_snapshot_is_read_back_whole_or_not_at_all() {
    let state =
        ConfigState::from_configuration(&configuration(&[("a", 1), ("b", 2)], &["r1", "r2"]))
            .unwrap();
    let packed = snapshot::encode(5, &state).unwrap();
    assert_eq!(
        packed,
        snapshot::encode(5, &state.clone()).unwrap(),
        "like states give like bytes"
    );
    let DecodedSnapshot {
        version,
        state: read,
    } = snapshot::decode(&packed).unwrap();
    assert_eq!((version, &read), (5, &state));
    for cut in 0..packed.len() {
        assert!(snapshot::decode(&packed[..cut]).is_err(), "cut at {cut}");
    }
    for at in 0..packed.len() {
        let mut turned = packed.clone();
        turned[at] ^= 4;
        if let Ok(DecodedSnapshot { state: read, .. }) = snapshot::decode(&turned) {
            // A bit of the version's number is told by the frame around it.
            assert_eq!(read, state, "a bit that turned over at {at} was taken");
        }
    }
}

fn sent(subscriber: &mut Subscriber) -> Vec<ClientMessage> {
    let orders = subscriber.take_effects().collect::<Vec<_>>();
    let sent = orders.into_iter().filter_map(|order| match order {
        Effect::Send(frame) => Some(ClientMessage::from_frame(frame).unwrap()),
        _ => None,
    });
    sent.collect()
}

/// At version 3, on a link.
fn subscriber() -> (Subscriber, Vec<Delta>) {
    let deltas = deltas(6);
    let mut state = ConfigState::default();
    deltas[..3]
        .iter()
        .for_each(|delta| state.apply(delta).unwrap());
    let mut subscriber = Subscriber::with_version(NOW, who("n", "r", "z"), 3, state);
    subscriber.on_connected(NOW);
    assert!(matches!(
        &sent(&mut subscriber)[..],
        [ClientMessage::Attach(Attach { version: 3, .. })]
    ));
    (subscriber, deltas)
}

#[test]
fn a_subscriber_takes_what_begins_at_its_version_and_nothing_else() {
    let held = |s: &Subscriber| Ack {
        version: s.version(),
        digest: s.state().digest(),
    };
    // Stale, twice.
    for at in [0, 2] {
        let (mut one, deltas) = subscriber();
        one.on_frame(NOW, ServerMessage::Delta(deltas[at].clone()).into_frame());
        assert_eq!(sent(&mut one), [ClientMessage::Ack(held(&one))]);
        assert_eq!((one.version(), one.counters().stale), (3, 1));
    }
    // A gap: out of order.
    let (mut one, deltas) = subscriber();
    one.on_frame(NOW, ServerMessage::Delta(deltas[4].clone()).into_frame());
    let Ack { version, digest } = held(&one);
    assert_eq!(
        sent(&mut one),
        [ClientMessage::ResyncRequest(ResyncRequest {
            reason: ResyncReason::Gap as i32,
            version,
            digest
        })]
    );
    assert!(one.pending().is_none());
    // Another digest.
    let differs = Delta {
        digest: 1,
        ..deltas[3].clone()
    };
    one.on_frame(NOW, ServerMessage::Delta(differs).into_frame());
    assert_eq!(
        sent(&mut one),
        [ClientMessage::ResyncRequest(ResyncRequest {
            reason: ResyncReason::Diverged as i32,
            version,
            digest
        })]
    );
    assert_eq!(
        (
            one.version(),
            one.counters().gaps,
            one.counters().divergences
        ),
        (3, 1, 1)
    );
    // The right one: confirmed only when it is in force, and whatever comes meanwhile is left.
    one.on_frame(NOW, ServerMessage::Delta(deltas[3].clone()).into_frame());
    assert!(sent(&mut one).is_empty());
    one.on_frame(
        NOW,
        ServerMessage::Delta(merge(&deltas[3], &deltas[4]).unwrap()).into_frame(),
    );
    one.on_frame(
        NOW,
        ServerMessage::Ping(Ping {
            version: 5,
            age_ms: 0,
        })
        .into_frame(),
    );
    assert_eq!(
        sent(&mut one),
        [ClientMessage::Ack(Ack { version, digest })]
    );
    one.on_applied(9);
    assert_eq!(one.version(), 3, "not the version that it is at work on");
    one.on_applied(4);
    assert_eq!(sent(&mut one), [ClientMessage::Ack(held(&one))]);
    assert_eq!((one.version(), one.counters().busy), (4, 1));
    // Refused: the last good one stays.
    one.on_frame(NOW, ServerMessage::Delta(deltas[4].clone()).into_frame());
    one.on_rejected(5, "no room for it");
    assert_eq!(
        sent(&mut one),
        [ClientMessage::Nack(Nack {
            version: 5,
            reason: "no room for it".into(),
            current_version: 4
        })]
    );
    assert_eq!(
        (one.version(), one.pending().map(PendingUpdate::version)),
        (4, None)
    );
    // Without a link nothing is sent.
    one.on_frame(
        NOW,
        ServerMessage::Delta(merge(&deltas[4], &deltas[5]).unwrap()).into_frame(),
    );
    one.on_link_closed();
    one.on_applied(6);
    assert!(sent(&mut one).is_empty() && one.version() == 6);
}

#[test]
fn a_subscriber_knows_its_age_and_leaves_who_is_silent_or_out_of_touch() {
    let after = |secs| NOW + Duration::from_secs(secs);
    let (mut one, deltas) = subscriber();
    one.on_frame(
        after(1),
        ServerMessage::Attached(Attached {
            version: 4,
            age_ms: 0,
        })
        .into_frame(),
    );
    assert_eq!(
        one.staleness(after(1)),
        Duration::from_secs(1),
        "a newer one is known of"
    );
    one.on_frame(
        after(1),
        ServerMessage::Delta(deltas[3].clone()).into_frame(),
    );
    one.on_applied(4);
    assert_eq!(
        one.staleness(after(2)),
        Duration::from_secs(1),
        "as new as what the machine said"
    );
    assert!(!one.is_server_lost(after(1) + SERVER_TIMEOUT - Duration::from_nanos(1)));
    assert!(one.is_server_lost(after(1) + SERVER_TIMEOUT));
    // Pings of a machine that itself hears nothing.
    for secs in 2..30u64 {
        one.on_frame(
            after(secs),
            ServerMessage::Ping(Ping {
                version: 4,
                age_ms: (secs - 1) * 1000,
            })
            .into_frame(),
        );
        assert_eq!(one.staleness(after(secs)), Duration::from_secs(secs - 1));
        assert_eq!(
            one.is_server_lost(after(secs)),
            Duration::from_secs(secs - 1) >= SERVER_STALE_AFTER,
            "{secs}"
        );
    }
}

/// Frames to one link.
fn to(source: &mut Publisher, link: u64) -> Vec<ServerMessage> {
    let orders = source.take_effects().collect::<Vec<_>>();
    let sent = orders.into_iter().filter_map(|order| match order {
        publisher::Effect::Send { link: to, frame } if to == link => {
            Some(ServerMessage::from_frame(frame).unwrap())
        }
        _ => None,
    });
    sent.collect()
}

fn attach(name: &str, version: u64, digest: u64) -> Bytes {
    let takes = schema::VERSION;
    ClientMessage::Attach(Attach {
        name: name.into(),
        version,
        digest,
        schema_version: takes,
        ..Attach::default()
    })
    .into_frame()
}

#[test]
fn a_machine_says_that_nothing_is_newer_also_while_changes_follow_each_other() {
    let deltas = deltas(100);
    let mut source = Publisher::new(NOW, PublisherLimits::default(), 1);
    let mut one = Subscriber::new(NOW, who("n", "r", "z"));
    one.on_connected(NOW);
    let mut now = NOW;
    for delta in deltas {
        now += Duration::from_millis(500);
        source.mark_current(now);
        source.apply_committed(now, delta).unwrap();
        source.tick(now);
        for _ in 0..4 {
            for order in one.take_effects().collect::<Vec<_>>() {
                match order {
                    Effect::Send(frame) => source.on_frame(now, 1, frame),
                    Effect::Apply(version) => one.on_applied(version),
                    _ => {}
                }
            }
            to(&mut source, 1)
                .into_iter()
                .for_each(|down| one.on_frame(now, down.into_frame()));
        }
        assert!(
            !one.is_server_lost(now),
            "left though it is in touch, at version {}",
            one.version()
        );
    }
    assert_eq!(one.version(), 100);
}

#[test]
fn a_slow_subscriber_gets_one_change_at_a_time_and_then_the_newest() {
    let deltas = deltas(200);
    let mut source = Publisher::new(NOW, PublisherLimits::default(), 1);
    source.apply_committed(NOW, deltas[0].clone()).unwrap();
    source.on_frame(NOW, 7, attach("slow", 1, deltas[0].digest));
    assert!(matches!(
        to(&mut source, 7)[..],
        [ServerMessage::Attached(Attached { version: 1, .. })]
    ));
    for delta in &deltas[1..199] {
        source.apply_committed(NOW, delta.clone()).unwrap();
    }
    // The first is on its way; the others wait for its confirmation.
    assert!(matches!(
        &to(&mut source, 7)[..],
        [ServerMessage::Delta(Delta { from: 1, to: 2, .. })]
    ));
    source.on_frame(
        NOW,
        7,
        ClientMessage::Ack(Ack {
            version: 2,
            digest: deltas[1].digest,
        })
        .into_frame(),
    );
    let got = to(&mut source, 7);
    assert!(
        matches!(&got[..], [ServerMessage::Delta(Delta { from: 2, to: 199, upserts, .. })] if upserts.len() == 1),
        "{got:?}"
    );
    // Refused: nothing more until there is a newer one.
    source.on_frame(
        NOW,
        7,
        ClientMessage::Nack(Nack {
            version: 199,
            reason: "no".into(),
            current_version: 2,
        })
        .into_frame(),
    );
    source.tick(NOW + Duration::from_secs(1));
    assert!(to(&mut source, 7).is_empty());
    let progress = &source.progress(1)[0];
    assert_eq!(
        (
            progress.version,
            progress.acknowledged,
            progress.rejected,
            progress.behind
        ),
        (199, 0, 1, 0)
    );
    source.apply_committed(NOW, deltas[199].clone()).unwrap();
    assert!(matches!(
        &to(&mut source, 7)[..],
        [ServerMessage::Delta(Delta {
            from: 2,
            to: 200,
            ..
        })]
    ));
    // Made from an old version: a conflict, and nothing changes.
    let refused = source
        .apply_committed(NOW, deltas[150].clone())
        .unwrap_err();
    assert_eq!(
        refused,
        UpdateError::VersionMismatch {
            base: 150,
            current: 200
        }
    );
    assert_eq!(source.version(), 200);
}

#[test]
fn who_is_further_back_than_the_history_gets_the_snapshot_on_from_where_it_was_cut() {
    let deltas = deltas(20);
    let bounds = PublisherLimits {
        max_history_entries: 4,
        chunk_bytes: 10,
        window_chunks: 2,
        ..PublisherLimits::default()
    };
    let mut machines = [
        Publisher::new(NOW, bounds, 1),
        Publisher::new(NOW, bounds, 2),
    ];
    for machine in &mut machines {
        deltas
            .iter()
            .for_each(|delta| machine.apply_committed(NOW, delta.clone()).unwrap());
    }
    for (holds, delta) in [(20, None), (16, Some(16)), (15, None), (0, None)] {
        let digest = deltas
            .get((holds as usize).wrapping_sub(1))
            .map_or(0, |delta| delta.digest);
        machines[0].on_frame(NOW, holds, attach(&format!("n{holds}"), holds, digest));
        let got = to(&mut machines[0], holds);
        match got.get(1) {
            None => assert_eq!(holds, 20),
            Some(ServerMessage::Delta(got)) => assert_eq!(Some(got.from), delta),
            Some(ServerMessage::SnapshotChunk(piece)) => {
                assert!(holds < 16 && piece.offset == 0 && got.len() == 3, "{got:?}")
            }
            other => panic!("{holds}: {other:?}"),
        }
    }
    // Cut after some pieces, on from there at another machine.
    let mut one = Subscriber::new(NOW, who("n", "r", "z"));
    let mut pieces = 0;
    for (machine, most) in [(0, 3), (1, 1_000)] {
        one.on_connected(NOW);
        let link = 50 + machine as u64;
        while pieces < most {
            let up: Vec<Effect> = one.take_effects().collect();
            if let Some(Effect::Apply(version)) =
                up.iter().find(|order| matches!(order, Effect::Apply(_)))
            {
                assert_eq!(*version, 20);
                one.on_applied(20);
                break;
            }
            for order in up {
                if let Effect::Send(frame) = order {
                    machines[machine].on_frame(NOW, link, frame);
                }
            }
            for down in to(&mut machines[machine], link) {
                pieces += usize::from(matches!(down, ServerMessage::SnapshotChunk(_)));
                one.on_frame(NOW, down.into_frame());
            }
        }
        one.on_link_closed();
    }
    let length = machines[0].compressed_snapshot().unwrap().len();
    assert_eq!((one.version(), one.state()), (20, machines[0].state()));
    // Each byte came once, but for the window that was on its way at the cut.
    assert!(
        pieces <= length.div_ceil(10) + 2,
        "{pieces} pieces for {length} bytes"
    );
}

#[test]
fn more_attachments_than_a_machine_takes_are_told_when_to_come_back_one_after_another() {
    let mut source = Publisher::new(
        NOW,
        PublisherLimits {
            max_subscribers: 500,
            ..PublisherLimits::default()
        },
        1,
    );
    let mut waits = Vec::new();
    for link in 0..300 {
        source.on_frame(NOW, link, attach(&format!("n{link}"), 0, 0));
        match to(&mut source, link)[..] {
            [ServerMessage::Attached(_)] => assert!(waits.is_empty()),
            [ServerMessage::RetryAfter(back)] => waits.push(back.after_ms),
            ref other => panic!("{other:?}"),
        }
    }
    assert_eq!(waits.len(), 279);
    let spread = waits.windows(2).all(|pair| pair[1] >= pair[0]) && waits[278] >= 2_700;
    assert!(spread, "{waits:?}");
    // Those that come at their time are taken.
    for (link, after) in (1000..).zip(waits) {
        source.on_frame(
            NOW + Duration::from_millis(after),
            link,
            attach(&format!("late{link}"), 0, 0),
        );
        assert!(
            matches!(to(&mut source, link)[..], [ServerMessage::Attached(_)]),
            "after {after} ms"
        );
    }
    // All that it takes: elsewhere.
    for link in 5000..5300 {
        source.on_frame(
            NOW + Duration::from_secs(60 + link),
            link,
            attach(&format!("n{link}"), 0, 0),
        );
    }
    let told = to(&mut source, 5299);
    assert!(
        matches!(told[..], [ServerMessage::RetryAfter(back)] if back.elsewhere),
        "{told:?}"
    );
}

#[test]
fn machines_are_tried_near_first_and_evenly() {
    let machines: Vec<NodeIdentity> = (0..6)
        .map(|k| who(&format!("c{k}"), &format!("r{}", k / 3), &format!("z{k}")))
        .collect();
    for k in 0..60 {
        let place = k % 6;
        let one = who(
            &format!("n{k}"),
            &format!("r{}", place / 3),
            &format!("z{place}"),
        );
        let preference_order = preference_order(&one, &machines);
        assert_eq!(preference_order[0], place, "its own zone first");
        assert!(
            preference_order[1..3]
                .iter()
                .all(|machine| machine / 3 == place / 3),
            "then its region"
        );
    }
    // The zone's machine gone: its 105 go to the other two of the region, about half each.
    let seconds: Vec<usize> = (0..105)
        .map(|k| preference_order(&who(&format!("n{k}"), "r0", "z0"), &machines)[1])
        .collect();
    let first = seconds.iter().filter(|machine| **machine == 1).count();
    assert!((35..=70).contains(&first), "{first} of 105");
}

#[test]
fn waits_are_drawn_and_grow() {
    let machines = [who("c0", "r", "z"), who("c1", "r", "z")];
    let mut firsts = Vec::new();
    for seed in 0..200 {
        let mut now = NOW;
        let mut chooser = AttachmentPolicy::new(now, &who("n", "r", "z"), &machines, seed);
        now = chooser.next_deadline().unwrap();
        let first = chooser.next_server(now).unwrap();
        assert_eq!(chooser.next_server(now), None, "one at a time");
        chooser.on_attached(now);
        now += Duration::from_secs(30);
        chooser.on_disconnected(now);
        firsts.push(chooser.next_deadline().unwrap() - now);
        let mut most = ATTACH_JITTER;
        for k in 1..8 {
            let wait = chooser.next_deadline().unwrap() - now;
            assert!(wait <= most, "{wait:?} after {k}");
            now += wait;
            assert_eq!(chooser.next_server(now), Some((first + k) % 2));
            chooser.on_disconnected(now);
            most = (most * 2).min(MAX_RETRY_DELAY);
        }
    }
    let early = firsts
        .iter()
        .filter(|wait| **wait < ATTACH_JITTER / 4)
        .count();
    assert!(
        (25..=75).contains(&early),
        "{early} of 200 in the first quarter"
    );
}
