//! Load on real daemon processes over loopback, with stand-ins for all outside systems.
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
        /// Puts load on real daemon processes and reports what it costs.
        cmd load {
            /// Time to first token through a daemon against the engines directly.
            cmd first-token {
                /// Call the daemon's own engines directly, not others of the same kind.
                optional --shared
                /// Programs at a time.
                optional --programs programs: usize
                /// Seconds of one run.
                optional --seconds seconds: u64
                /// Runs.
                optional --runs runs: usize
                /// HTTP workers of the daemon.
                optional --workers workers: usize
            }
            /// Highest rate of one-shot lookups that one instance holds.
            cmd short-calls {
                /// Lowest rate that is tried, in calls per second.
                optional --from from: u64
                /// Highest rate that is tried.
                optional --to to: u64
                /// Seconds of each rate.
                optional --seconds seconds: u64
                /// Runs.
                optional --runs runs: usize
                /// HTTP workers of the daemon.
                optional --workers workers: usize
            }
            /// Memory of a daemon that holds many long programs.
            cmd memory {
                /// Programs.
                optional --programs programs: u64
                /// Turns of each program.
                optional --turns turns: u32
                /// Bytes of text of each turn.
                optional --text text: usize
            }
            /// Control traffic and CPU time of each instance.
            cmd control {
                /// Instances.
                required --instances instances: usize
                /// Model calls per second, in all.
                optional --rate rate: u64
                /// Seconds of one run.
                optional --seconds seconds: u64
                /// Runs.
                optional --runs runs: usize
            }
            /// Programs of a deployment at a demand that swings.
            cmd crest {
                /// Deployment: sirag or cascade.
                required --deployment deployment: String
                /// Mean arrivals of programs and lookups per second.
                optional --rate rate: f64
                /// Factor by which modelled times are shortened.
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
    report::machine("before");
    tokio::select! {
        () = run(command) => {}
        // Dropping the run ends the daemons that it started.
        _ = tokio::signal::ctrl_c() => eprintln!("load: interrupted"),
    }
    report::machine("after");
}
