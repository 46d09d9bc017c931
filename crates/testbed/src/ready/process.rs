//! One process that is restarted, and how it is watched until it is ready.

use super::client::{Line, Question, Reply};
use super::registry::List;
use super::report::Seen;
use super::{LOOK, STOP};
use crate::process::{program, Process};
use serde::Serialize;
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;
use tokio::process::Command;
use tokio::time::{sleep, timeout_at, Instant};

/// Who is not ready by then never is.
pub(super) const MOST: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Node,
    /// A node in the group.
    Member,
    Forwarder,
}

/// One process that is restarted.
pub(super) struct One {
    pub(super) kind: Kind,
    pub(super) name: String,
    pub(super) front: SocketAddr,
    pub(super) question: Question,
    /// A node's file, or a forwarder's configuration and number.
    pub(super) file: PathBuf,
    pub(super) number: usize,
    pub(super) group: Option<PathBuf>,
    pub(super) process: RefCell<Option<Process>>,
}

impl One {
    pub(super) fn start(&self, programs: Option<&Path>, folder: &Path) -> io::Result<()> {
        let mut command;
        if self.kind == Kind::Forwarder {
            command = Command::new(program("rainstand", programs)?);
            command
                .arg("forward")
                .arg("--config")
                .arg(&self.file)
                .arg("--listen")
                .arg(self.front.to_string());
            command
                .arg("--number")
                .arg(self.number.to_string())
                .arg("--seed")
                .arg(self.number.to_string());
            command.arg("--stop-ms").arg(STOP.as_millis().to_string());
        } else {
            command = Command::new(program("rainstand-node", programs)?);
            command.env("ROUTER_CONFIG", &self.file);
            if let Some(group) = &self.group {
                command.env("RAINSTAND_SETTINGS", group);
            }
        }
        command.stdin(Stdio::null()).stdout(Stdio::null());
        let log = folder.join(format!("{}.log", self.name));
        *self.process.borrow_mut() = Some(Process::start(&self.name, command, &log)?);
        Ok(())
    }

    /// Why it is not there, if it ended by itself.
    pub(super) fn ended(&self) -> Option<String> {
        let status = self.process.borrow_mut().as_mut()?.ended()?;
        Some(format!("{} ended by itself: {status}", self.name))
    }

    /// From its start on, until it is ready or gone.
    pub(super) async fn watch(
        &self,
        begun: Instant,
        question: &Question,
        list: &List,
        in_list: bool,
    ) -> Seen {
        let seen = RefCell::new(Seen::default());
        let answers = async {
            while self.ended().is_none() {
                if let Ok(mut line) = Line::open(self.front).await {
                    seen.borrow_mut().listens.get_or_insert(begun.elapsed());
                    // A connection that breaks is opened anew: its process may be gone.
                    while let Ok(told) = line.ask(question).await {
                        let Reply::Else { pause, exception } = told else {
                            seen.borrow_mut().answered = Some(begun.elapsed());
                            return true;
                        };
                        seen.borrow_mut().turned_away += 1;
                        seen.borrow_mut().exception = exception;
                        sleep(pause).await;
                    }
                }
                sleep(LOOK).await;
            }
            false
        };
        let both = async {
            // Who ended by itself gets into no list.
            if answers.await && in_list {
                let at = list.listed(&self.name).await;
                seen.borrow_mut().listed = Some(at.saturating_duration_since(begun));
            }
        };
        let _ = timeout_at(begun + MOST, both).await;
        seen.into_inner()
    }
}
