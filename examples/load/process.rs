//! Resource use of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second in `/proc`; Linux reports 100 on all architectures.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU seconds that a process has used.
pub fn cpu(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name in parentheses may contain spaces.
    let rest = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<f64> = rest
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse().ok())
        .collect();
    fields.iter().sum::<f64>() / TICKS_PER_SECOND
}

fn status(pid: u32, name: &str) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Returns the resident memory of a process in MB.
pub fn resident(pid: u32) -> f64 {
    status(pid, "VmRSS:") * 1_024.0 / 1e6
}

/// Returns the peak resident memory of a process in MB.
pub fn peak_resident(pid: u32) -> f64 {
    status(pid, "VmHWM:") * 1_024.0 / 1e6
}

/// Returns the number of threads of a process.
pub fn threads(pid: u32) -> f64 {
    status(pid, "Threads:")
}

/// Returns the available memory of the machine in GB.
pub fn available() -> f64 {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("MemAvailable:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value
        .and_then(|value| value.parse::<f64>().ok())
        .unwrap_or(0.0)
        * 1_024.0
        / 1e9
}
