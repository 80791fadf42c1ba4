//! Guards against gossip that misses members, is slow, or whose cost grows with the deployment.

mod gossip_net;

use std::time::Duration;

use gossip_net::{
    Net,
    Strategy, //
};
use gypsumlever::{
    member::gossip::Tuning,
    name::Zone, //
};

#[test]
fn change_reaches_all_members() {
    for (size, missing, loss) in [
        (2, 0.0, 0.0),
        (3, 0.0, 0.05),
        (23, 0.1, 0.05),
        (100, 0.1, 0.05),
    ] {
        let mut net = Net::new(size, Strategy::Gossip(Tuning::default()), missing, loss, 1);
        net.run(Duration::from_secs(5), |_, _, _| false);
        let times = net.spread_departure("engine-1");
        assert_eq!(times.len(), net.up_count() - 1, "{size}");
        let last = times.last().copied().unwrap_or_default();
        assert!(last < 5_000.0, "{size} members: {last} ms");
    }
}

/// Waits until the lowest and the highest number of members in use are `live`; returns the seconds
/// that it took and the peak cost per member in B/s.
fn wait_live(net: &mut Net, live: (usize, usize)) -> (usize, f64) {
    let mut peak = 0.0_f64;
    for second in 0..60 {
        if net.live_range() == live {
            return (second, peak);
        }
        let before = net.bytes;
        net.run(Duration::from_secs(1), |_, _, _| false);
        peak = peak.max((net.bytes - before) as f64 / net.up_count() as f64);
    }
    panic!(
        "members use {:?} others after 60 s, not {live:?}",
        net.live_range()
    );
}

#[test]
fn partition_ends() {
    // Zones that regard each other's instances as gone must reconnect after a partition, although
    // no instance restarted and no list names the instances.
    for size in sizes("6 60") {
        let mut net = Net::new(size, Strategy::Gossip(Tuning::default()), 0.0, 0.0, 3);
        net.run(Duration::from_secs(5), |_, _, _| false);
        net.partitioned = Some(Zone::try_from("cairo-0").unwrap());
        let third = size.div_ceil(3);
        let (apart, apart_peak) = wait_live(&mut net, (third, size - third));
        net.run(Duration::from_secs(30), |_, _, _| false);
        net.partitioned = None;
        let (joined, joined_peak) = wait_live(&mut net, (size, size));
        println!("| {size} | {apart} | {apart_peak:.0} | {joined} | {joined_peak:.0} |");
        net.run(Duration::from_secs(30), |_, _, _| false);
        assert_eq!(net.live_range(), (size, size));
        let before = net.bytes;
        net.run(Duration::from_secs(10), |_, _, _| false);
        let bytes = (net.bytes - before) as f64 / size as f64 / 10.0;
        assert!(
            bytes < 450.0,
            "{size} members, idle after the partition: {bytes} B/s"
        );
    }
}

#[test]
fn round_cost_does_not_grow() {
    // The limit for all control traffic is 9 KB/s per instance.
    for size in [3, 23, 100, 300] {
        let mut net = Net::new(size, Strategy::Gossip(Tuning::default()), 0.0, 0.0, 1);
        net.run(Duration::from_secs(20), |_, _, _| false);
        let bytes = net.bytes as f64 / size as f64 / 20.0;
        let messages = net.messages as f64 / size as f64 / 20.0;
        assert!(bytes < 450.0, "{size} members: {bytes} B/s");
        assert!(messages < 2.2, "{size} members: {messages}/s");
    }
}

/// Returns the deployment sizes to measure.
fn sizes(default: &str) -> Vec<usize> {
    let sizes = std::env::var("GOSSIP_SIZES").unwrap_or_else(|_| default.to_owned());
    let parsed = sizes.split_whitespace().map(|size| size.parse().unwrap());
    parsed.collect()
}

/// Returns the number of changes to measure; with many members, the costly strategies take
/// minutes for each.
fn changes(size: usize, strategy: Strategy) -> usize {
    if matches!(strategy, Strategy::All | Strategy::Tables) && size > 500 {
        1
    } else {
        10
    }
}

/// Measures one strategy with a fixed seed; returns a row of `docs/gossip.md` and the number of
/// members that were not reached.
fn measure(label: &str, size: usize, strategy: Strategy, faults: bool) -> (String, usize) {
    let (missing, loss) = if faults { (0.1, 0.05) } else { (0.0, 0.0) };
    let mut net = Net::new(size, strategy, missing, loss, 42);
    net.run(Duration::from_secs(5), |_, _, _| false);
    let present = net.up_count() as f64;
    let before = (net.messages, net.bytes);
    net.run(Duration::from_secs(10), |_, _, _| false);
    let messages = (net.messages - before.0) as f64 / 10.0 / present;
    let bytes = (net.bytes - before.1) as f64 / 10.0 / present;
    let (before, start) = (net.bytes, net.now);
    let (mut times, mut missed) = (Vec::new(), 0);
    let changes = changes(size, strategy);
    for number in 0..changes {
        let reached = net.spread_departure(&format!("engine-{number}"));
        missed += net.up_count() - 1 - reached.len();
        times.extend(reached);
        net.run(Duration::from_secs(10), |_, _, _| false);
    }
    let spent = net.now.since(start).as_secs_f64();
    let spread = (net.bytes - before) as f64 / present - bytes * spent;
    let spread = spread / changes as f64;
    times.sort_by(f64::total_cmp);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let [p50, p99] = [0.5, 0.99].map(|share| times[(times.len() as f64 * share) as usize]);
    let max = times[times.len() - 1];
    let faults = if faults { "yes" } else { "no" };
    let row = format!(
        "| {label} | {size} | {faults} | {messages:.1} | {bytes:.0} | {spread:.0} | {mean:.0} | {p50:.0} | {p99:.0} | {max:.0} | {missed} |"
    );
    (row, missed)
}

#[test]
fn ways_compared() {
    let gossip = |fanout| {
        Strategy::Gossip(Tuning {
            fanout,
            ..Tuning::default()
        })
    };
    let strategies = [
        ("gossip, fan-out 3", gossip(3)),
        ("gossip, fan-out 4", gossip(4)),
        ("gossip, fan-out 6", gossip(6)),
        ("whole tables", Strategy::Tables),
        ("all to all", Strategy::All),
        ("trees", Strategy::Tree { takeover: false }),
        ("trees, takeover", Strategy::Tree { takeover: true }),
    ];
    let chosen = std::env::var("GOSSIP_WAY").unwrap_or_default();
    for size in sizes("3 23") {
        for (label, strategy) in strategies
            .iter()
            .filter(|(label, _)| label.starts_with(&chosen))
        {
            for faults in [false, true] {
                let (row, missed) = measure(label, size, *strategy, faults);
                println!("{row}");
                assert_eq!(missed, 0, "{label} {size}");
            }
        }
    }
}
