//! Proof that a request has not run, which every refusal that promises this requires, and evidence
//! that an upstream has ended, without which a request may not run on more upstreams.

use std::{
    cell::RefCell,
    net::SocketAddr,
    rc::Rc, //
};

/// One send of a request.
#[derive(Debug)]
struct Send {
    upstream: SocketAddr,
    /// Whether the upstream has ended since; such a send is not counted as an attempt.
    ended: bool,
}

/// Sends of one request that ran, or may have run; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Sends(Rc<RefCell<Vec<Send>>>);

/// Proof that no upstream ran the request and none will.
#[derive(Debug)]
pub struct NotRun(());

/// Evidence that an upstream itself has ended, and not only the paths to it.
#[derive(Debug)]
pub struct Ended(());

/// What is known of an upstream to which no new connection could be opened, directly or through
/// another instance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Findings {
    /// Whether the registry lists this start of the upstream no more, or another one at its address.
    pub unlisted: bool,
    /// Whether a direct connection was refused, while one to another upstream succeeded.
    pub refused: bool,
    /// Whether others reached the upstream while this instance did not, so that a refusal here is
    /// one of its path.
    pub path_lost: bool,
    /// Whether another instance was refused by this start of the upstream, and reached another one.
    pub attested: bool,
}

impl Findings {
    /// Returns the evidence that the upstream has ended, if there is any.
    ///
    /// Timeouts, broken tunnels and instances that don't answer are none.
    pub fn ended(&self) -> Option<Ended> {
        let refused = self.refused && !self.path_lost;
        (self.unlisted || refused || self.attested).then_some(Ended(()))
    }
}

impl Sends {
    /// Records that an upstream may run the request.
    ///
    /// Called before the first byte is written; [`Self::refused`] undoes it.
    pub fn started(&mut self, upstream: SocketAddr) {
        self.0.borrow_mut().push(Send {
            upstream,
            ended: false,
        });
    }

    /// Records that the upstream of the latest send did not run the request and won't.
    pub fn refused(&mut self) {
        self.0.borrow_mut().pop();
    }

    /// Records that an upstream has ended; whether it ran the request stays unknown.
    pub fn ended(&mut self, upstream: SocketAddr, _: &Ended) {
        let mut sends = self.0.borrow_mut();
        for send in sends.iter_mut().filter(|send| send.upstream == upstream) {
            send.ended = true;
        }
    }

    /// Returns the number of live upstreams that ran the request, or may have.
    pub fn attempts(&self) -> usize {
        let sends = self.0.borrow();
        let live = sends.iter().filter(|send| !send.ended);
        let mut upstreams: Vec<_> = live.map(|send| send.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    }

    /// Returns whether a live upstream ran the request, or may have.
    pub fn ran_on(&self, upstream: SocketAddr) -> bool {
        let here = |send: &Send| send.upstream == upstream && !send.ended;
        self.0.borrow().iter().any(here)
    }

    /// Returns the proof that the request has not run, if that is known.
    pub fn not_run(&self) -> Option<NotRun> {
        self.0.borrow().is_empty().then_some(NotRun(()))
    }
}
