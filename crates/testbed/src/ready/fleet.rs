//! All processes of a run: started, filled with keys, stopped, asked again.

use super::client::{honoured, Line, Question};
use super::options::{Discovery, End, Options};
use super::process::{Kind, One, MOST};
use super::registry::List;
use super::report::{OfKind, Seen, Times};
use super::{STOP, WITHIN};
use crate::process::{Process, START_TIMEOUT};
use rustix::process::Signal;
use socket2::Socket;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{timeout, timeout_at, Instant};

/// For one key to be kept in the group before the restart, with all tries.
const KEY_WITHIN: Duration = Duration::from_secs(60);

/// Callers that fill one member's disk side by side.
const FILLERS: usize = 8;

/// All processes of a run.
pub(super) struct Fleet<'o> {
    pub(super) options: &'o Options,
    pub(super) folder: PathBuf,
    pub(super) all: Vec<Rc<One>>,
    pub(super) list: Rc<List>,
    /// The announce service's port, and those of all who are restarted.
    pub(super) announce: SocketAddr,
    pub(super) _held: Vec<Socket>,
    pub(super) _agents: Vec<Process>,
    pub(super) results: RefCell<BTreeMap<String, Vec<u8>>>,
}

impl<'o> Fleet<'o> {
    /// Starts all at once; returns when each is ready, gone, or given up on.
    pub(super) async fn start(
        &self,
        round: usize,
        fell: &mut Vec<String>,
    ) -> io::Result<Vec<OfKind>> {
        let mut watches = JoinSet::new();
        for (k, one) in self.all.iter().cloned().enumerate() {
            let begun = Instant::now();
            one.start(self.options.programs.as_deref(), &self.folder)?;
            let (list, in_list) = (self.list.clone(), self.in_list(one.kind));
            let mut question = one.question.clone();
            if one.kind == Kind::Member {
                // A key of its own: the result of an earlier one would come from the copies, without any run.
                question.entity = format!("start-{round}-{k}");
            }
            watches
                .spawn_local(async move { (k, one.watch(begun, &question, &list, in_list).await) });
        }
        let mut seen = vec![Seen::default(); self.all.len()];
        while let Some(done) = watches.join_next().await {
            let (k, one) = done.map_err(io::Error::other)?;
            seen[k] = one;
        }
        fell.extend(self.all.iter().filter_map(|one| one.ended()));
        for (one, seen) in self.all.iter().zip(&seen) {
            fell.extend(
                seen.exception
                    .as_ref()
                    .map(|why| format!("{}: an exception: {why}", one.name)),
            );
        }
        let kinds = [Kind::Node, Kind::Member, Kind::Forwarder];
        Ok(kinds
            .into_iter()
            .filter_map(|kind| self.of_kind(kind, &seen))
            .collect())
    }

    pub(super) fn in_list(&self, kind: Kind) -> bool {
        kind != Kind::Forwarder && self.list.mode.get() == Discovery::Up
    }

    fn of_kind(&self, kind: Kind, seen: &[Seen]) -> Option<OfKind> {
        let in_list = self.in_list(kind);
        let of: Vec<&Seen> = self
            .all
            .iter()
            .zip(seen)
            .filter(|(one, _)| one.kind == kind)
            .map(|(_, seen)| seen)
            .collect();
        let ready: Vec<Option<Duration>> = of.iter().map(|seen| seen.ready(in_list)).collect();
        (!of.is_empty()).then(|| OfKind {
            kind,
            processes: of.len(),
            ready: ready.iter().flatten().count(),
            in_time: ready
                .iter()
                .flatten()
                .filter(|time| **time <= WITHIN)
                .count(),
            times: Times::of(ready),
            listens: Times::of(of.iter().map(|seen| seen.listens)),
            listed: in_list.then(|| Times::of(of.iter().map(|seen| seen.listed))),
            answered: Times::of(of.iter().map(|seen| seen.answered)),
            turned_away: of.iter().map(|seen| seen.turned_away).sum(),
        })
    }

    /// Tells all at once, and waits until all are gone.
    pub(super) async fn stop(&self, end: End, fell: &mut Vec<String>) {
        fell.extend(self.all.iter().filter_map(|one| one.ended()));
        let signal = if end == End::Kill {
            Signal::KILL
        } else {
            Signal::TERM
        };
        let mut going = Vec::new();
        for one in &self.all {
            if let Some(process) = one.process.borrow_mut().take() {
                process.signal(signal);
                going.push(process);
            }
        }
        for mut process in going {
            match process.wait(STOP + START_TIMEOUT).await {
                Ok(status) if status.success() || end == End::Kill => {}
                other => fell.push(format!("{} at its end: {other:?}", process.name)),
            }
        }
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Rc<One>> {
        self.all.iter().filter(|one| one.kind == Kind::Member)
    }

    /// Keyed tickets through all members, so that the keys lie on the disks of the group; how many were answered.
    pub(super) async fn fill(&self) -> io::Result<usize> {
        let members: Vec<Rc<One>> = self.members().cloned().collect();
        if members.is_empty() {
            return Ok(0);
        }
        let (keys, at_once) = (self.options.keys, members.len() * FILLERS);
        let mut filling = JoinSet::new();
        for first in 0..at_once {
            let one = members[first % members.len()].clone();
            filling.spawn_local(async move {
                let mut kept = Vec::new();
                let mut line = Line::open(one.front).await?;
                for key in (first..keys).step_by(at_once) {
                    let question = Question {
                        entity: format!("key-{key}"),
                        ..one.question.clone()
                    };
                    let result = timeout(KEY_WITHIN, honoured(&mut line, &question)).await;
                    kept.push((
                        question.entity,
                        result.map_err(|_| io::ErrorKind::TimedOut)??,
                    ));
                }
                Ok::<_, io::Error>(kept)
            });
        }
        while let Some(done) = filling.join_next().await {
            self.results
                .borrow_mut()
                .extend(done.map_err(io::Error::other)??);
        }
        Ok(self.results.borrow().len())
    }

    /// A key of those filled in at each member: the result must be that of before the restart.
    pub(super) async fn ask_again(&self) -> (usize, usize) {
        let (mut asked, mut kept) = (0, 0);
        for (one, n) in self.members().zip(0..) {
            // Keys are bound to their body and tenant, and members ask for different ones.
            let key = format!("key-{n}");
            let before = self.results.borrow().get(&key).cloned();
            let Some(before) = before else { continue };
            asked += 1;
            let question = Question {
                entity: key,
                ..one.question.clone()
            };
            let again = async { honoured(&mut Line::open(one.front).await?, &question).await };
            let again = timeout(KEY_WITHIN, again).await;
            kept += usize::from(matches!(again, Ok(Ok(result)) if result == before));
        }
        (asked, kept)
    }

    /// The announce service answers again: when each node was in the list, from then on.
    pub(super) async fn come_back(&self) -> io::Result<Vec<Option<Duration>>> {
        let begun = Instant::now();
        if self.list.mode.replace(Discovery::Up) == Discovery::Down {
            let listener = TcpListener::bind(self.announce).await?;
            spawn_local(self.list.clone().serve(listener));
        }
        let mut times = Vec::new();
        for one in self.all.iter().filter(|one| one.kind != Kind::Forwarder) {
            let at = timeout_at(begun + MOST, self.list.listed(&one.name)).await;
            times.push(at.ok().map(|at| at.saturating_duration_since(begun)));
        }
        Ok(times)
    }
}
