//! The queue of events on the virtual clock, and the dispatch of each event to its handler.

use super::Simulation;
use rainstand_replicated_state::frames::Frame;
use rainstand_replicated_state::member::GroupMember;
use std::cmp::Ordering;

/// Kind of an event. Events with an incarnation are dropped if the node has started or stopped since.
#[derive(Clone, Debug)]
pub(super) enum EventKind {
    /// A member's next deadline is reached.
    Wake { node: usize, incarnation: u64 },
    /// A frame reaches a member.
    Arrive {
        from: usize,
        to: usize,
        incarnation: u64,
        frame: Frame,
    },
    /// The disk has flushed all writes up to this number.
    Flushed {
        node: usize,
        incarnation: u64,
        number: u64,
    },
    /// A caller sends a request, with this key or a drawn one.
    SendRequest { key: Option<usize> },
    /// An agent has finished the run of a request.
    RunFinished { node: usize, request: usize },
    /// The agent's outcome reaches its node.
    OutcomeArrives { node: usize, request: usize },
    /// A request's deadline is reached.
    Deadline { request: usize },
    /// A fault is drawn and begins.
    BeginFault,
    /// A fault ends.
    EndFault { index: usize },
    /// A node whose disk failed is killed and restarted.
    RepairDisk { node: usize },
    /// A node is started.
    Start { node: usize },
    /// A connection is opened.
    Connect { from: usize, to: usize },
    /// The configuration removes this node; with `None`, it lists all nodes again.
    RemoveMember { node: Option<usize> },
    /// This node and some leader are partitioned from all others; with `None`, the node of a learner.
    Isolate { node: Option<usize> },
    /// A node is killed and restarted immediately.
    Bounce { node: usize },
}

/// An event with its time.
#[derive(Clone, Debug)]
pub(super) struct Event {
    pub(super) at: u64,
    /// Events of the same time are handled in the order in which they were scheduled.
    order: u64,
    pub(super) kind: EventKind,
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    /// The earliest event is the greatest, as `BinaryHeap` pops the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

impl Simulation {
    pub(super) fn schedule(&mut self, after: u64, kind: EventKind) {
        self.scheduled += 1;
        self.events.push(Event {
            at: self.now + after,
            order: self.scheduled,
            kind,
        });
    }

    pub(super) fn handle(&mut self, kind: EventKind) {
        match kind {
            EventKind::Wake { node, incarnation } => self.on_wake(node, incarnation),
            EventKind::Arrive {
                from,
                to,
                incarnation,
                frame,
            } => self.on_arrival(from, to, incarnation, frame),
            EventKind::Flushed {
                node,
                incarnation,
                number,
            } => {
                if self.is_running(node, incarnation) {
                    self.on_flushed(node, number);
                }
            }
            EventKind::SendRequest { key } => self.send_request(key),
            EventKind::RunFinished { node, request } => self.on_run_finished(node, request),
            EventKind::OutcomeArrives { node, request } => self.on_outcome(node, request),
            EventKind::Deadline { request } => self.on_deadline(request),
            EventKind::BeginFault => self.draw_fault(),
            EventKind::EndFault { index } => self.end_fault(index),
            EventKind::RepairDisk { node } => self.repair_disk(node),
            EventKind::Start { node } => self.start(node),
            EventKind::Connect { from, to } => self.connect(from, to),
            EventKind::RemoveMember { node } => self.remove_member(node),
            EventKind::Isolate { node } => self.isolate(node),
            EventKind::Bounce { node } => self.bounce(node),
        }
    }

    fn on_wake(&mut self, node: usize, incarnation: u64) {
        if !self.is_running(node, incarnation) {
            return;
        }
        let state = &mut self.nodes[node];
        if state.is_paused {
            let deferred = EventKind::Wake { node, incarnation };
            state.deferred.push_back(deferred);
            return;
        }
        state.next_wake = u64::MAX;
        self.call_member(node, GroupMember::tick);
    }
}
