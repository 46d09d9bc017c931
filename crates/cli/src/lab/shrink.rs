//! `rainstand lab shrink`: looks for a smaller run that still violates an invariant.

use super::selection::SelectedExperiment;
use crate::error::CommandResult;
use crate::output::{line, ExitStatus};
use clap::Args;
use rainstand_fleet_model::shrink::shrink;

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    #[arg(long)]
    experiment: Option<String>,
    /// Label of the variant; the first one if not said
    #[arg(long)]
    variant: Option<String>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let selected = SelectedExperiment::read(&options.file, options.experiment.as_deref())?;
    let plan = selected.plan(options.variant.as_deref(), options.seed)?;
    let Some(shrunk) = shrink(&plan) else {
        line(&format!("seed {}: no rule breaks", options.seed))?;
        return Ok(ExitStatus::Success);
    };
    line(&shrunk.broken.to_string())?;
    line(&format!(
        "the smallest of {} runs that breaks it:\n{:#?}",
        shrunk.runs, shrunk.plan
    ))?;
    Ok(ExitStatus::Found)
}
