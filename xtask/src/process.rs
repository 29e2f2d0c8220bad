//! Processes that a chore starts and always stops.

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

/// Every process that was started and not yet waited for, so that Ctrl-C stops them too.
static STARTED: Mutex<Vec<Pid>> = Mutex::new(Vec::new());

/// How often a process that should end is looked at.
const POLL: Duration = Duration::from_millis(20);
/// The exit code after Ctrl-C, as shells give it.
const INTERRUPTED: i32 = 130;

/// Stops every started process when the chore itself is interrupted or terminated.
pub(crate) fn stop_all_on_interrupt() -> io::Result<()> {
    let mut signals = Signals::new([ReceivedSignal::Int, ReceivedSignal::Term])?;
    thread::spawn(move || {
        futures_lite::future::block_on(signals.next());
        let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
        for pid in started {
            let _ = kill_process(pid, Signal::KILL);
        }
        std::process::exit(INTERRUPTED);
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
    /// Starts `program`. Standard output is read by the caller, and standard error goes to the file `log`.
    pub(crate) fn start(name: &str, program: &Path, args: &[String], log: &Path) -> io::Result<Self> {
        // A process group of its own keeps Ctrl-C of the terminal from reaching it before this chore.
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(File::options().create(true).append(true).open(log)?)
            .process_group(0)
            .spawn()?;
        let pid = Pid::from_child(&child);
        if let Ok(mut started) = STARTED.lock() {
            started.push(pid);
        }
        Ok(Self { name: name.to_owned(), child, pid })
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns standard output, once.
    pub(crate) fn stdout(&mut self) -> Option<BufReader<ChildStdout>> {
        self.child.stdout.take().map(BufReader::new)
    }

    /// Sends standard output to the file `log` from now on, so that a full pipe never stops the process.
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

    /// Kills the process and waits for its end.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        self.forget();
    }

    /// Waits until the process ends, or returns `None` after `limit`.
    pub(crate) fn wait(&mut self, limit: Duration) -> io::Result<Option<ExitStatus>> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait()? {
                self.forget();
                return Ok(Some(status));
            }
            if Instant::now() >= deadline {
                return Ok(None);
            }
            thread::sleep(POLL);
        }
    }

    /// Removes the process from the list, because its number may be given to another process.
    fn forget(&self) {
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|pid| *pid != self.pid);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
