//! The RPC methods that agents and other entry instances call.

use std::sync::Arc;

use fuchsiabay_runtime::{Peer, PeerService, monotonic_now};
use fuchsiabay_wire::{ConfigPullReply, ConfigPullRequest, EntryApiServer};
use jsonrpsee::{
    Methods,
    core::{RpcResult, async_trait},
};

use crate::{config_source::ConfigSource, entry::Entry};

/// Serves `config_pull`.
struct EntryApi<C>(Arc<Entry<C>>);

#[async_trait]
impl<C: ConfigSource> EntryApiServer for EntryApi<C> {
    async fn config_pull(&self, req: ConfigPullRequest) -> RpcResult<ConfigPullReply> {
        Ok(self.0.config.reply(&req, monotonic_now()))
    }
}

impl<C: ConfigSource> PeerService for Entry<C> {
    fn methods(self: &Arc<Self>, _peer: &Peer) -> Methods {
        EntryApi(Arc::clone(self)).into_rpc().into()
    }
}
