//! Work that ends when its caller leaves or its time is up.

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::sleep_until;
use futures_lite::{FutureExt, future};

use crate::http::BufferedSocket;

/// Bytes that a caller may send ahead while its request is served.
const MAX_AHEAD_BYTES: usize = 64 * 1024;

/// Why work was broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Interrupt {
    /// The caller closed its connection.
    CallerGone,
    /// The deadline passed.
    DeadlinePassed,
}

/// Runs `work` until it ends, the caller on `socket` leaves, or `deadline` passes.
pub(crate) async fn until_interrupted<T>(
    socket: &mut BufferedSocket,
    deadline: Timestamp,
    work: impl Future<Output = T>,
) -> Result<T, Interrupt> {
    let work = async { Ok(work.await) };
    let gone = async {
        wait_until_gone(socket).await;
        Err(Interrupt::CallerGone)
    };
    let late = async {
        sleep_until(deadline).await;
        Err(Interrupt::DeadlinePassed)
    };
    work.or(gone).or(late).await
}

async fn wait_until_gone(socket: &mut BufferedSocket) {
    loop {
        if socket.buffered().len() > MAX_AHEAD_BYTES {
            return future::pending().await;
        }
        // Waiting for readiness first spares a system call each time that the work makes progress.
        if socket.readable().await.is_err() {
            return;
        }
        match socket.fill().await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}
