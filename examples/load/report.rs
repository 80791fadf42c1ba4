//! Formatting of results.

use std::fs;

use hdrhistogram::Histogram;

/// Times in microseconds.
pub type Times = Histogram<u64>;

/// Upper bound of the histograms.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Returns an empty histogram.
pub fn times() -> Times {
    Times::new_with_bounds(1, MAX_TIME_US, 3).expect("bounds are valid")
}

/// Returns a percentile in milliseconds.
pub fn ms(times: &Times, percentile: f64) -> f64 {
    times.value_at_percentile(percentile) as f64 / 1e3
}

/// Prints percentiles of times.
pub fn line(name: &str, times: &Times) {
    println!(
        "{name}: n {} p50 {:.2} ms p95 {:.2} ms p99 {:.2} ms max {:.2} ms",
        times.len(),
        ms(times, 50.0),
        ms(times, 95.0),
        ms(times, 99.0),
        times.max() as f64 / 1e3
    );
}

/// Prints the median, minimum and maximum of the values.
pub fn spread(name: &str, unit: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let Some(last) = values.last() else {
        return;
    };
    println!(
        "{name}: median {:.2} {unit}, from {:.2} to {last:.2}, {} runs",
        values[values.len() / 2],
        values[0],
        values.len()
    );
}

/// Prints the load average of the machine, which other users may share.
pub fn load_average(when: &str) {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    println!("machine {when}: load average {}", load.trim());
}
