//! Extracts TCP segments from packets: Ethernet with VLAN tags, Linux cooked links, raw IP, BSD loopback;
//! IPv4 with fragment reassembly, IPv6 with extension headers.

use crate::file::{Link, Packet};
use etherparse::defrag::IpDefragBuf;
use etherparse::{EtherType, IpNumber, LaxNetSlice, LaxSlicedPacket, TcpSlice, TransportSlice};
use foldhash::{HashMap, HashMapExt};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Maximum number of incomplete datagrams, at most 64 KiB each.
const MAX_INCOMPLETE_DATAGRAMS: usize = 64;
/// Time after which an incomplete datagram is discarded: operating systems allow 30 s, and captures reorder
/// packets by far less.
const FRAGMENT_TIMEOUT_NS: u64 = 30_000_000_000;

/// One endpoint of a connection; IPv4 addresses are mapped into IPv6.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct End {
    ip: u128,
    pub port: u16,
}

impl End {
    pub fn new(ip: IpAddr, port: u16) -> Self {
        let ip = match ip {
            IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
            IpAddr::V6(v6) => v6.to_bits(),
        };
        Self { ip, port }
    }

    pub fn ip(&self) -> IpAddr {
        Ipv6Addr::from_bits(self.ip).to_canonical()
    }
}

impl std::fmt::Display for End {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        std::net::SocketAddr::new(self.ip(), self.port).fmt(out)
    }
}

/// The parts of a TCP segment that stream reassembly needs.
#[derive(Clone, Copy, Debug)]
pub struct Segment<'p> {
    /// Nanoseconds of Unix time.
    pub at: u64,
    pub from: End,
    pub to: End,
    pub seq: u32,
    /// Acknowledgment number, if the ACK flag is set.
    pub ack: Option<u32>,
    pub syn: bool,
    pub fin: bool,
    pub rst: bool,
    pub payload: &'p [u8],
    /// Payload bytes that were on the wire but are not in the capture.
    pub missing: usize,
}

/// Numbers of packets by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Unknown link type, or no IP packet.
    pub not_ip: u64,
    pub not_tcp: u64,
    /// Too short for its headers.
    pub unreadable: u64,
    pub fragments: u64,
    /// Datagrams reassembled from fragments.
    pub put_together: u64,
    /// Datagrams with a missing fragment, or evicted at the capacity limit.
    pub fragments_lost: u64,
}

/// The result of parsing one packet.
pub enum ParsedPacket<'p> {
    Segment(Segment<'p>),
    /// The packet was the last missing fragment of this datagram.
    Reassembled(Datagram),
    Skipped,
}

/// A datagram reassembled from fragments.
pub struct Datagram {
    at: u64,
    from: IpAddr,
    to: IpAddr,
    bytes: Vec<u8>,
}

impl Datagram {
    pub fn segment(&self) -> Option<Segment<'_>> {
        let tcp = TcpSlice::from_slice(&self.bytes).ok()?;
        Some(segment(self.at, self.from, self.to, &tcp, 0))
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
struct DatagramKey {
    from: IpAddr,
    to: IpAddr,
    id: u32,
}

struct IncompleteDatagram {
    buffer: IpDefragBuf,
    since: u64,
}

/// Parses packets and reassembles fragmented datagrams.
#[derive(Default)]
pub struct PacketParser {
    counts: Counts,
    incomplete_datagrams: Option<HashMap<DatagramKey, IncompleteDatagram>>,
}

impl PacketParser {
    pub fn parse<'p>(&mut self, packet: &Packet<'p>) -> ParsedPacket<'p> {
        let Some(lax) = slice_packet(packet) else {
            self.counts.not_ip += 1;
            return ParsedPacket::Skipped;
        };
        let (from, to, incomplete, fragment): (IpAddr, IpAddr, usize, Option<Fragment<'p>>) =
            match &lax.net {
                Some(LaxNetSlice::Ipv4(ip)) => {
                    let header = ip.header();
                    let (from, to) = (
                        Ipv4Addr::from(header.source()),
                        Ipv4Addr::from(header.destination()),
                    );
                    let payload = ip.payload();
                    let declared =
                        usize::from(header.total_len()).saturating_sub(header.slice().len());
                    let fragment = payload.fragmented.then(|| Fragment {
                        id: u32::from(header.identification()),
                        offset: header.fragments_offset(),
                        more: header.more_fragments(),
                        kind: payload.ip_number,
                        bytes: payload.payload,
                        complete: !payload.incomplete,
                    });
                    (
                        from.into(),
                        to.into(),
                        declared.saturating_sub(payload.payload.len()),
                        fragment,
                    )
                }
                Some(LaxNetSlice::Ipv6(ip)) => {
                    let header = ip.header();
                    let (from, to) = (header.source_addr(), header.destination_addr());
                    let payload = ip.payload();
                    let captured = ip.extensions().slice().len() + payload.payload.len();
                    let missing = usize::from(header.payload_length()).saturating_sub(captured);
                    let fragment = if payload.fragmented {
                        v6_fragment(ip)
                    } else {
                        None
                    };
                    (from.into(), to.into(), missing, fragment)
                }
                _ => {
                    self.counts.not_ip += 1;
                    return ParsedPacket::Skipped;
                }
            };
        if let Some(fragment) = fragment {
            return self.fragment(packet.at, from, to, &fragment);
        }
        match &lax.transport {
            Some(TransportSlice::Tcp(tcp)) => {
                let missing = if incomplete > 0 { incomplete } else { 0 };
                ParsedPacket::Segment(segment(packet.at, from, to, tcp, missing))
            }
            None if lax.stop_err.is_some() => {
                self.counts.unreadable += 1;
                ParsedPacket::Skipped
            }
            _ => {
                self.counts.not_tcp += 1;
                ParsedPacket::Skipped
            }
        }
    }

    fn fragment(
        &mut self,
        at: u64,
        from: IpAddr,
        to: IpAddr,
        fragment: &Fragment<'_>,
    ) -> ParsedPacket<'static> {
        self.counts.fragments += 1;
        if fragment.kind != IpNumber::TCP {
            self.counts.not_tcp += 1;
            return ParsedPacket::Skipped;
        }
        let incomplete_datagrams = self.incomplete_datagrams.get_or_insert_with(HashMap::new);
        let before = incomplete_datagrams.len();
        incomplete_datagrams
            .retain(|_, datagram| at.saturating_sub(datagram.since) <= FRAGMENT_TIMEOUT_NS);
        self.counts.fragments_lost += (before - incomplete_datagrams.len()) as u64;
        let key = DatagramKey {
            from,
            to,
            id: fragment.id,
        };
        if !incomplete_datagrams.contains_key(&key)
            && incomplete_datagrams.len() >= MAX_INCOMPLETE_DATAGRAMS
        {
            let oldest = incomplete_datagrams
                .iter()
                .min_by_key(|(_, datagram)| datagram.since)
                .map(|(key, _)| *key);
            oldest.and_then(|oldest| incomplete_datagrams.remove(&oldest));
            self.counts.fragments_lost += 1;
        }
        let datagram = incomplete_datagrams
            .entry(key)
            .or_insert_with(|| IncompleteDatagram {
                buffer: IpDefragBuf::new(fragment.kind, Vec::new(), Vec::new()),
                since: at,
            });
        // A truncated or invalid fragment makes the datagram unusable.
        let added = fragment.complete
            && datagram
                .buffer
                .add(fragment.offset, fragment.more, fragment.bytes)
                .is_ok();
        if !added {
            incomplete_datagrams.remove(&key);
            self.counts.fragments_lost += 1;
            return ParsedPacket::Skipped;
        }
        if !datagram.buffer.is_complete() {
            return ParsedPacket::Skipped;
        }
        let Some(complete) = incomplete_datagrams.remove(&key) else {
            return ParsedPacket::Skipped;
        };
        self.counts.put_together += 1;
        ParsedPacket::Reassembled(Datagram {
            at,
            from,
            to,
            bytes: complete.buffer.take_bufs().0,
        })
    }

    pub fn end(mut self) -> Counts {
        self.counts.fragments_lost += self
            .incomplete_datagrams
            .map_or(0, |incomplete_datagrams| incomplete_datagrams.len() as u64);
        self.counts
    }
}

struct Fragment<'p> {
    id: u32,
    offset: etherparse::IpFragOffset,
    more: bool,
    kind: IpNumber,
    bytes: &'p [u8],
    complete: bool,
}

fn v6_fragment<'p>(ip: &etherparse::LaxIpv6Slice<'p>) -> Option<Fragment<'p>> {
    ip.extensions()
        .clone()
        .into_iter()
        .find_map(|extension| match extension {
            etherparse::Ipv6ExtensionSlice::Fragment(found) => {
                let header = found.to_header();
                Some(Fragment {
                    id: header.identification,
                    offset: header.fragment_offset,
                    more: header.more_fragments,
                    kind: ip.payload().ip_number,
                    bytes: ip.payload().payload,
                    complete: !ip.payload().incomplete,
                })
            }
            _ => None,
        })
}

fn segment<'p>(
    at: u64,
    from: IpAddr,
    to: IpAddr,
    tcp: &TcpSlice<'p>,
    missing: usize,
) -> Segment<'p> {
    Segment {
        at,
        from: End::new(from, tcp.source_port()),
        to: End::new(to, tcp.destination_port()),
        seq: tcp.sequence_number(),
        ack: tcp.ack().then(|| tcp.acknowledgment_number()),
        syn: tcp.syn(),
        fin: tcp.fin(),
        rst: tcp.rst(),
        payload: tcp.payload(),
        missing,
    }
}

/// Strips the link header; none if there is no IP packet.
fn slice_packet<'p>(packet: &Packet<'p>) -> Option<LaxSlicedPacket<'p>> {
    let data = packet.data;
    let by_type = |at: usize, header: usize| {
        let kind = u16::from_be_bytes(*data.get(at..)?.first_chunk()?);
        Some(LaxSlicedPacket::from_ether_type(
            EtherType(kind),
            data.get(header..)?,
        ))
    };
    match packet.link {
        Link::Ethernet => LaxSlicedPacket::from_ethernet(data).ok(),
        Link::Cooked => by_type(14, 16),
        Link::Cooked2 => by_type(0, 20),
        Link::RawIp => LaxSlicedPacket::from_ip(data).ok(),
        // The address family's number differs by system; the IP version field holds the same information.
        Link::Loopback => LaxSlicedPacket::from_ip(data.get(4..)?).ok(),
        Link::Unknown => None,
    }
}
