//! `rainstand-testbed scale`: what the program costs by size, measured here and worked out at a size asked for.
//!
//! | module | what it is | I/O |
//! | --- | --- | --- |
//! | [`mod@fit`] | a line through points, or why there is none | none |
//! | [`mod@measure`] | child processes with their processor time and memory from `/proc` | processes |
//! | [`settings`] | what a node is told at a number of tenants | none |
//! | [`forwarders`] | `rainstand forward` and `config check` by routes and tenants | processes |
//! | [`nodes`] | `rainstand-node` by tenants, connections | processes, sockets |
//! | [`decisions`] | cost of a decision; compiled forms; soft sums | none |
//! | [`hollow`] | members of a group by the hundred in one process, on a virtual clock | none |
//! | [`control`] | a configuration on its way to hollow subscribers, on a virtual clock | none |
//! | [`groups`] | members of a group as processes at rest, and hollow ones beside them | processes, sockets |
//! | [`table`] | rows as text, as JSON and for a page | none |
//!
//! **A further module's rows.** A module of its own (`control.rs`) offers
//! `pub fn rows(sizes: &Sizes, effort: &Effort, place: &Place) -> io::Result<Vec<Row>>`: add it to [`parts`].
//! Rows are made with [`Row::fitted`] from points that it measured, or [`Row::plain`] where there is no slope;
//! the order of the table (worst ratio first) and its forms come from here.

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

use fit::{fit, Grows, Line};
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
    pub const DAY_S: f64 = 86_400.0;
}

/// The size asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    pub nodes: usize,
    pub callers: usize,
    pub services: usize,
    pub routes: usize,
    pub tenants: usize,
    /// Of configuration, a day.
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
    /// Members of real groups, and for how long each is watched at rest.
    pub members: Vec<usize>,
    pub window: Duration,
    /// Members of hollow ones.
    pub hollow: Vec<usize>,
    /// Virtual time for which those are watched.
    pub hollow_window: Duration,
    /// Only what runs in this process, and decides on counts.
    pub counts_only: bool,
}

impl Effort {
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
pub struct Place {
    pub programs: Option<PathBuf>,
    pub folder: PathBuf,
}

/// One requirement and what it comes to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub role: String,
    pub what: String,
    pub unit: String,
    /// What the quantity was measured against.
    pub by: String,
    pub slope: Option<f64>,
    pub intercept: Option<f64>,
    /// At the size asked for; none where it cannot be told.
    pub at_size: Option<f64>,
    pub limit: Option<f64>,
    /// None where there is no limit, or nothing to hold against it.
    pub holds: Option<bool>,
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
pub struct Named<'a> {
    pub role: &'a str,
    pub what: &'a str,
    pub unit: &'a str,
    pub by: &'a str,
    pub limit: Option<f64>,
    pub note: &'a str,
    pub counted: bool,
}

impl Row {
    /// From points of size and quantity; `times` makes the row's quantity of the measured one.
    pub fn fitted(
        named: &Named<'_>,
        points: &[(f64, f64)],
        size: f64,
        grows: Grows,
        times: f64,
    ) -> Self {
        let points: Vec<(f64, f64)> = points.iter().map(|p| (p.0, p.1 * times)).collect();
        let up_to = points.iter().map(|p| p.0).fold(0.0, f64::max);
        let measured = |size: f64| {
            let at: Vec<f64> = points.iter().filter(|p| p.0 == size).map(|p| p.1).collect();
            (!at.is_empty()).then(|| at.iter().sum::<f64>() / at.len() as f64)
        };
        let (line, bends, at_size): (Option<Line>, _, _) = match fit(&points, grows, named.counted)
        {
            Ok(line) => (Some(line), None, measured(size).or(Some(line.at(size)))),
            // What bends is told where it was measured, and not carried further.
            Err((why, line)) => (line, Some(why.to_string()), measured(size)),
        };
        let mut row = Self::plain(named, size, up_to, at_size);
        row.slope = line.map(|line| line.slope);
        row.intercept = line.map(|line| line.intercept);
        row.residual = line.map(|line| line.residual);
        (row.bends, row.points, row.times) = (bends, points, times);
        row
    }

    /// Without a slope.
    pub fn plain(named: &Named<'_>, size: f64, up_to: f64, at_size: Option<f64>) -> Self {
        let ratio = at_size.zip(named.limit).map(|(at, limit)| at / limit);
        Self {
            role: named.role.into(),
            what: named.what.into(),
            unit: named.unit.into(),
            by: named.by.into(),
            slope: None,
            intercept: None,
            at_size,
            limit: named.limit,
            holds: ratio.map(|ratio| ratio <= 1.0),
            ratio,
            measured_up_to: up_to,
            size,
            residual: None,
            bends: None,
            times: 1.0,
            points: Vec::new(),
            note: named.note.into(),
            counted: named.counted,
        }
    }
}

/// How a line of an earlier run meets what this one measured at its largest size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Met {
    pub role: String,
    pub what: String,
    pub size: f64,
    pub predicted: f64,
    pub measured: f64,
}

impl Met {
    /// The larger over the smaller, less one.
    pub fn off(&self) -> f64 {
        let (low, high) = (
            self.predicted.min(self.measured),
            self.predicted.max(self.measured),
        );
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
pub fn meet(earlier: &[Row], now: &[Row]) -> Vec<Met> {
    let one = |row: &Row| {
        let old = earlier
            .iter()
            .find(|old| old.role == row.role && old.what == row.what && old.bends.is_none())?;
        let (size, measured) = row
            .points
            .iter()
            .copied()
            .max_by(|a, b| a.0.total_cmp(&b.0))?;
        // Each run multiplies by its own parts of the fleet and of the day.
        let predicted = (old.intercept? + old.slope? * size) * row.times / old.times;
        Some(Met {
            role: row.role.clone(),
            what: row.what.clone(),
            size,
            predicted,
            measured,
        })
    };
    now.iter().filter_map(one).collect()
}

/// What one part measures.
type Part = fn(&Sizes, &Effort, &Place) -> io::Result<Vec<Row>>;

/// All parts, by name, and whether they run in this process alone and give counts.
fn parts() -> Vec<(&'static str, bool, Part)> {
    vec![
        ("decisions", true, decisions::rows),
        ("hollow", true, hollow::rows),
        ("control", true, control::rows),
        ("forwarders", false, forwarders::rows),
        ("nodes", false, nodes::rows),
        ("groups", false, groups::rows),
    ]
}

/// All rows, worst ratio first. What could not be measured is told as it goes, and fails the whole.
///
/// # Errors
/// Which part could not be measured.
pub fn measure(
    sizes: &Sizes,
    effort: &Effort,
    place: &Place,
    mut tell: impl FnMut(&str),
) -> io::Result<Vec<Row>> {
    let mut rows = Vec::new();
    for (name, pure, part) in parts() {
        if effort.counts_only && !pure {
            continue;
        }
        tell(name);
        rows.extend(
            part(sizes, effort, place)
                .map_err(|why| io::Error::new(why.kind(), format!("{name}: {why}")))?,
        );
    }
    table::put_in_order(&mut rows);
    Ok(rows)
}
