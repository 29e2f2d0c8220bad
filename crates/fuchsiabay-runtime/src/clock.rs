//! The clocks and the executor of the daemons.

use std::{
    future::Future,
    sync::LazyLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use async_global_executor::Task;
use fuchsiabay_base::Timestamp;

/// The epoch of the monotonic clock lies one hour before the first use, so that subtracting a span from an early
/// timestamp does not saturate.
static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);
const EPOCH_OFFSET_MS: u64 = 3_600_000;

/// Returns the monotonic time, which no adjustment of the wall clock moves. Deadlines inside a process use it.
pub fn monotonic_now() -> Timestamp {
    Timestamp::from_millis(EPOCH_OFFSET_MS + EPOCH.elapsed().as_millis() as u64)
}

/// Returns the wall-clock time on the Unix epoch, for what leaves the process.
pub fn unix_now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_millis(since_epoch.as_millis() as u64)
}

/// Waits until the monotonic clock reaches `deadline`.
pub async fn sleep_until(deadline: Timestamp) {
    let remaining = deadline.millis_since(monotonic_now());
    smol::Timer::after(Duration::from_millis(remaining)).await;
}

/// Starts a task on the multi-threaded executor that trillium uses too, so that each process has only one.
///
/// Dropping the returned task cancels it; `detach` lets it run.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    async_global_executor::spawn(future)
}
