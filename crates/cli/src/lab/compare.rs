//! `rainstand lab compare`: compares two variants by pairs of runs with the same seed.

use crate::error::{CommandError, CommandResult};
use crate::output::{json, line, ExitStatus};
use clap::Args;
use rainstand_experiments::results::{self, Results, VariantLabel};
use rainstand_experiments::stats::{compare, Compared};
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};

#[derive(Args)]
pub(crate) struct Options {
    /// A folder of results
    folder: PathBuf,
    /// Another folder; the same one if not said
    other: Option<PathBuf>,
    /// Label of the variant before; the first one if not said
    #[arg(long)]
    before: Option<String>,
    /// Label of the variant after; the last one if not said
    #[arg(long)]
    after: Option<String>,
    /// Of the intervals, in percent
    #[arg(long, default_value_t = 95.0)]
    level: f64,
    #[arg(long)]
    json: bool,
}

/// The variant that is compared if no label is given.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DefaultVariant {
    First,
    Last,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let level = options.level / 100.0;
    if !(0.5..1.0).contains(&level) {
        return Err(CommandError::unusable("--level", "between 50 and 100"));
    }
    let (folder_before, folder_after) = match &options.other {
        Some(other) => (&options.folder, other),
        None => (&options.folder, &options.folder),
    };
    let results_before = read_results(folder_before)?;
    let results_after = read_results(folder_after)?;
    let default_after = if folder_before == folder_after {
        DefaultVariant::Last
    } else {
        DefaultVariant::First
    };
    let before = find_variant(
        &results_before,
        options.before.as_deref(),
        DefaultVariant::First,
    );
    let after = find_variant(&results_after, options.after.as_deref(), default_after);
    let (Some(before), Some(after)) = (before, after) else {
        return Err(unknown_variant(&results_before));
    };
    let compared = compare(
        results_before.runs_of(before.number),
        results_after.runs_of(after.number),
        level,
    )
    .map_err(|reason| CommandError::unusable(folder_before.display(), reason))?;
    if options.json {
        print_json(&compared)?;
    } else {
        let pairs = compared[0].change.count;
        line(&format!(
            "{}  against  {}, {pairs} pairs of one seed, {:.0} %",
            after.label,
            before.label,
            level * 100.0
        ))?;
        print_text(&compared)?;
    }
    Ok(ExitStatus::Success)
}

fn read_results(folder: &Path) -> Result<Results, CommandError> {
    results::read(folder).map_err(|reason| CommandError::unusable(folder.display(), reason))
}

fn find_variant(
    results: &Results,
    label: Option<&str>,
    default: DefaultVariant,
) -> Option<VariantLabel> {
    let mut variants = results.variants().into_iter();
    match (label, default) {
        (Some(label), _) => variants.find(|variant| variant.label == label),
        (None, DefaultVariant::First) => variants.next(),
        (None, DefaultVariant::Last) => variants.next_back(),
    }
}

fn unknown_variant(results: &Results) -> CommandError {
    let labels: Vec<String> = results
        .variants()
        .into_iter()
        .map(|variant| variant.label)
        .collect();
    let reason = format!("no such variant; known variants: {}", labels.join("; "));
    CommandError::unusable("--before or --after", reason)
}

fn print_json(compared: &[Compared]) -> io::Result<()> {
    for measure in compared {
        json(&json!({
            "measure": measure.measure, "before": measure.before, "after": measure.after,
            "change": measure.change.mean, "half": measure.change.half, "pairs": measure.change.count,
            "verdict": measure.verdict.word(),
        }))?;
    }
    Ok(())
}

fn print_text(compared: &[Compared]) -> io::Result<()> {
    for Compared {
        measure,
        before,
        after,
        change,
        verdict,
    } in compared
    {
        line(&format!(
            "{measure:<12} {before:>12.4} -> {after:>12.4}   {:>+11.4} ± {:<10.4} {}",
            change.mean,
            change.half,
            verdict.word()
        ))?;
    }
    Ok(())
}
