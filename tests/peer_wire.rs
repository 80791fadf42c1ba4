//! Guards against frames that crash the process, needlessly end a link or are too large.

use std::time::Duration;

use gypsumlever::{
    clock::Time,
    executor::request::{
        Call,
        Event,
        Reason,
        Request, //
    },
    gateway::configuration::Document,
    ledger::record::{
        self,
        Record, //
    },
    member::{
        Departure,
        Entry,
        State, //
    },
    money::Money,
    name::{
        Class,
        Customer,
        Instance,
        Pool,
        Program,
        Upstream,
        Zone, //
    },
    peer::{
        wire::{
            Body,
            Frame,
            Heartbeat,
            Hello,
            News, //
        },
        Secret,
        Settings, //
    },
    policy::call,
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

fn entry(name: &str) -> Entry {
    Entry {
        instance: Instance::try_from(name).unwrap(),
        incarnation: 1_796_330_113,
        state: State::Live,
        zone: Zone::try_from("cairo-a").unwrap(),
        address: "10.20.30.40:7001".into(),
        capacity: 0,
        started: 0,
    }
}

fn pool() -> Pool {
    Pool::try_from("advice").unwrap()
}

fn bodies() -> Vec<Body> {
    let customer = Customer::try_from("sirag").unwrap();
    let program = Program::try_from("cairo-a.0198-7").unwrap();
    let upstream = Upstream::try_from("engine-3").unwrap();
    let update = News {
        entries: vec![entry("i-1"), entry("i-2")],
        departures: vec![Departure {
            pool: pool(),
            upstream: upstream.clone(),
            version: 7,
            leaving: true,
        }],
        no_forward: true,
        requested_groups: vec![3, 64],
    };
    vec![
        Body::Heartbeat(Heartbeat {
            entry: entry("i-1"),
            load: 3,
            applied: vec![1_000_000],
            highest_applied: vec![1_000_001],
            digest: u64::MAX,
            update: update.clone(),
        }),
        Body::Rumor(update),
        Body::Digest(vec![u32::MAX; 65]),
        Body::Call(Request {
            id: "r-1".into(),
            customer: customer.clone(),
            class: Class::try_from("chat").unwrap(),
            program: Some(program.clone()),
            turn: Some(3),
            seen: 3,
            key: None,
            deadline: Time(5),
            call: Call::Service {
                pool: pool(),
                operation: "cut".into(),
                body: "{}".into(),
            },
        }),
        Body::Event(Event::Text {
            offset: 5,
            text: "hello".into(),
        }),
        Body::Cancel,
        Body::Credit(16),
        Body::Ask {
            pool: pool(),
            call: call::Call {
                customer: customer.clone(),
                share: 1,
                class: Class::try_from("chat").unwrap(),
                interactive: true,
                program: Some(program),
                attained: 10,
                prefix: 20,
                cost: 30,
                deadline: Time(9),
                idempotent: true,
                excluded: vec![upstream.clone()],
            },
        },
        Body::Grant {
            grant: 9,
            upstream,
            address: "10.0.0.1:8000".into(),
        },
        Body::Deny {
            reason: Reason::QueueFull,
            retry_after_ms: Some(100),
        },
        Body::Done {
            grant: 9,
            report: call::Report::default(),
        },
        Body::Withdraw { grant: 9 },
        Body::Hold(Record {
            id: uuid::Uuid::from_u128(7),
            customer,
            author: Instance::try_from("i-1").unwrap(),
            at: Time(4),
            body: record::Body::Reserve { amount: Money(5) },
        }),
        Body::Held,
        Body::Fetch {
            partition: 1,
            from: 2,
        },
        Body::Chunk {
            partition: 1,
            offset: 2,
            bytes: vec![0; 300].into(),
        },
        Body::FindConfiguration(Some(7)),
        Body::Configuration(Some(Document(b"{}".as_slice().into()))),
        Body::Configuration(None),
        Body::Retire,
        Body::Empty,
        Body::Unsupported,
        Body::Unknown,
    ]
}

fn frame(body: Body) -> Frame {
    Frame {
        id: 1_000,
        reply: true,
        last: false,
        body,
    }
}

#[test]
fn decode_reverses_encode() {
    for body in bodies() {
        let frame = frame(body);
        assert_eq!(Frame::decode(&frame.encode()).unwrap(), frame);
    }
}

#[test]
fn decode_truncated() {
    // A truncated body is ignored; it must not decode to another body.
    for body in bodies() {
        let original = frame(body);
        let bytes = original.encode();
        for length in 0..bytes.len() {
            if let Ok(part) = Frame::decode(&bytes[..length]) {
                assert_eq!(part, frame(Body::Unknown));
            }
        }
    }
}

#[test]
fn encode_sizes() {
    // Control traffic is limited, and an accidental growth of a frame multiplies with the number
    // of instances.
    let limits = [
        ("heartbeat", Body::Heartbeat(idle_heartbeat()), 125),
        ("grant", bodies().remove(8), 55),
        ("withdraw", Body::Withdraw { grant: 9 }, 15),
        ("digest", Body::Digest(vec![u32::MAX; 65]), 340),
    ];
    for (case, body, limit) in limits {
        let size = frame(body).encode().len();
        assert!(size <= limit, "{case} has {size} bytes");
    }
}

fn idle_heartbeat() -> Heartbeat {
    Heartbeat {
        entry: entry("i-0123456789"),
        load: 300,
        applied: vec![1_000_000],
        highest_applied: vec![1_000_001],
        digest: u64::MAX,
        update: News::default(),
    }
}

#[test]
fn hello_table_of_versions() {
    // (version, lowest) of both sides, and the version that they use.
    let cases = [
        ((1, 1), (1, 1), Some(1)),
        ((2, 1), (1, 1), Some(1)),
        ((1, 1), (2, 1), Some(1)),
        ((3, 2), (2, 1), Some(2)),
        ((3, 2), (1, 1), None),
        ((1, 1), (3, 2), None),
        ((u32::MAX, 0), (1, 1), Some(1)),
    ];
    for ((version, lowest), (local, local_lowest), expected) in cases {
        let hello = Hello {
            version,
            lowest,
            cluster: "c".into(),
            entry: entry("i-1"),
            secret: "s".into(),
        };
        assert_eq!(hello.common(local, local_lowest), expected);
        assert_eq!(Hello::decode(&hello.encode()).unwrap(), hello);
    }
}

#[test]
fn matches_table_of_secrets() {
    let secret = Secret::from("correct".to_owned());
    let cases = [
        ("correct", true),
        ("Correct", false),
        ("correct ", false),
        ("correc", false),
        ("", false),
    ];
    for (other, expected) in cases {
        assert_eq!(secret.matches(other), expected, "{other:?}");
    }
    assert_eq!(format!("{secret:?}"), "Secret");
}

#[test]
fn decode_table_of_hostile_bodies() {
    let cases: [(&str, Vec<u8>); 4] = [
        ("deep nesting", vec![0x81; 1 << 20]),
        ("deep tags", vec![0xc1; 1 << 20]),
        (
            "endless bytes",
            vec![0x5b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
        ),
        (
            "endless array",
            [&b"\xa1\x62dg\x9b"[..], &[0xff; 8]].concat(),
        ),
    ];
    for (case, body) in cases {
        let message = [&[0x82, 0x01, 0x00][..], &body].concat();
        assert_eq!(
            Frame::decode(&message).unwrap().body,
            Body::Unknown,
            "{case}"
        );
    }
}

#[test]
fn settings_from_yaml() {
    let base = "{cluster: c, instance: i, zone: z, listen: '127.0.0.1:7001', secret: s";
    let settings: Settings = serde_saphyr::from_str(&format!("{base}}}")).unwrap();
    assert_eq!(settings.silence, Duration::from_secs(3));
    assert_eq!(settings.advertised(), "127.0.0.1:7001");
    let given = format!("{base}, silence: 5s, address: 'h:1'}}");
    let settings: Settings = serde_saphyr::from_str(&given).unwrap();
    assert_eq!(settings.silence, Duration::from_secs(5));
    assert_eq!(settings.advertised(), "h:1");
    for wrong in ["silence: 5", "silense: 5s", "listen: x"] {
        let text = format!("{base}, {wrong}}}");
        assert!(
            serde_saphyr::from_str::<Settings>(&text).is_err(),
            "{wrong}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn decode_random_bytes(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = Frame::decode(&bytes);
        let _ = Hello::decode(&bytes);
    }

    #[test]
    fn decode_random_body(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let header = [0x82, 0x18, 0x2a, 0x00];
        let message = [&header[..], &bytes].concat();
        prop_assert_eq!(Frame::decode(&message).unwrap().id, 42);
    }

    #[test]
    fn decode_damaged(kind in 0_usize..20, at in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = frame(bodies().remove(kind)).encode();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = Frame::decode(&bytes);
    }
}
