//! Registry of the servers, from their own reports.

use std::{
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use crate::{
    clock::Time,
    hash::{
        Map,
        Set, //
    },
};

/// Time after the recovery of the store within which live servers have reported again, as the
/// platform documents.
const REREGISTRATION: Duration = Duration::from_secs(2);

/// Additional time after a failure of the store for which it may be the reason that an entry
/// disappeared; the observed end of an outage is off by about one retry of the feed.
const OUTAGE_MARGIN: Duration = Duration::from_millis(1_500);

/// Report of a server about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Server {
    /// Unique identifier; a server may have the same one after a restart.
    pub id: Arc<str>,
    /// Service that it runs.
    pub service: Arc<str>,
    /// Address; a later server may get the same one.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Version of its software.
    pub version: Arc<str>,
    /// Requests that it runs concurrently; at least 1.
    pub slots: u32,
    /// Whether it takes no new requests.
    pub draining: bool,
    /// Start time in Unix milliseconds; 0 if unknown.
    pub started: u64,
    /// Sequence number of the report since the start.
    pub report: u64,
}

impl Server {
    /// Returns whether the software version is the required one, if there is one.
    pub fn has_version(&self, required: Option<&str>) -> bool {
        required.is_none_or(|version| version == &*self.version)
    }
}

/// A change of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// A server sent a report.
    Present(Server),
    /// The entry of a server can't be decoded.
    Unreadable(Arc<str>),
    /// The entry of a server is gone.
    Absent(Arc<str>),
}

/// Result of a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Nothing relevant for sending requests changed.
    None,
    /// A server was added, or changed in a way relevant for sending requests.
    Added,
    /// A server takes no new requests from now on.
    Draining,
    /// A server is gone.
    Removed,
    /// An entry disappeared while the store was failing; the server may still run.
    Lapsed,
    /// The report is older than the recorded one.
    Stale,
}

/// Time for which the version of a server that is gone may still be that of a stream under way.
const VERSION_RETENTION: Duration = Duration::from_secs(30);

/// Age of the latest read up to which all present versions are known: more than a read waits for
/// changes and the pause after it.
const MAX_READ_AGE: Duration = Duration::from_secs(3);

/// Time after which a start that is still the latest one in the registry was so at its beginning: more
/// than the time after which the entry of a process that ended is removed or replaced.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Difference between the clocks of servers and of this instance.
const MAX_SKEW: Duration = Duration::from_secs(5);

/// Version of a server that is gone.
struct Retired {
    service: Arc<str>,
    version: Arc<str>,
    since: Time,
}

/// Start of a server that was replaced or is gone, and when it was known to be the latest one.
struct Former {
    id: Arc<str>,
    started: u64,
    /// Reads without a failure of the store in between that showed it as the latest one, the first
    /// and the last.
    shown: (Time, Time),
}

/// Time for which a server that said that it leaves may still be listed as one that does not; a
/// store that lags or restores an old state shows it for seconds.
const LEAVING_RETENTION: Duration = Duration::from_secs(300);

/// Incarnation of a server: its identifier and the time of its start.
type Incarnation = (Arc<str>, u64);

/// Time since the latest refused connection within which a server that has started again has
/// reported it.
const REPORT_TIME: Duration = Duration::from_secs(2);

struct Record {
    server: Rc<Server>,
    /// Whether the entry disappeared while the store was failing.
    lapsed: bool,
}

/// Known servers, including draining and lapsed ones.
#[derive(Default)]
pub struct Registry {
    records: Map<Arc<str>, Record>,
    /// Servers whose latest entry can't be decoded; they may still run.
    unreadable: Set<Arc<str>>,
    /// Versions of servers that have gone within [`VERSION_RETENTION`], at least.
    retired: Vec<Retired>,
    /// Starts that were replaced or have gone within [`VERSION_RETENTION`], at least.
    former: Vec<Former>,
    /// Servers that said in an answer that they leave, and when; they never take requests again,
    /// whatever their reports say.
    leaving: Map<Incarnation, Time>,
    /// Servers that refused a connection within [`REPORT_TIME`], at least, and when: their processes
    /// have ended, and others may have their addresses before they report.
    refused: Map<Incarnation, Time>,
    /// First read of the entries.
    first_read: Option<Time>,
    /// Latest read of the entries, or of their changes.
    last_read: Option<Time>,
    /// First read after the latest failed call to the store.
    sound_since: Option<Time>,
    /// Latest failed call to the store.
    last_failure: Option<Time>,
}

impl Registry {
    /// Records that the entries or their changes were read.
    pub fn record_read(&mut self, now: Time) {
        self.first_read.get_or_insert(now);
        self.last_read = Some(now);
        self.sound_since.get_or_insert(now);
    }

    /// Returns whether the entries were read recently.
    pub fn is_current(&self, now: Time) -> bool {
        self.last_read
            .is_some_and(|at| now.since(at) < MAX_READ_AGE)
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now: Time) {
        self.last_failure = Some(now);
        self.sound_since = None;
    }

    /// Returns whether reads showed that a start of a server was the latest one at a moment: it still
    /// was long enough afterwards, and the store did not fail meanwhile.
    pub fn is_settled(&self, id: &str, started: u64, at: Time) -> bool {
        if started == 0 {
            return false;
        }
        let latest = self.records.get(id).filter(|record| !record.lapsed);
        let shown = match latest.filter(|record| record.server.started == started) {
            Some(_) => self.sound_since.zip(self.last_read),
            None => {
                let mut former = self.former.iter().rev();
                let found = former.find(|former| &*former.id == id && former.started == started);
                found.map(|former| former.shown)
            }
        };
        shown.is_some_and(|(first, last)| last.since(at.max(first)) >= SETTLE_TIME)
    }

    /// Returns whether the latest call to the store failed.
    pub fn is_failing(&self) -> bool {
        self.last_failure > self.last_read
    }

    /// Returns whether the entries were read lately, and live servers have reported since the latest
    /// failure of the store.
    pub fn is_sound(&self, now: Time) -> bool {
        let reported = |since: Time| now.since(since) >= REREGISTRATION;
        let sound = self.last_failure.is_none() || self.sound_since.is_some_and(reported);
        self.is_current(now) && !self.is_failing() && sound
    }

    fn failed_within(&self, now: Time, span: Duration) -> bool {
        self.last_failure.is_some_and(|at| now.since(at) < span)
    }

    /// Applies a change.
    pub fn apply(&mut self, now: Time, change: Change) -> Effect {
        let (Change::Present(Server { id, .. }) | Change::Unreadable(id) | Change::Absent(id)) =
            &change;
        self.unreadable.remove(id);
        match change {
            Change::Present(server) => self.present(now, server),
            Change::Unreadable(id) => {
                let effect = self.remove(now, &id);
                self.unreadable.insert(id);
                effect
            }
            Change::Absent(id) => self.absent(now, &id),
        }
    }

    /// Applies a complete state; servers missing from it are absent.
    pub fn replace(&mut self, now: Time, changes: Vec<Change>) {
        let mut present_ids = Set::default();
        self.unreadable.clear();
        for change in changes {
            if let Change::Present(server) = &change {
                present_ids.insert(server.id.clone());
            }
            self.apply(now, change);
        }
        let known: Vec<_> = self.records.keys().cloned().collect();
        for id in known.into_iter().filter(|id| !present_ids.contains(id)) {
            self.absent(now, &id);
        }
    }

    fn present(&mut self, now: Time, server: Server) -> Effect {
        let old = self.records.get(&server.id);
        if let Some(Record { server: old, .. }) = old {
            if (server.started, server.report) < (old.started, old.report) {
                return Effect::Stale;
            }
        }
        let effect = match old {
            _ if server.draining => Effect::Draining,
            Some(old) if !old.lapsed && equivalent(&old.server, &server) => Effect::None,
            _ => Effect::Added,
        };
        let record = Record {
            server: Rc::new(server),
            lapsed: false,
        };
        let replaced = self.records.insert(record.server.id.clone(), record);
        if let Some(replaced) = replaced {
            if !replaced.lapsed
                && self.records[&replaced.server.id].server.started != replaced.server.started
            {
                self.record_former(now, &replaced.server);
            }
            self.retire(now, &replaced.server);
        }
        effect
    }

    fn remove(&mut self, now: Time, id: &str) -> Effect {
        match self.records.remove(id) {
            Some(removed) => {
                if !removed.lapsed {
                    self.record_former(now, &removed.server);
                }
                self.retire(now, &removed.server);
                Effect::Removed
            }
            None => Effect::None,
        }
    }

    /// Remembers a start that was replaced or is gone.
    fn record_former(&mut self, now: Time, server: &Server) {
        let Some(shown) = self.sound_since.zip(self.last_read) else {
            return;
        };
        self.former
            .retain(|former| now.since(former.shown.1) < VERSION_RETENTION);
        self.former.push(Former {
            id: server.id.clone(),
            started: server.started,
            shown,
        });
    }

    /// Remembers the version of a server that is gone, unless others of its service have it.
    fn retire(&mut self, now: Time, server: &Server) {
        self.retired
            .retain(|retired| now.since(retired.since) < VERSION_RETENTION);
        let same =
            |other: &Server| other.service == server.service && other.version == server.version;
        if !self.records.values().any(|record| same(&record.server)) {
            self.retired.push(Retired {
                service: server.service.clone(),
                version: server.version.clone(),
                since: now,
            });
        }
    }

    /// Records that a server said in an answer that it leaves; returns whether that is new.
    pub fn leave(&mut self, now: Time, server: &Server) -> bool {
        let incarnation = (server.id.clone(), server.started);
        if self.leaving.contains_key(&incarnation) {
            return false;
        }
        self.leaving
            .retain(|_, since| now.since(*since) < LEAVING_RETENTION);
        self.leaving.insert(incarnation, now);
        true
    }

    /// Returns whether a server takes new requests, unless its entry has lapsed.
    fn takes_requests(&self, server: &Server) -> bool {
        let leaving = !self.leaving.is_empty()
            && self
                .leaving
                .contains_key(&(server.id.clone(), server.started));
        !server.draining && !leaving
    }

    /// Returns the version of a service if its servers are known to have had no other one lately.
    pub fn sole_version(&self, now: Time, service: &str) -> Option<Arc<str>> {
        if !self.is_current(now) {
            return None;
        }
        let records = self.records.values().map(|record| &record.server);
        let current = records
            .filter(|server| &*server.service == service)
            .map(|server| &server.version);
        let retired = self
            .retired
            .iter()
            .filter(|retired| &*retired.service == service)
            .filter(|retired| now.since(retired.since) < VERSION_RETENTION)
            .map(|retired| &retired.version);
        let mut versions = current.chain(retired);
        let first = versions.next()?;
        versions
            .all(|version| version == first)
            .then(|| first.clone())
    }

    /// Returns whether a version of a service may have gone shortly before the first read, which was
    /// not long ago: a server of the service had started shortly before it as well. `wall` is the
    /// time since the Unix epoch.
    pub fn may_lack_versions(&self, now: Time, wall: Time, service: &str) -> bool {
        let Some(first_read) = self.first_read else {
            return true;
        };
        let known_for = now.since(first_read);
        if known_for >= VERSION_RETENTION {
            return false;
        }
        let oldest = wall - known_for - (VERSION_RETENTION + MAX_SKEW);
        let mut servers = self.records.values().map(|record| &record.server);
        servers.any(|server| &*server.service == service && server.started > (oldest.0 / 1_000))
    }

    fn absent(&mut self, now: Time, id: &str) -> Effect {
        if !self.failed_within(now, REREGISTRATION + OUTAGE_MARGIN) {
            return self.remove(now, id);
        }
        match self.records.get_mut(id) {
            Some(record) if record.server.draining => self.remove(now, id),
            Some(record) => {
                record.lapsed = true;
                Effect::Lapsed
            }
            None => Effect::None,
        }
    }

    /// Returns the servers of a service that may get requests.
    pub fn usable<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Rc<Server>> {
        let lapsed = self.failed_within(now, REREGISTRATION);
        self.records
            .values()
            .filter(move |record| !record.lapsed || lapsed)
            .map(|record| &record.server)
            .filter(move |server| &*server.service == service && self.takes_requests(server))
    }

    /// Records that a server refused a connection.
    pub fn refuse(&mut self, now: Time, server: &Server) {
        self.refused
            .retain(|_, since| now.since(*since) < REPORT_TIME);
        self.refused
            .insert((server.id.clone(), server.started), now);
    }

    /// Returns whether another process may have the address of a server, which has not reported yet.
    pub fn is_doubtful(&self, now: Time, server: &Server) -> bool {
        if self.refused.is_empty() {
            return false;
        }
        let refused = self.refused.get(&(server.id.clone(), server.started));
        refused.is_some_and(|since| now.since(*since) < REPORT_TIME)
    }

    /// Returns whether a later start with the identifier or at the address of a server is known that
    /// has another software version.
    pub fn is_replaced(&self, server: &Server) -> bool {
        let mut servers = self.records.values().map(|record| &record.server);
        servers.any(|other| {
            let same_place = other.id == server.id || other.address == server.address;
            let fits = other.service == server.service && other.version == server.version;
            same_place && other.started > server.started && !fits
        })
    }

    /// Returns whether a later start with an identifier is known that has another service or software
    /// version.
    pub fn is_superseded(&self, id: &str, started: u64, service: &str, version: &str) -> bool {
        self.records.get(id).is_some_and(|record| {
            let server = &record.server;
            let fits = &*server.service == service && &*server.version == version;
            server.started > started && !fits
        })
    }

    /// Returns whether a server may still get requests.
    pub fn is_usable(&self, now: Time, server: &Server) -> bool {
        let lapsed = self.failed_within(now, REREGISTRATION);
        self.records.get(&server.id).is_some_and(|record| {
            record.server.started == server.started
                && self.takes_requests(&record.server)
                && (!record.lapsed || lapsed)
        })
    }

    /// Returns whether the entries, read lately from a healthy store, show that this start of a server
    /// is gone: it is not listed, or another one has its address.
    pub fn is_gone(&self, now: Time, server: &Server) -> bool {
        let healthy = !self.failed_within(now, REREGISTRATION + OUTAGE_MARGIN);
        if !self.is_current(now) || !healthy || self.unreadable.contains(&server.id) {
            return false;
        }
        let same = |other: &Server| other.id == server.id && other.started == server.started;
        let records = self.records.values().filter(|record| !record.lapsed);
        let mut listed = false;
        for other in records.map(|record| &record.server) {
            if same(other) {
                listed = true;
            } else if other.address == server.address {
                return true;
            }
        }
        !listed
    }

    /// Returns the servers that may be running beside one: those of its availability zone, or all if
    /// there are none, as whole zones may refuse connections from others.
    pub fn neighbours(&self, server: &Server) -> Vec<Rc<Server>> {
        let records = self.records.values().filter(|record| !record.lapsed);
        let others = records
            .map(|record| &record.server)
            .filter(|other| other.id != server.id && other.address != server.address);
        let others: Vec<_> = others.cloned().collect();
        let in_zone = |other: &&Rc<Server>| other.zone == server.zone;
        match others.iter().any(|other| in_zone(&other)) {
            true => others.iter().filter(in_zone).cloned().collect(),
            false => others,
        }
    }

    /// Returns whether a server has the address.
    pub fn has_address(&self, address: SocketAddr) -> bool {
        let mut servers = self.records.values().map(|record| &record.server);
        servers.any(|server| server.address == address)
    }

    /// Returns the server with the identifier.
    pub fn get(&self, id: &str) -> Option<&Rc<Server>> {
        self.records.get(id).map(|record| &record.server)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Returns whether two reports of a server are equivalent for sending requests.
fn equivalent(old: &Server, new: &Server) -> bool {
    old.started == new.started
        && old.address == new.address
        && old.service == new.service
        && old.draining == new.draining
}
