//! Links between members: connections, lost, doubled and delayed frames.

use super::events::EventKind;
use super::faults::Ill;
use super::{name, Sim, MS};
use prost::Message as _;
use rainstand_replicated_state::frames::Frame;

impl Sim {
    /// A link is tried: once it passes, its opener says hello.
    pub(super) fn link(&mut self, from: usize, to: usize) {
        if self.nodes[from].member.is_none() || self.nodes[to].member.is_none() {
            return;
        }
        if !self.passes(from, to) || self.nodes[from].stopped {
            return self.later(100 * MS, EventKind::Link { from, to });
        }
        self.with(from, |member, now| member.on_connected(now, &name(to)));
    }

    // Links.

    fn passes(&self, from: usize, to: usize) -> bool {
        self.ills.iter().flatten().all(|ill| match ill {
            Ill::Part { seed, one_way } => {
                let side = |node: usize| seed >> node & 1;
                side(from) == side(to) || *one_way && side(from) == 1
            }
            _ => true,
        })
    }

    pub(super) fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let lossy = self.ills.contains(&Some(Ill::Lossy));
        let slow = self.ills.contains(&Some(Ill::Slow));
        // A link that loses these breaks, and says them again when it is back.
        use rainstand_replicated_state::frames::FrameBody as Said;
        let lossy = lossy
            && !matches!(
                frame.body,
                Some(Said::Hello(_) | Said::StaleDisk(_) | Said::Bootstrap(_))
            );
        if !self.passes(from, to) || self.nodes[to].member.is_none() || lossy && self.draw(5) == 0 {
            return;
        }
        // A frame that passes the wire as bytes is what arrives.
        let frame = Frame::decode(&frame.encode_to_vec()[..]).unwrap_or_default();
        let times = if lossy && self.draw(8) == 0 { 2 } else { 1 };
        for _ in 0..times {
            let delay = if slow {
                20 * MS + self.draw(120 * MS)
            } else {
                MS / 10 + self.draw(2 * MS)
            };
            let life = self.nodes[to].life;
            self.later(
                delay,
                EventKind::Arrive {
                    from,
                    to,
                    life,
                    frame: frame.clone(),
                },
            );
        }
    }
}

/// Whether a frame grants a vote.
pub(super) fn votes(frame: &Frame) -> bool {
    let body = match &frame.body {
        Some(rainstand_replicated_state::frames::FrameBody::Raft(raft)) => &raft.message.body,
        _ => return false,
    };
    matches!(body, Some(rainstand_raft::wire::Body::VoteResponse(response)) if response.granted && !response.pre_vote)
}
