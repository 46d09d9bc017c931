//! `rainstand pcap tickets`: prints every request of a capture, then a summary with the counts of unreadable data.

use super::capture_file::{exit_status, read_capture};
use super::info::summary_json;
use crate::error::CommandResult;
use clap::Args;
use rainstand_capture::tickets::{Event, Ticket};
use rainstand_capture::Summary;
use serde_json::json;
use std::io::{self, BufWriter, Write};

/// Size of the output buffer.
const OUTPUT_BUFFER_BYTES: usize = 64 << 10;

#[derive(Args)]
pub(crate) struct Options {
    file: String,
    /// One JSON object a ticket, then one with `summary`
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let mut out = BufWriter::with_capacity(OUTPUT_BUFFER_BYTES, io::stdout().lock());
    // After the first failed write, e.g. to a closed pipe, the rest is not written.
    let mut written: io::Result<()> = Ok(());
    let summary = read_capture(&options.file, |event| {
        if let (Event::Ticket(request), true) = (event, written.is_ok()) {
            written = if options.json {
                write_json(&mut out, &request)
            } else {
                write_text(&mut out, &request)
            };
        }
    });
    written?;
    let summary = summary?;
    if options.json {
        serde_json::to_writer(&mut out, &json!({ "summary": summary_json(&summary) }))
            .map_err(io::Error::from)?;
        out.write_all(b"\n")?;
    } else {
        write_summary(&mut out, &summary)?;
    }
    out.flush()?;
    Ok(exit_status(&summary))
}

fn write_summary(out: &mut impl Write, summary: &Summary) -> io::Result<()> {
    let counts = &summary.tickets;
    let cut = counts.cut_calls + counts.cut_answers + counts.cut_others;
    let not_read =
        counts.lost_midway + counts.lost_hole + counts.lost_too_long + counts.lost_not_thrift;
    writeln!(
        out,
        "summary packets={} streams={} tickets={} holes={} cut={cut} not_read={not_read}",
        summary.file.packets, summary.streams.connections, counts.calls, summary.streams.holes,
    )
}

/// Time from the call to its answer.
fn took_us(request: &Ticket) -> Option<u64> {
    let answered = request.answered?;
    Some(answered.saturating_sub(request.call.at) / 1_000)
}

fn write_json(out: &mut impl Write, request: &Ticket) -> io::Result<()> {
    let call = &request.call;
    serde_json::to_writer(
        &mut *out,
        &json!({
            "at_us": call.at / 1_000, "conn": call.connection, "seq": call.seq,
            "trace": call.field("trace"), "type": call.field("route"), "tenant": call.field("customer"),
            "end": request.outcome.word(), "took_us": took_us(request),
        }),
    )?;
    out.write_all(b"\n")
}

fn write_text(out: &mut impl Write, request: &Ticket) -> io::Result<()> {
    let call = &request.call;
    let took = took_us(request).map_or("-".to_owned(), |took| took.to_string());
    writeln!(
        out,
        "at_us={} conn={} seq={} trace={} type={} tenant={} end={} took_us={took}",
        call.at / 1_000,
        call.connection,
        call.seq,
        call.field("trace").escape_debug(),
        call.field("route").escape_debug(),
        call.field("customer").escape_debug(),
        request.outcome.word()
    )
}
