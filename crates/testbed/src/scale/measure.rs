//! Child processes with measured processor time and memory. Waits are bounded, and each child is killed by its PID.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout for expected output of a process, and for its end.
pub const OUTPUT_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between polls of a process.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Unit of processor time in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Bytes of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// A child process whose time and memory are measured; it is killed when this value is dropped.
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
    /// Starts a child; all its output goes to `log`, which is truncated first.
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
            .ok_or_else(|| io::Error::other("no process ID"))?;
        Ok(Self {
            child,
            pid,
            log: log.to_owned(),
        })
    }

    /// Its output so far.
    pub fn output(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }

    /// Waits until `text` occurs in its output at least `times` times.
    ///
    /// # Errors
    /// If the process ended first, with its last line of output, or if it took too long.
    pub fn wait_for_output(&mut self, text: &str, times: usize) -> io::Result<()> {
        let deadline = Instant::now() + OUTPUT_TIMEOUT;
        loop {
            if self.output().matches(text).count() >= times {
                return Ok(());
            }
            if let Some(status) = self.child.try_wait()? {
                let output = self.output();
                let last = output.lines().last().unwrap_or("no output").to_owned();
                return Err(io::Error::new(
                    io::ErrorKind::BrokenPipe,
                    format!("the process ended, {status}: {last}"),
                ));
            }
            if Instant::now() > deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("`{text}` was not written in time"),
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        // The PID is not reused before the process has been waited for.
        let _ = kill_process(self.pid, signal);
    }

    fn read_proc(&self, file: &str) -> io::Result<String> {
        fs::read_to_string(format!("/proc/{}/{file}", self.child.id()))
    }

    /// Processor time so far of live threads, in nanosecond resolution if the system supports it.
    ///
    /// # Errors
    /// If the process does not exist.
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
        self.cpu_of_all_threads()
    }

    /// Processor time of all threads including ended ones, in units of 10 ms. Also works for a process that has ended
    /// but has not been waited for.
    ///
    /// # Errors
    /// If the process does not exist.
    pub fn cpu_of_all_threads(&self) -> io::Result<Duration> {
        let stat = self.read_proc("stat")?;
        // The process name may contain any character, so fields are counted from its end.
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

    /// Resident memory, in bytes.
    ///
    /// # Errors
    /// If the process does not exist.
    pub fn rss(&self) -> io::Result<f64> {
        let pages = self
            .read_proc("statm")?
            .split(' ')
            .nth(1)
            .and_then(|n| n.parse::<u64>().ok())
            .unwrap_or(0);
        Ok((pages * PAGE_BYTES) as f64)
    }

    /// Anonymous memory in bytes: what each additional process of the same program takes.
    ///
    /// # Errors
    /// If the process does not exist.
    pub fn private_memory(&self) -> io::Result<f64> {
        Ok(kilobytes(&self.read_proc("smaps_rollup")?, "Pss_Anon:"))
    }

    /// Number of open descriptors.
    ///
    /// # Errors
    /// If the process does not exist.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Waits for the process to exit, and returns its resource usage.
    ///
    /// # Errors
    /// If it fails or takes too long.
    pub fn wait_for_end(mut self) -> io::Result<Usage> {
        let deadline = Instant::now() + OUTPUT_TIMEOUT;
        let mut usage = Usage::default();
        loop {
            // Until it is waited for, an ended process keeps its times but not its memory.
            usage.cpu = usage
                .cpu
                .max(self.cpu().unwrap_or_default())
                .max(self.cpu_of_all_threads().unwrap_or_default());
            let status = self.read_proc("status").unwrap_or_default();
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
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "the process did not end in time",
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Converts a value in a `/proc` file from kilobytes to bytes.
fn kilobytes(text: &str, key: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 1_024.0
}

/// Resources that a process used until it exited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Processor time.
    pub cpu: Duration,
    /// Peak resident memory, in bytes.
    pub peak_memory: f64,
}

/// Processor time of this thread.
pub fn own_cpu() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
