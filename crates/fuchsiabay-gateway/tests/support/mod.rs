//! A gateway with stand-ins for its platform, its callers and its backend servers.

// Each test file uses a part of it.
#![allow(dead_code, missing_docs, unreachable_pub, unused_imports)]

pub mod caller;
pub mod platform;
pub mod server;
pub mod world;

pub use caller::{Answer, Caller};
pub use server::{Behaviour, FakeServer};
pub use world::{DIALECT, World, route};
