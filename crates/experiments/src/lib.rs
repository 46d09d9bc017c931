//! Experiments with the fleet model: many variants and seeds of one plan, compared and drawn.
//!
//! | module | contents |
//! | --- | --- |
//! | [`plans`] | converts an `experiment` of the configuration to plans of the model, one per variant; no I/O |
//! | `variations` | what each value of a varied key changes in a plan; no I/O |
//! | [`jobs`] | runs variants and seeds in parallel, each run on one thread; stores each finished run immediately |
//! | [`results`] | writes and reads runs, their seconds and their nodes as Parquet files |
//! | [`stats`] | compares variants by pairs of runs with the same seed, with confidence intervals; no I/O |
//! | [`plot`] | SVG pictures |
//! | [`page`] | one HTML page with all figures, comparisons and pictures |
//!
//! A folder of results holds `done.jsonl` (one line per finished run, so that a stopped experiment can resume),
//! `runs.parquet`, `seconds.parquet`, `nodes.parquet`, `groups.parquet` and the compiled experiment in
//! `experiment.txtpb`. Field names of the rows are column names of these files.

mod error;
pub mod jobs;
pub mod page;
pub mod plans;
pub mod plot;
pub mod results;
pub mod stats;
mod variations;

pub use error::ExperimentError;
