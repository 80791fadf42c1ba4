//! Guards streams against events that are split, repeated, out of order or truncated.

use gypsumlever::gateway::events::{
    Fault,
    Splitter, //
};
use proptest::prelude::*;

fn all(splitter: &mut Splitter) -> Result<Vec<u64>, Fault> {
    let mut ids = Vec::new();
    while let Some(event) = splitter.event()? {
        ids.push(event.id);
    }
    Ok(ids)
}

#[test]
fn event_needs_its_empty_line() {
    let cases = [
        ("id: 1\ndata: a\n\n", vec![1], false),
        ("id: 1\ndata: a\n\nid: 2\ndata: b\n", vec![1], true),
        ("id: 1\r\ndata: a\r\n\r\n", vec![1], false),
        ("weight-versions: 2\nid: 4\ndata: a\n\n", vec![4], false),
        ("id: 1\ndata: a", vec![], true),
    ];
    for (text, ids, partial) in cases {
        let mut splitter = Splitter::default();
        splitter.push(text.as_bytes());
        assert_eq!(all(&mut splitter), Ok(ids), "{text:?}");
        assert_eq!(splitter.partial(), partial, "{text:?}");
    }
}

/// Engines keep a connection alive by comments, which are no events without an identifier.
#[test]
fn event_takes_the_comments_before_it() {
    let cases = [
        (":\n\nid: 1\ndata: a\n\n", vec![1], 1, false),
        (
            ": a\r\n\r\n\n: b\n: c\n\nid: 1\n\nid: 2\n\n",
            vec![1, 2],
            2,
            false,
        ),
        ("id: 1\n\n: a\n\n", vec![1], 1, false),
        ("id: 1\n\n: a\n\nid: 2", vec![1], 1, true),
        (": a\n", vec![], 0, true),
    ];
    for (text, ids, events, partial) in cases {
        for length in [1, 2, 7, text.len()] {
            let mut splitter = Splitter::default();
            let (mut found, mut bytes) = (Vec::new(), Vec::new());
            for part in text.as_bytes().chunks(length) {
                splitter.push(part);
                while let Some(event) = splitter.event().unwrap() {
                    found.push(event.id);
                    bytes.extend_from_slice(&event.bytes);
                }
            }
            assert_eq!((found.len(), &found), (events, &ids), "{text:?}");
            assert!(text.as_bytes().starts_with(&bytes), "{text:?}");
            assert_eq!(splitter.partial(), partial, "{text:?}");
        }
    }
    // Comments without end are given up like an event without end.
    let mut splitter = Splitter::default();
    splitter.push(&b":\n\n".repeat(100_000));
    assert_eq!(splitter.event(), Err(Fault::TooLong));
}

#[test]
fn event_has_to_follow_the_last_one() {
    let cases = [
        ("id: 3\n\n", Err(Fault::Order)),
        ("id: 4\n\n", Ok(vec![4])),
        ("id: 4\n\nid: 4\n\n", Err(Fault::Order)),
        ("data: a\n\n", Err(Fault::Order)),
        ("id: x\n\n", Err(Fault::Order)),
    ];
    for (text, expected) in cases {
        let mut splitter = Splitter::after(Some(3));
        splitter.push(text.as_bytes());
        assert_eq!(all(&mut splitter), expected, "{text:?}");
    }
}

proptest! {
    /// The events and their bytes don't depend on how the stream is split into chunks.
    #[test]
    fn event_ignores_chunk_boundaries(cuts in proptest::collection::vec(0_usize..60, 0..6)) {
        let text = "id: 1\ndata: \u{e9}\u{20ac}\n\nid: 2\r\ndata: b\r\n\r\nid: 7\ndata: c\n\n".as_bytes();
        let mut cuts: Vec<_> = cuts.into_iter().map(|cut| cut.min(text.len())).collect();
        cuts.extend([0, text.len()]);
        cuts.sort_unstable();
        let mut splitter = Splitter::default();
        let (mut ids, mut bytes) = (Vec::new(), Vec::new());
        for cut in cuts.windows(2) {
            splitter.push(&text[cut[0]..cut[1]]);
            while let Some(event) = splitter.event().unwrap() {
                ids.push(event.id);
                bytes.extend_from_slice(&event.bytes);
            }
        }
        prop_assert_eq!(ids, [1, 2, 7]);
        prop_assert_eq!(bytes, text);
    }

    /// The splitter panics on no input.
    #[test]
    fn event_accepts_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut splitter = Splitter::default();
        splitter.push(&bytes);
        while let Ok(Some(_)) = splitter.event() {}
    }
}
