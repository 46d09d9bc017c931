//! `rainstand pcap …`: recorded traffic looked at, cut, exported and replayed.

mod export;
mod replay;

use crate::output::{self as out, Code};
use clap::{Args, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use rainstand_capture::packet::End;
use rainstand_capture::tickets::{Event, Ticket};
use rainstand_capture::write::{self, Conversation};
use rainstand_capture::{read, Summary};
use serde_json::{json, Value};
use std::collections::{HashMap, HashSet};
use std::fs::File;
use std::io::{self, IsTerminal, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

#[derive(Subcommand)]
pub enum Command {
    /// Tell what a capture holds
    #[command(after_help = "Example:\n  rainstand pcap info morning.pcapng")]
    Info {
        /// pcap or pcapng; `-` is standard input
        file: String,
        #[arg(long)]
        json: bool,
    },
    /// Tell every ticket of a capture, and then what was not readable
    #[command(
        after_help = "Examples:\n  rainstand pcap tickets morning.pcapng --json > tickets.jsonl\n  rainstand pcap tickets morning.pcapng | grep given_up"
    )]
    Tickets {
        file: String,
        /// One JSON object a ticket, then one with `summary`
        #[arg(long)]
        json: bool,
    },
    /// Write the tickets of a capture as a columnar file
    #[command(
        after_help = "Example:\n  rainstand pcap export morning.pcapng --parquet morning.parquet"
    )]
    Export {
        file: String,
        /// Where to write the Parquet file
        #[arg(long)]
        parquet: PathBuf,
    },
    /// Write a capture of some tickets only
    #[command(
        after_help = "Example:\n  rainstand pcap cut morning.pcapng --from 60 --to 120 --tenant acme minute.pcapng"
    )]
    Cut {
        file: String,
        /// Where to write the new capture (pcapng)
        out: PathBuf,
        #[command(flatten)]
        stretch: Stretch,
        /// Traffic types, any of them
        #[arg(long = "type", value_delimiter = ',')]
        types: Vec<String>,
        /// Tenants, any of them
        #[arg(long = "tenant", value_delimiter = ',')]
        tenants: Vec<String>,
    },
    /// Send the calls of a capture to a node or forwarder, with their timing
    #[command(
        after_help = "Examples:\n  rainstand pcap replay morning.pcapng --to 127.0.0.1:5050 --speed 2.0\n  rainstand pcap replay morning.pcapng --to 127.0.0.1:5050 --compare"
    )]
    Replay(replay::Options),
}

/// A stretch of a capture, in seconds after its first packet.
#[derive(Args, Clone, Copy, Debug)]
pub struct Stretch {
    /// Seconds after the first packet
    #[arg(long, default_value_t = 0.0)]
    pub from: f64,
    /// Seconds after the first packet; to its end if not said
    #[arg(long)]
    pub to: Option<f64>,
}

impl Stretch {
    pub fn times(&self) -> Result<(Duration, Option<Duration>), String> {
        let time = |name: &str, seconds: f64| {
            Duration::try_from_secs_f64(seconds).map_err(|e| format!("--{name} {seconds}: {e}"))
        };
        let from = time("from", self.from)?;
        let to = self.to.map(|to| time("to", to)).transpose()?;
        match to {
            Some(to) if to <= from => {
                Err(format!("--to {to:?} does not lie after --from {from:?}"))
            }
            to => Ok((from, to)),
        }
    }
}

pub fn run(command: Command) -> io::Result<Code> {
    match command {
        Command::Info { file, json } => info(&file, json),
        Command::Tickets { file, json } => tickets(&file, json),
        Command::Export { file, parquet } => export(&file, &parquet),
        Command::Cut {
            file,
            out,
            stretch,
            types,
            tenants,
        } => cut(&file, &out, stretch, &types, &tenants),
        Command::Replay(options) => replay::run(&options),
    }
}

pub fn trouble(path: &str, why: impl std::fmt::Display) -> Code {
    eprintln!("rainstand: {path}: {why}");
    Code::Use
}

/// Opens a capture, with a progress bar on a terminal for a file of a known size.
pub fn open(path: &str) -> Result<Box<dyn Read + Send>, Code> {
    if path == "-" {
        return Ok(Box::new(io::stdin()));
    }
    let file = File::open(path).map_err(|e| trouble(path, e))?;
    let size = file.metadata().map_err(|e| trouble(path, e))?;
    if size.is_dir() {
        return Err(trouble(path, "a folder, not a capture"));
    }
    if !io::stderr().is_terminal() {
        return Ok(Box::new(file));
    }
    let bar = ProgressBar::new(size.len());
    let style = ProgressStyle::with_template("{bar:30} {bytes} of {total_bytes}, {bytes_per_sec}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    Ok(Box::new(bar.wrap_read(file)))
}

/// Reads a capture; what is no capture at all is told, and so is one that is cut off.
pub fn look(path: &str, take: impl FnMut(Event<'_>)) -> Result<Summary, Code> {
    let summary = read(open(path)?, take);
    if let Some(why) = &summary.cut_off {
        if summary.file.format.is_empty() {
            return Err(trouble(path, why));
        }
        eprintln!("rainstand: {path}: {why}; what stands before it was read");
    }
    Ok(summary)
}

fn code(summary: &Summary) -> Code {
    if summary.cut_off.is_some() {
        Code::Found
    } else {
        Code::Good
    }
}

fn summary_json(summary: &Summary) -> Value {
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

/// Counts as lines of words, an object within on one line; zeros within are left out.
fn in_words(value: &Value, out: &mut String) {
    let Some(all) = value.as_object() else { return };
    let spaced = |key: &str| key.replace('_', " ");
    for (key, value) in all {
        match value {
            Value::Null => {}
            Value::Object(inner) => {
                let parts: Vec<_> = inner
                    .iter()
                    .filter(|(_, n)| **n != json!(0))
                    .map(|(k, n)| format!("{} {n}", spaced(k)))
                    .collect();
                let told = if parts.is_empty() {
                    "none".to_owned()
                } else {
                    parts.join(", ")
                };
                out.push_str(&format!("{:<20} {told}\n", spaced(key)));
            }
            Value::String(text) => out.push_str(&format!("{:<20} {text}\n", spaced(key))),
            other => out.push_str(&format!("{:<20} {other}\n", spaced(key))),
        }
    }
}

fn info(path: &str, as_json: bool) -> io::Result<Code> {
    let summary = match look(path, |_| {}) {
        Ok(summary) => summary,
        Err(code) => return Ok(code),
    };
    let told = summary_json(&summary);
    if as_json {
        out::json(&told)?;
    } else {
        let mut text = String::new();
        in_words(&told, &mut text);
        out::bytes(text.as_bytes())?;
    }
    Ok(code(&summary))
}

fn tickets(path: &str, as_json: bool) -> io::Result<Code> {
    let stdout = io::stdout().lock();
    let mut out = io::BufWriter::with_capacity(1 << 16, stdout);
    // Once nobody reads any more the rest is not written.
    let mut wrote: io::Result<()> = Ok(());
    let read = look(path, |event| {
        if let (Event::Ticket(ticket), true) = (event, wrote.is_ok()) {
            wrote = one(&mut out, &ticket, as_json);
        }
    });
    wrote?;
    let summary = match read {
        Ok(summary) => summary,
        Err(code) => return Ok(code),
    };
    if as_json {
        serde_json::to_writer(&mut out, &json!({ "summary": summary_json(&summary) }))?;
        out.write_all(b"\n")?;
    } else {
        let t = &summary.tickets;
        writeln!(
            out,
            "summary packets={} streams={} tickets={} holes={} cut={} not_read={}",
            summary.file.packets,
            summary.streams.connections,
            t.calls,
            summary.streams.holes,
            t.cut_calls + t.cut_answers + t.cut_others,
            t.lost_midway + t.lost_hole + t.lost_too_long + t.lost_not_thrift,
        )?;
    }
    out.flush()?;
    Ok(code(&summary))
}

fn one(out: &mut impl Write, ticket: &Ticket, as_json: bool) -> io::Result<()> {
    let call = &ticket.call;
    let at_us = call.at / 1_000;
    let took_us = ticket
        .answered
        .map(|then| then.saturating_sub(call.at) / 1_000);
    let (trace, traffic, tenant) = (
        call.field("trace"),
        call.field("route"),
        call.field("customer"),
    );
    let end = ticket.outcome.word();
    if as_json {
        serde_json::to_writer(
            &mut *out,
            &json!({
                "at_us": at_us, "conn": call.connection, "seq": call.seq, "trace": trace, "type": traffic,
                "tenant": tenant, "end": end, "took_us": took_us,
            }),
        )?;
        return out.write_all(b"\n");
    }
    let took = took_us.map_or("-".to_owned(), |took| took.to_string());
    writeln!(
        out,
        "at_us={at_us} conn={} seq={} trace={} type={} tenant={} end={end} took_us={took}",
        call.connection,
        call.seq,
        trace.escape_debug(),
        traffic.escape_debug(),
        tenant.escape_debug()
    )
}

fn export(path: &str, to: &Path) -> io::Result<Code> {
    let mut sink = match export::Sink::create(to) {
        Ok(sink) => sink,
        Err(why) => return Ok(trouble(&to.to_string_lossy(), why)),
    };
    let mut wrote = Ok(());
    let read = look(path, |event| {
        if let (Event::Ticket(ticket), true) = (event, wrote.is_ok()) {
            wrote = sink.ticket(&ticket);
        }
    });
    let summary = match read {
        Ok(summary) => summary,
        Err(code) => return Ok(code),
    };
    match wrote.and_then(|()| sink.finish()) {
        Ok(rows) => {
            eprintln!("{}: {rows} tickets", to.display());
            Ok(code(&summary))
        }
        Err(why) => Ok(trouble(&to.to_string_lossy(), why)),
    }
}

/// The chosen calls of one connection, as they are written again.
struct Kept {
    talk: Conversation,
    opened: bool,
    open: HashSet<i32>,
}

fn cut(
    path: &str,
    to: &Path,
    stretch: Stretch,
    types: &[String],
    tenants: &[String],
) -> io::Result<Code> {
    let (from, upto) = match stretch.times() {
        Ok(times) => times,
        Err(why) => return Ok(trouble("pcap cut", why)),
    };
    let mut file = io::BufWriter::new(match File::create(to) {
        Ok(file) => file,
        Err(error) => return Ok(trouble(&to.to_string_lossy(), error)),
    });
    file.write_all(&write::head(concat!(
        "rainstand ",
        env!("CARGO_PKG_VERSION")
    )))?;
    let mut kept: HashMap<u32, Kept> = HashMap::new();
    let mut ends: HashMap<u32, [End; 2]> = HashMap::new();
    let (mut first, mut tickets, mut wrote) = (None, 0u64, Ok(()));
    let has = |list: &[String], one: &str| list.is_empty() || list.iter().any(|item| item == one);
    let mut put = |at: u64, packets: &mut dyn Iterator<Item = Vec<u8>>| {
        let mut block = Vec::new();
        packets.for_each(|packet| write::packet(&mut block, at, &packet, packet.len()));
        if wrote.is_ok() {
            wrote = file.write_all(&block);
        }
    };
    let framed = |frame: &[u8]| {
        let mut whole = (frame.len() as u32).to_be_bytes().to_vec();
        whole.extend_from_slice(frame);
        whole
    };
    let read = look(path, |event| match event {
        Event::Opened {
            connection,
            ends: both,
            at,
        } => {
            first.get_or_insert(at);
            ends.insert(connection, both);
        }
        Event::Call {
            call, frame, side, ..
        } => {
            let after = Duration::from_nanos(call.at.saturating_sub(first.unwrap_or(call.at)));
            let wanted = after >= from
                && upto.is_none_or(|upto| after < upto)
                && has(types, call.field("route"))
                && has(tenants, call.field("customer"));
            let Some(both) = ends.get(&call.connection).filter(|_| wanted) else {
                return;
            };
            let one = kept.entry(call.connection).or_insert_with(|| Kept {
                talk: Conversation::new(both[side], both[1 - side], [1, 1]),
                opened: false,
                open: HashSet::new(),
            });
            if !std::mem::replace(&mut one.opened, true) {
                put(call.at, &mut one.talk.open().into_iter());
            }
            tickets += 1;
            one.open.insert(call.seq);
            put(call.at, &mut one.talk.data(0, &framed(frame)));
        }
        Event::Left {
            connection,
            seq,
            at,
        } => {
            if let Some(one) = kept
                .get_mut(&connection)
                .filter(|one| one.open.contains(&seq))
            {
                let frame = rainstand_protocol::thrift::give_up(seq);
                put(at, &mut one.talk.data(0, &frame));
            }
        }
        Event::Answer {
            connection,
            seq,
            frame,
            at,
        } => {
            if let Some(one) = kept
                .get_mut(&connection)
                .filter(|one| one.open.contains(&seq))
            {
                one.open.remove(&seq);
                put(at, &mut one.talk.data(1, &framed(frame)));
            }
        }
        Event::Closed { connection, at, .. } => {
            ends.remove(&connection);
            if let Some(mut one) = kept.remove(&connection) {
                put(
                    at,
                    &mut [one.talk.finish(0), one.talk.finish(1)].into_iter(),
                );
            }
        }
        Event::Ticket(_) => {}
    });
    wrote.and_then(|()| file.flush())?;
    match read {
        Ok(summary) => {
            eprintln!("{}: {tickets} tickets", to.display());
            Ok(code(&summary))
        }
        Err(code) => Ok(code),
    }
}
