//! `rainstand-testbed scale`: what the program costs by size, measured here and worked out at a size asked for.
//!
//! | module | what it is | I/O |
//! | --- | --- | --- |
//! | [`mod@fit`] | a line through points, or why there is none | none |
//! | [`mod@measure`] | child processes with their processor time and memory from `/proc` | processes |
//! | [`settings`] | a node's file with a number of tenants | none |
//! | [`forwarders`] | `rainstand forward` and `config check` by routes and tenants | processes |
//! | [`nodes`] | `rainstand-node` by tenants, connections | processes, sockets |
//! | [`decisions`] | cost of a decision; compiled forms | none |
//! | [`hollow`] | members of a group by the hundred in one process, on a virtual clock | none |
//! | [`control`] | a configuration on its way to hollow subscribers, on a virtual clock | none |
//! | [`groups`] | members of a group as processes at rest, and hollow ones beside them | processes, sockets |
//! | [`table`] | rows as text, as JSON and for a page | none |
//!
//! **A further module's rows.** A module of its own offers
//! `pub fn rows(sizes: &Sizes, effort: &Effort, paths: &Paths) -> io::Result<Vec<Row>>`: add it to `PARTS`. Rows are made
//! with [`Row::fitted`] from points that it measured, or [`Row::plain`] where there is no slope; the order of the table
//! (worst ratio first) and its forms come from here.

pub mod control;
pub mod decisions;
pub mod fit;
pub mod forwarders;
pub mod groups;
pub mod hollow;
pub mod measure;
pub mod nodes;
pub mod settings;
pub mod table;

use fit::{fit, Growth, Line};
use rainstand_test_servers::size::{Limited, Size};
use serde::{Deserialize, Serialize};
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Limits of the operators' size in two years.
pub mod limits {
    /// Added to a request, milliseconds, for 99 in 100.
    pub const ADDED_MS: f64 = 1.6;
    /// Of a core, for control a node.
    pub const CONTROL_CPU: f64 = 2.3;
    /// MB (10^6 bytes), for control a node.
    pub const CONTROL_MB: f64 = 32.0;
    /// Bytes a second, for control a node.
    pub const CONTROL_BYTES: f64 = 6_000.0;
    /// Seconds for a change to be in force.
    pub const IN_FORCE_S: f64 = 17.0;
    /// Requests a second of the whole fleet.
    pub const REQUESTS: f64 = 52_000.0;
    /// Seconds of a day.
    pub const DAY_S: f64 = 86_400.0;
}

/// The size asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    /// Nodes of the fleet.
    pub nodes: usize,
    /// Callers, each with a connection.
    pub callers: usize,
    /// Services of the configuration.
    pub services: usize,
    /// Routes of the configuration.
    pub routes: usize,
    /// Tenants of the configuration.
    pub tenants: usize,
    /// Changes of the configuration, a day.
    pub changes: usize,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            nodes: 630,
            callers: 8_500,
            services: 490,
            routes: 5_400,
            tenants: 23_000,
            changes: 2_800,
        }
    }
}

impl Sizes {
    /// A configuration of this size, or of a part of it.
    pub fn configuration(&self, part: f64, limits: Limited) -> Size {
        let whole = Size {
            services: self.services,
            routes: self.routes,
            tenants: self.tenants,
            zones: 6,
            // As the generator's own size has it: seven members a pool.
            pools: (self.nodes / 7).max(1),
            members: self.nodes,
            limits,
        };
        whole.part(part)
    }
}

/// How much is measured.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Of the size asked for. Not by powers of two: a table that doubles would look like a line.
    pub parts: Vec<f64>,
    /// Reloads of one process; the cheapest counts.
    pub reloads: usize,
    /// Idle connections.
    pub idle: Vec<usize>,
    /// Requests on one connection, and on one each.
    pub requests: Vec<usize>,
    /// Members of real groups.
    pub members: Vec<usize>,
    /// For how long each of them is watched at rest.
    pub window: Duration,
    /// Members of hollow ones.
    pub hollow: Vec<usize>,
    /// Virtual time for which those are watched.
    pub hollow_window: Duration,
    /// Only what runs in this process, and decides on counts.
    pub counts_only: bool,
}

impl Effort {
    /// All sizes, for the page.
    pub fn full() -> Self {
        Self {
            parts: vec![0.1, 0.25, 0.45, 0.7, 1.0],
            reloads: 7,
            idle: vec![500, 2_000, 4_500, 8_500],
            requests: vec![2_000, 5_000, 9_000],
            members: vec![3, 5, 9, 14],
            window: Duration::from_secs(5),
            hollow: vec![5, 17, 40, 64, 130, 200],
            hollow_window: Duration::from_secs(5),
            counts_only: false,
        }
    }

    /// Within 50 s also where other work shares the machine.
    pub fn quick() -> Self {
        Self {
            parts: vec![0.05, 0.12, 0.2, 0.3],
            reloads: 3,
            idle: vec![200, 500, 900],
            requests: vec![500, 1_200, 2_000],
            members: vec![3, 5, 7],
            window: Duration::from_secs(2),
            hollow: vec![5, 9, 17, 33],
            hollow_window: Duration::from_secs(2),
            counts_only: false,
        }
    }

    /// Small, in this process alone, and the same every time: for tests.
    pub fn counts() -> Self {
        Self {
            counts_only: true,
            hollow: vec![5, 7, 9, 12],
            parts: vec![0.005, 0.012, 0.02],
            ..Self::quick()
        }
    }
}

/// Where the programs lie, and where files are made.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Folder of the programs; beside this one if not quantity.
    pub programs: Option<PathBuf>,
    /// Where files are made.
    pub folder: PathBuf,
}

/// One requirement and what it comes to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Whose quantity it is.
    pub role: String,
    /// The quantity.
    pub what: String,
    /// Its unit.
    pub unit: String,
    /// What the quantity was measured against.
    pub by: String,
    /// Of its line, by one of `by`.
    pub slope: Option<f64>,
    /// Of its line.
    pub intercept: Option<f64>,
    /// At the size asked for; none where it cannot be told.
    pub at_size: Option<f64>,
    /// The most that it may be.
    pub limit: Option<f64>,
    /// None where there is no limit, or nothing to hold against it.
    pub holds: Option<bool>,
    /// Of the quantity to its limit.
    pub ratio: Option<f64>,
    /// Of `by`.
    pub measured_up_to: f64,
    /// Of `by`, as asked.
    pub size: f64,
    /// The most that a point is off the line, as a part of what the quantity moved by.
    pub residual: Option<f64>,
    /// Why there is no line.
    pub bends: Option<String>,
    /// What the measured quantity was multiplied with: parts of a day, parts of the fleet.
    pub times: f64,
    /// What was measured, by size, so multiplied.
    pub points: Vec<(f64, f64)>,
    /// The quantity's mechanism or what else is to be known.
    pub note: String,
    /// Not a time: the same on every run.
    pub counted: bool,
}

/// What a quantity is called and held against.
#[derive(Clone, Debug)]
pub struct Quantity<'a> {
    /// Whose it is.
    pub role: &'a str,
    /// What it is.
    pub what: &'a str,
    /// Its unit.
    pub unit: &'a str,
    /// What it is measured against.
    pub by: &'a str,
    /// The most that it may be.
    pub limit: Option<f64>,
    /// Its mechanism or what else is to be known.
    pub note: &'a str,
    /// Not a time: the same on every run.
    pub counted: bool,
}

impl<'a> Quantity<'a> {
    /// A quantity without a limit, which may differ from run to run.
    pub fn new(role: &'a str, what: &'a str, unit: &'a str, by: &'a str) -> Self {
        Self {
            role,
            what,
            unit,
            by,
            limit: None,
            note: "",
            counted: false,
        }
    }

    /// With the most that it may be.
    #[must_use]
    pub fn limit(self, limit: f64) -> Self {
        self.maybe_limit(Some(limit))
    }

    /// With the most that it may be, if there is one.
    #[must_use]
    pub fn maybe_limit(mut self, limit: Option<f64>) -> Self {
        self.limit = limit;
        self
    }

    /// With its mechanism or what else is to be known.
    #[must_use]
    pub fn note(mut self, note: &'a str) -> Self {
        self.note = note;
        self
    }

    /// The same on every run.
    #[must_use]
    pub fn counted(mut self) -> Self {
        self.counted = true;
        self
    }
}

impl Row {
    /// From points of size and quantity; `times` makes the row's quantity of the measured one.
    pub fn fitted(
        quantity: &Quantity<'_>,
        points: &[(f64, f64)],
        size: f64,
        growth: Growth,
        times: f64,
    ) -> Self {
        let points: Vec<(f64, f64)> = points.iter().map(|p| (p.0, p.1 * times)).collect();
        let up_to = points.iter().map(|p| p.0).fold(0.0, f64::max);
        let measured = |size: f64| {
            let at: Vec<f64> = points
                .iter()
                .filter(|p| p.0.total_cmp(&size).is_eq())
                .map(|p| p.1)
                .collect();
            (!at.is_empty()).then(|| at.iter().sum::<f64>() / at.len() as f64)
        };
        let (line, bends, at_size): (Option<Line>, _, _) =
            match fit(&points, growth, quantity.counted) {
                Ok(line) => (Some(line), None, measured(size).or(Some(line.at(size)))),
                // What bends is told where it was measured, and not carried further.
                Err((why, line)) => (line, Some(why.to_string()), measured(size)),
            };
        let mut row = Self::plain(quantity, size, up_to, at_size);
        row.slope = line.map(|line| line.slope);
        row.intercept = line.map(|line| line.intercept);
        row.residual = line.map(|line| line.residual);
        (row.bends, row.points, row.times) = (bends, points, times);
        row
    }

    /// Without a slope.
    pub fn plain(quantity: &Quantity<'_>, size: f64, up_to: f64, at_size: Option<f64>) -> Self {
        let ratio = at_size.zip(quantity.limit).map(|(at, limit)| at / limit);
        Self {
            role: quantity.role.into(),
            what: quantity.what.into(),
            unit: quantity.unit.into(),
            by: quantity.by.into(),
            slope: None,
            intercept: None,
            at_size,
            limit: quantity.limit,
            holds: ratio.map(|ratio| ratio <= 1.0),
            ratio,
            measured_up_to: up_to,
            size,
            residual: None,
            bends: None,
            times: 1.0,
            points: Vec::new(),
            note: quantity.note.into(),
            counted: quantity.counted,
        }
    }
}

/// What a line of an earlier run predicts for the largest size that this one measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// Whose quantity it is.
    pub role: String,
    /// The quantity.
    pub what: String,
    /// The size.
    pub size: f64,
    /// By the earlier line.
    pub predicted: f64,
    /// By this run.
    pub measured: f64,
}

impl Prediction {
    /// The larger over the smaller, less one.
    pub fn off(&self) -> f64 {
        let low = self.predicted.min(self.measured);
        let high = self.predicted.max(self.measured);
        if low > 0.0 {
            high / low - 1.0
        } else if high == 0.0 {
            0.0
        } else {
            f64::INFINITY
        }
    }
}

/// Lines of an earlier run against points of another; what bends or has no slope predicts nothing.
pub fn compare_predictions(earlier: &[Row], now: &[Row]) -> Vec<Prediction> {
    now.iter().filter_map(|row| predict(earlier, row)).collect()
}

fn predict(earlier: &[Row], row: &Row) -> Option<Prediction> {
    let is_same = |old: &&Row| old.role == row.role && old.what == row.what && old.bends.is_none();
    let old = earlier.iter().find(is_same)?;
    let points = row.points.iter().copied();
    let (size, measured) = points.max_by(|a, b| a.0.total_cmp(&b.0))?;
    // Each run multiplies by its own parts of the fleet and of the day.
    let predicted = (old.intercept? + old.slope? * size) * row.times / old.times;
    Some(Prediction {
        role: row.role.clone(),
        what: row.what.clone(),
        size,
        predicted,
        measured,
    })
}

/// One part of the measurements.
struct Part {
    name: &'static str,
    /// It runs in this process alone and gives counts.
    is_in_process: bool,
    measure: fn(&Sizes, &Effort, &Paths) -> io::Result<Vec<Row>>,
}

/// All parts, in the order in which they are measured.
const PARTS: [Part; 6] = [
    Part {
        name: "decisions",
        is_in_process: true,
        measure: decisions::rows,
    },
    Part {
        name: "hollow",
        is_in_process: true,
        measure: hollow::rows,
    },
    Part {
        name: "control",
        is_in_process: true,
        measure: control::rows,
    },
    Part {
        name: "forwarders",
        is_in_process: false,
        measure: forwarders::rows,
    },
    Part {
        name: "nodes",
        is_in_process: false,
        measure: nodes::rows,
    },
    Part {
        name: "groups",
        is_in_process: false,
        measure: groups::rows,
    },
];

/// All rows, worst ratio first. `on_part` hears of each part before it is measured; one that cannot be measured fails
/// the whole.
///
/// # Errors
/// Which part could not be measured.
pub fn measure(
    sizes: &Sizes,
    effort: &Effort,
    paths: &Paths,
    mut on_part: impl FnMut(&str),
) -> io::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for part in &PARTS {
        if effort.counts_only && !part.is_in_process {
            continue;
        }
        on_part(part.name);
        let measured = (part.measure)(sizes, effort, paths);
        let in_part =
            |error: io::Error| io::Error::new(error.kind(), format!("{}: {error}", part.name));
        rows.extend(measured.map_err(in_part)?);
    }
    table::put_in_order(&mut rows);
    Ok(rows)
}
