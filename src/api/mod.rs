//! HTTP interface for callers and operators.
