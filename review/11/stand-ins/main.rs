//! Cases of the third review: stand-ins and clients around processes of the gateway.
//!
//! `cases NAME FOLDER` plays a case and writes `record.txt` into the folder.

mod client;
mod engine;
mod fleet;
mod http;
mod minority_killed;
mod outage;
mod program;
mod record;
mod resumed_turn;
mod rolling_stop;
mod store;
mod stuck_program;

use std::process::ExitCode;

/// Result of a case.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case couldn't run.
    NotRun,
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&format!("{folder}/record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {name}, trouble {trouble}"));
    // Loopback addresses of this run, so that runs at the same time don't meet.
    let id = std::process::id();
    let network = format!("127.{}.{}", 1 + id % 200, 1 + id / 200 % 250);
    let played = match name.as_str() {
        "resumed-turn" => resumed_turn::play(&record, &network, trouble),
        "stuck-program" => stuck_program::play(&record, &network, trouble),
        "outage" => outage::play(&record, &network, trouble),
        "rolling-stop" => rolling_stop::play(&record, &network, trouble),
        "minority-killed" => minority_killed::play(&record, &network, trouble),
        _ => {
            eprintln!("unknown case {name}");
            return ExitCode::from(2);
        }
    };
    let verdict = played.unwrap_or_else(|error| {
        record.line(format!("the case couldn't run: {error}"));
        Verdict::NotRun
    });
    record.line(format!("verdict: {verdict:?}"));
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
