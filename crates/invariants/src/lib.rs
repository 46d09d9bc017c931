//! The four rules as a checker that any run is told to, step by step: a forwarder's tests on loopback, a simulated
//! fleet, a model of ten thousand nodes. It knows no sockets and no clock; whoever runs tells it what happened.
//!
//! | rule | what breaks it here |
//! | --- | --- |
//! | 1, no ticket lost | no answer by its due time, a second answer, an answer to nothing that was asked |
//! | 2, no effect twice | a second unmarked run of a ticketed one, any second run of an exclusive one, dismissed though it ran |
//! | 3, safe drain | a front that is gone while it owes an answer |
//! | 4, nothing falls over | anything measured past its bound, further tries past their budget |
//!
//! The first break is returned at once and kept, with the steps of the ticket that led to it.
//!
//! Invariant: `open` is the number of tickets asked that have neither an answer nor a caller that left; the
//! steps kept of one ticket are at most [`STEPS`], so a long run costs memory by its tickets alone.
//!
//! ```
//! use rainstand_invariants::{Answer, Kind, Rules, Step};
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//! let mut rules = Rules::default();
//! rules.saw(ms(0), 7, Step::Asked { kind: Kind::Exclusive, due: ms(900), front: 0 }).unwrap();
//! rules.saw(ms(1), 7, Step::Ran { on: 3, marked: false }).unwrap();
//! let broken = rules.saw(ms(2), 7, Step::Answered(Answer::Dismissed)).unwrap_err();
//! assert_eq!(broken.rule, 2);
//! assert!(broken.to_string().contains("dismissed though it ran"), "{broken}");
//! ```

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

use foldhash::HashMap;
use std::fmt;
use std::time::Duration;

/// Steps of one ticket that are kept: its asking, a run and an answer for each of some tries.
pub const STEPS: usize = 24;

/// Whether a ticket may have its effect again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Any number of times.
    Rerunnable,
    /// Again only under the mark by which a node knows the repeat.
    Ticketed,
    /// Once.
    Exclusive,
}

/// The one answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    Honoured,
    Dismissed,
    GivenUp,
    /// An application exception: it could not be read, so nothing ran.
    Exception,
}

/// What happened to a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A caller asked a front for it; `due` counts from the same start as all times.
    Asked {
        kind: Kind,
        due: Duration,
        front: u32,
    },
    /// A try of it went to a member.
    Tried {
        at: u32,
    },
    /// It had its effect there; `marked`: the try said that it is a further one.
    Ran {
        on: u32,
        marked: bool,
    },
    /// The kept result of another ticket's run serves it: it needs no run of its own.
    Shared,
    /// Its caller gave it up or broke its connection: nobody waits for an answer.
    Left,
    Answered(Answer),
}

/// A rule that broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// 1 to 4.
    pub rule: u8,
    pub at: Duration,
    /// The ticket, if it is about one.
    pub ticket: Option<u64>,
    pub why: String,
    /// The ticket's steps up to this one.
    pub steps: Vec<(Duration, Step)>,
}

impl fmt::Display for Broken {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "rule {} at {:?}", self.rule, self.at)?;
        if let Some(ticket) = self.ticket {
            write!(out, ", ticket {ticket}")?;
        }
        write!(out, ": {}", self.why)?;
        self.steps
            .iter()
            .try_for_each(|(at, step)| write!(out, "\n  {at:>12?} {step:?}"))
    }
}

impl std::error::Error for Broken {}

#[derive(Debug)]
struct Known {
    kind: Kind,
    due: Duration,
    front: u32,
    runs: u32,
    shared: bool,
    /// Runs that a mark does not excuse.
    unmarked: u32,
    answer: Option<Answer>,
    left: bool,
    steps: Vec<(Duration, Step)>,
}

/// What a whole run came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub asked: u64,
    pub tried: u64,
    pub ran: u64,
    pub honoured: u64,
    pub dismissed: u64,
    pub given_up: u64,
    pub exceptions: u64,
    pub left: u64,
}

/// See the module's head.
#[derive(Debug, Default)]
pub struct Rules {
    tickets: HashMap<u64, Known>,
    open: u64,
    tally: Tally,
    /// Open tickets of each front.
    fronts: HashMap<u32, u64>,
    broken: Option<Broken>,
    /// Answered tickets are forgotten so long after their due time; none: never.
    forget: Option<Duration>,
    /// When the due times were last gone through.
    looked: Duration,
}

impl Rules {
    /// For long runs: tickets that are over are forgotten `after` their due time, so a run that comes even later
    /// would not be seen. Give it the longest that anything may take.
    pub fn forgetting(after: Duration) -> Self {
        Self {
            forget: Some(after),
            ..Self::default()
        }
    }

    pub fn open(&self) -> u64 {
        self.open
    }

    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Tickets that are still known.
    pub fn known(&self) -> usize {
        self.tickets.len()
    }

    /// The first rule that broke.
    pub fn broken(&self) -> Option<&Broken> {
        self.broken.as_ref()
    }

    /// What was answered to a ticket.
    pub fn answer(&self, ticket: u64) -> Option<Answer> {
        self.tickets.get(&ticket)?.answer
    }

    fn fail(
        &mut self,
        rule: u8,
        at: Duration,
        ticket: Option<u64>,
        why: impl Into<String>,
    ) -> Result<(), Broken> {
        let steps = ticket
            .and_then(|ticket| self.tickets.get(&ticket))
            .map(|known| known.steps.clone());
        let broken = Broken {
            rule,
            at,
            ticket,
            why: why.into(),
            steps: steps.unwrap_or_default(),
        };
        self.broken.get_or_insert(broken.clone());
        Err(broken)
    }

    /// One step of one ticket.
    ///
    /// # Errors
    /// The rule that it breaks.
    pub fn saw(&mut self, at: Duration, ticket: u64, step: Step) -> Result<(), Broken> {
        if let Step::Asked { kind, due, front } = step {
            if self.tickets.contains_key(&ticket) {
                return self.fail(1, at, Some(ticket), "asked twice under one number");
            }
            let known = Known {
                kind,
                due,
                front,
                runs: 0,
                shared: false,
                unmarked: 0,
                answer: None,
                left: false,
                steps: vec![(at, step)],
            };
            self.tickets.insert(ticket, known);
            self.tally.asked += 1;
            self.open += 1;
            *self.fronts.entry(front).or_default() += 1;
            return Ok(());
        }
        let Some(known) = self.tickets.get_mut(&ticket) else {
            // What was forgotten may still be tried or run: late, and known to be over.
            return match step {
                Step::Answered(_) => {
                    self.fail(1, at, Some(ticket), "an answer to nothing that was asked")
                }
                _ => Ok(()),
            };
        };
        if known.steps.len() < STEPS {
            known.steps.push((at, step));
        }
        match step {
            Step::Asked { .. } => Ok(()),
            Step::Tried { .. } => {
                self.tally.tried += 1;
                Ok(())
            }
            Step::Ran { marked, .. } => {
                self.tally.ran += 1;
                known.runs += 1;
                known.unmarked += u32::from(!marked);
                let (runs, unmarked) = (known.runs, known.unmarked);
                let dismissed = known.answer == Some(Answer::Dismissed);
                match known.kind {
                    Kind::Rerunnable => Ok(()),
                    _ if dismissed => self.fail(2, at, Some(ticket), "ran after it was dismissed"),
                    Kind::Exclusive if runs > 1 => self.fail(
                        2,
                        at,
                        Some(ticket),
                        format!("an exclusive ticket ran {runs} times"),
                    ),
                    Kind::Ticketed if unmarked > 1 => {
                        let why = format!("a ticketed one ran {unmarked} times without a mark");
                        self.fail(2, at, Some(ticket), why)
                    }
                    _ => Ok(()),
                }
            }
            Step::Shared => {
                known.shared = true;
                Ok(())
            }
            Step::Left => {
                if known.answer.is_none() && !known.left {
                    known.left = true;
                    self.tally.left += 1;
                    self.close(ticket);
                }
                Ok(())
            }
            Step::Answered(answer) => {
                if known.left {
                    // It crossed the caller's leaving: nobody reads it.
                    return Ok(());
                }
                if known.answer.is_some() {
                    return self.fail(1, at, Some(ticket), "a second answer");
                }
                known.answer = Some(answer);
                let (kind, runs, due) = (known.kind, known.runs, known.due);
                let served = runs > 0 || known.shared;
                match answer {
                    Answer::Honoured => self.tally.honoured += 1,
                    Answer::Dismissed => self.tally.dismissed += 1,
                    Answer::GivenUp => self.tally.given_up += 1,
                    Answer::Exception => self.tally.exceptions += 1,
                }
                self.close(ticket);
                if at > due {
                    return self.fail(
                        1,
                        at,
                        Some(ticket),
                        format!("answered after {due:?}, its due time"),
                    );
                }
                if answer == Answer::Dismissed && kind != Kind::Rerunnable && runs > 0 {
                    return self.fail(2, at, Some(ticket), "dismissed though it ran");
                }
                if answer == Answer::Honoured && !served {
                    return self.fail(1, at, Some(ticket), "honoured though it never ran");
                }
                Ok(())
            }
        }
    }

    fn close(&mut self, ticket: u64) {
        self.open -= 1;
        if let Some(front) = self.tickets.get(&ticket).map(|known| known.front) {
            if let Some(open) = self.fronts.get_mut(&front) {
                *open -= 1;
            }
        }
    }

    /// Time passed: whoever is past its due time without an answer is lost. Costs a look at every known ticket.
    ///
    /// # Errors
    /// The first that is lost.
    pub fn look(&mut self, now: Duration) -> Result<(), Broken> {
        self.looked = now;
        let waits = |known: &Known| known.answer.is_none() && !known.left;
        let lost = self
            .tickets
            .iter()
            .filter(|(_, known)| waits(known) && known.due < now);
        // The lowest number, whatever the order of the map: the same run tells the same ticket.
        if let Some(ticket) = lost.map(|(ticket, _)| *ticket).min() {
            return self.fail(1, now, Some(ticket), "no answer by its due time");
        }
        if let Some(after) = self.forget {
            self.tickets
                .retain(|_, known| waits(known) || known.due + after > now);
        }
        Ok(())
    }

    /// A front that drained is gone: nothing may be owed there. Callers whose connections it broke have left.
    ///
    /// # Errors
    /// How many tickets it owes an answer.
    pub fn gone(&mut self, at: Duration, front: u32) -> Result<(), Broken> {
        match self.fronts.get(&front).copied().unwrap_or(0) {
            0 => Ok(()),
            owed => {
                let of =
                    |known: &Known| known.front == front && known.answer.is_none() && !known.left;
                let first = self
                    .tickets
                    .iter()
                    .filter(|(_, known)| of(known))
                    .map(|(ticket, _)| *ticket)
                    .min();
                self.fail(
                    3,
                    at,
                    first,
                    format!("front {front} is gone and owes {owed} answers"),
                )
            }
        }
    }

    /// Something that has a bound.
    ///
    /// # Errors
    /// If it is past it.
    pub fn within(
        &mut self,
        at: Duration,
        what: &str,
        size: u64,
        bound: u64,
    ) -> Result<(), Broken> {
        if size <= bound {
            return Ok(());
        }
        self.fail(4, at, None, format!("{what}: {size}, its bound is {bound}"))
    }

    /// Further tries of one program against its budget: a share of first ones, and what the start allows.
    ///
    /// # Errors
    /// If there were more.
    pub fn budget(
        &mut self,
        at: Duration,
        first: u64,
        further: u64,
        share: f64,
        start: u64,
    ) -> Result<(), Broken> {
        let bound = start + (first as f64 * share) as u64;
        self.within(at, "further tries", further, bound)
    }

    /// The run is over: every ticket has its answer, or its caller left.
    ///
    /// # Errors
    /// The first rule that broke in the whole run, or a ticket without an answer.
    pub fn over(&mut self, at: Duration) -> Result<Tally, Broken> {
        if self.open > 0 {
            let waits = |known: &Known| known.answer.is_none() && !known.left;
            let first = self
                .tickets
                .iter()
                .filter(|(_, known)| waits(known))
                .map(|(ticket, _)| *ticket)
                .min();
            self.fail(
                1,
                at,
                first,
                format!("{} tickets without an answer at the end", self.open),
            )
            .ok();
        }
        self.broken.clone().map_or(Ok(self.tally), Err)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;

    fn ms(n: u64) -> Duration {
        Duration::from_millis(n)
    }

    fn asked(kind: Kind) -> Step {
        Step::Asked {
            kind,
            due: ms(1_000),
            front: 1,
        }
    }

    /// Steps at 1, 2, 3, … ms and the rule that breaks at the last of them; 0 for none.
    #[test]
    fn each_way_to_break_a_rule_is_seen() {
        use {Answer::*, Kind::*, Step::*};
        let ran = Ran {
            on: 0,
            marked: false,
        };
        let marked = Ran {
            on: 1,
            marked: true,
        };
        let table: &[(&[Step], u8)] = &[
            (&[asked(Exclusive), ran, Answered(Honoured)], 0),
            (&[asked(Exclusive), ran, Answered(GivenUp)], 0),
            (&[asked(Exclusive), ran, Answered(Dismissed)], 2),
            (&[asked(Exclusive), Answered(Dismissed), ran], 2),
            (&[asked(Exclusive), ran, ran], 2),
            (&[asked(Exclusive), ran, marked], 2),
            (&[asked(Exclusive), Answered(GivenUp), ran], 0),
            (&[asked(Ticketed), ran, marked, Answered(Honoured)], 0),
            (&[asked(Ticketed), ran, ran], 2),
            (&[asked(Ticketed), ran, Answered(Dismissed)], 2),
            (&[asked(Rerunnable), ran, ran, Answered(Dismissed), ran], 0),
            (
                &[
                    asked(Rerunnable),
                    ran,
                    Answered(Honoured),
                    Answered(Honoured),
                ],
                1,
            ),
            (&[asked(Rerunnable), Answered(Honoured)], 1),
            (&[asked(Ticketed), Shared, Answered(Honoured)], 0),
            (&[asked(Ticketed), Shared, Answered(Dismissed)], 0),
            (&[asked(Rerunnable), Left, Answered(GivenUp)], 0),
            (&[asked(Rerunnable), asked(Rerunnable)], 1),
            (&[Answered(Dismissed)], 1),
        ];
        for (steps, rule) in table {
            let mut rules = Rules::default();
            let (last, before) = steps.split_last().unwrap();
            for (k, step) in before.iter().enumerate() {
                rules
                    .saw(ms(k as u64), 5, *step)
                    .unwrap_or_else(|broken| panic!("{steps:?}: {broken}"));
            }
            let found = rules
                .saw(ms(9), 5, *last)
                .err()
                .map_or(0, |broken| broken.rule);
            assert_eq!(found, *rule, "{steps:?}");
            assert_eq!(rules.broken().is_some(), *rule > 0);
        }
    }

    #[test]
    fn lost_ones_late_ones_and_owed_ones_are_seen() {
        let mut rules = Rules::default();
        rules.saw(ms(0), 1, asked(Kind::Rerunnable)).unwrap();
        rules.look(ms(1_000)).unwrap();
        assert_eq!(rules.look(ms(1_001)).unwrap_err().ticket, Some(1));
        assert_eq!(rules.gone(ms(1_001), 1).unwrap_err().rule, 3);
        assert_eq!(rules.gone(ms(1_001), 2), Ok(()));
        assert_eq!(
            rules
                .saw(ms(1_002), 1, Step::Answered(Answer::GivenUp))
                .unwrap_err()
                .rule,
            1
        );
        assert_eq!(rules.gone(ms(1_003), 1), Ok(()));
        // The first one stays what it was.
        assert_eq!(rules.over(ms(1_003)).unwrap_err().at, ms(1_001));
        let mut rules = Rules::default();
        assert_eq!(rules.within(ms(1), "links", 65, 64).unwrap_err().rule, 4);
        assert!(rules.budget(ms(1), 100, 30, 0.2, 10).is_ok());
        assert!(rules.budget(ms(1), 100, 31, 0.2, 10).is_err());
        let mut rules = Rules::default();
        rules.saw(ms(0), 1, asked(Kind::Rerunnable)).unwrap();
        assert_eq!(rules.over(ms(5)).unwrap_err().rule, 1);
    }

    #[test]
    fn a_long_run_forgets_what_is_over() {
        let mut rules = Rules::forgetting(ms(500));
        for n in 0..10_000u64 {
            rules
                .saw(
                    ms(n),
                    n,
                    Step::Asked {
                        kind: Kind::Exclusive,
                        due: ms(n + 100),
                        front: 0,
                    },
                )
                .unwrap();
            rules
                .saw(ms(n), n, Step::Answered(Answer::Dismissed))
                .unwrap();
            if n % 100 == 0 {
                rules.look(ms(n)).unwrap();
            }
        }
        assert!(rules.known() < 800, "{}", rules.known());
        assert_eq!(rules.over(ms(20_000)).unwrap().dismissed, 10_000);
    }

    proptest! {
        #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(18), failure_persistence: None, ..ProptestConfig::default() })]

        /// Against a plain count over the whole history: the checker breaks exactly where that does.
        #[test]
        fn it_agrees_with_a_count_over_all_steps(
            steps in proptest::collection::vec((0u64..3, 0u8..6, any::<bool>()), 0..40),
            exclusive in any::<bool>(),
        ) {
            let kind = if exclusive { Kind::Exclusive } else { Kind::Rerunnable };
            let mut rules = Rules::default();
            (0..3).for_each(|ticket| rules.saw(ms(0), ticket, asked(kind)).unwrap());
            let (mut runs, mut answers) = ([0u32; 3], [None::<Answer>; 3]);
            let mut left = [false; 3];
            for (k, (ticket, what, marked)) in steps.into_iter().enumerate() {
                let t = ticket as usize;
                let (step, breaks) = match what {
                    0 | 1 => {
                        runs[t] += 1;
                        let twice = runs[t] > 1 || answers[t] == Some(Answer::Dismissed);
                        (Step::Ran { on: 0, marked }, exclusive && twice)
                    }
                    2 => {
                        left[t] |= answers[t].is_none();
                        (Step::Left, false)
                    }
                    n => {
                        let answer = [Answer::Honoured, Answer::Dismissed, Answer::GivenUp][usize::from(n - 3)];
                        let second = answers[t].is_some();
                        let wrong = match answer {
                            Answer::Dismissed => exclusive && runs[t] > 0,
                            Answer::Honoured => runs[t] == 0,
                            _ => false,
                        };
                        let heard = !left[t];
                        if heard && !second {
                            answers[t] = Some(answer);
                        }
                        (Step::Answered(answer), heard && (second || wrong))
                    }
                };
                let found = rules.saw(ms(k as u64), ticket, step);
                prop_assert_eq!(found.is_err(), breaks, "{:?}", step);
                let open = (0..3).filter(|t| answers[*t].is_none() && !left[*t]).count() as u64;
                prop_assert_eq!(rules.open(), open);
            }
        }
    }
}
