//! Checks which holds an instance publishes, without other instances.

use std::{
    rc::Rc,
    time::Duration, //
};

use actix_web::rt::System;
use gypsumlever::{
    clock::Time,
    gateway::{
        fingerprint::Fingerprint,
        metrics::Metrics,
        registry::Server,
        reports::{
            Hold,
            Record,
            Reports, //
        },
    },
};
use tokio::sync::mpsc::Receiver;

fn reports() -> (Rc<Reports>, Receiver<Record>) {
    Reports::new(Metrics::new().unwrap())
}

fn server(id: &str) -> Server {
    Server {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        version: "v1".into(),
        slots: 4,
        draining: false,
        started: 1,
        report: 1,
    }
}

fn request() -> Fingerprint {
    Fingerprint {
        target: 1,
        content: 2,
    }
}

fn record(key: u64, until: Time) -> Record {
    let hold = Hold {
        service: "s".into(),
        until,
        holds: 1,
    };
    Record {
        key,
        hold: Some(hold),
    }
}

#[test]
fn record_crash_publishes_a_hold() {
    System::new().block_on(async {
        let (reports, mut queue) = reports();
        for id in ["i-1", "i-2", "i-3"] {
            assert!(queue.try_recv().is_err());
            reports.record_crash(&request(), &server(id));
        }
        let published = queue.try_recv().unwrap();
        assert_eq!(published.key, 1);
        assert!(published.hold.unwrap().until > Time::now());
        assert!(reports.held(&request()).is_some());
    });
}

/// A request that was under way when it was held back completes.
#[test]
fn record_completed_withdraws_a_hold() {
    System::new().block_on(async {
        let (reports, mut queue) = reports();
        for id in ["i-1", "i-2", "i-3"] {
            reports.record_crash(&request(), &server(id));
        }
        while queue.try_recv().is_ok() {}
        reports.record_completed(&request(), &server("i-4"));
        assert!(reports.held(&request()).is_none());
        let withdrawn = queue.try_recv().unwrap();
        assert_eq!((withdrawn.key, withdrawn.hold), (1, None));
    });
}

#[test]
fn wait_held_ends_with_a_hold_of_another_instance() {
    System::new().block_on(async {
        let (reports, _queue) = reports();
        let held = reports.wait_held(request());
        reports.learn_record(record(2, Time::now() + Duration::from_secs(60)));
        held.await;
        assert!(reports.held(&request()).is_some());
    });
}

/// The store keeps the latest record of a key for good.
#[test]
fn replace_records_removes_holds_that_ended_long_ago() {
    System::new().block_on(async {
        let (reports, mut queue) = reports();
        let now = Time::now();
        reports.replace_records(vec![
            record(1, now - Duration::from_secs(7_300)),
            record(2, now + Duration::from_secs(30)),
            record(3, now - Duration::from_secs(30)),
        ]);
        let removed = queue.try_recv().unwrap();
        assert_eq!((removed.key, removed.hold), (1, None));
        assert!(queue.try_recv().is_err());
        assert!(reports.held(&request()).is_some());
    });
}
