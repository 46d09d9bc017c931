//! Where requests with an idempotency key go while the configuration changes, on a virtual clock: within a key's window
//! only one process gets its attempts, and no key is held longer than a change requires.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use nanorand::{Rng, WyRand};
use rainstand_config::schema::Configuration;
use rainstand_config::{load, source::Memory};
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction, RequestOutcome};
use rainstand_routing::member_selection::SelectionReason;
use rainstand_routing::outcome_reason::OutcomeReason;
use rainstand_routing::table::Request;
use rainstand_routing::table_update::TableChange;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(9);
/// After this time, a change matters to no key: the window and a margin for sockets.
const SETTLED: Duration = Duration::from_secs(10);
const MEMBERS: usize = 5;
const KEYS: u32 = 60;

fn address(member: usize) -> String {
    format!("10.0.0.{}:1", member + 1)
}

fn member(index: usize, weight: u32) -> String {
    let address = address(index);
    format!("member n{index} {{ address: \"{address}\"; weight: {weight} }}\n")
}

fn parse(pools_and_routes: &str) -> Configuration {
    let text = format!(
        "rain 1
type book {{ repeat: ticketed 9 s; goal: 3 s; outer-limit: 7 s }}
type read {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
tenant acme {{ share: 50 % }}
tenant other {{ share: 30 % }}
{pools_and_routes}"
    );
    let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
    outcome
        .configuration
        .unwrap_or_else(|| panic!("{:?}", outcome.findings))
}

/// One pool with these members.
fn one_pool(members: &[usize]) -> Configuration {
    let members: String = members.iter().map(|index| member(*index, 1)).collect();
    parse(&format!("pool p {{ {members} }}\nroute r {{ to: p }}"))
}

fn new_fleet(configuration: &Configuration, seed: u64) -> Fleet {
    Fleet::new(configuration, "", seed, Duration::ZERO).unwrap()
}

fn request<'r>(fleet: &Fleet, key: &'r str, is_retry: bool) -> Request<'r> {
    Request {
        request_class: fleet.table().request_class("book").unwrap(),
        tenant: fleet.table().tenant("acme"),
        key,
        is_retry,
        ..Request::default()
    }
}

/// The address of the member that gets the first attempt of a request, or why none does. The request ends as served.
fn send(
    fleet: &mut Fleet,
    now: Duration,
    key: &str,
    is_retry: bool,
) -> Result<String, OutcomeReason> {
    match fleet.on_arrival(now, &request(fleet, key, is_retry)) {
        NextAction::Dispatch(state, attempt) => {
            assert_eq!(attempt.selected_by, SelectionReason::KeyHome);
            let address = fleet.address(attempt.to).to_string();
            let served = fleet.on_attempt_outcome(now, state, AttemptOutcome::Served);
            assert!(matches!(served, NextAction::Completed(_)));
            Ok(address)
        }
        NextAction::Completed(completed) => {
            let RequestOutcome::Rejected { after, .. } = completed.outcome else {
                panic!("{completed:?}")
            };
            assert!(!after.is_zero());
            Err(completed.reason)
        }
        NextAction::Backoff(..) => panic!("a backoff before any attempt"),
    }
}

fn keys() -> Vec<String> {
    (0..KEYS).map(|number| format!("key-{number}")).collect()
}

#[test]
fn home_depends_on_the_configured_members_alone() {
    let configuration = one_pool(&[0, 1, 2]);
    let (mut first, mut second) = (new_fleet(&configuration, 1), new_fleet(&configuration, 2));
    // The order of the members in the configuration does not matter.
    let mut reordered = new_fleet(&one_pool(&[2, 0, 1]), 3);
    let now = Duration::from_secs(1);
    let mut open = Vec::new();
    let mut homes = HashMap::new();
    for key in keys() {
        let home = send(&mut first, now, &key, false).unwrap();
        // Other load: the second one's attempts stay open.
        match second.on_arrival(now, &request(&second, &key, true)) {
            NextAction::Dispatch(state, attempt) => {
                assert_eq!(*home, **second.address(attempt.to));
                open.push(state);
            }
            other => panic!("{other:?}"),
        }
        if open.len() > 8 {
            let state = open.remove(0);
            let _ = second.on_attempt_outcome(now, state, AttemptOutcome::Served);
        }
        assert_eq!(send(&mut reordered, now, &key, false).as_ref(), Ok(&home));
        *homes.entry(home).or_insert(0) += 1;
    }
    assert_eq!(homes.len(), 3);
    for state in open {
        let _ = second.on_attempt_outcome(now, state, AttemptOutcome::Served);
    }
}

/// A fallback, a split by chance and a route for retries would each part a repeat from its first attempt.
#[test]
fn routes_do_not_part_attempts_with_one_key() {
    let configuration = parse(&format!(
        "pool p {{ {} fall-back: q }}
pool q {{ {} }}
pool far {{ {} }}
route retries {{ match {{ type: book; again: yes }}; to: far }}
route r {{ to: p 50 %, q 50 %; split-by: chance; fall-back: far }}",
        member(0, 1),
        member(1, 1),
        member(2, 1)
    ));
    let mut fleet = new_fleet(&configuration, 1);
    let now = Duration::from_secs(1);
    let mut homes = HashMap::new();
    for key in keys() {
        homes.insert(key.clone(), send(&mut fleet, now, &key, false).unwrap());
    }
    assert!(homes.values().all(|home| *home != address(2)));
    assert!(homes.values().any(|home| *home != homes["key-0"]));
    // One of the members asks its callers to wait, so its pool is unusable.
    let state = match fleet.on_arrival(now, &request(&fleet, "key-0", false)) {
        NextAction::Dispatch(state, _) => state,
        other => panic!("{other:?}"),
    };
    let pause = AttemptOutcome::Rejected {
        pause: Duration::from_secs(5),
        nowhere_else: false,
    };
    let _ = fleet.on_attempt_outcome(now, state, pause);
    for key in keys() {
        let sent = send(&mut fleet, now, &key, true);
        if homes[&key] == homes["key-0"] {
            assert!(sent.is_err());
        } else {
            assert_eq!(sent.as_ref(), Ok(&homes[&key]));
        }
    }
}

/// A request in flight stays with its home, also if a new configuration gives its key another one or removes the member.
#[test]
fn request_in_flight_keeps_its_home() {
    let marked = "attempts a { tries: 3; budget: 100 %; wait: 1 ms .. 2 ms; proof: mark }";
    let with = |members: &[usize]| {
        let members: String = members.iter().map(|index| member(*index, 1)).collect();
        parse(&format!(
            "{marked}\npool p {{ {members} }}\nroute r {{ to: p; attempts: a }}"
        ))
    };
    let now = Duration::from_secs(1);
    let (mut kept, mut removed) = (0, 0);
    for key in keys() {
        let mut fleet = new_fleet(&with(&[0, 1, 2]), 1);
        let NextAction::Dispatch(state, attempt) =
            fleet.on_arrival(now, &request(&fleet, &key, false))
        else {
            panic!("not sent")
        };
        let home = fleet.address(attempt.to).to_string();
        fleet.install(&with(&[1, 2, 3, 4]), now).unwrap();
        let NextAction::Backoff(state, _) =
            fleet.on_attempt_outcome(now, state, AttemptOutcome::TimedOut)
        else {
            panic!("not retried")
        };
        match fleet.on_retry_due(now, state) {
            NextAction::Dispatch(state, attempt) => {
                assert_eq!(*home, **fleet.address(attempt.to));
                let _ = fleet.on_attempt_outcome(now, state, AttemptOutcome::Served);
                kept += 1;
            }
            NextAction::Completed(completed) => {
                assert_eq!(home, address(0));
                assert_eq!(completed.outcome, RequestOutcome::Failed);
                removed += 1;
            }
            NextAction::Backoff(..) => panic!("a second backoff"),
        }
    }
    assert!(kept > 0 && removed > 0);
}

/// When the member's process ends, relative to an attempt that is sent at [`SENT_AT`] and retried at [`RETRY_AT`].
#[derive(Clone, Copy, Debug)]
enum ProcessEnds {
    Never,
    /// Before the outcome of the attempt is known.
    BeforeOutcome,
    /// During the backoff.
    InBackoff,
    /// The process of another member, at both times.
    Elsewhere,
}

/// What the request comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    /// It is sent again to its home.
    SentAgain,
    Failed,
    /// With the time from which its key is no longer held, at least.
    RejectedUntil(Duration),
}

const SENT_AT: Duration = Duration::from_secs(1);
const OUTCOME_AT: Duration = Duration::from_millis(1_100);
const RETRY_AT: Duration = Duration::from_millis(1_600);

/// Plays a request whose first attempt ends in this way and whose retry is due at `retry_at`.
fn play_retry(outcome: AttemptOutcome, ends: ProcessEnds, retry_at: Duration) -> (Ending, u64) {
    let marked = "attempts a { tries: 3; budget: 100 %; wait: 500 ms .. 500 ms; proof: mark }";
    let members: String = [0, 1, 2].iter().map(|index| member(*index, 1)).collect();
    let configuration = parse(&format!(
        "{marked}\npool p {{ {members} }}\nroute r {{ to: p; attempts: a }}"
    ));
    let mut fleet = new_fleet(&configuration, 1);
    let NextAction::Dispatch(state, attempt) =
        fleet.on_arrival(SENT_AT, &request(&fleet, "key-0", false))
    else {
        panic!("not sent")
    };
    let home = fleet.address(attempt.to).to_string();
    let other = (0..3).map(address).find(|other| *other != home).unwrap();
    let lose = |fleet: &mut Fleet, lost: &str, at: Duration| {
        fleet.on_process_lost(lost, at);
        fleet.tick(at);
    };
    match ends {
        ProcessEnds::BeforeOutcome => lose(&mut fleet, &home, OUTCOME_AT),
        ProcessEnds::Elsewhere => lose(&mut fleet, &other, OUTCOME_AT),
        ProcessEnds::Never | ProcessEnds::InBackoff => {}
    }
    let mut next = fleet.on_attempt_outcome(OUTCOME_AT, state, outcome);
    if let NextAction::Backoff(state, _) = next {
        match ends {
            ProcessEnds::InBackoff => lose(&mut fleet, &home, RETRY_AT),
            ProcessEnds::Elsewhere => lose(&mut fleet, &other, RETRY_AT),
            ProcessEnds::Never | ProcessEnds::BeforeOutcome => {}
        }
        fleet.tick(retry_at);
        next = fleet.on_retry_due(retry_at, state);
    }
    let now = if matches!(ends, ProcessEnds::BeforeOutcome) {
        OUTCOME_AT
    } else {
        retry_at
    };
    let ending = match next {
        NextAction::Dispatch(state, attempt) => {
            assert_eq!(*home, **fleet.address(attempt.to));
            let _ = fleet.on_attempt_outcome(retry_at, state, AttemptOutcome::Served);
            Ending::SentAgain
        }
        NextAction::Completed(completed) => match completed.outcome {
            RequestOutcome::Failed => Ending::Failed,
            RequestOutcome::Rejected { after, .. } => Ending::RejectedUntil(now + after),
            other => panic!("{other:?}"),
        },
        NextAction::Backoff(..) => panic!("a second backoff"),
    };
    (ending, fleet.counts().held_keys)
}

/// Guards against a further attempt of the forwarder's own at the next process of the home, which does not know what the
/// one before ran: for each outcome of an attempt and each time at which the process can end.
#[test]
fn further_attempt_goes_to_no_later_process_of_the_home() {
    let not_run = [
        AttemptOutcome::Unreachable,
        AttemptOutcome::Rejected {
            pause: Duration::ZERO,
            nowhere_else: false,
        },
    ];
    let may_have_run = [
        AttemptOutcome::Broken,
        AttemptOutcome::TimedOut,
        AttemptOutcome::Failed,
    ];
    let outcomes = not_run.iter().chain(&may_have_run);
    for outcome in outcomes {
        for ends in [ProcessEnds::Never, ProcessEnds::Elsewhere] {
            let played = play_retry(*outcome, ends, RETRY_AT);
            assert_eq!(played, (Ending::SentAgain, 0), "{outcome:?}, {ends:?}");
        }
        for (ends, lost_at) in [
            (ProcessEnds::BeforeOutcome, OUTCOME_AT),
            (ProcessEnds::InBackoff, RETRY_AT),
        ] {
            let (ending, held) = play_retry(*outcome, ends, RETRY_AT);
            assert_eq!(held, 1, "{outcome:?}, {ends:?}");
            match ending {
                // It did not run, but it may be the repeat of one that did.
                Ending::RejectedUntil(until) => {
                    assert!(not_run.contains(outcome), "{outcome:?}, {ends:?}");
                    assert!(until > lost_at + WINDOW, "{outcome:?}, {ends:?}");
                }
                ending => {
                    assert_eq!(ending, Ending::Failed, "{outcome:?}, {ends:?}");
                    assert!(may_have_run.contains(outcome), "{outcome:?}, {ends:?}");
                }
            }
        }
    }
}

/// Guards against a second run by a retry that comes after the class's window: one that may have run is bound to its
/// process for as long as it is in flight, one that did not is free once no repeat can come.
#[test]
fn late_further_attempt_is_bound_to_its_process_if_it_may_have_run() {
    let marked = "attempts a { tries: 3; budget: 100 %; wait: 1 ms .. 1 ms; proof: mark }";
    for (outcome, is_sent_again) in [
        (AttemptOutcome::TimedOut, false),
        (AttemptOutcome::Unreachable, true),
    ] {
        let mut configuration = parse(&format!(
            "{marked}\npool p {{ {} }}\nroute r {{ to: p; attempts: a }}",
            member(0, 1)
        ));
        for class in &mut configuration.types {
            class.window_ns = Duration::from_secs(1).as_nanos() as u64;
            class.goal_ns = Duration::from_secs(30).as_nanos() as u64;
        }
        let mut fleet = new_fleet(&configuration, 1);
        let arrived = Duration::from_secs(1);
        let NextAction::Dispatch(state, _) =
            fleet.on_arrival(arrived, &request(&fleet, "key-0", false))
        else {
            panic!("not sent")
        };
        let NextAction::Backoff(state, _) = fleet.on_attempt_outcome(arrived, state, outcome)
        else {
            panic!("not retried")
        };
        fleet.on_process_lost(&address(0), arrived);
        let late = arrived + Duration::from_secs(8);
        fleet.tick(late);
        let next = fleet.on_retry_due(late, state);
        let was_sent_again = match next {
            NextAction::Dispatch(state, _) => {
                let _ = fleet.on_attempt_outcome(late, state, AttemptOutcome::Served);
                true
            }
            NextAction::Completed(completed) => {
                assert_eq!(completed.outcome, RequestOutcome::Failed);
                false
            }
            NextAction::Backoff(..) => panic!("a second backoff"),
        };
        assert_eq!(was_sent_again, is_sent_again, "{outcome:?}");
    }
}

/// Which process is at an address matters only to members that recognize the repeats of their own requests alone.
#[test]
fn key_homes_are_members_that_do_not_share_their_keys() {
    let [own, shared] = ["keys: own", "keys: shared"].map(|keys| {
        let pool = format!("pool p {{ {keys}\n{} }}\nroute r {{ to: p }}", member(0, 1));
        new_fleet(&parse(&pool), 1)
    });
    assert!(own.is_key_home(&address(0)) && !own.is_key_home(&address(1)));
    assert_eq!(own.key_home_addresses().count(), 1);
    assert!(!shared.is_key_home(&address(0)));
    assert_eq!(shared.key_home_addresses().count(), 0);
}

#[test]
fn lost_process_holds_only_the_keys_of_its_member() {
    let mut fleet = new_fleet(&one_pool(&[0, 1, 2]), 1);
    let lost_at = Duration::from_secs(1);
    let homes: Vec<_> = keys()
        .iter()
        .map(|key| send(&mut fleet, lost_at, key, false).unwrap())
        .collect();
    fleet.on_process_lost(&address(0), lost_at);
    for (key, home) in keys().iter().zip(&homes) {
        let sent = send(&mut fleet, lost_at + WINDOW, key, false);
        if *home == address(0) {
            assert_eq!(sent, Err(OutcomeReason::KeyHeld));
        } else {
            assert_eq!(sent.as_ref(), Ok(home));
        }
        let sent = send(&mut fleet, lost_at + SETTLED, key, false);
        assert_eq!(sent.as_ref(), Ok(home));
    }
    assert_eq!(
        fleet.counts().held_keys as usize,
        homes.iter().filter(|home| **home == address(0)).count()
    );
}

/// A random configuration: members and weights of one or two pools, their split, and a route for one tenant.
fn random_configuration(random: &mut WyRand, changes_routes: bool) -> Configuration {
    let pool = |name: &str, random: &mut WyRand| {
        let mut members: Vec<usize> = (0..MEMBERS).collect();
        random.shuffle(&mut members);
        members.truncate(random.generate_range(1..=MEMBERS));
        let members: String = members
            .iter()
            .map(|index| member(*index, random.generate_range(1..=2)))
            .collect();
        format!("pool {name} {{ {members} }}\n")
    };
    let pools = pool("p", random) + &pool("q", random);
    if !changes_routes {
        return parse(&format!("{pools}route r {{ to: p 60 %, q 40 % }}"));
    }
    let routes = [
        "route spare { match { type: read }; to: q }\nroute r { to: p }",
        "route r { to: p 60 %, q 40 % }",
        "route mine { match { tenant: acme }; to: q }\nroute r { to: p }",
        "route r { match { type: book }; to: q }\nroute s { to: p }",
        "route theirs { match { tenant: other }; to: q }\nroute r { to: p 60 %, q 40 % }",
    ];
    let routes = routes[random.generate_range(0..routes.len())];
    parse(&format!("{pools}{routes}"))
}

/// Address and incarnation of a process.
type Process = (String, u32);

/// Where a fleet without any history sends a key.
fn home_in(configuration: &Configuration, key: &str) -> String {
    let mut fleet = new_fleet(configuration, 1);
    send(&mut fleet, Duration::ZERO, key, false).unwrap()
}

/// The homes that a key had in the last window, by versions with their install times.
fn homes_within_window(
    versions: &[(Duration, Configuration)],
    key: &str,
    now: Duration,
) -> HashSet<String> {
    let is_recent = |index: &usize| {
        let ended = versions.get(index + 1).map_or(now, |next| next.0);
        ended + SETTLED > now
    };
    (0..versions.len())
        .filter(is_recent)
        .map(|index| home_in(&versions[index].1, key))
        .collect()
}

/// Several forwarders get the same new configurations at the same times, while processes are lost and keys repeated.
#[test]
fn no_key_reaches_two_processes_within_its_window() {
    for seed in 0..24 {
        let mut random = WyRand::new_seed(seed);
        let changes_routes = seed % 2 == 0;
        let first = random_configuration(&mut random, changes_routes);
        let mut fleets = [new_fleet(&first, 1), new_fleet(&first, 2)];
        let mut incarnations = [0u32; MEMBERS];
        // Of each key: times and processes of the attempts that were sent.
        let mut sent: HashMap<String, Vec<(Duration, Process)>> = HashMap::new();
        let mut versions = vec![(Duration::ZERO, first)];
        let mut last_lost = Duration::ZERO;
        let mut now = Duration::from_secs(20);
        for _ in 0..4_000 {
            now += Duration::from_millis(random.generate_range(0..60));
            match random.generate_range(0..600) {
                0 => {
                    let next = random_configuration(&mut random, changes_routes);
                    for fleet in &mut fleets {
                        fleet.install(&next, now).unwrap();
                    }
                    versions.push((now, next));
                }
                1 => {
                    let member = random.generate_range(0..MEMBERS);
                    incarnations[member] += 1;
                    last_lost = now;
                    for fleet in &mut fleets {
                        fleet.on_process_lost(&address(member), now);
                    }
                }
                2..40 => {
                    for fleet in &mut fleets {
                        fleet.tick(now);
                    }
                }
                _ => {}
            }
            let key = format!("key-{}", random.generate_range(0..KEYS));
            let fleet = &mut fleets[random.generate_range(0..2)];
            let is_retry = random.generate_range(0..2) == 0;
            let outcome = send(fleet, now, &key, is_retry);
            match outcome {
                Ok(home) => {
                    let member = (0..MEMBERS).find(|member| address(*member) == home);
                    let process = (home, incarnations[member.unwrap()]);
                    let attempts = sent.entry(key.clone()).or_default();
                    for (at, other) in &*attempts {
                        assert!(
                            *at + WINDOW < now || *other == process,
                            "seed {seed}: {key} at {other:?}, and {:?} later at {process:?}",
                            now - *at
                        );
                    }
                    attempts.push((now, process));
                }
                Err(reason) => {
                    assert_eq!(reason, OutcomeReason::KeyHeld, "seed {seed}");
                    // Route changes are compared by class and tenant only, so they may hold more keys.
                    let has_moved = homes_within_window(&versions, &key, now).len() > 1;
                    let may_be_held = has_moved || last_lost + SETTLED > now;
                    assert!(may_be_held || changes_routes, "seed {seed}: {key} held");
                }
            }
        }
        // Nothing stays held, and nothing is stored forever.
        now += SETTLED;
        for fleet in &mut fleets {
            fleet.tick(now);
            for key in keys() {
                send(fleet, now, &key, false).unwrap();
            }
        }
        assert!(sent.values().any(|attempts| attempts.len() > 5));
    }
}

/// More changes within one window than are stored: every key is held until the window of the last one has passed.
#[test]
fn changes_past_the_bound_hold_all_keys() {
    let mut fleet = new_fleet(&one_pool(&[0, 1]), 1);
    let mut now = Duration::from_secs(20);
    // One change to other members, then many back and forth between two sets with the same home for some keys.
    fleet.install(&one_pool(&[2, 3]), now).unwrap();
    for number in 0..20 {
        now += Duration::from_millis(1);
        let members: &[usize] = if number % 2 == 0 { &[0, 1, 4] } else { &[0, 1] };
        fleet.install(&one_pool(members), now).unwrap();
    }
    for key in keys() {
        let held = send(&mut fleet, now, &key, false);
        assert_eq!(held, Err(OutcomeReason::KeyHeld));
        send(&mut fleet, now + SETTLED, &key, false).unwrap();
    }
}

/// Changes of single entries hold the same keys as the complete configuration that they make.
#[test]
fn changes_of_entries_hold_keys_like_a_complete_configuration() {
    let mut random = WyRand::new_seed(5);
    let first = random_configuration(&mut random, false);
    let next = random_configuration(&mut random, false);
    let (mut installed, mut applied) = (new_fleet(&first, 1), new_fleet(&first, 1));
    let now = Duration::from_secs(20);
    installed.install(&next, now).unwrap();
    let changes: Vec<TableChange> = next.pools.iter().cloned().map(TableChange::Pool).collect();
    applied.apply(&changes, now).unwrap();
    let mut held = 0;
    for key in keys() {
        let outcome = send(&mut installed, now, &key, false);
        held += usize::from(outcome.is_err());
        assert_eq!(outcome, send(&mut applied, now, &key, false));
    }
    assert!(0 < held && held < KEYS as usize, "{held}");
    let route = next.routes[0].clone();
    let mut moved = route.clone();
    moved.to.truncate(1);
    moved.to[0].share = 1_000_000;
    applied
        .apply(&[TableChange::Route(moved, None)], now + SETTLED)
        .unwrap();
    let outcomes: Vec<_> = keys()
        .iter()
        .map(|key| send(&mut applied, now + SETTLED, key, false))
        .collect();
    assert!(outcomes.contains(&Err(OutcomeReason::KeyHeld)));
    assert!(outcomes.iter().any(Result::is_ok));
}

/// A class that becomes ticketed: its earlier requests had no homes.
#[test]
fn class_without_homes_until_now_is_held() {
    let mut before = one_pool(&[0, 1, 2]);
    let after = before.clone();
    let class = before.types.iter_mut().find(|class| class.name == "book");
    class
        .unwrap()
        .set_repeat(rainstand_config::schema::RepeatKind::Rerunnable);
    let mut fleet = new_fleet(&before, 1);
    let now = Duration::from_secs(20);
    fleet.install(&after, now).unwrap();
    let held = send(&mut fleet, now + WINDOW, "key-0", false);
    assert_eq!(held, Err(OutcomeReason::KeyHeld));
    send(&mut fleet, now + SETTLED, "key-0", false).unwrap();
}
