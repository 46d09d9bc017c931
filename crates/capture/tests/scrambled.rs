//! The calls found in a capture are exactly the generated ones, except those that a hole overlaps.
//!
//! `SEEDS=10000 cargo test --release -p rainstand-capture --test scrambled` runs more seeds than CI does.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

mod stand_ins;

use nanorand::{Rng, WyRand};
use rainstand_capture::tickets::{Event, Outcome};
use rainstand_capture::{read, Summary};
use stand_ins::{scenario, Faults, Message, Scenario};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

type FoundCalls = BTreeMap<(usize, i32), (u64, Outcome)>;

fn read_calls(file: &[u8]) -> (FoundCalls, Summary) {
    let (mut tickets, mut calls, mut duplicates) = (FoundCalls::new(), 0u64, 0);
    let summary = read(file, |event| match event {
        Event::Call { .. } => calls += 1,
        Event::Ticket(ticket) => {
            let key = (ticket.call.connection as usize, ticket.call.seq);
            duplicates += u64::from(
                tickets
                    .insert(key, (ticket.call.body_hash, ticket.outcome))
                    .is_some(),
            );
        }
        _ => {}
    });
    // Every call is reported once and has one outcome.
    assert_eq!((calls, duplicates), (tickets.len() as u64, 0));
    assert_eq!(calls, summary.tickets.calls);
    (tickets, summary)
}

fn matches_outcome(answer: &Option<Message>, outcome: &Outcome) -> bool {
    match (answer, outcome) {
        (
            Some(Message::Served(body)),
            Outcome::Honoured {
                body_length,
                body_hash,
            },
        ) => (body.len(), xxh3_64(body)) == (*body_length, *body_hash),
        (Some(Message::Rejected), Outcome::Dismissed { fields }) => {
            fields[0] == ("pause".into(), "250".into())
        }
        (Some(Message::Failed), Outcome::GivenUp)
        | (Some(Message::Exception), Outcome::Exception { code: 6 }) => true,
        (None, Outcome::Gone | Outcome::None) => true,
        _ => false,
    }
}

fn check_calls(scenario: &Scenario, packets: usize, file: &[u8], context: &str) -> Summary {
    let (tickets, summary) = read_calls(file);
    let order = scenario.order(packets);
    let expected: BTreeMap<_, _> = scenario
        .expected(packets)
        .into_iter()
        .map(|((connection, seq), content)| {
            let number = order
                .iter()
                .position(|candidate| *candidate == connection)
                .unwrap();
            ((number, seq), content)
        })
        .collect();
    let keys: (Vec<_>, Vec<_>) = (tickets.keys().collect(), expected.keys().collect());
    assert_eq!(keys.0, keys.1, "{context}: {summary:?}");
    for (key, (body, answer)) in &expected {
        let (hash, outcome) = &tickets[key];
        assert_eq!(*hash, xxh3_64(body), "{context}: body of {key:?}");
        assert!(
            matches_outcome(answer, outcome),
            "{context}: {key:?} is {outcome:?}, not {answer:?}: {summary:?}"
        );
    }
    summary
}

/// The faults of a seed.
fn faults(seed: u64) -> Faults {
    let mut rng = WyRand::new_seed(seed ^ 0x7261_696e);
    let mut percent = |limit: u32| {
        if rng.generate_range(0..2u8) == 0 {
            0
        } else {
            rng.generate_range(0..limit)
        }
    };
    let (dropped, repeated, overlapped) = (percent(8), percent(30), percent(40));
    let moved = percent(24) as usize;
    Faults {
        connections: rng.generate_range(1..5),
        calls: rng.generate_range(1..14),
        dropped,
        repeated,
        overlapped,
        moved,
        segment: [1, 7, 60, 400, 1_448][rng.generate_range(0..5usize)],
        snap: [None, None, None, Some(96), Some(300)][rng.generate_range(0..5usize)],
        wraps: rng.generate_range(0..2u8) == 0,
        v6: rng.generate_range(0..4u8) == 0,
    }
}

#[test]
fn all_calls_are_found_except_those_that_a_hole_overlaps() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400u64);
    let (mut intact, mut missing, mut holes) = (0, 0, 0);
    for seed in 0..seeds {
        let faults = faults(seed);
        let scenario = scenario(seed, &faults);
        let (file, _) = scenario.file();
        let context = format!("seed {seed}, {faults:?}");
        let summary = check_calls(&scenario, scenario.packets.len(), &file, &context);
        let generated = faults.connections * faults.calls;
        if faults.dropped == 0 && faults.snap.is_none() {
            intact += 1;
            assert_eq!(
                (summary.tickets.calls as usize, summary.streams.holes),
                (generated, 0),
                "{context}"
            );
            assert_eq!(
                summary.tickets.cut_calls + summary.tickets.cut_answers,
                0,
                "{context}"
            );
        } else {
            missing += generated - summary.tickets.calls as usize;
            holes += summary.streams.holes;
        }
    }
    // Guards against a vacuous pass: the faults do occur.
    assert!(
        intact > 40 && missing > 100 && holes > 100,
        "{intact} {missing} {holes}"
    );
}

#[test]
fn file_truncated_at_any_byte_is_read_up_to_the_last_complete_packet() {
    let faults = Faults {
        connections: 1,
        calls: 3,
        moved: 3,
        segment: 150,
        ..Faults::default()
    };
    let scenario = scenario(5, &faults);
    let (file, ends) = scenario.file();
    for cut in 0..file.len() {
        let packets = ends.iter().filter(|end| **end <= cut).count();
        let summary = check_calls(&scenario, packets, &file[..cut], &format!("cut at {cut}"));
        assert_eq!(summary.file.packets as usize, packets);
        let at_a_block = ends.contains(&cut);
        assert_eq!(
            summary.cut_off.is_none(),
            at_a_block || packets == 0 && summary.cut_off.is_none(),
            "cut at {cut}"
        );
    }
}

#[test]
fn five_hundred_concurrent_connections_are_read_completely() {
    let faults = Faults {
        connections: 500,
        calls: 12,
        moved: 200,
        repeated: 5,
        overlapped: 10,
        segment: 200,
        ..Faults::default()
    };
    let scenario = scenario(77, &faults);
    let summary = check_calls(&scenario, scenario.packets.len(), &scenario.file().0, "500");
    assert_eq!(
        (summary.tickets.calls, summary.streams.connections),
        (6_000, 500)
    );
}

#[test]
fn open_calls_are_bounded_in_bytes_over_all_connections() {
    // 5,000 connections, each with one unanswered call with 7 KB of fields: 35 MB in total.
    let long_value = "x".repeat(7_000);
    let end = |n: u32, port: u16| {
        rainstand_capture::packet::End::new([10, 0, (n >> 8) as u8, n as u8].into(), port)
    };
    let mut file = rainstand_capture::write::head("test");
    for n in 0..5_000 {
        let mut conversation =
            rainstand_capture::write::Conversation::new(end(n, 40_000), end(65_000, 5050), [1, 2]);
        let mut packets: Vec<_> = conversation.open().into_iter().collect();
        packets.extend(conversation.data(
            0,
            &rainstand_protocol::thrift::process(1, &[("route", &long_value)], b""),
        ));
        packets.iter().for_each(|packet| {
            rainstand_capture::write::packet(&mut file, u64::from(n), packet, packet.len())
        });
    }
    let (tickets, summary) = read_calls(&file);
    assert_eq!((tickets.len(), summary.tickets.none), (5_000, 5_000));
    // Calls within the limit are kept, the others are dropped and counted.
    let kept = rainstand_capture::tickets::MAX_BUFFERED_BYTES / 7_000;
    assert!(
        (5_000 - kept as u64).abs_diff(summary.tickets.let_go) < 300,
        "{kept} {summary:?}"
    );
}

#[test]
fn corrupted_files_are_read_without_panics_or_unmatched_calls() {
    let faults = Faults {
        connections: 3,
        calls: 6,
        moved: 4,
        dropped: 3,
        segment: 120,
        ..Faults::default()
    };
    let (file, _) = scenario(9, &faults).file();
    let mut rng = WyRand::new_seed(4);
    for _ in 0..3_000 {
        let mut corrupted = file.clone();
        for _ in 0..rng.generate_range(1..12usize) {
            let at = rng.generate_range(0..corrupted.len().max(1));
            if corrupted.len() < 80 {
                break;
            }
            match rng.generate_range(0..4u8) {
                0 => corrupted[at] = rng.generate(),
                1 => corrupted[at] ^= 1 << rng.generate_range(0..8u8),
                2 => drop(
                    corrupted.drain(at..(at + rng.generate_range(1..60usize)).min(corrupted.len())),
                ),
                _ => corrupted.truncate(at.max(40)),
            }
        }
        // Every call has exactly one outcome for any file content.
        let mut open = 0i64;
        let summary = read(&corrupted[..], |event| match event {
            Event::Call { .. } => open += 1,
            Event::Ticket(_) => open -= 1,
            _ => {}
        });
        assert_eq!(open, 0, "{summary:?}");
    }
}
