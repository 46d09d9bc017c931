//! Changes of members that do not come from requests: connections, restarts, shutdowns and ticks.

use super::pool::Pool;
use super::types::{MemberRef, MemberSnapshot, MemberStatusChange};
use super::Fleet;
use crate::health::{Health, MemberStatus, StatusChange};
use crate::key_placement::KeyHomes;
use crate::warm_up::WarmUpLimiter;
use rainstand_config::schema::RepeatKind;
use std::rc::Rc;
use std::time::Duration;

/// How long a member that announced its shutdown gets no requests; by then it has stopped, or did not shut down.
const DRAIN_PERIOD: Duration = Duration::from_secs(2);

impl Fleet {
    /// The member with this address, in each pool that has one.
    fn members_at(&self, address: &str) -> Vec<MemberRef> {
        let find = |(index, pool): (usize, &Pool)| {
            let member = pool
                .addresses
                .iter()
                .position(|known| **known == *address)?;
            Some(MemberRef {
                pool: index as u16,
                member: member as u16,
            })
        };
        self.pools.iter().enumerate().filter_map(find).collect()
    }

    /// Whether a pool of the current version has a member with this address.
    pub fn has_member(&self, address: &str) -> bool {
        !self.members_at(address).is_empty()
    }

    /// Whether the member at an address is the home of keys, so that it matters which process is there.
    pub fn is_key_home(&self, address: &str) -> bool {
        self.key_home_pools()
            .any(|pool| pool.addresses.iter().any(|known| **known == *address))
    }

    /// The addresses of all members that are homes of keys; one that is in two pools comes twice.
    pub fn key_home_addresses(&self) -> impl Iterator<Item = &Rc<str>> {
        self.key_home_pools().flat_map(|pool| &pool.addresses)
    }

    fn key_home_pools(&self) -> impl Iterator<Item = &Pool> {
        let types = &self.table().configuration().types;
        let has_keys = types
            .iter()
            .any(|class| class.repeat() == RepeatKind::Ticketed);
        self.pools
            .iter()
            .filter(move |pool| has_keys && pool.key_homes != KeyHomes::Shared)
    }

    /// Records that the member at an address restarted: its learned state is reset.
    pub fn on_restarted(&mut self, address: &str, now: Duration) {
        for member_ref in self.members_at(address) {
            let pool = &mut self.pools[usize::from(member_ref.pool)];
            let index = usize::from(member_ref.member);
            let member = &mut pool.members[index];
            member.started = Some(now);
            if let Some(ramp) = &mut member.warm_up_limiter {
                ramp.on_connected(now, now);
            }
            pool.draining_until[index] = Duration::ZERO;
            if let Some(health) = &mut pool.health {
                health.on_restarted(index, now);
            }
        }
    }

    /// Whether any member has a warm-up limit. Otherwise [`Fleet::on_connected`] and [`Fleet::on_disconnected`] need not
    /// be called.
    pub fn has_warm_up(&self) -> bool {
        self.has_warm_up
    }

    /// Records that the member at an address has been connected without a gap since `since`: its process has run at
    /// least that long.
    pub fn on_connected(&mut self, address: &str, since: Duration, now: Duration) {
        self.for_each_warm_up(address, |ramp| ramp.on_connected(since, now));
    }

    /// Records that the last connection to an address closed: the next one may reach a new process.
    pub fn on_disconnected(&mut self, address: &str, now: Duration) {
        self.for_each_warm_up(address, |ramp| ramp.on_disconnected(now));
    }

    fn for_each_warm_up(&mut self, address: &str, update: impl Fn(&mut WarmUpLimiter)) {
        if !self.has_warm_up {
            return;
        }
        for member_ref in self.members_at(address) {
            let member = &mut self.pools[usize::from(member_ref.pool)].members
                [usize::from(member_ref.member)];
            member.warm_up_limiter.iter_mut().for_each(&update);
        }
    }

    /// Records that the member at an address announced its shutdown: other members get its requests, if there are any.
    pub fn on_leaving(&mut self, address: &str, now: Duration) {
        for member_ref in self.members_at(address) {
            self.pools[usize::from(member_ref.pool)].draining_until
                [usize::from(member_ref.member)] = now + DRAIN_PERIOD;
        }
    }

    /// Ends expired retry-afters and ejections, and frees idle entries. Must be called several times a second.
    ///
    /// Returns the status changes since the last call.
    pub fn tick(&mut self, now: Duration) -> Vec<MemberStatusChange> {
        self.on_turn(now);
        self.router.tick(now);
        self.pauses.retain(|_, until| *until > now);
        self.key_history.expire(now, self.key_retention);
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
            let status_of = |health: &Health| health.status(member);
            pool.health
                .as_ref()
                .map_or(MemberStatus::Healthy, status_of)
        };
        let addresses = pool.addresses.iter().enumerate();
        addresses.map(move |(member, address)| MemberSnapshot {
            address,
            open: pool.members[member].in_flight,
            limit: pool.limits[member].limit(),
            status: status(member),
            near: pool.members[member].near,
            leaving: pool.draining_until[member] > now,
        })
    }
}
