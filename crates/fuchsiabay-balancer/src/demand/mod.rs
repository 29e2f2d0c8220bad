//! The demand for a service, as the instances report it to each other.

mod report;
mod reported_demand;

pub use report::DemandReport;
pub use reported_demand::ReportedDemand;
