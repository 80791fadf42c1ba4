//! Links between instances.
