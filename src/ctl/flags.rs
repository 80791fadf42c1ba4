//! Command line of `gypsumctl`.
#![allow(missing_docs)]

use std::{
    path::PathBuf,
    str::FromStr,
    time::Duration, //
};

use serde::de::{
    value::Error,
    IntoDeserializer, //
};

use super::print::Format;

xflags::xflags! {
    /// Command-line tool for operators. Exit codes: 0 success, 1 failure, 2 usage error
    /// or invalid file, 3 conflict, 4 refused, 5 unreachable.
    cmd gypsumctl {
        /// Address of an instance's callers' port, such as 10.0.0.5:8080. May be
        /// repeated; the next one is tried if one can't be reached. Default: the
        /// comma-separated addresses in the environment variable GYPSUMLEVER_SERVER.
        repeated --server address: String
        /// Output format: table (default) or json.
        optional --output format: Format
        /// Maximum time to wait for a response of one server, such as 5s (default 10s).
        optional --timeout time: Span

        /// Manage the contracts of customers.
        cmd contract {
            /// Publish the first contract of a customer from a YAML file.
            cmd publish {
                required file: PathBuf
            }
            /// Replace the contract in effect. Repeating the command is safe.
            cmd amend {
                required file: PathBuf
                /// Version in effect, which the file replaces.
                required --expected version: u64
            }
            /// Show the contract in effect.
            cmd show {
                required customer: String
            }
            /// List all contracts.
            cmd list {}
            /// Compare a file with the contract in effect.
            cmd diff {
                required file: PathBuf
            }
            /// Print each change of the version in effect on every server.
            cmd watch {
                required customer: String
                /// Exit when this version is in effect on every server given; fail if
                /// that takes longer than the timeout.
                optional --until version: u64
            }
        }
        /// List the instances known to one of them.
        cmd instances {}
        /// List the upstreams with their load.
        cmd upstreams {}
        /// List the active programs.
        cmd programs {
            /// List only the programs of this customer.
            optional --customer customer: String
        }
        /// List the calls that wait for an upstream.
        cmd queues {}
        /// Show a view of gateway instances: tenants (with their quotas), histories (partitions
        /// of retained turns), or why (the refusals of a request).
        cmd gateway {
            required view: View
            /// Request of the view why.
            optional request: String
            /// Address of a gateway's port for metrics, such as 10.0.0.5:9100. May be
            /// repeated; the rows of all are printed.
            repeated --gateway address: String
        }
        /// Explain why a request was refused and what to do about it.
        cmd why {
            required request: String
        }
    }
}

/// View of a gateway instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum View {
    /// Tenants with their quotas.
    Tenants,
    /// Partitions of retained turns.
    Histories,
    /// Refusals of a request.
    Why,
}

impl FromStr for View {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "tenants" => Ok(Self::Tenants),
            "histories" => Ok(Self::Histories),
            "why" => Ok(Self::Why),
            _ => Err("must be tenants, histories or why".to_owned()),
        }
    }
}

/// Time span longer than zero, such as `500ms` or `5s`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span(pub Duration);

impl Default for Span {
    fn default() -> Self {
        Self(Duration::from_secs(10))
    }
}

impl FromStr for Span {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let input: serde::de::value::StrDeserializer<'_, Error> = text.into_deserializer();
        match humantime_serde::deserialize::<Duration, _>(input) {
            Ok(time) if !time.is_zero() => Ok(Self(time)),
            _ => Err("must be a time longer than 0, such as 500ms or 5s".to_owned()),
        }
    }
}
