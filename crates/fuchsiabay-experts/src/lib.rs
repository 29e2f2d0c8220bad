//! Expert maps: ledger, step gate and placement.
