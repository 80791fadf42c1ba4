//! Checks what an instance knows about the limits that upstreams name.

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    gateway::{
        limit::{
            Change,
            Message,
            Notice,
            Notices, //
        },
        registry::Server,
    },
};

fn time(ms: u64) -> Time {
    Time(10_000_000_000 + ms * 1_000)
}

fn server(started: u64) -> Server {
    Server {
        id: "i-1".into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started,
        report: 1,
    }
}

fn notice(ms: u64, started: u64, rate: Option<f64>) -> Notice {
    Notice::new(time(ms), &server(started), rate)
}

#[test]
fn record_keeps_the_latest_notice() {
    let mut notices = Notices::default();
    assert_eq!(notices.record(notice(0, 1, None)), Change::None);
    assert_eq!(notices.record(notice(10, 1, Some(4.0))), Change::Named);
    assert_eq!(notices.record(notice(20, 1, Some(4.1))), Change::None);
    assert_eq!(notices.rate(&server(1)), Some(4.1));
    assert_eq!(notices.record(notice(30, 1, Some(8.0))), Change::Named);
    assert_eq!(notices.record(notice(40, 1, None)), Change::Ended);
    assert_eq!(notices.rate(&server(1)), None);
    // An answer of before the end arrives late, through another instance.
    assert_eq!(notices.record(notice(35, 1, Some(8.0))), Change::None);
    assert_eq!(notices.rate(&server(1)), None);
}

#[test]
fn record_drops_the_limit_with_the_start_of_the_upstream() {
    let mut notices = Notices::default();
    notices.record(notice(0, 1, Some(4.0)));
    assert_eq!(notices.rate(&server(2)), None);
    notices.record(notice(10, 2, Some(6.0)));
    assert_eq!(notices.record(notice(20, 1, Some(1.0))), Change::None);
    assert_eq!(notices.rate(&server(2)), Some(6.0));
    notices.retain(|upstream| upstream != "i-1");
    assert_eq!(notices.rate(&server(2)), None);
}

#[test]
fn message_carries_the_age_and_not_the_time() {
    let sent = notice(100, 1, Some(2.5));
    let message = Message::new(time(300), &sent);
    // The clock of the receiver is ten seconds ahead.
    let received = message.notice(time(10_300)).unwrap();
    assert_eq!(received.at, time(10_300) - Duration::from_millis(200));
    assert_eq!(received.rate, Some(2.5));
}

#[test]
fn message_with_an_invalid_rate_is_no_notice() {
    for rate in [f64::NAN, f64::INFINITY, -1.0] {
        let message = Message::new(time(0), &notice(0, 1, Some(rate)));
        assert_eq!(message.notice(time(0)), None);
    }
}
