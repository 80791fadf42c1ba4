//! Queues of the pools that an instance dispatches for.
