//! Follows the configuration: reads the log or pulls from neighbours.
