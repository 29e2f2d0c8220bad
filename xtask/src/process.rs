//! Child processes that are killed when the task ends or is interrupted.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    os::unix::process::CommandExt,
    path::Path,
    process::{Child, ChildStdout, Command, ExitStatus, Stdio},
    sync::Mutex,
    thread,
    time::{Duration, Instant},
};

use async_signal::{Signal as ReceivedSignal, Signals};
use futures_lite::StreamExt;
use rustix::process::{Pid, Signal, kill_process};

/// Every child process that was started and not yet waited for. An interrupt kills them all.
static CHILDREN: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// The interval at which [`Process::wait`] checks whether the process has exited.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The exit code after Ctrl-C, the same that shells report.
const INTERRUPTED_EXIT_CODE: i32 = 130;

/// Kills every child process when this process is interrupted or terminated.
pub(crate) fn kill_children_on_interrupt() -> io::Result<()> {
    let mut signals = Signals::new([ReceivedSignal::Int, ReceivedSignal::Term])?;
    thread::spawn(move || {
        futures_lite::future::block_on(signals.next());
        let children = CHILDREN.lock().map(|children| children.clone()).unwrap_or_default();
        for pid in children {
            let _ = kill_process(pid, Signal::KILL);
        }
        std::process::exit(INTERRUPTED_EXIT_CODE);
    });
    Ok(())
}

/// A process that is killed when it is dropped.
pub(crate) struct Process {
    name: String,
    child: Child,
    pid: Pid,
}

impl Process {
    /// Starts `program`. Standard output is a pipe for the caller, and standard error is appended to the file `log`.
    pub(crate) fn start(name: &str, program: &Path, args: &[String], log: &Path) -> io::Result<Self> {
        // In a process group of its own, the child does not receive Ctrl-C from the terminal before this process does.
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .process_group(0)
            .spawn()?;
        let pid = Pid::from_child(&child);
        if let Ok(mut children) = CHILDREN.lock() {
            children.push(pid);
        }
        Ok(Self { name: name.to_owned(), child, pid })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Takes the pipe of standard output. Returns `None` if it was already taken.
    pub(crate) fn stdout(&mut self) -> Option<BufReader<ChildStdout>> {
        self.child.stdout.take().map(BufReader::new)
    }

    /// Copies standard output to the file `log` from now on, so that the process never blocks on a full pipe.
    pub(crate) fn log_stdout(&mut self, log: &Path) -> io::Result<()> {
        let Some(mut stdout) = self.stdout() else {
            return Ok(());
        };
        let mut file = File::options().create(true).append(true).open(log)?;
        thread::spawn(move || io::copy(&mut stdout, &mut file));
        Ok(())
    }

    /// Reads the first line of standard output.
    pub(crate) fn first_line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if let Some(mut stdout) = self.stdout() {
            stdout.read_line(&mut line)?;
        }
        Ok(line)
    }

    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        Ok(kill_process(self.pid, signal)?)
    }

    /// Kills the process and waits until it has exited.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.unregister();
    }

    /// Waits until the process exits. Returns `None` after `timeout`.
    pub(crate) fn wait(&mut self, timeout: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait()? {
                self.unregister();
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Removes the process from [`CHILDREN`], because its process id may be reused.
    fn unregister(&self) {
        if let Ok(mut children) = CHILDREN.lock() {
            children.retain(|pid| *pid != self.pid);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
