//! A program under test, run as a child process.

use std::{
    io::{
        BufRead,
        BufReader, //
    },
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        Command,
        ExitStatus,
        Stdio, //
    }, //
};

use anyhow::{
    Context,
    bail, //
};
use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};

/// Interval between checks whether all threads have stopped.
const FREEZE_POLL_INTERVAL: std::time::Duration = std::time::Duration::from_millis(1);

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// First line of standard output, with the addresses that the program listens at.
    listen_line: String,
}

/// Path of a program in the target directory of the running test.
///
/// # Errors
///
/// If it is missing; the error names the command that builds it.
pub fn binary(name: &str) -> anyhow::Result<PathBuf> {
    let test_path = std::env::current_exe()?;
    let directory = test_path.parent().and_then(|deps| deps.parent());
    let path = directory
        .context("test is not in a target directory")?
        .join(name);
    if !path.exists() {
        bail!("{} is missing; run cargo build --workspace", path.display());
    }
    Ok(path)
}

impl Process {
    /// Starts a program and waits until it prints the addresses that it listens at.
    ///
    /// # Errors
    ///
    /// If it cannot be started or ends before it listens.
    pub fn start(name: &str, args: &[&str]) -> anyhow::Result<Self> {
        Self::start_program(&binary(name)?, args, Stdio::inherit())
    }

    /// Starts the program at a path as [`Process::start`] does, with standard error sent to `log`.
    ///
    /// # Errors
    ///
    /// If it cannot be started or ends before it listens.
    pub fn start_program(program: &Path, args: &[&str], log: Stdio) -> anyhow::Result<Self> {
        let name = program.display();
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{name}: cannot be started"))?;
        let stdout = child
            .stdout
            .take()
            .context("standard output is not piped")?;
        let mut listen_line = String::new();
        BufReader::new(stdout).read_line(&mut listen_line)?;
        let process = Self { child, listen_line };
        if !process.listen_line.starts_with("listening ") {
            bail!("{name} {args:?}: ended before it listened");
        }
        Ok(process)
    }

    /// The address that a stand-in listens at.
    ///
    /// # Errors
    ///
    /// If the stand-in printed none.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        let text = self.listen_line.split_whitespace().nth(1);
        Ok(text
            .context("no address in the first line of output")?
            .parse()?)
    }

    /// The address that a daemon printed for `plane`, such as `caller`, `operator` or `peer`.
    ///
    /// # Errors
    ///
    /// If the daemon printed none.
    pub fn plane_address(&self, plane: &str) -> anyhow::Result<SocketAddr> {
        let mut words = self.listen_line.split_whitespace();
        let text = words.find_map(|word| word.strip_prefix(plane)?.strip_prefix('='));
        let text =
            text.with_context(|| format!("no address of plane {plane} in {:?}", self.listen_line))?;
        Ok(text.parse()?)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Sends `SIGTERM`, which starts a planned stop.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process with `SIGSTOP`; all of its threads have stopped when this returns.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)?;
        // The threads stop one by one, after `kill` has returned.
        while !self.is_frozen()? {
            std::thread::sleep(FREEZE_POLL_INTERVAL);
        }
        Ok(())
    }

    fn is_frozen(&self) -> anyhow::Result<bool> {
        for task in std::fs::read_dir(format!("/proc/{}/task", self.id()))? {
            // The thread ended after the directory was read.
            let Ok(stat) = std::fs::read_to_string(task?.path().join("stat")) else {
                continue;
            };
            let state = stat.rsplit_once(") ").map(|(_, rest)| rest.chars().next());
            if state != Some(Some('T')) {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Resumes a suspended process with `SIGCONT`.
    ///
    /// # Errors
    ///
    /// If the process no longer exists.
    pub fn thaw(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Exit status of the process, or `None` while it runs.
    ///
    /// # Errors
    ///
    /// If the system call fails.
    pub fn exit_status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
