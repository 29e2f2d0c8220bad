//! Accepts caller connections.

use std::{sync::Arc, time::Duration};

use fuchsiabay_runtime::spawn;
use smol::net::TcpListener;

use super::connection;
use crate::gateway::Gateway;

/// The delay after a failed accept, for example when the process runs out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts and serves caller connections until it is cancelled.
pub(crate) async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("caller: accept failed: {error}");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if !gateway.open_connection() {
            metrics::counter!("fuchsiabay_connections_refused_total").increment(1);
            log::warn!("caller: connection refused, too many open connections");
            continue;
        }
        let gateway = gateway.clone();
        spawn(async move {
            connection::run(&gateway, stream).await;
            gateway.close_connection();
        })
        .detach();
    }
}
