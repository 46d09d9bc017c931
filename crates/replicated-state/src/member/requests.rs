//! Requests to the leaders of shards: sent, retried and timed out here, and proposed where they arrive.
//!
//! A request that timed out or was abandoned goes on in the background: a start is withdrawn, so that nothing is
//! granted to a caller that left, and any other command is retried until it is recorded.

use super::reads::PendingRead;
use super::requester::{Requester, LEADER_RETRY_INTERVAL, NO_LEADER_RETRY_INTERVAL};
use super::shards::Proposal;
use super::GroupMember;
use crate::frames::{CommandRequest, CommandResponse, FrameBody};
use crate::idempotency::{ClaimOutcome, Command, Operation};
use crate::placement::{shard_of, SHARD_OF_REGISTERS};
use prost::Message as _;
use rainstand_raft::ReplicaId;
use std::time::Duration;

/// Requests without a final outcome, those in the background included.
const MAX_PENDING_REQUESTS: usize = 8_192;
/// Commands that one shard's leader has proposed and not applied yet.
const MAX_WAITING_PROPOSALS: usize = 32_768;
/// How long a request is retried in the background.
const BACKGROUND_TIMEOUT: Duration = Duration::from_mins(1);

/// A request without a final outcome.
#[derive(Clone, Debug)]
pub(super) struct PendingRequest {
    shard: u16,
    command: Command,
    /// When it times out, or, in the background, is abandoned.
    deadline: Duration,
    retry_at: Duration,
    /// Nobody waits for the outcome any more.
    in_background: bool,
    attempts: u32,
}

impl GroupMember {
    /// Sends a command to the leader of its key's shard, and returns the number of the request.
    ///
    /// The effects report its outcome under that number, or that it timed out at `deadline`. None if too many requests
    /// are pending.
    pub fn request(&mut self, now: Duration, command: Command, deadline: Duration) -> Option<u64> {
        self.advance_time(now);
        if self.requests.len() >= MAX_PENDING_REQUESTS {
            self.rejected_request_count += 1;
            return None;
        }
        let shard = match &command.operation {
            Some(Operation::Set(_) | Operation::Publish(_)) => SHARD_OF_REGISTERS,
            _ => shard_of(&command.key, self.config.shards),
        };
        let id = self.next_request_id();
        let request = PendingRequest {
            shard,
            command,
            deadline,
            retry_at: self.now,
            in_background: false,
            attempts: 0,
        };
        self.requests.insert(id, request);
        self.send_request(id);
        self.requests_due_at = self.requests_due_at.min(deadline);
        self.settle();
        Some(id)
    }

    /// A number that no earlier request or read of this member has.
    pub(super) fn next_request_id(&mut self) -> u64 {
        self.last_request_id += 1;
        self.last_request_id
    }

    /// Nobody waits for the outcome of a request any more: a start is withdrawn.
    pub fn abandon_request(&mut self, now: Duration, id: u64) {
        self.advance_time(now);
        self.move_to_background(id);
        self.settle();
    }

    /// Withdraws a start; any other command is retried until it is recorded.
    fn move_to_background(&mut self, id: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.in_background {
            return;
        }
        request.in_background = true;
        request.deadline = now + BACKGROUND_TIMEOUT;
        request.retry_at = now;
        if matches!(request.command.operation, Some(Operation::Start(_))) {
            // The wire's flag is always true.
            request.command.operation = Some(Operation::Withdraw(true));
            self.send_request(id);
        }
    }

    /// Times out the requests whose deadline has passed.
    pub(super) fn expire_requests(&mut self) {
        let expired: Vec<(u64, bool)> = self
            .requests
            .iter()
            .filter(|(_, request)| request.deadline <= self.now)
            .map(|(id, request)| (*id, request.in_background))
            .collect();
        for (id, in_background) in expired {
            if in_background {
                self.requests.remove(&id);
            } else {
                self.effects.timed_out.push(id);
                self.move_to_background(id);
            }
        }
    }

    /// Times out and retries what is due, and sets when to look next.
    pub(super) fn process_due_requests(&mut self) {
        self.expire_requests();
        self.expire_reads();
        self.retry_due_reads();
        let due: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, request)| request.retry_at <= self.now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.send_request(id);
        }
        let next_due = self
            .requests
            .values()
            .map(|request| request.retry_at.min(request.deadline))
            .chain(self.pending_reads.values().map(PendingRead::due_at))
            .min();
        self.requests_due_at = next_due.unwrap_or(Duration::MAX);
    }

    /// Sends a request to the leader, or to a member that may know it.
    fn send_request(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts += 1;
        let shard = request.shard;
        let attempts = request.attempts;
        let command = request.command.clone();
        if self.leads(shard) {
            self.retry_within(id, LEADER_RETRY_INTERVAL);
            self.propose(shard, &command, &Requester::Local(id));
            return;
        }
        self.retry_within(id, NO_LEADER_RETRY_INTERVAL);
        let Some(target) = self.connected_request_target(shard, attempts) else {
            self.leader_hints.remove(&shard);
            return;
        };
        if let Some(request) = self.requests.get_mut(&id) {
            request.retry_at = self.now + LEADER_RETRY_INTERVAL;
        }
        let request = CommandRequest {
            id,
            shard: u32::from(shard),
            command,
        };
        self.send_to(&target, FrameBody::Request(request));
    }

    /// The member to send a request to, if the connection to it is open.
    pub(super) fn connected_request_target(&self, shard: u16, attempts: u32) -> Option<String> {
        let is_connected = |name: &String| self.peers.get(name).is_some_and(|peer| peer.connected);
        self.request_target(shard, attempts).filter(is_connected)
    }

    pub(super) fn leads(&self, shard: u16) -> bool {
        let state = self.shards.get(&shard);
        state.is_some_and(|state| state.replica.is_leader())
    }

    /// Sets the next attempt of a request, and when to look at the requests again.
    fn retry_within(&mut self, id: u64, interval: Duration) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.retry_at = self.now + interval;
            self.requests_due_at = self.requests_due_at.min(request.retry_at);
        }
    }

    /// The member to send a request to: the leader, or else the holders of the shard in turn.
    fn request_target(&self, shard: u16, attempts: u32) -> Option<String> {
        let state = self.shards.get(&shard);
        let known_leader = state.and_then(|state| state.replica.leader());
        // The hinted leader may be out of reach: every second attempt goes to another holder.
        let hint = self.leader_hints.get(&shard).copied();
        let leader = known_leader.or(hint.filter(|_| attempts % 2 == 1));
        if let Some(name) = leader.and_then(|disk| self.connected_peer_with(disk)) {
            return Some(name);
        }
        let holders: Vec<&String> = self
            .shard_holders(shard)
            .into_iter()
            .map(|position| &self.config.members[position].name)
            .filter(|name| **name != self.config.name)
            .collect();
        let position = attempts as usize % holders.len().max(1);
        holders.get(position).map(|name| (*name).clone())
    }

    /// Proposes a command to the shard's replica here; the requester is redirected if it does not lead or has too many
    /// proposals.
    pub(super) fn propose(&mut self, shard: u16, command: &Command, requester: &Requester) {
        if self.try_propose(shard, command, requester).is_none() {
            self.redirect(requester, shard);
        }
    }

    /// The log index of the proposal.
    fn try_propose(&mut self, shard: u16, command: &Command, requester: &Requester) -> Option<u64> {
        let now = self.now;
        let state = self.shards.get_mut(&shard)?;
        if state.proposals.len() >= MAX_WAITING_PROPOSALS {
            return None;
        }
        let data = command.encode_to_vec().into();
        let index = state.replica.propose(now, data).ok()?;
        let proposal = Proposal {
            term: state.replica.term(),
            requester: requester.clone(),
        };
        state.proposals.insert(index, proposal);
        Some(index)
    }

    /// Another member sent a request.
    pub(super) fn on_request(&mut self, name: &str, request: &CommandRequest) {
        let requester = Requester::Remote {
            member: name.to_owned(),
            id: request.id,
        };
        // A number past those of shards names none of them, least of all the one that its lower bits are.
        let Ok(shard) = u16::try_from(request.shard) else {
            return;
        };
        self.propose(shard, &request.command, &requester);
    }

    /// Another member answered a request.
    pub(super) fn on_response(&mut self, response: &CommandResponse) {
        match response.outcome() {
            Some(outcome) => self.deliver_outcome(response.id, outcome),
            None => self.on_redirect(response),
        }
    }

    fn on_redirect(&mut self, response: &CommandResponse) {
        let Ok(shard) = u16::try_from(response.shard) else {
            return;
        };
        self.note_leader_hint(shard, response.leader);
        let retry_at = self.now + NO_LEADER_RETRY_INTERVAL;
        if let Some(request) = self.requests.get_mut(&response.id) {
            request.retry_at = request.retry_at.min(retry_at);
            self.requests_due_at = self.requests_due_at.min(request.retry_at);
        }
    }

    /// Another member named the leader of a shard; 0: it knows none.
    pub(super) fn note_leader_hint(&mut self, shard: u16, leader: ReplicaId) {
        if leader == 0 {
            self.leader_hints.remove(&shard);
        } else {
            self.leader_hints.insert(shard, leader);
        }
    }

    /// The leader of a shard as the replica here knows it, if that is another one.
    pub(super) fn other_leader(&self, shard: u16) -> Option<ReplicaId> {
        let state = self.shards.get(&shard)?;
        state.replica.leader().filter(|leader| *leader != self.disk)
    }

    /// The outcome of a request of this member.
    fn deliver_outcome(&mut self, id: u64, outcome: ClaimOutcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if request.in_background {
            if is_final_in_background(&request.command, &outcome) {
                self.requests.remove(&id);
            }
            return;
        }
        if request.deadline <= self.now {
            // It is about to be reported as timed out.
            return;
        }
        if outcome == ClaimOutcome::InProgress {
            request.retry_at = self.now + LEADER_RETRY_INTERVAL;
        } else {
            self.requests.remove(&id);
        }
        self.effects.report_outcome(id, outcome);
    }

    /// Answers a requester.
    pub(super) fn respond(&mut self, requester: &Requester, shard: u16, outcome: ClaimOutcome) {
        match requester {
            Requester::Local(id) => self.deliver_outcome(*id, outcome),
            Requester::Remote { member, id } => {
                let response = CommandResponse::from_outcome(*id, shard, &outcome);
                self.send_to(member, FrameBody::Response(response));
            }
        }
    }

    /// Sends a requester to the leader, if one is known; otherwise it tries again soon.
    pub(super) fn redirect(&mut self, requester: &Requester, shard: u16) {
        match requester {
            Requester::Local(id) => self.retry_within(*id, NO_LEADER_RETRY_INTERVAL),
            Requester::Remote { member, id } => {
                let response = CommandResponse::redirect(*id, shard, self.other_leader(shard));
                self.send_to(member, FrameBody::Response(response));
            }
        }
    }
}

/// Whether an outcome ends a request in the background. The outcome of a claim may still arrive after the claim was turned
/// into a withdrawal: it does not end it.
fn is_final_in_background(command: &Command, outcome: &ClaimOutcome) -> bool {
    let is_withdrawal = matches!(command.operation, Some(Operation::Withdraw(_)));
    !is_withdrawal
        || matches!(
            outcome,
            ClaimOutcome::Recorded | ClaimOutcome::CapacityExceeded
        )
}
