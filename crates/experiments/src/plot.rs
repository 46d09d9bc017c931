//! Draws pictures of an experiment as SVG from a folder of results.

use crate::error::ExperimentError;
use crate::results::{Results, Run, Second};
use crate::stats::mean;
use plotters::coord::ranged1d::{Ranged, ValueFormatter};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Width and height of a picture, in pixels.
const SIZE: (u32, u32) = (760, 340);
/// Maximum number of lines in a picture that can be distinguished.
const MAX_LINES: usize = 12;
/// Confidence of the intervals in pictures and on the page.
pub(crate) const CONFIDENCE: f64 = 0.95;
/// Lowest value on a logarithmic axis.
const MIN_LOG_VALUE: f64 = 1e-3;
/// Minimum range of an axis.
const MIN_RANGE: f64 = 1e-6;

const COLOURS: [RGBColor; MAX_LINES] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 95, 14),
    RGBColor(44, 140, 60),
    RGBColor(200, 40, 60),
    RGBColor(130, 90, 180),
    RGBColor(120, 85, 70),
    RGBColor(210, 100, 180),
    RGBColor(90, 90, 90),
    RGBColor(150, 150, 20),
    RGBColor(20, 160, 170),
    RGBColor(240, 170, 50),
    RGBColor(60, 60, 130),
];

/// A point of a line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// Horizontal value.
    pub x: f64,
    /// Vertical value.
    pub y: f64,
}

/// A line of a picture.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Its name in the legend.
    pub name: String,
    /// Its points, in order of x.
    pub points: Vec<Point>,
}

/// Labels and axis options of a picture.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    /// Title above the picture.
    pub title: &'a str,
    /// Label of the horizontal axis.
    pub x: &'a str,
    /// Label of the vertical axis.
    pub y: &'a str,
    /// Whether y is logarithmic, for values from below 1 to thousands.
    pub log: bool,
    /// Minimum range of y.
    pub min_range: Span,
}

/// A range of values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its lower end.
    pub low: f64,
    /// Its upper end.
    pub high: f64,
}

impl Span {
    /// Contains nothing.
    const EMPTY: Self = Self::new(f64::INFINITY, f64::NEG_INFINITY);

    const fn new(low: f64, high: f64) -> Self {
        Self { low, high }
    }

    /// The smallest span that contains all values.
    fn containing(values: impl Iterator<Item = f64>) -> Self {
        values.fold(Self::EMPTY, |span, value| {
            Self::new(span.low.min(value), span.high.max(value))
        })
    }
}

/// A picture: its file name, and its SVG.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Picture {
    /// File name within the folder.
    pub file: &'static str,
    /// The SVG document.
    pub svg: String,
}

fn drawing_error(error: impl std::fmt::Display) -> ExperimentError {
    ExperimentError::Drawing(error.to_string())
}

/// Draws lines as SVG. If there are more than 12, the first 12 are drawn and the title says so.
///
/// # Errors
/// If there is no point, or the backend fails.
pub fn draw_lines(labels: Labels<'_>, lines: &[Line]) -> Result<String, ExperimentError> {
    let shown = &lines[..lines.len().min(MAX_LINES)];
    let points = || shown.iter().flat_map(|line| &line.points);
    let x = Span::containing(points().map(|point| point.x));
    let y = Span::containing(points().map(|point| point.y));
    if !x.low.is_finite() || !y.low.is_finite() {
        return Err(ExperimentError::NothingToDraw);
    }
    let x_high = if x.high > x.low { x.high } else { x.low + 1.0 };
    let y_low = y.low.min(labels.min_range.low);
    let y_high = y.high.max(labels.min_range.high).max(y.low + MIN_RANGE);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(drawing_error)?;
        let mut builder = ChartBuilder::on(&area);
        builder
            .caption(title(labels, lines), ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(58);
        if labels.log {
            let low = y_low.max(MIN_LOG_VALUE);
            let y_axis = (low..y_high.max(low * 2.0)).log_scale();
            let chart = builder.build_cartesian_2d(x.low..x_high, y_axis);
            draw_chart(chart.map_err(drawing_error)?, labels, shown)?;
        } else {
            let chart = builder.build_cartesian_2d(x.low..x_high, y_low..y_high);
            draw_chart(chart.map_err(drawing_error)?, labels, shown)?;
        }
        area.present().map_err(drawing_error)?;
    }
    Ok(svg)
}

fn title(labels: Labels<'_>, lines: &[Line]) -> String {
    let mut title = labels.title.to_owned();
    if lines.len() > MAX_LINES {
        let _ = write!(title, " (the first {MAX_LINES} of {})", lines.len());
    }
    title
}

/// Draws mesh, lines and legend on a chart with any vertical axis.
fn draw_chart<'a, Y>(
    mut chart: ChartContext<
        'a,
        SVGBackend<'a>,
        Cartesian2d<plotters::coord::types::RangedCoordf64, Y>,
    >,
    labels: Labels<'_>,
    lines: &[Line],
) -> Result<(), ExperimentError>
where
    Y: Ranged<ValueType = f64> + ValueFormatter<f64>,
{
    chart
        .configure_mesh()
        .x_desc(labels.x)
        .y_desc(labels.y)
        .light_line_style(RGBColor(240, 240, 240))
        .draw()
        .map_err(drawing_error)?;
    for (line, colour) in lines.iter().zip(COLOURS) {
        let points = line.points.iter().map(|point| (point.x, point.y));
        let series = LineSeries::new(points, colour.stroke_width(2));
        chart
            .draw_series(series)
            .map_err(drawing_error)?
            .label(line.name.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .position(SeriesLabelPosition::LowerRight)
        .draw()
        .map_err(drawing_error)
}

/// One line per variant: a value per second, averaged over the seeds.
fn over_time(results: &Results, read: impl Fn(&Second) -> Option<f64>) -> Vec<Line> {
    let line = |variant: crate::results::VariantLabel| {
        let mut by_second: BTreeMap<i64, Vec<f64>> = BTreeMap::new();
        let seconds = results.seconds.iter();
        for second in seconds.filter(|second| second.variant_number == variant.number) {
            if let Some(value) = read(second) {
                by_second.entry(second.second).or_default().push(value);
            }
        }
        let point = |(second, values): (i64, Vec<f64>)| Point {
            x: second as f64,
            y: values.iter().fold(0.0, |sum, value| sum + value) / values.len() as f64,
        };
        Line {
            name: variant.label,
            points: by_second.into_iter().map(point).collect(),
        }
    };
    results.variants().into_iter().map(line).collect()
}

/// Share of the jobs of a second; `None` if there were no jobs.
fn share_of_jobs(part: i64, second: &Second) -> Option<f64> {
    (second.asked > 0).then(|| part as f64 / second.asked as f64)
}

fn labels<'a>(title: &'a str, x: &'a str, y: &'a str, min_range: Span) -> Labels<'a> {
    Labels {
        title,
        x,
        y,
        log: false,
        min_range,
    }
}

/// All pictures of a folder.
///
/// # Errors
/// If a picture cannot be drawn.
pub fn pictures(results: &Results) -> Result<Vec<Picture>, ExperimentError> {
    let served = labels(
        "Honoured within the goal time",
        "s",
        "share of jobs",
        Span::new(1.0, 1.0),
    );
    let served_lines = over_time(results, |second| share_of_jobs(second.good, second));
    let attempts = labels(
        "Tries at the nodes",
        "s",
        "tries a job asked",
        Span::new(1.0, 1.1),
    );
    let attempt_lines = over_time(results, |second| share_of_jobs(second.tries, second));
    let rejected = labels("Dismissed", "s", "share of jobs", Span::new(0.0, 0.01));
    let rejected_lines = over_time(results, |second| share_of_jobs(second.dismissed, second));
    let mut all = vec![
        picture("good.svg", served, &served_lines)?,
        picture("tries.svg", attempts, &attempt_lines)?,
        picture("dismissed.svg", rejected, &rejected_lines)?,
    ];
    if results.seconds.iter().any(|second| second.calls > 0) {
        let calls = labels(
            "Calls below that came back",
            "s",
            "calls a second",
            Span::new(0.0, 1.0),
        );
        let lines = over_time(results, |second| Some(second.calls_done as f64));
        all.push(picture("calls.svg", calls, &lines)?);
    }
    all.push(percentiles(results)?);
    all.push(runs_by_node(results)?);
    Ok(all)
}

fn picture(
    file: &'static str,
    labels: Labels<'_>,
    lines: &[Line],
) -> Result<Picture, ExperimentError> {
    Ok(Picture {
        file,
        svg: draw_lines(labels, lines)?,
    })
}

/// A latency percentile of jobs.
struct Percentile {
    /// Its position on an axis of nines: 0.9 is 1, 0.99 is 2, 0.999 is 3.
    nines: f64,
    read_ms: fn(&Run) -> f64,
}

impl Percentile {
    fn new(nines: f64, read_ms: fn(&Run) -> f64) -> Self {
        Self { nines, read_ms }
    }
}

/// Latency percentiles of jobs, by variant.
fn percentiles(results: &Results) -> Result<Picture, ExperimentError> {
    let percentiles = [
        Percentile::new(0.3, |run| run.p50_ms),
        Percentile::new(1.0, |run| run.p90_ms),
        Percentile::new(2.0, |run| run.p99_ms),
        Percentile::new(3.0, |run| run.p999_ms),
    ];
    let line = |variant: crate::results::VariantLabel| {
        let point = |percentile: &Percentile| {
            let runs = results.runs_of(variant.number);
            let values: Vec<f64> = runs.map(percentile.read_ms).collect();
            Point {
                x: percentile.nines,
                y: mean(&values, CONFIDENCE).mean.max(MIN_LOG_VALUE),
            }
        };
        Line {
            points: percentiles.iter().map(point).collect(),
            name: variant.label,
        }
    };
    let lines: Vec<Line> = results.variants().into_iter().map(line).collect();
    let labels = Labels {
        log: true,
        ..labels(
            "Time to the result",
            "nines of jobs (0.3: half)",
            "ms",
            Span::EMPTY,
        )
    };
    picture("times.svg", labels, &lines)
}

/// Distribution of runs over the nodes of a variant.
fn runs_by_node(results: &Results) -> Result<Picture, ExperimentError> {
    let line = |variant: crate::results::VariantLabel| {
        let nodes = results.nodes.iter();
        let mut runs: Vec<f64> = nodes
            .filter(|node| node.variant_number == variant.number)
            .map(|node| node.runs as f64)
            .collect();
        runs.sort_by(f64::total_cmp);
        let mean = runs.iter().sum::<f64>() / runs.len().max(1) as f64;
        let last = runs.len().max(2) as f64 - 1.0;
        let point = |(index, runs): (usize, &f64)| Point {
            x: index as f64 / last,
            y: runs / mean.max(1e-9),
        };
        Line {
            name: variant.label,
            points: runs.iter().enumerate().map(point).collect(),
        }
    };
    let lines: Vec<Line> = results.variants().into_iter().map(line).collect();
    let labels = labels(
        "Runs by node",
        "nodes, least first",
        "runs over the mean",
        Span::new(0.9, 1.1),
    );
    picture("nodes.svg", labels, &lines)
}
