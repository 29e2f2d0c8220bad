//! smol I/O of the daemons.
