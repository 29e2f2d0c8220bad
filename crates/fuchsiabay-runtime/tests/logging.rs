//! Initialization of logging. A separate test binary, because a process has only one logger.

use fuchsiabay_runtime::logging;
use log::LevelFilter;

/// Guards against a daemon that fails to start because logging cannot be initialized, and against a second
/// initialization that replaces the first.
#[test]
fn logging_is_initialized_only_once() {
    logging::init(LevelFilter::Info, false).unwrap();
    logging::init(LevelFilter::Trace, true).unwrap_err();
    assert!(log::log_enabled!(target: "fuchsiabay_entry", log::Level::Info));
    assert!(!log::log_enabled!(target: "fuchsiabay_entry", log::Level::Debug));
    assert!(!log::log_enabled!(target: "trillium_http::conn", log::Level::Info));
}
