//! Steps of a schedule: each fault is injected, held for its time and taken back.

use super::{Stage, STOP};
use crate::fault_schedule::{Act, Disk, Step, AFTER};
use crate::process::COMES_UP;
use rustix::process::Signal;
use std::io::Write;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use std::{fs, io};
use tokio::time::sleep;

/// A folder with its files, in place of what was there.
pub(super) fn copy(from: &Path, to: &Path) -> io::Result<()> {
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

impl Stage {
    pub(super) async fn step(self: &Rc<Self>, step: Step) {
        if self.over.get() {
            return;
        }
        let mut act = step.act;
        if let Act::Chase { disk } = act {
            act = Act::Kill {
                node: self.leader().await,
                disk,
            };
            self.report.borrow_mut().chased += 1;
        }
        let disturbed = act.disturbs();
        self.tell("disturb", &disturbed).await;
        let lasts = step.until.saturating_sub(step.from);
        if let Err(why) = self.act(act, lasts).await {
            self.fell(format!("{act:?}: {why}"));
        }
        sleep(AFTER).await;
        self.tell("calm", &disturbed).await;
    }

    /// Who leads most shards; the first node where nobody tells.
    pub(super) async fn leader(&self) -> usize {
        let mut most = (0, 0);
        for n in 0..self.nodes.len() {
            let leads = self
                .status(n)
                .await
                .and_then(|status| status["leads"].as_u64())
                .unwrap_or(0);
            if leads > most.0 {
                most = (leads, n);
            }
        }
        most.1
    }

    pub(super) async fn act(&self, act: Act, lasts: Duration) -> io::Result<()> {
        match act {
            Act::Link { link, trouble } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.begin(trouble);
                    sleep(lasts).await;
                    proxy.heal(trouble);
                }
            }
            Act::Reset { link } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.reset_next();
                }
            }
            Act::Twice { link } => {
                if let Some(proxy) = self.links.get(&link) {
                    proxy.again().await;
                }
            }
            Act::Kill { node, disk } => return self.kill(node, disk, lasts, false).await,
            Act::Torn { node } => {
                return self
                    .kill(node, Disk::Same, Duration::from_millis(50), true)
                    .await
            }
            Act::Chase { .. } => {}
            Act::Stop { node } => {
                self.signal(node, Signal::STOP);
                sleep(lasts).await;
                self.signal(node, Signal::CONT);
            }
            Act::Roll { node } => return self.roll(node).await,
            Act::FlushFails { node } => return self.ill(node, "flush-fails", lasts).await,
            Act::DiskFull { node } => return self.ill(node, "disk-full", lasts).await,
            Act::DiskSlow { node, by } => {
                return self
                    .ill(node, &format!("disk-slow {}", by.as_millis()), lasts)
                    .await;
            }
            Act::Clock { node, rate, step } => {
                let said = format!("clock {rate} {}", step.as_millis());
                *self.nodes[node].clock.borrow_mut() = Some(said);
                let done = self.kill(node, Disk::Same, Duration::ZERO, false).await;
                sleep(lasts).await;
                self.nodes[node].clock.borrow_mut().take();
                done?;
                return self.kill(node, Disk::Same, Duration::ZERO, false).await;
            }
        }
        Ok(())
    }

    pub(super) fn signal(&self, n: usize, signal: Signal) {
        if let Some(process) = &*self.nodes[n].process.borrow() {
            process.signal(signal);
        }
    }

    pub(super) async fn kill(
        &self,
        n: usize,
        disk: Disk,
        lasts: Duration,
        torn: bool,
    ) -> io::Result<()> {
        let node = &self.nodes[n];
        let process = node.process.borrow_mut().take();
        node.down.set(node.down.get() + 1);
        self.out_of_reach(n);
        if let Some(process) = process {
            self.report.borrow_mut().kills += 1;
            process.kill().await?;
        }
        let folder = node.folder.join("disk");
        match disk {
            Disk::Same => {}
            Disk::Empty => copy(Path::new(""), &folder)?,
            Disk::Old => copy(&node.folder.join("old"), &folder)?,
            Disk::Another { of } => copy(&self.nodes[of].folder.join("old"), &folder)?,
        }
        if torn {
            tear(&folder)?;
        }
        sleep(lasts).await;
        self.up_again(n).await
    }

    /// Starts a node again once nothing keeps it down any more.
    async fn up_again(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        node.down.set(node.down.get() - 1);
        if node.down.get() == 0 && node.process.borrow().is_none() && !self.over.get() {
            node.down.set(1);
            let started = self.start_node(n).await;
            node.down.set(node.down.get() - 1);
            return started;
        }
        Ok(())
    }

    /// Drained, waited for, and started again.
    pub(super) async fn roll(&self, n: usize) -> io::Result<()> {
        let node = &self.nodes[n];
        let Some(mut process) = node.process.borrow_mut().take() else {
            return Ok(());
        };
        node.down.set(node.down.get() + 1);
        process.signal(Signal::TERM);
        let status = process.gone(STOP + COMES_UP).await?;
        if !status.success() {
            self.fell(format!("{} drained with {status}", node.name));
        }
        self.out_of_reach(n);
        self.up_again(n).await
    }

    /// What the node's disk does from now on, by the file that a testing node looks at.
    async fn ill(&self, n: usize, what: &str, lasts: Duration) -> io::Result<()> {
        let file = self.nodes[n].folder.join("testing");
        fs::write(&file, what)?;
        sleep(lasts).await;
        fs::write(&file, "")?;
        // A node whose disk failed stays without a vote until it is started anew.
        if what == "flush-fails" || what == "disk-full" {
            self.tell("disturb", &[n]).await;
            let done = self.kill(n, Disk::Same, Duration::ZERO, false).await;
            sleep(AFTER).await;
            self.tell("calm", &[n]).await;
            return done;
        }
        Ok(())
    }
}

/// Half a record behind the newest segment, as if the crash had come in the middle of a write.
fn tear(folder: &Path) -> io::Result<()> {
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
            .write_all(&[200, 0, 0, 0, 1, 2, 3])?;
    }
    Ok(())
}
