//! Guards turns against partition owners that can't decide, and callers against isolated zones.

use std::{
    cell::Cell,
    future::Future,
    net::{
        Ipv4Addr,
        SocketAddr, //
    },
    rc::Rc,
    time::{
        Duration,
        Instant, //
    },
};

use actix_web::rt::System;
use bytes::Bytes;
use gypsumlever::{
    clock::Time,
    gateway::{
        account::Reservation,
        dispatcher::Dispatcher,
        endpoint::Endpoint,
        metrics::Metrics,
        owner::Client,
        peers::Peers,
        replica::{
            identify,
            Decision,
            Replica, //
        },
        reports::Reports,
        tenant::credit::Quotas,
        tunnel::Tunnels,
    },
    log::{
        memory::{
            Fault,
            Memory,
            Service, //
        },
        Batch,
        Bounds,
        Failure,
        Log, //
    },
    member::{
        Listed,
        Roster, //
    },
    name::{
        Instance,
        Zone, //
    },
    peer::{
        Mesh,
        Settings, //
    },
};
use tokio::{
    net::TcpListener,
    time::{
        sleep,
        timeout, //
    }, //
};

/// Partitions of the accounts.
const PARTITIONS: u32 = 4;

/// Timeout of a call of the log's client.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// A log with configurable latency, whose unanswered calls end with the client's timeout.
#[derive(Clone)]
struct Remote {
    log: Memory,
    delay: Rc<Cell<Duration>>,
}

impl Remote {
    async fn call<T>(&self, call: impl Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
        sleep(self.delay.get()).await;
        let result = call.await;
        if matches!(result, Err(Failure::Unknown(_))) {
            sleep(CALL_TIMEOUT).await;
        }
        result
    }
}

impl Log for Remote {
    async fn append(&self, partition: u32, records: &[Bytes]) -> Result<u64, Failure> {
        self.call(self.log.append(partition, records)).await
    }

    async fn read(&self, partition: u32, from: u64, wait: Duration) -> Result<Batch, Failure> {
        self.call(self.log.read(partition, from, wait)).await
    }

    async fn bounds(&self, partition: u32) -> Result<Bounds, Failure> {
        self.call(self.log.bounds(partition)).await
    }
}

/// A gateway instance without listeners for callers.
struct Node {
    name: Instance,
    zone: &'static str,
    address: SocketAddr,
    log: Memory,
    /// Latency of a call to the log.
    delay: Rc<Cell<Duration>>,
    replica: Rc<Replica<Remote>>,
    client: Rc<Client<Remote>>,
    peers: Peers,
}

impl Node {
    async fn start(name: &str, zone: &'static str, log: &Memory) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let name = Instance::try_from(name).unwrap();
        let zone_name = Zone::try_from(zone).unwrap();
        let log = log.share();
        let delay = Rc::<Cell<Duration>>::default();
        let remote = Remote {
            log: log.clone(),
            delay: delay.clone(),
        };
        let replica = Rc::new(Replica::new(remote, PARTITIONS));
        replica.path().set_first_start();
        let client = Rc::new(Client::new(replica.clone()));
        let roster = Roster::start(name.clone(), zone_name.clone(), &address.to_string());
        let settings = Settings::new("test", name.clone(), zone_name, address, "test");
        let dispatcher = Rc::new(Dispatcher::new(zone, Rc::default()));
        let (reports, _) = Reports::new(Metrics::new().unwrap());
        let tunnels = Rc::new(Tunnels::new(Rc::default(), Metrics::new().unwrap()));
        let quotas = Rc::new(Quotas::new(Metrics::new().unwrap()));
        let mesh = Mesh::run(
            settings,
            listener,
            Endpoint::new(
                replica.clone(),
                dispatcher,
                Rc::default(),
                reports,
                tunnels,
                quotas,
            ),
            roster.clone(),
        );
        let peers = Peers { mesh, roster };
        replica.path().connect(peers.clone());
        client.connect(peers.clone());
        actix_web::rt::spawn(replica.clone().run());
        Self {
            name,
            zone,
            address,
            log,
            delay,
            replica,
            client,
            peers,
        }
    }

    /// Adds the other instances to the membership view.
    async fn learn_members(&self, known: &[Listed]) {
        self.peers
            .roster
            .update(|view| view.apply_list(Time::now(), known));
        self.client.join().await;
    }

    /// Gives up the ownership of its partitions and takes it again.
    fn retake_ownership(&self) {
        for partition in 0..PARTITIONS as usize {
            let owned = self.replica.owns(partition);
            self.replica.set_owned(partition, false);
            self.replica.set_owned(partition, owned);
        }
    }

    /// Requests a decision on whether a turn may run.
    async fn open(&self, program: &str, turn: u64) -> Decision {
        let pending = self.client.open(program, turn, 100, 1_000);
        let answer = timeout(Duration::from_secs(5), pending.decision).await;
        answer.expect("a turn is answered").unwrap()
    }
}

/// Returns an instance as the platform lists it.
fn listed(name: &str, zone: &str, address: SocketAddr) -> Listed {
    Listed {
        instance: Instance::try_from(name).unwrap(),
        zone: Zone::try_from(zone).unwrap(),
        address: address.to_string(),
        leaving: false,
    }
}

/// Starts instances that know each other.
async fn start(instances: &[(&str, &'static str)]) -> Vec<Node> {
    let log = Memory::new(PARTITIONS);
    let mut nodes = Vec::new();
    for (name, zone) in instances {
        nodes.push(Node::start(name, zone, &log).await);
    }
    let known: Vec<_> = nodes
        .iter()
        .map(|node| listed(node.name.as_str(), node.zone, node.address))
        .collect();
    for node in &nodes {
        node.learn_members(&known).await;
    }
    for node in &nodes {
        for turn in 0..20 {
            let answer = node.open(&format!("warm-{turn}"), turn).await;
            assert_eq!(answer, Decision::Granted);
        }
    }
    nodes
}

async fn wait_isolated(node: &Node, isolated: bool) {
    let start = Instant::now();
    while node.client.isolated() != isolated {
        assert!(start.elapsed() < Duration::from_secs(2));
        sleep(Duration::from_millis(10)).await;
    }
}

/// If an instance of an isolated zone considers itself healthy, its callers wait without getting an
/// answer, and turns that it sends to an upstream are wasted.
#[test]
fn isolated_is_true_for_an_isolated_zone_until_it_recovers() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]).await;
        let (zone, rest) = nodes.split_at(2);
        zone.iter()
            .for_each(|node| node.log.set_service(Service::Refusing));
        rest.iter().for_each(|node| node.peers.mesh.stop());
        zone[0].client.report_failure();
        zone[1].client.report_failure();
        for node in zone {
            wait_isolated(node, true).await;
            let pending = node.client.open("p", 1, 100, 1_000);
            assert!(!pending.likely);
            assert_eq!(pending.decision.await, Ok(Decision::Unavailable));
            let delay = node.client.failover_delay().unwrap();
            assert!(delay > Duration::from_secs(1), "{delay:?}");
        }
        sleep(Duration::from_secs(3)).await;
        for node in zone {
            assert!(node.client.isolated());
            node.log.set_service(Service::Up);
        }
        for node in zone {
            wait_isolated(node, false).await;
            assert_eq!(node.client.failover_delay(), None);
        }
    });
}

/// A caller of an isolated instance can be served by other instances of its zone, without waiting
/// for the balancer.
#[test]
fn failover_delay_is_short_for_an_isolated_instance() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b")]).await;
        nodes[0].log.set_service(Service::Refusing);
        nodes[1..].iter().for_each(|node| node.peers.mesh.stop());
        nodes[0].client.report_failure();
        wait_isolated(&nodes[0], true).await;
        let delay = nodes[0].client.failover_delay().unwrap();
        assert!(delay < Duration::from_millis(100), "{delay:?}");
    });
}

/// Failures of the store alone must not take an instance out of service.
#[test]
fn isolated_is_false_while_peers_answer() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].client.report_failure();
        sleep(Duration::from_millis(900)).await;
        assert!(!nodes[0].client.isolated());
    });
}

/// An owner that was isolated refuses turns for a while; an instance that reached the log all the
/// time can have the log decide.
#[test]
fn open_uses_the_log_while_the_owner_cannot_decide() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].log.set_service(Service::Refusing);
        assert!(nodes[0].replica.read_for_peer(0, 0).await.is_none());
        nodes[0].log.set_service(Service::Up);
        nodes[0].retake_ownership();
        for turn in 0..40 {
            let answer = nodes[1].open(&format!("program-{turn}"), turn).await;
            assert_eq!(answer, Decision::Granted);
        }
    });
}

/// Turns granted during an outage may not be in the log yet when an instance starts that did not
/// observe the outage.
#[test]
fn join_waits_for_grants_of_an_outage_before_the_start() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[1].log.set_service(Service::Refusing);
        assert!(nodes[1].replica.read_for_peer(0, 0).await.is_none());
        nodes[1].log.set_service(Service::Up);
        let node = Node::start("b2", "b", &nodes[0].log).await;
        let known: Vec<_> = nodes
            .iter()
            .map(|node| listed(node.name.as_str(), node.zone, node.address))
            .collect();
        node.learn_members(&known).await;
        let owned = (0..PARTITIONS as usize).filter(|index| node.replica.owns(*index));
        assert!(owned.count() > 0);
        let mut refused = 0;
        for turn in 0..20 {
            let answer = node.open(&format!("p-{turn}"), turn).await;
            refused += u32::from(answer == Decision::Unavailable);
        }
        assert!(refused > 0);
        sleep(Duration::from_millis(2_600)).await;
        for turn in 20..40 {
            let answer = node.open(&format!("p-{turn}"), turn).await;
            assert_eq!(answer, Decision::Granted);
        }
    });
}

/// The store may drop the history of one topic, or close its waiting reads, while the accounts stay
/// available; an owner that treats this as an outage refuses turns for seconds.
#[test]
fn report_failure_of_another_topic_delays_no_new_owner() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a")]).await;
        nodes[0].client.report_failure();
        nodes[0].retake_ownership();
        assert_eq!(nodes[0].open("p", 1).await, Decision::Granted);
    });
}

/// A lost answer to an append is no outage; other instances can't have granted turns without the
/// log.
#[test]
fn open_is_not_delayed_for_a_new_owner_by_a_lost_append() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a")]).await;
        // Appends are repeated while no answer comes.
        nodes[0].log.fail([Fault::ResponseLost; 3]);
        assert_eq!(nodes[0].open("p", 1).await, Decision::Unavailable);
        // The log is not called for a second after a failure.
        sleep(Duration::from_millis(1_100)).await;
        nodes[0].retake_ownership();
        assert_eq!(nodes[0].open("p", 2).await, Decision::Granted);
    });
}

/// Two owners of a partition would grant a program twice its budget during an outage: a leaving
/// instance that serves its last callers, and its successor.
#[test]
fn update_ownership_releases_partitions_of_a_leaving_instance() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        let owned = |node: &Node| {
            let partitions = 0..PARTITIONS as usize;
            partitions.filter(|index| node.replica.owns(*index)).count()
        };
        assert!(owned(&nodes[0]) > 0);
        nodes[0].peers.roster.update(|view| view.leave(Time::now()));
        nodes[0].client.update_ownership();
        assert_eq!(owned(&nodes[0]), 0);
    });
}

/// Checks that turns of `requester` are granted, and that `owner` charges those of partitions it
/// owns.
async fn assert_notified(owner: &Node, requester: &Node) {
    for turn in 0..20 {
        let program = format!("program-{turn}");
        assert_eq!(requester.open(&program, turn).await, Decision::Granted);
        sleep(Duration::from_millis(20)).await;
        let index = owner.replica.partition_of(identify(&program));
        if owner.replica.owns(index) {
            // The turn, and the reserve that the requester holds.
            let reserved = requester.replica.reserves.covers(identify(&program), 100);
            let expected = if reserved { 400 } else { 100 };
            assert_eq!(owner.replica.charged(identify(&program)), expected);
        }
    }
}

/// An owner that continues without the log must have been notified of the turns that the log
/// granted to other instances.
#[test]
fn open_notifies_the_owner_of_turns_granted_by_the_log() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].log.set_service(Service::Refusing);
        assert!(nodes[0].replica.read_for_peer(0, 0).await.is_none());
        nodes[0].retake_ownership();
        assert_notified(&nodes[0], &nodes[1]).await;
    });
}

/// An owner that is avoided because it was slow must be notified as well.
#[test]
fn open_notifies_an_avoided_owner_of_turns_granted_by_the_log() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        nodes[0].delay.set(Duration::from_secs(10));
        assert_notified(&nodes[0], &nodes[1]).await;
    });
}

/// Waits until an owner has decided in less than the time from which on its decisions count as slow:
/// a busy machine may have delayed the latest one.
async fn wait_fast(node: &Node, owner: &Node) {
    let owned = |program: &String| {
        owner
            .replica
            .owns(owner.replica.partition_of(identify(program)))
    };
    let programs = (0..200).map(|number| format!("fast-{number}"));
    for program in programs.filter(owned) {
        let start = Instant::now();
        assert_eq!(node.open(&program, 1).await, Decision::Granted);
        if start.elapsed() < Duration::from_millis(40) {
            return;
        }
    }
    panic!("no decision is fast");
}

/// A turn that starts before the decision is wasted if it is refused; waiting for a slow store
/// would delay all turns.
#[test]
fn open_is_likely_only_while_decisions_are_slow() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b")]).await;
        let likely = || {
            let open = |turn: &u64| {
                let program = format!("p-{turn}");
                nodes[0].client.open(&program, *turn, 100, 1_000).likely
            };
            (0..40).filter(open).count()
        };
        wait_fast(&nodes[0], &nodes[1]).await;
        assert_eq!(likely(), 0);
        nodes[1].delay.set(Duration::from_millis(100));
        likely();
        sleep(Duration::from_millis(700)).await;
        assert!(likely() > 0);
        sleep(Duration::from_millis(700)).await;
        nodes[1].delay.set(Duration::from_secs(10));
        // The owner may grant one turn of each program with the witnesses; it decides about no other.
        for _ in 0..2 {
            likely();
            sleep(Duration::from_millis(600)).await;
        }
        assert_eq!(likely(), 0);
    });
}

/// The first turn detects that the direct path to the log fails; each later turn that used it would
/// wait for the timeout as well.
#[test]
fn open_does_not_use_a_failing_direct_path() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]).await;
        nodes[0].log.set_service(Service::Unresponsive);
        for turn in 0..10 {
            nodes[0].open(&format!("first-{turn}"), turn).await;
        }
        let start = Instant::now();
        let mut slowest = Duration::ZERO;
        for turn in 0.. {
            let opened = Instant::now();
            let program = format!("p-{turn}");
            assert_eq!(nodes[0].open(&program, turn).await, Decision::Granted);
            slowest = slowest.max(opened.elapsed());
            sleep(Duration::from_millis(50)).await;
            if start.elapsed() > Duration::from_secs(3) {
                break;
            }
        }
        assert!(slowest < CALL_TIMEOUT / 2, "{slowest:?}");
        nodes[0].log.set_service(Service::Up);
        sleep(Duration::from_millis(1_500)).await;
        assert!(nodes[0].replica.reaches_log().await);
    });
}

/// If an isolated owner is not avoided, each turn waits for it as long as the first one.
#[test]
fn open_waits_for_an_unresponsive_owner_only_once() {
    System::new().block_on(async {
        let unresponsive = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        let node = Node::start("a1", "a", &Memory::new(PARTITIONS)).await;
        node.learn_members(&[listed("b1", "b", unresponsive.local_addr().unwrap())])
            .await;
        let mut slow = 0;
        for turn in 0..40 {
            let opened = Instant::now();
            let answer = node.open(&format!("p-{turn}"), turn).await;
            assert_eq!(answer, Decision::Granted);
            slow += u32::from(opened.elapsed() > Duration::from_millis(200));
        }
        assert!(slow <= 1, "{slow}");
    });
}

/// A zone that is cut off can't reach the accounts. Programs that are under way there go on, within
/// the reserve that their instance holds; their budget holds together with the other zones.
#[test]
fn open_spends_the_reserve_of_a_program_in_an_isolated_zone() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c")]).await;
        let holder = &nodes[0];
        assert_eq!(holder.open("p", 1_000).await, Decision::Granted);
        holder.client.close("p", 1_000, 60);
        let (zone, rest) = nodes.split_at(2);
        zone.iter()
            .for_each(|node| node.log.set_service(Service::Refusing));
        rest.iter().for_each(|node| node.peers.mesh.stop());
        zone.iter().for_each(|node| node.client.report_failure());
        for node in zone {
            wait_isolated(node, true).await;
        }
        for turn in 0..4 {
            assert_eq!(holder.open("p", turn).await, Decision::Granted, "{turn}");
            holder.client.close("p", turn, 60);
        }
        assert_eq!(holder.open("p", 5).await, Decision::Unavailable);
        // Another instance holds no reserve of the program, and nobody one of a new program.
        assert_eq!(zone[1].open("p", 6).await, Decision::Unavailable);
        assert_eq!(holder.open("q", 7).await, Decision::Unavailable);
    });
}

/// The whole budget is available at any instance as long as the holder of a reserve answers.
#[test]
fn open_reclaims_reserves_before_the_budget_is_spent() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b"), ("c1", "c")]).await;
        assert_eq!(nodes[0].open("p", 100).await, Decision::Granted);
        nodes[0].client.close("p", 100, 0);
        for turn in 0..10 {
            let answer = nodes[1 + turn as usize % 2].open("p", turn).await;
            assert_eq!(answer, Decision::Granted, "{turn}");
        }
        assert_eq!(nodes[1].open("p", 10).await, Decision::Spent);
    });
}

/// An owner that answers slowly, as while the store is slow, delays no turn of a program with a
/// reserve.
#[test]
fn open_spends_the_reserve_while_decisions_are_slow() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a"), ("b1", "b"), ("c1", "c")]).await;
        for node in &nodes {
            assert_eq!(node.open(node.name.as_str(), 100).await, Decision::Granted);
        }
        for node in &nodes {
            node.delay.set(Duration::from_millis(250));
        }
        for node in &nodes {
            let start = Instant::now();
            let answer = node.open(node.name.as_str(), 101).await;
            assert_eq!(answer, Decision::Granted);
            let took = start.elapsed();
            assert!(took < Duration::from_millis(150), "{took:?}");
        }
    });
}

/// An instance that the store refuses calls others for each append. With hundreds of instances,
/// random helpers would cost it a link to nearly all of them.
#[test]
fn helpers_stay_the_same_until_none_of_them_could_help() {
    System::new().block_on(async {
        let nodes = start(&[("a1", "a")]).await;
        let peers = &nodes[0].peers;
        let address = nodes[0].address;
        let known: Vec<_> = (0..60)
            .map(|number| {
                (
                    format!("peer-{number}"),
                    if number < 40 { "a" } else { "b" },
                )
            })
            .map(|(name, zone)| listed(&name, zone, address))
            .collect();
        let update = |view: &mut gypsumlever::member::View| view.apply_list(Time::now(), &known);
        peers.roster.update(update);
        let remote = |name: &Instance| {
            let found = known.iter().find(|entry| entry.instance == *name);
            found.is_some_and(|entry| entry.zone.as_str() == "b")
        };
        let helpers = peers.helpers(0);
        assert_eq!(helpers.len(), 3);
        assert!(remote(&helpers[0]));
        assert!((0..50).all(|_| peers.helpers(0) == helpers));
        assert_ne!(peers.helpers(1), helpers);
    });
}

/// Without its owner, a partition is read by its standbys only. If every instance read it, the store
/// would be busy with these reads for seconds after each outage.
#[test]
fn open_reads_a_partition_without_its_owner_at_few_instances() {
    System::new().block_on(async {
        let names: Vec<_> = (0..12).map(|number| format!("n{number}")).collect();
        let instances: Vec<_> = names.iter().map(|name| (name.as_str(), "a")).collect();
        let nodes = start(&instances).await;
        let partition = nodes[0].replica.partition_of(identify("p"));
        let owner = nodes.iter().find(|node| node.replica.owns(partition));
        let owner = owner.unwrap();
        // With links it would grant a turn with the witnesses, which let nobody else write until that
        // turn is in the log.
        owner.peers.mesh.stop();
        owner.delay.set(Duration::from_secs(10));
        let (mut turn, mut readers) = (0, 0);
        for node in nodes.iter().filter(|node| node.name != owner.name) {
            turn += 1;
            assert_eq!(node.open("p", turn).await, Decision::Granted);
            node.client.close("p", turn, 0);
            readers += usize::from(node.replica.has_read(partition));
        }
        assert!(readers <= 2, "{readers}");
    });
}

/// The ends of turns reach the owner while it appends others. If they freed tokens for these, which
/// precede them in the log, the instances that read the log would not charge turns that run.
#[test]
fn ends_of_turns_free_no_tokens_for_turns_before_them_in_the_log() {
    System::new().block_on(async {
        let log = Memory::new(PARTITIONS);
        let delay = Rc::<Cell<Duration>>::default();
        let [owner, next] = [(); 2].map(|()| {
            let remote = Remote {
                log: log.share(),
                delay: delay.clone(),
            };
            Rc::new(Replica::new(remote, PARTITIONS))
        });
        for replica in [&owner, &next] {
            replica.path().set_first_start();
            actix_web::rt::spawn(replica.clone().run());
            while !replica.loaded() {
                sleep(Duration::from_millis(5)).await;
            }
        }
        let program = identify("p");
        let open = |replica: &Replica<Remote>, turn| {
            let reservation = Reservation {
                program,
                turn,
                max_tokens: 25,
                budget: 100,
                reserve: None,
            };
            replica.open(reservation).decision
        };
        for turn in 1..=4 {
            assert_eq!(open(&owner, turn).await.unwrap(), Decision::Granted);
        }
        delay.set(Duration::from_millis(100));
        let appended: Vec<_> = (5..=8).map(|turn| open(&owner, turn)).collect();
        sleep(Duration::from_millis(50)).await;
        (1..=4).for_each(|turn| owner.close(program, turn, 0));
        let mut granted = 0;
        for decision in appended {
            granted += usize::from(decision.await.unwrap() == Decision::Granted);
        }
        delay.set(Duration::ZERO);
        while owner.pending() {
            sleep(Duration::from_millis(5)).await;
        }
        for turn in 9..=12 {
            granted += usize::from(open(&next, turn).await.unwrap() == Decision::Granted);
        }
        assert!(granted * 25 <= 100 + 25, "{granted} turns of 25 tokens run");
    });
}
