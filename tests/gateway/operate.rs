//! Guards operators against views that are missing, and against refusals that can't be explained.

use std::{
    sync::Arc,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    gateway::{
        operate::{
            Refusals,
            Refused, //
        },
        view::Report,
    },
};

use crate::support::{
    get,
    request,
    Deployment, //
};

fn refused(request: &str, status: u16) -> Refused {
    Refused {
        time: Time(5_000_000),
        request: request.into(),
        program: "p".into(),
        status,
        reason: "no_route",
        retry_after: Some(Duration::from_millis(20)),
        took: Duration::from_millis(3),
        version: 7,
    }
}

#[test]
fn report_attempts_of_one_request() {
    let refusals = Refusals::default();
    for (id, status) in [("a", 503), ("b", 404), ("a", 402)] {
        refusals.record(refused(id, status));
    }
    let report = refusals.report("a");
    let row = ["a", "5000", "p", "503", "no_route", "20", "3", "7"];
    assert_eq!(report.rows.len(), 2);
    assert_eq!(report.rows[0], row);
    assert_eq!(report.rows[1][3], "402");
    assert!(refusals.report("c").rows.is_empty());
}

/// Guards against memory that grows with the number of refusals or with what callers send.
#[test]
fn record_bounds() {
    let refusals = Refusals::default();
    let long: Arc<str> = "é".repeat(10_000).into();
    refusals.record(refused(&long, 503));
    let found = refusals.report(&long);
    assert_eq!(found.rows.len(), 1);
    assert!(found.rows[0][0].len() <= 128);
    for number in 0..512 {
        refusals.record(refused(&number.to_string(), 503));
    }
    assert!(refusals.report(&long).rows.is_empty());
    assert_eq!(refusals.report("0").rows.len(), 1);
    refusals.record(refused("last", 503));
    assert!(refusals.report("0").rows.is_empty());
    assert_eq!(refusals.report("1").rows.len(), 1);
}

fn view(deployment: &Deployment, path: &str) -> Report {
    let answer = get(deployment.metrics, path);
    assert_eq!(answer.status(), 200, "{path}");
    serde_json::from_slice(&answer.body).expect("a report")
}

#[test]
fn routes_of_all_views() {
    let deployment = Deployment::start(&[]);
    assert_eq!(
        deployment
            .request(&request("GET", "/none/x", "", ""))
            .status(),
        404
    );
    let report = view(&deployment, "/operator/requests/r1");
    assert_eq!(report.rows.len(), 1);
    assert_eq!(report.rows[0][3..5], ["404", "no_route"]);
    assert!(view(&deployment, "/operator/requests/r2").rows.is_empty());
    for name in ["tenants", "histories"] {
        let report = view(&deployment, &format!("/operator/{name}"));
        assert!(!report.columns.is_empty(), "{name}");
    }
    // Callers must not read them.
    let answer = get(deployment.callers, "/operator/tenants");
    assert_ne!(answer.status(), 200);
}
