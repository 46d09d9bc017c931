//! A forwarder that stalled ejects no member for answers that it did not read meanwhile.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_config::{load, source::Memory};
use rainstand_routing::fleet::{AttemptOutcome, Fleet, NextAction, RequestState};
use rainstand_routing::health::MemberStatus;
use rainstand_routing::table::Request;
use std::time::Duration;

const MEMBERS: usize = 3;
const TURN_INTERVAL: Duration = Duration::from_millis(5);
/// Response time without a stall.
const RESPONSE_TIME: Duration = Duration::from_millis(1);
/// Longer than the time without an answer after which a member is ejected.
const STALL: Duration = Duration::from_secs(5);

/// Whether turns of the event loop are reported, so that a stall is detected.
#[derive(Clone, Copy)]
enum Turns {
    Reported,
    NotReported,
}

struct Scenario {
    fleet: Fleet,
    now: Duration,
}

impl Scenario {
    fn new(turns: Turns) -> Self {
        let members: String = (0..MEMBERS)
            .map(|k| format!("member n{k} {{ address: \"10.0.0.{}:1\" }}\n", k + 1))
            .collect();
        let text = format!(
            "rain 1
type check {{ repeat: rerunnable; goal: 3 s; outer-limit: 7 s }}
attempts a {{ tries: 1 }}
health h {{ keep: 30 % }}
pool p {{ health: h\n{members} }}
route r {{ to: p; attempts: a }}"
        );
        let outcome = load(&Memory::new([("a.rain", text)]), "a.rain");
        let configuration = outcome.configuration.expect("a configuration");
        let mut fleet = Fleet::new(&configuration, "", 7, Duration::ZERO).unwrap();
        if let Turns::Reported = turns {
            fleet.expect_turns(TURN_INTERVAL);
        }
        Self {
            fleet,
            now: Duration::ZERO,
        }
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
    }

    /// Sends a request. Returns it and the index of its member.
    fn send(&mut self) -> (RequestState, u16) {
        let request = Request {
            request_class: self.fleet.table().request_class("check").unwrap(),
            ..Request::default()
        };
        match self.fleet.on_arrival(self.now, &request) {
            NextAction::Dispatch(state, attempt) => (state, attempt.to.member),
            other => panic!("{other:?}"),
        }
    }

    fn complete(&mut self, request: RequestState, outcome: AttemptOutcome) {
        let next = self.fleet.on_attempt_outcome(self.now, request, outcome);
        assert!(matches!(next, NextAction::Completed(_)), "{next:?}");
    }

    /// Sends requests one after the other; each is served after the usual response time.
    fn serve(&mut self, requests: usize) {
        for _ in 0..requests {
            let (request, _) = self.send();
            self.advance(RESPONSE_TIME);
            self.complete(request, AttemptOutcome::Served);
        }
    }

    /// Sends one request to each member. All but that to the first member are served; returns the pending one.
    fn serve_all_but_first(&mut self) -> RequestState {
        let requests: Vec<_> = (0..MEMBERS).map(|_| self.send()).collect();
        self.advance(RESPONSE_TIME);
        let mut pending = None;
        for (request, member) in requests {
            match member {
                0 => pending = Some(request),
                _ => self.complete(request, AttemptOutcome::Served),
            }
        }
        pending.expect("a request to each member")
    }

    fn ejected(&mut self) -> usize {
        self.fleet.tick(self.now);
        let members = self.fleet.members(0, self.now);
        members
            .filter(|member| matches!(member.status, MemberStatus::Ejected(_)))
            .count()
    }
}

/// Number of members that are ejected after stalls in which answers were not read.
fn ejected_after_stalls(turns: Turns, stall: Duration) -> usize {
    let mut scenario = Scenario::new(turns);
    scenario.serve(60);
    for _ in 0..20 {
        let request = scenario.serve_all_but_first();
        scenario.advance(stall);
        scenario.complete(request, AttemptOutcome::Served);
        scenario.serve(9);
        let ejected = scenario.ejected();
        if ejected > 0 {
            return ejected;
        }
    }
    0
}

/// Number of members that are ejected as silent at the first tick after a stall, before their answers are read.
fn ejected_for_silence(turns: Turns) -> usize {
    let mut scenario = Scenario::new(turns);
    scenario.serve(60);
    let requests: Vec<_> = (0..MEMBERS).map(|_| scenario.send()).collect();
    scenario.advance(STALL);
    let ejected = scenario.ejected();
    for (request, _) in requests {
        scenario.complete(request, AttemptOutcome::Served);
    }
    ejected
}

/// Number of members that are ejected for attempts that timed out while their answers were not read.
fn ejected_for_timeouts(turns: Turns) -> usize {
    let mut scenario = Scenario::new(turns);
    scenario.serve(60);
    let requests: Vec<_> = (0..10 * MEMBERS).map(|_| scenario.send()).collect();
    scenario.advance(STALL);
    for (request, _) in requests {
        scenario.complete(request, AttemptOutcome::TimedOut);
    }
    scenario.ejected()
}

// Guards against an ejection as slow for answers that were not read while the process got no CPU time.
#[test]
fn answers_read_late_after_a_stall_eject_no_member() {
    for stall in [30, 100, 900].map(Duration::from_millis) {
        assert_eq!(ejected_after_stalls(Turns::Reported, stall), 0);
        assert!(ejected_after_stalls(Turns::NotReported, stall) > 0);
    }
}

// Guards against an ejection as silent right after a stall of this process.
#[test]
fn members_without_answers_during_a_stall_are_not_ejected_as_silent() {
    assert_eq!(ejected_for_silence(Turns::Reported), 0);
    assert!(ejected_for_silence(Turns::NotReported) > 0);
}

// Guards against an ejection for timeouts that a stall of this process caused.
#[test]
fn timeouts_during_a_stall_do_not_count_as_failures_of_members() {
    assert_eq!(ejected_for_timeouts(Turns::Reported), 0);
    assert!(ejected_for_timeouts(Turns::NotReported) > 0);
}

// Guards against the opposite: a member that is slow while this process runs is ejected.
#[test]
fn a_slow_member_is_ejected_if_turns_are_reported() {
    let mut scenario = Scenario::new(Turns::Reported);
    for _ in 0..40 {
        let slow = scenario.serve_all_but_first();
        for _ in 0..20 {
            scenario.advance(TURN_INTERVAL);
            scenario.fleet.on_turn(scenario.now);
        }
        scenario.complete(slow, AttemptOutcome::Served);
        if scenario.ejected() == 1 {
            return;
        }
    }
    panic!("the slow member was not ejected");
}
