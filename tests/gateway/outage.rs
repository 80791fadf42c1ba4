//! Guards budgets against a part of the deployment that takes itself for all of it.

use gypsumlever::gateway::outage::{
    Hearing,
    Outage,
    Probe, //
};

#[test]
fn outage_is_total_only_for_a_majority_of_all_known_instances() {
    // Known, live, asked, refusals, reaching.
    let cases = [
        // All others of a small deployment can't reach the log.
        (20, 20, 17, 17, 0, Outage::Total),
        // One of them can.
        (20, 20, 17, 16, 1, Outage::Alone),
        // A zone of 8 of 21 that is cut off sees nobody else.
        (20, 7, 4, 4, 0, Outage::Alone),
        (20, 20, 17, 7, 0, Outage::Alone),
        // A zone of 38 of 111 that has given the others up.
        (110, 37, 34, 34, 0, Outage::Alone),
        // A sample of a large deployment.
        (110, 110, 48, 48, 0, Outage::Total),
        (110, 110, 48, 16, 0, Outage::Alone),
        // The larger part of it during an outage, with a zone cut off.
        (110, 73, 48, 48, 0, Outage::Total),
        (110, 110, 48, 32, 0, Outage::Total),
        // Nobody to ask.
        (0, 0, 0, 0, 0, Outage::Alone),
        (1, 1, 0, 0, 0, Outage::Alone),
    ];
    for (known, live, asked, refusals, reaching, expected) in cases {
        let probe = Probe {
            known,
            live,
            asked,
            refusals,
            reaching,
        };
        assert_eq!(probe.outage(), expected, "{probe:?}");
    }
}

/// An instance that takes itself for cut off refuses turns, so one answer of another zone is enough.
#[test]
fn hearing_is_a_cut_only_without_any_other_zone() {
    // Other zones known, answers of the own zone, answers of others.
    let cases = [
        (true, 6, 6, None),
        (true, 0, 1, None),
        (true, 6, 0, Some(Outage::Zone)),
        (true, 0, 0, Some(Outage::Alone)),
        // Nobody else can tell in a deployment of one zone.
        (false, 6, 0, None),
        (false, 0, 0, None),
    ];
    for (zoned, near, away, expected) in cases {
        let hearing = Hearing {
            zoned,
            near,
            away,
            unsettled: false,
        };
        assert_eq!(hearing.cut(), expected, "{hearing:?}");
    }
}
