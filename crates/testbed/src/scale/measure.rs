//! Child processes whose time and memory are counted. Each is bounded, and ended by its own number.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// For a process to say what it is waited for.
pub const SAYS: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(2);
/// The system's unit in `stat`.
const TICK: Duration = Duration::from_millis(10);
const PAGE: u64 = 4_096;

/// A child; its end is this one's end.
pub struct Counted {
    child: Child,
    pid: Pid,
    log: PathBuf,
}

impl Drop for Counted {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Counted {
    /// All it says goes to `log`, which begins empty.
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

    pub fn said(&self) -> String {
        String::from_utf8_lossy(&fs::read(&self.log).unwrap_or_default()).into_owned()
    }

    /// Waits until lines with `word` were said `times` times.
    ///
    /// # Errors
    /// With what it said, if it ended or took too long.
    pub fn says(&mut self, word: &str, times: usize) -> io::Result<()> {
        let until = Instant::now() + SAYS;
        loop {
            if self.said().matches(word).count() >= times {
                return Ok(());
            }
            if let Some(status) = self.child.try_wait()? {
                let said = self.said();
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
            std::thread::sleep(LOOK);
        }
    }

    pub fn signal(&self, signal: Signal) {
        // Whoever is gone needs no signal; its number is its own until it was waited for.
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

    /// Of all threads, also those that ended, to 10 ms; also of a process that ended and was not waited for.
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
        Ok(TICK * ticks)
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
        Ok((pages * PAGE) as f64)
    }

    /// Bytes of memory that are of no file: what a further process of the same program would take again.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn own(&self) -> io::Result<f64> {
        Ok(kb(&self.proc("smaps_rollup")?, "Pss_Anon:"))
    }

    /// Open descriptors.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }

    /// Waits for its end: its processor time and the most memory that was seen.
    ///
    /// # Errors
    /// If it does not end well, or takes too long.
    pub fn ends(mut self) -> io::Result<(Duration, f64)> {
        let until = Instant::now() + SAYS;
        let (mut cpu, mut most) = (Duration::ZERO, 0f64);
        loop {
            // A process that has ended keeps its times until it was waited for, but no memory.
            cpu = cpu
                .max(self.cpu().unwrap_or_default())
                .max(self.ticks().unwrap_or_default());
            most = most.max(kb(&self.proc("status").unwrap_or_default(), "VmHWM:"));
            if let Some(status) = self.child.try_wait()? {
                return if status.success() {
                    Ok((cpu, most))
                } else {
                    Err(io::Error::other(format!("{status}: {:.300}", self.said())))
                };
            }
            if Instant::now() > until {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "did not end"));
            }
            std::thread::sleep(LOOK);
        }
    }
}

fn kb(text: &str, key: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 1_024.0
}

/// Processor time of this thread.
pub fn own_cpu() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
