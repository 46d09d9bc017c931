//! Reports to the announce service: the node stays listed while it reports.

use crate::context::NodeContext;
use crate::counters::count;
use crate::{descriptors, downstream, log_event};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Between reports: four of them fit in the 3 s after which a silent node is struck off the list.
const REPORT_INTERVAL: Duration = Duration::from_millis(700);

/// After a report that failed.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// For one report, with its connection.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);

/// Without any answer for so long, the service counts as down: the time after which a silent node is struck off.
const DOWN_AFTER: Duration = Duration::from_secs(3);

/// The service's reply to a report that it took: no content.
const STATUS_ACCEPTED: u16 = 204;

/// What became of a report.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ReportOutcome {
    Accepted,
    /// Sent, perhaps, and not answered in time.
    Unanswered,
    Failed,
}

/// The connection to the service, and whether the service is known to be down.
struct Reporter {
    /// Cached between reports.
    stream: Option<TcpStream>,
    /// Where the connection goes.
    address: Option<SocketAddr>,
    is_down: bool,
    last_answer: Instant,
}

/// Reports until the node leaves, and then stops, so that it is struck off. Where the list follows the state, it
/// reports `false` once before; elsewhere that would only keep it on the list for longer.
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
        let is_leaving = context.leaving.get().is_some();
        if is_leaving && !context.registry_follows_health.get() {
            return;
        }
        let is_accepting = !is_leaving && context.core.borrow().table.healthy;
        let outcome = reporter.report(&context, address, is_accepting).await;
        if is_leaving && outcome == ReportOutcome::Accepted {
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
    /// Follows the service to its configured address. A connection to where it no longer is would still be answered
    /// for a while.
    fn follow(&mut self, address: Option<SocketAddr>) -> Option<SocketAddr> {
        if std::mem::replace(&mut self.address, address) != address {
            self.stream = None;
        }
        address
    }

    /// Sends one report, counts it, and logs where the service went down or came up.
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
            // A lost answer does not mean a lost report: what was sent and not answered counts.
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

    /// One report on the cached connection or a new one; the connection, where it can be used again.
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

    /// Logs, once, that the service is down; a single missing answer is not logged.
    fn on_no_answer(&mut self, error: &io::Error) {
        if !self.is_down && self.last_answer.elapsed() > DOWN_AFTER {
            self.is_down = true;
            log_event!("announce_down", "announce down", why = error);
        }
    }
}
