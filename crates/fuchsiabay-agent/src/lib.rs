//! The agent beside a backend server: admission, claims, orders and drain.
