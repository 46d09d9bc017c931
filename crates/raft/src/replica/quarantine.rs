//! Quarantine of replicas whose log diverged from the majority's. See [`crate::divergence`] for the rule.

use super::{Replica, Role};
use crate::divergence::{judge_divergence, DivergenceVerdict, DivergentReplica};
use crate::wire::{Body, QuarantineNotice, ReplicaId};

/// Where a replica's log diverges from the majority's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Divergence {
    /// Index of the entry at which the running checksums were compared.
    pub index: u64,
    /// The replica's own running checksum up to it.
    pub own_checksum: u64,
    /// The majority's running checksum up to it.
    pub majority_checksum: u64,
}

impl Replica {
    /// Decides which replicas to quarantine after a peer reported a different running checksum.
    pub(super) fn resolve_divergence(&mut self) {
        let Some(index) = self.first_divergent_index() else {
            return;
        };
        let Some(own_checksum) = self.log.checksum(index) else {
            return;
        };
        let divergent = self.divergent_peers();
        let membership = self.membership();
        let voters = membership.voters().count();
        let agreeing = membership
            .voters()
            .filter(|id| self.agrees_up_to(*id, index))
            .count();
        let divergent_voters: Vec<DivergentReplica> = divergent
            .iter()
            .filter(|peer| membership.is_voter(peer.id))
            .copied()
            .collect();
        match judge_divergence(voters, agreeing, &divergent_voters) {
            DivergenceVerdict::Undecided => {}
            DivergenceVerdict::Leader(majority_checksum) => self.quarantine(Divergence {
                index,
                own_checksum,
                majority_checksum,
            }),
            DivergenceVerdict::Minority(_) => {
                for peer in divergent {
                    let notice = QuarantineNotice {
                        index,
                        majority_checksum: own_checksum,
                    };
                    self.send(peer.id, Body::QuarantineNotice(notice));
                }
            }
        }
    }

    fn first_divergent_index(&self) -> Option<u64> {
        let divergences = self.peers.values().filter_map(|peer| peer.divergence);
        divergences.map(|divergence| divergence.index).min()
    }

    fn divergent_peers(&self) -> Vec<DivergentReplica> {
        let divergent_replica = |(id, peer): (&ReplicaId, &super::PeerProgress)| {
            peer.divergence.map(|divergence| DivergentReplica {
                id: *id,
                checksum: divergence.checksum,
            })
        };
        self.peers.iter().filter_map(divergent_replica).collect()
    }

    fn agrees_up_to(&self, id: ReplicaId, index: u64) -> bool {
        id == self.id
            || self
                .peers
                .get(&id)
                .is_some_and(|peer| peer.divergence.is_none() && peer.match_index >= index)
    }

    pub(super) fn handle_quarantine_notice(&mut self, notice: &QuarantineNotice) {
        let Some(own_checksum) = self.log.checksum(notice.index) else {
            return;
        };
        if own_checksum != notice.majority_checksum {
            self.quarantine(Divergence {
                index: notice.index,
                own_checksum,
                majority_checksum: notice.majority_checksum,
            });
        }
    }

    fn quarantine(&mut self, divergence: Divergence) {
        self.ready.divergence = Some(divergence);
        self.transition_to(Role::Quarantined);
        self.leader = None;
    }
}
