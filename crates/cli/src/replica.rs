//! `rainstand replica`: what a group's members tell of their copies, and the way back from the loss of a majority.

use crate::out::{bytes, line, Code};
use clap::{Args, Subcommand};
use rainstand_cluster::recovery::{self, RecoveryReport};
use rainstand_cluster::status;
use rainstand_cluster::transport::with_length_prefix;
use serde_json::Value;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

/// A member that answers does so within this.
const WITHIN: Duration = Duration::from_secs(8);
/// The longest answer read, bytes: a thousand shards of some peers.
const MOST: usize = 64 << 20;

#[derive(Args, Clone)]
pub struct At {
    /// The address of a member in its `group` block
    #[arg(long)]
    at: SocketAddr,
    /// As JSON
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
#[command(after_help = "\
Examples:
  rainstand replica status --at 10.0.0.1:7001
  rainstand replica why register/K-17 --at 10.0.0.1:7001
  rainstand replica recover /var/lib/rainstand/n1 --name n1 --accept-loss

Exit codes: 0 answered, 1 a shard has no leader or a member confirms nothing, 2 nobody answers there.")]
pub enum Command {
    /// Each shard here: who leads it, how far it is, how far behind the others are
    Status(At),
    /// The other members: whether they are linked, and their disks
    Members(At),
    /// What the copies here say of a key
    Why {
        /// Type and key with a slash between, such as register/K-17
        key: String,
        #[command(flatten)]
        at: At,
    },
    /// Counters and gauges in the OpenMetrics text format
    Metrics(At),
    /// After the loss of a majority: this stopped member's copies alone begin the group anew
    Recover {
        /// The folder of the member's disk; its node must be stopped
        folder: PathBuf,
        /// The member's name in the configuration
        #[arg(long)]
        name: String,
        /// Without it, only what would be lost is told
        #[arg(long)]
        accept_loss: bool,
        #[arg(long)]
        json: bool,
    },
}

pub fn run(command: Command) -> io::Result<Code> {
    let (at, words) = match &command {
        Command::Status(at) => (at, "status".to_owned()),
        Command::Members(at) => (at, "members".to_owned()),
        Command::Why { key, at } => (at, format!("why {key}")),
        Command::Metrics(at) => (at, "metrics".to_owned()),
        Command::Recover {
            folder,
            name,
            accept_loss,
            json,
        } => {
            return match recovery::recover(folder, name, *accept_loss) {
                Ok(lost) => told_lost(&lost, *accept_loss, *json),
                Err(why) => {
                    eprintln!("{}: {why}", folder.display());
                    Ok(Code::Use)
                }
            };
        }
    };
    let answer = match encode_question(at.at, &words) {
        Ok(answer) => answer,
        Err(why) => {
            eprintln!("{}: {why}", at.at);
            return Ok(Code::Use);
        }
    };
    if matches!(command, Command::Metrics(_)) {
        return bytes(answer.as_bytes());
    }
    let value: Value = serde_json::from_str(&answer).map_err(io::Error::other)?;
    if at.json {
        line(&answer)?;
    } else {
        match &command {
            Command::Status(_) => shards(&value)?,
            Command::Members(_) => members(&value)?,
            _ => line(&serde_json::to_string_pretty(&value)?)?,
        }
    }
    let ill = value["stopped"] == true || value["shards_with_leader"] != value["shards_in_all"];
    Ok(if matches!(command, Command::Status(_)) && ill {
        Code::Found
    } else {
        Code::Good
    })
}

fn encode_question(at: SocketAddr, words: &str) -> io::Result<String> {
    String::from_utf8(exchange(at, &status::encode_question(words))?).map_err(io::Error::other)
}

/// One frame to a member, and its answer.
pub fn exchange(at: SocketAddr, message: &[u8]) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&at, WITHIN)?;
    stream.set_read_timeout(Some(WITHIN))?;
    stream.write_all(&with_length_prefix(message))?;
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let len = u32::from_be_bytes(head) as usize;
    if len > MOST {
        return Err(io::Error::other(format!("an answer of {len} bytes")));
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn text(of: &Value) -> String {
    match of {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn shards(status: &Value) -> io::Result<()> {
    let row = |cells: [&str; 8]| {
        line(&format!(
            "{:>5}  {:<9} {:<8} {:>6} {:>10} {:>10} {:>8}  {}",
            cells[0], cells[1], cells[2], cells[3], cells[4], cells[5], cells[6], cells[7]
        ))
    };
    line(&format!(
        "{} disk {}  leads {}, {} of {} shards have a leader known here; median commit {} ms, p99 {} ms",
        text(&status["name"]),
        text(&status["disk"]),
        status["leads"],
        status["shards_with_leader"],
        status["shards_in_all"],
        text(&status["commit_ms"]["median"]),
        text(&status["commit_ms"]["p99"])
    ))?;
    if status["stopped"] == true {
        line(&format!(
            "nothing is confirmed here: {}",
            text(&status["failed"])
        ))?;
    }
    row([
        "shard",
        "role",
        "leader",
        "term",
        "commit",
        "last",
        "keys",
        "members, and entries they are behind",
    ])?;
    for shard in status["shards"].as_array().into_iter().flatten() {
        let peers = shard["peers"].as_array();
        let behind = |disk: &Value| {
            let of = peers
                .into_iter()
                .flatten()
                .find(|peer| peer["disk"] == *disk);
            of.map_or(String::new(), |peer| format!(" (-{})", peer["behind"]))
        };
        let all = shard["members"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|one| {
                let learns = if one["votes"] == true { "" } else { " learns" };
                format!("{}{learns}{}", text(&one["name"]), behind(&one["disk"]))
            });
        row([
            &text(&shard["shard"]),
            &text(&shard["role"]),
            &text(&shard["leader"]),
            &text(&shard["term"]),
            &text(&shard["commit"]),
            &text(&shard["last"]),
            &text(&shard["keys"]),
            &all.collect::<Vec<_>>().join(", "),
        ])?;
    }
    Ok(())
}

fn members(value: &Value) -> io::Result<()> {
    line(&format!(
        "{} disk {}",
        text(&value["name"]),
        text(&value["disk"])
    ))?;
    for peer in value["peers"].as_array().into_iter().flatten() {
        let link = if peer["link"] == true {
            "linked"
        } else {
            "no link"
        };
        let old = if peer["old_copy"] == true {
            "  came with an old copy of its disk"
        } else {
            ""
        };
        line(&format!(
            "{:<12} disk {:<16}  {link}{old}",
            text(&peer["name"]),
            text(&peer["disk"])
        ))?;
    }
    Ok(())
}

fn told_lost(lost: &RecoveryReport, done: bool, json: bool) -> io::Result<Code> {
    if json {
        crate::out::json(lost)?;
        return Ok(Code::Good);
    }
    for shard in &lost.shards {
        line(&format!(
            "shard {}: {} entries here, {} of them known to be committed; {} keys, {} started and without an end: {}",
            shard.shard,
            shard.last,
            shard.committed,
            shard.keys,
            shard.started.len(),
            shard.started.join(" ")
        ))?;
    }
    for shard in &lost.missing {
        line(&format!(
            "shard {shard}: no copy here, all its keys are lost"
        ))?;
    }
    line(&if done {
        format!(
            "generation {}: the group begins anew from this disk. Start its node; disks of before that come back are \
             set aside and learn anew.",
            lost.generation
        )
    } else {
        "nothing was changed: what the lost copies knew beyond this is lost with --accept-loss. Only where they are \
         surely gone: two groups would serve the same keys else."
            .to_owned()
    })?;
    Ok(Code::Good)
}
