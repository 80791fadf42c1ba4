//! What engines ran, against what clients asked for.

use std::collections::BTreeMap;

use crate::check::Kind;

/// Engines to which a request may be sent, as the routes have it.
pub const MAX_ENGINES: usize = 3;

/// Requests that may run on more engines than that.
const MAX_EXCESSES: usize = 3;

/// Time that a request may have left at an engine beyond that of its client, in seconds.
const TIME_SLACK_S: f64 = 0.5;

/// Requests that may be handed more time than is left, and the share of all.
const MAX_TIMES: (usize, f64) = (20, 0.2);

/// Time after which an engine that drains gets no more requests, in seconds.
const DRAIN_S: f64 = 2.0;

/// Requests whose connection may be closed without an answer by instances that are undisturbed.
const MAX_LOST: usize = 3;

/// Time after a deadline in which the answer has to come, in seconds.
pub const LATE_S: f64 = 0.5;

/// Requests that may be answered later, and the share of those that last until their deadline.
const MAX_LATE: (usize, f64) = (7, 0.25);

/// A run of a request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    /// Unix time in seconds.
    pub at: f64,
    /// Identifier of the request.
    pub request: String,
    /// Identifier of the engine.
    pub engine: String,
    /// Time that the engine was given, in seconds.
    pub deadline: Option<f64>,
}

/// A request of a client.
#[derive(Clone, Debug, Default)]
pub struct Asked {
    /// Whether it may run once only.
    pub once: bool,
    /// Unix time in seconds.
    pub sent: f64,
    /// Time that the client waits, in seconds.
    pub deadline: f64,
    /// Status of the answer.
    pub status: Option<u16>,
    /// Time until the head of the answer, or the end of the connection without one; `None` if
    /// neither came.
    pub took: Option<f64>,
    /// Whether the instance and its links were undisturbed meanwhile.
    pub calm: bool,
}

impl Run {
    /// Returns the line that an engine writes.
    pub fn line(&self) -> String {
        let Self {
            at,
            request,
            engine,
            deadline,
        } = self;
        let deadline = deadline.map_or("none".to_owned(), |deadline| deadline.to_string());
        format!("{at:.3} {request} {engine} {deadline}\n")
    }

    /// Parses a line.
    pub fn parse(line: &str) -> Option<Self> {
        let mut words = line.split(' ');
        Some(Self {
            at: words.next()?.parse().ok()?,
            request: words.next()?.to_owned(),
            engine: words.next()?.to_owned(),
            deadline: words.next()?.parse().ok(),
        })
    }
}

impl Asked {
    /// Returns whether the answer promises that the request has not run and never will.
    fn promised(&self) -> bool {
        matches!(self.status, Some(402 | 408 | 421 | 429 | 503))
    }
}

/// Compares runs and requests; returns kinds of findings with requests and details.
///
/// `drained` has the times at which the store took reports that engines drain, and `calm` returns
/// whether the instances were undisturbed before a time.
pub fn check(
    runs: &[Run],
    asked: &BTreeMap<String, Asked>,
    drained: &BTreeMap<String, f64>,
    calm: impl Fn(f64) -> bool,
) -> Vec<(Kind, String, String)> {
    let mut found = Vec::new();
    let mut by_request = BTreeMap::<&str, Vec<&Run>>::new();
    for run in runs {
        by_request.entry(&run.request).or_default().push(run);
    }
    let (mut excesses, mut times, mut late_times) = (Vec::new(), Vec::new(), Vec::new());
    // Runs long after the first one of their request.
    let mut repeats = 0;
    for (id, runs) in by_request {
        let mut note = |kind, details: String| found.push((kind, id.to_owned(), details));
        let Some(asked) = asked.get(id) else {
            note(Kind::Unasked, format!("{runs:?}"));
            continue;
        };
        if asked.once && runs.len() > 1 {
            note(Kind::Twice, format!("{runs:?}"));
        }
        if asked.promised() && asked.once {
            note(Kind::Refused, format!("{asked:?}, {runs:?}"));
        }
        let mut engines: Vec<_> = runs.iter().map(|run| &run.engine).collect();
        engines.sort_unstable();
        engines.dedup();
        if engines.len() > MAX_ENGINES {
            excesses.push((id, format!("{runs:?}")));
        }
        let first = runs[0];
        for run in &runs {
            let left = run.deadline.unwrap_or(f64::INFINITY);
            if left > asked.deadline + TIME_SLACK_S {
                times.push((id, format!("{asked:?}, {run:?}")));
            }
            if run.at > first.at + TIME_SLACK_S {
                repeats += 1;
                let first = first.at + first.deadline.unwrap_or(f64::INFINITY);
                let end = first.max(asked.sent + asked.deadline);
                if run.at + left > end + TIME_SLACK_S {
                    late_times.push((id, format!("{asked:?}, {runs:?}")));
                }
            }
            let drained = drained.get(&run.engine).filter(|at| run.at > *at + DRAIN_S);
            if let Some(at) = drained.filter(|_| calm(run.at)) {
                note(Kind::Drain, format!("drained at {at:.3}, {run:?}"));
            }
        }
    }
    let (most, share) = MAX_TIMES;
    let mut budget = |exceeded: bool, list: &[(&str, String)]| {
        if let Some((id, details)) = list.first().filter(|_| exceeded) {
            let details = format!("one of {}: {details}", list.len());
            found.push((Kind::Budget, (*id).to_owned(), details));
        }
    };
    budget(excesses.len() > MAX_EXCESSES, &excesses);
    for (list, all) in [(times, runs.len()), (late_times, repeats)] {
        let exceeded = list.len() > most && list.len() as f64 > share * all as f64;
        budget(exceeded, &list);
    }
    found.extend(answers(asked));
    found
}

/// Checks that requests are answered, and not long after their deadline.
fn answers(asked: &BTreeMap<String, Asked>) -> Vec<(Kind, String, String)> {
    let calm = || asked.iter().filter(|(_, asked)| asked.calm);
    let note = |kind, (id, asked): (&String, &Asked)| (kind, id.clone(), format!("{asked:?}"));
    let is_closed = |asked: &Asked| asked.took.is_some() && asked.status.is_none();
    let closed: Vec<_> = calm().filter(|(_, asked)| is_closed(asked)).collect();
    let silent = calm().filter(|(_, asked)| asked.took.is_none());
    let mut found: Vec<_> = silent.map(|one| note(Kind::Unanswered, one)).collect();
    if closed.len() > MAX_LOST {
        found.extend(closed.into_iter().map(|one| note(Kind::Lost, one)));
    }
    let lasting = |slack: f64| {
        let late =
            move |asked: &Asked| asked.took.is_some_and(|took| took > asked.deadline + slack);
        calm().filter(move |(_, asked)| late(asked))
    };
    let (most, share) = MAX_LATE;
    let late = lasting(LATE_S).count();
    if late > most && late as f64 > share * lasting(0.0).count() as f64 {
        found.extend(lasting(LATE_S).map(|one| note(Kind::Late, one)));
    }
    found
}
