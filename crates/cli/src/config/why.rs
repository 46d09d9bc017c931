//! `rainstand config why`: explains the code of a finding, with a wrong and a right example.

use crate::error::{CommandError, CommandResult};
use crate::output::{self, ExitStatus};
use clap::Args;
use rainstand_config::codes::{Code, Examples};
use rainstand_config::formatter::format;

/// The first line of each file, left out of the examples.
const FIRST_LINE: &str = "rain 1\n";

#[derive(Args)]
pub(crate) struct Options {
    #[arg(required_unless_present = "all")]
    code: Option<String>,
    /// All codes, a line each
    #[arg(long)]
    all: bool,
}

pub(super) fn run(options: &Options) -> CommandResult {
    let Some(id) = &options.code else {
        return list_codes();
    };
    let code = Code::find(id).ok_or_else(|| {
        CommandError::unusable(id, "no such code; `rainstand config why --all` lists them")
    })?;
    output::bytes(explanation(code).as_bytes())?;
    Ok(ExitStatus::Success)
}

fn list_codes() -> CommandResult {
    for code in Code::ALL {
        output::line(&format!("{}  {}", code.id(), code.title()))?;
    }
    Ok(ExitStatus::Success)
}

fn explanation(code: Code) -> String {
    let mut lines = vec![
        format!("{}: {}", code.id(), code.title()),
        String::new(),
        code.explanation().to_owned(),
    ];
    let Examples { wrong, right } = code.examples();
    for (name, example) in [("Wrong", wrong), ("Right", right)] {
        if example.is_empty() {
            continue;
        }
        lines.extend([String::new(), format!("{name}:")]);
        // Formatted as by `config fmt`.
        let formatted = format(&format!("{FIRST_LINE}{example}"));
        let shown = match &formatted {
            Ok(formatted) => formatted.trim_start_matches(FIRST_LINE),
            Err(_) => example,
        };
        lines.extend(shown.lines().map(|line| format!("    {line}")));
    }
    lines.join("\n") + "\n"
}
