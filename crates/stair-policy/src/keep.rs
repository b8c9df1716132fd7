//! Pending.
