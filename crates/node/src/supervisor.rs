//! Tasks that go on for as long as the process lives.

use crate::context::NodeContext;
use crate::counters::count;
use crate::log_event;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Before a task that panicked is restarted: it costs little, however often it panics.
const RESTART_BACKOFF: Duration = Duration::from_millis(100);

/// Runs a task, and restarts it whenever it panics, which is counted and logged; one that returns is done.
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
