//! Fair shares of a service among workspaces.

mod account;
mod event;
mod level;
mod shares;
mod status;

pub use event::ShareEvent;
pub use level::ShareLevel;
pub use shares::FairShares;
pub(crate) use shares::cost;
pub use status::{FairSharesStatus, WorkspaceStatus};
