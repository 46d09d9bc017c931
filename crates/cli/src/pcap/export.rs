//! Tickets as columns: a Parquet file with a row a ticket, in the order in which they ended.

use parquet::basic::Compression;
use parquet::data_type::{ByteArray, ByteArrayType, Int32Type, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;
use rainstand_capture::tickets::{Outcome, Ticket};
use std::fs::File;
use std::path::Path;
use std::sync::Arc;

/// Rows of one group: some MB of memory, whatever the capture's size.
const GROUP: usize = 1 << 16;

/// Columns in this order; a time that is not there is null.
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

#[derive(Default)]
struct Columns {
    numbers: [Vec<i32>; 4],
    longs: [Vec<i64>; 2],
    texts: [Vec<ByteArray>; 6],
    options: [Vec<Option<i64>>; 4],
}

pub struct Sink {
    writer: SerializedFileWriter<File>,
    columns: Columns,
    rows: u64,
}

impl Sink {
    pub fn create(path: &Path) -> Result<Self, String> {
        let words = |e: &dyn std::fmt::Display| e.to_string();
        let schema = parse_message_type(SCHEMA).map_err(|e| words(&e))?;
        let properties = WriterProperties::builder()
            .set_compression(Compression::SNAPPY)
            .build();
        let file = File::create(path).map_err(|e| words(&e))?;
        let writer = SerializedFileWriter::new(file, Arc::new(schema), Arc::new(properties));
        Ok(Self {
            writer: writer.map_err(|e| words(&e))?,
            columns: Columns::default(),
            rows: 0,
        })
    }

    pub fn ticket(&mut self, ticket: &Ticket) -> Result<(), String> {
        let call = &ticket.call;
        let Columns {
            numbers,
            longs,
            texts,
            options,
        } = &mut self.columns;
        let again = i32::from(call.field("redo") == "1");
        for (column, value) in numbers.iter_mut().zip([
            call.connection as i32,
            call.seq,
            again,
            call.body_length as i32,
        ]) {
            column.push(value);
        }
        for (column, value) in longs
            .iter_mut()
            .zip([(call.at / 1_000) as i64, call.body_hash as i64])
        {
            column.push(value);
        }
        let fields = ["trace", "route", "customer", "entity", "client"].map(|key| call.field(key));
        for (column, value) in texts
            .iter_mut()
            .zip(fields.into_iter().chain([ticket.outcome.word()]))
        {
            column.push(ByteArray::from(value));
        }
        let since = |then: u64| (then.saturating_sub(call.at) / 1_000) as i64;
        let (hash, pause) = match &ticket.outcome {
            Outcome::Honoured { body_hash, .. } => (Some(*body_hash as i64), None),
            Outcome::Dismissed { fields } => {
                let pause = fields.iter().find(|(key, _)| key == "pause");
                (None, pause.and_then(|(_, value)| value.parse().ok()))
            }
            _ => (None, None),
        };
        let values = [
            ticket.answered.map(since),
            ticket.left.map(since),
            hash,
            pause,
        ];
        for (column, value) in options.iter_mut().zip(values) {
            column.push(value);
        }
        self.rows += 1;
        if self.columns.longs[0].len() >= GROUP {
            return self.group();
        }
        Ok(())
    }

    /// Writes the rows that are held as one group.
    fn group(&mut self) -> Result<(), String> {
        let Columns {
            numbers,
            longs,
            texts,
            options,
        } = std::mem::take(&mut self.columns);
        let [connection, seq, again, length] = numbers;
        let [at, body_hash] = longs;
        let [trace, traffic, tenant, entity, client, end] = texts;
        let [took, left, answer_hash, pause] = options;
        let mut write = || -> Result<(), parquet::errors::ParquetError> {
            let mut group = self.writer.next_row_group()?;
            macro_rules! column {
                ($kind:ty, $values:expr, $there:expr) => {
                    if let Some(mut column) = group.next_column()? {
                        column.typed::<$kind>().write_batch($values, $there, None)?;
                        column.close()?;
                    }
                };
            }
            column!(Int64Type, &at, None);
            column!(Int32Type, &connection, None);
            column!(Int32Type, &seq, None);
            for texts in [&trace, &traffic, &tenant, &entity, &client] {
                column!(ByteArrayType, texts, None);
            }
            column!(Int32Type, &again, None);
            column!(Int32Type, &length, None);
            column!(Int64Type, &body_hash, None);
            column!(ByteArrayType, &end, None);
            for values in [&took, &left, &answer_hash, &pause] {
                let there: Vec<i16> = values
                    .iter()
                    .map(|value| i16::from(value.is_some()))
                    .collect();
                let values: Vec<i64> = values.iter().flatten().copied().collect();
                column!(Int64Type, &values, Some(&there[..]));
            }
            group.close()?;
            Ok(())
        };
        write().map_err(|e| e.to_string())
    }

    /// Rows written.
    pub fn finish(mut self) -> Result<u64, String> {
        if !self.columns.longs[0].is_empty() {
            self.group()?;
        }
        self.writer.close().map_err(|e| e.to_string())?;
        Ok(self.rows)
    }
}
