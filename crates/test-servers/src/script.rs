//! How a test server behaves, line by line. Of the lines that apply to a call the last one holds.
//!
//! ```text
//! # comment
//! cores 4                                 runs at a time; others wait for a core
//! honour after 5ms..20ms                  for all calls: the first lines
//! route check honour after about 20ms     by chance, with this mean
//! route register reset                    runs it, then closes the connection without an answer
//! from 3s to 5s silent                    for two seconds it runs all and answers nothing
//! share 10% fail after 1ms                one in ten by chance
//! every 100 twice                         each hundredth call
//! ```
//!
//! | behaviour | what it is |
//! | --- | --- |
//! | `honour` | runs and answers |
//! | `fail` | runs, answers that it failed |
//! | `exception` | runs nothing, answers with an application exception |
//! | `dismiss [pause TIME] [nowhere-else]` | runs nothing, rejects |
//! | `silent` | runs, never answers |
//! | `reset` | runs, closes the connection without an answer |
//! | `cut` | runs nothing, closes the connection |
//! | `twice` | runs, answers twice |
//! | `late` | runs, answers even if the call was cancelled |
//! | `leave` | sends its shutdown notice, runs and answers this one, then closes: calls that crossed that are cut |
//! | `refuse` | new connections are closed at once; calls on old ones are cut |
//! | `hold` | runs, answers once it is released ([`crate::server::TestServer::release`]) |

use nanorand::{Rng, WyRand};
use std::iter::Peekable;
use std::str::FromStr;
use std::time::Duration;

/// Calls of which a share is counted.
const SHARE_OF: u32 = 1_000_000;
/// Calls in [`SHARE_OF`] that are a per cent.
const CALLS_PER_PERCENT: f64 = 10_000.0;

/// What a server does with a call; the head of the module has the words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs and answers.
    Serve,
    /// Runs, answers that it failed.
    Fail,
    /// Runs nothing, answers with an application exception.
    Exception,
    /// Runs nothing, rejects.
    Reject {
        /// When to try again.
        retry_after: Duration,
        /// Whether no other server should be tried.
        nowhere_else: bool,
    },
    /// Runs, never answers.
    Silent,
    /// Runs, closes the connection without an answer.
    Reset,
    /// Runs nothing, closes the connection.
    Cut,
    /// Runs, answers twice.
    AnswerTwice,
    /// Runs, answers even if the call was cancelled.
    AnswerLate,
    /// Sends its shutdown notice, runs and answers this call, then closes.
    ShutDown,
    /// Closes new connections at once, and old ones at a call.
    Refuse,
    /// Runs, answers once it is released.
    Hold,
}

impl Behaviour {
    /// Whether the call has its effect.
    pub fn runs(self) -> bool {
        !matches!(
            self,
            Behaviour::Exception | Behaviour::Reject { .. } | Behaviour::Cut | Behaviour::Refuse
        )
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reaction {
    /// What the server does.
    pub behaviour: Behaviour,
    /// How long the run takes, or after how long it answers.
    pub after: Duration,
}

/// How long a reaction takes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delay {
    /// Evenly between the two.
    Between(Duration, Duration),
    /// Exponential with this mean.
    About(Duration),
}

impl Delay {
    const NONE: Self = Self::Between(Duration::ZERO, Duration::ZERO);

    fn draw(self, random: &mut WyRand) -> Duration {
        let drawn = f64::from(random.generate::<u32>());
        match self {
            Self::Between(min, max) => {
                let spread = max.saturating_sub(min);
                min + spread.mul_f64(drawn / f64::from(u32::MAX))
            }
            Self::About(mean) => {
                let uniform = drawn / (f64::from(u32::MAX) + 1.0);
                mean.mul_f64(-(1.0 - uniform).ln())
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Line {
    from: Duration,
    to: Duration,
    request_class: Option<String>,
    /// Of [`SHARE_OF`] calls.
    share: u32,
    every: u64,
    behaviour: Behaviour,
    delay: Delay,
}

impl Line {
    fn applies_always(&self) -> bool {
        self.share >= SHARE_OF
    }

    fn applies(&self, at: Duration, request_class: &str, call: u64, random: &mut WyRand) -> bool {
        let class = self.request_class.as_deref();
        (self.from..self.to).contains(&at)
            && class.is_none_or(|name| name == request_class)
            && call.is_multiple_of(self.every)
            && (self.applies_always() || random.generate_range(0..SHARE_OF) < self.share)
    }
}

/// A script that was read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Runs at a time; 0 for no bound.
    pub cores: usize,
    lines: Vec<Line>,
}

/// What is wrong in a script, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct ScriptError {
    /// The line, from 1.
    pub line: usize,
    /// What is wrong in it.
    pub error: LineError,
}

/// What is wrong in a line of a script.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// It ends before a behaviour.
    #[error("it says nothing to do")]
    NoBehaviour,
    /// The word is no behaviour.
    #[error("`{0}` is nothing that a node does")]
    UnknownBehaviour(String),
    /// Something follows a complete line.
    #[error("`{0}` is too much")]
    SurplusWord(String),
    /// It ends where this should follow.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// It ends where a time should follow.
    #[error("a time is missing, such as 20ms")]
    MissingTime,
    /// It ends behind `after`.
    #[error("a time is missing behind `after`")]
    MissingDelay,
    /// The word is no such thing.
    #[error("`{word}` is no {expected}")]
    Malformed {
        /// The word.
        word: String,
        /// What was expected, in words.
        expected: String,
    },
    /// A share outside of its range.
    #[error("a share lies between 0% and 100%")]
    ShareOutOfRange,
    /// `every 0`.
    #[error("every 0 calls is never")]
    EveryZero,
    /// The two times of a range in the wrong order.
    #[error("the first time behind `after` is the lesser one")]
    RangeReversed,
    /// The time of a line ends before it begins.
    #[error("`from` lies before `to`")]
    NeverApplies,
}

fn parse_time(word: Option<&str>) -> Result<Duration, LineError> {
    let word = word.ok_or(LineError::MissingTime)?;
    humantime::parse_duration(word).map_err(|error| LineError::Malformed {
        word: word.to_owned(),
        expected: format!("time: {error}"),
    })
}

fn parse_number<T: FromStr>(word: Option<&str>, expected: &'static str) -> Result<T, LineError> {
    let word = word.ok_or(LineError::Missing(expected))?;
    word.parse().map_err(|_| LineError::Malformed {
        word: word.to_owned(),
        expected: expected.to_owned(),
    })
}

/// The words of one line that are not read yet.
struct Words<'w, I: Iterator<Item = &'w str>>(Peekable<I>);

impl<'w, I: Iterator<Item = &'w str>> Words<'w, I> {
    fn next(&mut self) -> Option<&'w str> {
        self.0.next()
    }

    /// Takes the next word if it is this one.
    fn take(&mut self, word: &str) -> bool {
        self.0.next_if(|next| *next == word).is_some()
    }

    fn line(mut self) -> Result<Line, LineError> {
        let mut line = Line {
            from: Duration::ZERO,
            to: Duration::MAX,
            request_class: None,
            share: SHARE_OF,
            every: 1,
            behaviour: Behaviour::Serve,
            delay: Delay::NONE,
        };
        let behaviour = loop {
            let word = self.next().ok_or(LineError::NoBehaviour)?;
            if !self.condition(word, &mut line)? {
                break word;
            }
        };
        line.behaviour = self.behaviour(behaviour)?;
        line.delay = self.delay()?;
        match self.next() {
            Some(surplus) => Err(LineError::SurplusWord(surplus.to_owned())),
            None if line.from >= line.to => Err(LineError::NeverApplies),
            None => Ok(line),
        }
    }

    /// Reads a condition that begins with this word; whether the word begins one.
    fn condition(&mut self, word: &str, line: &mut Line) -> Result<bool, LineError> {
        match word {
            "from" => line.from = parse_time(self.next())?,
            "to" => line.to = parse_time(self.next())?,
            "route" => {
                let name = self.next().ok_or(LineError::Missing("a route's name"))?;
                line.request_class = Some(name.to_owned());
            }
            "share" => line.share = self.share()?,
            "every" => {
                line.every = parse_number(self.next(), "number of calls")?;
                if line.every == 0 {
                    return Err(LineError::EveryZero);
                }
            }
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn share(&mut self) -> Result<u32, LineError> {
        let word = self.next().and_then(|word| word.strip_suffix('%'));
        let percent: f64 = parse_number(word, "share, such as 10%")?;
        if !(0.0..=100.0).contains(&percent) {
            return Err(LineError::ShareOutOfRange);
        }
        Ok((percent * CALLS_PER_PERCENT) as u32)
    }

    fn behaviour(&mut self, word: &str) -> Result<Behaviour, LineError> {
        Ok(match word {
            "honour" => Behaviour::Serve,
            "fail" => Behaviour::Fail,
            "exception" => Behaviour::Exception,
            "dismiss" => self.rejection()?,
            "silent" => Behaviour::Silent,
            "reset" => Behaviour::Reset,
            "cut" => Behaviour::Cut,
            "twice" => Behaviour::AnswerTwice,
            "late" => Behaviour::AnswerLate,
            "leave" => Behaviour::ShutDown,
            "refuse" => Behaviour::Refuse,
            "hold" => Behaviour::Hold,
            other => return Err(LineError::UnknownBehaviour(other.to_owned())),
        })
    }

    fn rejection(&mut self) -> Result<Behaviour, LineError> {
        let (mut retry_after, mut nowhere_else) = (Duration::ZERO, false);
        loop {
            if self.take("pause") {
                retry_after = parse_time(self.next())?;
            } else if self.take("nowhere-else") {
                nowhere_else = true;
            } else {
                return Ok(Behaviour::Reject {
                    retry_after,
                    nowhere_else,
                });
            }
        }
    }

    fn delay(&mut self) -> Result<Delay, LineError> {
        if !self.take("after") {
            return Ok(Delay::NONE);
        }
        let is_about = self.take("about");
        let word = self.next().ok_or(LineError::MissingDelay)?;
        let (min, max) = match word.split_once("..") {
            Some((min, max)) => (parse_time(Some(min))?, parse_time(Some(max))?),
            None => (parse_time(Some(word))?, parse_time(Some(word))?),
        };
        if min > max {
            return Err(LineError::RangeReversed);
        }
        Ok(if is_about {
            Delay::About(min)
        } else {
            Delay::Between(min, max)
        })
    }
}

impl Script {
    /// Reads a script.
    ///
    /// # Errors
    /// The first line that is wrong, and why.
    ///
    /// ```
    /// use rainstand_test_servers::script::Script;
    /// let error = Script::read("honour after 5ms\nexplode\n").unwrap_err();
    /// assert_eq!(error.to_string(), "line 2: `explode` is nothing that a node does");
    /// ```
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        let mut script = Self::default();
        for (index, line) in text.lines().enumerate() {
            let read = script.read_line(line);
            read.map_err(|error| ScriptError {
                line: index + 1,
                error,
            })?;
        }
        Ok(script)
    }

    fn read_line(&mut self, line: &str) -> Result<(), LineError> {
        let without_comment = line.split('#').next().unwrap_or("");
        let mut words = Words(without_comment.split_whitespace().peekable());
        if words.take("cores") {
            self.cores = parse_number(words.next(), "number of cores")?;
        } else if words.0.peek().is_some() {
            self.lines.push(words.line()?);
        }
        Ok(())
    }

    /// What becomes of call number `call` (from 1) at a time since the server's start. Without a line that applies it is
    /// served at once.
    pub fn reaction(
        &self,
        at: Duration,
        request_class: &str,
        call: u64,
        random: &mut WyRand,
    ) -> Reaction {
        let mut lines = self.lines.iter().rev();
        match lines.find(|line| line.applies(at, request_class, call, random)) {
            Some(line) => Reaction {
                behaviour: line.behaviour,
                after: line.delay.draw(random),
            },
            None => Reaction {
                behaviour: Behaviour::Serve,
                after: Duration::ZERO,
            },
        }
    }

    /// Whether new connections are refused at this time.
    pub fn refuses(&self, at: Duration) -> bool {
        let holding = self.lines.iter().rev().find(|line| {
            (line.from..line.to).contains(&at)
                && line.request_class.is_none()
                && line.applies_always()
        });
        holding.is_some_and(|line| line.behaviour == Behaviour::Refuse)
    }
}
