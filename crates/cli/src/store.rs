//! `rainstand store`: inspects, checks and repairs the files of a member's store.

use crate::output::{json, line, ExitStatus};
use clap::{Args, Subcommand};
use rainstand_storage::record::{read_record, ReadOutcome, Record, RECORD_HEADER_BYTES};
use rainstand_storage::recovery::StoreContents;
use rainstand_storage::{
    recover, repair, Damage, Disk, FolderDisk, Identity, LogSuffix, OpenError, Recovered,
    RecoveredShard, TruncatedTail,
};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;

/// The store that a command reads, and its output format.
#[derive(Args)]
pub(crate) struct StoreArgs {
    /// The folder of the disk; its node must be stopped
    folder: PathBuf,
    #[arg(long)]
    json: bool,
}

/// The subcommands. Doc comments of the variants are help texts.
#[derive(Subcommand)]
#[command(after_help = "\
Examples:
  rainstand store check /var/lib/rainstand/n1
  rainstand store dump /var/lib/rainstand/n1 --last 20
  rainstand store mend /var/lib/rainstand/n1

Exit codes: 0 good, 1 damage was found, 2 wrong use or a folder that cannot be read or is in use.")]
pub(crate) enum Command {
    /// Which disk it is, and what it holds
    Info(StoreArgs),
    /// Whether all of it can be believed
    Check(StoreArgs),
    /// Its records, one a line
    Dump {
        #[command(flatten)]
        store: StoreArgs,
        /// Only so many, the newest
        #[arg(long)]
        last: Option<usize>,
    },
    /// Takes off what cannot be read, from its first byte on; the whole of it is kept beside, set aside
    #[command(name = "mend")]
    Repair(StoreArgs),
}

impl Command {
    fn store(&self) -> &StoreArgs {
        match self {
            Command::Info(store)
            | Command::Check(store)
            | Command::Dump { store, .. }
            | Command::Repair(store) => store,
        }
    }
}

/// Runs a subcommand.
///
/// # Errors
/// If standard output cannot be written, or a file cannot be read in the middle of a dump.
pub(crate) fn run(command: &Command) -> io::Result<ExitStatus> {
    let args = command.store();
    let mut disk = match open_folder(args) {
        Ok(disk) => disk,
        Err(error) => {
            eprintln!("{error}");
            return Ok(ExitStatus::Unusable);
        }
    };
    match command {
        Command::Info(_) => inspect(&mut disk, args, Detail::Shards),
        Command::Check(_) => inspect(&mut disk, args, Detail::Verdict),
        Command::Dump { last, .. } => dump(&mut disk, args, last.unwrap_or(usize::MAX)),
        Command::Repair(_) => run_repair(&mut disk, args),
    }
}

fn open_folder(args: &StoreArgs) -> io::Result<FolderDisk> {
    if args.folder.is_dir() {
        return FolderDisk::open(&args.folder);
    }
    Err(io::Error::new(
        io::ErrorKind::NotFound,
        format!("{}: no folder", args.folder.display()),
    ))
}

/// Prints on standard error why the folder cannot be used.
fn report_unusable(args: &StoreArgs, reason: &dyn std::fmt::Display) -> ExitStatus {
    eprintln!("{}: {reason}", args.folder.display());
    ExitStatus::Unusable
}

fn run_repair(disk: &mut FolderDisk, args: &StoreArgs) -> io::Result<ExitStatus> {
    match repair(disk) {
        Ok(None) => line("nothing to mend").map(|()| ExitStatus::Success),
        Ok(Some(damage)) => report_repair(args, &damage).map(|()| ExitStatus::Found),
        Err(error) => Ok(report_unusable(args, &error)),
    }
}

fn report_repair(args: &StoreArgs, damage: &Damage) -> io::Result<()> {
    if args.json {
        return json(&json!({"file": damage.file, "offset": damage.offset, "why": damage.reason}));
    }
    line(&format!("removed from this position on: {damage}"))?;
    line("entries that this copy confirmed may be lost: it must rejoin as a new member, or not at all")
}

/// How much is printed as text of a store without damage.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Detail {
    /// Only that it has no damage.
    Verdict,
    /// Its identity and its shards as well.
    Shards,
}

fn inspect(disk: &mut FolderDisk, args: &StoreArgs, detail: Detail) -> io::Result<ExitStatus> {
    let contents = match recover(disk) {
        Ok(contents) => contents,
        Err(OpenError::Damaged(damage)) => {
            return report_damage(args, &damage).map(|()| ExitStatus::Found)
        }
        Err(OpenError::Io(error)) => return Ok(report_unusable(args, &error)),
    };
    let StoreContents {
        identity,
        recovered,
    } = contents;
    let Some(identity) = identity else {
        return Ok(report_unusable(args, &"no store"));
    };
    if args.json {
        json(&contents_json(&identity, &recovered))?;
    } else {
        print_contents(&identity, &recovered, detail)?;
    }
    Ok(ExitStatus::Success)
}

fn report_damage(args: &StoreArgs, damage: &Damage) -> io::Result<()> {
    if !args.json {
        return line(&format!("damaged: {damage}"));
    }
    json(
        &json!({"good": false, "file": damage.file, "offset": damage.offset, "why": damage.reason}),
    )
}

fn contents_json(identity: &Identity, recovered: &Recovered) -> Value {
    let tail_json = |tail: &TruncatedTail| json!({"file": tail.file, "offset": tail.offset, "bytes": tail.bytes});
    let shards: Vec<Value> = recovered.shards.iter().map(shard_json).collect();
    json!({
        "good": true,
        "format": identity.format,
        "disk": format!("{:016x}", identity.disk),
        "boot": identity.incarnation,
        "segments": recovered.segments,
        "bytes": recovered.bytes,
        "cut_short": recovered.truncated_tail.as_ref().map(tail_json),
        "shards": shards,
    })
}

fn shard_json((number, shard): (&u16, &RecoveredShard)) -> Value {
    let snapshot_bytes = shard.snapshot.as_ref().map(|snapshot| snapshot.data.len());
    json!({
        "shard": number,
        "base": shard.snapshot_index(),
        "last": shard.last_index(),
        "snapshot_bytes": snapshot_bytes,
    })
}

fn print_contents(identity: &Identity, recovered: &Recovered, detail: Detail) -> io::Result<()> {
    if detail == Detail::Shards {
        line(&format!(
            "disk {:016x}, start {}, format {}: {} segments, {} bytes",
            identity.disk,
            identity.incarnation,
            identity.format,
            recovered.segments,
            recovered.bytes
        ))?;
        for (number, shard) in &recovered.shards {
            line(&format!(
                "shard {number}: snapshot at {}, entries to {}",
                shard.snapshot_index(),
                shard.last_index()
            ))?;
        }
    }
    if let Some(TruncatedTail {
        file,
        offset,
        bytes,
    }) = &recovered.truncated_tail
    {
        line(&format!(
            "{file} was cut short at byte {offset}: {bytes} unconfirmed bytes will be removed"
        ))?;
    }
    line("good")
}

/// Prints the last records of the log, and where it cannot be read.
fn dump(disk: &mut FolderDisk, args: &StoreArgs, last: usize) -> io::Result<ExitStatus> {
    let mut rows = VecDeque::new();
    let mut code = ExitStatus::Success;
    let names = disk.list()?;
    for name in names.iter().filter(|name| name.starts_with("log-")) {
        let bytes = disk.read(name)?;
        if dump_segment(name, &bytes, last, &mut rows) == SegmentState::Unreadable {
            code = ExitStatus::Found;
        }
    }
    for row in rows {
        if args.json {
            json(&row)?;
        } else {
            line(&row.to_string())?;
        }
    }
    Ok(code)
}

/// Whether all of a segment could be read.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SegmentState {
    Readable,
    Unreadable,
}

/// Adds the records of a segment to the rows, of which the newest `last` are retained.
fn dump_segment(name: &str, bytes: &[u8], last: usize, rows: &mut VecDeque<Value>) -> SegmentState {
    let mut push_row = |mut row: Value, offset: usize| {
        row["file"] = name.into();
        row["offset"] = offset.into();
        rows.push_back(row);
        if rows.len() > last {
            rows.pop_front();
        }
    };
    // The magic number and the length of the header's records take as many bytes as the header of a record.
    let mut offset = RECORD_HEADER_BYTES.min(bytes.len());
    loop {
        match read_record(&bytes[offset..]) {
            ReadOutcome::Empty => return SegmentState::Readable,
            ReadOutcome::Complete { record, len } => {
                push_row(record_json(&record), offset);
                offset += len;
            }
            ReadOutcome::Truncated => {
                push_row(json!({"kind": "cut short"}), offset);
                return SegmentState::Unreadable;
            }
            ReadOutcome::Corrupt(fault) => {
                push_row(json!({"kind": "damaged", "why": fault.to_string()}), offset);
                return SegmentState::Unreadable;
            }
        }
    }
}

fn record_json(record: &Record) -> Value {
    match record {
        Record::HardState { shard, data } => {
            json!({"kind": "hard", "shard": shard, "bytes": data.len()})
        }
        Record::Entry { shard, index, data } => {
            json!({"kind": "entry", "shard": shard, "index": index, "bytes": data.len()})
        }
        Record::SnapshotMarker {
            shard,
            index,
            suffix,
        } => {
            let discards_suffix = *suffix == LogSuffix::Discard;
            json!({"kind": "base", "shard": shard, "index": index, "alone": discards_suffix})
        }
        Record::Metadata { number, data } => {
            json!({"kind": "note", "number": number, "bytes": data.len()})
        }
    }
}
