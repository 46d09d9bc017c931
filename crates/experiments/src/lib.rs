//! Experiments with the fleet model: many variants and seeds of one plan, compared and drawn.
//!
//! | module | job |
//! | --- | --- |
//! | [`plans`] | an `experiment` of the configuration to the model's plans, one for each variant; no I/O |
//! | `variations` | what each value of a varied key changes in a plan; no I/O |
//! | [`jobs`] | plays them side by side, each run on one thread; each finished run is stored at once |
//! | [`results`] | runs, their seconds and their nodes as Parquet files, and back |
//! | [`stats`] | variants compared by pairs of one seed, with confidence intervals; no I/O |
//! | [`plot`] | SVG pictures |
//! | [`page`] | one HTML page with all figures, comparisons and pictures |
//!
//! A folder of results holds `done.jsonl` (a line for each finished run, so that a stopped experiment resumes),
//! `runs.parquet`, `seconds.parquet`, `nodes.parquet`, `groups.parquet` and the experiment itself, compiled, in
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
