//! `rainstand config …`: each subcommand reads files, asks the libraries, and prints.

use crate::config_file::{read, replace, tell_changes, unreadable};
use crate::out::{self, Code};
use clap::{Args, Subcommand};
use rainstand_config::codes::{Code as Finds, Examples};
use rainstand_config::diff::diff;
use rainstand_config::formatter::format;
use rainstand_config::schema;
use rainstand_config::source::{Disk, Files, SourceMap};
use rainstand_routing::explain::{explain, Explanation};
use rainstand_routing::table::{PlacementReason, Request, RoutingError, Table};
use serde_json::json;
use std::io;
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Read configurations and tell all that is wrong with them
    #[command(
        after_help = "Examples:\n  rainstand config check main.rain\n  rainstand config check --json main.rain | jq .code"
    )]
    Check {
        /// First files of configurations; `-` is standard input
        #[arg(required = true)]
        files: Vec<String>,
        /// One JSON object a finding, on standard output
        #[arg(long)]
        json: bool,
        /// Warnings count as errors
        #[arg(long)]
        strict: bool,
    },
    /// Write files in their one form
    #[command(
        after_help = "Examples:\n  rainstand config fmt deploy/*.rain\n  rainstand config fmt --check deploy/*.rain\n  rainstand config fmt - < draft.rain"
    )]
    Fmt {
        /// Files to write anew; `-` reads standard input and prints the result
        #[arg(required = true)]
        files: Vec<String>,
        /// Change nothing; tell which files are not in their form
        #[arg(long)]
        check: bool,
    },
    /// Compile a configuration to the form that programs are given
    #[command(
        after_help = "Examples:\n  rainstand config build main.rain > forwarder.txtpb\n  rainstand config build main.rain --binary --out main.pb"
    )]
    Build {
        file: String,
        /// Protobuf text format (what is written if nothing is said)
        #[arg(long, conflicts_with = "binary")]
        text: bool,
        /// Protobuf binary format
        #[arg(long)]
        binary: bool,
        /// Where to write it, in one step; standard output if not said
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Tell what changed in meaning between two configurations
    #[command(
        after_help = "Examples:\n  rainstand config diff old/main.rain new/main.rain\n  rainstand config diff running.txtpb main.rain --json"
    )]
    Diff {
        /// A `.rain` file, or a compiled one: `.pb` is binary, all else the text format
        old: String,
        new: String,
        #[arg(long)]
        json: bool,
    },
    /// Tell which way a ticket goes, and why not another
    #[command(
        after_help = "Example:\n  rainstand config explain main.rain --type register --tenant acme --entity NO-1138 --members-out n1,n2"
    )]
    Explain(Explain),
    /// Explain the code of a finding, with a wrong and a right example
    #[command(after_help = "Examples:\n  rainstand config why U202\n  rainstand config why --all")]
    Why {
        #[arg(required_unless_present = "all")]
        code: Option<String>,
        /// All codes, a line each
        #[arg(long)]
        all: bool,
    },
    /// Check a configuration, show what it changes, and have the control machines commit it
    #[command(
        after_help = "Examples:\n  rainstand config publish main.rain --at 10.0.0.1:7001\n  rainstand config publish main.rain --at 10.0.0.1:7001 --from 41 --dry-run\n\nExit codes: 0 committed or nothing to change, 1 errors, a conflict or a refusal, 2 nobody answers, 3 not known what is committed."
    )]
    Publish(crate::control::Publishing),
    /// Each published version: when, how many confirmed it, refused it, are behind, and the slowest
    #[command(
        after_help = "Example:\n  rainstand config versions --at 10.0.0.1:7001\n\nExit codes: 0 all machines answered and nobody refuses, 1 otherwise, 2 nobody answers there, 3 no majority confirms which version is the newest."
    )]
    Versions(crate::control::Versions),
    /// Print the protobuf schema of compiled configurations
    Schema,
}

#[derive(Args)]
pub struct Explain {
    file: String,
    /// Traffic type
    #[arg(long = "type")]
    traffic: String,
    /// Tenant; one that the configuration does not name is asked for by leaving it out
    #[arg(long)]
    tenant: Option<String>,
    /// What the ticket is about
    #[arg(long, default_value = "")]
    entity: String,
    /// A further try
    #[arg(long)]
    again: bool,
    /// Bytes
    #[arg(long, default_value_t = 0)]
    size: u64,
    /// Members that cannot be used, by name
    #[arg(long, value_delimiter = ',')]
    members_out: Vec<String>,
    /// Pools that cannot be used, by name
    #[arg(long, value_delimiter = ',')]
    pools_out: Vec<String>,
    /// For splits by chance
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long)]
    json: bool,
}

pub fn run(command: Command) -> io::Result<Code> {
    match command {
        Command::Check {
            files,
            json,
            strict,
        } => each(&files, |file| check(file, json, strict)),
        Command::Fmt { files, check } => each(&files, |file| write_form(file, check)),
        Command::Build {
            file,
            text: _,
            binary,
            out,
        } => build(&file, binary, out.as_deref()),
        Command::Diff { old, new, json } => compare(&old, &new, json),
        Command::Explain(asked) => tell_way(&asked),
        Command::Why { code, all: _ } => why(code.as_deref()),
        Command::Publish(publishing) => crate::control::publish(&publishing),
        Command::Versions(versions) => crate::control::versions(&versions),
        Command::Schema => out::bytes(schema::PROTO.as_bytes()),
    }
}

/// Goes on after a bad file; the worst code counts.
fn each(files: &[String], mut one: impl FnMut(&str) -> io::Result<Code>) -> io::Result<Code> {
    files
        .iter()
        .try_fold(Code::Good, |worst, file| Ok(worst.max(one(file)?)))
}

fn check(file: &str, json: bool, strict: bool) -> io::Result<Code> {
    match read(file, json)? {
        Ok((_, sources, warnings)) => {
            if !json {
                let plural =
                    |n: usize, what: &str| format!("{n} {what}{}", if n == 1 { "" } else { "s" });
                let all = format!(
                    "{}, {}",
                    plural(sources.len(), "file"),
                    plural(sources.lines(), "line")
                );
                eprintln!("{file}: good: {all}, {}", plural(warnings, "warning"));
            }
            Ok(if strict && warnings > 0 {
                Code::Found
            } else {
                Code::Good
            })
        }
        Err(code) => Ok(code),
    }
}

fn write_form(file: &str, check_only: bool) -> io::Result<Code> {
    let text = match Disk.read(Path::new(file)) {
        Ok(text) => text,
        Err(error) => return Ok(unreadable(file, error)),
    };
    let formed = match format(&text) {
        Ok(formed) => formed,
        Err(findings) => {
            let sources = SourceMap::from_text(file, text);
            out::findings(&sources, &findings, false)?;
            eprintln!("{file}: left as it is");
            return Ok(Code::Found);
        }
    };
    if check_only {
        if formed != text {
            out::line(&format!("{file}: not in its form"))?;
            return Ok(Code::Found);
        }
    } else if file == "-" {
        return out::bytes(formed.as_bytes());
    } else if formed != text {
        if let Err(error) = replace(Path::new(file), formed.as_bytes()) {
            return Ok(unreadable(file, error));
        }
    }
    Ok(Code::Good)
}

fn build(file: &str, binary: bool, to: Option<&Path>) -> io::Result<Code> {
    let made = match read(file, false)? {
        Ok((made, ..)) => made,
        Err(code) => return Ok(code),
    };
    let bytes = if binary {
        schema::to_binary(&made)
    } else {
        schema::to_text(&made).into_bytes()
    };
    match to {
        None => out::bytes(&bytes),
        Some(path) => Ok(match replace(path, &bytes) {
            Ok(()) => Code::Good,
            Err(error) => unreadable(&path.to_string_lossy(), error),
        }),
    }
}

fn compare(old: &str, new: &str, json: bool) -> io::Result<Code> {
    // Both are read before either's trouble ends it.
    let (old, new) = (read(old, json)?, read(new, json)?);
    let (old, new) = match (old, new) {
        (Ok((old, ..)), Ok((new, ..))) => (old, new),
        // An unreadable one or errors: no comparison, so never the 1 that means "differs".
        _ => return Ok(Code::Use),
    };
    let changes = diff(&old, &new);
    tell_changes(&changes, json)?;
    Ok(if changes.is_empty() {
        Code::Good
    } else {
        Code::Found
    })
}

fn tell_way(asked: &Explain) -> io::Result<Code> {
    let (made, ..) = match read(&asked.file, asked.json)? {
        Ok(made) => made,
        Err(code) => return Ok(code),
    };
    let table = match Table::new(&made) {
        Ok(table) => table,
        Err(refused) => return Ok(unreadable(&asked.file, refused)),
    };
    let unknown = |what: &str, name: &str, all: Vec<&str>| {
        let known = if all.is_empty() {
            "none".to_owned()
        } else {
            all.join(", ")
        };
        unreadable(
            &asked.file,
            format!("there is no {what} `{name}`; there are: {known}"),
        )
    };
    let Some(traffic) = table.request_class(&asked.traffic) else {
        return Ok(unknown(
            "type",
            &asked.traffic,
            made.types.iter().map(|one| &*one.name).collect(),
        ));
    };
    let tenant = match &asked.tenant {
        None => None,
        Some(name) => match table.tenant(name) {
            Some(tenant) => Some(tenant),
            None => {
                return Ok(unknown(
                    "tenant",
                    name,
                    made.tenants.iter().map(|one| &*one.name).collect(),
                ))
            }
        },
    };
    for name in &asked.pools_out {
        if table.pool(name).is_none() {
            return Ok(unknown(
                "pool",
                name,
                made.pools.iter().map(|one| &*one.name).collect(),
            ));
        }
    }
    let members = || {
        made.pools
            .iter()
            .flat_map(|pool| &pool.members)
            .map(|member| &*member.name)
    };
    for name in &asked.members_out {
        if !members().any(|known| known == name) {
            return Ok(unknown("member", name, members().collect()));
        }
    }
    let (entity, again, size) = (&*asked.entity, asked.again, asked.size);
    let ticket = Request {
        request_class: traffic,
        tenant,
        entity,
        again,
        size,
        ..Request::default()
    };
    let has = |list: &[String], name: &str| list.iter().any(|one| one == name);
    let pool_out = |name: &str| has(&asked.pools_out, name);
    let told = explain(&table, &ticket, asked.seed, pool_out, |name| {
        has(&asked.members_out, name)
    });
    let times = told.placement.as_ref().ok().and_then(|_| {
        let route = told.steps.len() as u16 - 1;
        let pick = table.times(route, traffic);
        (made.routes[usize::from(route)].budget != *"").then_some(pick)
    });
    if asked.json {
        way_as_json(&told)?;
    } else {
        way_in_words(&told)?;
        if let Some(times) = times {
            use rainstand_routing::time_budget::Stage;
            let stages = [
                Stage::Forward,
                Stage::Queue,
                Stage::Run,
                Stage::Call,
                Stage::Answer,
            ];
            let ends = stages.map(|stage| {
                let left = times.left(stage, std::time::Duration::ZERO);
                format!("{} by {left:?}", format!("{stage:?}").to_lowercase())
            });
            out::line(&format!("  stages over: {}", ends.join(", ")))?;
        }
    }
    Ok(if told.placement.is_ok() {
        Code::Good
    } else {
        Code::Found
    })
}

fn by_words(by: PlacementReason) -> String {
    match by {
        PlacementReason::Share => "its share".into(),
        PlacementReason::OtherShare => {
            "the pool of its share is out; another of the split takes it".into()
        }
        PlacementReason::Fallback(k) => format!("fall-back {} of the route", k + 1),
        PlacementReason::PoolFallback => "what a pool of the route falls back on".into(),
    }
}

fn way_in_words(told: &Explanation) -> io::Result<()> {
    for step in &told.steps {
        out::line(&match step.miss {
            Some(miss) => format!("- {}: `{}` wants {}", step.route, miss.key(), step.wanted),
            None => format!("* {}: takes it", step.route),
        })?;
    }
    match &told.placement {
        Ok((pool, by)) => {
            out::line(&format!("  goes to the pool {pool} ({})", by_words(*by)))?;
            if let Some(member) = &told.member {
                out::line(&format!("  its entity belongs to the member {member}"))?;
            }
            for (at, limits) in &told.limits {
                out::line(&format!("  counted by the limits {limits} of {at}"))?;
            }
            Ok(())
        }
        Err(RoutingError::NoRoute) => out::line("  no route takes it: dismissed"),
        Err(RoutingError::NoPool(_)) => {
            out::line("  none of the route's pools can be used: dismissed")
        }
    }
}

fn way_as_json(told: &Explanation) -> io::Result<()> {
    for step in &told.steps {
        let missed = step.miss.map(|miss| miss.key());
        out::json(
            &json!({"route": step.route, "takes": missed.is_none(), "missed": missed, "wants": step.wanted}),
        )?;
    }
    let limits: Vec<_> = told
        .limits
        .iter()
        .map(|(at, name)| json!({"at": at, "limits": name}))
        .collect();
    out::json(&match &told.placement {
        Ok((pool, by)) => {
            json!({"goes": true, "pool": pool, "by": by_words(*by), "member": told.member, "limits": limits})
        }
        Err(RoutingError::NoRoute) => json!({"goes": false, "why": "no route"}),
        Err(RoutingError::NoPool(_)) => json!({"goes": false, "why": "no pool can be used"}),
    })
}

fn why(code: Option<&str>) -> io::Result<Code> {
    let Some(asked) = code else {
        for code in Finds::ALL {
            out::line(&format!("{}  {}", code.id(), code.title()))?;
        }
        return Ok(Code::Good);
    };
    let Some(code) = Finds::find(asked) else {
        return Ok(unreadable(
            asked,
            "no such code; `rainstand config why --all` lists them",
        ));
    };
    let mut text = format!(
        "{}: {}\n\n{}\n",
        code.id(),
        code.title(),
        code.explanation()
    );
    let Examples { wrong, right } = code.examples();
    for (name, lines) in [("Wrong", wrong), ("Right", right)] {
        if !lines.is_empty() {
            text.push_str(&format!("\n{name}:\n"));
            // In the form that people write.
            let formed = format(&format!("rain 1\n{lines}"));
            let shown = formed
                .as_deref()
                .map_or(lines, |formed| formed.trim_start_matches("rain 1\n"));
            shown
                .lines()
                .for_each(|line| text.push_str(&format!("    {line}\n")));
        }
    }
    out::bytes(text.as_bytes())
}
