//! `rainstand-testbed scale`: fits that reject nonlinear quantities, and a small run judged by deterministic counts.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_testbed::scale::fit::{fit, FitError, Growth};
use rainstand_testbed::scale::hollow::{simulate, GroupSpec};
use rainstand_testbed::scale::{
    compare_predictions, decisions, measure, table, Effort, Paths, Quantity, Row, Sizes,
};
use std::process::{Command, Output};
use std::time::Duration;

/// Fractions of the requested size in a full and in a quick run.
const PARTS: [&[f64]; 2] = [&[0.1, 0.25, 0.45, 0.7, 1.0], &[0.05, 0.12, 0.2, 0.3]];

fn points(parts: &[f64], of: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    parts
        .iter()
        .map(|part| (23_000.0 * part, of((23_000.0 * part).round())))
        .collect()
}

/// Total cost of one lookup per list entry, where each lookup scans the list up to its entry.
fn linear_scan_cost(size: f64) -> f64 {
    let list: Vec<u64> = (0..size as u64 / 50).collect();
    list.iter()
        .map(|wanted| list.iter().take_while(|entry| *entry != wanted).count() as f64 + 1.0)
        .sum()
}

/// Capacity of a table that doubles when it is full.
fn doubling_capacity(size: f64) -> f64 {
    let mut list: Vec<u8> = Vec::new();
    (0..size as usize).for_each(|_| list.push(0));
    list.capacity() as f64
}

#[test]
fn fit_accepts_lines_and_rejects_nonlinear_growth() {
    for parts in PARTS {
        let line = fit(&points(parts, |n| 900.0 + 3.0 * n), Growth::Linear, true).expect("a line");
        assert!(
            (line.slope - 3.0).abs() < 1e-6 && (line.intercept - 900.0).abs() < 1e-3,
            "{line:?}"
        );
        assert!(line.residual < 1e-6 && line.curve < 1e-6, "{line:?}");
        // Small deviations to both sides are still a line.
        let noisy = |n: f64| {
            900.0
                + 3.0
                    * n
                    * if ((n / 50.0) as u64).is_multiple_of(2) {
                        1.02
                    } else {
                        0.98
                    }
        };
        fit(&points(parts, noisy), Growth::Linear, true).expect("a line with noise");
        let refused = |of: &dyn Fn(f64) -> f64| {
            fit(&points(parts, of), Growth::Linear, true).map_err(|(why, _)| why)
        };
        assert!(
            matches!(refused(&|n| n * n), Err(FitError::Curvature(_))),
            "{:?}",
            refused(&|n| n * n)
        );
        assert!(
            matches!(refused(&linear_scan_cost), Err(FitError::Curvature(_))),
            "{:?}",
            refused(&linear_scan_cost)
        );
        assert!(
            matches!(
                refused(&doubling_capacity),
                Err(FitError::Curvature(_) | FitError::Residual(_))
            ),
            "{:?}",
            refused(&doubling_capacity)
        );
        let cost_per_lookup = |n: f64| linear_scan_cost(n) / (n / 50.0);
        let lookup =
            fit(&points(parts, cost_per_lookup), Growth::Constant, true).map_err(|(why, _)| why);
        assert!(matches!(lookup, Err(FitError::Grows(_))), "{lookup:?}");
        fit(
            &points(parts, |n| 1.0 + n.log2() / 10.0),
            Growth::Constant,
            true,
        )
        .expect("logarithmic cost counts as constant");
    }
    // Noise of a shared machine in a constant quantity is accepted; the same deviation in a count is rejected.
    let constant: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 4.0]
        .iter()
        .map(|n| (*n, 100.0 + 3.0 * (n % 2.0)))
        .collect();
    fit(&constant, Growth::Linear, false).expect("a constant quantity with noise");
    fit(&constant, Growth::Linear, true).expect_err("a count that goes up and down");
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

fn quantity(limit: f64) -> Quantity<'static> {
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
fn nonlinear_quantity_is_not_extrapolated() {
    let square: Vec<(f64, f64)> = [1.0, 2.0, 3.0, 5.0].iter().map(|n| (*n, n * n)).collect();
    let row = Row::fitted(&quantity(20.0), &square, 10.0, Growth::Linear, 1.0);
    assert_eq!((row.at_size, row.holds, row.ratio), (None, None, None));
    assert!(row.bends.is_some() && table::plain(std::slice::from_ref(&row)).contains("bends"));
    // At a measured size the value is reported even if the quantity is nonlinear.
    let row = Row::fitted(&quantity(20.0), &square, 5.0, Growth::Linear, 1.0);
    assert_eq!((row.at_size, row.holds), (Some(25.0), Some(false)));
    let line: Vec<(f64, f64)> = [1.0, 2.0, 3.0].iter().map(|n| (*n, 2.0 * n)).collect();
    let row = Row::fitted(&quantity(20.0), &line, 9.0, Growth::Linear, 1.0);
    assert_eq!((row.holds, row.measured_up_to), (Some(true), 3.0));
    assert!(table::markdown(&[row]).contains("carried 3.0 times further"));
}

#[test]
fn rows_are_sorted_by_worst_ratio_first() {
    let line = |slope: f64| {
        [1.0, 2.0, 3.0]
            .iter()
            .map(|n| (*n, slope * n))
            .collect::<Vec<_>>()
    };
    let row = |slope: f64| Row::fitted(&quantity(20.0), &line(slope), 10.0, Growth::Linear, 1.0);
    let mut rows = vec![row(1.0), row(9.0), row(3.0), row(0.5)];
    rows.push(Row {
        limit: None,
        ratio: None,
        holds: None,
        ..row(100.0)
    });
    table::sort_rows(&mut rows);
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

/// Three replicas of each shard and a heartbeat every 50 ms: one frame to each of two followers, and as many replies.
#[test]
fn idle_hollow_group_sends_only_heartbeats() {
    for (members, shards) in [(5, 16), (9, 16), (9, 5), (24, 16)] {
        let spec = GroupSpec {
            shards,
            ..GroupSpec::of(members, WINDOW)
        };
        let measured = simulate(&spec).expect("a group");
        let expected_frames = u64::from(shards) * 2 * 2 * 40;
        assert!(
            measured.idle.frames.abs_diff(expected_frames) <= expected_frames / 50,
            "{members}, {shards}: {:?}",
            measured.idle
        );
        assert_eq!(
            (measured.idle.hellos, measured.idle.gossip),
            (0, 0),
            "{members}, {shards}"
        );
        // The same on every run, to the byte.
        let again = simulate(&spec).expect("a group");
        assert_eq!(
            (measured.start, measured.idle, measured.election_time),
            (again.start, again.idle, again.election_time)
        );
    }
}

/// Each member sends all its charged tenants to each other member, twice a second.
#[test]
fn gossip_sends_all_charged_tenants_to_each_member() {
    for (members, charged_tenants) in [(4, 50), (7, 300)] {
        let measured = simulate(&GroupSpec {
            charged_tenants,
            ..GroupSpec::of(members, WINDOW)
        })
        .expect("a group");
        let reports = (members * (members - 1)) as u64 * 4;
        assert!(
            measured.idle.gossip.abs_diff(reports) <= reports / 4,
            "{members}: {:?}",
            measured.idle
        );
        let each = measured.idle.gossip_bytes / measured.idle.gossip / charged_tenants as u64;
        // A name, a number of some bytes, and their encoding overhead.
        assert!((8..=16).contains(&each), "{each} bytes a tenant");
        let retained = (measured.retained.reports, measured.retained.tenants);
        assert_eq!(retained, (members - 1, charged_tenants));
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

/// Lines fitted for one fleet are compared with the counts of a smaller one.
#[test]
fn fitted_lines_predict_counts_at_another_size_within_25_percent() {
    let two_years = counted(&Sizes::default());
    let other = Sizes {
        nodes: 200,
        services: 160,
        routes: 1_800,
        tenants: 7_000,
        ..Sizes::default()
    };
    let predictions = compare_predictions(&two_years, &counted(&other));
    assert!(predictions.len() >= 4, "{predictions:?}");
    for prediction in &predictions {
        assert!(prediction.relative_difference() <= 0.25, "{prediction:?}");
    }
    // Extrapolation: a compiled configuration 12 times as large as the largest one that the line was fitted to.
    let part = 0.25;
    let size = Sizes::default().configuration(part, rainstand_test_servers::size::Limited::Tenants);
    let configuration = decisions::compiled(&size).expect("a configuration");
    let bytes = rainstand_config::schema::to_binary(&configuration).len() as f64 / 1e6;
    let row = two_years
        .iter()
        .find(|row| row.what == "a version's compiled form")
        .expect("its row");
    let predicted =
        row.intercept.expect("a line") + row.slope.expect("a line") * size.tenants as f64;
    assert!(
        (predicted / bytes - 1.0).abs() < 0.25,
        "predicted {predicted} MB, encoded {bytes} MB"
    );
}

fn run_scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rainstand-testbed"));
    command
        .arg("scale")
        .args(arguments)
        .output()
        .expect("the program")
}

#[test]
fn json_output_is_one_object_with_the_expected_fields() {
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
    let out = run_scale(&[&["--counts", "--json"][..], &size].concat());
    assert_eq!(
        out.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    let output: serde_json::Value = serde_json::from_slice(&out.stdout).expect("one object");
    let rows = output["rows"].as_array().expect("rows");
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
        let within_limit = row["at_size"]
            .as_f64()
            .zip(row["limit"].as_f64())
            .map(|(at, limit)| at <= limit);
        if let Some(within_limit) = within_limit {
            assert_eq!(row["holds"].as_bool(), Some(within_limit), "{row}");
        }
    }
}

#[test]
fn invalid_arguments_exit_with_2() {
    for arguments in [
        &["--nodes", "none"][..],
        &["--nodes", "0"],
        &["--tenants", "99999999"],
        &["--json", "--markdown"],
        &["--and", "what"],
        &["--counts", "--against", "/nowhere/at-all.json"],
    ] {
        let out = run_scale(arguments);
        assert_eq!(out.status.code(), Some(2), "{arguments:?}");
        assert!(out.stdout.is_empty(), "{arguments:?}");
    }
}
