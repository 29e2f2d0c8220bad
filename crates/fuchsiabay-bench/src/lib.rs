//! Stand-ins and load generator, for tests and measurements only.
