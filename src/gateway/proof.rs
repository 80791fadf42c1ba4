//! Proof that a request has not run, without which no refusal may promise it.

use std::net::SocketAddr;

/// One send of a request.
#[derive(Debug)]
struct Send {
    upstream: SocketAddr,
    /// Whether the upstream has ended since, so that the send is no attempt on a live upstream.
    ended: bool,
}

/// What is known of the sends of one request that ran, or may have run.
#[derive(Debug, Default)]
pub struct Sends(Vec<Send>);

/// Proof that no upstream ran the request and none will.
#[derive(Debug)]
pub struct Unrun(());

impl Sends {
    /// Notes that an upstream runs the request, or may.
    ///
    /// Called before the first byte is written; [`Self::refused`] takes it back.
    pub fn started(&mut self, upstream: SocketAddr) {
        self.0.push(Send {
            upstream,
            ended: false,
        });
    }

    /// Notes that the upstream of the latest send did not run the request and won't.
    pub fn refused(&mut self) {
        self.0.pop();
    }

    /// Notes that an upstream has ended; what it ran of the request stays unknown.
    pub fn ended(&mut self, upstream: SocketAddr) {
        for send in self.0.iter_mut().filter(|send| send.upstream == upstream) {
            send.ended = true;
        }
    }

    /// Returns the number of live upstreams that ran the request, or may have.
    pub fn attempts(&self) -> usize {
        let live = self.0.iter().filter(|send| !send.ended);
        let mut upstreams: Vec<_> = live.map(|send| send.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    }

    /// Returns whether a live upstream ran the request, or may have.
    pub fn ran_on(&self, upstream: SocketAddr) -> bool {
        let here = |send: &Send| send.upstream == upstream && !send.ended;
        self.0.iter().any(here)
    }

    /// Returns the proof that the request has not run, if that is known.
    pub fn unrun(&self) -> Option<Unrun> {
        self.0.is_empty().then_some(Unrun(()))
    }
}
