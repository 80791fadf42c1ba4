//! Small deployment for the cases of the review: the project's gateway as separate processes, and
//! stand-ins of the store, the engines, the paths between machines and engines, and the clients.
//!
//! Uses the standard library only. All addresses are loopback addresses: machine `i` has the address
//! 127.1.0.i, its path to engine `j` 127.2.i.j, its way to the store 127.3.0.i, and, where links can be
//! cut, its link to machine `j` 127.5.i.j.

mod cases;
mod client;
mod deployment;
mod engine;
mod link;
mod path;
mod record;
mod store;
mod wire;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let usage = "usage: harness CASE FOLDER";
    let (Some(case), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("{usage}");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = cases::run(case, std::path::Path::new(folder), trouble);
    match outcome {
        Ok(false) => println!("{case}: the rule held"),
        Ok(true) => println!("{case}: the rule was broken; see record.txt"),
        Err(error) => {
            eprintln!("{case}: could not run: {error}");
            exit(2);
        }
    }
    exit(i32::from(outcome == Ok(true)));
}
