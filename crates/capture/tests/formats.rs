//! The same conversation in every file format and link that is read: the same tickets at the same times.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "a test target: clippy's default lints hold"
)]

use rainstand_capture::packet::End;
use rainstand_capture::tickets::Event;
use rainstand_capture::write::{self, Conversation};
use rainstand_capture::{read, Summary};
use rainstand_protocol::thrift;

const START: u64 = 1_764_576_000_123_456_000;

/// Packets (raw IP) with their times: three calls, the last one large, each answered 2 ms later.
fn packets(v6: bool) -> Vec<(u64, Vec<u8>)> {
    let ip = |last: u8| match v6 {
        true => format!("fd00::{last}").parse().unwrap(),
        false => std::net::IpAddr::from([10, 0, 0, last]),
    };
    let mut talk = Conversation::new(
        End::new(ip(1), 40_000),
        End::new(ip(2), 5050),
        [3, u32::MAX - 100],
    );
    let mut all: Vec<_> = talk
        .open()
        .into_iter()
        .map(|packet| (START, packet))
        .collect();
    for seq in 1..=3 {
        let at = START + seq as u64 * 10_000_000;
        let call = thrift::process(
            seq,
            &[("route", "check")],
            &vec![seq as u8; if seq == 3 { 4_000 } else { 20 }],
        );
        all.extend(talk.data(0, &call).map(|packet| (at, packet)));
        let told = thrift::answer(b"process", seq, b"result", true);
        all.extend(talk.data(1, &told).map(|packet| (at + 2_000_000, packet)));
    }
    all.extend([0, 1].map(|side| (START + 40_000_000, talk.finish(side))));
    all
}

/// `at` and `took` of each ticket, from the start, in us.
fn found(file: &[u8]) -> (Vec<(u64, u64)>, Summary) {
    let mut all = Vec::new();
    let summary = read(file, |event| {
        if let Event::Ticket(ticket) = event {
            let answered = ticket.answered.expect("an answer");
            all.push((
                (ticket.call.at - START) / 1_000,
                (answered - ticket.call.at) / 1_000,
            ));
        }
    });
    (all, summary)
}

const WANTED: [(u64, u64); 3] = [(10_000, 2_000), (20_000, 2_000), (30_000, 2_000)];

fn classic(big: bool, nanoseconds: bool, link: u32, packets: &[(u64, Vec<u8>)]) -> Vec<u8> {
    let word = |n: u32| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let half = |n: u16| {
        if big {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let mut file = word(if nanoseconds {
        0xa1b2_3c4d
    } else {
        0xa1b2_c3d4
    })
    .to_vec();
    file.extend(half(2));
    file.extend(half(4));
    for n in [0, 0, 65_535, link] {
        file.extend(word(n));
    }
    for (at, packet) in packets {
        let part = (at % 1_000_000_000) / if nanoseconds { 1 } else { 1_000 };
        for n in [
            (at / 1_000_000_000) as u32,
            part as u32,
            packet.len() as u32,
            packet.len() as u32,
        ] {
            file.extend(word(n));
        }
        file.extend(packet);
    }
    file
}

fn wrapped(packets: &[(u64, Vec<u8>)], wrap: impl Fn(&[u8]) -> Vec<u8>) -> Vec<(u64, Vec<u8>)> {
    packets
        .iter()
        .map(|(at, packet)| (*at, wrap(packet)))
        .collect()
}

fn kind(ip: &[u8]) -> [u8; 2] {
    if ip[0] >> 4 == 6 {
        [0x86, 0xdd]
    } else {
        [8, 0]
    }
}

#[test]
fn both_byte_orders_and_resolutions() {
    for (big, ns) in [(false, false), (false, true), (true, false), (true, true)] {
        let (tickets, summary) = found(&classic(big, ns, 101, &packets(false)));
        assert_eq!(
            (tickets.as_slice(), summary.file.format),
            (&WANTED[..], "pcap"),
            "{big} {ns}"
        );
    }
}

#[test]
fn every_link() {
    for v6 in [false, true] {
        let raw = packets(v6);
        let mac = [2; 12];
        let ethernet = |ip: &[u8]| [&mac[..], &kind(ip), ip].concat();
        // Frames of an Ethernet are at least 60 bytes: padding is no payload.
        let padded = |ip: &[u8]| {
            let mut frame = ethernet(ip);
            frame.resize(frame.len().max(60), 0xee);
            frame
        };
        let vlan = |ip: &[u8]| [&mac[..], &[0x81, 0, 0, 7], &kind(ip), ip].concat();
        let two =
            |ip: &[u8]| [&mac[..], &[0x88, 0xa8, 0, 5, 0x81, 0, 0, 7], &kind(ip), ip].concat();
        let cooked = |ip: &[u8]| {
            [
                &[0, 0, 0, 1, 0, 6, 2, 2, 2, 2, 2, 2, 0, 0][..],
                &kind(ip),
                ip,
            ]
            .concat()
        };
        let cooked2 = |ip: &[u8]| [&kind(ip)[..], &[0; 18], ip].concat();
        let family = if v6 { [30, 0, 0, 0] } else { [2, 0, 0, 0] };
        let loopback = |ip: &[u8]| [&family[..], ip].concat();
        type Wrap<'w> = &'w dyn Fn(&[u8]) -> Vec<u8>;
        let links: [(u32, Wrap<'_>); 8] = [
            (1, &ethernet),
            (1, &padded),
            (1, &vlan),
            (1, &two),
            (113, &cooked),
            (276, &cooked2),
            (0, &loopback),
            (if v6 { 229 } else { 228 }, &|ip| ip.to_vec()),
        ];
        for (k, (link, wrap)) in links.into_iter().enumerate() {
            let (tickets, summary) = found(&classic(false, true, link, &wrapped(&raw, wrap)));
            assert_eq!(tickets, WANTED, "link {link}, {k}: {summary:?}");
        }
    }
    let (tickets, summary) = found(&classic(false, true, 147, &packets(false)));
    assert_eq!(
        (tickets.len(), summary.packets.not_ip),
        (0, summary.file.packets)
    );
}

#[test]
fn extension_headers_are_passed() {
    let with_options = |ip: &[u8]| {
        let mut packet = ip.to_vec();
        let length = u16::from_be_bytes([ip[4], ip[5]]) + 8;
        packet[4..6].copy_from_slice(&length.to_be_bytes());
        // Hop-by-hop options: TCP next, six bytes of padding.
        packet[6] = 0;
        packet.splice(40..40, [6, 0, 1, 4, 0, 0, 0, 0]);
        packet
    };
    let (tickets, _) = found(&classic(
        false,
        true,
        101,
        &wrapped(&packets(true), with_options),
    ));
    assert_eq!(tickets, WANTED);
}

/// IPv4 packets in fragments of at most 64 bytes, in the order that `order` gives them.
fn fragments(packets: &[(u64, Vec<u8>)], order: impl Fn(&mut Vec<Vec<u8>>)) -> Vec<(u64, Vec<u8>)> {
    let mut all = Vec::new();
    for (id, (at, packet)) in packets.iter().enumerate() {
        let (header, payload) = packet.split_at(20);
        let parts: Vec<&[u8]> = payload.chunks(64).collect();
        let mut made: Vec<Vec<u8>> = parts
            .iter()
            .enumerate()
            .map(|(k, part)| {
                let mut piece = header.to_vec();
                let more = if k + 1 < parts.len() { 0x2000 } else { 0 };
                piece[2..4].copy_from_slice(&(20 + part.len() as u16).to_be_bytes());
                piece[4..6].copy_from_slice(&(id as u16).to_be_bytes());
                piece[6..8].copy_from_slice(&(more | (k as u16 * 8)).to_be_bytes());
                piece.extend(*part);
                piece
            })
            .collect();
        order(&mut made);
        all.extend(made.into_iter().map(|piece| (*at, piece)));
    }
    all
}

#[test]
fn fragments_are_put_together_or_counted_as_lost() {
    let raw = packets(false);
    let orders: [fn(&mut Vec<Vec<u8>>); 3] = [
        |_| {},
        |all| all.reverse(),
        |all| {
            let again = all.clone();
            all.extend(again);
        },
    ];
    for order in orders {
        let (tickets, summary) = found(&classic(false, true, 101, &fragments(&raw, order)));
        assert_eq!(tickets, WANTED, "{summary:?}");
        assert!(summary.packets.put_together >= 5, "{summary:?}");
    }
    // One fragment of a large call is missing: that call is cut, its connection is read up to it.
    let mut lost = false;
    let mut cut = fragments(&raw, |_| {});
    cut.retain(|(at, piece)| {
        let drop = !lost && *at == START + 30_000_000 && piece.len() == 84;
        lost |= drop;
        !drop
    });
    let summary = read(&classic(false, true, 101, &cut)[..], |_| {});
    assert_eq!(
        (
            summary.tickets.calls,
            summary.tickets.answers_alone,
            summary.packets.fragments_lost
        ),
        (2, 1, 1)
    );
    assert!(summary.streams.hole_bytes > 1_000, "{summary:?}");
}

#[test]
fn interfaces_have_their_own_links_and_clocks() {
    let raw = packets(false);
    let mut file = write::head("test");
    let mut block = |kind: u32, body: &[u8]| {
        let total = (12 + body.len() as u32).to_le_bytes();
        file.extend(kind.to_le_bytes());
        file.extend(total);
        file.extend(body);
        file.extend(total);
    };
    // A second interface: Ethernet, 2^-20 s; and a third: microseconds by default, with an offset of a day.
    let mut ethernet = vec![1, 0, 0, 0, 0, 0, 0, 0];
    ethernet.extend([9, 0, 1, 0, 0x94, 0, 0, 0, 0, 0, 0, 0]);
    block(1, &ethernet);
    let mut offset = vec![101, 0, 0, 0, 0, 0, 0, 0];
    offset.extend([14, 0, 8, 0]);
    offset.extend(86_400i64.to_le_bytes());
    offset.extend([0, 0, 0, 0]);
    block(1, &offset);
    // Blocks that mean nothing here: a custom one and statistics.
    block(0xbad, &[1, 2, 3, 4]);
    block(5, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    for (k, (at, packet)) in raw.iter().enumerate() {
        let (steps, bytes) = match k % 3 {
            0 => (*at, packet.clone()),
            1 => (
                (u128::from(*at) * (1 << 20) / 1_000_000_000) as u64,
                [&[2; 12][..], &[8, 0], packet].concat(),
            ),
            _ => (at / 1_000 - 86_400_000_000, packet.clone()),
        };
        let mut body = Vec::new();
        for word in [
            (k % 3) as u32,
            (steps >> 32) as u32,
            steps as u32,
            bytes.len() as u32,
            bytes.len() as u32,
        ] {
            body.extend(word.to_le_bytes());
        }
        body.extend(&bytes);
        body.resize(body.len().next_multiple_of(4), 0);
        block(6, &body);
    }
    let (tickets, summary) = found(&file);
    assert_eq!(
        (tickets.len(), summary.file.passed_over, summary.cut_off),
        (3, 2, None)
    );
    for ((at, took), (wanted_at, wanted_took)) in tickets.into_iter().zip(WANTED) {
        // A step of the coarsest clock is a microsecond.
        assert!(
            at.abs_diff(wanted_at) <= 2 && took.abs_diff(wanted_took) <= 2,
            "{at} {took}"
        );
    }
}

#[test]
fn the_same_ports_again_are_another_connection() {
    let mut all = packets(false);
    let again: Vec<_> = {
        let ip = |last: u8| std::net::IpAddr::from([10, 0, 0, last]);
        let mut talk = Conversation::new(
            End::new(ip(1), 40_000),
            End::new(ip(2), 5050),
            [90_000, 70_000],
        );
        let mut made: Vec<_> = talk.open().into_iter().collect();
        made.extend(talk.data(0, &thrift::process(1, &[("route", "again")], b"")));
        made.extend(talk.data(1, &thrift::lost(1)));
        made.push(talk.reset(0));
        made
    };
    all.extend(again.into_iter().map(|packet| (START + 50_000_000, packet)));
    let mut kinds = Vec::new();
    let summary = read(&classic(false, true, 101, &all)[..], |event| {
        if let Event::Ticket(ticket) = event {
            kinds.push((
                ticket.call.connection,
                ticket.call.seq,
                ticket.outcome.word(),
            ));
        }
    });
    assert_eq!(kinds[3], (1, 1, "given_up"), "{summary:?}");
    assert_eq!(
        (summary.streams.connections, summary.tickets.answered_twice),
        (2, 0)
    );
}

#[test]
fn a_capture_that_begins_midway_invents_nothing() {
    let all = packets(false);
    for from in 1..all.len() {
        let summary = read(&classic(false, true, 101, &all[from..])[..], |_| {});
        // Without both openings nothing is proved of the caller's side.
        assert!(summary.tickets.calls <= 3);
        if from >= 2 {
            assert_eq!(summary.tickets.calls, 0, "{from}: {summary:?}");
        }
        assert_eq!(summary.tickets.unreadable, 0);
    }
}
