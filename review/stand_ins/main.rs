//! Stand-ins and checks of the review cases, without dependencies; `review/build.sh` compiles them with rustc.
//!
//! They play the dispatchers, the render farm agent, the database and the announce service on loopback addresses, and
//! start the project's own programs with the commands of the deploy file. Usage: `stand_ins CASE FOLDER`, from the
//! root of the repository. Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

mod agent;
mod delivered_twice;
mod dispatcher;
mod forwarded_repeat;
mod late_repeat;
mod node;
mod programs;
mod services;
mod tools;

use std::io;
use std::path::Path;
use tools::{unix_ms, Record};

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn seed() -> u64 {
    std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or_else(unix_ms)
}

/// What a case found.
pub struct Verdict {
    pub broken: u64,
    /// Whether the case has seen enough to tell.
    pub told: bool,
    pub text: String,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: stand_ins CASE FOLDER");
        std::process::exit(2);
    };
    let result = Record::open(Path::new(folder)).and_then(|record| {
        record.line(&format!(
            "case {case}, trouble {}, seed {}",
            has_trouble(),
            seed()
        ));
        let verdict = match case.as_str() {
            "late-repeat" => late_repeat::late_repeat(&record),
            "delivered-twice" => delivered_twice::delivered_twice(&record),
            "forwarded-repeat" => forwarded_repeat::forwarded_repeat(&record),
            _ => Err(io::Error::other("no such case")),
        }?;
        record.line(&verdict.text);
        Ok(verdict)
    });
    let code = match result {
        Err(error) => {
            println!("could not run: {error}");
            2
        }
        Ok(verdict) => {
            println!("{}", verdict.text);
            match (verdict.broken, verdict.told) {
                (0, true) => 0,
                (0, false) => 2,
                _ => 1,
            }
        }
    };
    std::process::exit(code);
}
