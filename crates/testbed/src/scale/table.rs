//! `rainstand-testbed scale`: its options, and its output as text, Markdown and JSON.

use super::{compare_predictions, measure, Effort, Paths, Row, Sizes};
use clap::Args;
use serde::Deserialize;
use serde_json::{json, Value};
use std::cmp::Ordering;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};

/// Largest size that most options accept.
const MAX_SIZE: u64 = 1_000_000;

/// `rainstand-testbed scale`.
#[derive(Args, Clone)]
pub struct Options {
    #[command(flatten)]
    format: FormatFlags,
    #[command(flatten)]
    effort: EffortFlags,
    #[arg(long, default_value_t = 630, value_parser = clap::value_parser!(u64).range(4..=MAX_SIZE))]
    nodes: u64,
    #[arg(long, default_value_t = 8_500, value_parser = clap::value_parser!(u64).range(1..=MAX_SIZE))]
    callers: u64,
    #[arg(long, default_value_t = 490, value_parser = clap::value_parser!(u64).range(1..=MAX_SIZE))]
    services: u64,
    #[arg(long, default_value_t = 5_400, value_parser = clap::value_parser!(u64).range(1..=MAX_SIZE))]
    routes: u64,
    #[arg(long, default_value_t = 23_000, value_parser = clap::value_parser!(u64).range(1..=900_000))]
    tenants: u64,
    /// Of configuration, a day
    #[arg(long, default_value_t = 2_800, value_parser = clap::value_parser!(u64).range(1..=MAX_SIZE))]
    changes: u64,
    /// What an earlier run wrote with `--json`: its lines are held against what this one measures
    #[arg(long)]
    against: Option<PathBuf>,
    /// Print what an earlier run wrote with `--json`, and measure nothing
    #[arg(long)]
    from: Option<PathBuf>,
    /// Where the programs lie, if not beside this one
    #[arg(long)]
    programs: Option<PathBuf>,
}

// No doc comments: they would become the subcommand's help.
#[derive(Args, Clone)]
struct FormatFlags {
    /// One JSON object
    #[arg(long, conflicts_with = "markdown")]
    json: bool,
    /// The head table of docs/CAPACITY.md
    #[arg(long)]
    markdown: bool,
}

#[derive(Args, Clone)]
struct EffortFlags {
    /// Smaller sizes, within 50 s
    #[arg(long)]
    quick: bool,
    /// Only what runs in this process and is the same on every run
    #[arg(long)]
    counts: bool,
}

impl EffortFlags {
    fn effort(&self) -> Effort {
        if self.counts {
            Effort::counts()
        } else if self.quick {
            Effort::quick()
        } else {
            Effort::full()
        }
    }
}

/// The output of an earlier run with `--json`, as far as it is read.
#[derive(Deserialize)]
struct EarlierRun {
    sizes: Sizes,
    rows: Vec<Row>,
}

fn read(path: &Path) -> io::Result<EarlierRun> {
    let text = fs::read(path)
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", path.display())))?;
    Ok(serde_json::from_slice(&text)?)
}

fn measure_now(options: &Options) -> io::Result<(Sizes, Vec<Row>)> {
    let sizes = Sizes {
        nodes: options.nodes as usize,
        callers: options.callers as usize,
        services: options.services as usize,
        routes: options.routes as usize,
        tenants: options.tenants as usize,
        changes: options.changes as usize,
    };
    // An unreadable file is reported before anything is measured.
    if let Some(earlier) = &options.against {
        read(earlier)?;
    }
    let folder = tempfile::tempdir()?;
    let paths = Paths {
        programs: options.programs.clone(),
        folder: folder.path().to_owned(),
    };
    let rows = measure(&sizes, &options.effort.effort(), &paths, |part| {
        eprintln!("measuring: {part}");
    })?;
    Ok((sizes, rows))
}

/// Measures, or reads an earlier run, and prints the rows.
///
/// # Errors
/// If a part cannot be measured, or a file cannot be read.
pub fn run(options: &Options) -> io::Result<bool> {
    let (sizes, rows) = match &options.from {
        Some(path) => read(path).map(|earlier| (earlier.sizes, earlier.rows))?,
        None => measure_now(options)?,
    };
    if let Some(earlier) = &options.against {
        for prediction in compare_predictions(&read(earlier)?.rows, &rows) {
            eprintln!(
                "{:.0} % off: {}: {}: at {} predicted {}, measured {}",
                prediction.relative_difference() * 100.0,
                prediction.role,
                prediction.what,
                figure(prediction.size),
                figure(prediction.predicted),
                figure(prediction.measured)
            );
        }
    }
    let text = match (options.format.json, options.format.markdown) {
        (true, _) => json(&sizes, &rows).to_string(),
        (_, true) => markdown(&rows),
        _ => plain(&rows),
    };
    writeln!(io::stdout().lock(), "{}", text.trim_end())?;
    Ok(true)
}

/// Sorts rows: first those over their limit, worst ratio first; then those with a limit but no value, those within
/// their limit, and those without a limit.
pub fn sort_rows(rows: &mut [Row]) {
    let key = |row: &Row| match (row.holds, row.ratio) {
        (Some(false), ratio) => (0, ratio.unwrap_or(f64::INFINITY)),
        (_, None) if row.limit.is_some() => (1, 0.0),
        (_, Some(ratio)) => (2, ratio),
        (_, None) => (3, 0.0),
    };
    rows.sort_by(|a, b| {
        let ((group, ratio), (group_b, ratio_b)) = (key(a), key(b));
        group
            .cmp(&group_b)
            .then(ratio_b.partial_cmp(&ratio).unwrap_or(Ordering::Equal))
    });
}

/// All rows as one JSON object.
pub fn json(sizes: &Sizes, rows: &[Row]) -> Value {
    json!({"sizes": sizes, "rows": rows})
}

/// A number with three significant figures.
pub fn figure(n: f64) -> String {
    let size = n.abs();
    if size >= 1e5 {
        let (n, unit) = if size >= 1e9 {
            (n / 1e9, "G")
        } else if size >= 1e6 {
            (n / 1e6, "M")
        } else {
            (n / 1e3, "k")
        };
        return format!("{} {unit}", figure(n));
    }
    match size {
        _ if size >= 100.0 => format!("{n:.0}"),
        _ if size >= 10.0 => format!("{n:.1}"),
        _ if size >= 1.0 => format!("{n:.2}"),
        _ if size == 0.0 => "0".into(),
        _ => format!("{n:.3}"),
    }
}

fn holds(row: &Row) -> &'static str {
    match row.holds {
        Some(true) => "holds",
        Some(false) => "**does not hold**",
        None if row.limit.is_some() => "not told",
        None => "",
    }
}

/// The largest measured size, and the factor by which the value is extrapolated beyond it.
fn reach(row: &Row) -> String {
    let run = format!("{} {}", figure(row.measured_up_to), row.by);
    if row.size > row.measured_up_to * 1.001 && row.at_size.is_some() && row.slope.is_some() {
        return format!(
            "{run}, carried {:.1} times further",
            row.size / row.measured_up_to
        );
    }
    run
}

fn cells(row: &Row) -> [String; 8] {
    let figure_or_empty = |n: Option<f64>| n.map_or(String::new(), figure);
    let at = match (&row.bends, row.at_size) {
        (_, Some(at)) => format!("{} {}", figure(at), row.unit),
        (Some(_), None) => "not told".into(),
        (None, None) => "none".into(),
    };
    let limit = row.limit.map_or(String::new(), |limit| {
        format!("{} {}", figure(limit), row.unit)
    });
    let mut note = row.note.clone();
    if let Some(bends) = &row.bends {
        note = if note.is_empty() {
            bends.clone()
        } else {
            format!("{bends}; {note}")
        };
    }
    [
        row.role.clone(),
        row.what.clone(),
        at,
        limit,
        figure_or_empty(row.ratio),
        holds(row).into(),
        reach(row),
        note,
    ]
}

const HEAD: [&str; 8] = [
    "role",
    "requirement",
    "at this size",
    "limit",
    "ratio",
    "holds",
    "run up to",
    "what is behind it",
];

/// The head table of docs/CAPACITY.md.
pub fn markdown(rows: &[Row]) -> String {
    let mut text = format!(
        "| {} |\n|{}\n",
        HEAD.join(" | "),
        " --- |".repeat(HEAD.len())
    );
    for row in rows {
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} |",
            cells(row).map(|cell| cell.replace('|', "/")).join(" | ")
        );
    }
    text
}

/// All rows for a terminal.
pub fn plain(rows: &[Row]) -> String {
    let mut text = String::new();
    for row in rows {
        let [role, what, at, limit, ratio, holds, reach, note] =
            cells(row).map(|cell| cell.replace("**", ""));
        let _ = write!(text, "{role}: {what}: {at}");
        if !limit.is_empty() {
            let _ = write!(text, ", limit {limit}, ratio {ratio}: {holds}");
        }
        let _ = writeln!(text, "\n    run up to {reach}");
        if let (Some(slope), Some(intercept)) = (row.slope, row.intercept) {
            let residual_percent = row.residual.unwrap_or(0.0) * 100.0;
            let _ = writeln!(
                text,
                "    {intercept:.4} + {slope:.6} {} for each of {}; at most {residual_percent:.0} % left over",
                row.unit, row.by
            );
        }
        if !note.is_empty() {
            let _ = writeln!(text, "    {note}");
        }
    }
    text
}
