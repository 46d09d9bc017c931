//! One keyed ticket at the node that it came to: what is done at each step. A table, for the node and for the
//! simulation alike.
//!
//! | stage | it means |
//! | --- | --- |
//! | asking | its start is being agreed on; nothing was launched |
//! | waiting | another claim runs its key; nothing was launched here |
//! | running | granted and launched: from here on it may have had its effect |
//! | keeping | it ran; its result is being agreed on, and the answer waits for that |
//!
//! From asking and waiting a ticket may be dismissed, as nothing of it ran. From running and keeping it is answered with its
//! own result, or given up.

use crate::idempotency::ClaimOutcome;
use bytes::Bytes;
use rainstand_raft::plant::planted;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    Asking,
    Waiting,
    Running,
    Keeping,
}

/// How a run ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum End {
    Result(Bytes),
    /// It may have had its effect.
    Failed,
    /// It is proved that nothing ran.
    NeverRan,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The group told it of its start, or of its result.
    Told(ClaimOutcome),
    /// The group told nothing final within its time.
    TimedOut,
    Ended(End),
    /// The caller left, or was answered meanwhile: nothing is owed.
    Left,
}

/// What is to be done. At most one of the answers comes of one ticket.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Act {
    Nothing,
    Launch,
    /// Agree on the run's result, then answer.
    Keep(Bytes),
    Answer(Bytes),
    /// Nothing of it ran: come back later, or, `nowhere`, not with this body.
    Dismiss {
        nowhere: bool,
    },
    /// It may have had its effect.
    GiveUp,
    /// Given up, and the group is told that no result will come.
    Fail,
    /// Nothing was launched, and the group is told so.
    Withdraw,
    /// Given up unrun, and the group is told so.
    Refuse,
}

/// The next stage, none once the ticket is over here, and what is to be done.
pub fn step(stage: Stage, event: Event) -> (Option<Stage>, Act) {
    use {Event::*, Stage::*};
    match (stage, event) {
        (Asking | Waiting, Told(self::ClaimOutcome::Granted)) => (Some(Running), Act::Launch),
        (Asking | Waiting, Told(self::ClaimOutcome::Completed(result))) => {
            (None, Act::Answer(result))
        }
        (Asking, Told(self::ClaimOutcome::InProgress)) if planted("early-launch") => {
            (Some(Running), Act::Launch)
        }
        (Asking | Waiting, Told(self::ClaimOutcome::InProgress)) => (Some(Waiting), Act::Nothing),
        (Asking | Waiting, Told(self::ClaimOutcome::Indeterminate)) => (None, Act::GiveUp),
        (Asking | Waiting, Told(self::ClaimOutcome::KeyMismatch)) => {
            (None, Act::Dismiss { nowhere: true })
        }
        (
            Asking | Waiting,
            Told(
                self::ClaimOutcome::Withdrawn
                | self::ClaimOutcome::CapacityExceeded
                | self::ClaimOutcome::NotHeld,
            ),
        ) => (None, Act::Dismiss { nowhere: false }),
        (Asking, TimedOut) => (None, Act::Dismiss { nowhere: false }),
        // Another has it: the key may have had its effect, which a caller that comes back should not take for not run.
        (Waiting, TimedOut) => (None, Act::GiveUp),
        (Asking | Waiting, Left) => (None, Act::Withdraw),
        (Running, Ended(End::Result(result))) => (Some(Keeping), Act::Keep(result)),
        (Running, Ended(End::Failed)) => (None, Act::Fail),
        (Running, Ended(End::NeverRan)) => (None, Act::Refuse),
        // The run goes on, and what it brings is kept for repeats.
        (Running, Left | TimedOut) => (Some(Running), Act::Nothing),
        (Keeping, Told(self::ClaimOutcome::Recorded)) => (None, Act::Answer(Bytes::new())),
        (
            Keeping,
            Told(self::ClaimOutcome::NotHeld | self::ClaimOutcome::CapacityExceeded) | TimedOut,
        ) => (None, Act::GiveUp),
        (Keeping, Left) => (Some(Keeping), Act::Nothing),
        // Told twice, or of a stage that is over: nothing follows.
        (stage, Told(_) | Ended(_)) => (Some(stage), Act::Nothing),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::{HashSet, VecDeque};

    fn events() -> Vec<Event> {
        let r = Bytes::from_static(b"R");
        let mut all: Vec<Event> = [
            ClaimOutcome::Granted,
            ClaimOutcome::Completed(r.clone()),
            ClaimOutcome::InProgress,
            ClaimOutcome::Indeterminate,
            ClaimOutcome::KeyMismatch,
            ClaimOutcome::Withdrawn,
            ClaimOutcome::CapacityExceeded,
            ClaimOutcome::Recorded,
            ClaimOutcome::NotHeld,
        ]
        .map(Event::Told)
        .to_vec();
        all.extend([Event::TimedOut, Event::Left]);
        all.extend([End::Result(r), End::Failed, End::NeverRan].map(Event::Ended));
        all
    }

    /// Over all orders of events: one launch at most, one answer at most, no dismissal after a launch, and an answer
    /// with a result only where one was told or brought.
    #[test]
    fn no_order_of_events_breaks_a_rule() {
        // Stage, launched, answered, a result was told or kept.
        let mut seen = HashSet::new();
        let mut open = VecDeque::from([(Some(Stage::Asking), false, false, false)]);
        let mut steps = 0;
        while let Some((stage, launched, answered, known)) = open.pop_front() {
            let Some(stage) = stage else { continue };
            for event in events() {
                let ended = matches!(event, Event::Ended(_));
                if ended && !launched {
                    continue;
                }
                steps += 1;
                let known = known
                    || matches!(
                        event,
                        Event::Told(ClaimOutcome::Completed(_)) | Event::Ended(End::Result(_))
                    );
                let (next, act) = step(stage, event.clone());
                let (mut launched, mut answered) = (launched, answered);
                match act {
                    Act::Launch => {
                        assert!(!launched, "{stage:?} {event:?}");
                        launched = true;
                    }
                    Act::Dismiss { .. } | Act::Withdraw => {
                        assert!(
                            !launched && !answered && next.is_none(),
                            "{stage:?} {event:?}"
                        );
                        answered = true;
                    }
                    Act::Answer(_) => {
                        assert!(!answered && known && next.is_none(), "{stage:?} {event:?}");
                        answered = true;
                    }
                    Act::GiveUp | Act::Fail | Act::Refuse => {
                        assert!(!answered && next.is_none(), "{stage:?} {event:?}");
                        answered = true;
                    }
                    Act::Keep(_) => assert!(launched),
                    Act::Nothing => assert!(next.is_some(), "{stage:?} {event:?}"),
                }
                let state = (next, launched, answered, known);
                if seen.insert(state) {
                    open.push_back(state);
                }
            }
        }
        assert!(
            steps > 40 && seen.iter().any(|s| s.0 == Some(Stage::Keeping)),
            "{steps} {seen:?}"
        );
    }
}
