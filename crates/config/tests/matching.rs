//! Which tickets a match takes, against chosen points.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rainstand_config::matching::{
    covers, first_mismatch, EarlierRoutes, Sample, Samples, MAX_COMPARISONS,
};
use rainstand_config::schema::{Configuration, Match, Route, Tenant, TrafficType};

fn any_match() -> impl Strategy<Value = Match> {
    let names = |letters: &'static [&'static str]| {
        proptest::collection::vec(proptest::sample::select(letters), 0..3).prop_map(|mut list| {
            list.sort_unstable();
            list.dedup();
            list.into_iter().map(str::to_owned).collect::<Vec<_>>()
        })
    };
    let size = (0u64..4, 0u64..6).prop_map(|(a, b)| if b == 0 { (a, 0) } else { (a.min(b), b) });
    (
        names(&["t", "u"]),
        names(&["a", "b", "c"]),
        names(&["x*", "xy*", "xyz", "*", "q"]),
        0i32..3,
        size,
    )
        .prop_map(
            |(types, tenants, entities, again, (size_least, size_most))| Match {
                types,
                tenants,
                entities,
                again,
                size_least,
                size_most,
            },
        )
}

fn with(routes: Vec<Match>) -> Configuration {
    let mut all = Configuration {
        version: 1,
        ..Configuration::default()
    };
    for name in ["t", "u"] {
        all.types.push(TrafficType {
            name: name.into(),
            ..Default::default()
        });
    }
    for name in ["a", "b", "c"] {
        all.tenants.push(Tenant {
            name: name.into(),
            ..Default::default()
        });
    }
    all.routes = routes
        .into_iter()
        .map(|m| Route {
            r#match: Some(m),
            ..Default::default()
        })
        .collect();
    all
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(16), failure_persistence: None, ..ProptestConfig::default() })]

    /// Against trying every point: the points stand for all, so both ways hold.
    #[test]
    fn covering_is_taking_all_its_points(outer in any_match(), inner in any_match()) {
        let all = with(vec![outer.clone(), inner.clone()]);
        let points = Samples::of(&[&all]);
        let every = points.each().all(|p| first_mismatch(Some(&inner), &p).is_some() || first_mismatch(Some(&outer), &p).is_none());
        // Patterns are compared one by one, so a covering by several of them together is not seen: the
        // prefixes here never add up to a longer one, but "any" is only covered by "*" or no list.
        let covered = covers(Some(&outer), Some(&inner), 2);
        prop_assert!(!covered || every);
        let inner_takes_something = points.each().any(|p| first_mismatch(Some(&inner), &p).is_none());
        prop_assert!(covered || !every || !inner_takes_something);
    }

    /// Against looking at all earlier ones.
    #[test]
    fn the_first_that_covers_is_found_by_parts(routes in proptest::collection::vec(any_match(), 1..9)) {
        let mut earlier = EarlierRoutes::new(2);
        for (k, matched) in routes.iter().enumerate() {
            let covered = |before: &usize| covers(Some(&routes[*before]), Some(matched), 2);
            let found = earlier.candidates(Some(matched)).filter(covered).min();
            prop_assert_eq!(found, (0..k).find(|before| covered(before)));
            earlier.add(k, Some(matched));
        }
    }

    /// The points tell apart whatever tickets near the borders do.
    #[test]
    fn points_stand_for_all_tickets(
        routes in proptest::collection::vec(any_match(), 1..4),
        entity in proptest::sample::select(vec!["", "x", "xy", "xyz", "xyzz", "xq", "q", "qq", "é"]),
        size in 0u64..8,
    ) {
        let all = with(routes);
        let points = Samples::of(&[&all]);
        let wanted = Sample { class: "t", tenant: "b", entity, is_retry: true, size };
        let pattern = |p: &Sample<'_>| all.routes.iter().map(|r| first_mismatch(r.r#match.as_ref(), p)).collect::<Vec<_>>();
        prop_assert!(points.each().any(|p| pattern(&p) == pattern(&wanted)));
    }
}

/// Routes of many services, each with its own entities: as many looks as routes, not their square.
#[test]
fn routes_with_entities_of_their_own_are_not_compared_with_each_other() {
    let own = |k: usize| Match {
        entities: vec![format!("s{}/r{k}/*", k % 490)],
        ..Match::default()
    };
    let mut routes: Vec<Match> = (0..5_400).map(own).collect();
    routes.push(Match {
        entities: vec!["s3/r493/x".into()],
        ..Match::default()
    });
    let mut earlier = EarlierRoutes::new(2);
    let mut hidden = Vec::new();
    for (k, matched) in routes.iter().enumerate() {
        let covered = |before: &usize| covers(Some(&routes[*before]), Some(matched), 2);
        hidden.extend(
            earlier
                .candidates(Some(matched))
                .filter(covered)
                .map(|by| (k, by)),
        );
        earlier.add(k, Some(matched));
    }
    assert_eq!(hidden, [(5_400, 493)]);
    assert!(
        MAX_COMPARISONS - earlier.budget() <= routes.len(),
        "{}",
        earlier.budget()
    );
}
