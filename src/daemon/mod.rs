//! Assembly, start and drain of an instance.
