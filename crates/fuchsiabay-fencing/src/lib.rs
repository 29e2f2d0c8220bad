//! Fenced orders to one backend server.
