//! Guards the time until instances serve again after all of them have restarted.

use std::{
    thread,
    time::{
        Duration,
        Instant, //
    },
};

use standin::store::{
    self,
    Faults, //
};

use crate::support::{
    configure,
    Instance, //
};

/// Time within which the platform requires service after a restart of all instances.
const RECOVERY: Duration = Duration::from_secs(12);

/// Guards against a restart of all instances after which no one ever reads the configuration: the
/// answers to all of them take longer than one call may, each gives up and asks again, and the store
/// is kept busy by answers that nobody waits for.
#[test]
fn restart_of_all_instances_with_large_configuration() {
    let store = store::start(store::Config::default()).unwrap();
    configure(&store, 1, 1_500);
    // The configuration has 0.3 MB, and 0.4 MB as a complete state.
    store.set_faults(Faults {
        read_bytes_per_s: 1_500_000,
        ..Faults::default()
    });
    let start = Instant::now();
    let processes: Vec<_> = (0..6)
        .map(|number| Instance::start(&format!("entry-{number}"), store.address()))
        .collect();
    let ready = || {
        processes
            .iter()
            .filter(|process| process.is_ready())
            .count()
    };
    while ready() < processes.len() {
        assert!(
            start.elapsed() < RECOVERY,
            "only {} of {} instances are ready",
            ready(),
            processes.len()
        );
        thread::sleep(Duration::from_millis(50));
    }
}
