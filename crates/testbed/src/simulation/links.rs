//! Links between members: connections, and loss, duplication and delay of frames.

use super::events::EventKind;
use super::faults::Fault;
use super::{name, Simulation, MS};
use prost::Message as _;
use rainstand_replicated_state::frames::{Frame, FrameBody};

/// Nanoseconds until a connection is retried.
const RECONNECT_DELAY: u64 = 100 * MS;
/// Shortest delay of a frame, in nanoseconds, and the upper bound of a drawn addition to it.
const MIN_DELAY: u64 = MS / 10;
const DELAY_JITTER: u64 = 2 * MS;
/// The same while links are slow.
const MIN_SLOW_DELAY: u64 = 20 * MS;
const SLOW_DELAY_JITTER: u64 = 120 * MS;
/// While links are lossy, one frame in this many is lost and one in this many is duplicated.
const LOSS_ODDS: u64 = 5;
const DUPLICATE_ODDS: u64 = 8;

impl Simulation {
    /// Tries to connect, and retries until it succeeds; then the member that opened the connection sends its hello.
    pub(super) fn connect(&mut self, from: usize, to: usize) {
        if self.nodes[from].member.is_none() || self.nodes[to].member.is_none() {
            return;
        }
        if !self.passes(from, to) || self.nodes[from].is_paused {
            return self.schedule(RECONNECT_DELAY, EventKind::Connect { from, to });
        }
        self.call_member(from, |member, now| member.on_connected(now, &name(to)));
    }

    /// Whether no partition blocks frames in this direction.
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
        let is_lossy = self.faults.contains(&Some(Fault::Lossy)) && can_be_lost(frame);
        let is_slow = self.faults.contains(&Some(Fault::Slow));
        if !self.passes(from, to)
            || self.nodes[to].member.is_none()
            || is_lossy && self.draw(LOSS_ODDS) == 0
        {
            return;
        }
        // The frame that arrives has been encoded and decoded, as on the wire.
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
            // Frames in flight from a crashed sender may be lost with its connection.
            self.call_member(to, |member, now| member.on_frame(now, &name(from), frame));
        }
    }
}

/// False for frames whose loss means a broken connection: they are sent again after the reconnect.
fn can_be_lost(frame: &Frame) -> bool {
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
