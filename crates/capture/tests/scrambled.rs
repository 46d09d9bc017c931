//! Tickets found are tickets put in, less exactly those that a hole touches.
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
use stand_ins::{scene, Said, Scene, Trouble};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

type Found = BTreeMap<(usize, i32), (u64, Outcome)>;

fn found(file: &[u8]) -> (Found, Summary) {
    let (mut tickets, mut calls, mut doubled) = (Found::new(), 0u64, 0);
    let summary = read(file, |event| match event {
        Event::Call { .. } => calls += 1,
        Event::Ticket(ticket) => {
            let key = (ticket.call.connection as usize, ticket.call.seq);
            doubled += u64::from(
                tickets
                    .insert(key, (ticket.call.body_hash, ticket.outcome))
                    .is_some(),
            );
        }
        _ => {}
    });
    // Every call is told once, and has one end.
    assert_eq!((calls, doubled), (tickets.len() as u64, 0));
    assert_eq!(calls, summary.tickets.calls);
    (tickets, summary)
}

fn same(said: &Option<Said>, outcome: &Outcome) -> bool {
    match (said, outcome) {
        (
            Some(Said::Honoured(body)),
            Outcome::Honoured {
                body_length,
                body_hash,
            },
        ) => (body.len(), xxh3_64(body)) == (*body_length, *body_hash),
        (Some(Said::Dismissed), Outcome::Dismissed { fields }) => {
            fields[0] == ("pause".into(), "250".into())
        }
        (Some(Said::GivenUp), Outcome::GivenUp)
        | (Some(Said::Exception), Outcome::Exception { code: 6 }) => true,
        (None, Outcome::Gone | Outcome::None) => true,
        _ => false,
    }
}

fn honest(scene: &Scene, packets: usize, file: &[u8], about: &str) -> Summary {
    let (tickets, summary) = found(file);
    let order = scene.order(packets);
    let wanted: BTreeMap<_, _> = scene
        .honest(packets)
        .into_iter()
        .map(|((connection, seq), what)| {
            let number = order.iter().position(|one| *one == connection).unwrap();
            ((number, seq), what)
        })
        .collect();
    let keys: (Vec<_>, Vec<_>) = (tickets.keys().collect(), wanted.keys().collect());
    assert_eq!(keys.0, keys.1, "{about}: {summary:?}");
    for (key, (body, said)) in &wanted {
        let (hash, outcome) = &tickets[key];
        assert_eq!(*hash, xxh3_64(body), "{about}: body of {key:?}");
        assert!(
            same(said, outcome),
            "{about}: {key:?} is {outcome:?}, not {said:?}: {summary:?}"
        );
    }
    summary
}

/// A kind of trouble by the seed.
fn trouble(seed: u64) -> Trouble {
    let mut chance = WyRand::new_seed(seed ^ 0x7261_696e);
    let mut percent = |most: u32| {
        if chance.generate_range(0..2u8) == 0 {
            0
        } else {
            chance.generate_range(0..most)
        }
    };
    let (dropped, repeated, overlapped) = (percent(8), percent(30), percent(40));
    let moved = percent(24) as usize;
    Trouble {
        connections: chance.generate_range(1..5),
        calls: chance.generate_range(1..14),
        dropped,
        repeated,
        overlapped,
        moved,
        segment: [1, 7, 60, 400, 1_448][chance.generate_range(0..5usize)],
        snap: [None, None, None, Some(96), Some(300)][chance.generate_range(0..5usize)],
        wraps: chance.generate_range(0..2u8) == 0,
        v6: chance.generate_range(0..4u8) == 0,
    }
}

#[test]
fn tickets_found_are_tickets_put_in_less_those_that_a_hole_touches() {
    let seeds = std::env::var("SEEDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(400u64);
    let (mut whole, mut touched, mut holes) = (0, 0, 0);
    for seed in 0..seeds {
        let trouble = trouble(seed);
        let scene = scene(seed, &trouble);
        let (file, _) = scene.file();
        let about = format!("seed {seed}, {trouble:?}");
        let summary = honest(&scene, scene.packets.len(), &file, &about);
        let put_in = trouble.connections * trouble.calls;
        if trouble.dropped == 0 && trouble.snap.is_none() {
            whole += 1;
            assert_eq!(
                (summary.tickets.calls as usize, summary.streams.holes),
                (put_in, 0),
                "{about}"
            );
            assert_eq!(
                summary.tickets.cut_calls + summary.tickets.cut_answers,
                0,
                "{about}"
            );
        } else {
            touched += put_in - summary.tickets.calls as usize;
            holes += summary.streams.holes;
        }
    }
    // The troubles are there: else this would show nothing.
    assert!(
        whole > 40 && touched > 100 && holes > 100,
        "{whole} {touched} {holes}"
    );
}

#[test]
fn a_file_may_end_at_any_byte() {
    let trouble = Trouble {
        connections: 1,
        calls: 3,
        moved: 3,
        segment: 150,
        ..Trouble::default()
    };
    let scene = scene(5, &trouble);
    let (file, ends) = scene.file();
    for cut in 0..file.len() {
        let packets = ends.iter().filter(|end| **end <= cut).count();
        let summary = honest(&scene, packets, &file[..cut], &format!("cut at {cut}"));
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
fn five_hundred_connections_at_once() {
    let trouble = Trouble {
        connections: 500,
        calls: 12,
        moved: 200,
        repeated: 5,
        overlapped: 10,
        segment: 200,
        ..Trouble::default()
    };
    let scene = scene(77, &trouble);
    let summary = honest(&scene, scene.packets.len(), &scene.file().0, "500");
    assert_eq!(
        (summary.tickets.calls, summary.streams.connections),
        (6_000, 500)
    );
}

#[test]
fn calls_that_wait_are_bounded_in_bytes_over_all_connections() {
    // 5,000 connections, each with one call of 7 KB of fields that nobody answers: 35 MB of them.
    let long = "x".repeat(7_000);
    let end = |n: u32, port: u16| {
        rainstand_capture::packet::End::new([10, 0, (n >> 8) as u8, n as u8].into(), port)
    };
    let mut file = rainstand_capture::write::head("test");
    for n in 0..5_000 {
        let mut talk =
            rainstand_capture::write::Conversation::new(end(n, 40_000), end(65_000, 5050), [1, 2]);
        let mut packets: Vec<_> = talk.open().into_iter().collect();
        packets.extend(talk.data(
            0,
            &rainstand_protocol::thrift::process(1, &[("route", &long)], b""),
        ));
        packets.iter().for_each(|packet| {
            rainstand_capture::write::packet(&mut file, u64::from(n), packet, packet.len())
        });
    }
    let (tickets, summary) = found(&file);
    assert_eq!((tickets.len(), summary.tickets.none), (5_000, 5_000));
    // What fits waits, the rest is let go and counted.
    let fit = rainstand_capture::tickets::MAX_BUFFERED_BYTES / 7_000;
    assert!(
        (5_000 - fit as u64).abs_diff(summary.tickets.let_go) < 300,
        "{fit} {summary:?}"
    );
}

#[test]
fn mutated_files_are_borne() {
    let trouble = Trouble {
        connections: 3,
        calls: 6,
        moved: 4,
        dropped: 3,
        segment: 120,
        ..Trouble::default()
    };
    let (file, _) = scene(9, &trouble).file();
    let mut chance = WyRand::new_seed(4);
    for _ in 0..3_000 {
        let mut bent = file.clone();
        for _ in 0..chance.generate_range(1..12usize) {
            let at = chance.generate_range(0..bent.len().max(1));
            if bent.len() < 80 {
                break;
            }
            match chance.generate_range(0..4u8) {
                0 => bent[at] = chance.generate(),
                1 => bent[at] ^= 1 << chance.generate_range(0..8u8),
                2 => drop(bent.drain(at..(at + chance.generate_range(1..60usize)).min(bent.len()))),
                _ => bent.truncate(at.max(40)),
            }
        }
        // Told once and ended once, whatever the file says (in `found`).
        let mut open = 0i64;
        let summary = read(&bent[..], |event| match event {
            Event::Call { .. } => open += 1,
            Event::Ticket(_) => open -= 1,
            _ => {}
        });
        assert_eq!(open, 0, "{summary:?}");
    }
}
