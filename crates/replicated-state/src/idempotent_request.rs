//! The state machine of one idempotent request at the node that received it, shared by the node and the simulation.
//!
//! | stage | meaning |
//! | --- | --- |
//! | claiming | the claim of its key is being replicated; nothing was launched |
//! | awaiting other | another claim runs the key; nothing was launched here |
//! | running | the claim was granted and the run launched: from here on it may have had its effect |
//! | replicating | the run ended; its result is being replicated, and the response waits for that |
//!
//! Invariants: a request is launched at most once and answered at most once. It is rejected only while nothing was
//! launched; after that it is answered with its own result, or failed.

use crate::idempotency::ClaimOutcome;
use bytes::Bytes;
use rainstand_raft::plant::planted;

/// Stage of a request that has not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestStage {
    /// The claim of its key is being replicated.
    Claiming,
    /// Another claim runs the key.
    AwaitingOther,
    /// The run was launched.
    Running,
    /// The run's result is being replicated.
    Replicating,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    /// With a result.
    Result(Bytes),
    /// Without a result; it may have had its effect.
    Failed,
    /// It is certain that nothing ran.
    NeverRan,
}

/// Something that happened to a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequestEvent {
    /// The group reported the outcome of its claim, or of replicating its result.
    Outcome(ClaimOutcome),
    /// The group reported no final outcome in time.
    TimedOut,
    /// The run ended.
    RunFinished(RunEnd),
    /// The caller left, or was answered by other means: no response is due.
    CallerLeft,
}

/// What is to be done for a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RequestAction {
    /// Nothing.
    None,
    /// Launch the run.
    Launch,
    /// Replicate the run's result, then respond.
    ReplicateResult(Bytes),
    /// Respond with this result; it is empty if the node holds the result itself.
    Respond(Bytes),
    /// Reject: nothing ran.
    Reject {
        /// Whether a retry with the same body would be rejected too.
        permanent: bool,
    },
    /// Fail: the run may have had its effect.
    Fail,
    /// Fail, and record in the group that no result will come.
    FailAndRecord,
    /// Withdraw the claim in the group: nothing was launched, and no response is due.
    Withdraw,
    /// Fail, and release the claim in the group: nothing ran.
    FailAndRelease,
}

/// What follows from an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Transition {
    /// The next stage; none once the request is finished here.
    pub next: Option<RequestStage>,
    /// What is to be done.
    pub action: RequestAction,
}

impl Transition {
    fn to(next: RequestStage, action: RequestAction) -> Self {
        Self {
            next: Some(next),
            action,
        }
    }

    fn finish(action: RequestAction) -> Self {
        Self { next: None, action }
    }

    fn stay(stage: RequestStage) -> Self {
        Self::to(stage, RequestAction::None)
    }
}

/// What follows from an event at a stage.
pub fn transition(stage: RequestStage, event: RequestEvent) -> Transition {
    match stage {
        RequestStage::Claiming | RequestStage::AwaitingOther => before_launch(stage, event),
        RequestStage::Running => while_running(event),
        RequestStage::Replicating => while_replicating(&event),
    }
}

fn before_launch(stage: RequestStage, event: RequestEvent) -> Transition {
    let outcome = match event {
        RequestEvent::Outcome(outcome) => outcome,
        RequestEvent::TimedOut if stage == RequestStage::Claiming => {
            return Transition::finish(RequestAction::Reject { permanent: false });
        }
        // The other claim's run may have had its effect: the caller must not take the request for not run.
        RequestEvent::TimedOut => return Transition::finish(RequestAction::Fail),
        RequestEvent::CallerLeft => return Transition::finish(RequestAction::Withdraw),
        RequestEvent::RunFinished(_) => return Transition::stay(stage),
    };
    match outcome {
        ClaimOutcome::Granted => Transition::to(RequestStage::Running, RequestAction::Launch),
        ClaimOutcome::Completed(result) => Transition::finish(RequestAction::Respond(result)),
        ClaimOutcome::InProgress if stage == RequestStage::Claiming && planted("early-launch") => {
            Transition::to(RequestStage::Running, RequestAction::Launch)
        }
        ClaimOutcome::InProgress => Transition::stay(RequestStage::AwaitingOther),
        ClaimOutcome::Indeterminate => Transition::finish(RequestAction::Fail),
        ClaimOutcome::KeyMismatch => Transition::finish(RequestAction::Reject { permanent: true }),
        ClaimOutcome::Withdrawn | ClaimOutcome::CapacityExceeded | ClaimOutcome::NotHeld => {
            Transition::finish(RequestAction::Reject { permanent: false })
        }
        // These are no outcomes of a claim.
        ClaimOutcome::Recorded | ClaimOutcome::Conflict(_) | ClaimOutcome::Rejected(_) => {
            Transition::stay(stage)
        }
    }
}

fn while_running(event: RequestEvent) -> Transition {
    match event {
        RequestEvent::RunFinished(RunEnd::Result(result)) => Transition::to(
            RequestStage::Replicating,
            RequestAction::ReplicateResult(result),
        ),
        RequestEvent::RunFinished(RunEnd::Failed) => {
            Transition::finish(RequestAction::FailAndRecord)
        }
        RequestEvent::RunFinished(RunEnd::NeverRan) => {
            Transition::finish(RequestAction::FailAndRelease)
        }
        // The run continues, and its result is replicated for repeats. A repeated outcome changes nothing.
        RequestEvent::CallerLeft | RequestEvent::TimedOut | RequestEvent::Outcome(_) => {
            Transition::stay(RequestStage::Running)
        }
    }
}

fn while_replicating(event: &RequestEvent) -> Transition {
    match event {
        RequestEvent::Outcome(ClaimOutcome::Recorded) => {
            Transition::finish(RequestAction::Respond(Bytes::new()))
        }
        RequestEvent::Outcome(ClaimOutcome::NotHeld | ClaimOutcome::CapacityExceeded)
        | RequestEvent::TimedOut => Transition::finish(RequestAction::Fail),
        RequestEvent::CallerLeft | RequestEvent::Outcome(_) | RequestEvent::RunFinished(_) => {
            Transition::stay(RequestStage::Replicating)
        }
    }
}
