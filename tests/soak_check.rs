//! Tests the checks of the soak of event streams, which have to find each kind of broken stream.

#[path = "../examples/soak/check.rs"]
mod check;

use check::{
    event_end,
    head,
    Checker,
    Content,
    Form,
    Kind,
    VERSIONS, //
};

const BODY: &str = "prompt 1 padding=20";

fn content(version: usize) -> Content {
    Content::new("s", VERSIONS[version], BODY)
}

/// Returns a checker that received some events of a run.
fn checker(resumable: bool, events: u64) -> Checker {
    let mut checker = Checker::new("s", BODY, resumable);
    for number in 1..=events {
        let event = content(0).event(number, "a");
        assert_eq!(checker.event(&event), Ok(()));
    }
    checker
}

#[test]
fn whole_stream_is_complete() {
    let checker = checker(false, content(0).total);
    assert!(checker.complete());
    assert_eq!(checker.end(b""), Ok(()));
    assert_eq!(checker.runs(), ["a"]);
}

#[test]
fn resumed_stream_is_complete() {
    let mut checker = checker(true, 2);
    checker.resume(true);
    for number in 3..=content(0).total {
        assert_eq!(checker.event(&content(0).event(number, "b")), Ok(()));
    }
    assert_eq!(checker.end(b""), Ok(()));
    assert_eq!(checker.runs(), ["a", "b"]);
}

#[test]
fn early_end_is_found() {
    let checker = checker(true, content(0).total - 1);
    assert_eq!(checker.end(b""), Err(Kind::EarlyEnd));
}

#[test]
fn end_in_an_event_is_found() {
    let checker = checker(true, content(0).total);
    assert_eq!(checker.end(b"id: "), Err(Kind::EarlyEnd));
}

#[test]
fn missing_event_is_found() {
    let mut checker = checker(true, 2);
    let event = content(0).event(4, "a");
    assert_eq!(checker.event(&event), Err(Kind::Missing));
    assert_eq!(checker.last(), 4);
}

#[test]
fn repeated_event_is_found() {
    let event = content(0).event(2, "a");
    assert_eq!(checker(true, 2).event(&event), Err(Kind::Repeated));
}

#[test]
fn repeated_content_with_a_new_number_is_found() {
    let event = content(0).event(2, "a").replace("id: 2", "id: 3");
    assert_eq!(checker(true, 2).event(&event), Err(Kind::Repeated));
}

#[test]
fn event_of_another_request_is_found() {
    let other = Content::new("s", VERSIONS[0], "prompt 2 padding=20");
    let event = other.event(3, "a");
    assert_eq!(checker(true, 2).event(&event), Err(Kind::Foreign));
}

#[test]
fn event_of_another_service_is_found() {
    let other = Content::new("t", VERSIONS[0], BODY);
    let event = other.event(3, "a");
    assert_eq!(checker(true, 2).event(&event), Err(Kind::Foreign));
}

#[test]
fn bytes_that_are_no_event_are_found() {
    assert_eq!(checker(true, 2).event("id: 3\n\n"), Err(Kind::Foreign));
}

#[test]
fn event_of_another_version_is_found() {
    for (named, kind) in [(true, Kind::Version), (false, Kind::UnnamedVersion)] {
        let mut checker = checker(true, 2);
        checker.resume(named);
        assert_eq!(checker.event(&content(1).event(3, "b")), Err(kind));
    }
}

#[test]
fn second_run_of_a_stream_that_cannot_be_resumed_is_found() {
    let event = content(0).event(3, "b");
    assert_eq!(checker(false, 2).event(&event), Err(Kind::Runs));
}

#[test]
fn run_that_comes_again_is_found() {
    let mut checker = checker(true, 2);
    assert_eq!(checker.event(&content(0).event(3, "b")), Ok(()));
    let event = content(0).event(4, "a");
    assert_eq!(checker.event(&event), Err(Kind::Runs));
}

#[test]
fn head_without_signature_or_of_another_request_is_found() {
    assert_eq!(head("r1", Some("r1"), true), Ok(()));
    assert_eq!(head("r1", Some("r1"), false), Err(Kind::Unsigned));
    assert_eq!(head("r1", Some("r2"), true), Err(Kind::Foreign));
    assert_eq!(head("r1", None, true), Err(Kind::Foreign));
}

const FORMS: [(Form, &str); 4] = [
    (Form::Plain, "a/Plain"),
    (Form::Crlf, "a/Crlf"),
    (Form::Comments, "a/Comments"),
    (Form::Lines, "a/Lines"),
];

// A form that the checker does not read makes sound streams look broken.
#[test]
fn events_of_all_forms_are_complete() {
    for (form, run) in FORMS {
        let mut checker = Checker::new("s", BODY, true);
        let numbers = 1..=content(0).total;
        let text: String = numbers
            .map(|number| content(0).event_in(form, number, run))
            .collect();
        let mut rest = text.as_bytes();
        while let Some(end) = event_end(rest) {
            let event = std::str::from_utf8(&rest[..end]).unwrap();
            assert_eq!(checker.event(event), Ok(()), "{event:?}");
            rest = &rest[end..];
        }
        assert_eq!(checker.end(rest), Ok(()), "{form:?}");
        assert_eq!(checker.runs(), [run]);
    }
}

// A gateway that writes other line ends than its engine changes the answer.
#[test]
fn changed_line_end_is_found() {
    let text = content(0).event_in(Form::Crlf, 3, "a/Crlf");
    let changed = text.replace("\r\n", "\n");
    assert_eq!(checker(true, 2).event(&changed), Err(Kind::Foreign));
}

// A gateway that joins the start of one event and the rest of another one shows two numbers.
#[test]
fn joined_events_are_found() {
    let event = content(0).event(3, "a");
    let joined = format!("{}{event}", event.trim_end().to_owned() + "\n");
    assert_eq!(checker(true, 2).event(&joined), Err(Kind::Foreign));
}
