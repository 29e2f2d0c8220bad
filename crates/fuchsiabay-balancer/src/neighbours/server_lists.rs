//! The lists of servers that an instance knew recently.

use std::collections::VecDeque;

use fuchsiabay_base::InstanceId;

use super::ServerList;

/// The number of former lists that are kept. Instances learn of a change within a second of each other, during which servers of a
/// zone may come or go one by one.
const MAX_FORMER_LISTS: usize = 4;

/// The current list of servers and the former ones, with which loads from instances that learn of a change later can be decoded.
#[derive(Clone, Debug, Default)]
pub struct ServerLists {
    current: ServerList,
    former: VecDeque<ServerList>,
}

impl ServerLists {
    /// Sets the servers that are known now.
    pub fn set(&mut self, ids: impl IntoIterator<Item = InstanceId>) {
        let list = ServerList::new(ids);
        if list.ids() == self.current.ids() {
            return;
        }
        self.former.push_front(std::mem::replace(&mut self.current, list));
        self.former.truncate(MAX_FORMER_LISTS);
    }

    /// Returns the current list.
    pub const fn current(&self) -> &ServerList {
        &self.current
    }

    /// Returns the list with `digest`, if it is known.
    pub fn find(&self, digest: u32) -> Option<&ServerList> {
        std::iter::once(&self.current).chain(&self.former).find(|list| list.digest() == digest)
    }
}
