//! Pictures of an experiment, and a page that shows it whole. Everything is drawn from a folder's results alone.

use crate::results::{Results, Second};
use crate::stats::{compare, mean, MEASURES};
use plotters::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Of one picture, in pixels.
const SIZE: (u32, u32) = (760, 340);
/// Lines of one picture that can still be told apart.
const MOST_LINES: usize = 12;
/// Intervals on the page.
const LEVEL: f64 = 0.95;

const COLOURS: [RGBColor; 12] = [
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

/// A line: its name, and its points in order of x.
pub type Line = (String, Vec<(f64, f64)>);

/// How a picture is labelled, and how its values lie.
#[derive(Clone, Copy, Debug)]
pub struct Labels<'a> {
    pub title: &'a str,
    pub x: &'a str,
    pub y: &'a str,
    /// Values from below 1 to thousands: each step up is ten times.
    pub log: bool,
    /// The least range that y covers.
    pub least: (f64, f64),
}

/// Lines over one axis as SVG; more than can be told apart are left out, and the title says so.
///
/// # Errors
/// Why nothing could be drawn.
pub fn lines(labels: Labels<'_>, lines: &[Line]) -> Result<String, String> {
    let shown = &lines[..lines.len().min(MOST_LINES)];
    let mut title = labels.title.to_owned();
    if shown.len() < lines.len() {
        let _ = write!(title, " (the first {} of {})", shown.len(), lines.len());
    }
    let points = || shown.iter().flat_map(|(_, points)| points);
    let ends = |read: fn(&(f64, f64)) -> f64| {
        points()
            .map(read)
            .fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), one| {
                (a.min(one), b.max(one))
            })
    };
    let (x, y) = (ends(|point| point.0), ends(|point| point.1));
    if !x.0.is_finite() || !y.0.is_finite() {
        return Err("there is nothing to draw".into());
    }
    let x = (x.0, if x.1 > x.0 { x.1 } else { x.0 + 1.0 });
    let y = (
        y.0.min(labels.least.0),
        y.1.max(labels.least.1).max(y.0 + 1e-6),
    );
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        let words = |error: &dyn std::fmt::Display| error.to_string();
        area.fill(&WHITE).map_err(|e| words(&e))?;
        let mut builder = ChartBuilder::on(&area);
        builder
            .caption(&title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(58);
        macro_rules! draw {
            ($chart:expr) => {{
                let mut chart = $chart.map_err(|e| words(&e))?;
                chart
                    .configure_mesh()
                    .x_desc(labels.x)
                    .y_desc(labels.y)
                    .light_line_style(RGBColor(240, 240, 240))
                    .draw()
                    .map_err(|e| words(&e))?;
                for (k, (name, points)) in shown.iter().enumerate() {
                    let colour = COLOURS[k % COLOURS.len()];
                    let series = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
                    chart
                        .draw_series(series)
                        .map_err(|e| words(&e))?
                        .label(name.clone())
                        .legend(move |(x, y)| {
                            PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2))
                        });
                }
                chart
                    .configure_series_labels()
                    .background_style(WHITE.mix(0.8))
                    .position(SeriesLabelPosition::LowerRight)
                    .draw()
                    .map_err(|e| words(&e))?;
            }};
        }
        if labels.log {
            let from = y.0.max(1e-3);
            draw!(builder.build_cartesian_2d(x.0..x.1, (from..y.1.max(from * 2.0)).log_scale()));
        } else {
            draw!(builder.build_cartesian_2d(x.0..x.1, y.0..y.1));
        }
        area.present().map_err(|e| words(&e))?;
    }
    Ok(svg)
}

/// Over time, the mean of all seeds of a variant.
fn over_time(results: &Results, read: impl Fn(&Second) -> Option<f64>) -> Vec<Line> {
    let mut all = Vec::new();
    for (number, label) in results.variants() {
        let mut by_second: BTreeMap<i64, (f64, u32)> = BTreeMap::new();
        for second in results
            .seconds
            .iter()
            .filter(|one| one.variant_number == number)
        {
            if let Some(value) = read(second) {
                let one = by_second.entry(second.second).or_default();
                (one.0, one.1) = (one.0 + value, one.1 + 1);
            }
        }
        let points = by_second
            .into_iter()
            .map(|(at, (sum, n))| (at as f64, sum / f64::from(n)))
            .collect();
        all.push((label, points));
    }
    all
}

/// All pictures of a folder: file name and SVG.
///
/// # Errors
/// Why one could not be drawn.
pub fn pictures(results: &Results) -> Result<Vec<(&'static str, String)>, String> {
    let share = |part: i64, of: i64| (of > 0).then(|| part as f64 / of as f64);
    let mut all = Vec::new();
    let labels = |title, x, y| Labels {
        title,
        x,
        y,
        log: false,
        least: (f64::INFINITY, f64::NEG_INFINITY),
    };
    let good = Labels {
        least: (1.0, 1.0),
        ..labels("Honoured within the goal time", "s", "share of jobs")
    };
    all.push((
        "good.svg",
        lines(good, &over_time(results, |one| share(one.good, one.asked)))?,
    ));
    let tries = Labels {
        least: (1.0, 1.1),
        ..labels("Tries at the nodes", "s", "tries a job asked")
    };
    all.push((
        "tries.svg",
        lines(
            tries,
            &over_time(results, |one| share(one.tries, one.asked)),
        )?,
    ));
    let away = Labels {
        least: (0.0, 0.01),
        ..labels("Dismissed", "s", "share of jobs")
    };
    all.push((
        "dismissed.svg",
        lines(
            away,
            &over_time(results, |one| share(one.dismissed, one.asked)),
        )?,
    ));
    if results.seconds.iter().any(|one| one.calls > 0) {
        let calls = Labels {
            least: (0.0, 1.0),
            ..labels("Calls below that came back", "s", "calls a second")
        };
        all.push((
            "calls.svg",
            lines(
                calls,
                &over_time(results, |one| Some(one.calls_done as f64)),
            )?,
        ));
    }
    // Percentiles lie on an axis of nines: 0.9 is 1, 0.99 is 2, 0.999 is 3.
    let mut times = Vec::new();
    for (number, label) in results.variants() {
        let of = |read: fn(&crate::results::Run) -> f64| {
            let values: Vec<f64> = results.of(number).map(read).collect();
            mean(&values, LEVEL).mean.max(1e-3)
        };
        let points = [
            (0.3, of(|run| run.p50_ms)),
            (1.0, of(|run| run.p90_ms)),
            (2.0, of(|run| run.p99_ms)),
            (3.0, of(|run| run.p999_ms)),
        ];
        times.push((label, points.to_vec()));
    }
    let nines = Labels {
        log: true,
        ..labels("Time to the result", "nines of jobs (0.3: half)", "ms")
    };
    all.push(("times.svg", lines(nines, &times)?));
    let mut loads = Vec::new();
    for (number, label) in results.variants() {
        let mut runs: Vec<f64> = results
            .nodes
            .iter()
            .filter(|one| one.variant_number == number)
            .map(|one| one.runs as f64)
            .collect();
        runs.sort_by(f64::total_cmp);
        let middle = runs.iter().sum::<f64>() / runs.len().max(1) as f64;
        let last = runs.len().max(2) as f64 - 1.0;
        let points = runs
            .iter()
            .enumerate()
            .map(|(k, runs)| (k as f64 / last, runs / middle.max(1e-9)));
        loads.push((label, points.collect()));
    }
    let load = Labels {
        least: (0.9, 1.1),
        ..labels("Runs by node", "nodes, least first", "runs over the mean")
    };
    all.push(("nodes.svg", lines(load, &loads)?));
    Ok(all)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The page: what was asked, all figures with their intervals, comparisons with the first variant, all pictures.
///
/// # Errors
/// As [`pictures`].
pub fn page(results: &Results, compiled: &str) -> Result<String, String> {
    let variants = results.variants();
    let name = results
        .runs
        .first()
        .map_or("nothing", |run| &run.experiment);
    let mut out = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{0}</title><style>\
         body{{font:15px/1.45 system-ui,sans-serif;max-width:1580px;margin:2em auto;padding:0 1em;color:#222}}\
         table{{border-collapse:collapse;margin:1em 0}}td,th{{padding:3px 10px;border-bottom:1px solid #ddd;\
         text-align:right}}td:first-child,th:first-child{{text-align:left}}.worse{{color:#b00020}}.better{{color:#1b6e2b}}\
         .noise,.same{{color:#888}}pre{{background:#f6f6f6;padding:1em;overflow:auto}}figure{{display:inline-block;margin:4px}}\
         </style><h1>{0}</h1>",
        escaped(name)
    );
    let seeds = variants
        .first()
        .map_or(0, |(number, _)| results.of(*number).count());
    let _ = write!(
        out,
        "<p>{} variants, {} seeds each at most; simulated. Intervals hold the mean at {:.0} %.</p>",
        variants.len(),
        seeds,
        LEVEL * 100.0
    );
    let broken: Vec<_> = results
        .runs
        .iter()
        .filter(|run| !run.broken.is_empty())
        .collect();
    for run in &broken {
        let _ = write!(
            out,
            "<p class=\"worse\">A rule broke: {}, seed {}.</p><pre>{}</pre>",
            escaped(&run.variant),
            run.seed,
            escaped(&run.broken)
        );
    }
    out.push_str("<table><tr><th>variant</th>");
    for (name, ..) in MEASURES {
        let _ = write!(out, "<th>{name}</th>");
    }
    out.push_str("</tr>");
    for (number, label) in &variants {
        let _ = write!(out, "<tr><td>{}</td>", escaped(label));
        for (_, _, read) in &MEASURES {
            let values: Vec<f64> = results.of(*number).map(read).collect();
            let one = mean(&values, LEVEL);
            let half = if one.half.is_finite() {
                format!(" ± {:.2}", one.half)
            } else {
                String::new()
            };
            let _ = match one.mean.abs() < 10.0 {
                true if one.half.is_finite() => {
                    write!(out, "<td>{:.4} ± {:.4}</td>", one.mean, one.half)
                }
                true => write!(out, "<td>{:.4}</td>", one.mean),
                false => write!(out, "<td>{:.1}{half}</td>", one.mean),
            };
        }
        out.push_str("</tr>");
    }
    out.push_str("</table>");
    if let Some(((first, base), others)) = variants.split_first() {
        for (number, label) in others {
            let Ok(found) = compare(results.of(*first), results.of(*number), LEVEL) else {
                continue;
            };
            let _ = write!(
                out,
                "<h3>{} against {}</h3><table>",
                escaped(label),
                escaped(base)
            );
            for one in found {
                let _ = write!(
                    out,
                    "<tr class=\"{4}\"><td>{0}</td><td>{1:.4}</td><td>{2:.4}</td><td>{3:+.4} ± {5:.4}</td><td>{4}</td></tr>",
                    one.measure,
                    one.before,
                    one.after,
                    one.change.mean,
                    one.verdict.word(),
                    one.change.half
                );
            }
            out.push_str("</table>");
        }
    }
    for (_, svg) in pictures(results)? {
        let _ = write!(out, "<figure>{svg}</figure>");
    }
    let _ = write!(
        out,
        "<h2>As it was compiled</h2><pre>{}</pre></html>",
        escaped(compiled)
    );
    Ok(out)
}
