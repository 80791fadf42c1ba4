//! View of live and leaving instances and upstreams.
