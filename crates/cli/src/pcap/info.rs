//! `rainstand pcap info`: prints the counts of a capture.

use super::capture_file::{exit_status, read_capture};
use crate::error::CommandResult;
use crate::output;
use clap::Args;
use rainstand_capture::Summary;
use serde_json::{json, Map, Value};

#[derive(Args)]
pub(crate) struct Options {
    /// pcap or pcapng; `-` is standard input
    file: String,
    #[arg(long)]
    json: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let summary = read_capture(&options.file, |_| {})?;
    let counts = summary_json(&summary);
    if options.json {
        output::json(&counts)?;
    } else {
        output::bytes(as_text(&counts).as_bytes())?;
    }
    Ok(exit_status(&summary))
}

/// All counts of a capture, under the keys of the JSON output.
pub(super) fn summary_json(summary: &Summary) -> Value {
    let Summary {
        file,
        packets,
        streams,
        tickets,
        cut_off,
    } = summary;
    json!({
        "format": file.format, "packets": file.packets, "bytes": file.bytes,
        "first_us": file.first.map(|at| at / 1_000), "last_us": file.last.map(|at| at / 1_000),
        "shortened": file.shortened, "passed_over": file.passed_over, "cut_off": cut_off,
        "not_ip": packets.not_ip, "not_tcp": packets.not_tcp, "unreadable_packets": packets.unreadable,
        "fragments": packets.fragments, "put_together": packets.put_together,
        "fragments_lost": packets.fragments_lost,
        "streams": streams.connections, "segments": streams.segments, "out_of_order": streams.out_of_order,
        "repeated": streams.repeated, "contradictions": streams.contradictions, "strays": streams.strays,
        "holes": streams.holes, "hole_bytes": streams.hole_bytes, "given_up_streams": streams.given_up,
        "frames": tickets.frames, "tickets": tickets.calls,
        "ends": {
            "honoured": tickets.honoured, "dismissed": tickets.dismissed, "given_up": tickets.given_up,
            "exception": tickets.exceptions, "gone": tickets.gone, "none": tickets.none,
        },
        "cut": {
            "calls": tickets.cut_calls, "answers": tickets.cut_answers, "others": tickets.cut_others,
        },
        "let_go": tickets.let_go, "answers_alone": tickets.answers_alone, "answered_twice": tickets.answered_twice,
        "repeated_numbers": tickets.repeated_numbers, "left": tickets.left, "probes": tickets.probes,
        "shutdowns": tickets.shutdowns, "unreadable_frames": tickets.unreadable,
        "not_read": {
            "began_before": tickets.lost_midway, "hole": tickets.lost_hole,
            "too_long": tickets.lost_too_long, "not_thrift": tickets.lost_not_thrift,
            "bytes": tickets.unread_bytes + streams.midway_bytes,
        },
    })
}

/// One line per count; a nested object takes one line.
fn as_text(counts: &Value) -> String {
    let counts = counts.as_object().into_iter().flatten();
    counts
        .filter_map(|(key, value)| {
            let text = match value {
                Value::Null => return None,
                Value::Object(inner) => inner_counts(inner),
                Value::String(text) => text.clone(),
                other => other.to_string(),
            };
            Some(format!("{:<20} {text}\n", words(key)))
        })
        .collect()
}

/// A nested object on one line, without its zero counts.
fn inner_counts(counts: &Map<String, Value>) -> String {
    let parts: Vec<String> = counts
        .iter()
        .filter(|(_, count)| **count != json!(0))
        .map(|(key, count)| format!("{} {count}", words(key)))
        .collect();
    if parts.is_empty() {
        return "none".to_owned();
    }
    parts.join(", ")
}

fn words(key: &str) -> String {
    key.replace('_', " ")
}
