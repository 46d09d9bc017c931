//! Drives a [`GroupMember`]: its time, its links, its writes and its replies.
//!
//! Each call into the group member is followed by its effects: frames go to the outboxes, writes to the storage thread,
//! and replies into a queue that a task of its own hands out, so that a requester is never called back from within its
//! own request.
//!
//! Invariants: the group member is never borrowed across an await or a callback; a reply callback is removed with the
//! final outcome, so that it gets one.

mod startup;
mod tasks;

use crate::config_server::{ConfigServer, EventCallback};
use crate::error::ClusterError;
use crate::fault_injection::Clock;
use crate::outbox::Outbox;
use crate::persistence;
use crate::transport::{maintain_link, LinkObserver};
use foldhash::HashMap;
use rainstand_config::schema;
use rainstand_config_distribution::publisher::PublisherLimits;
use rainstand_replicated_state::frames::Frame;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command};
use rainstand_replicated_state::member::{
    Effects, FinishedRead, GroupEvent, GroupMember, OutgoingFrame, ReadOutcome, RequestOutcome,
    WriteBatch,
};
use rainstand_storage::writer::{WriteOutcome, Writer};
use rainstand_storage::{Disk, FolderDisk, Store};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Jobs that may wait for the disk; beyond that no request is accepted.
const MAX_PENDING_JOBS: usize = 16_384;
/// Commit times that are remembered for the figures.
const MAX_COMMIT_TIMES: usize = 512;
/// Between two looks whether all leadership was handed over.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Receives the outcomes of a request: [`ClaimOutcome::InProgress`] may be followed by another one, all others are final.
/// None: its time is over.
pub type ReplyCallback = Rc<dyn Fn(Option<ClaimOutcome>)>;
/// Receives the group's events: the program's log.
pub type Log = Box<dyn Fn(&GroupEvent)>;

/// What a member needs to start.
pub struct MemberOptions {
    /// The member's name in the group's configuration.
    pub name: String,
    /// The group's configuration.
    pub group: schema::Group,
    /// Receives the group's events.
    pub log: Log,
}

/// Who waits for a request.
struct Requester {
    reply: ReplyCallback,
    /// By the member's clock.
    requested_at: Duration,
}

/// A reply that is to be handed out.
struct Reply {
    callback: ReplyCallback,
    outcome: Option<ClaimOutcome>,
}

/// What the storage thread reports, and for which of the member's stores.
struct StorageReport {
    store_number: u64,
    outcome: WriteOutcome,
}

/// A member of a group on sockets and a disk. It runs on the thread of the `LocalSet` that started it.
pub struct ClusterMember {
    name: String,
    settings: schema::Group,
    /// Those of the newest configuration.
    members: RefCell<Vec<schema::GroupMember>>,
    folder: PathBuf,
    fault_file: Option<PathBuf>,
    clock: Box<dyn Clock>,
    state: RefCell<GroupMember>,
    writer: RefCell<Option<Writer>>,
    storage_reports: mpsc::UnboundedSender<StorageReport>,
    /// Counts the stores that were opened: reports of an earlier one's thread are ignored.
    store_number: Cell<u64>,
    outboxes: RefCell<HashMap<String, Rc<Outbox>>>,
    requesters: RefCell<HashMap<u64, Requester>>,
    /// Who waits for the confirmation of a read.
    readers: RefCell<HashMap<u64, oneshot::Sender<ReadOutcome>>>,
    replies: RefCell<VecDeque<Reply>>,
    replies_queued: Notify,
    deadline_moved: Notify,
    log: Log,
    failure: RefCell<Option<String>>,
    /// From a request to its final outcome, newest last.
    commit_times: RefCell<VecDeque<Duration>>,
    quarantines: Cell<u64>,
    flushes: Cell<u64>,
    /// Where this member is a control machine.
    config_server: RefCell<Option<Rc<ConfigServer>>>,
}

impl LinkObserver for ClusterMember {
    fn peer_address(&self, peer: &str) -> Option<SocketAddr> {
        self.address(peer)
    }

    fn on_link_open(&self, peer: &str) {
        self.drive(|state, now| state.on_connected(now, peer));
    }

    fn on_link_closed(&self, peer: &str) {
        self.drive(|state, now| state.on_disconnected(now, peer));
    }
}

impl ClusterMember {
    /// Maintains a link to each member that has none yet.
    fn open_links(self: &Rc<Self>) {
        let names: Vec<String> = {
            let members = self.members.borrow();
            members.iter().map(|member| member.name.clone()).collect()
        };
        for name in names.into_iter().filter(|name| *name != self.name) {
            if !self.outboxes.borrow().contains_key(&name) {
                let outbox = self.outbox(&name);
                spawn_local(maintain_link(self.clone(), outbox, name));
            }
        }
    }

    /// Where a member is reached, by the newest configuration; none if it is not in the group.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.name == name)?;
        member.address.parse().ok()
    }

    /// The members of the newest configuration.
    pub fn members(&self) -> Vec<schema::GroupMember> {
        self.members.borrow().clone()
    }

    /// Takes over the members of a new configuration: links to new ones are opened, and shards move one safe step at a
    /// time. All other settings of the group hold until the next start.
    ///
    /// # Errors
    /// If it is another group, another number of shards, or this member is not in it.
    pub fn set_members(self: &Rc<Self>, group: &schema::Group) -> Result<(), ClusterError> {
        if group.name != self.settings.name || group.shards != self.settings.shards {
            return Err(ClusterError::FixedSettings {
                group: group.name.clone(),
            });
        }
        if !group.members.iter().any(|member| member.name == self.name) {
            return Err(ClusterError::UnknownMember {
                group: group.name.clone(),
                member: self.name.clone(),
            });
        }
        (*self.members.borrow_mut()).clone_from(&group.members);
        self.open_links();
        let members = startup::placements(&group.members);
        self.drive(|state, now| state.set_members(now, members));
        Ok(())
    }

    /// From now on subscribers of the configuration may attach.
    pub fn serve_configuration(self: &Rc<Self>, limits: PublisherLimits, on_event: EventCallback) {
        let member = self.clone();
        let synchronize = move |server: &ConfigServer| member.synchronize(server);
        let seed = startup::draw_seed().disk;
        let server = ConfigServer::start(limits, seed, on_event, synchronize);
        self.config_server.replace(Some(server));
    }

    fn synchronize(&self, server: &ConfigServer) {
        let state = self.state.borrow();
        if let Some(published) = state.published(self.clock.now()) {
            server.synchronize(&published);
        }
    }

    /// The server of the published configuration, where this member is a control machine.
    pub fn config_server(&self) -> Option<Rc<ConfigServer>> {
        self.config_server.borrow().clone()
    }

    /// The group's configuration as of the start.
    pub fn settings(&self) -> &schema::Group {
        &self.settings
    }

    /// Why nothing is confirmed any more, if so.
    pub fn failure(&self) -> Option<String> {
        self.failure.borrow().clone()
    }

    /// How often this member's files were quarantined since its start.
    pub fn quarantines(&self) -> u64 {
        self.quarantines.get()
    }

    /// Flushes of the disk since the start.
    pub fn flushes(&self) -> u64 {
        self.flushes.get()
    }

    /// What is sent to a member.
    pub fn outbox(&self, name: &str) -> Rc<Outbox> {
        let mut outboxes = self.outboxes.borrow_mut();
        outboxes.entry(name.to_owned()).or_default().clone()
    }

    /// Calls into the group member, and carries out all that follows from it.
    pub fn drive<T>(&self, call: impl FnOnce(&mut GroupMember, Duration) -> T) -> T {
        let now = self.clock.now();
        let (result, effects, is_sooner) = {
            let mut state = self.state.borrow_mut();
            let deadline = state.next_deadline();
            let result = call(&mut state, now);
            let effects = state.take_effects();
            (result, effects, state.next_deadline() < deadline)
        };
        self.carry_out(effects);
        if is_sooner {
            self.deadline_moved.notify_one();
        }
        result
    }

    /// Reads the group member's state.
    pub fn inspect<T>(&self, read: impl FnOnce(&GroupMember) -> T) -> T {
        read(&self.state.borrow())
    }

    fn carry_out(&self, effects: Effects) {
        let Effects {
            frames,
            write,
            outcomes,
            timed_out,
            reads,
            events,
            published_changed,
        } = effects;
        if let Some(batch) = write {
            self.write(batch);
        }
        for OutgoingFrame { to, frame } in frames {
            self.outbox(&to).send(&frame);
        }
        for RequestOutcome { id, outcome } in outcomes {
            self.queue_outcome(id, outcome);
        }
        for id in timed_out {
            if let Some(requester) = self.requesters.borrow_mut().remove(&id) {
                self.queue_reply(requester.reply, None);
            }
        }
        for FinishedRead { id, outcome } in reads {
            if let Some(reader) = self.readers.borrow_mut().remove(&id) {
                // The reader may have left.
                let _ = reader.send(outcome);
            }
        }
        self.replies_queued.notify_one();
        if let Some(server) = self.config_server().filter(|_| published_changed) {
            self.synchronize(&server);
        }
        for event in events {
            self.handle_event(&event);
        }
    }

    fn queue_outcome(&self, id: u64, outcome: ClaimOutcome) {
        let mut requesters = self.requesters.borrow_mut();
        if outcome == ClaimOutcome::InProgress {
            if let Some(requester) = requesters.get(&id) {
                self.queue_reply(requester.reply.clone(), Some(outcome));
            }
        } else if let Some(requester) = requesters.remove(&id) {
            self.record_commit_time(self.clock.now().saturating_sub(requester.requested_at));
            self.queue_reply(requester.reply, Some(outcome));
        }
    }

    fn queue_reply(&self, callback: ReplyCallback, outcome: Option<ClaimOutcome>) {
        let reply = Reply { callback, outcome };
        self.replies.borrow_mut().push_back(reply);
    }

    fn handle_event(&self, event: &GroupEvent) {
        (self.log)(event);
        let starts_over = matches!(
            event,
            GroupEvent::StaleDisk { .. } | GroupEvent::Diverged { .. }
        );
        if starts_over {
            self.reinitialize();
        }
    }

    fn record_commit_time(&self, time: Duration) {
        let mut times = self.commit_times.borrow_mut();
        times.push_back(time);
        if times.len() > MAX_COMMIT_TIMES {
            times.pop_front();
        }
    }

    /// From request to outcome, of the last requests in ascending order.
    pub fn commit_times(&self) -> Vec<Duration> {
        let mut times: Vec<Duration> = self.commit_times.borrow().iter().copied().collect();
        times.sort_unstable();
        times
    }

    fn write(&self, batch: WriteBatch) {
        if let Some(writer) = &*self.writer.borrow() {
            persistence::submit(writer, batch);
        }
    }

    fn start_writer(&self, store: Store<FolderDisk>) {
        let (reports, store_number) = (self.storage_reports.clone(), self.store_number.get());
        let commit_wait = Duration::from_nanos(self.settings.commit_wait_ns);
        let report = move |outcome| {
            // The member is gone if nobody receives.
            let _ = reports.send(StorageReport {
                store_number,
                outcome,
            });
        };
        let writer = Writer::start(move || store, commit_wait, report);
        self.writer.replace(Some(writer));
    }

    /// Quarantines the files and starts over as another disk. Open requests time out.
    fn reinitialize(&self) {
        self.quarantines.set(self.quarantines.get() + 1);
        self.store_number.set(self.store_number.get() + 1);
        if let Some(writer) = self.writer.take() {
            writer.shut_down();
        }
        self.time_out_requests();
        match self.open_new_store() {
            Ok(()) => self.greet_peers(),
            Err(error) => self.fail(error.to_string()),
        }
    }

    fn open_new_store(&self) -> Result<(), ClusterError> {
        let mut disk = FolderDisk::open(&self.folder)?;
        disk.quarantine()?;
        drop(disk);
        let opened = startup::open_store(&self.folder, self.fault_file.as_deref())?;
        let settings = schema::Group {
            members: self.members.borrow().clone(),
            ..self.settings.clone()
        };
        let state = startup::group_member(&settings, &self.name, &opened, self.clock.now())?;
        self.state.replace(state);
        self.start_writer(opened.store);
        Ok(())
    }

    /// Peers that are linked hear of the new disk.
    fn greet_peers(&self) {
        let names: Vec<String> = self.outboxes.borrow().keys().cloned().collect();
        for name in names {
            self.drive(|state, now| state.on_connected(now, &name));
        }
    }

    /// Nothing is confirmed from now on.
    fn fail(&self, reason: String) {
        self.state.borrow_mut().stop();
        self.failure.borrow_mut().get_or_insert(reason);
        self.time_out_requests();
        self.replies_queued.notify_one();
    }

    fn time_out_requests(&self) {
        let requesters: Vec<Requester> = {
            let mut open = self.requesters.borrow_mut();
            open.drain().map(|(_, requester)| requester).collect()
        };
        // A reader that gets no outcome has no confirmation.
        self.readers.borrow_mut().clear();
        for requester in requesters {
            self.queue_reply(requester.reply, None);
        }
    }

    /// Requests a command from the leader of its key's shard; returns the request's number. `reply` is called later, from
    /// a task of its own. None if the request cannot be accepted: nothing was or will be done then.
    pub fn request(
        &self,
        command: Command,
        timeout: Duration,
        reply: ReplyCallback,
    ) -> Option<u64> {
        if self.is_overloaded() || self.failure.borrow().is_some() {
            return None;
        }
        let now = self.clock.now();
        let (id, effects) = {
            let mut state = self.state.borrow_mut();
            let id = state.request(now, command, now + timeout)?;
            // Known before the effects are carried out: its outcome may be among them.
            let requester = Requester {
                reply,
                requested_at: now,
            };
            self.requesters.borrow_mut().insert(id, requester);
            (id, state.take_effects())
        };
        self.carry_out(effects);
        self.deadline_moved.notify_one();
        Some(id)
    }

    /// Waits until the shard's replica here holds everything that was committed before the call, as its leader confirms
    /// with a majority; at most for `timeout`.
    pub async fn confirm_read(&self, shard: u16, timeout: Duration) -> ReadOutcome {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let effects = {
            let mut state = self.state.borrow_mut();
            let Some(id) = state.confirm_read(now, shard, now + timeout) else {
                return ReadOutcome::Unconfirmed;
            };
            // Known before the effects are carried out: its outcome may be among them.
            self.readers.borrow_mut().insert(id, sender);
            state.take_effects()
        };
        self.carry_out(effects);
        self.deadline_moved.notify_one();
        receiver.await.unwrap_or(ReadOutcome::Unconfirmed)
    }

    /// Brings the member's time up to date, and what follows from it: a process that was stopped learns how long.
    pub(crate) fn catch_up_time(&self) {
        self.drive(GroupMember::tick);
    }

    fn is_overloaded(&self) -> bool {
        let writer = self.writer.borrow();
        writer
            .as_ref()
            .is_none_or(|writer| writer.pending_jobs() > MAX_PENDING_JOBS)
    }

    /// The requester no longer waits for an outcome.
    pub fn forget(&self, id: u64) {
        self.requesters.borrow_mut().remove(&id);
        self.drive(|state, now| state.abandon_request(now, id));
    }

    /// A frame of a member.
    pub(crate) fn on_frame(&self, name: &str, frame: Frame) {
        self.drive(|state, now| state.on_frame(now, name, frame));
    }

    /// Transfers the leadership of all shards that are led here; returns when that is done, or after `timeout`.
    pub async fn leave(&self, timeout: Duration) {
        self.drive(GroupMember::transfer_all_leadership);
        let mut left = timeout;
        while self.inspect(GroupMember::led_shard_count) > 0 && !left.is_zero() {
            sleep(LEAVE_POLL_INTERVAL).await;
            left = left.saturating_sub(LEAVE_POLL_INTERVAL);
        }
    }
}
