//! The clocks and the executor of the daemons.

use std::{
    future::Future,
    sync::LazyLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_global_executor::Task;
use fuchsiabay_base::Timestamp;

/// The time of the first use of the monotonic clock.
static FIRST_USE: LazyLock<Instant> = LazyLock::new(Instant::now);

/// The reading of the monotonic clock at its first use, in milliseconds. It is one hour, so that subtracting a duration
/// from an early timestamp does not saturate.
const FIRST_READING_MS: u64 = 3_600_000;

/// Returns the monotonic time, which adjustments of the wall clock do not affect. Deadlines within a process use it.
pub fn monotonic_now() -> Timestamp {
    Timestamp::from_millis(FIRST_READING_MS + FIRST_USE.elapsed().as_millis() as u64)
}

/// Returns the wall-clock time since the Unix epoch, for timestamps that leave the process.
pub fn unix_now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_millis(since_epoch.as_millis() as u64)
}

/// Waits until the monotonic clock reaches `deadline`.
pub async fn sleep_until(deadline: Timestamp) {
    let remaining = deadline.millis_since(monotonic_now());
    smol::Timer::after(Duration::from_millis(remaining)).await;
}

/// Spawns a task on the global multi-threaded executor, which trillium also uses, so that each process has only one.
///
/// Dropping the returned task cancels it; `detach` lets it run to completion.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    async_global_executor::spawn(future)
}
