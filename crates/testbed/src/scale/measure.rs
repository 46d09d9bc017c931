//! Child processes whose time and memory are counted. Each is bounded, and ended by its own number.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// For a process to write what it is waited for.
pub const OUTPUT_TIMEOUT: Duration = Duration::from_secs(30);
/// Between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The system's unit in `stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// A page of memory.
const PAGE_BYTES: u64 = 4_096;

/// A child whose time and memory are read; it ends with this process.
pub struct MeasuredProcess {
    child: Child,
    pid: Pid,
    log: PathBuf,
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl MeasuredProcess {
    /// Starts a child; all its output goes to `log`, which begins empty.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(mut command: Command, log: &Path) -> io::Result<Self> {
        let out = OpenOptions::new()
            .create(true)
            .write(true)
            .truncate(true)
            .open(log)?;
        command
            .stdin(Stdio::null())
            .stdout(out.try_clone()?)
            .stderr(out);
        let child = command.spawn()?;
        let pid = Pid::from_raw(child.id().cast_signed())
            .ok_or_else(|| io::Error::other("no process number"))?;
        Ok(Self {
            child,
            pid,
            log: log.to_owned(),
        })
    }

    /// What it has written so far.
    pub fn output(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }

    /// Waits until it has written `word` so many times.
    ///
    /// # Errors
    /// With what it wrote last, if it ended or took too long.
    pub fn wait_for_output(&mut self, word: &str, times: usize) -> io::Result<()> {
        let until = Instant::now() + OUTPUT_TIMEOUT;
        loop {
            if self.output().matches(word).count() >= times {
                return Ok(());
            }
            if let Some(status) = self.child.try_wait()? {
                let said = self.output();
                let last = said.lines().last().unwrap_or("nothing was said").to_owned();
                return Err(io::Error::new(
                    io::ErrorKind::BrokenPipe,
                    format!("ended, {status}: {last}"),
                ));
            }
            if Instant::now() > until {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("`{word}` was not said"),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal; none is needed by a process that has ended.
    pub fn signal(&self, signal: Signal) {
        // Its number is its own until it was waited for.
        let _ = kill_process(self.pid, signal);
    }

    fn proc(&self, file: &str) -> io::Result<String> {
        fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
    }

    /// Processor time so far, of threads that live: to the nanosecond where the system counts so.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn cpu(&self) -> io::Result<Duration> {
        let mut sum = 0;
        let mut counted = false;
        for thread in fs::read_dir(format!("/proc/{}/task", self.child.id()))?.flatten() {
            let text = fs::read_to_string(thread.path().join("schedstat")).unwrap_or_default();
            if let Some(ns) = text.split(' ').next().and_then(|ns| ns.parse::<u64>().ok()) {
                (sum, counted) = (sum + ns, true);
            }
        }
        if counted && sum > 0 {
            return Ok(Duration::from_nanos(sum));
        }
        self.ticks()
    }

    /// Processor time of all threads, also those that ended, to 10 ms; also of a process that ended and was not waited
    /// for.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn ticks(&self) -> io::Result<Duration> {
        let stat = self.proc("stat")?;
        // The name may hold anything; fields count from its end.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        let ticks = [11, 12]
            .iter()
            .filter_map(|k| fields.get(*k)?.parse::<u32>().ok())
            .sum::<u32>();
        Ok(CLOCK_TICK * ticks)
    }

    /// Bytes in memory.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn rss(&self) -> io::Result<f64> {
        let pages = self
            .proc("statm")?
            .split(' ')
            .nth(1)
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0);
        Ok((pages * PAGE_BYTES) as f64)
    }

    /// Bytes of memory that are of no file: what a further process of the same program would take again.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn private_memory(&self) -> io::Result<f64> {
        Ok(kilobytes(&self.proc("smaps_rollup")?, "Pss_Anon:"))
    }

    /// Open descriptors.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Waits for its end; what it used until then.
    ///
    /// # Errors
    /// If it does not end well, or takes too long.
    pub fn wait_for_end(mut self) -> io::Result<Usage> {
        let deadline = Instant::now() + OUTPUT_TIMEOUT;
        let mut usage = Usage::default();
        loop {
            // A process that has ended keeps its times until it was waited for, but no memory.
            usage.cpu = usage
                .cpu
                .max(self.cpu().unwrap_or_default())
                .max(self.ticks().unwrap_or_default());
            let status = self.proc("status").unwrap_or_default();
            usage.peak_memory = usage.peak_memory.max(kilobytes(&status, "VmHWM:"));
            if let Some(status) = self.child.try_wait()? {
                return if status.success() {
                    Ok(usage)
                } else {
                    Err(io::Error::other(format!(
                        "{status}: {:.300}",
                        self.output()
                    )))
                };
            }
            if Instant::now() > deadline {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "did not end"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// A figure of a file of `/proc` that is in kilobytes, in bytes.
fn kilobytes(text: &str, key: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 1_024.0
}

/// What a process used until its end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Its processor time.
    pub cpu: Duration,
    /// The most memory that was seen, in bytes.
    pub peak_memory: f64,
}

/// Processor time of this thread.
pub fn own_cpu() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
