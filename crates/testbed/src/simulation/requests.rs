//! Callers, their requests, and the agents that run them.

use super::events::EventKind;
use super::{name, Sim, MS, START_WITHIN, WINDOW, WITHIN};
use crate::history::{End, Event as Seen, Seen as Line};
use bytes::Bytes;
use rainstand_replicated_state::idempotency::{Command, Operation, Start};
use rainstand_replicated_state::idempotent_request::{
    transition, RequestAction, RequestEvent, RequestStage, RunEnd, Transition,
};
use rainstand_replicated_state::member::GroupMember;
use rainstand_storage::Store;
use std::time::Duration;

pub(super) struct Request {
    pub(super) key: usize,
    pub(super) node: usize,
    pub(super) life: u64,
    pub(super) stage: Option<RequestStage>,
    pub(super) open: bool,
    /// Known only to the agent.
    pub(super) result: Option<String>,
    pub(super) asked: u64,
    pub(super) disturbed: bool,
}

impl Sim {
    // Callers, tickets and agents.

    pub(super) fn line(&mut self, by: String, event: Seen) {
        let line = self.out.history.len() + 1;
        self.out.history.push(Line {
            at: self.now,
            by,
            line,
            event,
        });
    }

    pub(super) fn ask(&mut self, key: Option<usize>) {
        let node = self.draw(self.world.nodes as u64) as usize;
        let repeat = self.draw(100) < 35 && !self.keys.is_empty();
        let key = key.unwrap_or_else(|| {
            if repeat {
                let back = self.draw(self.keys.len().min(30) as u64) as usize;
                self.keys[self.keys.len() - 1 - back]
            } else {
                self.keys.len()
            }
        });
        if !repeat {
            self.keys.push(key);
        } else if self.draw(3) == 0 {
            // The same key at several nodes at once.
            let also = self.draw(3 * MS);
            self.later(also, EventKind::Ask { key: Some(key) });
        }
        let Some(member) = &self.nodes[node].member else {
            return;
        };
        let (ticket, stopped) = (self.tickets.len(), self.nodes[node].stopped);
        let claim = member.claim(&(ticket as u128).to_be_bytes());
        // One in many comes with another body.
        let other = repeat && self.draw(20) == 0;
        let (sum, body) = if other { (2, "other") } else { (1, "body") };
        self.tickets.push(Request {
            key,
            node,
            life: self.nodes[node].life,
            stage: Some(RequestStage::Claiming),
            open: true,
            result: None,
            asked: self.now,
            disturbed: stopped,
        });
        let asked = Seen::Ask {
            ticket: format!("t{ticket}"),
            traffic: Some("register".into()),
            key: Some(format!("k{key}")),
            body: Some(body.into()),
            node: Some(name(node)),
            due: self.now + WITHIN,
        };
        self.line("caller".into(), asked);
        self.later(WITHIN, EventKind::Due { ticket });
        if stopped {
            return;
        }
        let start = Operation::Start(Start {
            fingerprint: sum,
            window_ns: WINDOW,
        });
        let command = Command {
            key: Bytes::from(format!("k{key}")),
            claim,
            operation: Some(start),
        };
        self.question(node, ticket, command, START_WITHIN);
    }

    fn question(&mut self, node: usize, ticket: usize, command: Command, within: u64) {
        let mut id = None;
        self.with_asked(node, ticket, |member, now| {
            id = member.request(now, command, now + Duration::from_nanos(within));
            id
        });
        if id.is_none() {
            self.step(ticket, RequestEvent::TimedOut);
        }
    }

    /// The question's number must be known before what follows from it is looked at.
    fn with_asked(
        &mut self,
        node: usize,
        ticket: usize,
        call: impl FnOnce(&mut GroupMember, Duration) -> Option<u64>,
    ) {
        let now = self.clock(node);
        let Some(member) = &mut self.nodes[node].member else {
            return;
        };
        let id = call(member, now);
        if let Some(id) = id {
            self.nodes[node].asked.insert(id, ticket);
        }
        self.with(node, |_, _| {});
    }

    pub(super) fn step(&mut self, ticket: usize, event: RequestEvent) {
        let Some(stage) = self.tickets[ticket].stage else {
            return;
        };
        let Transition { next, action: act } = transition(stage, event);
        self.tickets[ticket].stage = next;
        let node = self.tickets[ticket].node;
        match act {
            RequestAction::None => {}
            RequestAction::Launch => {
                let takes = MS + self.draw(8 * MS);
                self.later(takes, EventKind::RunEnds { node, ticket });
            }
            RequestAction::ReplicateResult(result) => {
                let left = (self.tickets[ticket].asked + WITHIN).saturating_sub(self.now);
                let command = self.command(ticket, Operation::Done(result));
                self.question(node, ticket, command, left.saturating_sub(20 * MS));
            }
            RequestAction::Respond(result) => {
                let own = self.tickets[ticket].result.clone();
                let result = own.unwrap_or_else(|| String::from_utf8_lossy(&result).into_owned());
                self.say(ticket, End::Answer, Some(result));
            }
            RequestAction::Reject { .. } | RequestAction::Withdraw => {
                self.say(ticket, End::Dismissed, None)
            }
            RequestAction::Fail | RequestAction::FailAndRecord | RequestAction::FailAndRelease => {
                self.say(ticket, End::GivenUp, None)
            }
        }
    }

    fn command(&self, ticket: usize, what: Operation) -> Command {
        let one = &self.tickets[ticket];
        let trace = (ticket as u128).to_be_bytes();
        let member = self.nodes[one.node].member.as_ref();
        let claim = member
            .map(|member| member.claim(&trace))
            .unwrap_or_default();
        Command {
            key: Bytes::from(format!("k{}", one.key)),
            claim,
            operation: Some(what),
        }
    }

    /// The agent goes on whatever becomes of its node.
    pub(super) fn run_ends(&mut self, node: usize, ticket: usize) {
        let result = format!("{}-{ticket}", name(node));
        let asked = self.out.history.iter().find_map(|line| match &line.event {
            Seen::Ask {
                ticket: t, body, ..
            } if *t == format!("t{ticket}") => body.clone(),
            _ => None,
        });
        let ran = Seen::Ran {
            key: Some(format!("k{}", self.tickets[ticket].key)),
            body: asked,
            result: Some(result.clone()),
        };
        self.line(format!("agent-{}", name(node)), ran);
        self.tickets[ticket].result = Some(result.clone());
        self.later(MS / 10, EventKind::Notice { node, ticket });
    }

    pub(super) fn notice(&mut self, node: usize, ticket: usize) {
        if self.nodes[node].member.is_none() {
            // Told again to the next start.
            return self.later(100 * MS, EventKind::Notice { node, ticket });
        }
        if self.nodes[node].stopped {
            return self.nodes[node]
                .waiting
                .push_back(EventKind::Notice { node, ticket });
        }
        let result = Bytes::from(self.tickets[ticket].result.clone().unwrap_or_default());
        if self.lives(node, self.tickets[ticket].life) {
            if let Some(identity) = self.nodes[node].store.as_ref().map(Store::identity) {
                *self
                    .charged
                    .entry((identity.disk, identity.incarnation))
                    .or_default() += 1 + ticket as u64 % 7;
            }
            if let Some(member) = &mut self.nodes[node].member {
                member.add_charge("acme", 1 + ticket as u64 % 7);
            }
            return self.step(ticket, RequestEvent::RunFinished(RunEnd::Result(result)));
        }
        // A run of an earlier start: its key is in the copies here, or nobody hears of it.
        let trace = (ticket as u128).to_be_bytes();
        let key = self.nodes[node]
            .member
            .as_ref()
            .and_then(|member| member.key_claimed_here(&trace));
        if key.is_some() {
            let command = self.command(ticket, Operation::Done(result));
            self.with(node, |member, now| {
                let _ = member.request(now, command, now + Duration::from_secs(5));
            });
        }
    }

    pub(super) fn due(&mut self, ticket: usize) {
        if !self.tickets[ticket].open {
            return;
        }
        if self.tickets[ticket].disturbed {
            return self.say(ticket, End::Gone, None);
        }
        // As the node's own alarm does, just in time.
        let launched = matches!(
            self.tickets[ticket].stage,
            Some(RequestStage::Running | RequestStage::Replicating | RequestStage::AwaitingOther)
        );
        self.say(
            ticket,
            if launched {
                End::GivenUp
            } else {
                End::Dismissed
            },
            None,
        );
        if !launched {
            self.tickets[ticket].stage = None;
        }
    }

    pub(super) fn say(&mut self, ticket: usize, end: End, result: Option<String>) {
        if std::mem::replace(&mut self.tickets[ticket].open, false) {
            self.line(
                "caller".into(),
                Seen::End {
                    ticket: format!("t{ticket}"),
                    end,
                    result,
                },
            );
        }
    }
}
