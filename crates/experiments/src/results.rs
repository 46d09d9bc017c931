//! Results of runs: rows of finished runs, and Parquet files of a folder.
//!
//! Field names of the rows are the column names of the files and the keys of `done.jsonl`, so they must not change.

use crate::error::ExperimentError;
use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::{RecordReader, RecordWriter};
use parquet_derive::{ParquetRecordReader, ParquetRecordWriter};
use rainstand_fleet_model::measure::{self, Measured};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// One run.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Serialize,
    Deserialize,
    ParquetRecordWriter,
    ParquetRecordReader,
)]
pub struct Run {
    /// Name of the experiment.
    pub experiment: String,
    /// A hash of the experiment and all it refers to, so that runs of different experiments are not compared.
    pub of: String,
    /// The program's version.
    pub version: String,
    /// Label of the variant.
    pub variant: String,
    /// Index of the variant, from 0.
    pub variant_number: i64,
    /// Seed of the run, from 1.
    pub seed: i64,
    /// Jobs that clients started.
    pub asked: i64,
    /// Jobs served within the latency objective.
    pub good: i64,
    /// Jobs served later than that.
    pub late: i64,
    /// Jobs whose last attempt was rejected.
    pub dismissed: i64,
    /// Jobs that failed.
    pub given_up: i64,
    /// `good` over `asked`.
    pub good_share: f64,
    /// `good` and `late` over `asked`.
    pub honoured_share: f64,
    /// Attempts that forwarders sent over `asked`.
    pub tries_per_job: f64,
    /// Requests that clients sent, retries and hedged ones included, over `asked`.
    pub tickets_per_job: f64,
    /// Median latency of a job.
    pub p50_ms: f64,
    /// 90th percentile of the latency of a job.
    pub p90_ms: f64,
    /// 99th percentile of the latency of a job.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency of a job.
    pub p999_ms: f64,
    /// 99th percentile of the time from the arrival at a node to the start of the run.
    pub wait_p99_ms: f64,
    /// Largest number of runs of a node, relative to the mean.
    pub unevenness: f64,
    /// Runs whose result no client received.
    pub wasted_runs: i64,
    /// Number of events in the model.
    pub events: i64,
    /// The first violation of an invariant, with the steps that led to it; empty if there is none.
    pub broken: String,
}

/// One second of one run.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Serialize,
    Deserialize,
    ParquetRecordWriter,
    ParquetRecordReader,
)]
pub struct Second {
    /// The run's variant, see [`Run::variant_number`].
    pub variant_number: i64,
    /// The run's seed.
    pub seed: i64,
    /// The second, from 0.
    pub second: i64,
    /// See [`Run::asked`]; jobs count in the second in which they started.
    pub asked: i64,
    /// See [`Run::good`].
    pub good: i64,
    /// See [`Run::late`].
    pub late: i64,
    /// See [`Run::dismissed`].
    pub dismissed: i64,
    /// See [`Run::given_up`].
    pub given_up: i64,
    /// Attempts that forwarders sent.
    pub tries: i64,
    /// Runs that started.
    pub runs: i64,
    /// Downstream calls that were started.
    pub calls: i64,
    /// Downstream calls that succeeded.
    pub calls_done: i64,
    /// Maximum number of concurrent downstream calls.
    pub most_calls: i64,
}

/// One node of one run.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Serialize,
    Deserialize,
    ParquetRecordWriter,
    ParquetRecordReader,
)]
pub struct NodeRow {
    /// The run's variant, see [`Run::variant_number`].
    pub variant_number: i64,
    /// The run's seed.
    pub seed: i64,
    /// The node, from 0.
    pub node: i64,
    /// Runs that it started.
    pub runs: i64,
    /// Core time that it used, in milliseconds.
    pub busy_ms: i64,
}

/// Jobs of one request class or tenant in one run.
#[derive(
    Clone,
    Debug,
    Default,
    PartialEq,
    Serialize,
    Deserialize,
    ParquetRecordWriter,
    ParquetRecordReader,
)]
pub struct Group {
    /// The run's variant, see [`Run::variant_number`].
    pub variant_number: i64,
    /// The run's seed.
    pub seed: i64,
    /// `type` (a request class) or `tenant`.
    pub what: String,
    /// Its name.
    pub name: String,
    /// See [`Run::asked`].
    pub asked: i64,
    /// See [`Run::good`].
    pub good: i64,
    /// See [`Run::late`].
    pub late: i64,
    /// See [`Run::dismissed`].
    pub dismissed: i64,
    /// See [`Run::given_up`].
    pub given_up: i64,
}

/// Everything that is stored about one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    /// The run.
    pub run: Run,
    /// Its seconds.
    pub seconds: Vec<Second>,
    /// Its nodes, or an even sample of at most 1,000 of them.
    pub nodes: Vec<NodeRow>,
    /// Its request classes, then its tenants.
    pub groups: Vec<Group>,
}

/// Maximum number of nodes that are stored per run.
const MAX_NODE_ROWS: usize = 1_000;

impl Rows {
    /// Creates the rows of a run. `head` identifies it; `classes` and `tenants` are the names of the measured groups.
    pub fn new(
        measured: &Measured,
        head: Run,
        classes: impl Iterator<Item = String>,
        tenants: impl Iterator<Item = String>,
    ) -> Self {
        let (variant_number, seed) = (head.variant_number, head.seed);
        let group = |what: &str, (name, jobs): (String, &measure::Jobs)| Group {
            variant_number,
            seed,
            what: what.to_owned(),
            name,
            asked: signed(jobs.asked),
            good: signed(jobs.good),
            late: signed(jobs.late),
            dismissed: signed(jobs.dismissed),
            given_up: signed(jobs.given_up),
        };
        let classes = classes.zip(&measured.by_type);
        let tenants = tenants.zip(&measured.by_tenant);
        let groups = classes
            .map(|class| group("type", class))
            .chain(tenants.map(|tenant| group("tenant", tenant)));
        Self {
            seconds: second_rows(measured, variant_number, seed),
            nodes: node_rows(measured, variant_number, seed),
            groups: groups.collect(),
            run: run_row(measured, head),
        }
    }
}

/// Converts a count to the signed integers of Parquet.
fn signed(count: u64) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}

fn run_row(measured: &Measured, head: Run) -> Run {
    let jobs = measured.jobs();
    let broken = measured.broken.as_ref();
    Run {
        asked: signed(jobs.asked),
        good: signed(jobs.good),
        late: signed(jobs.late),
        dismissed: signed(jobs.dismissed),
        given_up: signed(jobs.given_up),
        good_share: measured.good_share(),
        honoured_share: measured.served_share(),
        tries_per_job: measured.attempts_per_job(),
        tickets_per_job: measured.requests as f64 / jobs.asked.max(1) as f64,
        p50_ms: measured.time_ms(0.5),
        p90_ms: measured.time_ms(0.9),
        p99_ms: measured.time_ms(0.99),
        p999_ms: measured.time_ms(0.999),
        wait_p99_ms: measured.queue_waits.value_at_quantile(0.99) as f64 / 1e3,
        unevenness: measured.unevenness(),
        wasted_runs: signed(measured.wasted_runs),
        events: signed(measured.events),
        broken: broken.map_or(String::new(), ToString::to_string),
        ..head
    }
}

fn second_rows(measured: &Measured, variant_number: i64, seed: i64) -> Vec<Second> {
    let row = |(index, second): (usize, &measure::Second)| Second {
        variant_number,
        seed,
        second: index as i64,
        asked: signed(second.jobs.asked),
        good: signed(second.jobs.good),
        late: signed(second.jobs.late),
        dismissed: signed(second.jobs.dismissed),
        given_up: signed(second.jobs.given_up),
        tries: signed(second.attempts),
        runs: signed(second.runs),
        calls: signed(second.calls),
        calls_done: signed(second.calls_done),
        most_calls: signed(second.max_calls),
    };
    measured.seconds.iter().enumerate().map(row).collect()
}

fn node_rows(measured: &Measured, variant_number: i64, seed: i64) -> Vec<NodeRow> {
    let count = measured.node_runs.len();
    let step = count.div_ceil(MAX_NODE_ROWS).max(1);
    let row = |node: usize| NodeRow {
        variant_number,
        seed,
        node: node as i64,
        runs: signed(measured.node_runs[node]),
        busy_ms: signed(measured.node_busy_ms[node]),
    };
    (0..count).step_by(step).map(row).collect()
}

/// Writes one Parquet file atomically: concurrent readers see the old file.
fn write_file<T>(path: &Path, rows: &[T]) -> Result<(), ExperimentError>
where
    for<'r> &'r [T]: RecordWriter<T>,
{
    let schema = rows.schema()?;
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let draft = path.with_extension("draft");
    let file = File::create(&draft).map_err(|error| ExperimentError::file(&draft, error))?;
    let mut writer = SerializedFileWriter::new(file, schema, Arc::new(properties))?;
    let mut group = writer.next_row_group()?;
    rows.write_to_row_group(&mut group)?;
    group.close()?;
    writer.close()?;
    std::fs::rename(&draft, path).map_err(|error| ExperimentError::file(path, error))
}

/// Reads one Parquet file.
fn read_file<T>(path: &Path) -> Result<Vec<T>, ExperimentError>
where
    Vec<T>: RecordReader<T>,
{
    let file = File::open(path).map_err(|error| ExperimentError::file(path, error))?;
    let reader = SerializedFileReader::new(file)?;
    let mut rows = Vec::new();
    for index in 0..reader.num_row_groups() {
        let mut group = reader.get_row_group(index)?;
        let count = group.metadata().num_rows() as usize;
        let mut group_rows: Vec<T> = Vec::new();
        group_rows.read_from_row_group(&mut *group, count)?;
        rows.append(&mut group_rows);
    }
    Ok(rows)
}

/// Writes a folder's Parquet files, sorted by variant and seed, regardless of the order in which runs ended.
///
/// # Errors
/// If a file cannot be written.
pub fn write(folder: &Path, all: &mut [Rows]) -> Result<(), ExperimentError> {
    all.sort_by_key(|rows| (rows.run.variant_number, rows.run.seed));
    let runs: Vec<Run> = all.iter().map(|rows| rows.run.clone()).collect();
    let seconds: Vec<Second> = all.iter().flat_map(|rows| rows.seconds.clone()).collect();
    let nodes: Vec<NodeRow> = all.iter().flat_map(|rows| rows.nodes.clone()).collect();
    let groups: Vec<Group> = all.iter().flat_map(|rows| rows.groups.clone()).collect();
    write_file(&folder.join("runs.parquet"), &runs)?;
    write_file(&folder.join("seconds.parquet"), &seconds)?;
    write_file(&folder.join("nodes.parquet"), &nodes)?;
    write_file(&folder.join("groups.parquet"), &groups)
}

/// A variant of a folder's results.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct VariantLabel {
    /// See [`Run::variant_number`].
    pub number: i64,
    /// See [`Run::variant`].
    pub label: String,
}

/// The results that are stored in a folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    /// All runs, by variant and seed.
    pub runs: Vec<Run>,
    /// Their seconds, in the same order.
    pub seconds: Vec<Second>,
    /// Their nodes, in the same order.
    pub nodes: Vec<NodeRow>,
    /// Their request classes and tenants, in the same order.
    pub groups: Vec<Group>,
}

impl Results {
    /// The variants, in their order.
    pub fn variants(&self) -> Vec<VariantLabel> {
        let label = |run: &Run| VariantLabel {
            number: run.variant_number,
            label: run.variant.clone(),
        };
        let mut all: Vec<VariantLabel> = self.runs.iter().map(label).collect();
        all.sort();
        all.dedup();
        all
    }

    /// The runs of one variant.
    pub fn runs_of(&self, variant_number: i64) -> impl Iterator<Item = &Run> + Clone {
        self.runs
            .iter()
            .filter(move |run| run.variant_number == variant_number)
    }
}

/// Reads a folder's Parquet files.
///
/// # Errors
/// If a file cannot be read.
pub fn read(folder: &Path) -> Result<Results, ExperimentError> {
    Ok(Results {
        runs: read_file(&folder.join("runs.parquet"))?,
        seconds: read_file(&folder.join("seconds.parquet"))?,
        nodes: read_file(&folder.join("nodes.parquet"))?,
        groups: read_file(&folder.join("groups.parquet"))?,
    })
}
