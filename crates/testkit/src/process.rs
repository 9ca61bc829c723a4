//! One program under test.

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

/// Time between looks at whether a process has stopped.
const FREEZE_STEP: std::time::Duration = std::time::Duration::from_millis(1);

/// A running program; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// The line that it printed once it listened.
    line: String,
}

/// Path of a program that cargo built beside the running test.
///
/// # Errors
///
/// If it is not there; names the remedy.
pub fn binary(name: &str) -> anyhow::Result<PathBuf> {
    let test = std::env::current_exe()?;
    let directory = test.parent().and_then(|deps| deps.parent());
    let path = directory.context("no target directory")?.join(name);
    if !path.exists() {
        bail!("{} is missing; run cargo build --workspace", path.display());
    }
    Ok(path)
}

impl Process {
    /// Starts a program and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// If it cannot be started or ends without listening.
    pub fn start(name: &str, args: &[&str]) -> anyhow::Result<Self> {
        Self::start_logging(&binary(name)?, args, Stdio::inherit())
    }

    /// As [`Process::start`], for the program at a path, with standard error going to `log`.
    ///
    /// # Errors
    ///
    /// If it cannot be started or ends without listening.
    pub fn start_logging(program: &Path, args: &[&str], log: Stdio) -> anyhow::Result<Self> {
        let name = program.display();
        let mut child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .with_context(|| format!("{name} cannot be started"))?;
        let stdout = child.stdout.take().context("no standard output")?;
        let mut line = String::new();
        BufReader::new(stdout).read_line(&mut line)?;
        let process = Self { child, line };
        if !process.line.starts_with("listening ") {
            bail!("{name} {args:?} ended without listening");
        }
        Ok(process)
    }

    /// The address that a stand-in printed.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn address(&self) -> anyhow::Result<SocketAddr> {
        let text = self.line.split_whitespace().nth(1);
        Ok(text.context("no address")?.parse()?)
    }

    /// The address that a daemon printed for `plane`.
    ///
    /// # Errors
    ///
    /// If there is none.
    pub fn plane(&self, plane: &str) -> anyhow::Result<SocketAddr> {
        let mut words = self.line.split_whitespace();
        let text = words.find_map(|word| word.strip_prefix(plane)?.strip_prefix('='));
        let text = text.with_context(|| format!("no plane {plane} in {:?}", self.line))?;
        Ok(text.parse()?)
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }

    /// Begins a planned stop.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn terminate(&self) -> anyhow::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Stops the process in its tracks; each of its threads has stopped when this returns.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::STOP)?;
        // The signal is delivered thread by thread, after the call has returned.
        while !self.is_frozen()? {
            std::thread::sleep(FREEZE_STEP);
        }
        Ok(())
    }

    fn is_frozen(&self) -> anyhow::Result<bool> {
        for task in std::fs::read_dir(format!("/proc/{}/task", self.id()))? {
            // A thread that has ended since runs nothing.
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

    /// Lets a frozen process go on.
    ///
    /// # Errors
    ///
    /// If the process is gone.
    pub fn thaw(&self) -> anyhow::Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// How the process ended, if it has.
    ///
    /// # Errors
    ///
    /// If the system does not tell.
    pub fn status(&mut self) -> anyhow::Result<Option<ExitStatus>> {
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
