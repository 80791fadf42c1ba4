//! Guards what an instance keeps of the streams of others.

use gypsumlever::gateway::origin::{
    identify,
    Origin,
    Origins, //
};

fn origin(version: &str) -> Origin {
    Origin {
        service: "s".into(),
        version: version.into(),
    }
}

#[test]
fn origins_keep_recent_streams_apart() {
    let origins = Origins::default();
    origins.record(identify("r1"), origin("v1"));
    origins.record(identify("r2"), origin("v2"));
    assert_eq!(origins.get(identify("r1")), Some(origin("v1")));
    assert_eq!(origins.get(identify("r2")), Some(origin("v2")));
    assert_eq!(origins.get(identify("r3")), None);
    // The memory is bounded, whatever the number of streams.
    for number in 0..10_000 {
        origins.record(identify(&format!("s{number}")), origin("v1"));
    }
    assert_eq!(origins.get(identify("r1")), None);
    assert_eq!(origins.get(identify("s9999")), Some(origin("v1")));
}
