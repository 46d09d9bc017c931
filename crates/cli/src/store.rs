//! `rainstand store`: what is on a member's disk, whether it can be believed, and its mending by hand.

use crate::out::{json, line, Code};
use clap::{Args, Subcommand};
use rainstand_storage::record::{read_record, ReadOutcome, Record, RECORD_HEADER_BYTES};
use rainstand_storage::store::{recover, repair};
use rainstand_storage::{Disk, FolderDisk, OpenError};
use serde_json::json;
use std::io;
use std::path::PathBuf;

#[derive(Args)]
pub struct Where {
    /// The folder of the disk; its node must be stopped
    folder: PathBuf,
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
#[command(after_help = "\
Examples:
  rainstand store check /var/lib/rainstand/n1
  rainstand store dump /var/lib/rainstand/n1 --last 20
  rainstand store mend /var/lib/rainstand/n1

Exit codes: 0 good, 1 damage was found, 2 wrong use or a folder that cannot be read or is in use.")]
pub enum Command {
    /// Which disk it is, and what it holds
    Info(Where),
    /// Whether all of it can be believed
    Check(Where),
    /// Its records, one a line
    Dump {
        #[command(flatten)]
        at: Where,
        /// Only so many, the newest
        #[arg(long)]
        last: Option<usize>,
    },
    /// Takes off what cannot be read, from its first byte on; the whole of it is kept beside, set aside
    Mend(Where),
}

pub fn run(command: &Command) -> io::Result<Code> {
    let (Command::Info(at) | Command::Check(at) | Command::Dump { at, .. } | Command::Mend(at)) =
        command;
    let opened = if at.folder.is_dir() {
        FolderDisk::open(&at.folder)
    } else {
        Err(io::Error::new(
            io::ErrorKind::NotFound,
            format!("{}: no folder", at.folder.display()),
        ))
    };
    let mut disk = match opened {
        Ok(disk) => disk,
        Err(why) => {
            eprintln!("{why}");
            return Ok(Code::Use);
        }
    };
    match command {
        Command::Info(at) => info(&mut disk, at, true),
        Command::Check(at) => info(&mut disk, at, false),
        Command::Dump { at, last } => dump(&mut disk, at, last.unwrap_or(usize::MAX)),
        Command::Mend(at) => match repair(&mut disk) {
            Ok(None) => line("nothing to mend").map(|()| Code::Good),
            Ok(Some(cut)) => {
                if at.json {
                    json(&json!({"file": cut.file, "offset": cut.offset, "why": cut.why}))?;
                } else {
                    line(&format!("taken off from there on: {cut}"))?;
                    line("what this copy confirmed may be gone: it must come back as a new member, or not at all")?;
                }
                Ok(Code::Found)
            }
            Err(why) => {
                eprintln!("{}: {why}", at.folder.display());
                Ok(Code::Use)
            }
        },
    }
}

fn info(disk: &mut FolderDisk, at: &Where, whole: bool) -> io::Result<Code> {
    let (identity, found) = match recover(disk) {
        Ok(found) => found,
        Err(OpenError::Damaged(damage)) => {
            if at.json {
                json(
                    &json!({"good": false, "file": damage.file, "offset": damage.offset, "why": damage.why}),
                )?;
            } else {
                line(&format!("damaged: {damage}"))?;
            }
            return Ok(Code::Found);
        }
        Err(OpenError::Io(why)) => {
            eprintln!("{}: {why}", at.folder.display());
            return Ok(Code::Use);
        }
    };
    let Some(identity) = identity else {
        eprintln!("{}: no store", at.folder.display());
        return Ok(Code::Use);
    };
    let shards: Vec<_> = found
        .shards
        .iter()
        .map(|(shard, one)| {
            let base = one.snapshot.as_ref().map_or(0, |snapshot| snapshot.0);
            let last = one.entries.last().map_or(base, |entry| entry.0);
            json!({"shard": shard, "base": base, "last": last, "snapshot_bytes": one.snapshot.as_ref().map(|s| s.1.len())})
        })
        .collect();
    let torn = found.truncated_tail.as_ref();
    if at.json {
        json(
            &json!({"good": true, "format": identity.format, "disk": format!("{:016x}", identity.disk),
            "boot": identity.boot, "segments": found.segments, "bytes": found.bytes,
            "cut_short": torn.map(|torn| json!({"file": torn.0, "offset": torn.1, "bytes": torn.2})), "shards": shards}),
        )?;
        return Ok(Code::Good);
    }
    if whole {
        line(&format!(
            "disk {:016x}, start {}, format {}: {} segments, {} bytes",
            identity.disk, identity.boot, identity.format, found.segments, found.bytes
        ))?;
        for shard in &shards {
            line(&format!(
                "shard {}: snapshot at {}, entries to {}",
                shard["shard"], shard["base"], shard["last"]
            ))?;
        }
    }
    if let Some((file, offset, bytes)) = torn {
        line(&format!(
            "{file} was cut short at byte {offset}: {bytes} bytes that nobody confirmed will be taken off"
        ))?;
    }
    line("good")?;
    Ok(Code::Good)
}

fn dump(disk: &mut FolderDisk, at: &Where, last: usize) -> io::Result<Code> {
    let mut lines = std::collections::VecDeque::new();
    let names = disk.list()?;
    let mut code = Code::Good;
    for name in names.iter().filter(|name| name.starts_with("log-")) {
        let bytes = disk.read(name)?;
        // Magic, and the length of the head's records.
        let mut offset = RECORD_HEADER_BYTES.min(bytes.len());
        loop {
            let told = match read_record(&bytes[offset..]) {
                ReadOutcome::End => break,
                ReadOutcome::Complete(record, len) => {
                    let value = match record {
                        Record::HardState { shard, data } => {
                            json!({"kind": "hard", "shard": shard, "bytes": data.len()})
                        }
                        Record::Entry { shard, index, data } => {
                            json!({"kind": "entry", "shard": shard, "index": index, "bytes": data.len()})
                        }
                        Record::SnapshotMarker {
                            shard,
                            index,
                            alone,
                        } => {
                            json!({"kind": "base", "shard": shard, "index": index, "alone": alone})
                        }
                        Record::Metadata { number, data } => {
                            json!({"kind": "note", "number": number, "bytes": data.len()})
                        }
                    };
                    let told = (value, Some(len));
                    offset += len;
                    told
                }
                ReadOutcome::Truncated => (json!({"kind": "cut short"}), None),
                ReadOutcome::Corrupt(why) => (json!({"kind": "damaged", "why": why}), None),
            };
            let (mut value, len) = told;
            value["file"] = name.as_str().into();
            value["offset"] = (offset - len.unwrap_or(0)).into();
            lines.push_back(value);
            if lines.len() > last {
                lines.pop_front();
            }
            if len.is_none() {
                code = Code::Found;
                break;
            }
        }
    }
    for value in lines {
        if at.json {
            json(&value)?;
        } else {
            line(&value.to_string())?;
        }
    }
    Ok(code)
}
