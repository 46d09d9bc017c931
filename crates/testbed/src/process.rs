//! Child processes: started with their output in a file, signalled and killed only by their own process ID.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// Time limit for a process to accept connections, or to exit after it is killed.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two reads of a log.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// Path of a program of this repository, in `folder` or in the folder of the current executable.
///
/// # Errors
/// If the program is not there; the error names the path.
pub fn program(name: &str, folder: Option<&Path>) -> io::Result<PathBuf> {
    let mut folder = match folder {
        Some(folder) => folder.to_owned(),
        None => std::env::current_exe()?
            .parent()
            .unwrap_or(Path::new("."))
            .to_owned(),
    };
    // Test executables are in a subfolder of the programs' folder.
    if folder.ends_with("deps") {
        folder.pop();
    }
    let path = folder.join(name);
    if path.is_file() {
        return Ok(path);
    }
    let reason = format!(
        "{}: not found; build it with `cargo build -p rainstand-node -p rainstand-cli`",
        path.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, reason))
}

/// Address with a port on which no process currently listens.
///
/// # Errors
/// If the system has no free port.
pub fn free_port() -> io::Result<SocketAddr> {
    StdListener::bind("127.0.0.1:0")?.local_addr()
}

/// Number of start lines in a node's log.
pub fn count_starts(log: &Path) -> usize {
    let text = std::fs::read(log).unwrap_or_default();
    text.split(|b| *b == b'\n')
        .filter(|line| line.starts_with(b"start name="))
        .count()
}

/// A child process.
pub struct Process {
    /// Name in reports.
    pub name: String,
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts a child whose standard error is appended to `log`. It is killed when this value is dropped.
    ///
    /// # Errors
    /// If the process cannot be started.
    pub fn start(name: &str, mut command: Command, log: &Path) -> io::Result<Self> {
        let log_file = OpenOptions::new().create(true).append(true).open(log)?;
        command
            .stderr(Stdio::from(log_file.try_clone()?))
            .kill_on_drop(true);
        let child = command.spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.ok_or_else(|| io::Error::other("the child process has no process ID"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            pid,
        })
    }

    /// Process ID.
    pub fn id(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// The child process, for access to its streams and exit status.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal; does nothing if the process has ended.
    pub fn signal(&self, signal: Signal) {
        // The system does not reuse the process ID before the child is waited for.
        let _ = kill_process(self.pid, signal);
    }

    /// Exit status, if the process has ended by itself.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits until it exits.
    ///
    /// # Errors
    /// If it does not exit.
    pub async fn kill(mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::KILL);
        self.wait(START_TIMEOUT).await
    }

    /// Waits until the process exits.
    ///
    /// # Errors
    /// If it does not exit in time.
    pub async fn wait(&mut self, time_limit: Duration) -> io::Result<ExitStatus> {
        let name = self.name.clone();
        match timeout(time_limit, self.child.wait()).await {
            Ok(ended) => ended,
            Err(_) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                format!("{name}: process did not exit in time"),
            )),
        }
    }

    /// Waits until the log has more than `starts_before` start lines. Connecting to the port is not sufficient: another
    /// process may have taken the port in the meantime.
    ///
    /// # Errors
    /// If the process exits first, or does not start in time.
    pub async fn wait_until_up(&mut self, log: &Path, starts_before: usize) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if count_starts(log) > starts_before {
                return Ok(());
            }
            if let Some(status) = self.ended() {
                return Err(io::Error::other(format!(
                    "{}: exited during startup, {status}",
                    self.name
                )));
            }
            if Instant::now() > deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("{}: did not start in time", self.name),
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
