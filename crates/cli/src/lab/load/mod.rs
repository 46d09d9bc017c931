//! `rainstand lab load`: sends an experiment's requests on sockets to a running forwarder or node, or to a fleet that
//! it starts on loopback. For its own fleet it also prints the figures of the model.
//!
//! The load is open loop: requests are sent when they are due, independent of earlier ones, and times count from when a
//! request was due, not from when it was sent. So a stall shows in every request that it delayed.

mod client;
mod generator;
mod report;

use super::loopback_fleet::LoopbackFleet;
use super::selection::SelectedExperiment;
use crate::error::{CommandError, CommandResult};
use crate::output::ExitStatus;
use clap::Args;
use client::LoadClient;
use rainstand_fleet_model::plan::Plan;
use rainstand_fleet_model::world;
use rainstand_test_servers::server::TestServer;
use report::Figures;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::LocalSet;

/// Number of model runs, each with its own seed, whose mean is printed.
const MODEL_RUNS: u64 = 5;

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    #[arg(long)]
    experiment: Option<String>,
    /// Label of the variant; the first one if not said
    #[arg(long)]
    variant: Option<String>,
    /// What is loaded
    #[arg(long)]
    to: Option<SocketAddr>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let selected = SelectedExperiment::read(&options.file, options.experiment.as_deref())?;
    let plan = selected.plan(options.variant.as_deref(), options.seed)?;
    let fleet = match options.to {
        Some(address) => LoopbackFleet::at(address),
        None => LoopbackFleet::start(&plan)
            .map_err(|error| CommandError::unusable(&options.file, error))?,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let client = Rc::new(LoadClient::new(fleet.entry_points)?);
    LocalSet::new().block_on(&runtime, generator::run(&plan, &client));
    fleet.nodes.iter().for_each(TestServer::kill);
    let mut figures = vec![Figures::measured(&client)];
    if options.to.is_none() {
        figures.push(model_figures(&options.file, &plan)?);
    }
    if options.json {
        report::print_json(&figures, &client)?;
    } else {
        report::print_text(&figures, &client)?;
    }
    Ok(ExitStatus::Success)
}

/// The mean of [`MODEL_RUNS`] runs of the model. Retries by callers are off, since the generator makes none.
fn model_figures(file: &str, plan: &Plan) -> Result<Figures, CommandError> {
    let mut mean = Figures::new("model");
    for run in 0..MODEL_RUNS {
        let mut plan = plan.clone();
        plan.seed += run;
        plan.habits.tries = 1;
        let measured = world::run(&plan).map_err(|reason| CommandError::unusable(file, reason))?;
        mean.add_part(&measured, MODEL_RUNS as f64);
    }
    Ok(mean)
}
