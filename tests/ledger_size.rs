//! Measures memory and throughput of the ledger with 10,000 programs of 300 turns, the size that an
//! instance has to support.
//!
//! `cargo test --release --test ledger_size -- --ignored --nocapture NAME`, one test at a time,
//! because the memory of the complete process is measured.

mod ledger_support;

use std::time::{
    Duration,
    Instant, //
};

use bytes::Bytes;
use gypsumlever::{
    contract::Server,
    ledger::{
        codec,
        record::{
            Body,
            Record, //
        },
        Ledger,
        Settings, //
    },
    log::{
        Batch,
        Bounds,
        Failure,
        Log, //
    },
    name::Program,
};
use ledger_support::*;

const PROGRAMS: u64 = 10_000;
const TURNS: u64 = 300;
const RECORDS: u64 = 1 + PROGRAMS + PROGRAMS * TURNS;

fn name(number: u64) -> Program {
    program(0, number)
}

fn generated(offset: u64) -> Record {
    let body = match offset {
        0 => Body::Publish {
            version: 1,
            contract: contract(u64::MAX, u32::MAX, Server::Gypsumlever),
        },
        offset if offset <= PROGRAMS => start(&name(offset - 1), None, Some(&offset.to_string())),
        offset => {
            let place = offset - 1 - PROGRAMS;
            turn(&name(place % PROGRAMS), (place / PROGRAMS) as u32)
        }
    };
    record(0, 1_000_000 + offset, "a", body)
}

/// A log that generates its records when they are read, so that it takes no memory.
struct Generated;

impl Log for Generated {
    async fn append(&self, _: u32, _: &[Bytes]) -> Result<u64, Failure> {
        Err(Failure::NotApplied("read only".into()))
    }

    async fn read(&self, _: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        if from >= RECORDS {
            tokio::time::sleep(wait).await;
        }
        let next = (from + 1_000).min(RECORDS).max(from);
        let records = (from..next).map(|offset| (offset, codec::encode(&generated(offset))));
        let records = records.collect();
        Ok(Batch { records, next })
    }

    async fn bounds(&self, _: u32) -> Result<Bounds, Failure> {
        let (begin, end) = (0, RECORDS);
        Ok(Bounds { begin, end })
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    let pages: u64 = statm.split(' ').nth(1).unwrap().parse().unwrap();
    pages * 4_096
}

#[test]
#[ignore = "meaningful in release mode only"]
fn apply_rate() {
    let sample: Vec<_> = (PROGRAMS + 1..PROGRAMS + 200_001)
        .map(|offset| codec::encode(&generated(offset)))
        .collect();
    let mut state = state();
    for offset in 0..=PROGRAMS {
        state.apply(offset, &generated(offset));
    }
    let bytes: usize = sample.iter().map(Bytes::len).sum();
    let started = Instant::now();
    let decoded: Vec<_> = sample.iter().map(|b| codec::decode(b).unwrap()).collect();
    let decode = started.elapsed().as_secs_f64();
    let started = Instant::now();
    for (offset, record) in (PROGRAMS + 1..).zip(&decoded) {
        assert!(state.apply(offset, record).took_effect());
    }
    let apply = started.elapsed().as_secs_f64();
    let count = sample.len() as f64;
    println!("bytes per turn record: {:.0}", bytes as f64 / count);
    println!("decode: {:.0} records/s", count / decode);
    println!("apply: {:.0} records/s", count / apply);
}

#[test]
#[ignore = "takes about 30 s and is meaningful in release mode only"]
fn follow_memory_without_texts() {
    measure(0);
}

#[test]
#[ignore = "takes about 30 s and is meaningful in release mode only"]
fn follow_memory_with_texts() {
    measure(64 << 20);
}

fn measure(cache_bytes: usize) {
    let before = resident();
    let (ledger, rate) = run_long(cache_bytes);
    let after = resident();
    let used = (after - before) as f64;
    println!(
        "resident: {:.1} MB, {:.1} MB before",
        after as f64 / 1e6,
        before as f64 / 1e6
    );
    println!(
        "{:.0} bytes per program of {TURNS} turns",
        used / PROGRAMS as f64
    );
    println!("{rate:.0} records/s, generated, encoded, decoded and applied");
    let started = Instant::now();
    let export = ledger.export(0).unwrap();
    println!(
        "export: {:.1} MB in {:?}",
        export.len() as f64 / 1e6,
        started.elapsed()
    );
}

fn run_long(cache_bytes: usize) -> (Ledger, f64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let started = Instant::now();
        let settings = Settings {
            cache_bytes,
            ..settings("a")
        };
        let ledger = Ledger::start(Generated, settings);
        ledger.wait_caught_up().await;
        assert_eq!(ledger.state().programs().count() as u64, PROGRAMS);
        let rate = RECORDS as f64 / started.elapsed().as_secs_f64();
        (ledger, rate)
    })
}
