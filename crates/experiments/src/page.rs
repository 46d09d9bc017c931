//! An HTML page about an experiment: figures with their intervals, comparisons with the first variant, pictures.

use crate::error::ExperimentError;
use crate::plot::{pictures, CONFIDENCE};
use crate::results::{Results, VariantLabel};
use crate::stats::{compare, mean, Compared, Mean, MEASURES};
use std::fmt::Write;

const STYLE: &str =
    "body{font:15px/1.45 system-ui,sans-serif;max-width:1580px;margin:2em auto;padding:0 1em;color:#222}\
     table{border-collapse:collapse;margin:1em 0}td,th{padding:3px 10px;border-bottom:1px solid #ddd;\
     text-align:right}td:first-child,th:first-child{text-align:left}.worse{color:#b00020}.better{color:#1b6e2b}\
     .noise,.same{color:#888}pre{background:#f6f6f6;padding:1em;overflow:auto}figure{display:inline-block;margin:4px}";

/// Renders the page of a folder of results. `compiled` is the compiled experiment.
///
/// # Errors
/// As [`pictures`].
pub fn page(results: &Results, compiled: &str) -> Result<String, ExperimentError> {
    let variants = results.variants();
    let mut html = String::new();
    write_head(&mut html, results, &variants);
    write_violations(&mut html, results);
    write_figures(&mut html, results, &variants);
    if let Some((base, others)) = variants.split_first() {
        for other in others {
            write_comparison(&mut html, results, base, other);
        }
    }
    for picture in pictures(results)? {
        let _ = write!(html, "<figure>{}</figure>", picture.svg);
    }
    let compiled = escape(compiled);
    let _ = write!(
        html,
        "<h2>As it was compiled</h2><pre>{compiled}</pre></html>"
    );
    Ok(html)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

fn write_head(html: &mut String, results: &Results, variants: &[VariantLabel]) {
    let first_run = results.runs.first();
    let name = escape(first_run.map_or("nothing", |run| &run.experiment));
    let seeds = variants
        .first()
        .map_or(0, |variant| results.runs_of(variant.number).count());
    let _ = write!(
        html,
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title><style>{STYLE}\
         </style><h1>{name}</h1>",
    );
    let _ = write!(
        html,
        "<p>{} variants, {seeds} seeds each at most; simulated. Intervals hold the mean at {:.0} %.</p>",
        variants.len(),
        CONFIDENCE * 100.0
    );
}

fn write_violations(html: &mut String, results: &Results) {
    for run in results.runs.iter().filter(|run| !run.broken.is_empty()) {
        let _ = write!(
            html,
            "<p class=\"worse\">A rule broke: {}, seed {}.</p><pre>{}</pre>",
            escape(&run.variant),
            run.seed,
            escape(&run.broken)
        );
    }
}

fn write_figures(html: &mut String, results: &Results, variants: &[VariantLabel]) {
    html.push_str("<table><tr><th>variant</th>");
    for measure in &MEASURES {
        let _ = write!(html, "<th>{}</th>", measure.name);
    }
    html.push_str("</tr>");
    for variant in variants {
        let _ = write!(html, "<tr><td>{}</td>", escape(&variant.label));
        for measure in &MEASURES {
            let runs = results.runs_of(variant.number);
            let values: Vec<f64> = runs.map(measure.read).collect();
            let _ = write!(html, "<td>{}</td>", figure(mean(&values, CONFIDENCE)));
        }
        html.push_str("</tr>");
    }
    html.push_str("</table>");
}

/// A mean with its interval, with more digits for small values.
fn figure(value: Mean) -> String {
    let Mean { mean, half, .. } = value;
    match (mean.abs() < 10.0, half.is_finite()) {
        (true, true) => format!("{mean:.4} ± {half:.4}"),
        (true, false) => format!("{mean:.4}"),
        (false, true) => format!("{mean:.1} ± {half:.2}"),
        (false, false) => format!("{mean:.1}"),
    }
}

/// Compares two variants; writes nothing if they have fewer than two seeds in common.
fn write_comparison(
    html: &mut String,
    results: &Results,
    base: &VariantLabel,
    other: &VariantLabel,
) {
    let before = results.runs_of(base.number);
    let after = results.runs_of(other.number);
    let Ok(comparison) = compare(before, after, CONFIDENCE) else {
        return;
    };
    let _ = write!(
        html,
        "<h3>{} against {}</h3><table>",
        escape(&other.label),
        escape(&base.label)
    );
    for compared in comparison {
        write_compared(html, &compared);
    }
    html.push_str("</table>");
}

fn write_compared(html: &mut String, compared: &Compared) {
    let _ = write!(
        html,
        "<tr class=\"{4}\"><td>{0}</td><td>{1:.4}</td><td>{2:.4}</td><td>{3:+.4} ± {5:.4}</td><td>{4}</td></tr>",
        compared.measure,
        compared.before,
        compared.after,
        compared.change.mean,
        compared.verdict.word(),
        compared.change.half
    );
}
