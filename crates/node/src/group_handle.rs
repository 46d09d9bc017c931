//! The node's member of its group, and the runs of an earlier process whose keys were not found yet.

use crate::request::Trace;
use bytes::Bytes;
use rainstand_cluster::ClusterMember;
use rainstand_replicated_state::idempotency::{Command, Operation};
use rainstand_replicated_state::idempotent_request::RunEnd;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Timeout of a command whose outcome is ignored.
pub(crate) const DETACHED_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of runs of an earlier process that are remembered until their keys were read from disk; the oldest is
/// dropped first.
const MAX_PRIOR_RUNS: usize = 4_000;

/// How long each of these runs is remembered.
const PRIOR_RUN_MAX_AGE: Duration = Duration::from_secs(30);

/// Interval between two attempts to find their keys.
const PRIOR_RUN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A run that the agent reported and this process did not launch.
struct PriorRun {
    trace: Trace,
    end: RunEnd,
    reported_at: Instant,
}

/// The request table's access to the group.
pub struct GroupHandle {
    member: Rc<ClusterMember>,
    prior_runs: RefCell<VecDeque<PriorRun>>,
}

impl GroupHandle {
    /// A handle to a member that has started.
    pub fn new(member: Rc<ClusterMember>) -> Self {
        Self {
            member,
            prior_runs: RefCell::default(),
        }
    }

    /// The group's member in this process.
    pub fn member(&self) -> &Rc<ClusterMember> {
        &self.member
    }

    /// A command about a key, on behalf of the request with this trace.
    pub(crate) fn command(&self, trace: &Trace, key: &Bytes, operation: Operation) -> Command {
        let claim = self.member.inspect(|member| member.claim(trace));
        Command {
            key: key.clone(),
            claim,
            operation: Some(operation),
        }
    }

    /// Sends a command whose outcome is ignored. If the member has no capacity for it, the key stays claimed until its
    /// window ends, and retries get the answer that the request may have run.
    pub(crate) fn send_detached(&self, trace: &Trace, key: &Bytes, operation: Operation) {
        let command = self.command(trace, key, operation);
        let _ = self
            .member
            .request(command, DETACHED_TIMEOUT, Rc::new(|_| {}));
    }

    /// Remembers a run that this process did not launch, as an earlier process may have launched it.
    pub(crate) fn remember_prior_run(&self, trace: Trace, end: RunEnd) {
        let mut prior_runs = self.prior_runs.borrow_mut();
        if prior_runs.len() >= MAX_PRIOR_RUNS {
            prior_runs.pop_front();
        }
        prior_runs.push_back(PriorRun {
            trace,
            end,
            reported_at: Instant::now(),
        });
    }

    /// Reports to the group how remembered runs ended, each once its key is found in the local replicated state.
    pub(crate) async fn report_prior_runs(self: Rc<Self>) {
        loop {
            sleep(PRIOR_RUN_POLL_INTERVAL).await;
            let prior_runs = std::mem::take(&mut *self.prior_runs.borrow_mut());
            for run in prior_runs {
                self.report_prior_run(run);
            }
        }
    }

    fn report_prior_run(&self, run: PriorRun) {
        let key = self
            .member
            .inspect(|member| member.key_claimed_here(&run.trace));
        if let Some(key) = key {
            let operation = match run.end {
                RunEnd::Result(result) => Operation::Done(result),
                RunEnd::Failed => Operation::Failed(true),
                RunEnd::NeverRan => Operation::Withdraw(true),
            };
            self.send_detached(&run.trace, &key, operation);
        } else if run.reported_at.elapsed() < PRIOR_RUN_MAX_AGE {
            self.prior_runs.borrow_mut().push_back(run);
        }
    }
}
