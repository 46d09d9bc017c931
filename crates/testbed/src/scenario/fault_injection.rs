//! Steps of a schedule: each fault is injected, held for its time and taken back.

use super::{Disturbance, Scenario, DRAIN_TIMEOUT};
use crate::fault_schedule::{FaultAction, FaultStep, Link, LinkFault, RestartDisk, RECOVERY_TIME};
use crate::process::START_TIMEOUT;
use rustix::process::Signal;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use tokio::time::sleep;

/// Between a crash that left a torn record and the next start.
const TORN_WRITE_DOWNTIME: Duration = Duration::from_millis(50);
/// The head of a record of 200 bytes and three bytes of it.
const TORN_RECORD: [u8; 7] = [200, 0, 0, 0, 1, 2, 3];

/// Puts a folder's files in place of what was in another one. A folder that is not there counts as empty.
pub(super) fn replace_folder(to: &Path, from: &Path) -> io::Result<()> {
    let _ = fs::remove_dir_all(to);
    fs::create_dir_all(to)?;
    let Ok(entries) = fs::read_dir(from) else {
        return Ok(());
    };
    for entry in entries {
        let entry = entry?;
        if entry.file_type()?.is_file() {
            fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

impl Scenario {
    /// Injects one fault of the schedule, and tells the callers which nodes it disturbs.
    pub(super) async fn inject(self: &Rc<Self>, step: FaultStep) {
        if self.finished.get() {
            return;
        }
        let action = self.resolve(step.action).await;
        let disturbed = action.disturbed_nodes();
        self.notify_callers(Disturbance::Begins, &disturbed).await;
        let duration = step.until.saturating_sub(step.from);
        if let Err(error) = self.act(action, duration).await {
            self.record_fault(format!("{action:?}: {error}"));
        }
        sleep(RECOVERY_TIME).await;
        self.notify_callers(Disturbance::Ends, &disturbed).await;
    }

    /// The kill of a leader as the kill of a node.
    async fn resolve(&self, action: FaultAction) -> FaultAction {
        let FaultAction::KillLeader { disk } = action else {
            return action;
        };
        let node = self.node_with_most_leaders().await;
        self.report.borrow_mut().leader_kills += 1;
        FaultAction::Kill { node, disk }
    }

    async fn act(&self, action: FaultAction, duration: Duration) -> io::Result<()> {
        match action {
            FaultAction::Link { link, fault } => self.break_link(link, fault, duration).await,
            FaultAction::Reset { link } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.reset_next();
                }
            }
            FaultAction::DuplicateFrame { link } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.repeat_last_frame().await;
                }
            }
            FaultAction::Kill { node, disk } => return self.kill(node, disk, duration).await,
            FaultAction::TornWrite { node } => return self.kill_in_write(node).await,
            // Resolved to a kill before.
            FaultAction::KillLeader { .. } => {}
            FaultAction::Stop { node } => {
                self.signal(node, Signal::STOP);
                sleep(duration).await;
                self.signal(node, Signal::CONT);
            }
            FaultAction::RollingRestart { node } => return self.drain_and_restart(node).await,
            FaultAction::FlushFails { node } => {
                return self.fail_disk(node, "flush-fails", duration).await;
            }
            FaultAction::DiskFull { node } => {
                return self.fail_disk(node, "disk-full", duration).await;
            }
            FaultAction::DiskSlow { node, by } => {
                let fault = format!("disk-slow {}", by.as_millis());
                return self.inject_disk_fault(node, &fault, duration).await;
            }
            FaultAction::Clock { node, rate, step } => {
                let fault = format!("clock {rate} {}", step.as_millis());
                return self.run_with_clock(node, fault, duration).await;
            }
        }
        Ok(())
    }

    async fn break_link(&self, link: Link, fault: LinkFault, duration: Duration) {
        if let Some(proxy) = self.links.get(&link) {
            proxy.begin(fault);
            sleep(duration).await;
            proxy.heal(fault);
        }
    }

    /// Started again with a clock that is wrong, and after a time once more with a right one.
    async fn run_with_clock(&self, n: usize, fault: String, duration: Duration) -> io::Result<()> {
        let restart = || self.kill(n, RestartDisk::Same, Duration::ZERO);
        *self.nodes[n].clock.borrow_mut() = Some(fault);
        let restarted = restart().await;
        sleep(duration).await;
        self.nodes[n].clock.borrow_mut().take();
        restarted?;
        restart().await
    }

    fn signal(&self, n: usize, signal: Signal) {
        if let Some(process) = &*self.nodes[n].process.borrow() {
            process.signal(signal);
        }
    }

    /// Kills a node, and starts it again with this disk after a time.
    async fn kill(&self, n: usize, disk: RestartDisk, downtime: Duration) -> io::Result<()> {
        self.crash(n).await?;
        let node = &self.nodes[n];
        match disk {
            RestartDisk::Same => {}
            RestartDisk::Empty => replace_folder(&node.disk(), Path::new(""))?,
            RestartDisk::Old => replace_folder(&node.disk(), &node.old_disk())?,
            RestartDisk::Another { of } => {
                replace_folder(&node.disk(), &self.nodes[of].old_disk())?;
            }
        }
        sleep(downtime).await;
        self.restart_when_free(n).await
    }

    /// Kills a node as if it was in the middle of a write.
    async fn kill_in_write(&self, n: usize) -> io::Result<()> {
        self.crash(n).await?;
        append_torn_record(&self.nodes[n].disk())?;
        sleep(TORN_WRITE_DOWNTIME).await;
        self.restart_when_free(n).await
    }

    async fn crash(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        let process = node.process.borrow_mut().take();
        node.down.set(node.down.get() + 1);
        self.detach_links(n);
        if let Some(process) = process {
            self.report.borrow_mut().kills += 1;
            process.kill().await?;
        }
        Ok(())
    }

    /// Starts a node again once nothing keeps it down any more.
    async fn restart_when_free(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        node.down.set(node.down.get() - 1);
        if node.down.get() == 0 && node.process.borrow().is_none() && !self.finished.get() {
            node.down.set(1);
            let started = self.start_node(n).await;
            node.down.set(node.down.get() - 1);
            return started;
        }
        Ok(())
    }

    /// Drained, waited for, and started again.
    async fn drain_and_restart(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        let Some(mut process) = node.process.borrow_mut().take() else {
            return Ok(());
        };
        node.down.set(node.down.get() + 1);
        process.signal(Signal::TERM);
        let status = process.wait(DRAIN_TIMEOUT + START_TIMEOUT).await?;
        if !status.success() {
            self.record_fault(format!("{} drained with {status}", node.name));
        }
        self.detach_links(n);
        self.restart_when_free(n).await
    }

    /// What the node's disk does for a time, by the file that a node in testing reads.
    async fn inject_disk_fault(&self, n: usize, fault: &str, duration: Duration) -> io::Result<()> {
        let file = self.nodes[n].testing_file();
        fs::write(&file, fault)?;
        sleep(duration).await;
        fs::write(&file, "")
    }

    /// A disk that fails for a time. Its node stays without a vote until it is started again.
    async fn fail_disk(&self, n: usize, fault: &str, duration: Duration) -> io::Result<()> {
        self.inject_disk_fault(n, fault, duration).await?;
        self.notify_callers(Disturbance::Begins, &[n]).await;
        let restarted = self.kill(n, RestartDisk::Same, Duration::ZERO).await;
        sleep(RECOVERY_TIME).await;
        self.notify_callers(Disturbance::Ends, &[n]).await;
        restarted
    }
}

/// Writes half a record behind the newest segment, as a crash in the middle of a write leaves it.
fn append_torn_record(folder: &Path) -> io::Result<()> {
    let Ok(entries) = fs::read_dir(folder) else {
        return Ok(());
    };
    let logs = entries.filter_map(|entry| Some(entry.ok()?.path()));
    let newest = logs
        .filter(|path| {
            path.file_name()
                .is_some_and(|name| name.as_encoded_bytes().starts_with(b"log-"))
        })
        .max();
    if let Some(path) = newest {
        fs::OpenOptions::new()
            .append(true)
            .open(path)?
            .write_all(&TORN_RECORD)?;
    }
    Ok(())
}
