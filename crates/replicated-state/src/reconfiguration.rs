//! The next membership change of a shard, towards the members that the placement wants.
//!
//! One change at a time: a learner is added, catches up and is promoted, and only then the member that it replaces is
//! removed. A name that returned with another disk is wanted with the new disk; the old one is removed like any other
//! member that is not wanted.

use rainstand_raft::{Member, Membership, MembershipChange, ReplicaId};

/// What a shard's leader does next about its membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// The membership is as wanted.
    Settled,
    /// Propose this change.
    Change(MembershipChange),
    /// Nothing can be done yet: a learner is catching up, or a wanted member is not connected.
    Wait,
    /// The leader itself is not wanted: it transfers leadership to this member first.
    TransferLeadership(ReplicaId),
}

/// A member that the placement wants for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WantedMember {
    /// Name of the member.
    pub name: String,
    /// Its disk, if the member is connected.
    pub disk: Option<ReplicaId>,
}

/// The next step from `membership` towards `wanted`, for the leader with the disk `own_disk`.
///
/// `is_caught_up` tells whether a learner has all that is committed.
pub fn next_step(
    membership: &Membership,
    wanted: &[WantedMember],
    own_disk: ReplicaId,
    is_caught_up: impl Fn(ReplicaId) -> bool,
) -> NextStep {
    let learner = membership.members.iter().find(|member| !member.is_voter);
    if let Some(learner) = learner {
        return learner_step(learner, wanted, is_caught_up);
    }
    if let Some(learner) = missing_member(membership, wanted) {
        return NextStep::Change(MembershipChange::AddLearner(learner));
    }
    removal_step(membership, wanted, own_disk)
}

/// With a learner in the membership, nothing else is changed until it is promoted or removed.
fn learner_step(
    learner: &Member,
    wanted: &[WantedMember],
    is_caught_up: impl Fn(ReplicaId) -> bool,
) -> NextStep {
    if !is_wanted(learner, wanted) {
        return NextStep::Change(MembershipChange::Remove(learner.id));
    }
    if is_caught_up(learner.id) {
        return NextStep::Change(MembershipChange::Promote(learner.id));
    }
    NextStep::Wait
}

/// The first wanted and connected member that is not in the membership, as a learner.
fn missing_member(membership: &Membership, wanted: &[WantedMember]) -> Option<Member> {
    wanted.iter().find_map(|wanted| {
        let disk = wanted.disk?;
        membership.member(disk).is_none().then(|| Member {
            id: disk,
            name: wanted.name.clone(),
            is_voter: false,
        })
    })
}

/// With all connected members present, those that are not wanted are removed.
fn removal_step(membership: &Membership, wanted: &[WantedMember], own_disk: ReplicaId) -> NextStep {
    let members = &membership.members;
    let mut wanted_voters = members
        .iter()
        .filter(|member| member.is_voter && is_wanted(member, wanted));
    let wanted_voter_count = wanted_voters.clone().count();
    let unwanted = members.iter().find(|member| !is_wanted(member, wanted));
    match unwanted {
        // The replacement is not there yet.
        Some(_) if wanted_voter_count < wanted.len().min(membership.majority()) => NextStep::Wait,
        Some(member) if member.id == own_disk => {
            wanted_voters.next().map_or(NextStep::Wait, |successor| {
                NextStep::TransferLeadership(successor.id)
            })
        }
        Some(member) => NextStep::Change(MembershipChange::Remove(member.id)),
        None if wanted_voter_count < wanted.len() => NextStep::Wait,
        None => NextStep::Settled,
    }
}

/// Whether a member stays. While a wanted member is not connected, its known disk stays.
fn is_wanted(member: &Member, wanted: &[WantedMember]) -> bool {
    let same_name = wanted.iter().find(|wanted| wanted.name == member.name);
    same_name.is_some_and(|wanted| wanted.disk.is_none_or(|disk| disk == member.id))
}
