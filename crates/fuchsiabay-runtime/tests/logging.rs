//! The set-up of the log, in a process of its own because a process has one logger.

use fuchsiabay_runtime::logging;
use log::LevelFilter;

// A faulty set-up would end a daemon at its start, and a second one would take the log away from the first.
#[test]
fn sets_up_once() {
    logging::init(LevelFilter::Info, false).unwrap();
    logging::init(LevelFilter::Trace, true).unwrap_err();
    assert!(log::log_enabled!(target: "fuchsiabay_entry", log::Level::Info));
    assert!(!log::log_enabled!(target: "fuchsiabay_entry", log::Level::Debug));
    assert!(!log::log_enabled!(target: "trillium_http::conn", log::Level::Info));
}
