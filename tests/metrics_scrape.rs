//! Metrics: a scrape must show all reasons from the start, under the names that callers see.

use std::time::Duration;

use gypsumlever::{
    executor::request::Reason,
    metrics::{
        label::Label,
        Latency,
        Level,
        Metrics,
        Outcome,
        Retry, //
    },
    upstream::Usage,
};

/// Returns the value of a time series.
fn value(text: &str, series: &str) -> Option<f64> {
    let line = text.lines().find_map(|line| line.strip_prefix(series))?;
    line.trim().parse().ok()
}

#[test]
fn scrape_all_reasons_from_start() {
    let metrics = Metrics::new().expect("metrics");
    let text = metrics.scrape().expect("text");
    for (index, reason) in Reason::ALL.iter().enumerate() {
        assert_eq!(reason.index(), index);
        let name = serde_json::to_value(reason).expect("name");
        assert_eq!(name, reason.name());
        let series = format!("gypsumlever_refusals_total{{reason={name}}}");
        assert_eq!(value(&text, &series), Some(0.0), "{series}\n{text}");
    }
    for (index, reason) in Retry::ALL.iter().enumerate() {
        assert_eq!(reason.index(), index);
        let series = format!("gypsumlever_retries_total{{reason=\"{}\"}}", reason.name());
        assert_eq!(value(&text, &series), Some(0.0), "{series}\n{text}");
    }
    for level in Level::ALL {
        let series = format!("gypsumlever_{} ", level.name());
        assert_eq!(value(&text, &series), Some(0.0), "{series}\n{text}");
    }
}

#[test]
fn scrape_counts() {
    let metrics = Metrics::new().expect("metrics");
    let clone = metrics.clone();
    clone.refused(Reason::QueueFull);
    clone.refused(Reason::QueueFull);
    clone.retried(Retry::Owner);
    clone.called(Outcome::Done);
    clone.record_latency(Latency::FirstToken, Duration::from_millis(30));
    clone.set_level(Level::Programs, 5);
    clone.set_level(Level::Programs, 4);
    clone.record_usage(&Usage {
        prompt_tokens: 9,
        cached_tokens: 4,
        completion_tokens: 2,
    });
    let text = metrics.scrape().expect("text");
    let cases = [
        ("gypsumlever_refusals_total{reason=\"queue_full\"}", 2.0),
        ("gypsumlever_retries_total{reason=\"home\"}", 1.0),
        ("gypsumlever_upstream_calls_total{outcome=\"done\"}", 1.0),
        ("gypsumlever_tokens_total{kind=\"cached\"}", 4.0),
        ("gypsumlever_first_token_seconds_bucket{le=\"0.02\"}", 0.0),
        ("gypsumlever_first_token_seconds_bucket{le=\"0.05\"}", 1.0),
        ("gypsumlever_programs ", 4.0),
    ];
    for (series, count) in cases {
        assert_eq!(value(&text, series), Some(count), "{series}\n{text}");
    }
}
