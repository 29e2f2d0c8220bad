//! Adapts the expert layouts of lockstep groups to the demand, and checks which groups are open.
//!
//! Only the instance that holds the coordinator lease changes layouts; every instance checks the groups.

mod agent_bypasses;
mod coordinator;
mod discovery;
mod encoded_orders;
mod engine_control;
mod engine_report;
mod group;
mod group_check;
mod orders;
mod recovery;

pub use agent_bypasses::AgentBypasses;
pub use encoded_orders::{EncodedOrder, EncodedOrders};
pub use engine_control::{EngineControl, EngineError, RankExperts};
pub use engine_report::EngineReport;

pub(crate) use coordinator::run_coordinator;
pub(crate) use group_check::run_group_checks;
