//! Guards what an instance keeps of the streams of others.

use gypsumlever::{
    clock::Time,
    gateway::origin::{
        identify,
        Beginning,
        Origin,
        Origins, //
    },
};

fn beginning(version: &str) -> Beginning {
    Beginning {
        origin: Origin {
            service: "s".into(),
            version: version.into(),
        },
        upstream: "i-0".into(),
        started: 1,
        proved: false,
        age_ms: 0,
    }
}

#[test]
fn origins_keep_recent_streams_apart() {
    let (origins, now) = (Origins::default(), Time(0));
    let record = |id: &str, version| origins.record(now, identify(id), beginning(version));
    let get = |id: &str| origins.get(now, identify(id));
    record("r1", "v1");
    record("r2", "v2");
    assert_eq!(get("r1"), Some(beginning("v1")));
    assert_eq!(get("r2"), Some(beginning("v2")));
    assert_eq!(get("r3"), None);
    // The memory is bounded, whatever the number of streams.
    for number in 0..10_000 {
        record(&format!("s{number}"), "v1");
    }
    assert_eq!(get("r1"), None);
    assert_eq!(get("s9999"), Some(beginning("v1")));
}

/// A record that seemed to be new would be taken for proved by reads before the stream began.
#[test]
fn origins_add_the_age_of_a_record() {
    let origins = Origins::default();
    let received = Beginning {
        age_ms: 40,
        ..beginning("v1")
    };
    origins.record(Time(1_000_000), identify("r1"), received);
    let kept = origins.get(Time(1_500_000), identify("r1")).unwrap();
    assert_eq!(kept.age_ms, 540);
}

/// Instances of older builds send the service and the version only; such a record proves nothing.
#[test]
fn beginning_of_an_older_build_is_unproved() {
    let old = Origin {
        service: "s".into(),
        version: "v1".into(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&old, &mut bytes).unwrap();
    let read: Beginning = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!((read.origin, read.proved, read.started), (old, false, 0));
    let mut bytes = Vec::new();
    ciborium::into_writer(&beginning("v2"), &mut bytes).unwrap();
    let read: Origin = ciborium::from_reader(&bytes[..]).unwrap();
    assert_eq!(read, beginning("v2").origin);
}
