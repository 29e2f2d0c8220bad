//! A test harness: a gateway with a fake platform, callers and fake backend servers.

// Each test file uses only part of this module.
#![allow(dead_code, missing_docs, unreachable_pub, unused_imports)]

pub mod caller;
pub mod crashing;
pub mod early_response;
pub mod harness;
pub mod platform;
pub mod server;

pub use caller::{Caller, Response, get_request};
pub use early_response::{EarlyEnd, EarlyResponse};
pub use harness::{HEADER_NAMES, Harness, route};
pub use server::{Behaviour, FakeServer};
