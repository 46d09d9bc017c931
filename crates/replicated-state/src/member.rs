//! One member of a replicated group, as a state machine without I/O.
//!
//! The driver reports what happens with [`GroupMember::tick`], [`GroupMember::on_frame`],
//! [`GroupMember::on_connected`], [`GroupMember::on_disconnected`], [`GroupMember::request`],
//! [`GroupMember::confirm_read`] and [`GroupMember::on_persisted`], and after each call carries out the [`Effects`] that
//! [`GroupMember::take_effects`] returns. Time, randomness and finished writes are passed in: the same calls give the same effects.
//!
//! Invariants: write batches are numbered without gaps and become durable in that order; a frame that promises
//! something is handed out only after the writes that it depends on are durable; a stopped member sends nothing new.

mod apply;
mod bootstrap;
mod config;
mod effects;
mod gossip;
mod membership;
mod peers;
mod persistence;
mod queries;
mod reads;
mod requester;
mod requests;
mod shards;

pub use config::{
    MemberConfig, RecoveredState, DEFAULT_COMPACTION_ENTRIES, METADATA_BOOTSTRAP,
    METADATA_GENERATION, METADATA_MEMBER_NAME, METADATA_PEER_INCARNATIONS,
};
pub use effects::{
    Effects, FinishedRead, GroupEvent, OutgoingFrame, PersistentWrite, ReadOutcome, RequestOutcome,
    WriteBatch,
};
pub use queries::{KeyLookup, LeaderCoverage, PeerStatus, PublishedVersions, ShardView};

use crate::frames::{BootstrapConfig, Frame, FrameBody, PeerIncarnations};
use crate::gossip::{GossipReport, GossipReports};
use crate::idempotency::Claim;
use bytes::Bytes;
use nanorand::{Rng, WyRand};
use peers::Peer;
use persistence::{AwaitingPersist, PendingEntry};
use rainstand_raft::ReplicaId;
use reads::PendingRead;
use requests::PendingRequest;
use shards::{Proposal, Shard};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Between two checks of the membership and the log size of the shards here.
const MEMBERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Between two gossip reports: quotas that are summed from them lag by about as much.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Between two writes of what is known of the peers, if it changed: some hundred bytes, flushed with other writes.
const INCARNATION_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Bits that the request numbers of one start can use before they reach those of another nonce.
const REQUEST_ID_BITS: u32 = 20;

/// One member of a replicated group: its shards, its requests to their leaders, and its writes.
pub struct GroupMember {
    config: MemberConfig,
    disk: ReplicaId,
    incarnation: u64,
    nonce: u64,
    generation: u64,
    now: Duration,
    rng: WyRand,
    bootstrap: Option<BootstrapConfig>,
    shards: BTreeMap<u16, Shard>,
    peers: BTreeMap<String, Peer>,
    requests: BTreeMap<u64, PendingRequest>,
    pending_reads: BTreeMap<u64, PendingRead>,
    last_request_id: u64,
    /// Leaders of shards, from responses of other members.
    leader_hints: BTreeMap<u16, ReplicaId>,
    /// Number of the last write batch that was handed out.
    last_batch: u64,
    /// Number of the last write batch that is durable.
    persisted_batch: u64,
    awaiting_persist: VecDeque<AwaitingPersist>,
    /// When the first request may time out or be due for a retry.
    requests_due_at: Duration,
    membership_check_at: Duration,
    gossip_at: Duration,
    incarnation_write_at: Duration,
    written_peer_incarnations: PeerIncarnations,
    own_report: GossipReport,
    /// Gossip reports of the other members.
    gossip_reports: GossipReports,
    effects: Effects,
    /// Writes that were not handed out yet.
    writes: Vec<PersistentWrite>,
    /// Frames that depend on `writes` or on earlier writes.
    frames_after_persist: Vec<OutgoingFrame>,
    /// Entries among `writes`.
    pending_entries: Vec<PendingEntry>,
    /// Nothing is done any more: the files are to be quarantined, the disk failed, or the driver stopped the member.
    stopped: bool,
    /// Requests that were rejected because too many were pending.
    rejected_request_count: u64,
}

impl GroupMember {
    /// Starts a member with what its disk held.
    ///
    /// A member whose disk belongs to another one, or holds a snapshot that cannot be decoded, is stopped from the
    /// start, and its first effects report [`GroupEvent::StaleDisk`].
    pub fn new(config: MemberConfig, recovered: RecoveredState, now: Duration) -> Self {
        let mut member = Self {
            disk: recovered.disk,
            incarnation: recovered.incarnation,
            nonce: recovered.nonce,
            generation: recovered.generation,
            now,
            rng: WyRand::new_seed(config.seed ^ recovered.nonce),
            bootstrap: recovered.bootstrap,
            shards: BTreeMap::new(),
            peers: initial_peers(&config, recovered.peer_incarnations.as_ref()),
            requests: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            // A response to a request of an earlier start may still arrive: its number must not be used again.
            last_request_id: recovered.nonce << REQUEST_ID_BITS,
            leader_hints: BTreeMap::new(),
            last_batch: 0,
            persisted_batch: 0,
            awaiting_persist: VecDeque::new(),
            requests_due_at: now,
            membership_check_at: now,
            gossip_at: now,
            incarnation_write_at: now,
            written_peer_incarnations: PeerIncarnations::default(),
            own_report: GossipReport {
                epoch: recovered.incarnation,
                disk: recovered.disk,
                ..GossipReport::default()
            },
            gossip_reports: GossipReports::default(),
            effects: Effects::default(),
            writes: Vec::new(),
            frames_after_persist: Vec::new(),
            pending_entries: Vec::new(),
            stopped: false,
            rejected_request_count: 0,
            config,
        };
        match recovered.member_name {
            // One disk in two places: what it confirmed was the other member's to confirm.
            Some(owner) if owner != member.config.name => {
                let reason = format!("this is the disk of {owner}");
                member.stop_with(GroupEvent::StaleDisk { reason });
                return member;
            }
            Some(_) => {}
            None => member.write_member_name(),
        }
        for (shard, state) in recovered.shards {
            member.open_shard(shard, state);
        }
        // A crash may have come between the bootstrap record and the shards that follow from it.
        if let Some(bootstrap) = member.bootstrap.clone() {
            member.create_bootstrap_shards(&bootstrap);
        }
        member.bootstrap_single_member();
        member
    }

    fn write_member_name(&mut self) {
        self.writes.push(PersistentWrite::Metadata {
            number: METADATA_MEMBER_NAME,
            data: Bytes::copy_from_slice(self.config.name.as_bytes()),
        });
    }

    /// A claim of this member's disk for the request with a trace.
    pub fn claim(&self, trace: &[u8]) -> Claim {
        Claim {
            holder: self.disk,
            trace: Bytes::copy_from_slice(trace),
        }
    }

    /// Stops the member: it takes part in nothing any more.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// Whether the member has stopped, of its own accord or by [`GroupMember::stop`].
    pub fn is_stopped(&self) -> bool {
        self.stopped
    }

    /// Stops the member and reports why.
    fn stop_with(&mut self, event: GroupEvent) {
        self.effects.events.push(event);
        self.stopped = true;
    }

    /// A frame from a connected member. Frames from names that are not members are ignored.
    pub fn on_frame(&mut self, now: Duration, name: &str, frame: Frame) {
        self.advance_time(now);
        let Some(body) = frame.body else { return };
        if self.stopped || !self.peers.contains_key(name) {
            return;
        }
        match body {
            FrameBody::Hello(hello) => self.on_hello(name, hello),
            FrameBody::Bootstrap(bootstrap) => self.adopt_bootstrap(&bootstrap),
            FrameBody::Raft(raft) => self.on_raft(name, raft),
            FrameBody::Request(request) => self.on_request(name, &request),
            FrameBody::Response(response) => self.on_response(&response),
            FrameBody::ReadRequest(request) => self.on_read_request(name, request),
            FrameBody::ReadResponse(response) => self.on_read_response(response),
            FrameBody::StaleDisk(notice) if notice.disk == self.disk => {
                self.stop_with(GroupEvent::StaleDisk {
                    reason: notice.reason,
                });
            }
            // A notice about an earlier disk of this member, or a frame that belongs on a subscriber's connection.
            FrameBody::StaleDisk(_) | FrameBody::FromSubscriber(_) | FrameBody::ToSubscriber(_) => {
            }
            FrameBody::Gossip(report) => {
                let peer = self.peers.get(name);
                if peer.is_some_and(|peer| peer.has_disk(report.disk)) {
                    self.gossip_reports.merge(&report);
                }
            }
        }
        self.settle();
    }

    /// Time passed: does what is due. To be called at [`GroupMember::next_deadline`] at the latest.
    pub fn tick(&mut self, now: Duration) {
        self.advance_time(now);
        if self.stopped {
            self.expire_requests();
            self.expire_reads();
            return;
        }
        for state in self.shards.values_mut() {
            if state.replica.next_deadline() <= self.now {
                state.replica.tick(self.now);
            }
        }
        if self.now >= self.membership_check_at {
            self.membership_check_at = self.now + MEMBERSHIP_CHECK_INTERVAL;
            self.check_membership();
            self.compact_grown_logs();
        }
        if self.now >= self.incarnation_write_at {
            self.incarnation_write_at = self.now + INCARNATION_WRITE_INTERVAL;
            self.write_peer_incarnations();
        }
        if self.now >= self.gossip_at {
            self.gossip_at = self.now + GOSSIP_INTERVAL;
            self.own_report.sequence += 1;
            self.send_gossip();
        }
        if self.now >= self.requests_due_at {
            self.process_due_requests();
        }
        self.settle();
    }

    /// When [`GroupMember::tick`] is to be called next, unless something happens before.
    pub fn next_deadline(&self) -> Duration {
        let replicas = self
            .shards
            .values()
            .map(|state| state.replica.next_deadline())
            .min()
            .unwrap_or(Duration::MAX);
        let periodic = if self.stopped {
            Duration::MAX
        } else {
            replicas.min(self.membership_check_at).min(self.gossip_at)
        };
        let requests = if self.requests.is_empty() && self.pending_reads.is_empty() {
            Duration::MAX
        } else {
            self.requests_due_at
        };
        periodic.min(requests)
    }

    /// Time never runs backwards, whatever the caller's clock does.
    fn advance_time(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// A seed for one replica's random timeouts.
    fn next_seed(&mut self) -> u64 {
        self.rng.generate::<u64>()
    }

    /// Sends a frame to a member, without waiting for any write.
    fn send_to(&mut self, name: &str, body: FrameBody) {
        self.effects.send(name, Frame::from_body(body));
    }
}

/// The other configured members, with what was recorded of them before a restart.
fn initial_peers(
    config: &MemberConfig,
    recorded: Option<&PeerIncarnations>,
) -> BTreeMap<String, Peer> {
    let mut peers: BTreeMap<String, Peer> = config
        .members
        .iter()
        .filter(|member| member.name != config.name)
        .map(|member| (member.name.clone(), Peer::default()))
        .collect();
    for incarnation in recorded.iter().flat_map(|recorded| &recorded.seen) {
        if let Some(peer) = peers.get_mut(&incarnation.name) {
            peer.restore(incarnation);
        }
    }
    peers
}
