//! Cancels work when its caller disconnects or its deadline passes.

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::sleep_until;
use futures_lite::{FutureExt, future};

use crate::http::BufferedSocket;

/// The limit on bytes that are buffered from a caller while its request is served. Above it, a disconnect is no longer
/// detected.
const MAX_PIPELINED_BYTES: usize = 64 * 1024;

/// Why work was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
    /// This instance stops.
    Stopping,
}

/// Runs `work` until it completes, the caller on `socket` disconnects, or `deadline` passes.
pub(crate) async fn until_interrupted<T>(
    socket: &mut BufferedSocket,
    deadline: Timestamp,
    work: impl Future<Output = T>,
) -> Result<T, Interrupt> {
    let work = async { Ok(work.await) };
    let caller_gone = async {
        wait_until_caller_gone(socket).await;
        Err(Interrupt::CallerGone)
    };
    let timeout = async {
        sleep_until(deadline).await;
        Err(Interrupt::DeadlinePassed)
    };
    work.or(caller_gone).or(timeout).await
}

async fn wait_until_caller_gone(socket: &mut BufferedSocket) {
    loop {
        if socket.buffered().len() > MAX_PIPELINED_BYTES {
            return future::pending().await;
        }
        // Waiting for readiness first saves a `read` system call each time that the work makes progress.
        if socket.readable().await.is_err() {
            return;
        }
        match socket.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
