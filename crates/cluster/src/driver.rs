//! Runs a [`GroupMember`] on a clock, sockets and a disk.
//!
//! The effects of each call into the group member are carried out at the end of the call: frames are put into the
//! outboxes, writes are passed to the storage thread, and replies are queued. A separate task delivers the replies, so
//! that a requester is never called back from within its own request.
//!
//! Invariants: the group member is never borrowed across an await or a callback; a reply callback is removed when the
//! final outcome is queued, so it receives exactly one.

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

/// Storage jobs that may be pending; requests are rejected while there are more.
const MAX_PENDING_JOBS: usize = 16_384;
/// The number of recent commit times that are retained for the statistics.
const MAX_COMMIT_TIMES: usize = 512;
/// Time between two checks whether all leadership was transferred.
const LEADERSHIP_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Receives the outcomes of a request: [`ClaimOutcome::InProgress`] may be followed by another one, all others are
/// final. `None` means that the request timed out.
pub type ReplyCallback = Rc<dyn Fn(Option<ClaimOutcome>)>;
/// Receives the group's events, to log them.
pub type Log = Box<dyn Fn(&GroupEvent)>;

/// The options with which a member is started.
pub struct MemberOptions {
    /// The member's name in the group's configuration.
    pub name: String,
    /// The group's configuration.
    pub group: schema::Group,
    /// Receives the group's events.
    pub log: Log,
}

/// The requester that waits for the outcome of a request.
struct Requester {
    reply: ReplyCallback,
    /// Time of the request on the member's clock.
    requested_at: Duration,
}

/// A queued reply.
struct Reply {
    callback: ReplyCallback,
    outcome: Option<ClaimOutcome>,
}

/// A result of the storage thread, with the number of the store that it belongs to.
struct StorageReport {
    store_number: u64,
    outcome: WriteOutcome,
}

/// A running member of a group. It runs on the thread of the `LocalSet` that started it.
pub struct ClusterMember {
    name: String,
    settings: schema::Group,
    /// The members in the newest configuration.
    members: RefCell<Vec<schema::GroupMember>>,
    folder: PathBuf,
    fault_file: Option<PathBuf>,
    clock: Box<dyn Clock>,
    state: RefCell<GroupMember>,
    writer: RefCell<Option<Writer>>,
    storage_reports: mpsc::UnboundedSender<StorageReport>,
    /// The number of the current store. Reports of the storage threads of earlier stores are ignored.
    store_number: Cell<u64>,
    outboxes: RefCell<HashMap<String, Rc<Outbox>>>,
    requesters: RefCell<HashMap<u64, Requester>>,
    /// Senders for the outcomes of unconfirmed reads, by the read's number.
    readers: RefCell<HashMap<u64, oneshot::Sender<ReadOutcome>>>,
    replies: RefCell<VecDeque<Reply>>,
    replies_queued: Notify,
    deadline_moved: Notify,
    log: Log,
    failure: RefCell<Option<String>>,
    /// Times from a request to its final outcome, the newest last.
    commit_times: RefCell<VecDeque<Duration>>,
    quarantines: Cell<u64>,
    flushes: Cell<u64>,
    /// Present if this member is a config server.
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
    /// Starts a link to each member that has none yet.
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

    /// A member's address in the newest configuration; `None` if it is not in the group.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        let members = self.members.borrow();
        let member = members.iter().find(|member| member.name == name)?;
        member.address.parse().ok()
    }

    /// The members of the newest configuration.
    pub fn members(&self) -> Vec<schema::GroupMember> {
        self.members.borrow().clone()
    }

    /// Applies the members of a new configuration: links to new members are opened, and shards are moved one safe step
    /// at a time. Changes to all other settings of the group take effect at the next start.
    ///
    /// # Errors
    /// If the group's name or number of shards differs, or if this member is not in the group.
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

    /// Starts to serve the published configuration to subscribers.
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

    /// The server of the published configuration, if this member is a config server.
    pub fn config_server(&self) -> Option<Rc<ConfigServer>> {
        self.config_server.borrow().clone()
    }

    /// The group's configuration at the start of this member.
    pub fn settings(&self) -> &schema::Group {
        &self.settings
    }

    /// Why this member failed and confirms nothing any more; `None` if it has not failed.
    pub fn failure(&self) -> Option<String> {
        self.failure.borrow().clone()
    }

    /// Number of times that this member's files were quarantined since its start.
    pub fn quarantines(&self) -> u64 {
        self.quarantines.get()
    }

    /// Number of disk flushes since the start.
    pub fn flushes(&self) -> u64 {
        self.flushes.get()
    }

    /// The outbox of frames to a member; created if there is none.
    pub fn outbox(&self, name: &str) -> Rc<Outbox> {
        let mut outboxes = self.outboxes.borrow_mut();
        outboxes.entry(name.to_owned()).or_default().clone()
    }

    /// Calls into the group member and carries out the effects of the call.
    pub fn drive<T>(&self, call: impl FnOnce(&mut GroupMember, Duration) -> T) -> T {
        let now = self.clock.now();
        let (result, effects, is_deadline_earlier) = {
            let mut state = self.state.borrow_mut();
            let deadline = state.next_deadline();
            let result = call(&mut state, now);
            let effects = state.take_effects();
            (result, effects, state.next_deadline() < deadline)
        };
        self.carry_out(effects);
        if is_deadline_earlier {
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
                // The reader may have been dropped.
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
        let is_disk_unusable = matches!(
            event,
            GroupEvent::StaleDisk { .. } | GroupEvent::Diverged { .. }
        );
        if is_disk_unusable {
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

    /// The times from request to final outcome of recent requests, in ascending order.
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
            // Fails only if the member was dropped.
            let _ = reports.send(StorageReport {
                store_number,
                outcome,
            });
        };
        let writer = Writer::start(move || store, commit_wait, report);
        self.writer.replace(Some(writer));
    }

    /// Quarantines the files and continues with an empty store under a new disk identity. Pending requests time out.
    fn reinitialize(&self) {
        self.quarantines.set(self.quarantines.get() + 1);
        self.store_number.set(self.store_number.get() + 1);
        if let Some(writer) = self.writer.take() {
            writer.shut_down();
        }
        self.time_out_requests();
        match self.replace_store() {
            Ok(()) => self.announce_disk_to_peers(),
            Err(error) => self.fail(error.to_string()),
        }
    }

    fn replace_store(&self) -> Result<(), ClusterError> {
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

    /// Announces the new disk identity to the connected peers.
    fn announce_disk_to_peers(&self) {
        let names: Vec<String> = self.outboxes.borrow().keys().cloned().collect();
        for name in names {
            self.drive(|state, now| state.on_connected(now, &name));
        }
    }

    /// Stops the member: it confirms nothing any more.
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
        // A reader whose sender is dropped returns `Unconfirmed`.
        self.readers.borrow_mut().clear();
        for requester in requesters {
            self.queue_reply(requester.reply, None);
        }
    }

    /// Sends a command to the leader of its key's shard; returns the request's number. `reply` is called later, from a
    /// separate task. Returns `None` if the request is rejected: the command was not and will not be executed.
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
            // Registered before the effects are carried out, as they may contain the outcome.
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

    /// Waits, for at most `timeout`, until the local replica of the shard holds everything that was committed before
    /// the call. The shard's leader confirms this with a majority.
    pub async fn confirm_read(&self, shard: u16, timeout: Duration) -> ReadOutcome {
        let now = self.clock.now();
        let (sender, receiver) = oneshot::channel();
        let effects = {
            let mut state = self.state.borrow_mut();
            let Some(id) = state.confirm_read(now, shard, now + timeout) else {
                return ReadOutcome::Unconfirmed;
            };
            // Registered before the effects are carried out, as they may contain the outcome.
            self.readers.borrow_mut().insert(id, sender);
            state.take_effects()
        };
        self.carry_out(effects);
        self.deadline_moved.notify_one();
        receiver.await.unwrap_or(ReadOutcome::Unconfirmed)
    }

    /// Applies the elapsed time to the group member, so that timeouts are current even after the process was suspended.
    pub(crate) fn catch_up_time(&self) {
        self.drive(GroupMember::tick);
    }

    fn is_overloaded(&self) -> bool {
        let writer = self.writer.borrow();
        writer
            .as_ref()
            .is_none_or(|writer| writer.pending_jobs() > MAX_PENDING_JOBS)
    }

    /// Cancels a request: its requester receives no further outcome.
    pub fn forget(&self, id: u64) {
        self.requesters.borrow_mut().remove(&id);
        self.drive(|state, now| state.abandon_request(now, id));
    }

    /// Handles a frame received from the member `name`.
    pub(crate) fn on_frame(&self, name: &str, frame: Frame) {
        self.drive(|state, now| state.on_frame(now, name, frame));
    }

    /// Transfers the leadership of all shards that this member leads; returns when that is done, or after `timeout`.
    pub async fn leave(&self, timeout: Duration) {
        self.drive(GroupMember::transfer_all_leadership);
        let mut remaining = timeout;
        while self.inspect(GroupMember::led_shard_count) > 0 && !remaining.is_zero() {
            sleep(LEADERSHIP_POLL_INTERVAL).await;
            remaining = remaining.saturating_sub(LEADERSHIP_POLL_INTERVAL);
        }
    }
}
