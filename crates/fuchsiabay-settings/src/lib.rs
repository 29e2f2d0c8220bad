//! Settings of the daemons, in JSON with comments.
