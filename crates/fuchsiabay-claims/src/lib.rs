//! At-most-once claims over a log.
