//! Replicas whose log diverged behind the program's back.

use super::{Divergence, Replica, Role};
use crate::divergence::{judge_divergence, DivergenceVerdict};
use crate::wire::{Body, Message, QuarantineNotice, ReplicaId};

impl Replica {
    /// Some copy differs: see `copies.rs`.
    pub(super) fn count_copies(&mut self) {
        let differ: Vec<(ReplicaId, u64)> = self
            .peers
            .iter()
            .filter_map(|(id, peer)| Some((*id, peer.differs?.1)))
            .collect();
        let Some(index) = self
            .peers
            .values()
            .filter_map(|peer| Some(peer.differs?.0))
            .min()
        else {
            return;
        };
        let agrees = |id: &ReplicaId| {
            *id == self.id
                || self
                    .peers
                    .get(id)
                    .is_some_and(|peer| peer.differs.is_none() && peer.matched >= index)
        };
        let config = self.membership();
        let (voters, agree) = (
            config.voters().count(),
            config.voters().filter(agrees).count(),
        );
        let of_voters: Vec<_> = differ
            .iter()
            .filter(|one| config.is_voter(one.0))
            .copied()
            .collect();
        let Some(own) = self.log.sum(index) else {
            return;
        };
        match judge_divergence(voters, agree, &of_voters) {
            DivergenceVerdict::Undecided => {}
            DivergenceVerdict::Leader(most) => self.lay_aside(index, own, most),
            DivergenceVerdict::Minority(_) => {
                for (to, _) in differ {
                    let body = Some(Body::Aside(QuarantineNotice { index, most: own }));
                    self.out.messages.push(Message {
                        to,
                        from: self.id,
                        term: self.term,
                        body,
                    });
                }
            }
        }
    }

    pub(super) fn set_aside(&mut self, aside: &QuarantineNotice) {
        if let Some(own) = self.log.sum(aside.index).filter(|own| *own != aside.most) {
            self.lay_aside(aside.index, own, aside.most);
        }
    }

    pub(super) fn lay_aside(&mut self, index: u64, own: u64, most: u64) {
        self.out.divergence = Some(Divergence {
            index,
            own_checksum: own,
            majority_checksum: most,
        });
        self.role = Role::Quarantined;
        self.leader = None;
        self.peers.clear();
        self.reads.clear();
    }
}
