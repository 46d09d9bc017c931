//! Gossip reports of this member: charged run time and spare capacity, sent to all connected peers.

use super::GroupMember;
use crate::frames::{Frame, FrameBody};
use rainstand_raft::ReplicaId;

impl GroupMember {
    /// Adds to the run time that this node charged a tenant, in microseconds.
    pub fn add_charge(&mut self, tenant: &str, charged_us: u64) {
        *self
            .own_report
            .charged_us
            .entry(tenant.to_owned())
            .or_default() += charged_us;
    }

    /// Drops the reports of replaced disks, and sends this member's own one if there is anything in it.
    pub(super) fn send_gossip(&mut self) {
        let known: Vec<ReplicaId> = self
            .peers
            .values()
            .filter_map(|peer| Some(peer.incarnation?.disk))
            .collect();
        self.gossip_reports.retain(|disk| known.contains(&disk));
        if self.own_report.charged_us.is_empty() && self.own_report.spare_capacity == 0 {
            return;
        }
        let frame = Frame::from_body(FrameBody::Gossip(self.own_report.clone()));
        for (name, peer) in &self.peers {
            if peer.connected {
                self.effects.send(name, frame.clone());
            }
        }
    }
}
