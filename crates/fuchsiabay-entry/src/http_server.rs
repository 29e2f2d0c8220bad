//! The HTTP server for callers.

use std::{sync::Arc, time::Duration};

use fuchsiabay_base::Verdict;
use smol::net::TcpListener;
use trillium::{Conn, HttpConfig, Method};
use trillium_server_common::ServerHandle;

use crate::{
    caller_transport::HeadTimeoutAcceptor, chat, config_source::ConfigSource, entry::Entry, plain,
    problem_details::ProblemDetails,
};

/// The size of the write buffer of one response. It bounds the memory of an open stream and still holds a whole write
/// of ready tokens.
const WRITE_BUFFER_BYTES: usize = 2 * 1024;

/// Serves callers on `listener` in the background.
pub(crate) fn serve<C: ConfigSource>(entry: Arc<Entry<C>>, listener: TcpListener) -> ServerHandle {
    let limits = entry.limits;
    let http = HttpConfig::default()
        .with_head_max_len(limits.max_head_bytes as usize)
        .with_received_body_max_len(u64::from(limits.max_body_bytes))
        .with_body_write_chunk_len(WRITE_BUFFER_BYTES);
    trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_max_connections(Some(limits.max_connections as usize))
        .with_http_config(http)
        .with_acceptor(HeadTimeoutAcceptor::new(Duration::from_millis(limits.head_timeout_ms)))
        .with_prebound_server(listener)
        .spawn(move |conn: Conn| handle(Arc::clone(&entry), conn))
}

async fn handle<C: ConfigSource>(entry: Arc<Entry<C>>, conn: Conn) -> Conn {
    // Held until the response is prepared; the driver of a streamed response holds a guard of its own.
    let _guard = entry.open_request();
    entry.counters.count_request();
    let result = if conn.path() != chat::CHAT_PATH {
        plain::serve(&entry, conn).await
    } else if conn.method() == Method::Post {
        chat::serve(&entry, conn).await
    } else {
        entry.counters.count_verdict(Verdict::NotRun);
        Err((
            conn,
            ProblemDetails::not_run(405, "method-not-allowed", "The method is not allowed", "allowed: POST"),
        ))
    };
    result.unwrap_or_else(|(conn, problem)| problem.respond(conn))
}
