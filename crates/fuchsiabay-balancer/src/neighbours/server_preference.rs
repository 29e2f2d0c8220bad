//! The servers that this instance prefers, so that the instances of a zone choose different ones.

use std::net::SocketAddr;

use fuchsiabay_base::InstanceId;

use super::readers::rendezvous_key;

/// The instances among which the servers are divided. Every one of them computes the same order for each server, so that
/// instances that do not know of each other's requests prefer different servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerPreference {
    own: Option<SocketAddr>,
    others: Vec<SocketAddr>,
}

impl ServerPreference {
    /// Creates the part of the instance at `own`, which shares the servers with those at `others`.
    pub fn new(own: SocketAddr, mut others: Vec<SocketAddr>) -> Self {
        others.sort_unstable();
        Self { own: Some(own), others }
    }

    /// Returns the position of this instance at `server`, 0 if the server is in its own part.
    pub fn rank_at(&self, server: &InstanceId) -> usize {
        let Some(own) = self.own else {
            return 0;
        };
        let key = |addr| rendezvous_key(server.as_str().as_bytes(), addr);
        let own_key = key(own);
        self.others.iter().filter(|addr| key(**addr) < own_key).count()
    }
}
