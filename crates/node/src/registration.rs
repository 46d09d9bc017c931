//! Reports to the announce service, which lists the node for as long as it reports.

use crate::context::NodeContext;
use crate::counters::count;
use crate::{descriptors, downstream, log_event};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Time between reports: four fit in the 3 s after which the service delists a silent node.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);

/// Pause after a failed report.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Time limit of one report, including its connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Time without an answer after which the service counts as down: the time after which it delists a silent node.
const DOWN_AFTER: Duration = Duration::from_secs(3);

/// Status of the reply to an accepted report: no content.
const STATUS_ACCEPTED: u16 = 204;

/// The outcome of a report.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportOutcome {
    Accepted,
    /// Not answered in time; it may have been sent.
    Unanswered,
    Failed,
}

/// The connection to the service, and whether the service is known to be down.
struct Reporter {
    /// Reused between reports.
    stream: Option<TcpStream>,
    /// The address that the connection leads to.
    address: Option<SocketAddr>,
    is_down: bool,
    last_answer: Instant,
}

/// Reports until the node drains, and then stops, so that the node is delisted. If the service evaluates the reported
/// health, a last report of `false` precedes; otherwise it would only keep the node listed for longer.
pub async fn keep_reporting(context: Rc<NodeContext>) {
    let mut reporter = Reporter {
        stream: None,
        address: None,
        is_down: false,
        last_answer: Instant::now(),
    };
    loop {
        let Some(address) = reporter.follow(context.peer_addresses.get().announce) else {
            context.report_wakeup.notified().await;
            continue;
        };
        let is_draining = context.draining_since.get().is_some();
        if is_draining && !context.registry_follows_health.get() {
            return;
        }
        let is_accepting = !is_draining && context.core.borrow().table.healthy;
        let outcome = reporter.report(&context, address, is_accepting).await;
        if is_draining && outcome == ReportOutcome::Accepted {
            return;
        }
        tokio::select! {
            () = sleep(pause_after(outcome)) => {}
            () = context.report_wakeup.notified() => {}
        }
    }
}

/// How long to wait before the next report.
fn pause_after(outcome: ReportOutcome) -> Duration {
    match outcome {
        ReportOutcome::Accepted => REPORT_INTERVAL,
        ReportOutcome::Unanswered => REPORT_INTERVAL.saturating_sub(REPORT_TIMEOUT),
        ReportOutcome::Failed => RETRY_BACKOFF,
    }
}

impl Reporter {
    /// Drops the connection if the configured address has changed. The service might still answer at its old address
    /// for a while.
    fn follow(&mut self, address: Option<SocketAddr>) -> Option<SocketAddr> {
        if std::mem::replace(&mut self.address, address) != address {
            self.stream = None;
        }
        address
    }

    /// Sends one report, counts its outcome, and logs if the service went down or came up.
    async fn report(
        &mut self,
        context: &NodeContext,
        address: SocketAddr,
        is_accepting: bool,
    ) -> ReportOutcome {
        let exchange = self.exchange(context, address, is_accepting);
        let result = timeout(REPORT_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(io::ErrorKind::TimedOut.into()));
        let counts = &context.counts;
        let (outcome, counter) = match &result {
            Ok(_) => (ReportOutcome::Accepted, &counts.announced),
            // The report may have arrived although its answer is missing, so it is not counted as failed.
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                (ReportOutcome::Unanswered, &counts.announce_unanswered)
            }
            Err(_) => (ReportOutcome::Failed, &counts.announce_errors),
        };
        count(counter);
        match result {
            Ok(stream) => {
                self.stream = stream;
                self.on_answer();
            }
            Err(error) => {
                self.stream = None;
                self.on_no_answer(&error);
            }
        }
        outcome
    }

    /// Sends one report on the cached connection or a new one; returns the connection if it can be reused.
    async fn exchange(
        &mut self,
        context: &NodeContext,
        address: SocketAddr,
        is_accepting: bool,
    ) -> io::Result<Option<TcpStream>> {
        let body = format!("{{\"accepting\":\"{is_accepting}\"}}");
        let request = format!(
            "PUT /announce/{} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {}\r\n\r\n{body}",
            context.config.name,
            body.len()
        );
        let stream = if let Some(stream) = self.stream.take() {
            stream
        } else {
            let connect = || TcpStream::connect(address);
            descriptors::with_retry(context, "announce", connect).await?
        };
        let reply = downstream::exchange(&stream, request.as_bytes(), None).await?;
        let reply = reply.head;
        if reply.status != STATUS_ACCEPTED {
            return Err(io::Error::other(format!("status {}", reply.status)));
        }
        Ok((!reply.closes).then_some(stream))
    }

    fn on_answer(&mut self) {
        self.last_answer = Instant::now();
        if std::mem::take(&mut self.is_down) {
            log_event!("announce_up", "announce up");
        }
    }

    /// Logs once that the service is down; a single missing answer is not logged.
    fn on_no_answer(&mut self, error: &io::Error) {
        if !self.is_down && self.last_answer.elapsed() > DOWN_AFTER {
            self.is_down = true;
            log_event!("announce_down", "announce down", why = error);
        }
    }
}
