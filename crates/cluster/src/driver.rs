//! Drives a member: its time, its links, its writes and its answers.
//!
//! A call into the member is followed by its effects: frames go to the links, writes to the disk's thread, answers
//! into a line that a task of its own gives out, so that who asks is never called back from within the asking.

use crate::config_server::{ConfigServer, EventCallback as TellEvent};
use crate::fault_injection::{self, Clock};
use crate::persistence::{found, log_suffix, record};
use crate::transport::{accept, maintain_link, Outbox};
use foldhash::{HashMap, HashMapExt};
use prost::Message as _;
use rainstand_config::schema;
use rainstand_config_distribution::publisher::PublisherLimits;
use rainstand_raft::Timeouts;
use rainstand_replicated_state::frames::Frame;
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command};
use rainstand_replicated_state::member::{
    Effects, GroupEvent, GroupMember, MemberConfig, OutgoingFrame, PersistentWrite, RequestOutcome,
    WriteBatch, DEFAULT_COMPACTION_ENTRIES,
};
use rainstand_replicated_state::placement::MemberPlacement;
use rainstand_storage::writer::{WriteJob, WriteOutcome, Writer};
use rainstand_storage::{Disk, FolderDisk, IdentitySeed, OpenError, Recovered, Store, StoreLimits};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Writes that wait for the disk, in jobs: past it no question is taken.
const JOBS: usize = 16_384;
/// The longest sleep of the loop, and the shortest.
const SLEEPS: [Duration; 2] = [Duration::from_millis(500), Duration::from_micros(200)];
/// Commit times that are kept for the figures.
const TIMES: usize = 512;

/// What is told of a question, by its number: several times, the last one final. None: its time is over.
pub type ReplyCallback = Rc<dyn Fn(Option<ClaimOutcome>)>;
/// Where news go: the program's log.
pub type Log = Box<dyn Fn(&GroupEvent)>;

/// What a member needs to begin.
pub struct MemberOptions {
    pub name: String,
    pub group: schema::Group,
    pub log: Log,
}

/// A member on sockets and a disk.
pub struct ClusterMember {
    name: String,
    settings: schema::Group,
    /// Those of the newest configuration.
    members: RefCell<Vec<schema::GroupMember>>,
    folder: PathBuf,
    testing: Option<PathBuf>,
    clock: Box<dyn Clock>,
    member: RefCell<GroupMember>,
    writer: RefCell<Option<Writer>>,
    done: mpsc::UnboundedSender<(u64, WriteOutcome)>,
    /// Goes up with each disk: what an earlier one's thread tells is not this one's.
    disk: Cell<u64>,
    links: RefCell<HashMap<String, Rc<Outbox>>>,
    tells: RefCell<HashMap<u64, (ReplyCallback, Duration)>>,
    line: RefCell<VecDeque<(ReplyCallback, Option<ClaimOutcome>)>>,
    stir: Notify,
    again: Notify,
    log: Log,
    /// Why nothing is confirmed any more.
    pub failed: RefCell<Option<String>>,
    /// From the question to what was told, newest last.
    times: RefCell<VecDeque<Duration>>,
    pub quarantines: Cell<u64>,
    pub flushes: Cell<u64>,
    /// Where this member is a control machine.
    serving: RefCell<Option<Rc<ConfigServer>>>,
}

/// Draws that no other start makes: the system's own chance, through the standard library.
fn draws() -> IdentitySeed {
    let draw = || {
        let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
        hasher.write_u8(1);
        // 0 is nobody.
        hasher.finish().max(1)
    };
    IdentitySeed {
        disk: draw(),
        nonce: draw(),
    }
}

fn limits() -> StoreLimits {
    StoreLimits::default()
}

impl ClusterMember {
    /// Opens the disk, listens, and begins to talk to the others.
    ///
    /// # Errors
    /// If the configuration names no such member, or its folder or address cannot be had.
    pub async fn start(setup: MemberOptions) -> Result<Rc<Self>, String> {
        let MemberOptions {
            name,
            group: settings,
            log,
        } = setup;
        let own = settings.members.iter().find(|member| member.name == name);
        let own = own.ok_or_else(|| format!("group {}: no member {name}", settings.name))?;
        let listen: SocketAddr = own
            .address
            .parse()
            .map_err(|_| format!("group: address {}", own.address))?;
        let (folder, testing) = (
            PathBuf::from(&own.folder),
            fault_injection::file(settings.testing)?,
        );
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| format!("group: listen {listen}: {e}"))?;
        let clock = fault_injection::clock(testing.as_deref());
        let (store, recovered, damaged) = open(&folder, testing.as_ref())?;
        let member = member(&settings, &name, &store, &recovered, clock.now())?;
        let (done, told) = mpsc::unbounded_channel();
        let group = Rc::new(Self {
            name,
            folder,
            testing,
            clock,
            member: RefCell::new(member),
            writer: RefCell::new(None),
            done,
            disk: Cell::new(0),
            links: RefCell::new(HashMap::new()),
            tells: RefCell::new(HashMap::new()),
            line: RefCell::default(),
            stir: Notify::new(),
            again: Notify::new(),
            log,
            failed: RefCell::new(None),
            times: RefCell::default(),
            quarantines: Cell::new(u64::from(damaged.is_some())),
            flushes: Cell::new(0),
            serving: RefCell::new(None),
            members: RefCell::new(settings.members.clone()),
            settings,
        });
        if let Some(reason) = damaged {
            (group.log)(&GroupEvent::StaleDisk { reason });
        }
        group.begin_writing(store);
        group.keep_links();
        spawn_local(accept(group.clone(), listener));
        spawn_local(tick(group.clone()));
        spawn_local(tell(group.clone()));
        spawn_local(written(group.clone(), told));
        group.drive(|_, _| {});
        Ok(group)
    }

    /// A link to each member that has none yet.
    fn keep_links(self: &Rc<Self>) {
        let names = self
            .members
            .borrow()
            .iter()
            .map(|member| member.name.clone())
            .collect::<Vec<_>>();
        for name in names.into_iter().filter(|name| *name != self.name) {
            if !self.links.borrow().contains_key(&name) {
                self.link(&name);
                spawn_local(maintain_link(self.clone(), name));
            }
        }
    }

    /// Where a member is found, by the newest configuration.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.members
            .borrow()
            .iter()
            .find(|member| member.name == name)?
            .address
            .parse()
            .ok()
    }

    pub fn members(&self) -> Vec<schema::GroupMember> {
        self.members.borrow().clone()
    }

    /// Members of a new configuration: who is new is linked, and shards move, one safe step at a time. All else of a group
    /// holds until the next start.
    ///
    /// # Errors
    /// If it is another group, or this member is not in it.
    pub fn set_members(self: &Rc<Self>, group: &schema::Group) -> Result<(), String> {
        if group.name != self.settings.name || group.shards != self.settings.shards {
            return Err(format!(
                "group {}: name and shards change only at a start",
                group.name
            ));
        }
        if !group.members.iter().any(|member| member.name == self.name) {
            return Err(format!("group {}: no member {}", group.name, self.name));
        }
        (*self.members.borrow_mut()).clone_from(&group.members);
        self.keep_links();
        let members = of(&group.members);
        self.drive(|member, now| member.set_members(now, members));
        Ok(())
    }

    /// From now on processes that are no members may attach and hear of what is published.
    pub fn serve(self: &Rc<Self>, bounds: PublisherLimits, tell: TellEvent) {
        let serving = ConfigServer::begin(self, bounds, draws().disk, tell);
        self.serving.replace(Some(serving));
    }

    pub fn serving(&self) -> Option<Rc<ConfigServer>> {
        self.serving.borrow().clone()
    }

    pub fn settings(&self) -> &schema::Group {
        &self.settings
    }

    fn begin_writing(&self, store: Store<FolderDisk>) {
        let (done, disk) = (self.done.clone(), self.disk.get());
        let wait = Duration::from_nanos(self.settings.commit_wait_ns);
        let tell = move |one| drop(done.send((disk, one)));
        *self.writer.borrow_mut() = Some(Writer::start(move || store, wait, tell));
    }

    /// What goes to a member.
    pub fn link(&self, name: &str) -> Rc<Outbox> {
        self.links
            .borrow_mut()
            .entry(name.to_owned())
            .or_default()
            .clone()
    }

    /// One call into the member, with all that follows from it.
    pub fn drive<T>(&self, call: impl FnOnce(&mut GroupMember, Duration) -> T) -> T {
        let now = self.clock.now();
        let (told, effects, wake) = {
            let mut member = self.member.borrow_mut();
            let before = member.next_deadline();
            let told = call(&mut member, now);
            let effects = member.take_effects();
            (told, effects, member.next_deadline() < before)
        };
        self.follow(effects);
        if wake {
            self.again.notify_one();
        }
        told
    }

    /// A look at the member that changes nothing.
    pub fn inspect<T>(&self, look: impl FnOnce(&GroupMember) -> T) -> T {
        look(&self.member.borrow())
    }

    fn follow(&self, effects: Effects) {
        let Effects {
            frames,
            write,
            outcomes,
            timed_out,
            events,
            published_changed,
        } = effects;
        if let Some(batch) = write {
            self.write(batch);
        }
        for OutgoingFrame { to, frame } in frames {
            self.link(&to).send(&frame);
        }
        for RequestOutcome { id, outcome: told } in outcomes {
            let last = told != ClaimOutcome::InProgress;
            let tell = if last {
                self.tells.borrow_mut().remove(&id)
            } else {
                self.tells.borrow().get(&id).cloned()
            };
            if let Some((tell, since)) = tell {
                if last {
                    self.took(self.clock.now().saturating_sub(since));
                }
                self.line.borrow_mut().push_back((tell, Some(told)));
            }
        }
        for id in timed_out {
            if let Some((tell, _)) = self.tells.borrow_mut().remove(&id) {
                self.line.borrow_mut().push_back((tell, None));
            }
        }
        self.stir.notify_one();
        if let Some(serving) = self.serving().filter(|_| published_changed) {
            self.inspect(|member| serving.sync(member));
        }
        for one in events {
            (self.log)(&one);
            if matches!(
                one,
                GroupEvent::StaleDisk { .. } | GroupEvent::Diverged { .. }
            ) {
                self.reinitialize();
            }
        }
    }

    fn took(&self, time: Duration) {
        let mut times = self.times.borrow_mut();
        times.push_back(time);
        if times.len() > TIMES {
            times.pop_front();
        }
    }

    /// Of the last questions, in order of size.
    pub fn commit_times(&self) -> Vec<Duration> {
        let mut all: Vec<Duration> = self.times.borrow().iter().copied().collect();
        all.sort_unstable();
        all
    }

    fn write(&self, batch: WriteBatch) {
        let WriteBatch { number, writes } = batch;
        let writer = self.writer.borrow();
        let Some(writer) = &*writer else { return };
        let mut records = Vec::new();
        for write in writes {
            match write {
                PersistentWrite::InstallSnapshot {
                    shard,
                    snapshot,
                    alone,
                } => {
                    if !records.is_empty() {
                        // In the order in which they were given; told once, with the last.
                        writer.submit(WriteJob::Write {
                            number: number - 1,
                            records: std::mem::take(&mut records),
                        });
                    }
                    let (index, data) = (snapshot.metadata.index, snapshot.encode_to_vec());
                    writer.submit(WriteJob::InstallSnapshot {
                        number: number - 1,
                        shard,
                        index,
                        data,
                        suffix: log_suffix(alone),
                    });
                }
                other => records.extend(record(&other)),
            }
        }
        writer.submit(WriteJob::Write { number, records });
    }

    /// The files are set aside, and the member begins as another disk. What waits is told that its time is over.
    fn reinitialize(&self) {
        self.quarantines.set(self.quarantines.get() + 1);
        self.disk.set(self.disk.get() + 1);
        if let Some(writer) = self.writer.borrow_mut().take() {
            writer.shut_down();
        }
        let tells: Vec<(ReplyCallback, Duration)> = self
            .tells
            .borrow_mut()
            .drain()
            .map(|(_, tell)| tell)
            .collect();
        self.line
            .borrow_mut()
            .extend(tells.into_iter().map(|(tell, _)| (tell, None)));
        let anew = || -> Result<(), String> {
            let mut folder = FolderDisk::open(&self.folder).map_err(|e| e.to_string())?;
            folder.quarantine().map_err(|e| e.to_string())?;
            drop(folder);
            let (store, recovered, _) = open(&self.folder, self.testing.as_ref())?;
            let settings = schema::Group {
                members: self.members.borrow().clone(),
                ..self.settings.clone()
            };
            let member = member(&settings, &self.name, &store, &recovered, self.clock.now())?;
            *self.member.borrow_mut() = member;
            self.begin_writing(store);
            Ok(())
        };
        match anew() {
            Ok(()) => {
                // Who is linked hears of the new disk.
                let names: Vec<String> = self.links.borrow().keys().cloned().collect();
                for name in names {
                    self.drive(|member, now| member.on_connected(now, &name));
                }
            }
            Err(why) => self.fail(why),
        }
    }

    /// Nothing is confirmed from now on.
    fn fail(&self, why: String) {
        self.member.borrow_mut().stop();
        self.failed.borrow_mut().get_or_insert(why);
        let tells: Vec<(ReplyCallback, Duration)> = self
            .tells
            .borrow_mut()
            .drain()
            .map(|(_, tell)| tell)
            .collect();
        self.line
            .borrow_mut()
            .extend(tells.into_iter().map(|(tell, _)| (tell, None)));
        self.stir.notify_one();
    }

    /// A question to a key's leader; `tell` is called later, from a task of its own, never from in here. None if it
    /// cannot be taken: nothing was or will be done then.
    pub fn request(&self, command: Command, within: Duration, tell: ReplyCallback) -> Option<u64> {
        let busy = self
            .writer
            .borrow()
            .as_ref()
            .is_none_or(|writer| writer.pending_jobs() > JOBS);
        if busy || self.failed.borrow().is_some() {
            return None;
        }
        let now = self.clock.now();
        let (id, effects) = {
            let mut member = self.member.borrow_mut();
            let id = member.request(now, command, now + within)?;
            // Known before what follows: the answer may be among it.
            self.tells.borrow_mut().insert(id, (tell, now));
            (id, member.take_effects())
        };
        self.follow(effects);
        self.again.notify_one();
        Some(id)
    }

    /// Nobody waits for a question any more.
    pub fn forget(&self, id: u64) {
        self.tells.borrow_mut().remove(&id);
        self.drive(|member, now| member.abandon_request(now, id));
    }

    pub fn on_connected(&self, name: &str) {
        self.drive(|member, now| member.on_connected(now, name));
    }

    pub fn on_disconnected(&self, name: &str) {
        self.drive(|member, now| member.on_disconnected(now, name));
    }

    pub fn on_frame(&self, name: &str, frame: Frame) {
        self.drive(|member, now| member.on_frame(now, name, frame));
    }

    /// Hands over what is led here; returns when that is done, or after `within`.
    pub async fn leave(&self, within: Duration) {
        self.drive(|member, now| member.transfer_all_leadership(now));
        let step = Duration::from_millis(5);
        let mut left = within;
        while self.inspect(GroupMember::led_shard_count) > 0 && !left.is_zero() {
            sleep(step).await;
            left = left.saturating_sub(step);
        }
    }
}

/// Names and sites.
fn of(members: &[schema::GroupMember]) -> Vec<MemberPlacement> {
    members
        .iter()
        .map(|member| MemberPlacement {
            name: member.name.clone(),
            site: member.site.clone(),
        })
        .collect()
}

type Opened = (Store<FolderDisk>, Recovered, Option<String>);

/// Opens a folder. What cannot be believed is set aside, and told.
fn open(folder: &std::path::Path, testing: Option<&PathBuf>) -> Result<Opened, String> {
    let at = |why: &dyn std::fmt::Display| format!("{}: {why}", folder.display());
    let disk = || {
        let disk = FolderDisk::open(folder).map_err(|why| at(&why))?;
        Ok::<_, String>(match testing {
            Some(file) => disk.with_fault_hook(fault_injection::fault_hook(file.clone())),
            None => disk,
        })
    };
    match Store::open(disk()?, limits(), draws()) {
        Ok((store, recovered)) => Ok((store, recovered, None)),
        Err(OpenError::Io(why)) => Err(at(&why)),
        Err(OpenError::Damaged(damage)) => {
            let mut anew = disk()?;
            anew.quarantine().map_err(|why| at(&why))?;
            let (store, recovered) =
                Store::open(anew, limits(), draws()).map_err(|why| at(&why))?;
            Ok((store, recovered, Some(damage.to_string())))
        }
    }
}

fn member(
    settings: &schema::Group,
    name: &str,
    store: &Store<FolderDisk>,
    recovered: &Recovered,
    now: Duration,
) -> Result<GroupMember, String> {
    let span = Duration::from_nanos;
    let options = MemberConfig {
        group: settings.name.clone(),
        name: name.to_owned(),
        members: of(&settings.members),
        shards: settings.shards as u16,
        replicas_per_shard: settings.copies as usize,
        timeouts: Timeouts {
            heartbeat_interval: span(settings.heartbeat_ns),
            min_election_timeout: span(settings.election_least_ns),
            max_election_timeout: span(settings.election_most_ns),
        },
        max_concurrent_learners: settings.moves as usize,
        max_keys_per_shard: settings.keys as usize,
        compaction_entries: DEFAULT_COMPACTION_ENTRIES,
        seed: draws().disk,
    };
    Ok(GroupMember::new(
        options,
        found(store.identity(), recovered)?,
        now,
    ))
}

/// The member's time.
async fn tick(group: Rc<ClusterMember>) {
    loop {
        let wake = group.inspect(GroupMember::next_deadline);
        let left = wake.saturating_sub(group.clock.now());
        let left = group.clock.real(left).clamp(SLEEPS[1], SLEEPS[0]);
        tokio::select! {
            () = sleep(left) => {}
            () = group.again.notified() => {}
        }
        if group.inspect(|member| member.next_deadline() <= group.clock.now()) {
            group.drive(|member, now| member.tick(now));
        }
    }
}

/// Gives out what was told.
async fn tell(group: Rc<ClusterMember>) {
    loop {
        let next = group.line.borrow_mut().pop_front();
        match next {
            Some((tell, told)) => tell(told),
            None => group.stir.notified().await,
        }
    }
}

/// What the disk's thread says.
async fn written(group: Rc<ClusterMember>, mut told: mpsc::UnboundedReceiver<(u64, WriteOutcome)>) {
    while let Some((disk, done)) = told.recv().await {
        if disk != group.disk.get() {
            continue;
        }
        match done {
            WriteOutcome::Durable {
                up_to,
                needs_compaction,
            } => {
                group.flushes.set(group.flushes.get() + 1);
                group.drive(|member, now| {
                    member.on_persisted(now, up_to);
                    if !needs_compaction.is_empty() {
                        member.compact_shards(now, &needs_compaction);
                    }
                });
            }
            WriteOutcome::Failed(why) => {
                (group.log)(&GroupEvent::DiskFailed {
                    reason: why.clone(),
                });
                group.fail(why);
            }
        }
    }
}
