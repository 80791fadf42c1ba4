//! The platform's list over Consul's health API.
