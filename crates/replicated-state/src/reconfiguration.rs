//! The next change of a shard's members: towards those that the layout wants, one safe step at a time.
//!
//! A learner comes first, catches up, votes; only then goes the one whose place it takes. A name that came back with
//! another disk is wanted with that disk, and its old one goes like any other that is not wanted.

use rainstand_raft::{Member, Membership, MembershipChange, ReplicaId};

/// What a shard's leader does next about its members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// All is as it is wanted.
    Settled,
    Change(MembershipChange),
    /// A learner is catching up, or a wanted member has not been heard of.
    Wait,
    /// The leader is not wanted here: it hands over to this one first.
    HandTo(ReplicaId),
}

/// `wanted`: names by the layout, with the disk each was last heard with, if any. `caught_up`: whether a learner has
/// what is committed.
pub fn next(
    config: &Membership,
    wanted: &[(String, Option<ReplicaId>)],
    me: ReplicaId,
    caught_up: impl Fn(ReplicaId) -> bool,
) -> Next {
    let is_wanted = |member: &Member| {
        let of_name = wanted.iter().find(|(name, _)| *name == member.name);
        // Of a name that is wanted and was not heard of, the disk that is known stays.
        of_name.is_some_and(|(_, id)| id.is_none_or(|id| id == member.id))
    };
    let missing = wanted.iter().filter_map(|(name, id)| Some((name, (*id)?)));
    let mut missing = missing.filter(|(_, id)| config.member(*id).is_none());
    if let Some(learner) = config.members.iter().find(|member| !member.is_voter) {
        if !is_wanted(learner) {
            return Next::Change(MembershipChange::Remove(learner.id));
        }
        if caught_up(learner.id) {
            return Next::Change(MembershipChange::Promote(learner.id));
        }
        return Next::Wait;
    }
    if let Some((name, id)) = missing.next() {
        return Next::Change(MembershipChange::AddLearner(Member {
            id,
            name: name.clone(),
            is_voter: false,
        }));
    }
    let voters_wanted = config
        .members
        .iter()
        .filter(|member| member.is_voter && is_wanted(member))
        .count();
    let unwanted = config.members.iter().find(|member| !is_wanted(member));
    match unwanted {
        // Whoever takes its place is not there yet.
        Some(_) if voters_wanted < wanted.len().min(config.majority()) => Next::Wait,
        Some(member) if member.id == me => {
            let other = config
                .members
                .iter()
                .find(|member| member.is_voter && is_wanted(member));
            other.map_or(Next::Wait, |other| Next::HandTo(other.id))
        }
        Some(member) => Next::Change(MembershipChange::Remove(member.id)),
        None if voters_wanted < wanted.len() => Next::Wait,
        None => Next::Settled,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn config(members: &[(ReplicaId, &str, bool)]) -> Membership {
        let members = members.iter().map(|(id, name, votes)| Member {
            id: *id,
            name: (*name).into(),
            is_voter: *votes,
        });
        Membership {
            members: members.collect(),
        }
    }

    fn wanted(names: &[(&str, ReplicaId)]) -> Vec<(String, Option<ReplicaId>)> {
        names
            .iter()
            .map(|(name, id)| ((*name).to_owned(), (*id > 0).then_some(*id)))
            .collect()
    }

    #[test]
    fn each_step_is_the_one_that_is_safe_now() {
        let whole = [(1, "a", true), (2, "b", true), (3, "c", true)];
        let names = wanted(&[("a", 1), ("b", 2), ("c", 3)]);
        let next =
            |members: &[(ReplicaId, &str, bool)],
             wanted: &[(String, Option<ReplicaId>)],
             caught: bool| { next(&config(members), wanted, 1, |_| caught) };
        assert_eq!(next(&whole, &names, true), Next::Settled);
        // `c` came back with another disk.
        let anew = wanted(&[("a", 1), ("b", 2), ("c", 9)]);
        let add = Member {
            id: 9,
            name: "c".into(),
            is_voter: false,
        };
        assert_eq!(
            next(&whole, &anew, true),
            Next::Change(MembershipChange::AddLearner(add))
        );
        let learns = [
            (1, "a", true),
            (2, "b", true),
            (3, "c", true),
            (9, "c", false),
        ];
        assert_eq!(next(&learns, &anew, false), Next::Wait);
        assert_eq!(
            next(&learns, &anew, true),
            Next::Change(MembershipChange::Promote(9))
        );
        let both = [
            (1, "a", true),
            (2, "b", true),
            (3, "c", true),
            (9, "c", true),
        ];
        assert_eq!(
            next(&both, &anew, true),
            Next::Change(MembershipChange::Remove(3))
        );
        assert_eq!(
            next(
                &[(1, "a", true), (2, "b", true), (9, "c", true)],
                &anew,
                true
            ),
            Next::Settled
        );
        // It changed its disk once more while it learned.
        let third = wanted(&[("a", 1), ("b", 2), ("c", 11)]);
        assert_eq!(
            next(&learns, &third, true),
            Next::Change(MembershipChange::Remove(9))
        );
        // `c` is out of reach: its disk stays.
        assert_eq!(
            next(&whole, &wanted(&[("a", 1), ("b", 2), ("c", 0)]), true),
            Next::Settled
        );
        // The shard moves from the leader to `d`.
        let moved = wanted(&[("b", 2), ("c", 3), ("d", 4)]);
        let four = [
            (1, "a", true),
            (2, "b", true),
            (3, "c", true),
            (4, "d", true),
        ];
        assert_eq!(next(&four, &moved, true), Next::HandTo(2));
        // Nobody is sent away before somebody else is there.
        assert_eq!(
            next(&whole, &wanted(&[("d", 0), ("e", 0), ("f", 0)]), true),
            Next::Wait
        );
    }
}
