//! What runs came to, as rows and as columns.

use parquet::basic::Compression;
use parquet::file::properties::WriterProperties;
use parquet::file::reader::{FileReader, SerializedFileReader};
use parquet::file::writer::SerializedFileWriter;
use parquet::record::{RecordReader, RecordWriter};
use parquet_derive::{ParquetRecordReader, ParquetRecordWriter};
use rainstand_fleet_model::measure::Measured;
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
    pub experiment: String,
    /// A hash of the experiment and all it refers to: runs of another are not compared by mistake.
    pub of: String,
    /// The program's version.
    pub version: String,
    pub variant: String,
    pub variant_number: i64,
    pub seed: i64,
    pub asked: i64,
    /// Within the goal time, and past it.
    pub good: i64,
    pub late: i64,
    pub dismissed: i64,
    pub given_up: i64,
    pub good_share: f64,
    pub honoured_share: f64,
    pub tries_per_job: f64,
    pub tickets_per_job: f64,
    pub p50_ms: f64,
    pub p90_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub wait_p99_ms: f64,
    /// The most runs of a node over the mean.
    pub unevenness: f64,
    pub wasted_runs: i64,
    pub events: i64,
    /// The first rule that broke, with the steps that led to it; empty if none did.
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
    pub variant_number: i64,
    pub seed: i64,
    pub second: i64,
    pub asked: i64,
    pub good: i64,
    pub late: i64,
    pub dismissed: i64,
    pub given_up: i64,
    pub tries: i64,
    pub runs: i64,
    /// To the tier below: made, come back with a result, the most out at a time.
    pub calls: i64,
    pub calls_done: i64,
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
    pub variant_number: i64,
    pub seed: i64,
    pub node: i64,
    pub runs: i64,
    pub busy_ms: i64,
}

/// Jobs of one type or tenant in one run.
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
    pub variant_number: i64,
    pub seed: i64,
    /// `type` or `tenant`.
    pub what: String,
    pub name: String,
    pub asked: i64,
    pub good: i64,
    pub late: i64,
    pub dismissed: i64,
    pub given_up: i64,
}

/// All that is kept of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rows {
    pub run: Run,
    pub seconds: Vec<Second>,
    pub nodes: Vec<NodeRow>,
    pub groups: Vec<Group>,
}

/// Nodes that are kept one by one; of more, every so-manieth.
const NODES: usize = 1_000;

/// The rows of a run.
pub fn rows(
    measured: &Measured,
    head: Run,
    types: impl Iterator<Item = String>,
    tenants: impl Iterator<Item = String>,
) -> Rows {
    let jobs = measured.jobs();
    let (variant_number, seed) = (head.variant_number, head.seed);
    let long = |n: u64| i64::try_from(n).unwrap_or(i64::MAX);
    let run = Run {
        asked: long(jobs.asked),
        good: long(jobs.good),
        late: long(jobs.late),
        dismissed: long(jobs.dismissed),
        given_up: long(jobs.given_up),
        good_share: measured.good_share(),
        honoured_share: measured.honoured_share(),
        tries_per_job: measured.tries_per_job(),
        tickets_per_job: measured.tickets as f64 / jobs.asked.max(1) as f64,
        p50_ms: measured.time_ms(0.5),
        p90_ms: measured.time_ms(0.9),
        p99_ms: measured.time_ms(0.99),
        p999_ms: measured.time_ms(0.999),
        wait_p99_ms: measured.waits.value_at_quantile(0.99) as f64 / 1e3,
        unevenness: measured.unevenness(),
        wasted_runs: long(measured.wasted_runs),
        events: long(measured.events),
        broken: measured
            .broken
            .as_ref()
            .map_or(String::new(), ToString::to_string),
        ..head
    };
    let second = |(at, one): (usize, &rainstand_fleet_model::measure::Second)| Second {
        variant_number,
        seed,
        second: at as i64,
        asked: long(one.jobs.asked),
        good: long(one.jobs.good),
        late: long(one.jobs.late),
        dismissed: long(one.jobs.dismissed),
        given_up: long(one.jobs.given_up),
        tries: long(one.tries),
        runs: long(one.runs),
        calls: long(one.calls),
        calls_done: long(one.calls_done),
        most_calls: long(one.most_calls),
    };
    let step = measured.node_runs.len().div_ceil(NODES).max(1);
    let node = |k: usize| NodeRow {
        variant_number,
        seed,
        node: k as i64,
        runs: long(measured.node_runs[k]),
        busy_ms: long(measured.node_busy_ms[k]),
    };
    let group = |what: &str, (name, jobs): (String, &rainstand_fleet_model::measure::Jobs)| Group {
        variant_number,
        seed,
        what: what.to_owned(),
        name,
        asked: long(jobs.asked),
        good: long(jobs.good),
        late: long(jobs.late),
        dismissed: long(jobs.dismissed),
        given_up: long(jobs.given_up),
    };
    let by_type = types.zip(&measured.by_type).map(|one| group("type", one));
    let by_tenant = tenants
        .zip(&measured.by_tenant)
        .map(|one| group("tenant", one));
    Rows {
        run,
        seconds: measured.seconds.iter().enumerate().map(second).collect(),
        nodes: (0..measured.node_runs.len())
            .step_by(step)
            .map(node)
            .collect(),
        groups: by_type.chain(by_tenant).collect(),
    }
}

fn words(error: impl std::fmt::Display) -> String {
    error.to_string()
}

/// One Parquet file.
fn put<T>(path: &Path, rows: &[T]) -> Result<(), String>
where
    for<'r> &'r [T]: RecordWriter<T>,
{
    let schema = rows.schema().map_err(words)?;
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    // In one step: whoever reads it meanwhile sees the old one whole.
    let draft = path.with_extension("draft");
    let file = File::create(&draft).map_err(|e| format!("{}: {e}", draft.display()))?;
    let mut writer =
        SerializedFileWriter::new(file, schema, Arc::new(properties)).map_err(words)?;
    let mut group = writer.next_row_group().map_err(words)?;
    rows.write_to_row_group(&mut group).map_err(words)?;
    group.close().map_err(words)?;
    writer.close().map_err(words)?;
    std::fs::rename(&draft, path).map_err(|e| format!("{}: {e}", path.display()))
}

fn get<T>(path: &Path) -> Result<Vec<T>, String>
where
    Vec<T>: RecordReader<T>,
{
    let file = File::open(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let reader = SerializedFileReader::new(file).map_err(words)?;
    let mut all = Vec::new();
    for at in 0..reader.num_row_groups() {
        let mut group = reader.get_row_group(at).map_err(words)?;
        let count = group.metadata().num_rows() as usize;
        let mut some: Vec<T> = Vec::new();
        some.read_from_row_group(&mut *group, count)
            .map_err(words)?;
        all.append(&mut some);
    }
    Ok(all)
}

/// Writes a folder's Parquet files, in order of variant and seed whatever the order in which runs ended.
///
/// # Errors
/// Which file could not be written, and why.
pub fn write(folder: &Path, all: &mut [Rows]) -> Result<(), String> {
    all.sort_by_key(|one| (one.run.variant_number, one.run.seed));
    let runs: Vec<Run> = all.iter().map(|one| one.run.clone()).collect();
    let seconds: Vec<Second> = all
        .iter()
        .flat_map(|one| one.seconds.iter().cloned())
        .collect();
    let nodes: Vec<NodeRow> = all
        .iter()
        .flat_map(|one| one.nodes.iter().cloned())
        .collect();
    let groups: Vec<Group> = all
        .iter()
        .flat_map(|one| one.groups.iter().cloned())
        .collect();
    put(&folder.join("runs.parquet"), &runs)?;
    put(&folder.join("seconds.parquet"), &seconds)?;
    put(&folder.join("nodes.parquet"), &nodes)?;
    put(&folder.join("groups.parquet"), &groups)
}

/// A folder's results as they were written.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Results {
    pub runs: Vec<Run>,
    pub seconds: Vec<Second>,
    pub nodes: Vec<NodeRow>,
    pub groups: Vec<Group>,
}

impl Results {
    /// Labels of the variants in their order.
    pub fn variants(&self) -> Vec<(i64, String)> {
        let mut all: Vec<(i64, String)> = self
            .runs
            .iter()
            .map(|run| (run.variant_number, run.variant.clone()))
            .collect();
        all.sort();
        all.dedup();
        all
    }

    pub fn of(&self, variant: i64) -> impl Iterator<Item = &Run> + Clone {
        self.runs
            .iter()
            .filter(move |run| run.variant_number == variant)
    }
}

/// # Errors
/// Which file could not be read, and why.
pub fn read(folder: &Path) -> Result<Results, String> {
    Ok(Results {
        runs: get(&folder.join("runs.parquet"))?,
        seconds: get(&folder.join("seconds.parquet"))?,
        nodes: get(&folder.join("nodes.parquet"))?,
        groups: get(&folder.join("groups.parquet"))?,
    })
}
