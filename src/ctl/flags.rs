//! Command line of the tool.
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
    /// Command-line tool for operators. Exit codes: 0 done, 1 failed, 2 usage or a
    /// wrong file, 3 conflict, 4 refused, 5 unreachable.
    cmd gypsumctl {
        /// Address of an instance's callers' port, such as 10.0.0.5:8080; may be
        /// repeated, and the next one is tried when one can't be reached. Default: the
        /// environment variable GYPSUMLEVER_SERVER, addresses separated by commas.
        repeated --server address: String
        /// table (default) or json.
        optional --output format: Format
        /// Longest wait for an answer of one server, such as 5s; 10s by default.
        optional --timeout time: Span

        /// Contracts of customers.
        cmd contract {
            /// Publish the first contract of a customer from a YAML file.
            cmd publish {
                required file: PathBuf
            }
            /// Replace the contract in effect. A repeat is harmless.
            cmd amend {
                required file: PathBuf
                /// Version that is in effect now.
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
                /// End as soon as this version is in effect on every server given; fail
                /// if it isn't within the timeout.
                optional --until version: u64
            }
        }
        /// List the instances as one of them sees them.
        cmd instances {}
        /// List the upstreams with their load.
        cmd upstreams {}
        /// List the programs under way.
        cmd programs {
            /// Only those of this customer.
            optional --customer customer: String
        }
        /// List the calls that wait for an upstream.
        cmd queues {}
        /// Explain why a request was refused and what to do about it.
        cmd why {
            required request: String
        }
    }
}

/// A time span such as `500ms` or `5s`.
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
