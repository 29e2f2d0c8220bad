//! The resource usage of processes and of the machine, as the kernel reports it.

use std::{fs, io, time::Duration};

/// Clock ticks per second in `/proc/PID/stat`. The kernel uses this unit there on every architecture.
const USER_HZ: u64 = 100;

/// Returns the processor time that process `pid` has used.
pub(crate) fn cpu_time(pid: u32) -> io::Result<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name in parentheses may contain spaces, so fields are counted from its end.
    let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: Vec<u64> = fields.split_whitespace().skip(11).take(2).flat_map(str::parse).collect();
    let [user, system] = ticks[..] else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    Ok(Duration::from_millis((user + system) * 1000 / USER_HZ))
}

/// Returns the resident memory of process `pid` in kilobytes.
pub(crate) fn resident_kb(pid: u32) -> io::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok())
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// Returns the load average of the machine over the last minute. Latencies that are measured while it is above the
/// number of cores are not meaningful.
pub(crate) fn load_average() -> io::Result<f64> {
    let text = fs::read_to_string("/proc/loadavg")?;
    text.split_whitespace()
        .next()
        .and_then(|mean| mean.parse().ok())
        .ok_or_else(|| io::ErrorKind::InvalidData.into())
}
