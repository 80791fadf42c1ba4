//! Logging: lines at the configured level must not be dropped, and JSON lines must be valid.

use std::sync::{
    Arc,
    Mutex, //
};

use gypsumlever::{
    config::{
        Format,
        Level, //
    },
    logs,
};
use log::Log as _;
use logforth::{
    bridge::log::LogBridge,
    record::Record,
    Append,
    Diagnostic,
    Error,
    Layout, //
};

/// Collects log lines in memory.
#[derive(Debug)]
struct Collector(Arc<Mutex<Vec<String>>>, Box<dyn Layout>);

impl Append for Collector {
    fn append(
        &self,
        record: &Record<'_>,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), Error> {
        let line = String::from_utf8(self.1.format(record, diagnostics)?).expect("UTF-8");
        self.0.lock().expect("lock").push(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn lines(level: Level, format: Format) -> Vec<String> {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let append = Collector(lines.clone(), logs::layout(format));
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(logs::filter(level)).append(append))
        .build();
    let bridge = LogBridge::new(logger);
    for target in ["gypsumlever::ledger", "gypsumleverd", "actix_server"] {
        for level in [log::Level::Warn, log::Level::Info, log::Level::Debug] {
            let text = format_args!("ledger: {target} \"{level}\"").to_string();
            let arguments = format_args!("{text}");
            let record = log::Record::builder()
                .target(target)
                .level(level)
                .args(arguments)
                .build();
            bridge.log(&record);
        }
    }
    let collected = lines.lock().expect("lock").clone();
    collected
}

#[test]
fn filter_table_of_levels() {
    let cases = [
        (Level::Error, 0),
        (Level::Warn, 3),
        (Level::Info, 5),
        (Level::Debug, 7),
        (Level::Trace, 9),
    ];
    for (level, count) in cases {
        assert_eq!(lines(level, Format::Text).len(), count, "{level:?}");
    }
}

#[test]
fn layout_of_formats() {
    let text = &lines(Level::Info, Format::Text)[0];
    assert!(
        text.contains("ledger: gypsumlever::ledger \"WARN\""),
        "{text}"
    );
    assert!(!text.contains('\u{1b}'), "{text}");
    let json = &lines(Level::Info, Format::Json)[0];
    let value: serde_json::Value = serde_json::from_str(json).expect("JSON");
    assert!(
        value.to_string().contains("ledger: gypsumlever::ledger"),
        "{json}"
    );
}
