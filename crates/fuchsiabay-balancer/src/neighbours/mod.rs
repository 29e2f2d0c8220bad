//! State exchange between instances, and the choice of those that read the store for the others.

mod demand;
mod freshness;
mod readers;
mod server_list;
mod server_lists;
mod server_preference;
mod sharers;
mod table;

pub use freshness::{Freshness, SharedState};
pub use readers::StoreReaders;
pub use server_list::ServerList;
pub use server_lists::ServerLists;
pub use server_preference::ServerPreference;
pub use sharers::Sharers;
pub use table::{Neighbours, StateMark};
