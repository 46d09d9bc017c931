//! Executes the steps of a fault schedule: injects each fault, holds it for its duration and reverts it.

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

/// Time between a crash that left a torn record and the restart.
const TORN_WRITE_DOWNTIME: Duration = Duration::from_millis(50);
/// Header of a 200-byte record and the first three bytes of the record.
const TORN_RECORD: [u8; 7] = [200, 0, 0, 0, 1, 2, 3];

/// Replaces the contents of folder `to` with the files of folder `from`. A missing `from` counts as empty.
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
    /// Injects one fault of the schedule, and notifies the callers of the nodes that it disturbs.
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

    /// Turns the kill of a leader into a kill of the node that leads the most shards now.
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
            // `resolve` has turned it into `Kill`.
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

    /// Restarts a node with a faulty clock, and after `duration` again with a correct one.
    async fn run_with_clock(
        &self,
        index: usize,
        fault: String,
        duration: Duration,
    ) -> io::Result<()> {
        let restart = || self.kill(index, RestartDisk::Same, Duration::ZERO);
        *self.nodes[index].clock.borrow_mut() = Some(fault);
        let restarted = restart().await;
        sleep(duration).await;
        self.nodes[index].clock.borrow_mut().take();
        restarted?;
        restart().await
    }

    fn signal(&self, index: usize, signal: Signal) {
        if let Some(process) = &*self.nodes[index].process.borrow() {
            process.signal(signal);
        }
    }

    /// Kills a node, and restarts it with the given disk after `downtime`.
    async fn kill(&self, index: usize, disk: RestartDisk, downtime: Duration) -> io::Result<()> {
        self.crash(index).await?;
        let node = &self.nodes[index];
        match disk {
            RestartDisk::Same => {}
            RestartDisk::Empty => replace_folder(&node.disk(), Path::new(""))?,
            RestartDisk::Old => replace_folder(&node.disk(), &node.old_disk())?,
            RestartDisk::Another { of } => {
                replace_folder(&node.disk(), &self.nodes[of].old_disk())?;
            }
        }
        sleep(downtime).await;
        self.restart_when_free(index).await
    }

    /// Kills a node and leaves a torn record, as a crash in the middle of a write does.
    async fn kill_in_write(&self, index: usize) -> io::Result<()> {
        self.crash(index).await?;
        append_torn_record(&self.nodes[index].disk())?;
        sleep(TORN_WRITE_DOWNTIME).await;
        self.restart_when_free(index).await
    }

    async fn crash(&self, index: usize) -> io::Result<()> {
        let node = &self.nodes[index];
        let process = node.process.borrow_mut().take();
        node.down.set(node.down.get() + 1);
        self.detach_links(index);
        if let Some(process) = process {
            self.report.borrow_mut().kills += 1;
            process.kill().await?;
        }
        Ok(())
    }

    /// Releases one hold on a node, and restarts the node if no other fault keeps it down.
    async fn restart_when_free(&self, index: usize) -> io::Result<()> {
        let node = &self.nodes[index];
        node.down.set(node.down.get() - 1);
        if node.down.get() == 0 && node.process.borrow().is_none() && !self.finished.get() {
            node.down.set(1);
            let started = self.start_node(index).await;
            node.down.set(node.down.get() - 1);
            return started;
        }
        Ok(())
    }

    /// Drains a node, waits for its exit and restarts it.
    async fn drain_and_restart(&self, index: usize) -> io::Result<()> {
        let node = &self.nodes[index];
        let Some(mut process) = node.process.borrow_mut().take() else {
            return Ok(());
        };
        node.down.set(node.down.get() + 1);
        process.signal(Signal::TERM);
        let status = process.wait(DRAIN_TIMEOUT + START_TIMEOUT).await?;
        if !status.success() {
            self.record_fault(format!("{} exited with {status} after a drain", node.name));
        }
        self.detach_links(index);
        self.restart_when_free(index).await
    }

    /// Applies a disk fault for `duration`, through the fault file that a node in test mode reads.
    async fn inject_disk_fault(
        &self,
        index: usize,
        fault: &str,
        duration: Duration,
    ) -> io::Result<()> {
        let file = self.nodes[index].testing_file();
        fs::write(&file, fault)?;
        sleep(duration).await;
        fs::write(&file, "")
    }

    /// Fails a node's disk for `duration`, then restarts the node: until then it cannot vote.
    async fn fail_disk(&self, index: usize, fault: &str, duration: Duration) -> io::Result<()> {
        self.inject_disk_fault(index, fault, duration).await?;
        self.notify_callers(Disturbance::Begins, &[index]).await;
        let restarted = self.kill(index, RestartDisk::Same, Duration::ZERO).await;
        sleep(RECOVERY_TIME).await;
        self.notify_callers(Disturbance::Ends, &[index]).await;
        restarted
    }
}

/// Appends part of a record to the newest segment, as a crash in the middle of a write does.
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
