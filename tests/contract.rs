//! Guards against contracts that pass validation with an invalid limit.

use gypsumlever::contract::{
    Contract,
    Fault,
    Limits,
    Raw, //
};

fn raw() -> Raw {
    Raw {
        customer: "sirag".into(),
        budget_micros: 1,
        share: 1,
        programs: 1,
        ..Raw::default()
    }
}

#[test]
fn try_from_table_of_faults() {
    let cases: Vec<(Raw, Fault)> = vec![
        (Raw { share: 0, ..raw() }, Fault::Share(0)),
        (
            Raw {
                share: 1_001,
                ..raw()
            },
            Fault::Share(1_001),
        ),
        (
            Raw {
                programs: 0,
                ..raw()
            },
            Fault::Zero("programs"),
        ),
        (
            Raw {
                limits: Limits {
                    turns: 0,
                    ..Limits::default()
                },
                ..raw()
            },
            Fault::Zero("limits.turns"),
        ),
        (
            Raw {
                key_sha256: Some("xyz".into()),
                ..raw()
            },
            Fault::Digest,
        ),
    ];
    for (raw, fault) in cases {
        assert_eq!(Contract::try_from(raw), Err(fault));
    }
    assert!(Contract::try_from(raw()).is_ok());
}
