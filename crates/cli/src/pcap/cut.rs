//! `rainstand pcap cut`: writes the selected requests of a capture to a new capture.

use super::capture_file::{exit_status, read_capture};
use super::time_range::{TimeBounds, TimeRange};
use crate::error::{CommandError, CommandResult};
use clap::Args;
use rainstand_capture::packet::End;
use rainstand_capture::tickets::{Call, Event};
use rainstand_capture::write::{self, Conversation};
use rainstand_protocol::thrift;
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::PathBuf;
use std::time::Duration;

/// The program that the new capture names as its writer.
const WRITER_NAME: &str = concat!("rainstand ", env!("CARGO_PKG_VERSION"));

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    /// Where to write the new capture (pcapng)
    out: PathBuf,
    #[command(flatten)]
    range: TimeRange,
    /// Traffic types, any of them
    #[arg(long = "type", value_delimiter = ',')]
    types: Vec<String>,
    /// Tenants, any of them
    #[arg(long = "tenant", value_delimiter = ',')]
    tenants: Vec<String>,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let filter = Filter {
        bounds: options
            .range
            .bounds()
            .map_err(|error| CommandError::unusable("pcap cut", error))?,
        types: &options.types,
        tenants: &options.tenants,
    };
    let file = File::create(&options.out)
        .map_err(|error| CommandError::unusable(options.out.display(), error))?;
    let mut writer = CaptureWriter::new(file)?;
    let mut selection = Selection::new(filter);
    let summary = read_capture(&options.file, |event| {
        selection.on_event(&event, &mut writer);
    });
    writer.finish()?;
    let summary = summary?;
    eprintln!(
        "{}: {} tickets",
        options.out.display(),
        selection.request_count
    );
    Ok(exit_status(&summary))
}

/// Selects requests.
struct Filter<'a> {
    bounds: TimeBounds,
    /// Selected types; empty selects all.
    types: &'a [String],
    /// Selected tenants; empty selects all.
    tenants: &'a [String],
}

impl Filter<'_> {
    /// Whether a call is selected. `after` is the time from the opening of the capture's first connection to the call.
    fn matches(&self, call: &Call, after: Duration) -> bool {
        self.bounds.contains(after)
            && allows(self.types, call.field("route"))
            && allows(self.tenants, call.field("customer"))
    }
}

fn allows(names: &[String], name: &str) -> bool {
    names.is_empty() || names.iter().any(|allowed| allowed == name)
}

/// Writes packets to a capture; drops them after the first failed write.
struct CaptureWriter {
    file: BufWriter<File>,
    /// The error of the first failed write.
    written: io::Result<()>,
}

impl CaptureWriter {
    fn new(file: File) -> io::Result<Self> {
        let mut file = BufWriter::new(file);
        file.write_all(&write::head(WRITER_NAME))?;
        Ok(Self {
            file,
            written: Ok(()),
        })
    }

    fn write(&mut self, at_ns: u64, packets: impl IntoIterator<Item = Vec<u8>>) {
        let mut blocks = Vec::new();
        for packet in packets {
            write::packet(&mut blocks, at_ns, &packet, packet.len());
        }
        if self.written.is_ok() {
            self.written = self.file.write_all(&blocks);
        }
    }

    fn finish(mut self) -> io::Result<()> {
        self.written?;
        self.file.flush()
    }
}

/// The output conversation of one connection, with its selected calls.
struct SelectedConnection {
    conversation: Conversation,
    /// Sequence numbers of the written calls without an answer.
    open_calls: HashSet<i32>,
}

/// Tracks the connections of a capture, and writes those with selected calls.
struct Selection<'a> {
    filter: Filter<'a>,
    /// When the first connection was opened.
    first_at_ns: Option<u64>,
    /// Both endpoints of each open connection.
    ends: HashMap<u32, [End; 2]>,
    connections: HashMap<u32, SelectedConnection>,
    request_count: u64,
}

impl<'a> Selection<'a> {
    fn new(filter: Filter<'a>) -> Self {
        Self {
            filter,
            first_at_ns: None,
            ends: HashMap::new(),
            connections: HashMap::new(),
            request_count: 0,
        }
    }

    fn on_event(&mut self, event: &Event<'_>, writer: &mut CaptureWriter) {
        match *event {
            Event::Opened {
                connection,
                ends,
                at,
            } => {
                self.first_at_ns.get_or_insert(at);
                self.ends.insert(connection, ends);
            }
            Event::Call {
                call, frame, side, ..
            } => self.on_call(call, frame, side, writer),
            Event::Left {
                connection,
                seq,
                at,
            } => {
                if let Some(selected) = self.connection_with_open_call(connection, seq) {
                    let frame = thrift::give_up(seq);
                    writer.write(at, selected.conversation.data(0, &frame));
                }
            }
            Event::Answer {
                connection,
                seq,
                frame,
                at,
            } => {
                if let Some(selected) = self.connection_with_open_call(connection, seq) {
                    selected.open_calls.remove(&seq);
                    let frame = with_length_prefix(frame);
                    writer.write(at, selected.conversation.data(1, &frame));
                }
            }
            Event::Closed { connection, at, .. } => {
                self.ends.remove(&connection);
                if let Some(mut selected) = self.connections.remove(&connection) {
                    let conversation = &mut selected.conversation;
                    writer.write(at, [conversation.finish(0), conversation.finish(1)]);
                }
            }
            Event::Ticket(_) => {}
        }
    }

    /// `side`: index of the caller in the connection's endpoints.
    fn on_call(&mut self, call: &Call, frame: &[u8], side: usize, writer: &mut CaptureWriter) {
        let after = call.at.saturating_sub(self.first_at_ns.unwrap_or(call.at));
        if !self.filter.matches(call, Duration::from_nanos(after)) {
            return;
        }
        let Some(ends) = self.ends.get(&call.connection) else {
            return;
        };
        let selected = self.connections.entry(call.connection).or_insert_with(|| {
            let mut conversation = Conversation::new(ends[side], ends[1 - side], [1, 1]);
            writer.write(call.at, conversation.open());
            SelectedConnection {
                conversation,
                open_calls: HashSet::new(),
            }
        });
        self.request_count += 1;
        selected.open_calls.insert(call.seq);
        let frame = with_length_prefix(frame);
        writer.write(call.at, selected.conversation.data(0, &frame));
    }

    /// The connection, if it has a selected call with this sequence number and without an answer.
    fn connection_with_open_call(
        &mut self,
        connection: u32,
        sequence_number: i32,
    ) -> Option<&mut SelectedConnection> {
        self.connections
            .get_mut(&connection)
            .filter(|selected| selected.open_calls.contains(&sequence_number))
    }
}

fn with_length_prefix(frame: &[u8]) -> Vec<u8> {
    let mut prefixed = (frame.len() as u32).to_be_bytes().to_vec();
    prefixed.extend_from_slice(frame);
    prefixed
}
