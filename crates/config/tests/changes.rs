//! The diff by meaning: what is nothing, what is something, and which tickets go elsewhere.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::diff::diff;
use rainstand_config::schema::Configuration;
use rainstand_config::{load, source::Memory};

const GROUND: &str = "type check { repeat: rerunnable; goal: 3 s; outer-limit: 7 s }
type register { repeat: exclusive; goal: 2 s; outer-limit: 6 s }
tenant acme { share: 60 % }
tenant beta { share: 10 % }
pool hall { member a { address: \"10.0.0.1:1\"; weight: 2 }; member b { address: \"10.0.0.2:1\" } }
pool far { member c { address: \"10.0.0.3:1\" } }
limits l { rate: 60 tickets/min; burst: 5 tickets }
";
const ROUTES: &str = "route one { match { tenant: acme, beta }; to: hall; limits: l }
route two { match { type: check; again: yes }; to: far }
route rest { to: hall 50 %, far 50 % }
";

fn made(files: &[(&str, String)]) -> Configuration {
    let all = files
        .iter()
        .map(|(name, text)| (*name, format!("rain 1\n{text}")));
    let outcome = load(&Memory::new(all), files[0].0);
    assert!(!outcome.has_errors(), "{:?}", outcome.findings);
    outcome.configuration.unwrap()
}

fn one(text: &str) -> Configuration {
    made(&[("a.rain", text.to_owned())])
}

fn told(old: &Configuration, new: &Configuration) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn what_means_nothing_is_no_change() {
    let old = one(&format!("{GROUND}{ROUTES}"));
    let split = "include \"b.rain\"\n# a remark\n";
    let apart = made(&[
        ("x/main.rain", format!("{split}{ROUTES}")),
        ("x/b.rain", GROUND.to_owned()),
    ]);
    let units =
        GROUND.replace("goal: 3 s", "goal: 3000 ms").replace("share: 60 %", "share: 60.0000 %").replace(
            "member a { address: \"10.0.0.1:1\"; weight: 2 }; member b { address: \"10.0.0.2:1\" }",
            "member b { address: \"10.0.0.2:1\" }; member a { weight: 2.0; address: \"10.0.0.1:1\" }",
        );
    let mut lines: Vec<&str> = units.lines().collect();
    lines.reverse();
    let lists = ROUTES
        .replace("acme, beta", "beta, acme")
        .replace("hall 50 %, far 50 %", "far 50 %, hall 50 %");
    for new in [
        apart,
        one(&format!("{units}{lists}")),
        one(&format!("{lists}{}\n", lines.join("\n"))),
    ] {
        assert_eq!(told(&old, &new), [] as [&str; 0]);
    }
    // Neighbours that no ticket can match both: their order means nothing.
    let apart =
        "route a { match { again: yes }; to: far }\nroute b { match { again: no }; to: hall }\n";
    let swapped =
        "route b { match { again: no }; to: hall }\nroute a { match { again: yes }; to: far }\n";
    assert_eq!(
        told(
            &one(&format!("{GROUND}{apart}")),
            &one(&format!("{GROUND}{swapped}"))
        ),
        [] as [&str; 0]
    );
}

#[test]
fn files_are_read_where_they_are_first_included() {
    let part = |name: &str, more: &str| {
        format!("{more}route {name} {{ match {{ entity: \"{name}\" }}; to: hall }}\n")
    };
    let files = [
        (
            "m.rain",
            format!(
                "{GROUND}{}include \"b.rain\"\n{}include \"d.rain\"\n{}",
                part("a", ""),
                part("c", ""),
                part("f", "")
            ),
        ),
        ("b.rain", part("b", "include \"e.rain\"\n")),
        (
            "d.rain",
            part("d", "include \"e.rain\"\ninclude \"b.rain\"\n"),
        ),
        ("e.rain", part("e", "")),
    ];
    let order: Vec<String> = made(&files)
        .routes
        .into_iter()
        .map(|route| route.name)
        .collect();
    assert_eq!(order, ["a", "e", "b", "c", "d", "f"]);
}

#[test]
fn each_change_is_told_in_the_languages_own_words() {
    let old = format!("{GROUND}{ROUTES}");
    let table = [
        (
            "goal: 3 s",
            "goal: 2500 ms",
            vec!["~ type check: goal: `3 s` -> `2500 ms`"],
        ),
        (
            "exclusive",
            "rerunnable",
            vec!["~ type register: repeat: `exclusive` -> `rerunnable`"],
        ),
        (
            "weight: 2",
            "weight: 1.5",
            vec!["~ pool hall, member a: weight: `2` -> `1.5`"],
        ),
        (
            "60 tickets/min",
            "1 tickets/s",
            vec!["~ limits l: rate: `60 tickets/min` -> `1 tickets/s`"],
        ),
        (
            "; limits: l",
            "",
            vec!["~ route one: limits: `l` -> not set"],
        ),
        (
            "tenant beta { share: 10 % }",
            "tenant beta { share: 10 % }\ntenant new { share: 1 % }",
            vec!["+ tenant new"],
        ),
        (
            "; member b { address: \"10.0.0.2:1\" }",
            "",
            vec!["- pool hall, member b"],
        ),
        (
            "hall 50 %, far 50 %",
            "hall 40 %, far 60 %",
            vec!["~ route rest: to: `far 50 %, hall 50 %` -> `far 60 %, hall 40 %`"],
        ),
    ];
    for (from, to, wanted) in table {
        assert!(old.contains(from));
        assert_eq!(told(&one(&old), &one(&old.replace(from, to))), wanted);
    }
}

#[test]
fn a_changed_order_says_which_tickets_go_elsewhere() {
    let old = one(&format!("{GROUND}{ROUTES}"));
    let lines: Vec<&str> = ROUTES.lines().collect();
    let new = one(&format!(
        "{GROUND}{}\n{}\n{}\n",
        lines[1], lines[0], lines[2]
    ));
    assert_eq!(
        told(&old, &new),
        ["> tickets of type check of tenant acme, beta further tries: route one (to hall) -> route two (to far)"]
    );
    // A match that grows, and a route that goes.
    let new = one(&format!(
        "{GROUND}{}",
        ROUTES.replace("tenant: acme, beta", "tenant: acme")
    ));
    let found = told(&old, &new);
    assert_eq!(found[0], "~ route one: tenants: `acme, beta` -> `acme`");
    assert!(
        found[1..]
            .iter()
            .all(|line| line.contains("of tenant beta")),
        "{found:?}"
    );
    let new = one(&format!("{GROUND}{}\n{}\n", lines[0], lines[2]));
    let found = told(&old, &new);
    assert_eq!(found[0], "- route two");
    assert_eq!(
        found[1],
        "> tickets of type check of tenant (not named) further tries: route two (to far) -> route rest (to far, hall)"
    );
}
