//! The node's member of its group, and the runs of an earlier process whose keys were not found yet.

use crate::prior_runs::{PriorRun, PriorRuns};
use crate::request::Trace;
use bytes::Bytes;
use rainstand_cluster::ClusterMember;
use rainstand_replicated_state::idempotency::{Command, Operation};
use rainstand_replicated_state::idempotent_request::RunEnd;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Timeout of a command whose outcome is ignored.
pub(crate) const DETACHED_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between two attempts to find their keys.
const PRIOR_RUN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The request table's access to the group.
pub struct GroupHandle {
    member: Rc<ClusterMember>,
    prior_runs: RefCell<PriorRuns>,
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

    /// Records that a run of this process ended.
    pub(crate) fn on_own_run_ended(&self, trace: Trace) {
        self.prior_runs.borrow_mut().on_own_run_ended(trace);
    }

    /// Remembers a run that is not in the request table, as an earlier process may have launched it.
    pub(crate) fn remember_prior_run(&self, trace: Trace, end: RunEnd) {
        self.prior_runs
            .borrow_mut()
            .remember(trace, end, Instant::now());
    }

    /// Reports to the group how remembered runs ended, each once its key is found in the local replicated state.
    pub(crate) async fn report_prior_runs(self: Rc<Self>) {
        loop {
            sleep(PRIOR_RUN_POLL_INTERVAL).await;
            let prior_runs = self.prior_runs.borrow_mut().take();
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
        } else {
            self.prior_runs.borrow_mut().put_back(run, Instant::now());
        }
    }
}
