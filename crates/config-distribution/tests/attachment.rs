//! The order in which servers are tried, and the delays between attempts.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod common;

use common::{identity, NOW};
use rainstand_config_distribution::attachment::{
    preference_order, AttachmentPolicy, NodeIdentity, ATTACH_JITTER, MAX_RETRY_DELAY,
};
use std::time::Duration;

#[test]
fn servers_are_ordered_by_proximity_and_spread_evenly() {
    let servers: Vec<NodeIdentity> = (0..6)
        .map(|k| identity(&format!("c{k}"), &format!("r{}", k / 3), &format!("z{k}")))
        .collect();
    for k in 0..60 {
        let place = k % 6;
        let node = identity(
            &format!("n{k}"),
            &format!("r{}", place / 3),
            &format!("z{place}"),
        );
        let order = preference_order(&node, &servers);
        assert_eq!(order[0], place, "its own zone first");
        assert!(
            order[1..3].iter().all(|server| server / 3 == place / 3),
            "then its region"
        );
    }
    // When the zone's server fails, about half of its 105 processes go to each of the other two of the region.
    let seconds: Vec<usize> = (0..105)
        .map(|k| preference_order(&identity(&format!("n{k}"), "r0", "z0"), &servers)[1])
        .collect();
    let first = seconds.iter().filter(|server| **server == 1).count();
    assert!((35..=70).contains(&first), "{first} of 105");
}

#[test]
fn reconnect_delays_are_jittered_and_back_off() {
    let servers = [identity("c0", "r", "z"), identity("c1", "r", "z")];
    let mut first_delays = Vec::new();
    for seed in 0..200 {
        let mut now = NOW;
        let mut policy = AttachmentPolicy::new(now, &identity("n", "r", "z"), &servers, seed);
        now = policy.next_deadline().unwrap();
        let first = policy.next_server(now).unwrap();
        assert_eq!(policy.next_server(now), None, "one attempt at a time");
        policy.on_attached(now);
        now += Duration::from_secs(30);
        policy.on_disconnected(now);
        first_delays.push(policy.next_deadline().unwrap() - now);
        let mut max_delay = ATTACH_JITTER;
        for k in 1..8 {
            let delay = policy.next_deadline().unwrap() - now;
            assert!(delay <= max_delay, "{delay:?} after {k}");
            now += delay;
            assert_eq!(policy.next_server(now), Some((first + k) % 2));
            policy.on_disconnected(now);
            max_delay = (max_delay * 2).min(MAX_RETRY_DELAY);
        }
    }
    let early = first_delays
        .iter()
        .filter(|delay| **delay < ATTACH_JITTER / 4)
        .count();
    assert!(
        (25..=75).contains(&early),
        "{early} of 200 in the first quarter"
    );
}
