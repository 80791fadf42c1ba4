//! Load test of daemon processes over loopback, with stand-ins for all external systems.
//!
//! Build the daemon first: `cargo build --release --bins`, then
//! `cargo run --release --example load -- <workload>`.

mod client;
mod control;
mod crest;
mod deploy;
mod first_token;
mod memory;
mod process;
mod relay;
mod report;
mod short_calls;

mod flags {
    //! Command line of the tool.

    xflags::xflags! {
        /// Puts load on daemon processes and reports latency and resource use.
        cmd load {
            /// Compare the time to first token through a daemon with direct calls to engines.
            cmd first-token {
                /// Send direct calls to the daemon's engines instead of separate ones.
                optional --shared
                /// Concurrent programs.
                optional --programs programs: usize
                /// Seconds of one run.
                optional --seconds seconds: u64
                /// Number of runs.
                optional --runs runs: usize
                /// HTTP workers of the daemon.
                optional --workers workers: usize
            }
            /// Find the highest rate of single-call lookups that one instance sustains.
            cmd short-calls {
                /// Lowest rate to try, in calls per second.
                optional --from from: u64
                /// Highest rate to try, in calls per second.
                optional --to to: u64
                /// Seconds of each rate.
                optional --seconds seconds: u64
                /// Number of runs.
                optional --runs runs: usize
                /// HTTP workers of the daemon.
                optional --workers workers: usize
            }
            /// Measure the memory of a daemon that holds many long programs.
            cmd memory {
                /// Number of programs.
                optional --programs programs: u64
                /// Turns of each program.
                optional --turns turns: u32
                /// Bytes of text of each turn.
                optional --text text: usize
            }
            /// Measure control traffic and CPU time of each instance.
            cmd control {
                /// Number of instances.
                required --instances instances: usize
                /// Model calls per second, over all instances.
                optional --rate rate: u64
                /// Seconds of one run.
                optional --seconds seconds: u64
                /// Number of runs.
                optional --runs runs: usize
            }
            /// Run the programs of a deployment under demand that rises to a peak and falls.
            cmd crest {
                /// Deployment: sirag or cascade.
                required --deployment deployment: String
                /// Mean arrivals of programs and lookups per second.
                optional --rate rate: f64
                /// Factor by which simulated times are shortened.
                optional --speed speed: f64
                /// Seconds of arrivals.
                optional --seconds seconds: u64
                /// Slow down one engine in five by this factor.
                optional --slow slow: f64
                /// Seed of the arrivals.
                optional --seed seed: u64
            }
        }
    }
}

use flags::{
    Load,
    LoadCmd, //
};

async fn run(command: LoadCmd) {
    match command {
        LoadCmd::FirstToken(flags) => first_token::run(&flags).await,
        LoadCmd::ShortCalls(flags) => short_calls::run(&flags).await,
        LoadCmd::Memory(flags) => memory::run(&flags).await,
        LoadCmd::Control(flags) => control::run(&flags).await,
        LoadCmd::Crest(flags) => crest::run(&flags).await,
    }
}

#[actix_web::main]
async fn main() {
    let command = Load::from_env_or_exit().subcommand;
    report::load_average("before");
    tokio::select! {
        () = run(command) => {}
        // Dropping the future kills the daemons that it started.
        _ = tokio::signal::ctrl_c() => eprintln!("load: interrupted"),
    }
    report::load_average("after");
}
