//! Keyed tickets of a node in a group: the start is agreed on before the launch, the result before the answer.
//!
//! What is done at each step stands in `rainstand_replicated_state::idempotent_request`; here it is carried out. The decision module still
//! settles what is let in and when it runs: its order to run is where the group is asked whether the key may start. To
//! the module a ticket that the group turns away is one that never ran.
//!
//! A ticket whose run is over leaves the books; what it is owed waits in `RequestTable::awaiting_commit` until its result is agreed on.

use crate::counters::count;
use crate::pending_reply::PendingReply;
use crate::request::{RunState, Trace};
use crate::request_table::RequestTable;
use crate::settings::Settings;
use crate::{descriptors, dispatch, log_event, NodeContext};
use bytes::Bytes;
use rainstand::Outcome;
use rainstand_cluster::{ClusterMember, MemberOptions};
use rainstand_replicated_state::idempotency::{ClaimOutcome, Command, Operation, Start};
use rainstand_replicated_state::idempotent_request::{
    transition, RequestAction, RequestEvent, RequestStage, RunEnd, Transition,
};
use rainstand_replicated_state::member::GroupEvent;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Kept between an answer and its due time: a few of the module's beats.
const MARGIN: Duration = Duration::from_millis(80);
/// For a result that nobody waits for any more, and for a withdrawal.
const UNWATCHED: Duration = Duration::from_secs(1);
/// Runs of an earlier start of this node, told again by the agent: kept until their keys were read from the disk.
const OLD_RUNS: usize = 4_000;
const OLD_FOR: Duration = Duration::from_secs(30);
const OLD_LOOK: Duration = Duration::from_millis(50);
/// Descriptors that a member's store keeps: its folder, the log's two files, a snapshot, and as many to spare.
const STORE: usize = 8;

/// Descriptors that a member keeps: a link to each other and one from it, and its store.
fn kept(members: usize) -> usize {
    2 * members.saturating_sub(1) + STORE
}

/// What makes a ticket a keyed one.
pub struct GroupClaim {
    pub key: Bytes,
    /// Over type, tenant and body: a key is never answered with the result of another.
    sum: u64,
    window: Duration,
    due: Instant,
    stage: RequestStage,
    question: Option<u64>,
}

/// A run of which nobody here knows, as the agent tells it again.
struct PriorRun {
    trace: Trace,
    end: RunEnd,
    since: Instant,
}

/// What of the group the node's books need.
pub struct GroupHandle {
    group: Rc<ClusterMember>,
    old: RefCell<VecDeque<PriorRun>>,
}

impl GroupClaim {
    /// `parts`: type, tenant and body.
    pub fn new(key: (&str, &[u8]), parts: [&[u8]; 3], window: Duration, due: Instant) -> Self {
        let (route, entity) = key;
        let mut all = Vec::new();
        for part in parts {
            all.extend_from_slice(&(part.len() as u32).to_le_bytes());
            all.extend_from_slice(part);
        }
        Self {
            key: [route.as_bytes(), b"\0", entity].concat().into(),
            sum: twox_hash::XxHash3_64::oneshot(&all),
            window,
            due,
            stage: RequestStage::Claiming,
            question: None,
        }
    }
}

/// Joins the group that a configuration names.
///
/// # Errors
/// If the member cannot begin.
pub async fn join(
    context: &Rc<NodeContext>,
    group: rainstand_config::schema::Group,
) -> Result<(), String> {
    context.reserved_descriptors.set(kept(group.members.len()));
    let setup = MemberOptions {
        name: context.config.name.clone(),
        group,
        log: Box::new(tell),
    };
    let group = rainstand_cluster::start(setup)
        .await
        .map_err(|error| error.to_string())?;
    let copies = Rc::new(GroupHandle {
        group,
        old: RefCell::default(),
    });
    context.core.borrow_mut().table.group = Some(copies.clone());
    tokio::task::spawn_local(report_prior_runs(copies));
    Ok(())
}

/// A new configuration, read again at SIGHUP: its members hold from here on.
pub async fn reload(context: &NodeContext) {
    let (Some(copies), Some(path)) = (
        context.core.borrow().table.group.clone(),
        std::env::var_os("RAINSTAND_SETTINGS"),
    ) else {
        return;
    };
    let read = descriptors::with_retry(context, "configuration", || async {
        std::fs::read_to_string(&path)
    })
    .await;
    let read = read.map_err(|why| why.to_string());
    let group = read
        .and_then(|text| Settings::read(&text))
        .and_then(|all| all.group.ok_or("no group".into()));
    let taken = group.and_then(|group| {
        let taken = copies.group.set_members(&group);
        taken.map(|()| group).map_err(|error| error.to_string())
    });
    match taken {
        Ok(group) => {
            context.reserved_descriptors.set(kept(group.members.len()));
            log_event!(
                "group_reload",
                "members of the group",
                count = group.members.len()
            );
        }
        Err(why) => {
            log_event!(
                "group_reload_refused",
                "group refused, the old members stay",
                why = why.escape_debug()
            )
        }
    }
}

/// Lines of the log: each has its code.
fn tell(news: &GroupEvent) {
    match news {
        GroupEvent::Bootstrapped { members } => {
            log_event!("group_formed", "the group begins", members = members)
        }
        GroupEvent::BecameLeader { shard, term } => {
            log_event!("shard_leads", "leads", shard = shard, term = term)
        }
        GroupEvent::LostLeadership { shard } => {
            log_event!("shard_leads_no_more", "leads no more", shard = shard)
        }
        GroupEvent::MembershipChanged { shard, membership } => {
            log_event!(
                "shard_members",
                "members of a shard",
                shard = shard,
                what = membership
            );
        }
        GroupEvent::Diverged { shard, divergence } => log_event!(
            "copy_differs",
            "this copy differs from most others: its files are set aside",
            shard = shard,
            what = format_args!(
                "entry {}: {:016x} here, {:016x} there",
                divergence.index, divergence.own_checksum, divergence.majority_checksum
            )
        ),
        GroupEvent::StaleDisk { reason } => {
            log_event!(
                "copy_set_aside",
                "the files are set aside, and this is a new member",
                why = reason
            );
        }
        GroupEvent::StalePeer { name, disk, reason } => log_event!(
            "peer_old_copy",
            "a member came with an old copy of its disk",
            name = name,
            disk = format_args!("{disk:016x}"),
            why = reason
        ),
        GroupEvent::CaughtUp { shard, index } => {
            log_event!(
                "shard_caught_up",
                "caught up by a snapshot",
                shard = shard,
                index = index
            );
        }
        GroupEvent::DiskStalled => {
            log_event!(
                "disk_stands_still",
                "the disk stands still: nothing is confirmed here"
            )
        }
        GroupEvent::DiskFailed { reason } => {
            log_event!(
                "disk_failed",
                "the disk failed: nothing is confirmed here until a new start",
                why = reason
            );
        }
    }
}

impl GroupHandle {
    pub fn group(&self) -> &Rc<ClusterMember> {
        &self.group
    }

    fn command(&self, trace: &Trace, key: &Bytes, what: Operation) -> Command {
        let claim = self.group.inspect(|member| member.claim(trace));
        Command {
            key: key.clone(),
            claim,
            operation: Some(what),
        }
    }

    /// Something that the group should know and nobody waits for.
    fn ask_unwatched(&self, trace: &Trace, key: &Bytes, what: Operation) {
        let command = self.command(trace, key, what);
        // Without room the key stays started until its window is over: repeats are told that it may have run.
        let _ = self.group.request(command, UNWATCHED, Rc::new(|_| {}));
    }
}

/// The module's order to run a keyed ticket: the group is asked first.
pub fn start(table: &mut RequestTable, index: usize) {
    let (Some(copies), context) = (table.group.clone(), table.context.clone()) else {
        return;
    };
    let Some(request) = table.request_mut(index) else {
        return;
    };
    let (serial, trace) = (request.serial, request.trace);
    let Some(keyed) = &mut request.claim else {
        return;
    };
    request.run = RunState::Claiming;
    let left = keyed.due.saturating_duration_since(Instant::now());
    let most = Duration::from_nanos(copies.group.settings().start_within_ns);
    let what = Operation::Start(Start {
        fingerprint: keyed.sum,
        window_ns: keyed.window.as_nanos() as u64,
    });
    let command = copies.command(&trace, &keyed.key, what);
    let tell = move |told: Option<ClaimOutcome>| {
        if let Some(context) = context.upgrade() {
            context.drive_policy(|_, _, table| {
                if table
                    .request_mut(index)
                    .is_some_and(|request| request.serial == serial)
                {
                    apply_event(
                        table,
                        index,
                        told.map_or(RequestEvent::TimedOut, RequestEvent::Outcome),
                    );
                }
            });
        }
    };
    keyed.question = copies
        .group
        .request(command, most.min(left / 2), Rc::new(tell));
    if keyed.question.is_none() {
        apply_event(table, index, RequestEvent::TimedOut);
    }
}

/// Nobody waits for the ticket any more. A run goes on: what it brings serves repeats.
pub fn left(table: &mut RequestTable, index: usize) {
    apply_event(table, index, RequestEvent::CallerLeft);
}

/// The run of a keyed ticket is over; the module is told as of any other.
pub fn ended(table: &mut RequestTable, index: usize, end: RunEnd) {
    apply_event(table, index, RequestEvent::RunFinished(end));
}

fn apply_event(table: &mut RequestTable, index: usize, event: RequestEvent) {
    let Some(copies) = table.group.clone() else {
        return;
    };
    let counts = table.counts.clone();
    let Some(request) = table.requests.get_mut(index).and_then(Option::as_mut) else {
        return;
    };
    let Some(keyed) = &mut request.claim else {
        return;
    };
    let (trace, key) = (request.trace, keyed.key.clone());
    let Transition { next, action: act } = transition(keyed.stage, event);
    if let Some(next) = next {
        keyed.stage = next;
    }
    // Turned away before anything was launched: to the module it never ran.
    let never_ran = match act {
        RequestAction::None => false,
        RequestAction::Launch => {
            request.run = RunState::Launched;
            count(&counts.launched);
            dispatch::launch(&table.agent, request, &table.class_names);
            false
        }
        RequestAction::ReplicateResult(result) => {
            let (owed, due) = (request.reply.take(), keyed.due);
            keep(table, &copies, trace, &key, result, owed, due);
            false
        }
        RequestAction::Respond(result) => {
            if let Some(owed) = request.reply.take() {
                owed.serve(&counts, &result);
            }
            true
        }
        RequestAction::Reject { permanent } => {
            let come_back = Duration::from_nanos(copies.group.settings().come_back_ns);
            if let Some(owed) = request.reply.take() {
                owed.reject(&counts, come_back, permanent);
            }
            true
        }
        RequestAction::Fail => {
            if let Some(owed) = request.reply.take() {
                owed.fail(&counts);
            }
            true
        }
        RequestAction::Withdraw => {
            if let Some(question) = keyed.question.take() {
                copies.group.forget(question);
            }
            true
        }
        RequestAction::FailAndRecord | RequestAction::FailAndRelease => {
            if let Some(owed) = request.reply.take() {
                owed.fail(&counts);
            }
            let what = if act == RequestAction::FailAndRecord {
                Operation::Failed(true)
            } else {
                Operation::Withdraw(true)
            };
            copies.ask_unwatched(&trace, &key, what);
            false
        }
    };
    if never_ran {
        table.run_ends.push_back((index, Outcome::NeverStarted));
    }
}

/// Agrees on a result; what is owed is answered then, or given up in time.
fn keep(
    table: &mut RequestTable,
    copies: &GroupHandle,
    trace: Trace,
    key: &Bytes,
    result: Bytes,
    owed: Option<PendingReply>,
    due: Instant,
) {
    let left = due.saturating_duration_since(Instant::now());
    let left = if owed.is_some() {
        left.saturating_sub(MARGIN)
    } else {
        UNWATCHED
    };
    let (context, kept) = (table.context.clone(), result.clone());
    let number = table.retain_reply(owed);
    let tell = move |told: Option<ClaimOutcome>| {
        let Some(context) = context.upgrade() else {
            return;
        };
        let mut core = context.core.borrow_mut();
        let event = told.map_or(RequestEvent::TimedOut, RequestEvent::Outcome);
        let Transition { next, action: act } = transition(RequestStage::Replicating, event);
        if next.is_some() {
            return;
        }
        let Some(owed) = core.table.awaiting_commit.remove(&number) else {
            return;
        };
        match act {
            RequestAction::Respond(_) => owed.serve(&context.counts, &kept),
            _ => owed.fail(&context.counts),
        }
    };
    let command = copies.command(&trace, key, Operation::Done(result));
    if copies.group.request(command, left, Rc::new(tell)).is_none() {
        if let Some(owed) = table.awaiting_commit.remove(&number) {
            owed.fail(&table.counts);
        }
    }
}

/// The agent tells of a run that nobody here knows: perhaps an earlier start of this node began it.
pub fn report_prior_run(context: &NodeContext, trace: Trace, end: RunEnd) {
    let Some(copies) = context.core.borrow().table.group.clone() else {
        return;
    };
    let mut old = copies.old.borrow_mut();
    if old.len() >= OLD_RUNS {
        old.pop_front();
    }
    old.push_back(PriorRun {
        trace,
        end,
        since: Instant::now(),
    });
}

/// Once a key of such a run was read from the copies here, the group hears how it ended.
async fn report_prior_runs(copies: Rc<GroupHandle>) {
    loop {
        sleep(OLD_LOOK).await;
        let all = std::mem::take(&mut *copies.old.borrow_mut());
        for run in all {
            match copies
                .group
                .inspect(|member| member.key_claimed_here(&run.trace))
            {
                Some(key) => {
                    let what = match run.end {
                        RunEnd::Result(result) => Operation::Done(result),
                        RunEnd::Failed => Operation::Failed(true),
                        RunEnd::NeverRan => Operation::Withdraw(true),
                    };
                    copies.ask_unwatched(&run.trace, &key, what);
                }
                None if run.since.elapsed() < OLD_FOR => copies.old.borrow_mut().push_back(run),
                None => {}
            }
        }
    }
}
