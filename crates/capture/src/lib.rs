//! Recorded traffic: parses pcap and pcapng files into packets, TCP streams, frames and requests.
//!
//! | module | input | output |
//! | --- | --- | --- |
//! | [`mod@file`] | a reader | packets with timestamp and link type |
//! | [`packet`] | a packet | a TCP segment; handles Ethernet, VLAN, Linux cooked and raw links, IPv4, IPv6, fragments |
//! | [`stream`] | segments | the ordered bytes of each direction, and the holes in them |
//! | [`frames`] | bytes and holes | complete frames; a frame that a hole overlaps is truncated, never guessed |
//! | [`tickets`] | frames of both directions | calls with their outcomes |
//! | [`schedule`] | events | what a replay sends, when and on which connection |
//! | [`mod@write`] | streams | packets and files |
//! | [`read`] | a file | all events and a summary |
//!
//! Apart from the given reader, the crate does no I/O. For any input, buffered state is bounded by
//! [`stream::MAX_BUFFERED_BYTES`], [`stream::MAX_CONNECTIONS`] and [`tickets::MAX_OPEN_CALLS`].

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

use file::{FileInfo, ReadEnd};
use packet::{PacketParser, ParsedPacket};
use std::io::Read;
use stream::Streams;
use tickets::{CallMatcher, Event};

/// Totals for one file.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    pub file: FileInfo,
    pub packets: packet::Counts,
    pub streams: stream::Counts,
    pub tickets: tickets::Counts,
    /// Why reading stopped before the end of the file, if it did.
    pub cut_off: Option<String>,
}

/// The xxh3 hash that identifies bodies in requests and exports.
pub fn hash(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}

/// Reads a file and calls `on_event` for each event, in file order.
///
/// A file that ends in the middle of a packet is read up to that packet; `Summary::cut_off` says so.
pub fn read(reader: impl Read + Send, on_event: impl FnMut(Event<'_>)) -> Summary {
    let mut parser = PacketParser::default();
    let mut streams = Streams::new(CallMatcher::new(on_event));
    let (file, ended) = file::packets(reader, |packet| match parser.parse(packet) {
        ParsedPacket::Segment(segment) => streams.segment(&segment),
        ParsedPacket::Reassembled(datagram) => {
            if let Some(segment) = datagram.segment() {
                streams.segment(&segment);
            }
        }
        ParsedPacket::Skipped => {}
    });
    let (streams, matcher) = streams.end();
    Summary {
        file,
        packets: parser.end(),
        streams,
        tickets: matcher.end(),
        cut_off: match ended {
            ReadEnd::Complete => None,
            ReadEnd::Incomplete(reason) => Some(reason),
        },
    }
}
