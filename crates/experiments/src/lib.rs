//! Experiments with the model.
//!
//! | module | job |
//! | --- | --- |
//! | [`plans`] | an `experiment` of the configuration to the model's plans, one for each variant and seed; pure |
//! | [`jobs`] | plays them side by side, each run on one thread; what is done is kept at once |
//! | [`results`] | runs, their seconds and their nodes as Parquet files, and back |
//! | [`stats`] | variants compared by pairs of one seed, with intervals: what is noise is called so; pure |
//! | [`plot`] | SVG pictures and a page that shows an experiment whole |
//!
//! A folder of results holds `done.jsonl` (a line a finished run, so that a stopped experiment goes on), `runs.parquet`,
//! `seconds.parquet`, `nodes.parquet` and the experiment itself, compiled, in `experiment.txtpb`.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod jobs;
pub mod plans;
pub mod plot;
pub mod results;
pub mod stats;
