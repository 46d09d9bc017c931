//! Gossip reports of this member.

use super::*;

impl GroupMember {
    /// What this node charged a tenant, in microseconds more, and what it can take.
    pub fn spent(&mut self, tenant: &str, more: u64) {
        *self.own.charged_us.entry(tenant.to_owned()).or_default() += more;
    }

    pub fn room(&mut self, room: u64) {
        self.own.spare_capacity = room;
    }

    pub(super) fn tell_soft(&mut self) {
        let known: Vec<ReplicaId> = self
            .peers
            .values()
            .filter_map(|peer| Some(peer.start?.0))
            .collect();
        self.reports.keep(|disk| known.contains(&disk));
        if self.own.charged_us.is_empty() && self.own.spare_capacity == 0 {
            return;
        }
        let frame = Frame::of(FrameBody::Gossip(self.own.clone()));
        for (name, peer) in &self.peers {
            if peer.here {
                self.effects.frames.push((name.clone(), frame.clone()));
            }
        }
    }
}
