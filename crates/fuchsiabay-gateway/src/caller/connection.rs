//! One caller connection. Its requests are served one at a time.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::{FutureExt, future};
use smol::net::TcpStream;

use super::LocalResponse;
use crate::{
    gateway::Gateway,
    http::{BufferedSocket, HeadError, RequestHead},
    request,
};

/// Why no request head was read.
enum ReadHeadError {
    /// The connection was closed or lost, was idle for too long, or is closed by the drain.
    Closed,
    /// The head is invalid, too large or incomplete.
    Rejected(LocalResponse),
}

/// Serves the requests of one connection until it ends.
pub(crate) async fn run(gateway: &Arc<Gateway>, stream: TcpStream) {
    let mut socket = BufferedSocket::new(stream);
    // A connection that opens during the drain may still send its first request, which is served or refused like any
    // other.
    let mut close_on_drain = !gateway.is_draining();
    loop {
        match read_head(gateway, &mut socket, close_on_drain).await {
            Ok(head) => {
                if !request::serve(gateway, &mut socket, &head).await {
                    break;
                }
                socket.release_buffer();
                close_on_drain = true;
            }
            Err(ReadHeadError::Closed) => break,
            Err(ReadHeadError::Rejected(response)) => {
                reject(&mut socket, response).await;
                break;
            }
        }
    }
    socket.close().await;
}

async fn reject(socket: &mut BufferedSocket, response: LocalResponse) {
    metrics::counter!("fuchsiabay_rejected_heads_total", "reason" => response.reason).increment(1);
    log::info!(status = response.status, reason = response.reason; "caller: head rejected");
    if let Err(error) = socket.write_all(&response.encode(None, false, false)).await {
        log::debug!("caller: cannot write rejection: {error}");
    }
}

async fn read_head(
    gateway: &Gateway,
    socket: &mut BufferedSocket,
    close_on_drain: bool,
) -> Result<RequestHead, ReadHeadError> {
    let limits = gateway.limits();
    if socket.buffered().is_empty() {
        let idle_until = monotonic_now().plus_millis(limits.idle_timeout_ms);
        // Closing an idle connection makes its caller use another instance. A request that is in flight at this
        // moment may be repeated safely, because none of it was read.
        let drain = async {
            if !close_on_drain {
                return future::pending().await;
            }
            gateway.drain().started().await;
            Err(FillError::Closed)
        };
        fill(socket, idle_until).or(drain).await.map_err(|_| ReadHeadError::Closed)?;
    }
    let deadline = monotonic_now().plus_millis(limits.head_timeout_ms);
    loop {
        let parsed = RequestHead::parse(socket.buffered()).map_err(rejection)?;
        match parsed {
            Some((_, len)) if len > limits.max_head_bytes => return Err(head_too_large()),
            Some((head, len)) => {
                socket.consume(len);
                return Ok(head);
            }
            None if socket.buffered().len() > limits.max_head_bytes => return Err(head_too_large()),
            None => fill(socket, deadline).await.map_err(|reason| match reason {
                FillError::Closed => ReadHeadError::Closed,
                FillError::TimedOut => ReadHeadError::Rejected(LocalResponse::rejected(408, "slow_head")),
            })?,
        }
    }
}

enum FillError {
    Closed,
    TimedOut,
}

async fn fill(socket: &mut BufferedSocket, deadline: Timestamp) -> Result<(), FillError> {
    let read = async {
        match socket.fill().await {
            Ok(0) | Err(_) => Err(FillError::Closed),
            Ok(_) => Ok(()),
        }
    };
    let timeout = async {
        sleep_until(deadline).await;
        Err(FillError::TimedOut)
    };
    read.or(timeout).await
}

fn head_too_large() -> ReadHeadError {
    ReadHeadError::Rejected(LocalResponse::rejected(431, "head_too_large"))
}

fn rejection(error: HeadError) -> ReadHeadError {
    let reason = match error {
        HeadError::Malformed => "malformed_head",
        HeadError::TooLarge => return head_too_large(),
        HeadError::AmbiguousLength => "ambiguous_length",
        HeadError::UnknownCoding => "unknown_coding",
    };
    ReadHeadError::Rejected(LocalResponse::rejected(400, reason))
}
