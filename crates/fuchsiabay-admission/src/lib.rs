//! Admission and scheduling of one backend server's work.
