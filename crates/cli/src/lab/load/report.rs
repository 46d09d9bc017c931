//! Reports the figures of a load, measured on sockets or simulated by the model.

use super::client::LoadClient;
use crate::output::{json, line};
use hdrhistogram::Histogram;
use rainstand_fleet_model::measure::Measured;
use serde_json::json;
use std::io;

/// The printed quantiles of times.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];

/// Shares of all requests by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeShares {
    in_time: f64,
    served: f64,
    rejected: f64,
    failed: f64,
}

/// One row of the report.
pub(super) struct Figures {
    source: &'static str,
    shares: OutcomeShares,
    /// Times of served requests at [`QUANTILES`].
    times_ms: [f64; 4],
}

impl Figures {
    /// A row of zeros.
    pub(super) fn new(source: &'static str) -> Self {
        Self {
            source,
            shares: OutcomeShares::default(),
            times_ms: [0.0; 4],
        }
    }

    /// The figures that the client measured.
    pub(super) fn measured(client: &LoadClient) -> Self {
        let counts = client.counts();
        let share = |part: u64| part as f64 / counts.requests.max(1) as f64;
        let times = client.times.borrow();
        Self {
            source: "sockets",
            shares: OutcomeShares {
                in_time: share(counts.in_time),
                served: share(counts.served),
                rejected: share(counts.rejected),
                failed: share(counts.failed),
            },
            times_ms: QUANTILES.map(|quantile| quantile_ms(&times, quantile)),
        }
    }

    /// Adds the part of one model run to the mean of `runs` runs.
    pub(super) fn add_part(&mut self, measured: &Measured, runs: f64) {
        let jobs = measured.jobs();
        let share = |part: u64| part as f64 / jobs.asked.max(1) as f64 / runs;
        self.shares.in_time += share(jobs.good);
        self.shares.served += share(jobs.good + jobs.late);
        self.shares.rejected += share(jobs.dismissed);
        self.shares.failed += share(jobs.given_up);
        for (mean, quantile) in self.times_ms.iter_mut().zip(QUANTILES) {
            *mean += measured.time_ms(quantile) / runs;
        }
    }
}

/// A quantile, in ms, of a histogram of times in µs.
fn quantile_ms(times: &Histogram<u64>, quantile: f64) -> f64 {
    times.value_at_quantile(quantile) as f64 / 1e3
}

pub(super) fn print_json(figures: &[Figures], client: &LoadClient) -> io::Result<()> {
    let requests = client.counts().requests;
    for Figures {
        source,
        shares,
        times_ms: [p50, p90, p99, p999],
    } in figures
    {
        json(&json!({
            "of": source, "asked": requests, "in_time": shares.in_time, "honoured": shares.served,
            "dismissed": shares.rejected, "given_up": shares.failed,
            "p50_ms": p50, "p90_ms": p90, "p99_ms": p99, "p999_ms": p999,
        }))?;
    }
    Ok(())
}

pub(super) fn print_text(figures: &[Figures], client: &LoadClient) -> io::Result<()> {
    line(
        "          in time  honoured  dismissed  given up       p50       p90       p99      p999",
    )?;
    for row in figures {
        let OutcomeShares {
            in_time,
            served,
            rejected,
            failed,
        } = row.shares;
        let shares = [in_time, served, rejected, failed].map(|share| format!("{share:9.4}"));
        let times = row.times_ms.map(|ms| format!("{ms:7.1} ms"));
        line(&format!(
            "{:<8} {}  {}",
            row.source,
            shares.join(" "),
            times.concat()
        ))?;
    }
    let lateness = client.lateness.borrow();
    line(&format!(
        "{} tickets, sent late by {:.2} ms at the median, {:.2} at the 99th percentile",
        client.counts().requests,
        quantile_ms(&lateness, 0.5),
        quantile_ms(&lateness, 0.99)
    ))
}
