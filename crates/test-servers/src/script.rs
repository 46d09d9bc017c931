//! What a stand-in node does, line by line. Of the lines that apply to a call the last one holds.
//!
//! ```text
//! # comment
//! cores 4                                 so many at a time; others wait for a core
//! honour after 5ms..20ms                  for all there is: the first lines
//! route check honour after about 20ms     by chance, with this mean
//! route register reset                    runs it, then closes the connection without a word
//! from 3s to 5s silent                    for two seconds it runs all and answers nothing
//! share 10% fail after 1ms                one in ten by chance
//! every 100 twice                         each hundredth call
//! ```
//!
//! | deed | what it is |
//! | --- | --- |
//! | `honour` | runs and answers |
//! | `fail` | runs, says that it gave up |
//! | `exception` | runs nothing, answers with an application exception |
//! | `dismiss [pause TIME] [nowhere-else]` | runs nothing; a node that lies about its load says this while idle |
//! | `silent` | runs, never answers |
//! | `reset` | runs, closes the connection without a word |
//! | `cut` | runs nothing, closes the connection |
//! | `twice` | runs, answers twice |
//! | `late` | runs, answers even if it is told that nobody waits |
//! | `leave` | says that it leaves, runs and answers this one, and then closes: what crossed that is cut |
//! | `refuse` | new connections are closed at once; calls on old ones are cut |
//! | `hold` | runs, answers once it is released |

use nanorand::{Rng, WyRand};
use std::fmt;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deed {
    Honour,
    Fail,
    Exception,
    Dismiss { pause: Duration, nowhere_else: bool },
    Silent,
    Reset,
    Cut,
    Twice,
    Late,
    Leave,
    Refuse,
    Hold,
}

impl Deed {
    /// Whether the call has its effect.
    pub fn runs(self) -> bool {
        !matches!(
            self,
            Deed::Exception | Deed::Dismiss { .. } | Deed::Cut | Deed::Refuse
        )
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Line {
    from: Duration,
    to: Duration,
    route: Option<String>,
    /// Of a million calls.
    share: u32,
    every: u64,
    deed: Deed,
    after: (Duration, Duration),
    /// Exponential with the first of the two as its mean.
    about: bool,
}

/// A script that was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Calls at a time; 0: all there are.
    pub cores: usize,
    lines: Vec<Line>,
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Flaw {
    /// Counted from 1.
    pub line: usize,
    pub why: String,
}

impl fmt::Display for Flaw {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "line {}: {}", self.line, self.why)
    }
}

impl std::error::Error for Flaw {}

fn time(word: Option<&str>) -> Result<Duration, String> {
    let word = word.ok_or("a time is missing, such as 20ms")?;
    humantime::parse_duration(word).map_err(|why| format!("`{word}` is no time: {why}"))
}

fn number<T: std::str::FromStr>(word: Option<&str>, what: &str) -> Result<T, String> {
    let word = word.ok_or_else(|| format!("{what} is missing"))?;
    word.parse().map_err(|_| format!("`{word}` is no {what}"))
}

fn line(words: &[&str]) -> Result<Line, String> {
    let mut words = words.iter().copied().peekable();
    let mut made = Line {
        from: Duration::ZERO,
        to: Duration::MAX,
        route: None,
        share: 1_000_000,
        every: 1,
        deed: Deed::Honour,
        after: (Duration::ZERO, Duration::ZERO),
        about: false,
    };
    loop {
        let word = words.next().ok_or("it says nothing to do")?;
        made.deed = match word {
            "from" => {
                made.from = time(words.next())?;
                continue;
            }
            "to" => {
                made.to = time(words.next())?;
                continue;
            }
            "route" => {
                made.route = Some(words.next().ok_or("a route's name is missing")?.to_owned());
                continue;
            }
            "share" => {
                let word = words.next().and_then(|word| word.strip_suffix('%'));
                let percent: f64 = number(word, "share, such as 10%")?;
                if !(0.0..=100.0).contains(&percent) {
                    return Err("a share lies between 0% and 100%".into());
                }
                made.share = (percent * 10_000.0) as u32;
                continue;
            }
            "every" => {
                made.every = number(words.next(), "number of calls")?;
                if made.every == 0 {
                    return Err("every 0 calls is never".into());
                }
                continue;
            }
            "honour" => Deed::Honour,
            "fail" => Deed::Fail,
            "exception" => Deed::Exception,
            "silent" => Deed::Silent,
            "reset" => Deed::Reset,
            "cut" => Deed::Cut,
            "twice" => Deed::Twice,
            "late" => Deed::Late,
            "leave" => Deed::Leave,
            "refuse" => Deed::Refuse,
            "hold" => Deed::Hold,
            "dismiss" => {
                let (mut pause, mut nowhere_else) = (Duration::ZERO, false);
                loop {
                    match words.peek().copied() {
                        Some("pause") => {
                            words.next();
                            pause = time(words.next())?;
                        }
                        Some("nowhere-else") => {
                            words.next();
                            nowhere_else = true;
                        }
                        _ => break,
                    }
                }
                Deed::Dismiss {
                    pause,
                    nowhere_else,
                }
            }
            other => return Err(format!("`{other}` is nothing that a node does")),
        };
        break;
    }
    if words.next_if_eq(&"after").is_some() {
        made.about = words.next_if_eq(&"about").is_some();
        let word = words.next().ok_or("a time is missing behind `after`")?;
        made.after = match word.split_once("..") {
            Some((least, most)) => (time(Some(least))?, time(Some(most))?),
            None => (time(Some(word))?, time(Some(word))?),
        };
        if made.after.0 > made.after.1 {
            return Err("the first time behind `after` is the lesser one".into());
        }
    }
    match words.next() {
        Some(more) => Err(format!("`{more}` is too much")),
        None if made.from >= made.to => Err("`from` lies before `to`".into()),
        None => Ok(made),
    }
}

impl Script {
    /// # Errors
    /// The first line that is wrong, and why.
    ///
    /// ```
    /// use rainstand_test_servers::script::Script;
    /// let flaw = Script::read("honour after 5ms\nexplode\n").unwrap_err();
    /// assert_eq!(flaw.to_string(), "line 2: `explode` is nothing that a node does");
    /// ```
    pub fn read(text: &str) -> Result<Self, Flaw> {
        let mut script = Self::default();
        for (k, text) in text.lines().enumerate() {
            let text = text.split('#').next().unwrap_or("");
            let words: Vec<&str> = text.split_whitespace().collect();
            let flaw = |why: String| Flaw { line: k + 1, why };
            match words.as_slice() {
                [] => {}
                ["cores", rest @ ..] => {
                    script.cores =
                        number(rest.first().copied(), "number of cores").map_err(flaw)?;
                }
                words => script.lines.push(line(words).map_err(flaw)?),
            }
        }
        Ok(script)
    }

    /// What becomes of the `n`th call (from 1) at a time since the node's start, and after how long. A node whose
    /// script says nothing of it honours it at once.
    pub fn deed(&self, at: Duration, route: &str, n: u64, chance: &mut WyRand) -> (Deed, Duration) {
        let applies = |line: &&Line, chance: &mut WyRand| {
            (line.from..line.to).contains(&at)
                && line.route.as_deref().is_none_or(|name| name == route)
                && n.is_multiple_of(line.every)
                && (line.share >= 1_000_000 || chance.generate_range(0..1_000_000u32) < line.share)
        };
        let Some(line) = self.lines.iter().rev().find(|line| applies(line, chance)) else {
            return (Deed::Honour, Duration::ZERO);
        };
        let (least, most) = line.after;
        let spread = most.saturating_sub(least);
        if line.about {
            let uniform = f64::from(chance.generate::<u32>()) / (f64::from(u32::MAX) + 1.0);
            return (line.deed, least.mul_f64(-(1.0 - uniform).ln()));
        }
        (
            line.deed,
            least + spread.mul_f64(f64::from(chance.generate::<u32>()) / f64::from(u32::MAX)),
        )
    }

    /// Whether new connections are turned away then.
    pub fn refuses(&self, at: Duration) -> bool {
        let now = self.lines.iter().rev().find(|line| {
            (line.from..line.to).contains(&at) && line.route.is_none() && line.share >= 1_000_000
        });
        now.is_some_and(|line| line.deed == Deed::Refuse)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: fn(u64) -> Duration = Duration::from_millis;

    #[test]
    fn the_last_line_that_applies_holds() {
        let script = Script::read(
            "cores 3\nhonour after 5ms..20ms # usual\nroute register reset\nfrom 3s to 5s silent\nevery 4 twice after 1ms\n\
             from 9s refuse\nfrom 7s to 8s dismiss pause 300ms nowhere-else",
        )
        .unwrap();
        let mut chance = WyRand::new_seed(1);
        let mut deed = |ms: u64, route: &str, n: u64| script.deed(MS(ms), route, n, &mut chance).0;
        assert_eq!(deed(0, "check", 1), Deed::Honour);
        assert_eq!(deed(0, "register", 1), Deed::Reset);
        assert_eq!(deed(3_000, "register", 1), Deed::Silent);
        assert_eq!(deed(3_000, "check", 8), Deed::Twice);
        assert_eq!(
            deed(7_999, "check", 8),
            Deed::Dismiss {
                pause: MS(300),
                nowhere_else: true
            }
        );
        assert_eq!(
            (
                script.refuses(MS(8_999)),
                script.refuses(MS(9_000)),
                script.cores
            ),
            (false, true, 3)
        );
        let (_, after) = script.deed(MS(1), "check", 1, &mut chance);
        assert!((MS(5)..=MS(20)).contains(&after), "{after:?}");
    }

    #[test]
    fn a_share_is_a_share() {
        let script = Script::read("share 10% fail").unwrap();
        let mut chance = WyRand::new_seed(2);
        let failed = (1..=10_000)
            .filter(|n| script.deed(MS(0), "check", *n, &mut chance).0 == Deed::Fail)
            .count();
        assert!((900..1_100).contains(&failed), "{failed}");
    }

    #[test]
    fn about_a_time_is_its_mean() {
        let script = Script::read("honour after about 20ms").unwrap();
        let mut chance = WyRand::new_seed(3);
        let sum: Duration = (1..=4_000)
            .map(|n| script.deed(MS(0), "check", n, &mut chance).1)
            .sum();
        assert!(
            (MS(19)..MS(21)).contains(&(sum / 4_000)),
            "{:?}",
            sum / 4_000
        );
    }

    #[test]
    fn what_is_wrong_is_told_with_its_line() {
        let table = [
            ("honour\n\nfrom 2s", "line 3: it says nothing to do"),
            ("honour after 5", "line 1: `5` is no time"),
            ("share 130% fail", "line 1: a share lies between"),
            ("share ten fail", "line 1: share, such as 10% is missing"),
            ("every 0 fail", "line 1: every 0 calls"),
            ("honour after 9ms..5ms", "line 1: the first time"),
            ("silent now", "line 1: `now` is too much"),
            ("cores many", "line 1: `many` is no number of cores"),
            ("from 5s to 3s cut", "line 1: `from` lies before"),
            ("dismiss pause", "line 1: a time is missing"),
        ];
        for (text, wanted) in table {
            let found = Script::read(text).unwrap_err().to_string();
            assert!(found.starts_with(wanted), "{text}: {found}");
        }
    }
}
