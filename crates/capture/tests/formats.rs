//! Every supported file format and link type yields the same requests at the same times.

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

const START_NS: u64 = 1_764_576_000_123_456_000;

/// Raw IP packets with timestamps (ns): three calls, the last one large, each answered after 2 ms.
fn packets(v6: bool) -> Vec<(u64, Vec<u8>)> {
    let ip = |last: u8| match v6 {
        true => format!("fd00::{last}").parse().unwrap(),
        false => std::net::IpAddr::from([10, 0, 0, last]),
    };
    let mut conversation = Conversation::new(
        End::new(ip(1), 40_000),
        End::new(ip(2), 5050),
        [3, u32::MAX - 100],
    );
    let mut all: Vec<_> = conversation
        .open()
        .into_iter()
        .map(|packet| (START_NS, packet))
        .collect();
    for seq in 1..=3 {
        let at = START_NS + seq as u64 * 10_000_000;
        let call = thrift::process(
            seq,
            &[("route", "check")],
            &vec![seq as u8; if seq == 3 { 4_000 } else { 20 }],
        );
        all.extend(conversation.data(0, &call).map(|packet| (at, packet)));
        let answer = thrift::answer(b"process", seq, b"result", true);
        all.extend(
            conversation
                .data(1, &answer)
                .map(|packet| (at + 2_000_000, packet)),
        );
    }
    all.extend([0, 1].map(|side| (START_NS + 40_000_000, conversation.finish(side))));
    all
}

/// Start (since `START_NS`) and duration of each request, in us.
fn read_requests(file: &[u8]) -> (Vec<(u64, u64)>, Summary) {
    let mut all = Vec::new();
    let summary = read(file, |event| {
        if let Event::Ticket(ticket) = event {
            let answered = ticket.answered.expect("an answer");
            all.push((
                (ticket.call.at - START_NS) / 1_000,
                (answered - ticket.call.at) / 1_000,
            ));
        }
    });
    (all, summary)
}

const EXPECTED: [(u64, u64); 3] = [(10_000, 2_000), (20_000, 2_000), (30_000, 2_000)];

fn pcap_file(
    big_endian: bool,
    nanoseconds: bool,
    link: u32,
    packets: &[(u64, Vec<u8>)],
) -> Vec<u8> {
    let u32_bytes = |n: u32| {
        if big_endian {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let u16_bytes = |n: u16| {
        if big_endian {
            n.to_be_bytes()
        } else {
            n.to_le_bytes()
        }
    };
    let mut file = u32_bytes(if nanoseconds {
        0xa1b2_3c4d
    } else {
        0xa1b2_c3d4
    })
    .to_vec();
    file.extend(u16_bytes(2));
    file.extend(u16_bytes(4));
    for n in [0, 0, 65_535, link] {
        file.extend(u32_bytes(n));
    }
    for (at, packet) in packets {
        let part = (at % 1_000_000_000) / if nanoseconds { 1 } else { 1_000 };
        for n in [
            (at / 1_000_000_000) as u32,
            part as u32,
            packet.len() as u32,
            packet.len() as u32,
        ] {
            file.extend(u32_bytes(n));
        }
        file.extend(packet);
    }
    file
}

fn with_link_headers(
    packets: &[(u64, Vec<u8>)],
    wrap: impl Fn(&[u8]) -> Vec<u8>,
) -> Vec<(u64, Vec<u8>)> {
    packets
        .iter()
        .map(|(at, packet)| (*at, wrap(packet)))
        .collect()
}

fn ether_type(ip: &[u8]) -> [u8; 2] {
    if ip[0] >> 4 == 6 {
        [0x86, 0xdd]
    } else {
        [8, 0]
    }
}

#[test]
fn pcap_is_read_in_both_byte_orders_and_resolutions() {
    for (big_endian, ns) in [(false, false), (false, true), (true, false), (true, true)] {
        let (tickets, summary) = read_requests(&pcap_file(big_endian, ns, 101, &packets(false)));
        assert_eq!(
            (tickets.as_slice(), summary.file.format),
            (&EXPECTED[..], "pcap"),
            "{big_endian} {ns}"
        );
    }
}

#[test]
fn every_link_type_is_parsed() {
    for v6 in [false, true] {
        let raw = packets(v6);
        let mac = [2; 12];
        let ethernet = |ip: &[u8]| [&mac[..], &ether_type(ip), ip].concat();
        // Ethernet frames have at least 60 bytes: padding is not payload.
        let padded = |ip: &[u8]| {
            let mut frame = ethernet(ip);
            frame.resize(frame.len().max(60), 0xee);
            frame
        };
        let vlan = |ip: &[u8]| [&mac[..], &[0x81, 0, 0, 7], &ether_type(ip), ip].concat();
        let double_vlan = |ip: &[u8]| {
            [
                &mac[..],
                &[0x88, 0xa8, 0, 5, 0x81, 0, 0, 7],
                &ether_type(ip),
                ip,
            ]
            .concat()
        };
        let cooked = |ip: &[u8]| {
            [
                &[0, 0, 0, 1, 0, 6, 2, 2, 2, 2, 2, 2, 0, 0][..],
                &ether_type(ip),
                ip,
            ]
            .concat()
        };
        let cooked2 = |ip: &[u8]| [&ether_type(ip)[..], &[0; 18], ip].concat();
        let family = if v6 { [30, 0, 0, 0] } else { [2, 0, 0, 0] };
        let loopback = |ip: &[u8]| [&family[..], ip].concat();
        type Wrap<'w> = &'w dyn Fn(&[u8]) -> Vec<u8>;
        let links: [(u32, Wrap<'_>); 8] = [
            (1, &ethernet),
            (1, &padded),
            (1, &vlan),
            (1, &double_vlan),
            (113, &cooked),
            (276, &cooked2),
            (0, &loopback),
            (if v6 { 229 } else { 228 }, &|ip| ip.to_vec()),
        ];
        for (k, (link, wrap)) in links.into_iter().enumerate() {
            let (tickets, summary) = read_requests(&pcap_file(
                false,
                true,
                link,
                &with_link_headers(&raw, wrap),
            ));
            assert_eq!(tickets, EXPECTED, "link {link}, {k}: {summary:?}");
        }
    }
    let (tickets, summary) = read_requests(&pcap_file(false, true, 147, &packets(false)));
    assert_eq!(
        (tickets.len(), summary.packets.not_ip),
        (0, summary.file.packets)
    );
}

#[test]
fn ipv6_extension_headers_are_skipped() {
    let with_options = |ip: &[u8]| {
        let mut packet = ip.to_vec();
        let length = u16::from_be_bytes([ip[4], ip[5]]) + 8;
        packet[4..6].copy_from_slice(&length.to_be_bytes());
        // Hop-by-hop options: TCP next, six bytes of padding.
        packet[6] = 0;
        packet.splice(40..40, [6, 0, 1, 4, 0, 0, 0, 0]);
        packet
    };
    let (tickets, _) = read_requests(&pcap_file(
        false,
        true,
        101,
        &with_link_headers(&packets(true), with_options),
    ));
    assert_eq!(tickets, EXPECTED);
}

/// Splits IPv4 packets into fragments of at most 64 payload bytes; `order` reorders those of each packet.
fn fragments(packets: &[(u64, Vec<u8>)], order: impl Fn(&mut Vec<Vec<u8>>)) -> Vec<(u64, Vec<u8>)> {
    let mut all = Vec::new();
    for (id, (at, packet)) in packets.iter().enumerate() {
        let (header, payload) = packet.split_at(20);
        let parts: Vec<&[u8]> = payload.chunks(64).collect();
        let mut generated: Vec<Vec<u8>> = parts
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
        order(&mut generated);
        all.extend(generated.into_iter().map(|piece| (*at, piece)));
    }
    all
}

#[test]
fn fragments_are_reassembled_or_counted_as_lost() {
    let raw = packets(false);
    let orders: [fn(&mut Vec<Vec<u8>>); 3] = [
        |_| {},
        |all| all.reverse(),
        |all| {
            let copies = all.clone();
            all.extend(copies);
        },
    ];
    for order in orders {
        let (tickets, summary) =
            read_requests(&pcap_file(false, true, 101, &fragments(&raw, order)));
        assert_eq!(tickets, EXPECTED, "{summary:?}");
        assert!(summary.packets.put_together >= 5, "{summary:?}");
    }
    // Without one fragment of the large call, that call is truncated and its direction is read up to it.
    let mut lost = false;
    let mut incomplete = fragments(&raw, |_| {});
    incomplete.retain(|(at, piece)| {
        let drop = !lost && *at == START_NS + 30_000_000 && piece.len() == 84;
        lost |= drop;
        !drop
    });
    let summary = read(&pcap_file(false, true, 101, &incomplete)[..], |_| {});
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
fn each_interface_has_its_own_link_type_and_clock() {
    let raw = packets(false);
    let mut file = write::head("test");
    let mut block = |kind: u32, body: &[u8]| {
        let total = (12 + body.len() as u32).to_le_bytes();
        file.extend(kind.to_le_bytes());
        file.extend(total);
        file.extend(body);
        file.extend(total);
    };
    // A second interface: Ethernet, 2^-20 s; a third one: default microseconds, with an offset of one day.
    let mut ethernet = vec![1, 0, 0, 0, 0, 0, 0, 0];
    ethernet.extend([9, 0, 1, 0, 0x94, 0, 0, 0, 0, 0, 0, 0]);
    block(1, &ethernet);
    let mut offset = vec![101, 0, 0, 0, 0, 0, 0, 0];
    offset.extend([14, 0, 8, 0]);
    offset.extend(86_400i64.to_le_bytes());
    offset.extend([0, 0, 0, 0]);
    block(1, &offset);
    // Blocks to be skipped: a custom block and interface statistics.
    block(0xbad, &[1, 2, 3, 4]);
    block(5, &[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    for (k, (at, packet)) in raw.iter().enumerate() {
        let (ticks, bytes) = match k % 3 {
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
            (ticks >> 32) as u32,
            ticks as u32,
            bytes.len() as u32,
            bytes.len() as u32,
        ] {
            body.extend(word.to_le_bytes());
        }
        body.extend(&bytes);
        body.resize(body.len().next_multiple_of(4), 0);
        block(6, &body);
    }
    let (tickets, summary) = read_requests(&file);
    assert_eq!(
        (tickets.len(), summary.file.passed_over, summary.cut_off),
        (3, 2, None)
    );
    for ((at, took), (expected_at, expected_took)) in tickets.into_iter().zip(EXPECTED) {
        // The coarsest clock has a resolution of one microsecond.
        assert!(
            at.abs_diff(expected_at) <= 2 && took.abs_diff(expected_took) <= 2,
            "{at} {took}"
        );
    }
}

#[test]
fn reused_ports_are_a_new_connection() {
    let mut all = packets(false);
    let reused: Vec<_> = {
        let ip = |last: u8| std::net::IpAddr::from([10, 0, 0, last]);
        let mut conversation = Conversation::new(
            End::new(ip(1), 40_000),
            End::new(ip(2), 5050),
            [90_000, 70_000],
        );
        let mut generated: Vec<_> = conversation.open().into_iter().collect();
        generated.extend(conversation.data(0, &thrift::process(1, &[("route", "again")], b"")));
        generated.extend(conversation.data(1, &thrift::lost(1)));
        generated.push(conversation.reset(0));
        generated
    };
    all.extend(
        reused
            .into_iter()
            .map(|packet| (START_NS + 50_000_000, packet)),
    );
    let mut outcomes = Vec::new();
    let summary = read(&pcap_file(false, true, 101, &all)[..], |event| {
        if let Event::Ticket(ticket) = event {
            outcomes.push((
                ticket.call.connection,
                ticket.call.seq,
                ticket.outcome.word(),
            ));
        }
    });
    assert_eq!(outcomes[3], (1, 1, "given_up"), "{summary:?}");
    assert_eq!(
        (summary.streams.connections, summary.tickets.answered_twice),
        (2, 0)
    );
}

#[test]
fn capture_that_starts_mid_connection_yields_no_invented_calls() {
    let all = packets(false);
    for from in 1..all.len() {
        let summary = read(&pcap_file(false, true, 101, &all[from..])[..], |_| {});
        // Without both SYN packets, frame boundaries of the caller's direction are unknown.
        assert!(summary.tickets.calls <= 3);
        if from >= 2 {
            assert_eq!(summary.tickets.calls, 0, "{from}: {summary:?}");
        }
        assert_eq!(summary.tickets.unreadable, 0);
    }
}
