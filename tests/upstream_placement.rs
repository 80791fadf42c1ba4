//! Guards against commands that undo newer ones, overload the weight store or repeat forever.

use std::{
    cell::RefCell,
    time::Duration, //
};

use gypsumlever::{
    clock::Time,
    config::Pool,
    hash::Set,
    upstream::{
        command::{
            Artifact,
            Authorization,
            Command,
            Controller, //
        },
        placement::{
            self,
            Conditions,
            Placement, //
        },
        Failure,
    },
};
use serde_json::json;

const SECOND: Duration = Duration::from_secs(1);

/// Returns a pool with a model, two adapters and an engine per element of `fenced`, which says
/// whether the engine enforces fencing numbers.
fn pool(version: &str, names: [&str; 3], fenced: &[bool]) -> Pool {
    let upstreams: Vec<_> = (0..)
        .zip(fenced)
        .map(|(at, fenced): (usize, _)| {
            json!({
                "name": format!("e{at}"), "address": format!("e{at}"), "zone": "a",
                "fenced": fenced, "verifies_sender": fenced,
            })
        })
        .collect();
    let adapters = [1, 2].map(|at| json!({ "name": names[at], "version": version }));
    serde_json::from_value(json!({
        "name": "p", "kind": "model", "upstreams": upstreams,
        "models": [{ "name": names[0], "version": version, "adapters": adapters }],
    }))
    .expect("pool")
}

const PLAIN: [&str; 3] = ["m", "a", "b"];

fn loaded(name: &str, version: &str) -> Artifact {
    Artifact {
        name: name.into(),
        version: Some(version.into()),
        parent: None,
    }
}

fn model(name: &str, version: &str) -> Command {
    Command::Model {
        name: name.into(),
        version: version.into(),
    }
}

fn adapter(name: &str, version: &str, model: &str) -> Command {
    Command::Adapter {
        name: name.into(),
        version: version.into(),
        model: model.into(),
    }
}

#[test]
fn missing_table_of_engines() {
    let versioned = ["m@2", "a@2", "b-2"];
    let cases = [
        (true, PLAIN, vec![], vec![model("m", "2")]),
        (true, PLAIN, vec![loaded("m", "1")], vec![model("m", "2")]),
        (
            true,
            PLAIN,
            vec![loaded("m", "2"), loaded("a", "1")],
            vec![adapter("a", "2", "m"), adapter("b", "2", "m")],
        ),
        (
            true,
            PLAIN,
            vec![loaded("m", "2"), loaded("a", "2"), loaded("b", "2")],
            vec![],
        ),
        // On engines that ignore fencing numbers, nothing loaded is ever replaced.
        (false, PLAIN, vec![], vec![]),
        (
            false,
            PLAIN,
            vec![loaded("m", "1"), loaded("a", "3")],
            vec![],
        ),
        (
            false,
            versioned,
            vec![loaded("m", "1")],
            vec![model("m@2", "2")],
        ),
        (
            false,
            versioned,
            vec![loaded("m@2", "2"), loaded("a@1", "1")],
            vec![adapter("a@2", "2", "m@2"), adapter("b-2", "2", "m@2")],
        ),
        (
            false,
            ["m", "a@2", "b@2"],
            vec![loaded("m", "1"), loaded("a@2", "2")],
            vec![adapter("b@2", "2", "m")],
        ),
    ];
    for (fenced, names, loaded, commands) in cases {
        let pool = pool("2", names, &[fenced]);
        let found = placement::missing(&pool, &pool.upstreams[0], &loaded);
        assert_eq!(found, commands, "{fenced} {loaded:?}");
    }
}

/// `m12` is not version 2 of `m1`.
#[test]
fn versioned_table_of_names() {
    let cases = [
        ("m@2", true),
        ("m-2", true),
        ("m12", false),
        ("m", false),
        ("2", false),
    ];
    for (name, versioned) in cases {
        assert_eq!(placement::versioned(name, "2"), versioned, "{name}");
    }
    assert!(!placement::versioned("m@", ""));
}

/// Commands of instances with older and newer settings have the same result in any order and when
/// repeated.
#[test]
fn missing_without_fence_commutes() {
    let old = pool("1", ["m@1", "a@1", "b@1"], &[false]);
    let new = pool("2", ["m@2", "a@2", "b@2"], &[false]);
    let apply = |steps: &[&Pool]| {
        let mut list: Vec<Artifact> = Vec::new();
        for pool in steps {
            for command in placement::missing(pool, &pool.upstreams[0], &list) {
                if let Command::Model { name, version } | Command::Adapter { name, version, .. } =
                    command
                {
                    list.retain(|loaded| loaded.name != name);
                    list.push(loaded(&name, &version));
                }
            }
        }
        list.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        list
    };
    let all = apply(&[&old, &old, &new, &new]);
    assert_eq!(all.len(), 6);
    assert_eq!(apply(&[&new, &old, &new, &old, &old]), all);
    assert_eq!(apply(&[&new, &new, &new, &old, &old, &old]), all);
}

#[test]
fn decide_keeps_rate() {
    let pool = pool("2", PLAIN, &[true, true, true]);
    let engines: Vec<_> = pool
        .upstreams
        .iter()
        .map(|upstream| (upstream, vec![]))
        .collect();
    let mut placement = Placement::default();
    let mut sent = Vec::new();
    for second in 0..100 {
        let now = Time::default() + SECOND * second;
        if let Some(task) = placement.decide(now, SECOND * 10, &pool, &engines) {
            sent.push((second, task.upstream.to_string()));
        }
    }
    let expected = [(0, "e0"), (10, "e1"), (20, "e2")];
    assert_eq!(
        sent,
        expected.map(|(second, name)| (second, name.to_owned()))
    );
}

/// Delay of the next command to an engine after each outcome, for another and for the same command.
#[test]
fn record_outcome_table_of_delays() {
    let failed = |status| Failure::Failed {
        status,
        message: String::new(),
    };
    let refused = |wait: Option<u64>| Failure::Refused {
        status: 503,
        retry_after: wait.map(Duration::from_secs),
    };
    let cases = [
        (Ok(()), 0, 120),
        (Err(refused(Some(77))), 77, 120),
        (Err(refused(None)), 30, 120),
        (Err(failed(409)), 600, 600),
        (Err(failed(400)), 120, 120),
        (Err(Failure::NotSent(String::new())), 30, 120),
        (Err(Failure::Unknown(String::new())), 120, 120),
    ];
    for (outcome, other, same) in cases {
        for (loaded, seconds) in [(vec![loaded("m", "2")], other), (vec![], same)] {
            let pool = pool("2", PLAIN, &[true]);
            let engine = &pool.upstreams[0];
            let mut placement = Placement::default();
            let now = Time::default();
            let interval = Duration::ZERO;
            let first = placement.decide(now, interval, &pool, &[(engine, vec![])]);
            assert_eq!(first.map(|task| task.command), Some(model("m", "2")));
            let busy = placement.decide(now + SECOND * 9_999, interval, &pool, &[(engine, vec![])]);
            assert_eq!(busy, None, "a command is in flight");
            placement.record_outcome(now, &engine.name, &outcome);
            let engines = [(engine, loaded)];
            let due = |placement: &mut Placement, after| {
                placement.decide(now + after, interval, &pool, &engines)
            };
            if seconds > 0 {
                let early = due(&mut placement, SECOND * seconds - Duration::from_millis(1));
                assert_eq!(early, None, "{outcome:?}");
            }
            assert!(
                due(&mut placement, SECOND * seconds).is_some(),
                "{outcome:?}"
            );
        }
    }
}

/// An engine that never shows what it loaded must not exhaust the weight store's rate limit.
#[test]
fn decide_without_effect() {
    let pool = pool("2", PLAIN, &[true]);
    let engines = [(&pool.upstreams[0], vec![])];
    let mut placement = Placement::default();
    let mut count = 0;
    for second in 0..86_400 {
        let now = Time::default() + SECOND * second;
        if placement.decide(now, SECOND, &pool, &engines).is_some() {
            placement.record_outcome(now, &pool.upstreams[0].name, &Ok(()));
            count += 1;
        }
    }
    assert_eq!(count, 27);
}

#[test]
fn interval_is_shared() {
    let weights = serde_json::from_value(json!({ "address": "w", "loads_per_minute": 6 }));
    let weights = weights.expect("weights");
    assert_eq!(placement::interval(&weights, 1), SECOND * 10);
    assert_eq!(placement::interval(&weights, 23), SECOND * 230);
}

/// In-memory engines that execute every command.
#[derive(Default)]
struct Fake(RefCell<Vec<(String, Command, Authorization)>>);

impl Controller for Fake {
    async fn send(
        &self,
        address: &str,
        command: &Command,
        authorization: &Authorization,
    ) -> Result<(), Failure> {
        let sent = (address.to_owned(), command.clone(), authorization.clone());
        self.0.borrow_mut().push(sent);
        Ok(())
    }

    async fn loaded(&self, address: &str) -> Result<Vec<Artifact>, Failure> {
        let commands = self.0.borrow();
        let matching = commands.iter().filter(|(sent, ..)| sent == address);
        let loaded = matching.filter_map(|(_, command, _)| match command {
            Command::Model { name, version } | Command::Adapter { name, version, .. } => {
                Some(loaded(name, version))
            }
            Command::Role(_) => None,
        });
        Ok(loaded.collect())
    }
}

/// Owned engines converge to the settings; other engines receive no commands.
#[actix_web::test]
async fn run_converges() {
    let pools = [pool("2", ["m@2", "a@2", "b@2"], &[true, false, true])];
    let owned: Set<_> = pools[0].upstreams[..2]
        .iter()
        .map(|upstream| upstream.name.clone())
        .collect();
    let conditions = || Conditions {
        interval: Duration::ZERO,
        authorization: Authorization {
            fence: 7,
            sender: Some("i".into()),
        },
        owned: owned.clone(),
    };
    let fake = Fake::default();
    let count = RefCell::new(0);
    let (done, finished) = tokio::sync::oneshot::channel();
    let done = RefCell::new(Some(done));
    let tick = Duration::from_millis(1);
    let run = placement::run(&fake, &pools, tick, conditions, |_, _| {
        *count.borrow_mut() += 1;
        if *count.borrow() == 6 {
            done.take().map(|done| done.send(()));
        }
    });
    tokio::select! {
        () = run => {}
        finished = tokio::time::timeout(SECOND * 10, finished) => {
            finished.expect("commands").expect("commands");
        }
    }
    let sent = fake.0.take();
    for (address, sender) in [("e0", Some("i")), ("e1", None)] {
        let matching: Vec<_> = sent.iter().filter(|(sent, ..)| sent == address).collect();
        let commands: Vec<_> = matching
            .iter()
            .map(|(_, command, _)| command.clone())
            .collect();
        let expected = [
            model("m@2", "2"),
            adapter("a@2", "2", "m@2"),
            adapter("b@2", "2", "m@2"),
        ];
        assert_eq!(commands, expected, "{address}");
        let authorizations = matching
            .iter()
            .map(|(_, _, authorization)| (authorization.fence, authorization.sender.as_deref()));
        assert!(authorizations.into_iter().all(|found| found == (7, sender)));
    }
    assert_eq!(sent.len(), 6);
}
