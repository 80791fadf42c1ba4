//! Benchmarks the scheduling policies in a discrete-event simulation with a simulated engine.
//!
//! `docs/MEASUREMENTS.md` explains the model and holds the results.

mod case;
mod cost;
mod engine;
mod measure;
mod run;
mod workload;

use std::{
    env,
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    sync::Mutex,
    thread,
    time::Instant,
};

use self::{
    case::{
        ablations,
        baseline,
        central,
        foreign_ignored,
        standard,
        Case, //
    },
    measure::{
        customers,
        measure,
        spread,
        Values,
        LATE,
        NAMES, //
    },
    run::Scenario,
    workload::{
        arrivals,
        foreign,
        Workload,
        CASCADE,
        SIRAG, //
    },
};

/// Number of concurrent runs; leaves cores free on a shared machine.
const THREADS: usize = 3;

/// Runs jobs on [`THREADS`] threads and returns the results in order.
fn parallel<T: Send>(count: usize, job: impl Fn(usize) -> T + Sync) -> Vec<T> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                if index >= count {
                    return;
                }
                let result = job(index);
                done.lock().expect("no job panics").push((index, result));
            });
        }
    });
    let mut done = done.into_inner().expect("no job panics");
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Returns the number of lookups and programs per program.
fn per_program(workload: &Workload) -> f64 {
    let weight = |interactive| -> f64 {
        let kinds = workload.kinds.iter();
        kinds
            .filter(|kind| interactive || !kind.interactive)
            .map(|kind| kind.weight)
            .sum()
    };
    weight(true) / weight(false)
}

/// Returns the percentage of programs that finish before their deadline at a steady rate.
fn in_time(workload: &Workload, case: &Case, rate: f64, seeds: usize) -> f64 {
    let percentages = parallel(seeds, |seed| {
        let seed = seed as u64;
        let programs = arrivals(workload, rate * per_program(workload), true, seed);
        let out = case.run(workload, &programs, &[], Scenario::default(), seed);
        let values = measure(workload, &programs, &out);
        100.0 - values[LATE]
    });
    spread(&mut percentages.clone()).0
}

/// Finds the maximum steady rate at which 99 % of the programs finish before their deadline.
fn capacity(workload: &Workload, case: &Case, seeds: usize) -> f64 {
    let engines: usize = workload.engines.iter().sum();
    let (mut low, mut high) = (0.0, 2.0 * engines as f64);
    while high - low > 0.01 * high {
        let middle = (low + high) / 2.0;
        if in_time(workload, case, middle, seeds) >= 99.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    println!("{}, {}: {low:.2} programs/s", workload.name, case.name);
    low
}

fn table(title: &str, cases: &[Case], results: &[Vec<Values>], columns: &[usize]) {
    println!("\n{title}\n");
    let names: Vec<_> = columns.iter().map(|column| NAMES[*column]).collect();
    println!("| policy | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(columns.len()));
    for (case, runs) in cases.iter().zip(results) {
        let cells: Vec<_> = columns
            .iter()
            .map(|column| {
                let mut values: Vec<_> = runs.iter().map(|run| run[*column]).collect();
                let (median, low, high) = spread(&mut values);
                if median.is_nan() {
                    // The metric does not apply to the workload.
                    return "-".to_owned();
                }
                let d = digits(median);
                format!("{median:.d$} ({low:.d$} to {high:.d$})")
            })
            .collect();
        println!("| {} | {} |", case.name, cells.join(" | "));
    }
}

fn digits(value: f64) -> usize {
    match value.abs() {
        v if v >= 100.0 => 0,
        v if v >= 10.0 => 1,
        _ => 2,
    }
}

/// Runs all cases on the same arrivals for each seed.
fn compare(
    workload: &Workload,
    cases: &[Case],
    rate: f64,
    foreign_rate: f64,
    scenario: Scenario,
    seeds: usize,
) -> Vec<Vec<Values>> {
    let runs = parallel(cases.len() * seeds, |index| {
        let seed = (index % seeds) as u64 + 100;
        let rate = rate * per_program(workload);
        let programs = arrivals(workload, rate, scenario.steady, seed);
        let foreign_requests = if foreign_rate > 0.0 {
            foreign(workload, foreign_rate, seed)
        } else {
            Vec::new()
        };
        let out = cases[index / seeds].run(workload, &programs, &foreign_requests, scenario, seed);
        measure(workload, &programs, &out)
    });
    runs.chunks(seeds).map(<[Values]>::to_vec).collect()
}

const SLOW_ENGINES: Scenario = Scenario {
    slow_engines: true,
    slow_services: false,
    steady: false,
    progress: true,
    initial: 16,
};

const STEADY: Scenario = Scenario {
    slow_engines: false,
    steady: true,
    ..SLOW_ENGINES
};

const SLOW_ALL: Scenario = Scenario {
    slow_services: true,
    ..SLOW_ENGINES
};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let seeds = arguments
        .get(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(10);
    let mode = arguments.first().map_or("all", String::as_str);
    let begin = Instant::now();
    if mode == "cost" {
        for (waiting, customers) in [(0, 10), (1_000, 10), (10_000, 100), (10_000, 2_300)] {
            let time = cost::decision(waiting, customers).as_nanos() as f64 / 1e3;
            println!("{waiting} calls of {customers} customers wait: {time:.1} us a decision");
        }
        return;
    }
    let workloads = [&SIRAG, &CASCADE];
    if let Some(name) = arguments.get(2) {
        if !workloads.iter().any(|workload| workload.name == name) {
            let known = workloads.map(|workload| workload.name).join(", ");
            eprintln!("workload {name} is unknown; known are {known}");
            std::process::exit(2);
        }
    }
    for workload in workloads {
        if arguments.get(2).is_some_and(|name| name != workload.name) {
            continue;
        }
        let max_rate = capacity(workload, &standard(), 3);
        if mode == "all" || mode == "capacity" {
            capacity(workload, &baseline(), 3);
            capacity(workload, &central(), 3);
        }
        if mode == "all" || mode == "compare" {
            compare_demands(workload, max_rate, seeds);
        }
        if mode == "shares" {
            compare_shares(workload, max_rate, seeds);
        }
        if mode == "sweep" {
            compare_settings(workload, max_rate, seeds);
        }
        if mode == "all" || mode == "ablate" {
            compare_ablations(workload, max_rate, seeds);
        }
    }
    println!("\n{:.0} s", begin.elapsed().as_secs_f64());
}

/// Compares policies with and without another client that sends 2 requests per second and engine
/// during every other 10 s.
fn compare_foreign_load(workload: &Workload, max_rate: f64, seeds: usize) {
    let cases = [standard(), foreign_ignored(), baseline()];
    for (title, rate) in [("alone", 0.0), ("beside another system", 2.0)] {
        let results = compare(
            workload,
            &cases,
            max_rate * 0.5,
            rate,
            Scenario::default(),
            seeds,
        );
        let title = format!("{}, demand 50 % of capacity, {title}", workload.name);
        table(&title, &cases, &results, &[1, 2, 6, 10, 11, 16]);
    }
}

/// Columns of the latency tables, as indices of [`NAMES`].
const LATENCY_COLUMNS: [usize; 11] = [0, 1, 2, 3, 6, 7, 8, 10, 11, 12, 14];

fn compare_demands(workload: &Workload, max_rate: f64, seeds: usize) {
    compare_foreign_load(workload, max_rate, seeds);
    let cases = [standard(), baseline(), central()];
    let scenarios = [
        ("75 % of capacity", 0.75, Scenario::default()),
        ("50 % of capacity", 0.5, Scenario::default()),
        (
            "50 %, one in five engines slowed 5 times",
            0.5,
            SLOW_ENGINES,
        ),
        (
            "75 %, one in five engines slowed 5 times",
            0.75,
            SLOW_ENGINES,
        ),
        ("75 %, engines and one service slowed", 0.75, SLOW_ALL),
        ("100 %", 1.0, Scenario::default()),
        ("150 %", 1.5, Scenario::default()),
        ("100 %, steady", 1.0, STEADY),
        ("150 %, steady", 1.5, STEADY),
    ];
    for (title, fraction, scenario) in scenarios {
        let results = compare(workload, &cases, max_rate * fraction, 0.0, scenario, seeds);
        let title = format!("{}, demand {title}", workload.name);
        table(&title, &cases, &results, &LATENCY_COLUMNS);
        table(&title, &cases, &results, &[4, 5, 9, 13]);
    }
}

fn compare_ablations(workload: &Workload, max_rate: f64, seeds: usize) {
    let mut cases = vec![standard()];
    cases.extend(ablations());
    for (title, fraction, scenario) in [
        ("75 %", 0.75, Scenario::default()),
        (
            "75 %, one in five engines slowed 5 times",
            0.75,
            SLOW_ENGINES,
        ),
        ("150 %, steady", 1.5, STEADY),
    ] {
        let results = compare(workload, &cases, max_rate * fraction, 0.0, scenario, seeds);
        let title = format!(
            "{}, demand {title}, each decision switched off",
            workload.name
        );
        table(
            &title,
            &cases,
            &results,
            &[0, 1, 2, 3, 6, 7, 8, 9, 11, 12, 13],
        );
    }
}

/// Tokens and refusals of each customer, and the metrics of a run.
type Run = ([(f64, f64); 3], Values);

/// Prints tokens and refusals of each customer at demand above capacity.
fn compare_shares(workload: &Workload, max_rate: f64, seeds: usize) {
    let mut cases = vec![standard()];
    for (waiting, ahead) in [(1e9, 0.1), (1e9, 0.02), (1e9, 1e9)] {
        let name = format!("waiting {waiting}, ahead {ahead}");
        cases.push(Case::with(&name, |s| {
            s.admit.waiting = waiting;
            s.admit.ahead = ahead;
        }));
    }
    cases.push(Case::with("lead 20000", |s| s.queue.lead = 20_000));
    cases.push(Case::with("short 1", |s| s.queue.short = 1.0));
    for (case, fraction) in cases.iter().flat_map(|case| [(case, 1.5), (case, 2.0)]) {
        let runs = parallel(seeds, |seed| {
            let seed = seed as u64 + 100;
            let rate = max_rate * fraction * per_program(workload);
            let programs = arrivals(workload, rate, true, seed);
            let out = case.run(workload, &programs, &[], Scenario::default(), seed);
            let values = measure(workload, &programs, &out);
            (customers(workload, &programs, &out), values)
        });
        let median =
            |of: &dyn Fn(&Run) -> f64| spread(&mut runs.iter().map(of).collect::<Vec<_>>()).0;
        print!(
            "{}, {}, {:.0} %: served",
            workload.name,
            case.name,
            100.0 * fraction
        );
        for index in 0..3 {
            let served = median(&|run| run.0[index].0);
            let refused = median(&|run| run.0[index].1);
            print!(" {served:.1} % (refused {refused:.1} %),");
        }
        let (off, good) = (median(&|run| run.1[13]), median(&|run| run.1[9]));
        println!(" off share {off:.1} %, in time {good:.2} /s");
    }
}

/// Compares alternative values of the settings.
fn compare_settings(workload: &Workload, max_rate: f64, seeds: usize) {
    let mut cases = vec![standard()];
    for (waiting, ahead, lead) in [
        (1.0, 0.1, 40_000),
        (4.0, 0.05, 40_000),
        (4.0, 0.25, 40_000),
        (4.0, 0.1, 20_000),
        (4.0, 0.1, 80_000),
    ] {
        let name = format!("waiting {waiting}, ahead {ahead}, lead {lead}");
        cases.push(Case::with(&name, |s| {
            s.admit.waiting = waiting;
            s.admit.ahead = ahead;
            s.queue.lead = lead;
        }));
    }
    for short in [1.0, 4.0] {
        cases.push(Case::with(&format!("short {short}"), |s| {
            s.queue.short = short;
        }));
    }
    for (us, ms) in [(50, 1_000), (200, 10_000)] {
        cases.push(Case::with(&format!("wait {us} us, {ms} ms"), |s| {
            s.route.wait_us = us;
            s.route.wait_ms = ms;
        }));
    }
    cases.push(Case::with("bound 2", |s| s.route.bound = 2.0));
    cases.push(Case::with("slow 2", |s| s.route.slow = 2.0));
    cases.push(Case::with("guard 8", |s| s.queue.guard = 8));
    cases.push(Case::with("hedge 2", |s| s.pace.hedge = 2.0));
    for levels in [vec![], vec![64_000], vec![4_000, 16_000, 64_000, 256_000]] {
        cases.push(Case::with(&format!("levels at {levels:?}"), |s| {
            s.queue.levels.clone_from(&levels);
        }));
    }
    for (title, fraction, scenario) in [
        ("75 %", 0.75, Scenario::default()),
        ("100 %", 1.0, Scenario::default()),
        ("50 %, slowed", 0.5, SLOW_ENGINES),
        ("75 %, slowed", 0.75, SLOW_ENGINES),
        ("150 %", 1.5, STEADY),
    ] {
        let results = compare(workload, &cases, max_rate * fraction, 0.0, scenario, seeds);
        let title = format!("{}, demand {title}", workload.name);
        table(
            &title,
            &cases,
            &results,
            &[0, 1, 2, 4, 6, 7, 8, 9, 11, 12, 13],
        );
    }
}
