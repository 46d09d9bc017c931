//! Packets to TCP segments: Ethernet with VLAN tags, Linux cooked links, raw IP, BSD loopback; IPv4 with
//! its fragments put together, IPv6 with extension headers.

use crate::file::{Link, Packet};
use etherparse::defrag::IpDefragBuf;
use etherparse::{EtherType, IpNumber, LaxNetSlice, LaxSlicedPacket, TcpSlice, TransportSlice};
use foldhash::{HashMap, HashMapExt};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Datagrams whose fragments wait for one another, at most 64 KiB each.
const MOST_DATAGRAMS: usize = 64;
/// How long fragments wait for one another, ns: what systems allow is 30 s, and captures are in order to
/// far less.
const LONGEST_WAIT: u64 = 30_000_000_000;

/// One side of a connection; IPv4 addresses are mapped into IPv6.
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

/// A TCP segment, as far as streams need it.
#[derive(Clone, Copy, Debug)]
pub struct Segment<'p> {
    /// Nanoseconds of Unix time.
    pub at: u64,
    pub from: End,
    pub to: End,
    pub seq: u32,
    /// What the sender has received, if it says so.
    pub ack: Option<u32>,
    pub syn: bool,
    pub fin: bool,
    pub rst: bool,
    pub payload: &'p [u8],
    /// Bytes that followed the payload on the wire and were not kept.
    pub missing: usize,
}

/// What became of the packets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Of a link that is not known, or no IP.
    pub not_ip: u64,
    pub not_tcp: u64,
    /// Too short to tell.
    pub unreadable: u64,
    pub fragments: u64,
    /// Datagrams put together from fragments.
    pub put_together: u64,
    /// Datagrams of which a fragment never came, or that had to make room.
    pub fragments_lost: u64,
}

/// What a packet brought.
pub enum Seen<'p> {
    Segment(Segment<'p>),
    /// The last fragment of this datagram.
    Whole(Datagram),
    Nothing,
}

/// A datagram put together from fragments.
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
struct Key {
    from: IpAddr,
    to: IpAddr,
    id: u32,
}

struct Waiting {
    buffer: IpDefragBuf,
    since: u64,
}

/// The way of packets to segments, with the fragments that wait.
#[derive(Default)]
pub struct Parts {
    counts: Counts,
    waiting: Option<HashMap<Key, Waiting>>,
}

impl Parts {
    pub fn look<'p>(&mut self, packet: &Packet<'p>) -> Seen<'p> {
        let Some(lax) = sliced(packet) else {
            self.counts.not_ip += 1;
            return Seen::Nothing;
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
                    let stated =
                        usize::from(header.total_len()).saturating_sub(header.slice().len());
                    let fragment = payload.fragmented.then(|| Fragment {
                        id: u32::from(header.identification()),
                        offset: header.fragments_offset(),
                        more: header.more_fragments(),
                        kind: payload.ip_number,
                        bytes: payload.payload,
                        whole: !payload.incomplete,
                    });
                    (
                        from.into(),
                        to.into(),
                        stated.saturating_sub(payload.payload.len()),
                        fragment,
                    )
                }
                Some(LaxNetSlice::Ipv6(ip)) => {
                    let header = ip.header();
                    let (from, to) = (header.source_addr(), header.destination_addr());
                    let payload = ip.payload();
                    let there = ip.extensions().slice().len() + payload.payload.len();
                    let missing = usize::from(header.payload_length()).saturating_sub(there);
                    let fragment = if payload.fragmented {
                        v6_fragment(ip)
                    } else {
                        None
                    };
                    (from.into(), to.into(), missing, fragment)
                }
                _ => {
                    self.counts.not_ip += 1;
                    return Seen::Nothing;
                }
            };
        if let Some(fragment) = fragment {
            return self.fragment(packet.at, from, to, &fragment);
        }
        match &lax.transport {
            Some(TransportSlice::Tcp(tcp)) => {
                let missing = if incomplete > 0 { incomplete } else { 0 };
                Seen::Segment(segment(packet.at, from, to, tcp, missing))
            }
            None if lax.stop_err.is_some() => {
                self.counts.unreadable += 1;
                Seen::Nothing
            }
            _ => {
                self.counts.not_tcp += 1;
                Seen::Nothing
            }
        }
    }

    fn fragment(
        &mut self,
        at: u64,
        from: IpAddr,
        to: IpAddr,
        fragment: &Fragment<'_>,
    ) -> Seen<'static> {
        self.counts.fragments += 1;
        if fragment.kind != IpNumber::TCP {
            self.counts.not_tcp += 1;
            return Seen::Nothing;
        }
        let waiting = self.waiting.get_or_insert_with(HashMap::new);
        let before = waiting.len();
        waiting.retain(|_, one| at.saturating_sub(one.since) <= LONGEST_WAIT);
        self.counts.fragments_lost += (before - waiting.len()) as u64;
        let key = Key {
            from,
            to,
            id: fragment.id,
        };
        if !waiting.contains_key(&key) && waiting.len() >= MOST_DATAGRAMS {
            let oldest = waiting
                .iter()
                .min_by_key(|(_, one)| one.since)
                .map(|(key, _)| *key);
            oldest.and_then(|oldest| waiting.remove(&oldest));
            self.counts.fragments_lost += 1;
        }
        let one = waiting.entry(key).or_insert_with(|| Waiting {
            buffer: IpDefragBuf::new(fragment.kind, Vec::new(), Vec::new()),
            since: at,
        });
        // A fragment that was itself cut short, or one that cannot be: the datagram is lost.
        let added = fragment.whole
            && one
                .buffer
                .add(fragment.offset, fragment.more, fragment.bytes)
                .is_ok();
        if !added {
            waiting.remove(&key);
            self.counts.fragments_lost += 1;
            return Seen::Nothing;
        }
        if !one.buffer.is_complete() {
            return Seen::Nothing;
        }
        let Some(done) = waiting.remove(&key) else {
            return Seen::Nothing;
        };
        self.counts.put_together += 1;
        Seen::Whole(Datagram {
            at,
            from,
            to,
            bytes: done.buffer.take_bufs().0,
        })
    }

    pub fn end(mut self) -> Counts {
        self.counts.fragments_lost += self.waiting.map_or(0, |waiting| waiting.len() as u64);
        self.counts
    }
}

struct Fragment<'p> {
    id: u32,
    offset: etherparse::IpFragOffset,
    more: bool,
    kind: IpNumber,
    bytes: &'p [u8],
    whole: bool,
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
                    whole: !ip.payload().incomplete,
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

/// The packet behind its link; none where there is no IP.
fn sliced<'p>(packet: &Packet<'p>) -> Option<LaxSlicedPacket<'p>> {
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
        // The family's number differs by system; the first half byte of IP tells as much.
        Link::Loopback => LaxSlicedPacket::from_ip(data.get(4..)?).ok(),
        Link::Unknown => None,
    }
}
