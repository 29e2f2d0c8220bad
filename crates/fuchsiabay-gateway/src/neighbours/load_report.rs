//! The loads of one instance, in the form that the receiver can read.

use std::collections::HashMap;

use fuchsiabay_balancer::ServerLists;
use fuchsiabay_base::InstanceId;
use serde::{Deserialize, Serialize};

/// The number of the sender's requests at each server.
///
/// The ids of the servers take most of the bytes, so they are left out for a receiver whose list of servers is known to be the same.
/// The full form goes to all others, such as instances of an earlier version, which state no list.
#[derive(Clone, Debug, Default)]
#[derive(Serialize, Deserialize)]
pub(crate) struct LoadReport {
    /// The digest of the sender's list of servers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) server_list: Option<u32>,
    /// The loads in the order of that list. See [`fuchsiabay_balancer::ServerList::pack`]. Empty if there are none, or if they are
    /// in the full form.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub(super) packed_loads: String,
    /// The loads in the full form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(super) loads: Option<HashMap<InstanceId, u32>>,
}

impl LoadReport {
    /// Creates the report of `loads` for a receiver that stated `receiver_list` as the digest of its list.
    pub(crate) fn new(
        loads: HashMap<InstanceId, u32>,
        lists: &ServerLists,
        receiver_list: Option<u32>,
    ) -> Self {
        let list = lists.current();
        let is_shared = receiver_list == Some(list.digest());
        let packed_loads = is_shared.then(|| list.pack(&loads)).flatten();
        let loads = packed_loads.is_none().then_some(loads);
        Self { server_list: Some(list.digest()), packed_loads: packed_loads.unwrap_or_default(), loads }
    }

    /// Returns the digest of the sender's list of servers.
    pub(crate) const fn server_list(&self) -> Option<u32> {
        self.server_list
    }

    /// Returns the loads, or None if the sender's list is not known. The sender learns this instance's list from the next exchange
    /// and sends the full form.
    pub(crate) fn decode(self, lists: &ServerLists) -> Option<HashMap<InstanceId, u32>> {
        if self.loads.is_some() {
            return self.loads;
        }
        lists.find(self.server_list?)?.unpack(&self.packed_loads)
    }
}
