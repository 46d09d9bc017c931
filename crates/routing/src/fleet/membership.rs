//! What is learned of members outside of requests: connections, restarts, shutdowns and the passing of time.

use super::pool::Pool;
use super::types::{MemberRef, MemberSnapshot, MemberStatusChange};
use super::Fleet;
use crate::health::{Health, MemberStatus, StatusChange};
use crate::warm_up::WarmUpLimiter;
use std::time::Duration;

/// A member that announced its shutdown gets no requests for this long; after that it has stopped, or stayed.
const LEAVING_HOLD: Duration = Duration::from_secs(2);

impl Fleet {
    /// The member with this address in each pool that has it.
    fn members_at(&self, address: &str) -> Vec<MemberRef> {
        let find = |(pool, one): (usize, &Pool)| {
            let member = one.addresses.iter().position(|known| **known == *address)?;
            Some(MemberRef {
                pool: pool as u16,
                member: member as u16,
            })
        };
        self.pools.iter().enumerate().filter_map(find).collect()
    }

    /// Records that the member at an address restarted: what was learned of it no longer holds.
    pub fn on_restarted(&mut self, address: &str, now: Duration) {
        for at in self.members_at(address) {
            let pool = &mut self.pools[usize::from(at.pool)];
            let index = usize::from(at.member);
            let member = &mut pool.members[index];
            member.started = Some(now);
            if let Some(ramp) = &mut member.ramp {
                ramp.on_connected(now, now);
            }
            pool.leaving[index] = Duration::ZERO;
            if let Some(health) = &mut pool.health {
                health.on_restarted(index, now);
            }
        }
    }

    /// Whether any member has a warm-up limit. Only then [`Fleet::on_connected`] and [`Fleet::on_disconnected`] need
    /// to be called.
    pub fn has_warm_up(&self) -> bool {
        self.has_warm_up
    }

    /// Records that there has been a connection to the member at an address without a gap since `since`: it is at least
    /// as old.
    pub fn on_connected(&mut self, address: &str, since: Duration, now: Duration) {
        self.for_each_warm_up(address, |ramp| ramp.on_connected(since, now));
    }

    /// Records that the last connection to an address closed: the process there may be another one next time.
    pub fn on_disconnected(&mut self, address: &str, now: Duration) {
        self.for_each_warm_up(address, |ramp| ramp.on_disconnected(now));
    }

    fn for_each_warm_up(&mut self, address: &str, update: impl Fn(&mut WarmUpLimiter)) {
        if !self.has_warm_up {
            return;
        }
        for at in self.members_at(address) {
            let member = &mut self.pools[usize::from(at.pool)].members[usize::from(at.member)];
            member.ramp.iter_mut().for_each(&update);
        }
    }

    /// Records that the member at an address announced its shutdown: others get its requests, as long as there are
    /// others.
    pub fn on_leaving(&mut self, address: &str, now: Duration) {
        for at in self.members_at(address) {
            self.pools[usize::from(at.pool)].leaving[usize::from(at.member)] = now + LEAVING_HOLD;
        }
    }

    /// Lets time pass: ends pauses and ejections, and frees what is idle. To be called several times a second.
    ///
    /// Returns the changes of status since the last call.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberStatusChange> {
        self.on_turn(now);
        self.router.tick(now);
        self.pauses.retain(|_, until| *until > now);
        let mut all = std::mem::take(&mut self.status_changes);
        for (index, pool) in self.pools.iter_mut().enumerate() {
            let changes = pool
                .health
                .as_mut()
                .map_or(Vec::new(), |health| health.tick(now));
            all.extend(changes.into_iter().map(|StatusChange { member, to }| {
                let member = MemberRef {
                    pool: index as u16,
                    member: member as u16,
                };
                MemberStatusChange { member, status: to }
            }));
            pool.fair_share.tick(&self.shares, now);
            pool.update_places();
        }
        all
    }

    /// The members of a pool as this forwarder sees them.
    ///
    /// # Panics
    /// If there is no such pool in the current version.
    pub fn members(
        &self,
        pool: u16,
        now: Duration,
    ) -> impl Iterator<Item = MemberSnapshot<'_>> + '_ {
        let pool = &self.pools[usize::from(pool)];
        let status = |member: usize| {
            let of = |health: &Health| health.status(member);
            pool.health.as_ref().map_or(MemberStatus::Healthy, of)
        };
        let addresses = pool.addresses.iter().enumerate();
        addresses.map(move |(member, address)| MemberSnapshot {
            address,
            open: pool.members[member].open,
            limit: pool.limits[member].limit(),
            status: status(member),
            near: pool.members[member].near,
            leaving: pool.leaving[member] > now,
        })
    }
}
