//! Metrics of one simulation run, and their median and range over seeds.

use crate::{
    run::Outcome,
    workload::{
        Program,
        Workload,
        CUSTOMERS,
        SECOND_US, //
    },
};

/// Names of the metrics, with units.
pub const NAMES: [&str; 17] = [
    "p50 s",
    "p95 s",
    "p99 s",
    "peak p95 s",
    "short p95 s",
    "long p95 s",
    "short wait p99 ms",
    "lookup wait p99 ms",
    "recomputed %",
    "in time /s",
    "in time at peak %",
    "refused %",
    "failed %",
    "off share %",
    "hedges %",
    "late %",
    "others p95 s",
];

/// Index of the percentage of programs that did not finish before their deadline.
pub const LATE: usize = 15;

/// Values in the order of [`NAMES`].
pub type Values = [f64; NAMES.len()];

fn quantile(values: &mut [f64], q: f64) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_unstable_by(f64::total_cmp);
    let index = (q * values.len() as f64).ceil() as usize;
    values[index.clamp(1, values.len()) - 1]
}

fn waits(waits: &[u64]) -> f64 {
    let mut ms: Vec<f64> = waits.iter().map(|us| *us as f64 / 1e3).collect();
    quantile(&mut ms, 0.99)
}

/// Returns the maximum relative deviation of a customer's service from its share, in per cent.
fn off_share(served: [f64; 3]) -> f64 {
    let shares: f64 = CUSTOMERS.iter().map(|(share, _)| f64::from(*share)).sum();
    let total: f64 = served.iter().sum();
    let off = |(tokens, (share, _)): (&f64, &(u32, f64))| {
        let due = total * f64::from(*share) / shares;
        ((tokens / due) - 1.0).abs() * 100.0
    };
    served.iter().zip(&CUSTOMERS).map(off).fold(0.0, f64::max)
}

/// Returns for each customer its fraction of the served tokens and the fraction of its programs
/// that were refused, in per cent.
pub fn customers(workload: &Workload, programs: &[Program], out: &Outcome) -> [(f64, f64); 3] {
    let total: f64 = out.served.iter().sum();
    let mut counts = [(0.0, 0.0); 3];
    for (program, ending) in programs.iter().zip(&out.endings) {
        if !workload.kinds[program.kind].interactive {
            counts[program.customer].0 += 1.0;
            counts[program.customer].1 += f64::from(u8::from(ending.refused));
        }
    }
    let percentages = |index: usize| {
        let (count, refused) = counts[index];
        (100.0 * out.served[index] / total, 100.0 * refused / count)
    };
    [percentages(0), percentages(1), percentages(2)]
}

/// Computes the metrics of a run; refused and failed programs count as infinitely late.
pub fn measure(workload: &Workload, programs: &[Program], out: &Outcome) -> Values {
    let (mut all, mut peak, mut short, mut long) = (vec![], vec![], vec![], vec![]);
    let (mut in_time, mut at_peak, mut refused, mut failed) = (0.0, 0.0, 0.0, 0.0);
    for (program, ending) in programs.iter().zip(&out.endings) {
        let kind = &workload.kinds[program.kind];
        if kind.interactive || program.start < workload.warm_up * SECOND_US {
            continue;
        }
        let latency = ending
            .end
            .map_or(f64::INFINITY, |us| us as f64 / SECOND_US as f64);
        let met = ending.end.is_some_and(|us| us <= kind.deadline);
        all.push(latency);
        in_time += f64::from(u8::from(met));
        if program.peak {
            peak.push(latency);
            at_peak += f64::from(u8::from(met));
        }
        if kind.short {
            short.push(latency);
        } else {
            long.push(latency);
        }
        refused += f64::from(u8::from(ending.refused));
        failed += f64::from(u8::from(ending.end.is_none() && !ending.refused));
    }
    let others = out.foreign.iter();
    let mut others: Vec<_> = others.map(|us| *us as f64 / SECOND_US as f64).collect();
    let count = all.len() as f64 / 100.0;
    let seconds = (workload.length - workload.warm_up) as f64;
    let (held, missed) = out.prefix;
    [
        quantile(&mut all, 0.5),
        quantile(&mut all, 0.95),
        quantile(&mut all, 0.99),
        quantile(&mut peak, 0.95),
        quantile(&mut short, 0.95),
        quantile(&mut long, 0.95),
        waits(&out.waits[0]),
        waits(&out.waits[1]),
        100.0 * missed as f64 / held as f64,
        in_time / seconds,
        100.0 * at_peak / peak.len() as f64,
        refused / count,
        failed / count,
        off_share(out.served),
        100.0 * out.hedges as f64 / out.calls as f64,
        100.0 - in_time / count,
        quantile(&mut others, 0.95),
    ]
}

/// Returns the median, minimum and maximum over seeds.
pub fn spread(values: &mut [f64]) -> (f64, f64, f64) {
    (
        quantile(values, 0.5),
        values.first().copied().unwrap_or(f64::NAN),
        values.last().copied().unwrap_or(f64::NAN),
    )
}
