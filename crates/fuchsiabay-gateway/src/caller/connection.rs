//! One connection of a caller: reads requests one after the other.

use std::sync::Arc;

use fuchsiabay_base::Timestamp;
use fuchsiabay_runtime::{monotonic_now, sleep_until};
use futures_lite::{FutureExt, future};
use smol::net::TcpStream;

use super::OwnResponse;
use crate::{
    gateway::Gateway,
    http::{BufferedSocket, HeadError, RequestHead},
    request,
};

/// Why no request came.
enum NoRequest {
    /// The caller closed the connection, or stayed idle for too long.
    Ended,
    /// What came cannot be served.
    Rejected(OwnResponse),
}

/// Serves the requests of one connection until it ends.
pub(crate) async fn run(gateway: &Arc<Gateway>, stream: TcpStream) {
    let mut socket = BufferedSocket::new(stream);
    // A connection that opens during the drain brings a request, which is answered or refused like any other.
    let mut closes_at_drain = !gateway.is_draining();
    loop {
        match read_head(gateway, &mut socket, closes_at_drain).await {
            Ok(head) => {
                if !request::serve(gateway, &mut socket, &head).await {
                    break;
                }
                socket.release_buffer();
                closes_at_drain = true;
            }
            Err(NoRequest::Ended) => break,
            Err(NoRequest::Rejected(response)) => {
                reject(&mut socket, response).await;
                break;
            }
        }
    }
    socket.close().await;
}

async fn reject(socket: &mut BufferedSocket, response: OwnResponse) {
    metrics::counter!("fuchsiabay_rejected_heads_total", "reason" => response.reason).increment(1);
    log::info!(status = response.status, reason = response.reason; "caller: head rejected");
    if let Err(error) = socket.write_all(&response.encode(None, false, false)).await {
        log::debug!("caller: rejection not written: {error}");
    }
}

async fn read_head(
    gateway: &Gateway,
    socket: &mut BufferedSocket,
    closes_at_drain: bool,
) -> Result<RequestHead, NoRequest> {
    let limits = gateway.limits();
    if socket.buffered().is_empty() {
        let idle_until = monotonic_now().plus_millis(limits.idle_timeout_ms);
        // Closing an idle connection lets its caller go to another instance. One that sent a request meanwhile may send
        // it again, because nothing of it was read.
        let drain = async {
            if !closes_at_drain {
                return future::pending().await;
            }
            gateway.drain().started().await;
            Err(FillError::Ended)
        };
        fill(socket, idle_until).or(drain).await.map_err(|_| NoRequest::Ended)?;
    }
    let deadline = monotonic_now().plus_millis(limits.head_timeout_ms);
    loop {
        let parsed = RequestHead::parse(socket.buffered()).map_err(rejection)?;
        match parsed {
            Some((_, len)) if len > limits.max_head_bytes => return Err(too_large()),
            Some((head, len)) => {
                socket.consume(len);
                return Ok(head);
            }
            None if socket.buffered().len() > limits.max_head_bytes => return Err(too_large()),
            None => fill(socket, deadline).await.map_err(|reason| match reason {
                FillError::Ended => NoRequest::Ended,
                FillError::Late => NoRequest::Rejected(OwnResponse::rejected(408, "slow_head")),
            })?,
        }
    }
}

enum FillError {
    Ended,
    Late,
}

async fn fill(socket: &mut BufferedSocket, deadline: Timestamp) -> Result<(), FillError> {
    let read = async {
        match socket.fill().await {
            Ok(0) | Err(_) => Err(FillError::Ended),
            Ok(_) => Ok(()),
        }
    };
    let late = async {
        sleep_until(deadline).await;
        Err(FillError::Late)
    };
    read.or(late).await
}

fn too_large() -> NoRequest {
    NoRequest::Rejected(OwnResponse::rejected(431, "head_too_large"))
}

fn rejection(error: HeadError) -> NoRequest {
    let reason = match error {
        HeadError::Malformed => "malformed_head",
        HeadError::AmbiguousLength => "ambiguous_length",
        HeadError::UnknownCoding => "unknown_coding",
    };
    NoRequest::Rejected(OwnResponse::rejected(400, reason))
}
