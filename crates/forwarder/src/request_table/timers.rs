//! Attempt timeouts and backoff timers, in one heap.
//!
//! A timer is not cancelled when its attempt ends: it stays in the heap and has no effect when it fires. Stale timers
//! are removed when the heap grows too large for the number of requests.

use super::{AttemptId, InFlightRequest};
use crate::ForwarderContext;
use foldhash::HashMap;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::sleep_until;

/// Number of timers that the heap may hold regardless of the number of requests.
const MIN_TIMER_CAPACITY: usize = 1_024;
/// Further timers per request in flight before those of ended attempts are removed.
const MAX_TIMERS_PER_REQUEST: usize = 4;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due: Instant,
    id: AttemptId,
}

/// Timers of attempts, earliest first.
#[derive(Default)]
pub(super) struct AttemptTimers {
    heap: RefCell<BinaryHeap<Reverse<Timer>>>,
    /// Notified when a timer is scheduled that is due before all others.
    earlier_scheduled: Notify,
}

impl AttemptTimers {
    pub(super) fn schedule(
        &self,
        after: Duration,
        id: AttemptId,
        requests: &HashMap<u64, InFlightRequest>,
    ) {
        let due = Instant::now() + after;
        let mut heap = self.heap.borrow_mut();
        let is_earliest = heap.peek().is_none_or(|Reverse(first)| due < first.due);
        if heap.len() > MIN_TIMER_CAPACITY + MAX_TIMERS_PER_REQUEST * requests.len() {
            heap.retain(|Reverse(timer)| is_current(requests, timer.id));
        }
        heap.push(Reverse(Timer { due, id }));
        if is_earliest {
            self.earlier_scheduled.notify_one();
        }
    }

    fn next_due(&self) -> Option<Instant> {
        self.heap.borrow().peek().map(|Reverse(timer)| timer.due)
    }

    fn pop(&self) -> Option<AttemptId> {
        self.heap.borrow_mut().pop().map(|Reverse(timer)| timer.id)
    }
}

fn is_current(requests: &HashMap<u64, InFlightRequest>, id: AttemptId) -> bool {
    requests
        .get(&id.request)
        .is_some_and(|request| request.current_attempt == id.attempt)
}

/// Fires timers when they are due; runs as long as the forwarder.
pub(crate) async fn run_timers(context: Rc<ForwarderContext>) {
    let timers = &context.requests.timers;
    loop {
        match timers.next_due() {
            None => timers.earlier_scheduled.notified().await,
            Some(due) if due > Instant::now() => {
                tokio::select! {
                    () = sleep_until(due.into()) => {}
                    () = timers.earlier_scheduled.notified() => {}
                }
            }
            Some(_) => {
                if let Some(id) = timers.pop() {
                    context.on_timer(id);
                }
            }
        }
    }
}
