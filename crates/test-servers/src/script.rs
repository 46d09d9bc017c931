//! Scripts that describe how a test server behaves. The last line that matches a call determines the behaviour.
//!
//! ```text
//! # comment
//! cores 4                                 concurrent runs; further calls wait for a core
//! honour after 5ms..20ms                  no condition: matches all calls
//! route check honour after about 20ms     random (exponential) with this mean
//! route register reset                    runs it, then closes the connection without an answer
//! from 3s to 5s silent                    runs calls but does not answer for two seconds
//! share 10% fail after 1ms                a random tenth of the calls
//! every 100 twice                         every hundredth call
//! ```
//!
//! | behaviour | effect |
//! | --- | --- |
//! | `honour` | runs and answers |
//! | `fail` | runs, answers that the call failed |
//! | `exception` | does not run, answers with an application exception |
//! | `dismiss [pause TIME] [nowhere-else]` | does not run, rejects |
//! | `silent` | runs, never answers |
//! | `reset` | runs, closes the connection without an answer |
//! | `cut` | does not run, closes the connection |
//! | `twice` | runs, answers twice |
//! | `late` | runs, answers even if the call was cancelled |
//! | `leave` | sends the shutdown notice, runs and answers this call, then closes; calls sent meanwhile are cut |
//! | `refuse` | closes new connections immediately, cuts calls on existing ones |
//! | `hold` | runs, answers when released ([`crate::server::TestServer::release`]) |

use nanorand::{Rng, WyRand};
use std::iter::Peekable;
use std::str::FromStr;
use std::time::Duration;

/// Denominator of [`Line::share`].
const SHARE_DENOMINATOR: u32 = 1_000_000;
/// One per cent, in units of [`Line::share`].
const SHARE_UNITS_PER_PERCENT: f64 = 10_000.0;

/// How a server handles a call; the module documentation lists the script words.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs and answers.
    Serve,
    /// Runs, answers that the call failed.
    Fail,
    /// Does not run, answers with an application exception.
    Exception,
    /// Does not run, rejects.
    Reject {
        /// Time after which the caller may retry.
        retry_after: Duration,
        /// Whether the call should not be retried on another server.
        nowhere_else: bool,
    },
    /// Runs, never answers.
    Silent,
    /// Runs, closes the connection without an answer.
    Reset,
    /// Does not run, closes the connection.
    Cut,
    /// Runs, answers twice.
    AnswerTwice,
    /// Runs, answers even if the call was cancelled.
    AnswerLate,
    /// Sends the shutdown notice, runs and answers this call, then closes.
    ShutDown,
    /// Closes new connections immediately, and existing ones at their next call.
    Refuse,
    /// Runs, answers when released.
    Hold,
}

impl Behaviour {
    /// Whether the server runs the call.
    pub fn runs(self) -> bool {
        !matches!(
            self,
            Behaviour::Exception | Behaviour::Reject { .. } | Behaviour::Cut | Behaviour::Refuse
        )
    }
}

/// How a server reacts to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reaction {
    /// The behaviour.
    pub behaviour: Behaviour,
    /// Duration of the run, or the delay of an answer without a run.
    pub delay: Duration,
}

/// The distribution of a reaction's delay.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Delay {
    /// Uniform between the two.
    Uniform(Duration, Duration),
    /// Exponential with this mean.
    Exponential(Duration),
}

impl Delay {
    const NONE: Self = Self::Uniform(Duration::ZERO, Duration::ZERO);

    fn draw(self, random: &mut WyRand) -> Duration {
        let drawn = f64::from(random.generate::<u32>());
        match self {
            Self::Uniform(min, max) => {
                let spread = max.saturating_sub(min);
                min + spread.mul_f64(drawn / f64::from(u32::MAX))
            }
            Self::Exponential(mean) => {
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
    /// Share of calls that the line matches, in units of 1 / [`SHARE_DENOMINATOR`].
    share: u32,
    every: u64,
    behaviour: Behaviour,
    delay: Delay,
}

impl Line {
    fn has_full_share(&self) -> bool {
        self.share >= SHARE_DENOMINATOR
    }

    fn matches(
        &self,
        elapsed: Duration,
        request_class: &str,
        call: u64,
        random: &mut WyRand,
    ) -> bool {
        let class = self.request_class.as_deref();
        (self.from..self.to).contains(&elapsed)
            && class.is_none_or(|name| name == request_class)
            && call.is_multiple_of(self.every)
            && (self.has_full_share() || random.generate_range(0..SHARE_DENOMINATOR) < self.share)
    }
}

/// A parsed script.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// Limit of concurrent runs; 0 for no limit.
    pub cores: usize,
    lines: Vec<Line>,
}

/// An error in a script.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {error}")]
pub struct ScriptError {
    /// Line number, from 1.
    pub line: usize,
    /// The error in that line.
    pub error: LineError,
}

/// An error in a line of a script.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line has no behaviour.
    #[error("missing behaviour")]
    NoBehaviour,
    /// The word is not a behaviour.
    #[error("`{0}` is not a behaviour")]
    UnknownBehaviour(String),
    /// A word follows a complete line.
    #[error("unexpected `{0}` after a complete line")]
    SurplusWord(String),
    /// The line ends where this is expected.
    #[error("missing {0}")]
    Missing(&'static str),
    /// The line ends where a time is expected.
    #[error("missing time, such as 20ms")]
    MissingTime,
    /// The line ends after the word `after`.
    #[error("missing time after `after`")]
    MissingDelay,
    /// The word is not what was expected.
    #[error("`{word}` is not a valid {expected}")]
    Malformed {
        /// The word.
        word: String,
        /// Description of what was expected.
        expected: String,
    },
    /// A share is outside of its range.
    #[error("the share is not between 0% and 100%")]
    ShareOutOfRange,
    /// `every 0`.
    #[error("`every` needs a number of at least 1")]
    EveryZero,
    /// The times of a range are in the wrong order.
    #[error("the range after `after` is reversed")]
    RangeReversed,
    /// The line's period ends before it begins.
    #[error("`from` is not before `to`")]
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

/// The unread words of one line.
struct Words<'w, I: Iterator<Item = &'w str>>(Peekable<I>);

impl<'w, I: Iterator<Item = &'w str>> Words<'w, I> {
    fn next(&mut self) -> Option<&'w str> {
        self.0.next()
    }

    /// Consumes the next word if it is `word`.
    fn take(&mut self, word: &str) -> bool {
        self.0.next_if(|next| *next == word).is_some()
    }

    fn line(mut self) -> Result<Line, LineError> {
        let mut line = Line {
            from: Duration::ZERO,
            to: Duration::MAX,
            request_class: None,
            share: SHARE_DENOMINATOR,
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

    /// Parses the condition that begins with `word`; returns false if the word does not begin a condition.
    fn condition(&mut self, word: &str, line: &mut Line) -> Result<bool, LineError> {
        match word {
            "from" => line.from = parse_time(self.next())?,
            "to" => line.to = parse_time(self.next())?,
            "route" => {
                let name = self.next().ok_or(LineError::Missing("route name"))?;
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
        Ok((percent * SHARE_UNITS_PER_PERCENT) as u32)
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
        let is_exponential = self.take("about");
        let word = self.next().ok_or(LineError::MissingDelay)?;
        let (min, max) = match word.split_once("..") {
            Some((min, max)) => (parse_time(Some(min))?, parse_time(Some(max))?),
            None => (parse_time(Some(word))?, parse_time(Some(word))?),
        };
        if min > max {
            return Err(LineError::RangeReversed);
        }
        Ok(if is_exponential {
            Delay::Exponential(min)
        } else {
            Delay::Uniform(min, max)
        })
    }
}

impl Script {
    /// Parses a script.
    ///
    /// # Errors
    /// The first error, with its line number.
    ///
    /// ```
    /// use rainstand_test_servers::script::Script;
    /// let error = Script::read("honour after 5ms\nexplode\n").unwrap_err();
    /// assert_eq!(error.to_string(), "line 2: `explode` is not a behaviour");
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

    /// The reaction to call number `call` (from 1), `elapsed` after the server's start. A call that no line matches is
    /// served immediately.
    pub fn reaction(
        &self,
        elapsed: Duration,
        request_class: &str,
        call: u64,
        random: &mut WyRand,
    ) -> Reaction {
        let mut lines = self.lines.iter().rev();
        match lines.find(|line| line.matches(elapsed, request_class, call, random)) {
            Some(line) => Reaction {
                behaviour: line.behaviour,
                delay: line.delay.draw(random),
            },
            None => Reaction {
                behaviour: Behaviour::Serve,
                delay: Duration::ZERO,
            },
        }
    }

    /// Whether new connections are refused, `elapsed` after the server's start.
    pub fn refuses(&self, elapsed: Duration) -> bool {
        let matching = self.lines.iter().rev().find(|line| {
            (line.from..line.to).contains(&elapsed)
                && line.request_class.is_none()
                && line.has_full_share()
        });
        matching.is_some_and(|line| line.behaviour == Behaviour::Refuse)
    }
}
