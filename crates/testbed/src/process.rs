//! Child processes: started with their output in a file, signalled, and ended by their own number alone.

use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::process::{Child, Command};
use tokio::time::{sleep, timeout, Instant};

/// For a process to take connections, or to end after it was killed.
pub const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Between two looks at a log.
const POLL_INTERVAL: Duration = Duration::from_millis(3);

/// A program of this repository beside the one that runs, or in the folder named.
///
/// # Errors
/// Where it was looked for.
pub fn program(name: &str, folder: Option<&Path>) -> io::Result<PathBuf> {
    let mut folder = match folder {
        Some(folder) => folder.to_owned(),
        None => std::env::current_exe()?
            .parent()
            .unwrap_or(Path::new("."))
            .to_owned(),
    };
    // Tests lie in a folder below that of the programs.
    if folder.ends_with("deps") {
        folder.pop();
    }
    let found = folder.join(name);
    if found.is_file() {
        return Ok(found);
    }
    let why = format!(
        "{}: not there; `cargo build -p rainstand-node -p rainstand-cli` makes it",
        found.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, why))
}

/// A port that nobody listens on just now.
///
/// # Errors
/// If the system has none.
pub fn free_port() -> io::Result<SocketAddr> {
    StdListener::bind("127.0.0.1:0")?.local_addr()
}

/// How often a node's log says that it started.
pub fn count_starts(log: &Path) -> usize {
    let text = std::fs::read(log).unwrap_or_default();
    text.split(|b| *b == b'\n')
        .filter(|line| line.starts_with(b"start name="))
        .count()
}

/// A child process.
pub struct Process {
    /// What it is called in reports.
    pub name: String,
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts a child whose errors are appended to `log`; it ends with this process.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(name: &str, mut command: Command, log: &Path) -> io::Result<Self> {
        let out = OpenOptions::new().create(true).append(true).open(log)?;
        command
            .stderr(Stdio::from(out.try_clone()?))
            .kill_on_drop(true);
        let child = command.spawn()?;
        let pid = child.id().and_then(|id| Pid::from_raw(id.cast_signed()));
        let pid = pid.ok_or_else(|| io::Error::other("no process number"))?;
        Ok(Self {
            name: name.to_owned(),
            child,
            pid,
        })
    }

    /// Its number in the system.
    pub fn id(&self) -> i32 {
        self.pid.as_raw_nonzero().get()
    }

    /// The child, for its streams and its end.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal; none is needed by a process that has ended.
    pub fn signal(&self, signal: Signal) {
        // Its number is its own until it was waited for.
        let _ = kill_process(self.pid, signal);
    }

    /// Whether it ended by itself, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it, and waits for its end.
    ///
    /// # Errors
    /// If it does not end.
    pub async fn kill(mut self) -> io::Result<ExitStatus> {
        self.signal(Signal::KILL);
        self.wait(START_TIMEOUT).await
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// If it has not come in time.
    pub async fn wait(&mut self, within: Duration) -> io::Result<ExitStatus> {
        let name = self.name.clone();
        match timeout(within, self.child.wait()).await {
            Ok(ended) => ended,
            Err(_) => Err(io::Error::new(
                io::ErrorKind::TimedOut,
                format!("{name}: still there"),
            )),
        }
    }

    /// Waits until its log says that it is up, once more than `before`. A connection to its port would not do: another
    /// process may have taken that meanwhile.
    ///
    /// # Errors
    /// If it ends first, or does not come up in time.
    pub async fn wait_until_up(&mut self, log: &Path, before: usize) -> io::Result<()> {
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            if count_starts(log) > before {
                return Ok(());
            }
            if let Some(status) = self.ended() {
                return Err(io::Error::other(format!(
                    "{}: ended at its start, {status}",
                    self.name
                )));
            }
            if Instant::now() > deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    format!("{}: not up", self.name),
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
