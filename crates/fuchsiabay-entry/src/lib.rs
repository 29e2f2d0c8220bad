//! The entry instance: accepts callers, picks a backend server and relays the answer.
