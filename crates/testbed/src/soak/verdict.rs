//! Drain and kill of a server that clients keep using, and the checks that follow.

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

/// How a server ended after a drain signal.
pub struct Drain {
    /// Exit code; none if the server was killed.
    pub exit_code: Option<i32>,
    /// Time from the first signal to the exit.
    pub duration: Duration,
    /// Number of signals sent.
    pub signals: u64,
}

/// Sends drain signals in series, in some runs while the process is stopped, and kills the process exactly
/// `drain_timeout` after the first one.
pub async fn drain_until_kill(
    process: &mut Process,
    random: &mut WyRand,
    drain_timeout: Duration,
) -> Drain {
    let is_paused = random.generate_range(0..4u32) == 0;
    if is_paused {
        process.signal(Signal::STOP);
    }
    let first = [Signal::TERM, Signal::INT][random.generate_range(0..2usize)];
    let drain_started = Instant::now();
    process.signal(first);
    let mut signals = 1;
    if is_paused {
        sleep(Duration::from_millis(random.generate_range(5..100))).await;
        process.signal(Signal::CONT);
        signals += 2;
    }
    let kinds = [Signal::TERM, Signal::INT, Signal::HUP, Signal::USR1];
    let kill_at = drain_started + drain_timeout;
    let mut status = None;
    while status.is_none() && Instant::now() < kill_at {
        let wait = Duration::from_millis(random.generate_range(1..400));
        let until = (Instant::now() + wait).min(kill_at);
        let left = until.saturating_duration_since(Instant::now());
        let ended = timeout(left, process.child().wait()).await;
        status = ended.ok().and_then(Result::ok);
        if status.is_none() && until < kill_at {
            let count = random.generate_range(1..5);
            signals += signals::send_series(process, random, &kinds, count).await;
        }
    }
    if status.is_none() {
        sleep_until(kill_at).await;
        process.signal(Signal::KILL);
    }
    Drain {
        exit_code: status.and_then(|status| status.code()),
        duration: drain_started.elapsed(),
        signals,
    }
}

/// A server that clients used until its exit.
pub struct DrainedServer<'a> {
    /// Kind of the server.
    pub name: &'static str,
    /// Observations of its clients.
    pub log: &'a ClientLog,
    /// How the server ended.
    pub drain: Drain,
    /// Requests that the server read, by its own counters; none if it printed none.
    pub requests_read: Option<u64>,
    /// Answers to these requests that the server counts as cut off by the end of its drain.
    pub cut_off: u64,
    /// History of the agent behind the server.
    pub agent_history: &'a Path,
}

impl DrainedServer<'_> {
    /// Adds the results and the failed checks to a report.
    ///
    /// # Errors
    /// If the agent's history cannot be read.
    pub fn verify(self, report: &mut SoakReport) -> io::Result<()> {
        let (log, name) = (self.log, self.name);
        let unfinished = log.unfinished.borrow().clone();
        let answers = log.answers.get();
        report.requests += log.requests.get();
        report.answers += answers;
        report.never_read += unfinished.len() as u64;
        report.signals += self.drain.signals;
        let drain_ms = self.drain.duration.as_millis() as u64;
        report.drain_ms = report.drain_ms.max(drain_ms);
        let unexpected = log.unexpected_answers.get();
        if unexpected > 0 {
            let detail = format!("{name}: {unexpected} answers without an open request");
            report.add_violation("answer-twice", detail);
        }
        if self.drain.exit_code != Some(0) {
            let detail = format!(
                "{name}: exit code {:?} after {drain_ms} ms",
                self.drain.exit_code
            );
            report.add_violation("drain-not-ended", detail);
        }
        self.verify_answers(unfinished.len(), report);
        let mut observations = log.observations.borrow().clone();
        // The counters prove that unfinished requests are unread, or a violation was added above. Some may have run if
        // answers are counted as cut off.
        if self.cut_off > 0 {
            record_abandoned(&mut observations, &unfinished);
        }
        let is_unread = |event: &Event| matches!(event, Event::Requested { request, .. } if unfinished.contains(request));
        observations.retain(|entry| self.cut_off > 0 || !is_unread(&entry.event));
        let agent = fs::read(self.agent_history)?;
        let (runs, _) = history::read_history(BufReader::new(&agent[..]))
            .map_err(|error| io::Error::other(error.reason))?;
        report.runs += runs.len() as u64;
        number_lines(&mut observations, runs);
        for violation in check(&observations).violations.iter().take(3) {
            report.add_violation("rules", format!("{name}: {violation}"));
        }
        Ok(())
    }

    /// Compares the answers that the server counts with those that its clients read; `unfinished` requests have none.
    fn verify_answers(&self, unfinished: usize, report: &mut SoakReport) {
        let (log, name, answers) = (self.log, self.name, self.log.answers.get());
        let cut_in_frame = log.cut_in_frame.get();
        if cut_in_frame > 0 && self.cut_off == 0 {
            let detail = format!("{name}: {cut_in_frame} streams");
            report.add_violation("stream-cut-in-frame", detail);
        }
        match self.requests_read {
            Some(requests_read) => {
                report.requests_read += requests_read;
                report.cut_off += self.cut_off;
                if answers > requests_read || answers + self.cut_off < requests_read {
                    let detail = format!(
                        "{name}: {requests_read} requests read, {answers} answered, {} counted as cut off",
                        self.cut_off
                    );
                    report.add_violation("answer-lost", detail);
                }
            }
            None if unfinished == 0 => {}
            None => {
                let detail = format!(
                    "{name}: {unfinished} requests without an answer, no counters in the log"
                );
                report.add_violation("answer-lost", detail);
            }
        }
    }
}

/// Records requests with an unknown outcome as abandoned.
fn record_abandoned(observations: &mut Vec<Observation>, requests: &[String]) {
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
    observations.extend(ends);
}

fn number_lines(observations: &mut Vec<Observation>, more: Vec<Observation>) {
    observations.extend(more);
    for (index, observation) in observations.iter_mut().enumerate() {
        observation.line = index + 1;
    }
}
