//! Recorded traffic: pcap and pcapng files to packets, TCP streams, frames and tickets.
//!
//! | module | from | to |
//! | --- | --- | --- |
//! | [`mod@file`] | a reader | packets with their time and link |
//! | [`packet`] | a packet | a TCP segment, out of Ethernet, VLANs, cooked or raw links, IPv4 and IPv6, fragments |
//! | [`stream`] | segments | the bytes of each direction in order, and the holes in them |
//! | [`frames`] | bytes and holes | whole frames; what a hole touches is cut, and nothing is guessed |
//! | [`tickets`] | frames of both directions | calls with what came of them |
//! | [`schedule`] | events | what a replay sends, when, on which connection |
//! | [`mod@write`] | streams | packets and files again |
//! | [`read`] | all of it together | |
//!
//! Everything but the reader that is handed in is pure. What is kept at one time is bounded by
//! [`stream::MOST_WAITING`], [`stream::MOST_CONNECTIONS`] and [`tickets::MOST_OPEN`], whatever the file says.

#![allow(
    missing_docs,
    unreachable_pub,
    clippy::pedantic,
    reason = "not yet brought to the workspace's lints, see docs/ROADMAP.md"
)]

pub mod file;
pub mod frames;
pub mod packet;
pub mod schedule;
pub mod stream;
pub mod tickets;
pub mod write;

use file::{Ended, FileInfo};
use packet::{Parts, Seen};
use std::io::Read;
use stream::Streams;
use tickets::{Event, Pairing};

/// What a whole file came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub file: FileInfo,
    pub packets: packet::Counts,
    pub streams: stream::Counts,
    pub tickets: tickets::Counts,
    /// Why reading ended before the file's end, if it did.
    pub cut_off: Option<String>,
}

/// The hash by which bodies are told apart in tickets and exports: xxh3.
pub fn hash(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}

/// Reads a whole file; `take` gets every event in the order in which the file tells of it.
///
/// A file that ends in the middle of a packet is read up to there, and the summary says so.
pub fn read(reader: impl Read + Send, take: impl FnMut(Event<'_>)) -> Summary {
    let mut parts = Parts::default();
    let mut streams = Streams::new(Pairing::new(take));
    let (file, ended) = file::packets(reader, |packet| match parts.look(packet) {
        Seen::Segment(segment) => streams.segment(&segment),
        Seen::Whole(datagram) => {
            if let Some(segment) = datagram.segment() {
                streams.segment(&segment);
            }
        }
        Seen::Nothing => {}
    });
    let (streams, pairing) = streams.end();
    Summary {
        file,
        packets: parts.end(),
        streams,
        tickets: pairing.end(),
        cut_off: match ended {
            Ended::Whole => None,
            Ended::Cut(why) => Some(why),
        },
    }
}
