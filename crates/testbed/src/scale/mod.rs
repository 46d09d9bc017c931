//! `rainstand-testbed scale`: measures resource costs at several sizes and extrapolates them to a requested size.
//!
//! | module | what it is | I/O |
//! | --- | --- | --- |
//! | [`mod@fit`] | linear fit through points, or why there is none | none |
//! | [`mod@measure`] | child processes with their processor time and memory from `/proc` | processes |
//! | [`settings`] | a node's settings with a number of tenants | none |
//! | [`forwarders`] | `rainstand forward` and `config check` by routes and tenants | processes |
//! | [`nodes`] | `rainstand-node` by tenants, connections and requests | processes, sockets |
//! | [`decisions`] | cost of a routing decision; size of compiled configurations | none |
//! | [`hollow`] | hollow (simulated) groups of up to hundreds of members, on a virtual clock | none |
//! | [`control`] | configuration distribution to hollow (simulated) subscribers, on a virtual clock | none |
//! | [`groups`] | idle groups of real processes, compared with hollow groups | processes, sockets |
//! | [`table`] | rows as text, JSON and Markdown | none |
//!
//! **Adding rows.** A new module exports
//! `pub fn rows(sizes: &Sizes, effort: &Effort, paths: &Paths) -> io::Result<Vec<Row>>` and is added to `PARTS`. It
//! creates rows with [`Row::fitted`] from measured points, or with [`Row::plain`] where there is no slope. This module
//! sorts the rows (worst ratio first) and prints them.

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

/// Limits and load at the operators' expected size in two years.
pub mod limits {
    /// Latency added to a request, 99th percentile, in milliseconds.
    pub const ADDED_MS: f64 = 1.6;
    /// Processor time of the control plane on each node, in percent of a core.
    pub const CONTROL_CPU: f64 = 2.3;
    /// Memory of the control plane on each node, in MB (10^6 bytes).
    pub const CONTROL_MB: f64 = 32.0;
    /// Control traffic of each node, in bytes per second.
    pub const CONTROL_BYTES: f64 = 6_000.0;
    /// Time until a change is in force, in seconds.
    pub const IN_FORCE_S: f64 = 17.0;
    /// Requests per second of the whole fleet.
    pub const REQUESTS: f64 = 52_000.0;
    /// Seconds in a day.
    pub const DAY_S: f64 = 86_400.0;
}

/// The requested size.
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
    /// Configuration changes per day.
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
    /// A configuration of this size, scaled by `part`.
    pub fn configuration(&self, part: f64, limits: Limited) -> Size {
        let full = Size {
            services: self.services,
            routes: self.routes,
            tenants: self.tenants,
            zones: 6,
            // Seven members per pool, as in the generator's own size.
            pools: (self.nodes / 7).max(1),
            members: self.nodes,
            limits,
        };
        full.part(part)
    }
}

/// The sizes, repetitions and windows of the measurements.
#[derive(Clone, Debug)]
pub struct Effort {
    /// Fractions of the requested size. Not powers of two: a table that doubles its capacity would look linear.
    pub parts: Vec<f64>,
    /// Reloads of one process. Used are the cheapest (nodes), or mean processor time and median time (forwarders).
    pub reloads: usize,
    /// Numbers of idle connections.
    pub idle: Vec<usize>,
    /// Numbers of requests, each sent over one shared connection and over one connection per request.
    pub requests: Vec<usize>,
    /// Sizes of groups of real processes.
    pub members: Vec<usize>,
    /// How long each of them is measured while idle.
    pub window: Duration,
    /// Sizes of hollow groups.
    pub hollow: Vec<usize>,
    /// How long those are measured, in virtual time.
    pub hollow_window: Duration,
    /// Runs only in-process measurements, and leaves out those of processor time in decisions and distribution.
    pub counts_only: bool,
}

impl Effort {
    /// All sizes, for docs/CAPACITY.md.
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

    /// Finishes within 50 s, even on a machine that is shared with other work.
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

    /// Small, in-process and deterministic in its counts: for tests.
    pub fn counts() -> Self {
        Self {
            counts_only: true,
            hollow: vec![5, 7, 9, 12],
            parts: vec![0.005, 0.012, 0.02],
            ..Self::quick()
        }
    }
}

/// Folders of the programs and of temporary files.
#[derive(Clone, Debug)]
pub struct Paths {
    /// Folder of the programs; the folder of this program if not given.
    pub programs: Option<PathBuf>,
    /// Folder for files that a measurement creates.
    pub folder: PathBuf,
}

/// One requirement with its measured and extrapolated values.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Component that the quantity belongs to.
    pub role: String,
    /// Name of the quantity.
    pub what: String,
    /// Unit of the quantity.
    pub unit: String,
    /// The size that the quantity is measured against.
    pub by: String,
    /// Slope of the fitted line, per unit of `by`.
    pub slope: Option<f64>,
    /// Intercept of the fitted line.
    pub intercept: Option<f64>,
    /// Value at the requested size; none if it cannot be determined.
    pub at_size: Option<f64>,
    /// Upper limit of the value.
    pub limit: Option<f64>,
    /// Whether the value is within the limit; none if either is missing.
    pub holds: Option<bool>,
    /// Ratio of the value to the limit.
    pub ratio: Option<f64>,
    /// Largest measured size, in units of `by`.
    pub measured_up_to: f64,
    /// Requested size, in units of `by`.
    pub size: f64,
    /// Largest deviation of a point from the line, as a fraction of the quantity's range.
    pub residual: Option<f64>,
    /// Why no line was fitted.
    pub bends: Option<String>,
    /// Factor that the measured values were multiplied by, such as changes per second or one over the nodes.
    pub times: f64,
    /// Sizes and measured values, multiplied by `times`.
    pub points: Vec<(f64, f64)>,
    /// The mechanism behind the quantity, or other remarks.
    pub note: String,
    /// A count, which is the same on every run, and not a time.
    pub counted: bool,
}

/// Name, unit and limit of a quantity.
#[derive(Clone, Debug)]
pub struct Quantity<'a> {
    /// Component that it belongs to.
    pub role: &'a str,
    /// Name.
    pub what: &'a str,
    /// Unit.
    pub unit: &'a str,
    /// The size that it is measured against.
    pub by: &'a str,
    /// Upper limit.
    pub limit: Option<f64>,
    /// The mechanism behind it, or other remarks.
    pub note: &'a str,
    /// A count, which is the same on every run, and not a time.
    pub counted: bool,
}

impl<'a> Quantity<'a> {
    /// A quantity without a limit that may differ between runs.
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

    /// Sets the upper limit.
    #[must_use]
    pub fn limit(self, limit: f64) -> Self {
        self.maybe_limit(Some(limit))
    }

    /// Sets the upper limit, if there is one.
    #[must_use]
    pub fn maybe_limit(mut self, limit: Option<f64>) -> Self {
        self.limit = limit;
        self
    }

    /// Sets the note: the mechanism behind it, or other remarks.
    #[must_use]
    pub fn note(mut self, note: &'a str) -> Self {
        self.note = note;
        self
    }

    /// Marks the quantity as a count, which is the same on every run.
    #[must_use]
    pub fn counted(mut self) -> Self {
        self.counted = true;
        self
    }
}

impl Row {
    /// A row with a line fitted through points of size and value; the values are multiplied by `times` first.
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
                // A nonlinear quantity is reported only at sizes that were measured, and not extrapolated.
                Err((why, line)) => (line, Some(why.to_string()), measured(size)),
            };
        let mut row = Self::plain(quantity, size, up_to, at_size);
        row.slope = line.map(|line| line.slope);
        row.intercept = line.map(|line| line.intercept);
        row.residual = line.map(|line| line.residual);
        (row.bends, row.points, row.times) = (bends, points, times);
        row
    }

    /// A row without a fitted line.
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

/// What the fitted line of an earlier run predicts for the largest size that this run measured.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Prediction {
    /// Component that the quantity belongs to.
    pub role: String,
    /// Name of the quantity.
    pub what: String,
    /// The size predicted for.
    pub size: f64,
    /// Value by the earlier line.
    pub predicted: f64,
    /// Value measured by this run.
    pub measured: f64,
}

impl Prediction {
    /// Relative difference: the larger value over the smaller, minus one.
    pub fn relative_difference(&self) -> f64 {
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

/// Compares lines of an earlier run with points of this run. Rows that are nonlinear or have no slope predict nothing.
pub fn compare_predictions(earlier: &[Row], now: &[Row]) -> Vec<Prediction> {
    now.iter().filter_map(|row| predict(earlier, row)).collect()
}

fn predict(earlier: &[Row], row: &Row) -> Option<Prediction> {
    let is_same = |old: &&Row| old.role == row.role && old.what == row.what && old.bends.is_none();
    let old = earlier.iter().find(is_same)?;
    let points = row.points.iter().copied();
    let (size, measured) = points.max_by(|a, b| a.0.total_cmp(&b.0))?;
    // Each run has its own factor: its shares of the fleet and of the day may differ.
    let predicted = (old.intercept? + old.slope? * size) * row.times / old.times;
    Some(Prediction {
        role: row.role.clone(),
        what: row.what.clone(),
        size,
        predicted,
        measured,
    })
}

/// One module of measurements.
struct Part {
    name: &'static str,
    /// It runs in this process alone and yields counts.
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

/// Measures all rows, sorted by worst ratio first. `on_part` is called with each part's name before it is measured.
///
/// # Errors
/// If any part cannot be measured; the error names it.
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
    table::sort_rows(&mut rows);
    Ok(rows)
}
