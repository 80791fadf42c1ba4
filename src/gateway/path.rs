//! The way of an instance to the log: its own, or that of another instance.
//!
//! The store may turn single instances away. Such an instance has others append and read for it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    time::Duration,
};

use bytes::Bytes;
use futures_util::{
    future::{
        join,
        join_all, //
    },
    stream::{
        FuturesUnordered,
        StreamExt as _, //
    },
};
use rand::{
    seq::IteratorRandom as _,
    RngExt as _, //
};
use tokio::{
    sync::Notify,
    time::sleep, //
};

use super::{
    account::Entry,
    home::{
        Answer,
        Question, //
    },
};
use crate::{
    clock::Time,
    log::{
        Batch,
        Failure,
        Log, //
    },
    member::Roster,
    name::Instance,
    peer::{
        wire::Body,
        Mesh, //
    },
};

/// Time between tries of a broken own way, and for which a success says that it works.
const TRY: Duration = Duration::from_millis(500);

/// Instances that are asked at a time; a third of all may be turned away at once.
const HELPERS: usize = 3;

/// Longest time for the help of another instance: more than a call to the store takes there.
const HELP: Duration = Duration::from_millis(700);

/// Longest time for another instance to hold a turn: many round trips between zones.
const HOLD: Duration = Duration::from_millis(100);

/// Longest time for another instance to say that it hears this one, on a slowed machine.
const HEAR: Duration = Duration::from_millis(400);

/// Instances of other availability zones, and of the own one, that are asked whether they hear this
/// one: with a third of all gone, none is left among six once in a thousand times.
const HEARERS: usize = 6;

/// Instances that are asked whether they reach the log.
const PROBED: usize = 48;

/// Part of them that must not reach it for an outage to be total. A zone or a third of the
/// instances that is cut off is a smaller part of a sample, but for one in a thousand.
const MAJORITY: (usize, usize) = (11, 20);

/// Time after which the extent of an outage is found out again.
const RECHECK: Duration = Duration::from_millis(800);

/// Time for which an outage is taken for total: a recheck and the time that it takes. A home that
/// is cut off during an outage must not grant turns for longer.
const BELIEVED: Duration = Duration::from_millis(2_000);

/// Time until the balancer sends callers elsewhere: it asks once a second, and moves them after two
/// misses; from the platform's pages.
const MOVED: Duration = Duration::from_secs(2);

/// Time after which to come back to another instance of the availability zone.
const ELSEWHERE: Duration = Duration::from_millis(20);

/// Time after trouble with the log for which only an instance that was the home before grants turns.
/// Others that hold grants append them meanwhile: a call of 0.5 s, 1 s without a try, and a retry.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Links to other instances.
#[derive(Clone)]
pub struct Peers {
    /// The links.
    pub mesh: Mesh,
    /// The instances that are known.
    pub roster: Roster,
}

impl Peers {
    /// Returns the other instances that may be asked.
    fn others(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let own = &snapshot.own().instance;
        let live = snapshot.usable();
        live.filter(|name| *name != own).cloned().collect()
    }

    /// Picks other instances at random, first one of another availability zone if there is any.
    fn helpers(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let mut rng = rand::rng();
        let others = self.others();
        let own = snapshot.live(&snapshot.own().zone);
        let away = others.iter().filter(|name| !own.contains(name));
        let mut helpers: Vec<_> = away.choose(&mut rng).cloned().into_iter().collect();
        let rest = others.iter().filter(|name| !helpers.contains(name));
        let rest = rest.cloned().sample(&mut rng, HELPERS - helpers.len());
        helpers.extend(rest);
        helpers
    }

    /// Picks instances that may hold a grant.
    fn holders(&self) -> Vec<Instance> {
        let snapshot = self.roster.snapshot();
        let own = snapshot.own();
        let others = self.others();
        let away = |name: &&Instance| !snapshot.live(&own.zone).contains(name);
        let zoned = snapshot.zones().any(|zone| *zone != own.zone);
        let fit = others.iter().filter(|name| !zoned || away(name));
        fit.cloned().sample(&mut rand::rng(), HELPERS)
    }

    /// Asks instances at the same time; returns the first answer that is no refusal.
    async fn first(&self, names: &[Instance], question: &Question) -> Option<Answer> {
        let asked = names
            .iter()
            .map(|name| self.ask(name, question.clone(), HELP));
        let mut answers: FuturesUnordered<_> = asked.collect();
        while let Some(answer) = answers.next().await {
            if let Some(answer) = answer.filter(|answer| *answer != Answer::Refused) {
                return Some(answer);
            }
        }
        None
    }

    /// Asks instances other than the helpers whether they reach the log; returns some that do.
    ///
    /// A few may be turned away, or cut off together, while most reach it.
    async fn probe(&self, helpers: &[Instance]) -> (Probe, Vec<Instance>) {
        let known = self.roster.snapshot().peers().count();
        let live = self.others();
        let others = live.iter().filter(|name| !helpers.contains(name));
        let sample = others.sample(&mut rand::rng(), PROBED);
        let asked = sample.iter().map(|name| async move {
            let answer = self.ask(name, Question::Reach, HELP).await;
            (name, answer)
        });
        let mut probe = Probe {
            known,
            live: live.len(),
            asked: sample.len(),
            refusals: 0,
            reaching: 0,
        };
        let mut reaching = Vec::new();
        for (name, answer) in join_all(asked).await {
            match answer {
                Some(Answer::Reaches) => {
                    probe.reaching += 1;
                    reaching.push(Instance::clone(name));
                }
                Some(Answer::Refused) => probe.refusals += 1,
                _ => {}
            }
        }
        reaching.truncate(HELPERS);
        (probe, reaching)
    }

    /// Finds out which other instances still hear this one.
    async fn hear(&self) -> Hearing {
        let snapshot = self.roster.snapshot();
        let own = &snapshot.own().zone;
        // A zone that is cut off gives up the others after some seconds, so all known ones count.
        let sample = |near: bool| {
            let known = snapshot.peers().map(|peer| &peer.entry);
            let fit = known.filter(|entry| (entry.zone == *own) == near);
            let names = fit.map(|entry| entry.instance.clone());
            names.sample(&mut rand::rng(), HEARERS)
        };
        let (near, away) = (sample(true), sample(false));
        let zoned = !away.is_empty();
        let (near, away) = join(self.heard(&near), self.heard(&away)).await;
        Hearing { zoned, near, away }
    }

    /// Returns how many instances say that they hear this one.
    async fn heard(&self, names: &[Instance]) -> usize {
        let asked = names
            .iter()
            .map(|name| self.ask(name, Question::Hear, HEAR));
        join_all(asked).await.into_iter().flatten().count()
    }

    /// Asks another instance about accounts.
    pub async fn ask(&self, to: &Instance, question: Question, limit: Duration) -> Option<Answer> {
        match self.mesh.request(to, Body::Account(question), limit).await {
            Ok(Body::Accounted(answer)) => Some(answer),
            Ok(_) => None,
            Err(error) => {
                log::debug!(peer = to.as_str(), error:%; "account: peer gave no answer");
                None
            }
        }
    }
}

/// Result of asking other instances whether they reach the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Probe {
    /// Other instances that are known; those that are not live can't be reached.
    pub known: usize,
    /// Other instances that may be asked.
    pub live: usize,
    /// Those of them that were asked.
    pub asked: usize,
    /// Those of them that can't reach the log either.
    pub refusals: usize,
    /// Those of them that reach it.
    pub reaching: usize,
}

impl Probe {
    /// Returns the extent of the outage.
    pub fn outage(&self) -> Outage {
        // What a sample of the live ones says holds for all live ones.
        let refusing = self.refusals * self.live;
        let most = refusing * MAJORITY.1 > self.known * self.asked * MAJORITY.0;
        match self.reaching == 0 && most {
            true => Outage::Total,
            false => Outage::Alone,
        }
    }
}

/// Result of asking other instances whether they hear this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hearing {
    /// Whether instances of other availability zones are known.
    pub zoned: bool,
    /// Instances of the own availability zone that answered.
    pub near: usize,
    /// Instances of others that answered.
    pub away: usize,
}

impl Hearing {
    /// Returns the part of the deployment that is cut off, or `None` if there is no sign of a cut.
    pub fn cut(&self) -> Option<Outage> {
        match (self.zoned, self.near, self.away) {
            (true, 0, 0) => Some(Outage::Alone),
            (true, _, 0) => Some(Outage::Zone),
            _ => None,
        }
    }
}

/// What an instance knows about an outage of the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outage {
    /// The log can be reached, or nothing is known.
    None,
    /// Most instances can't reach the log, and none is known that can.
    Total,
    /// This instance is cut off, and others may reach the log.
    Alone,
    /// The availability zone of this instance is cut off, and others may reach the log.
    Zone,
}

impl Outage {
    /// Returns whether others may reach the log.
    pub fn cut_off(self) -> bool {
        matches!(self, Self::Alone | Self::Zone)
    }
}

/// The way to the log.
pub struct Path<L> {
    direct: L,
    peers: RefCell<Option<Peers>>,
    /// Whether the latest call on the own way failed.
    broken: Cell<bool>,
    outage: Cell<(Time, Outage)>,
    /// Since when this instance is cut off, if it is.
    cut_since: Cell<Time>,
    /// Whether the extent of an outage is being found out.
    probing: Cell<bool>,
    /// Latest success on the own way.
    reached: Cell<Time>,
    /// Latest failure of a call on the own way.
    trouble: Cell<Option<Time>>,
    /// Notified of each failure of a call to any topic of the store.
    alarm: Notify,
}

impl<L: Log> Path<L> {
    /// Returns the own way.
    pub fn new(direct: L) -> Self {
        Self {
            direct,
            peers: RefCell::new(None),
            broken: Cell::new(false),
            outage: Cell::new((Time::default(), Outage::None)),
            cut_since: Cell::default(),
            probing: Cell::new(false),
            reached: Cell::new(Time::default()),
            trouble: Cell::new(None),
            alarm: Notify::new(),
        }
    }

    /// Adds the ways of other instances.
    pub fn connect(&self, peers: Peers) {
        self.peers.replace(Some(peers));
    }

    /// Returns what is known about an outage.
    pub fn outage(&self) -> Outage {
        match self.outage.get() {
            (at, Outage::Total) if Time::monotonic().since(at) >= BELIEVED => Outage::None,
            (_, outage) => outage,
        }
    }

    /// Returns the time after which callers are served by other instances, while this one is cut
    /// off.
    pub fn elsewhere(&self) -> Option<Duration> {
        let since = Time::monotonic().since(self.cut_since.get());
        match self.outage() {
            Outage::None | Outage::Total => None,
            Outage::Alone => Some(ELSEWHERE),
            Outage::Zone => Some(MOVED.saturating_sub(since).max(ELSEWHERE)),
        }
    }

    /// Returns the own way, for the help of others; nothing while it is broken.
    pub fn direct(&self) -> Option<&L> {
        (!self.broken.get()).then_some(&self.direct)
    }

    /// Notes the result of a call on the own way.
    pub fn note<T>(&self, result: &Result<T, Failure>) {
        match result {
            Ok(_) | Err(Failure::Expired { .. }) => {
                self.broken.set(false);
                self.reached.set(Time::monotonic());
                self.learn(Outage::None);
            }
            Err(_) => {
                self.broken.set(true);
                self.trouble.set(Some(Time::monotonic()));
                self.alarm.notify_one();
            }
        }
    }

    /// Notes that a call to another topic of the store failed, which may concern that topic only.
    pub fn suspect(&self) {
        self.alarm.notify_one();
    }

    /// Returns whether all grants of the latest outage are in the log by now.
    pub fn settled(&self) -> bool {
        let trouble = self.trouble.get();
        trouble.is_none_or(|at| Time::monotonic().since(at) >= SETTLE)
    }

    /// Returns whether a call on the own way succeeded just now.
    pub fn reached(&self) -> bool {
        Time::monotonic().since(self.reached.get()) < TRY
    }

    /// Has another instance do a call.
    async fn help(&self, question: Question, assisted: bool) -> Option<Answer> {
        let peers = self.peers.borrow().clone().filter(|_| assisted)?;
        let helpers = peers.helpers();
        let probe = async {
            // One probe at a time, so that an outage does not multiply the traffic.
            if self.checked() || self.probing.replace(true) {
                return None;
            }
            let probed = peers.probe(&helpers).await;
            self.probing.set(false);
            Some(probed)
        };
        let (helped, probed) = join(peers.first(&helpers, &question), probe).await;
        if let Some(answer) = helped {
            self.learn(Outage::None);
            return Some(answer);
        }
        let (probe, reaching) = probed?;
        if let Some(answer) = peers.first(&reaching, &question).await {
            self.learn(Outage::None);
            return Some(answer);
        }
        self.conclude(&probe);
        None
    }

    /// Learns from a probe. Instances that said they reach the log but could not help have lost it
    /// just now; the next probe tells more.
    fn conclude(&self, probe: &Probe) {
        if probe.reaching > 0 {
            return;
        }
        let outage = probe.outage();
        if outage == Outage::Alone && self.outage() == Outage::Zone {
            return;
        }
        log::warn!(
            refusals = probe.refusals, asked = probe.asked, live = probe.live,
            known = probe.known, outage:? = outage;
            "account: no instance that was asked reaches the log"
        );
        self.learn(outage);
    }

    /// Returns whether the extent of an outage was found out just now.
    fn checked(&self) -> bool {
        let (at, outage) = self.outage.get();
        outage != Outage::None && Time::monotonic().since(at) < RECHECK
    }

    /// Finds out after failures of the store whether this instance is cut off, and tries the own
    /// way until it works, so that no turn has to; never returns.
    pub async fn watch(&self) {
        loop {
            if !self.broken.get() && !self.outage().cut_off() {
                self.alarm.notified().await;
            }
            join(self.test(), self.check(Time::monotonic())).await;
            // Instances that were turned away together must not come back together.
            sleep(TRY.mul_f64(rand::rng().random_range(1.0..2.0))).await;
        }
    }

    /// Tries the own way.
    async fn test(&self) {
        let result = self.direct.bounds(0).await;
        self.note(&result);
    }

    /// Finds out whether this instance is cut off, unless a call succeeds after the `start`.
    async fn check(&self, start: Time) {
        let Some(peers) = self.peers.borrow().clone() else {
            return;
        };
        let hearing = peers.hear().await;
        if self.reached.get() >= start {
            return;
        }
        if let Some(outage) = hearing.cut() {
            if self.outage() != outage {
                log::warn!(
                    near = hearing.near, outage:? = outage;
                    "account: no instance of another availability zone answers"
                );
            }
            return self.learn(outage);
        }
        if !self.outage().cut_off() || self.probing.replace(true) {
            return;
        }
        let (probe, _) = peers.probe(&[]).await;
        self.probing.set(false);
        match probe.reaching {
            // Others can help.
            1.. => self.learn(Outage::None),
            0 => self.conclude(&probe),
        }
    }

    fn learn(&self, outage: Outage) {
        let now = Time::monotonic();
        if outage.cut_off() && !self.outage().cut_off() {
            self.cut_since.set(now);
        }
        self.outage.set((now, outage));
    }

    /// Has another instance hold a turn that is granted without the log; returns whether it does.
    ///
    /// It is one of another availability zone if there are several: a home whose zone is cut off
    /// finds none.
    pub async fn hold(&self, entry: Entry) -> bool {
        let Some(peers) = self.peers.borrow().clone() else {
            return false;
        };
        for name in peers.holders() {
            let held = peers.ask(&name, Question::Hold(entry), HOLD).await;
            if held == Some(Answer::Held) {
                return true;
            }
        }
        false
    }
}

impl<L: Log> Path<L> {
    /// Appends records; other instances help if `assisted` and the own way is broken.
    pub async fn append(
        &self,
        partition: u32,
        records: &[Bytes],
        assisted: bool,
    ) -> Result<u64, Failure> {
        let mut failure = broken();
        if let Some(direct) = self.direct() {
            let result = direct.append(partition, records).await;
            self.note(&result);
            match result {
                Ok(offset) => return Ok(offset),
                Err(error) => failure = error,
            }
        }
        let records = records.to_vec();
        let question = Question::Append { partition, records };
        match self.help(question, assisted).await {
            Some(Answer::Appended(offset)) => Ok(offset),
            _ => Err(failure),
        }
    }

    /// Reads records; other instances help if `assisted` and the own way is broken.
    pub async fn read(&self, partition: u32, from: u64, assisted: bool) -> Result<Batch, Failure> {
        let mut failure = broken();
        if let Some(direct) = self.direct() {
            let result = direct.read(partition, from, Duration::ZERO).await;
            self.note(&result);
            match result {
                Err(error) if !matches!(error, Failure::Expired { .. }) => failure = error,
                result => return result,
            }
        }
        match self
            .help(Question::Read { partition, from }, assisted)
            .await
        {
            Some(Answer::Records { records, next }) => Ok(Batch { records, next }),
            _ => Err(failure),
        }
    }
}

fn broken() -> Failure {
    Failure::NotApplied("the own way to the log is broken".into())
}
