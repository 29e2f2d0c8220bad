//! Policy measures on virtual time: the real scheduler and router beside simple policies on simulated servers.

mod balancer;
mod job;
mod measures;
mod server;
mod simulation;
mod workload;

pub use measures::policy_report;
