//! Settings of the daemon.
