//! Record of a soak: faults, findings and counts.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use crate::{
    check::Kind,
    deployment, process,
    runs::{
        self,
        Asked,
        Run, //
    },
};

/// Time before a finding in which faults are printed with it.
const FAULT_WINDOW: Duration = Duration::from_secs(2);

/// What is known of a finding.
#[derive(Debug)]
pub struct Finding<'a> {
    /// Kind.
    pub kind: Kind,
    /// Request that the client waited for.
    pub request: &'a str,
    /// Instance that was asked.
    pub instance: &'a str,
    /// Runs of engines that made the events so far.
    pub runs: &'a [String],
    /// Framing of the answer, what came last and how the stream was asked for.
    pub details: String,
}

/// Time for which a fault may still disturb what it names, its length included.
const DISTURBED_S: f64 = 6.0;

#[derive(Default)]
struct Inner {
    asked: BTreeMap<String, Asked>,
    faults: Vec<(Duration, String)>,
    findings: BTreeMap<Kind, u64>,
    counts: BTreeMap<String, u64>,
}

/// Record of a soak.
pub struct Record {
    start: Instant,
    /// Start in seconds of Unix time.
    started: f64,
    seed: u64,
    inner: Mutex<Inner>,
}

impl Record {
    /// Returns an empty record.
    pub fn new(seed: u64) -> Self {
        Self {
            start: Instant::now(),
            started: deployment::unix_time().as_secs_f64(),
            seed,
            inner: Mutex::default(),
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes a fault, or its end.
    pub fn fault(&self, text: String) {
        let at = self.start.elapsed();
        self.inner().faults.push((at, text));
    }

    /// Counts something.
    pub fn count(&self, name: impl Into<String>) {
        *self.inner().counts.entry(name.into()).or_default() += 1;
    }

    /// Notes the highest value of something.
    pub fn highest(&self, name: &str, value: u64) {
        let mut inner = self.inner();
        let highest = inner.counts.entry(name.to_owned()).or_default();
        *highest = value.max(*highest);
    }

    /// Notes and prints a finding of the process of an instance.
    pub fn process(&self, instance: &str, (kind, details): process::Found) {
        self.finding(&Finding {
            kind,
            request: "none",
            instance,
            runs: &[],
            details,
        });
    }

    /// Returns a count.
    pub fn counted(&self, name: &str) -> u64 {
        self.inner().counts.get(name).copied().unwrap_or(0)
    }

    /// Notes a request of a client.
    pub fn asked(&self, id: &str, asked: Asked) {
        self.inner().asked.insert(id.to_owned(), asked);
    }

    /// Returns whether no fault of an instance, or of any if none is named, of a link or of the
    /// store has disturbed what happened since a time until now or a second time, in seconds of Unix
    /// time.
    pub fn calm(&self, instance: &str, since: f64, until: f64) -> bool {
        let since = since - self.started - DISTURBED_S;
        let until = until - self.started;
        let instance = format!("entry-{instance}");
        let names = [instance.as_str(), "all instances", "link", "store"];
        let inner = self.inner();
        let mut faults = inner.faults.iter().rev();
        !faults.any(|(at, text)| {
            (since..until).contains(&at.as_secs_f64())
                && names.iter().any(|name| text.contains(name))
        })
    }

    /// Compares what engines ran with what clients asked for, and notes findings.
    pub fn compare(&self, runs: &[Run], drained: &BTreeMap<String, f64>) {
        let asked = std::mem::take(&mut self.inner().asked);
        let found = runs::check(runs, &asked, drained, |at| self.calm("", at, at));
        for (kind, request, details) in found {
            self.finding(&Finding {
                kind,
                request: &request,
                instance: "all",
                runs: &[],
                details,
            });
        }
    }

    /// Notes and prints a finding.
    pub fn finding(&self, finding: &Finding<'_>) {
        let at = self.start.elapsed();
        let mut inner = self.inner();
        *inner.findings.entry(finding.kind).or_default() += 1;
        let Finding {
            kind,
            request,
            instance,
            runs,
            details,
        } = finding;
        println!(
            "finding: {kind:?}, seed {}, {:.3} s, {}, request {request} at {instance}, runs {runs:?}, {details}",
            self.seed,
            at.as_secs_f64(),
            unix_time(),
        );
        let recent = inner.faults.iter().rev();
        let recent = recent.take_while(|(time, _)| *time + FAULT_WINDOW >= at);
        for (time, fault) in recent {
            println!("    {:.3} s: {fault}", time.as_secs_f64());
        }
    }

    /// Returns all faults, one a line, with seconds from the start.
    pub fn faults(&self) -> String {
        let inner = self.inner();
        let faults = inner.faults.iter();
        let lines = faults.map(|(at, fault)| format!("{:.3} {fault}\n", at.as_secs_f64()));
        lines.collect()
    }

    /// Prints the counts, and returns the number of findings.
    pub fn summary(&self) -> u64 {
        let inner = self.inner();
        let requests = inner.counts.get("requests").copied().unwrap_or(0).max(1);
        for (name, count) in &inner.counts {
            match name.starts_with("answers with status") {
                true => println!(
                    "{name}: {count}, {} in 1,000 requests",
                    count * 1_000 / requests
                ),
                false => println!("{name}: {count}"),
            }
        }
        println!("faults: {}", inner.faults.len());
        for (kind, count) in &inner.findings {
            println!("findings of kind {kind:?}: {count}");
        }
        let findings = inner.findings.values().sum();
        println!("findings: {findings}, seed {}", self.seed);
        findings
    }
}

/// Returns the wall-clock time in seconds, as the logs of instances have it.
fn unix_time() -> String {
    format!("unix {:.3}", deployment::unix_time().as_secs_f64())
}
