//! The project's programs as processes, signals to them, free addresses, a folder for files, and resets.

use crate::tools::unix_ms;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

extern "C" {
    pub fn kill(pid: i32, signal: i32) -> i32;
    pub fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    pub fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
pub const PR_SET_PDEATHSIG: i32 = 1;

pub const SOL_SOCKET: i32 = 1;
pub const SO_LINGER: i32 = 13;

/// Resets a connection: closes it without delivering what is under way.
pub fn reset(stream: &TcpStream) {
    let linger = [1i32, 0];
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr(),
            8,
        );
    }
}

/// A started program; killed when dropped.
pub struct Program {
    pub child: Child,
}

impl Program {
    /// Starts a command line as the deploy file's are started: by `/bin/sh -c` from the root.
    pub fn start(command: &str, env: &[(&str, &str)], log: &Path) -> io::Result<Self> {
        let log = File::create(log)?;
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(command)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        for (name, value) in env {
            shell.env(name, value);
        }
        // The program ends with this one, also if this one is killed.
        unsafe {
            shell.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        Ok(Self {
            child: shell.spawn()?,
        })
    }

    pub fn signal(&self, signal: i32) {
        unsafe {
            kill(self.child.id() as i32, signal);
        }
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
    }
}

/// The value of a key of the deploy file.
pub fn deploy_command(key: &str) -> Option<String> {
    let text = std::fs::read_to_string("deploy/balancer.toml").ok()?;
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with(&format!("{key} =")))?;
    Some(line.split_once('=')?.1.trim().trim_matches('"').to_owned())
}

pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A folder for a case's files, removed at its end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        std::fs::create_dir_all(&folder)?;
        Ok(Self(folder))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
