//! Guards streams against going on at a process that their instance takes for another: the entry or the
//! address of an engine stands for a process only until it starts again.

use std::net::SocketAddr;

use crate::support::{
    get,
    Action,
    Upstream, //
};

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// An upstream of these tests that said the start of another process would hide each of the faults.
#[test]
fn report_names_the_start_of_its_own_process() {
    let old = Upstream::start_born(ANY, 1, |_, _| Action::Silent);
    let report = get(old.address, "/v1/report");
    assert!(report.text().contains(r#""born":1,"#), "{}", report.text());
    old.crash();
    let new = Upstream::start_born(old.address, 2, |_, _| Action::Silent);
    let report = get(old.address, "/v1/report");
    assert!(report.text().contains(r#""born":2,"#), "{}", report.text());
    assert_eq!((old.reports(), new.reports()), (1, 1));
    let unnamed = Upstream::start(|_, _| Action::Silent);
    assert_eq!(get(unnamed.address, "/v1/report").status(), 404);
    assert_eq!(unnamed.requests().len() + new.requests().len(), 0);
}
