//! Links between members: connections, and frames that are lost, doubled and delayed.

use super::events::EventKind;
use super::faults::Fault;
use super::{name, Simulation, MS};
use prost::Message as _;
use rainstand_replicated_state::frames::{Frame, FrameBody};

/// Until a connection is tried again.
const RECONNECT_DELAY: u64 = 100 * MS;
/// The shortest way of a frame, and what a draw adds to it.
const MIN_DELAY: u64 = MS / 10;
const DELAY_JITTER: u64 = 2 * MS;
/// The same while links are slow.
const MIN_SLOW_DELAY: u64 = 20 * MS;
const SLOW_DELAY_JITTER: u64 = 120 * MS;
/// One frame in so many is lost, and one in so many comes twice, while links are lossy.
const LOSS_ODDS: u64 = 5;
const DUPLICATE_ODDS: u64 = 8;

impl Simulation {
    /// A connection is tried: once it passes, its opener says hello.
    pub(super) fn connect(&mut self, from: usize, to: usize) {
        if self.nodes[from].member.is_none() || self.nodes[to].member.is_none() {
            return;
        }
        if !self.passes(from, to) || self.nodes[from].is_paused {
            return self.schedule(RECONNECT_DELAY, EventKind::Connect { from, to });
        }
        self.call_member(from, |member, now| member.on_connected(now, &name(to)));
    }

    /// Whether frames of this direction pass all partitions.
    fn passes(&self, from: usize, to: usize) -> bool {
        self.faults.iter().flatten().all(|fault| match fault {
            Fault::Partition { sides, one_way } => {
                let side = |node: usize| sides >> node & 1;
                side(from) == side(to) || *one_way && side(from) == 1
            }
            _ => true,
        })
    }

    pub(super) fn send(&mut self, from: usize, to: usize, frame: &Frame) {
        let is_lossy = self.faults.contains(&Some(Fault::Lossy)) && may_be_lost(frame);
        let is_slow = self.faults.contains(&Some(Fault::Slow));
        if !self.passes(from, to)
            || self.nodes[to].member.is_none()
            || is_lossy && self.draw(LOSS_ODDS) == 0
        {
            return;
        }
        // A frame that passes the wire as bytes is what arrives.
        let frame = Frame::decode(&frame.encode_to_vec()[..]).unwrap_or_default();
        let is_duplicated = is_lossy && self.draw(DUPLICATE_ODDS) == 0;
        for _ in 0..if is_duplicated { 2 } else { 1 } {
            let delay = if is_slow {
                MIN_SLOW_DELAY + self.draw(SLOW_DELAY_JITTER)
            } else {
                MIN_DELAY + self.draw(DELAY_JITTER)
            };
            let incarnation = self.nodes[to].incarnation;
            let frame = frame.clone();
            self.schedule(
                delay,
                EventKind::Arrive {
                    from,
                    to,
                    incarnation,
                    frame,
                },
            );
        }
    }

    pub(super) fn on_arrival(&mut self, from: usize, to: usize, incarnation: u64, frame: Frame) {
        if !self.is_running(to, incarnation) {
            return;
        }
        if self.nodes[to].is_paused {
            let deferred = EventKind::Arrive {
                from,
                to,
                incarnation,
                frame,
            };
            self.nodes[to].deferred.push_back(deferred);
        } else if self.nodes[from].member.is_some() || self.draw(2) == 0 {
            // What a dead sender had under way may be lost with its connection.
            self.call_member(to, |member, now| member.on_frame(now, &name(from), frame));
        }
    }
}

/// A link that loses one of these breaks, and they are sent again when it is back.
fn may_be_lost(frame: &Frame) -> bool {
    !matches!(
        frame.body,
        Some(FrameBody::Hello(_) | FrameBody::StaleDisk(_) | FrameBody::Bootstrap(_))
    )
}

/// Whether a frame grants a vote.
pub(super) fn grants_vote(frame: &Frame) -> bool {
    let Some(FrameBody::Raft(raft)) = &frame.body else {
        return false;
    };
    matches!(
        &raft.message.body,
        Some(rainstand_raft::wire::Body::VoteResponse(response)) if response.granted && !response.pre_vote
    )
}
