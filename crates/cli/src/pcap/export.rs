//! `rainstand pcap export`: writes the requests of a capture to a Parquet file, one row per request, in the order in
//! which they ended.

use super::capture_file::{exit_status, read_capture};
use crate::error::{CommandError, CommandResult};
use clap::Args;
use parquet::basic::Compression;
use parquet::data_type::{ByteArray, ByteArrayType, DataType, Int32Type, Int64Type};
use parquet::errors::ParquetError;
use parquet::file::properties::WriterProperties;
use parquet::file::writer::{SerializedFileWriter, SerializedRowGroupWriter};
use parquet::schema::parser::parse_message_type;
use rainstand_capture::tickets::{Event, Outcome, Ticket};
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Rows of one row group. Limits memory to some MB for a capture of any size.
const GROUP_ROWS: usize = 1 << 16;

/// The columns in their order; a missing time is null.
const SCHEMA: &str = "message tickets {
    required int64 at_us (TIMESTAMP(MICROS, true));
    required int32 conn (INTEGER(32, false));
    required int32 seq;
    required binary trace (UTF8);
    required binary type (UTF8);
    required binary tenant (UTF8);
    required binary entity (UTF8);
    required binary client (UTF8);
    required int32 again (INTEGER(32, false));
    required int32 body_bytes (INTEGER(32, false));
    required int64 body_hash (INTEGER(64, false));
    required binary end (UTF8);
    optional int64 took_us;
    optional int64 left_us;
    optional int64 answer_hash (INTEGER(64, false));
    optional int64 pause_ms;
}";

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    /// Where to write the Parquet file
    #[arg(long)]
    parquet: PathBuf,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let unusable_output =
        |error: ExportError| CommandError::unusable(options.parquet.display(), error);
    let mut writer = RequestWriter::create(&options.parquet).map_err(unusable_output)?;
    let mut written = Ok(());
    let summary = read_capture(&options.file, |event| {
        if let (Event::Ticket(request), true) = (event, written.is_ok()) {
            written = writer.write(&request);
        }
    })?;
    let rows = written
        .and_then(|()| writer.finish())
        .map_err(unusable_output)?;
    eprintln!("{}: {rows} tickets", options.parquet.display());
    Ok(exit_status(&summary))
}

/// Why the Parquet file cannot be written.
#[derive(Debug, thiserror::Error)]
enum ExportError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Parquet(#[from] ParquetError),
}

/// The rows of one row group, by column.
#[derive(Default)]
struct Columns {
    at_us: Vec<i64>,
    connection: Vec<i32>,
    sequence_number: Vec<i32>,
    trace: Vec<ByteArray>,
    request_class: Vec<ByteArray>,
    tenant: Vec<ByteArray>,
    entity: Vec<ByteArray>,
    client: Vec<ByteArray>,
    is_retry: Vec<i32>,
    body_bytes: Vec<i32>,
    body_hash: Vec<i64>,
    outcome: Vec<ByteArray>,
    took_us: Vec<Option<i64>>,
    left_us: Vec<Option<i64>>,
    answer_hash: Vec<Option<i64>>,
    retry_after_ms: Vec<Option<i64>>,
}

impl Columns {
    fn len(&self) -> usize {
        self.at_us.len()
    }

    fn push(&mut self, request: &Ticket) {
        let call = &request.call;
        let text = |key| ByteArray::from(call.field(key));
        let since_call_us = |at_ns: u64| (at_ns.saturating_sub(call.at) / 1_000) as i64;
        self.at_us.push((call.at / 1_000) as i64);
        self.connection.push(call.connection as i32);
        self.sequence_number.push(call.seq);
        self.trace.push(text("trace"));
        self.request_class.push(text("route"));
        self.tenant.push(text("customer"));
        self.entity.push(text("entity"));
        self.client.push(text("client"));
        self.is_retry.push(i32::from(call.field("redo") == "1"));
        self.body_bytes.push(call.body_length as i32);
        self.body_hash.push(call.body_hash as i64);
        self.outcome.push(ByteArray::from(request.outcome.word()));
        self.took_us.push(request.answered.map(since_call_us));
        self.left_us.push(request.left.map(since_call_us));
        self.answer_hash.push(answer_hash(&request.outcome));
        self.retry_after_ms.push(retry_after_ms(&request.outcome));
    }

    /// Writes the columns in the order of [`SCHEMA`].
    fn write(&self, group: &mut SerializedRowGroupWriter<'_, File>) -> Result<(), ParquetError> {
        write_column::<Int64Type>(group, &self.at_us)?;
        write_column::<Int32Type>(group, &self.connection)?;
        write_column::<Int32Type>(group, &self.sequence_number)?;
        write_column::<ByteArrayType>(group, &self.trace)?;
        write_column::<ByteArrayType>(group, &self.request_class)?;
        write_column::<ByteArrayType>(group, &self.tenant)?;
        write_column::<ByteArrayType>(group, &self.entity)?;
        write_column::<ByteArrayType>(group, &self.client)?;
        write_column::<Int32Type>(group, &self.is_retry)?;
        write_column::<Int32Type>(group, &self.body_bytes)?;
        write_column::<Int64Type>(group, &self.body_hash)?;
        write_column::<ByteArrayType>(group, &self.outcome)?;
        write_optional_column(group, &self.took_us)?;
        write_optional_column(group, &self.left_us)?;
        write_optional_column(group, &self.answer_hash)?;
        write_optional_column(group, &self.retry_after_ms)
    }
}

fn answer_hash(outcome: &Outcome) -> Option<i64> {
    match outcome {
        Outcome::Honoured { body_hash, .. } => Some(*body_hash as i64),
        _ => None,
    }
}

fn retry_after_ms(outcome: &Outcome) -> Option<i64> {
    let Outcome::Dismissed { fields } = outcome else {
        return None;
    };
    let (_, value) = fields.iter().find(|(key, _)| key == "pause")?;
    value.parse().ok()
}

fn write_column<T: DataType>(
    group: &mut SerializedRowGroupWriter<'_, File>,
    values: &[T::T],
) -> Result<(), ParquetError> {
    if let Some(mut column) = group.next_column()? {
        column.typed::<T>().write_batch(values, None, None)?;
        column.close()?;
    }
    Ok(())
}

fn write_optional_column(
    group: &mut SerializedRowGroupWriter<'_, File>,
    values: &[Option<i64>],
) -> Result<(), ParquetError> {
    let present: Vec<i16> = values
        .iter()
        .map(|value| i16::from(value.is_some()))
        .collect();
    let values: Vec<i64> = values.iter().flatten().copied().collect();
    if let Some(mut column) = group.next_column()? {
        let writer = column.typed::<Int64Type>();
        writer.write_batch(&values, Some(&present), None)?;
        column.close()?;
    }
    Ok(())
}

/// Writes requests to a Parquet file, one row group at a time.
struct RequestWriter {
    writer: SerializedFileWriter<File>,
    columns: Columns,
    row_count: u64,
}

impl RequestWriter {
    fn create(path: &Path) -> Result<Self, ExportError> {
        let schema = parse_message_type(SCHEMA)?;
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .build();
        let file = File::create(path)?;
        let writer = SerializedFileWriter::new(file, Arc::new(schema), Arc::new(properties))?;
        Ok(Self {
            writer,
            columns: Columns::default(),
            row_count: 0,
        })
    }

    fn write(&mut self, request: &Ticket) -> Result<(), ExportError> {
        self.columns.push(request);
        self.row_count += 1;
        if self.columns.len() >= GROUP_ROWS {
            self.write_group()?;
        }
        Ok(())
    }

    fn write_group(&mut self) -> Result<(), ExportError> {
        let columns = std::mem::take(&mut self.columns);
        let mut group = self.writer.next_row_group()?;
        columns.write(&mut group)?;
        group.close()?;
        Ok(())
    }

    /// Writes the last row group and the file's footer. Returns the number of rows in the file.
    fn finish(mut self) -> Result<u64, ExportError> {
        if self.columns.len() > 0 {
            self.write_group()?;
        }
        self.writer.close()?;
        Ok(self.row_count)
    }
}
