//! Guards against events that depend on how the network splits the stream, and against panics.

use gypsumlever::upstream::sse::{
    Fault,
    Parser, //
};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{
        Config,
        RngAlgorithm,
        RngSeed, //
    },
};

const LIMIT: usize = 64;

fn config() -> Config {
    Config {
        cases: 2_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Parses parts in sequence, up to the first fault.
fn parse<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> (Vec<String>, Option<Fault>) {
    let mut parser = Parser::new(LIMIT);
    let mut events = Vec::new();
    for part in parts {
        parser.push(part);
        loop {
            match parser.event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(fault) => return (events, Some(fault)),
            }
        }
    }
    (events, None)
}

/// Reference parser of a complete text, written after the standard.
fn reference(text: &str) -> Vec<String> {
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let mut events = Vec::new();
    let mut data: Option<String> = None;
    let end = text.rfind('\n').map_or(0, |at| at + 1);
    for line in text[..end].lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        if line.is_empty() {
            events.extend(data.take());
        } else if field == "data" {
            let value = value.strip_prefix(' ').unwrap_or(value);
            data = Some(data.map_or(value.into(), |before| format!("{before}\n{value}")));
        }
    }
    events
}

proptest! {
    #![proptest_config(config())]

    /// The same bytes give the same events for any split.
    #[test]
    fn event_any_split(
        tokens in vec(prop::sample::select(vec![
            "data", "data:", "data: x", "\n", "\r", "\r\n", "\n\n", ":", " ", "é", "id: 7", "\u{feff}",
        ]), 0..24),
        splits in vec(0..64_usize, 0..8),
    ) {
        let text = tokens.concat();
        let mut cuts: Vec<_> = splits.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let parts = cuts.windows(2).map(|pair| &text.as_bytes()[pair[0]..pair[1]]);
        let (events, fault) = parse(parts);
        if fault.is_none() {
            prop_assert_eq!(&events, &reference(&text));
        }
        prop_assert_eq!((events, fault), parse([text.as_bytes()]));
    }

    /// Arbitrary bytes cause neither a panic nor an event longer than the limit.
    #[test]
    fn event_any_bytes(parts in vec(vec(any::<u8>(), 0..40), 0..20)) {
        let (events, _) = parse(parts.iter().map(Vec::as_slice));
        prop_assert!(events.iter().all(|event| event.len() <= LIMIT));
    }
}

#[test]
fn event_table_of_faults() {
    let long = "x".repeat(LIMIT + 1);
    let cases = [
        (format!("data:{long}\n\n"), Fault::TooLong(LIMIT)),
        (format!("data:{long}"), Fault::TooLong(LIMIT)),
        (format!(":{long}\n"), Fault::TooLong(LIMIT)),
        ("data:xxxxxxxxxxxxxxx\n".repeat(5), Fault::TooLong(LIMIT)),
    ];
    for (text, fault) in cases {
        assert_eq!(parse([text.as_bytes()]), (vec![], Some(fault)), "{text}");
    }
    let found = parse([&b"data: a\n\ndata: \xff\n\n"[..]]);
    assert_eq!(found, (vec!["a".to_owned()], Some(Fault::Encoding)));
}

/// An event is complete at its empty line, even if that ends in CR. Waiting for a possible LF would
/// delay each event until the next one.
#[test]
fn event_not_delayed() {
    assert_eq!(parse([&b"data: a\r\r"[..]]).0, ["a"]);
    assert_eq!(
        parse([&b"data: a\r\n\r"[..], b"\n", b"data: b\n", b"\n"]).0,
        ["a", "b"]
    );
}
