//! Deltas, ranks, merging and snapshots.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{configuration, tenant};
use nanorand::{Rng, WyRand};
use rainstand_config::schema::{self, Configuration, Member, Route};
use rainstand_config_distribution::delta::{merge, ConfigState};
use rainstand_config_distribution::frames::{Delta, Resource, ResourceKind};
use rainstand_config_distribution::snapshot::{self, DecodedSnapshot};
use rainstand_config_distribution::UpdateError;

#[test]
fn every_schema_list_has_a_resource_kind() {
    let lists = schema::descriptor()
        .fields()
        .filter(|field| field.is_list())
        .count();
    // Members are resources of their own beside their pools.
    let kinds = (1..)
        .take_while(|kind| ResourceKind::try_from(*kind).is_ok())
        .count()
        - 1;
    assert_eq!(
        lists, kinds,
        "a list of the schema without a resource kind would be lost"
    );
    let text = rainstand_test_servers::size::Size::two_years()
        .part(0.01)
        .rain();
    let files = rainstand_config::source::Memory::new([("a.rain", text.as_str())]);
    let expected = rainstand_config::load(&files, "a.rain")
        .configuration
        .expect("no errors");
    assert_eq!(
        ConfigState::from_configuration(&expected)
            .unwrap()
            .configuration()
            .unwrap(),
        expected
    );
}

#[test]
fn changing_one_resource_yields_a_minimal_delta() {
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
fn repeated_route_insertion_rarely_reassigns_ranks() {
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
fn invalid_delta_leaves_state_unchanged() {
    let state =
        ConfigState::from_configuration(&configuration(&[("a", 1)], &["r1", "r2"])).unwrap();
    let good = state
        .delta_to(1, 2, &configuration(&[("a", 2)], &["r1", "r2"]))
        .unwrap();
    let resource = |kind: ResourceKind, name: &str, pool: &str, rank, body: Vec<u8>| Resource {
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
                ..resource(ResourceKind::Tenant, "x", "", 0, vec![])
            }),
        ),
        (
            "what it says cannot be read",
            Some(resource(ResourceKind::Tenant, "x", "", 0, vec![255])),
        ),
        (
            "what it says has another name",
            Some(resource(ResourceKind::Tenant, "x", "", 0, encoded("y"))),
        ),
        ("named twice", Some(good.upserts[0].clone())),
        (
            "a rank belongs to routes",
            Some(resource(ResourceKind::Tenant, "x", "", 4, encoded("x"))),
        ),
        (
            "two routes at one place",
            Some(resource(ResourceKind::Route, "r9", "", rank, route)),
        ),
        (
            "a member of a pool that is not there",
            Some(resource(ResourceKind::Member, "m", "nowhere", 0, member)),
        ),
        (
            "a pool's name belongs to members",
            Some(resource(ResourceKind::Tenant, "x", "p", 0, encoded("x"))),
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
fn merged_deltas_lead_to_the_same_state() {
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
fn snapshot_decoding_is_all_or_nothing() {
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
            // A flipped bit in the version number is detected by the chunk's header, not here.
            assert_eq!(read, state, "a bit flipped at {at} was accepted");
        }
    }
}
