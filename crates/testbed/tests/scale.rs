//! `rainstand-testbed scale`: fits that refuse what bends, and a small run whose verdicts stand on counts alone.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::scale::fit::{fit, FitError, Growth};
use rainstand_testbed::scale::hollow::{watch, GroupSpec};
use rainstand_testbed::scale::{
    compare_predictions, decisions, measure, table, Effort, Paths, Quantity, Row, Sizes,
};
use std::process::{Command, Output};
use std::time::Duration;

/// Sizes of a full and of a quick run.
const PARTS: [&[f64]; 2] = [&[0.1, 0.25, 0.45, 0.7, 1.0], &[0.05, 0.12, 0.2, 0.3]];

fn points(parts: &[f64], of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    parts
        .iter()
        .map(|part| (23_000.0 * part, of((23_000.0 * part).round())))
        .collect()
}

/// Entries looked at by as many requests as the list has entries: each walks it to the one that it wants.
fn walked(size: f64) -> f64 {
    let list: Vec<u64> = (0..size as u64 / 50).collect();
    list.iter()
        .map(|wanted| list.iter().take_while(|entry| *entry != wanted).count() as f64 + 1.0)
        .sum()
}

/// Room of a table that doubles.
fn doubles(size: f64) -> f64 {
    let mut list: Vec<u8> = Vec::new();
    (0..size as usize).for_each(|_| list.push(0));
    list.capacity() as f64
}

#[test]
fn a_line_is_found_and_what_bends_is_refused() {
    for parts in PARTS {
        let line = fit(&points(parts, |n| 900.0 + 3.0 * n), Growth::Linear, true).expect("a line");
        assert!(
            (line.slope - 3.0).abs() < 1e-6 && (line.intercept - 900.0).abs() < 1e-3,
            "{line:?}"
        );
        assert!(line.residual < 1e-6 && line.curve < 1e-6, "{line:?}");
        // A little off to both sides is still a line.
        let rough = |n: f64| {
            900.0
                + 3.0
                    * n
                    * if ((n / 50.0) as u64).is_multiple_of(2) {
                        1.02
                    } else {
                        0.98
                    }
        };
        fit(&points(parts, rough), Growth::Linear, true).expect("a rough line");
        let refused = |of: &dyn Fn(f64) -> f64| {
            fit(&points(parts, of), Growth::Linear, true).map_err(|(why, _)| why)
        };
        assert!(
            matches!(refused(&|n| n * n), Err(FitError::Curvature(_))),
            "{:?}",
            refused(&|n| n * n)
        );
        assert!(
            matches!(refused(&walked), Err(FitError::Curvature(_))),
            "{:?}",
            refused(&walked)
        );
        assert!(
            matches!(
                refused(&doubles),
                Err(FitError::Curvature(_) | FitError::Residual(_))
            ),
            "{:?}",
            refused(&doubles)
        );
        let one = |n: f64| walked(n) / (n / 50.0);
        let still = fit(&points(parts, one), Growth::Constant, true).map_err(|(why, _)| why);
        assert!(matches!(still, Err(FitError::Grows(_))), "{still:?}");
        fit(
            &points(parts, |n| 1.0 + n.log2() / 10.0),
            Growth::Constant,
            true,
        )
        .expect("a tree is not walked");
    }
    // What a shared machine adds to a quantity that stands still does not make it bend; in a count it would.
    let still: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 4.0]
        .iter()
        .map(|n| (*n, 100.0 + 3.0 * (n % 2.0)))
        .collect();
    fit(&still, Growth::Linear, false).expect("what stands still");
    fit(&still, Growth::Linear, true).expect_err("a count that goes up and down");
    let few =
        fit(&[(1.0, 1.0), (1.0, 1.1), (2.0, 2.0)], Growth::Linear, true).map_err(|(why, _)| why);
    assert_eq!(few, Err(FitError::TooFew));
    let none = fit(
        &[(1.0, 1.0), (2.0, f64::NAN), (3.0, 2.0)],
        Growth::Linear,
        true,
    )
    .map_err(|(why, _)| why);
    assert_eq!(none, Err(FitError::TooFew));
}

fn named(limit: f64) -> Quantity<'static> {
    Quantity {
        role: "node",
        what: "a quantity",
        unit: "B",
        by: "things",
        limit: Some(limit),
        note: "",
        counted: true,
    }
}

#[test]
fn what_bends_is_not_carried_past_what_was_measured() {
    let square: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 5.0].iter().map(|n| (*n, n * n)).collect();
    let row = Row::fitted(&named(20.0), &square, 10.0, Growth::Linear, 1.0);
    assert_eq!((row.at_size, row.holds, row.ratio), (None, None, None));
    assert!(row.bends.is_some() && table::plain(std::slice::from_ref(&row)).contains("bends"));
    // Where it was measured itself it is told, whatever its shape.
    let row = Row::fitted(&named(20.0), &square, 5.0, Growth::Linear, 1.0);
    assert_eq!((row.at_size, row.holds), (Some(25.0), Some(false)));
    let line: Vec<(f64, f64)> = [1.0, 2.0, 3.0].iter().map(|n| (*n, 2.0 * n)).collect();
    let row = Row::fitted(&named(20.0), &line, 9.0, Growth::Linear, 1.0);
    assert_eq!((row.holds, row.measured_up_to), (Some(true), 3.0));
    assert!(table::markdown(&[row]).contains("carried 3.0 times further"));
}

#[test]
fn the_worst_ratio_stands_first() {
    let line = |slope: f64| {
        [1.0, 2.0, 3.0]
            .iter()
            .map(|n| (*n, slope * n))
            .collect::<Vec<_>>()
    };
    let row = |slope: f64| Row::fitted(&named(20.0), &line(slope), 10.0, Growth::Linear, 1.0);
    let mut rows = vec![row(1.0), row(9.0), row(3.0), row(0.5)];
    rows.push(Row {
        limit: None,
        ratio: None,
        holds: None,
        ..row(100.0)
    });
    table::put_in_order(&mut rows);
    let slopes: Vec<f64> = rows
        .iter()
        .map(|row| row.slope.unwrap_or(0.0).round())
        .collect();
    assert_eq!(
        slopes,
        [9.0, 3.0, 1.0, 1.0, 100.0].map(f64::round),
        "{rows:?}"
    );
}

const WINDOW: Duration = Duration::from_secs(2);

/// Three copies of each shard, heartbeats every 50 ms: two frames to two followers, and as many back.
#[test]
fn a_hollow_group_at_rest_sends_its_heartbeats_and_nothing_else() {
    for (members, shards) in [(5, 16), (9, 16), (9, 5), (24, 16)] {
        let spec = GroupSpec {
            shards,
            ..GroupSpec::of(members, WINDOW)
        };
        let seen = watch(&spec).expect("a group");
        let beats = u64::from(shards) * 2 * 2 * 40;
        assert!(
            seen.rest.frames.abs_diff(beats) <= beats / 50,
            "{members}, {shards}: {:?}",
            seen.rest
        );
        assert_eq!(
            (seen.rest.greetings, seen.rest.gossip),
            (0, 0),
            "{members}, {shards}"
        );
        // The same on every run, to the byte.
        let again = watch(&spec).expect("a group");
        assert_eq!(
            (seen.start, seen.rest, seen.formed),
            (again.start, again.rest, again.formed)
        );
    }
}

/// Twice a second, the whole of it, to each other member.
#[test]
fn charged_time_is_told_whole_to_each() {
    for (members, charged) in [(4, 50), (7, 300)] {
        let seen = watch(&GroupSpec {
            charged,
            ..GroupSpec::of(members, WINDOW)
        })
        .expect("a group");
        let reports = (members * (members - 1)) as u64 * 4;
        assert!(
            seen.rest.gossip.abs_diff(reports) <= reports / 4,
            "{members}: {:?}",
            seen.rest
        );
        let each = seen.rest.gossip_bytes / seen.rest.gossip / charged as u64;
        // A name, a number of some bytes, and what holds them together.
        assert!((8..=16).contains(&each), "{each} bytes a tenant");
        let retained = (seen.retained.reports, seen.retained.tenants);
        assert_eq!(retained, (members - 1, charged));
    }
}

fn counted(sizes: &Sizes) -> Vec<Row> {
    let folder = tempfile::tempdir().expect("a folder");
    let paths = Paths {
        programs: None,
        folder: folder.path().to_owned(),
    };
    let rows = measure(sizes, &Effort::counts(), &paths, |_| {}).expect("rows");
    rows.into_iter().filter(|row| row.counted).collect()
}

/// Lines of one fleet against what is counted in a smaller one.
#[test]
fn lines_tell_what_is_counted_at_another_size_within_a_quarter() {
    let two_years = counted(&Sizes::default());
    let other = Sizes {
        nodes: 200,
        services: 160,
        routes: 1_800,
        tenants: 7_000,
        ..Sizes::default()
    };
    let met = compare_predictions(&two_years, &counted(&other));
    assert!(met.len() >= 4, "{met:?}");
    for one in &met {
        assert!(one.off() <= 0.25, "{one:?}");
    }
    // And past what they were drawn from: a compiled form twelve times as large as the small run's largest.
    let part = 0.25;
    let size = Sizes::default().configuration(part, rainstand_test_servers::size::Limited::Tenants);
    let configuration = decisions::compiled(&size).expect("a configuration");
    let bytes = rainstand_config::schema::to_binary(&configuration).len() as f64 / 1e6;
    let row = two_years
        .iter()
        .find(|row| row.what == "a version's compiled form")
        .expect("its row");
    let told = row.intercept.expect("a line") + row.slope.expect("a line") * size.tenants as f64;
    assert!(
        (told / bytes - 1.0).abs() < 0.25,
        "told {told} MB, made {bytes} MB"
    );
}

fn rig(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rainstand-testbed"));
    command
        .arg("scale")
        .args(arguments)
        .output()
        .expect("the program")
}

#[test]
fn one_object_is_printed_with_what_programs_read() {
    let size = [
        "--nodes",
        "40",
        "--routes",
        "600",
        "--tenants",
        "5000",
        "--services",
        "60",
    ];
    let out = rig(&[&["--counts", "--json"][..], &size].concat());
    assert_eq!(
        out.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let told: serde_json::Value = serde_json::from_slice(&out.stdout).expect("one object");
    let rows = told["rows"].as_array().expect("rows");
    assert!(rows.len() >= 8, "{} rows", rows.len());
    for row in rows {
        for text in ["role", "what", "unit", "by"] {
            assert!(
                row[text].as_str().is_some_and(|text| !text.is_empty()),
                "{text}: {row}"
            );
        }
        for number in ["slope", "at_size", "limit"] {
            assert!(
                row[number].is_number() || row[number].is_null(),
                "{number}: {row}"
            );
        }
        assert!(row["measured_up_to"].is_number(), "{row}");
        assert!(row["holds"].is_boolean() || row["holds"].is_null(), "{row}");
        let held = row["at_size"]
            .as_f64()
            .zip(row["limit"].as_f64())
            .map(|(at, limit)| at <= limit);
        if let Some(held) = held {
            assert_eq!(row["holds"].as_bool(), Some(held), "{row}");
        }
    }
}

#[test]
fn wrong_use_is_told_by_2() {
    for arguments in [
        &["--nodes", "none"][..],
        &["--nodes", "0"],
        &["--tenants", "99999999"],
        &["--json", "--markdown"],
        &["--and", "what"],
        &["--counts", "--against", "/nowhere/at-all.json"],
    ] {
        let out = rig(arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        assert!(out.stdout.is_empty(), "{arguments:?}");
    }
}
