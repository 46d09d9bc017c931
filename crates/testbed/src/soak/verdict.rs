//! The drain of a server that clients go on using, its kill, and what has to hold then.

use super::client::ClientLog;
use super::{signals, SoakReport};
use crate::check::check;
use crate::history::{self, Event, Observation, RequestEnd};
use crate::peers::now;
use crate::process::Process;
use nanorand::{Rng, WyRand};
use rustix::process::Signal;
use std::fs;
use std::io::{self, BufReader};
use std::path::Path;
use std::time::Duration;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// How a server ended after a signal to drain.
pub struct Drain {
    /// Its exit code; none if it was killed.
    pub exit: Option<i32>,
    /// From the first signal to the end.
    pub took: Duration,
    /// Signals that were sent.
    pub signals: u64,
}

/// Signals to drain, in series and around a stop, and the kill exactly `stop` after the first one.
pub async fn drain_until_kill(process: &mut Process, random: &mut WyRand, stop: Duration) -> Drain {
    let is_paused = random.generate_range(0..4u32) == 0;
    if is_paused {
        process.signal(Signal::STOP);
    }
    let first = [Signal::TERM, Signal::INT][random.generate_range(0..2usize)];
    let noticed = Instant::now();
    process.signal(first);
    let mut signals = 1;
    if is_paused {
        sleep(Duration::from_millis(random.generate_range(5..100))).await;
        process.signal(Signal::CONT);
        signals += 2;
    }
    let kinds = [Signal::TERM, Signal::INT, Signal::HUP, Signal::USR1];
    let kill_at = noticed + stop;
    let mut status = None;
    while status.is_none() && Instant::now() < kill_at {
        let wait = Duration::from_millis(random.generate_range(1..400));
        let until = (Instant::now() + wait).min(kill_at);
        let left = until.saturating_duration_since(Instant::now());
        let ended = timeout(left, process.child().wait()).await;
        status = ended.ok().and_then(Result::ok);
        if status.is_none() && until < kill_at {
            let count = random.generate_range(1..5);
            signals += signals::series(process, random, &kinds, count).await;
        }
    }
    if status.is_none() {
        sleep_until(kill_at).await;
        process.signal(Signal::KILL);
    }
    Drain {
        exit: status.and_then(|status| status.code()),
        took: noticed.elapsed(),
        signals,
    }
}

/// A server that clients used until its end.
pub struct Used<'a> {
    /// What it is.
    pub name: &'static str,
    /// What its clients saw.
    pub log: &'a ClientLog,
    /// How it ended.
    pub drain: Drain,
    /// Requests that it read, by its own counters; none if it printed none.
    pub read: Option<u64>,
    /// Of their answers, those that it counts as cut off by the end of its drain.
    pub cut_off: u64,
    /// What the agent behind it saw.
    pub agent_history: &'a Path,
}

impl Used<'_> {
    /// Adds to a report what was seen, and what did not hold.
    ///
    /// # Errors
    /// If the agent's history cannot be read.
    pub fn judge(self, report: &mut SoakReport) -> io::Result<()> {
        let (log, name) = (self.log, self.name);
        let unfinished = log.unfinished.borrow().clone();
        let finals = log.finals.get();
        report.asked += log.asked.get();
        report.finals += finals;
        report.never_read += unfinished.len() as u64;
        report.signals += self.drain.signals;
        let drain_ms = self.drain.took.as_millis() as u64;
        report.drain_ms = report.drain_ms.max(drain_ms);
        let unasked = log.unasked.get();
        if unasked > 0 {
            let detail = format!("{name}: {unasked} answers to no open request");
            report.violate("answer-twice", detail);
        }
        if self.drain.exit != Some(0) {
            let detail = format!(
                "{name}: exit code {:?} after {drain_ms} ms",
                self.drain.exit
            );
            report.violate("drain-not-ended", detail);
        }
        self.judge_answers(unfinished.len(), report);
        let mut seen = log.seen.borrow().clone();
        // Proved by the counters to be unread, or told above; some may have run if answers are counted as cut off.
        if self.cut_off > 0 {
            abandon(&mut seen, &unfinished);
        }
        let is_unread = |event: &Event| matches!(event, Event::Requested { request, .. } if unfinished.contains(request));
        seen.retain(|one| self.cut_off > 0 || !is_unread(&one.event));
        let agent = fs::read(self.agent_history)?;
        let (runs, _) = history::read_history(BufReader::new(&agent[..]))
            .map_err(|error| io::Error::other(error.reason))?;
        report.runs += runs.len() as u64;
        number_lines(&mut seen, runs);
        for violation in check(&seen).violations.iter().take(3) {
            report.violate("rules", format!("{name}: {violation}"));
        }
        Ok(())
    }

    /// Holds the answers that the server counts against those that its clients read, `unfinished` requests without one.
    fn judge_answers(&self, unfinished: usize, report: &mut SoakReport) {
        let (log, name, finals) = (self.log, self.name, self.log.finals.get());
        let cut_in_frame = log.cut_in_frame.get();
        if cut_in_frame > 0 && self.cut_off == 0 {
            let detail = format!("{name}: {cut_in_frame} streams");
            report.violate("stream-cut-in-frame", detail);
        }
        match self.read {
            Some(read) => {
                report.read += read;
                report.cut_off += self.cut_off;
                if finals > read || finals + self.cut_off < read {
                    let detail = format!(
                        "{name}: {read} requests read, {finals} answered, {} counted as cut off",
                        self.cut_off
                    );
                    report.violate("answer-lost", detail);
                }
            }
            None if unfinished == 0 => {}
            None => {
                let detail = format!("{name}: {unfinished} without an answer, no counters");
                report.violate("answer-lost", detail);
            }
        }
    }
}

/// Ends requests of which nothing is known.
fn abandon(seen: &mut Vec<Observation>, requests: &[String]) {
    let ends = requests.iter().map(|request| Observation {
        at: now(),
        observer: "client".to_owned(),
        line: 0,
        event: Event::Ended {
            request: request.clone(),
            end: RequestEnd::Abandoned,
            result: None,
        },
    });
    seen.extend(ends);
}

fn number_lines(seen: &mut Vec<Observation>, more: Vec<Observation>) {
    seen.extend(more);
    for (at, one) in seen.iter_mut().enumerate() {
        one.line = at + 1;
    }
}
