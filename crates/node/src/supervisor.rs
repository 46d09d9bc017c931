//! Supervision of tasks that run until the process exits.

use crate::context::NodeContext;
use crate::counters::count;
use crate::log_event;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause before a task that panicked is restarted: bounds the cost of one that panics repeatedly.
const RESTART_BACKOFF: Duration = Duration::from_millis(100);

/// Runs a task, and counts, logs and restarts it whenever it panics; returns once the task returns.
pub async fn supervise<F: Future<Output = ()> + 'static>(
    context: Rc<NodeContext>,
    name: &'static str,
    start: impl Fn() -> F,
) {
    while spawn_local(start()).await.is_err() {
        count(&context.counts.watches_again);
        log_event!("task_restarted", "panic in a task, restarted:", name = name);
        sleep(RESTART_BACKOFF).await;
    }
}
