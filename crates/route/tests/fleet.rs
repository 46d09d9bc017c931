//! A forwarder's decisions against members that fail, on a clock of its own: one answer each, no exclusive
//! ticket run twice, further tries within their budget, service back soon after the members are.

use nanorand::{Rng, WyRand};
use rainstand_config::{load, source::Memory};
use rainstand_route::attempts::START;
use rainstand_route::fleet::{Back, End, Fleet, Step, Trip};
use rainstand_route::health::{Reason, Standing};
use rainstand_route::table::Ticket;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

fn fleet(members: usize, proof: &str) -> Fleet {
    let members: String =
        (0..members).map(|k| format!("member n{k} {{ address: \"10.0.0.{}:1\" }}\n", k + 1)).collect();
    let text = format!(
        "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
type register {{ repeat: exclusive; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
attempts a {{ tries: 3; budget: 20 %; wait: 10 ms .. 40 ms; proof: {proof} }}
attempts b {{ tries: 3; budget: 20 %; wait: 10 ms .. 40 ms }}
health h {{ back-after: 1 s .. 8 s; keep: 40 % }}
pool p {{ health: h\n{members} }}
route x {{ match {{ type: register }}; to: p; attempts: b }}
route r {{ to: p; attempts: a }}"
    );
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    Fleet::new(&outcome.configuration.expect("good"), "", 7, Duration::ZERO).unwrap()
}

/// What a member does with a try that reaches it at a time: what comes back after how long, and whether it ran.
type Does = fn(usize, u64, &mut WyRand) -> (Back, u64, bool);

struct Played {
    /// Ends by the time of arrival, ms.
    ends: Vec<(u64, u64, End)>,
    /// Tries at each member by time.
    tries: Vec<(u64, usize)>,
    runs: BTreeMap<u64, u32>,
    exclusive: Vec<u64>,
    fleet: Fleet,
}

enum Event {
    Arrives,
    Back(Trip, Back, u64),
    Again(Trip, u64),
    Look,
}

/// Events in order of time; alike ones in order of their making.
struct Timed(u64, u64, Event);
impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

/// Tickets at `rate` a second for `seconds`, one in five exclusive.
fn play(mut fleet: Fleet, rate: u64, seconds: u64, does: Does) -> Played {
    let mut chance = WyRand::new_seed(21);
    let mut events = BinaryHeap::new();
    let mut made = 0u64;
    let mut push = |events: &mut BinaryHeap<Timed>, at: u64, event: Event| {
        made += 1;
        events.push(Timed(at, made, event));
    };
    for n in 0..rate * seconds {
        push(&mut events, n * 1_000 / rate, Event::Arrives);
    }
    for n in 0..(seconds + 10) * 5 {
        push(&mut events, n * 200, Event::Look);
    }
    let mut played =
        Played { ends: vec![], tries: vec![], runs: BTreeMap::new(), exclusive: vec![], fleet: fleet_stub() };
    let (mut next, mut born) = (0u64, BTreeMap::new());
    while let Some(Timed(t, _, event)) = events.pop() {
        let now = Duration::from_millis(t);
        let (ticket, step) = match event {
            Event::Look => {
                fleet.look(now);
                continue;
            }
            Event::Arrives => {
                next += 1;
                born.insert(next, t);
                let traffic = u16::from(next.is_multiple_of(5));
                if traffic == 1 {
                    played.exclusive.push(next);
                }
                (next, fleet.arrived(now, &Ticket { traffic, tenant: Some(0), ..Ticket::default() }))
            }
            Event::Back(trip, back, ticket) => (ticket, fleet.came(now, trip, back)),
            Event::Again(trip, ticket) => (ticket, fleet.again(now, trip)),
        };
        match step {
            Step::Go(trip, send) => {
                let member = usize::from(send.to.member);
                played.tries.push((t, member));
                let (back, took, ran) = does(member, t, &mut chance);
                *played.runs.entry(ticket).or_default() += u32::from(ran);
                let cut = send.cut.as_millis() as u64;
                let (back, took) = if took > cut { (Back::TimedOut, cut) } else { (back, took) };
                push(&mut events, t + took, Event::Back(trip, back, ticket));
            }
            Step::Wait(trip, wait) => {
                push(&mut events, t + wait.as_millis() as u64, Event::Again(trip, ticket))
            }
            Step::Over(end) => played.ends.push((born[&ticket], t, end)),
        }
    }
    played.fleet = fleet;
    played
}

fn fleet_stub() -> Fleet {
    fleet(1, "not-run")
}

/// What must hold whatever the members do.
fn rules(played: &Played, tickets: u64) {
    assert_eq!(played.ends.len() as u64, tickets, "one answer each");
    for ticket in &played.exclusive {
        assert!(played.runs.get(ticket).copied().unwrap_or(0) <= 1, "{ticket} ran twice");
    }
    let counts = played.fleet.counts();
    assert!(counts.further_tries <= START + counts.first_tries / 5, "{counts:?}");
    assert!(played.ends.iter().all(|(born, at, _)| at - born <= 3_100), "an answer after the goal time");
    assert!(played.fleet.members(0).all(|(_, open, ..)| open == 0), "places that nobody gave back");
}

fn honoured(played: &Played, from: u64, upto: u64) -> f64 {
    let of: Vec<_> = played.ends.iter().filter(|(born, ..)| (from..upto).contains(born)).collect();
    of.iter().filter(|(.., end)| *end == End::Honoured).count() as f64 / of.len() as f64
}

#[test]
fn all_fail_at_once_and_come_back() {
    let played = play(fleet(5, "none"), 200, 20, |_, t, chance| match t {
        5_000..10_000 => (Back::Failed, 2, true),
        _ => (Back::Honoured, chance.generate_range(10..30), true),
    });
    rules(&played, 4_000);
    assert!(honoured(&played, 0, 4_900) > 0.99);
    let back = honoured(&played, 12_000, 20_000);
    assert!(back > 0.95, "{back}");
    // Answered at once while it lasts.
    let slow =
        played.ends.iter().filter(|(born, at, _)| (5_500..10_000).contains(born) && at - born > 500).count();
    assert_eq!(slow, 0);
}

#[test]
fn one_that_fails_fast_gets_no_more_than_its_part() {
    let played = play(fleet(5, "none"), 200, 10, |member, _, chance| match member {
        0 => (Back::Failed, 1, true),
        _ => (Back::Honoured, chance.generate_range(20..60), true),
    });
    rules(&played, 2_000);
    let its = played.tries.iter().filter(|(_, member)| *member == 0).count();
    assert!(its * 5 <= played.tries.len(), "{its} of {}", played.tries.len());
    assert!(honoured(&played, 1_000, 10_000) > 0.97, "{}", honoured(&played, 1_000, 10_000));
}

#[test]
fn one_that_hangs_holds_only_what_is_there() {
    let played = play(fleet(5, "none"), 200, 12, |member, t, chance| match (member, t) {
        (0, 3_000..) => (Back::Honoured, 100_000, true),
        _ => (Back::Honoured, chance.generate_range(10..30), true),
    });
    rules(&played, 2_400);
    // Two seconds of silence, then it is left out but for a trickle now and then.
    let later = played.tries.iter().filter(|(t, member)| *member == 0 && *t > 6_000).count();
    assert!(later < 40, "{later}");
    assert!(honoured(&played, 6_000, 12_000) > 0.97);
}

#[test]
fn broken_connections_run_nothing_exclusive_twice() {
    // A fifth of all tries lose their connection, half of those after they ran; members are restarted in turn.
    let played = play(fleet(5, "none"), 200, 15, |member, t, chance| {
        if (t / 1_000) as usize % 5 == member && t % 1_000 < 300 {
            return (Back::Unreachable, 1, false);
        }
        match chance.generate_range(0..10u8) {
            0 => (Back::Broken, 15, true),
            1 => (Back::Broken, 5, false),
            _ => (Back::Honoured, 20, true),
        }
    });
    rules(&played, 3_000);
    // Exclusive tickets whose connection broke are given up, never dismissed: they may have run.
    let dismissed = played.ends.iter().filter(|(.., end)| matches!(end, End::Dismissed { .. })).count();
    assert!(dismissed < 150, "{dismissed}");
    assert!(played.runs.values().any(|runs| *runs > 1), "rerunnable ones do run again");
}

#[test]
fn a_caller_that_leaves_during_a_wait_frees_nothing_twice() {
    let mut fleet = fleet(1, "none");
    let now = Duration::from_millis;
    let ticket = Ticket { tenant: Some(0), ..Ticket::default() };
    let open = |fleet: &Fleet| fleet.members(0).map(|(_, open, ..)| open).sum::<u32>();
    let Step::Go(other, _) = fleet.arrived(now(0), &ticket) else { panic!("it goes") };
    let Step::Go(trip, _) = fleet.arrived(now(0), &ticket) else { panic!("it goes") };
    let Step::Wait(trip, _) = fleet.came(now(5), trip, Back::Failed) else { panic!("it waits") };
    assert_eq!(open(&fleet), 1);
    assert!(matches!(fleet.came(now(6), trip, Back::CallerLeft), Step::Over(End::Nobody)));
    assert_eq!(open(&fleet), 1, "the other one is still there");
    assert!(matches!(fleet.came(now(9), other, Back::Honoured), Step::Over(End::Honoured)));
    assert_eq!(open(&fleet), 0);
}

#[test]
fn a_member_that_is_left_out_is_told_once() {
    let mut fleet = fleet(3, "not-run");
    let mut told = Vec::new();
    for t in 0..200u64 {
        let now = Duration::from_millis(t * 10);
        let ticket = Ticket { tenant: Some(0), ..Ticket::default() };
        if let Step::Go(trip, send) = fleet.arrived(now, &ticket) {
            let back = if send.to.member == 1 { Back::Failed } else { Back::Honoured };
            let _ = fleet.came(now + Duration::from_millis(4), trip, back);
        }
        told.extend(
            fleet
                .look(now)
                .into_iter()
                .map(|(at, to)| (at.member, matches!(to, Standing::Out(Reason::FailuresInARow, _)))),
        );
    }
    assert_eq!(told[0], (1, true));
    assert!(told.iter().filter(|(member, out)| *member == 1 && *out).count() <= 2, "{told:?}");
}

#[test]
fn a_told_pause_is_kept_and_passed_on() {
    let played = play(fleet(2, "not-run"), 100, 4, |member, t, _| match (member, t) {
        (0, 1_000..2_000) => {
            (Back::Dismissed { pause: Duration::from_millis(400), nowhere_else: false }, 1, false)
        }
        (1, 1_500..1_600) => {
            (Back::Dismissed { pause: Duration::from_millis(250), nowhere_else: true }, 1, false)
        }
        _ => (Back::Honoured, 10, true),
    });
    rules(&played, 400);
    // Asked to stay away for 400 ms by the one, its tenant is not sent there: some tries, not hundreds.
    let asked = played.tries.iter().filter(|(t, member)| *member == 0 && (1_000..2_000).contains(t)).count();
    assert!(asked <= 20, "{asked}");
    let told = played
        .ends
        .iter()
        .any(|(.., end)| *end == End::Dismissed { after: Duration::from_millis(250), nowhere_else: true });
    assert!(told, "the other's word is passed on");
}
