//! Thread-safe handle to the view.

use std::sync::{
    Arc,
    Mutex, //
};

use tokio::sync::{
    watch,
    Notify, //
};

use super::{
    entry::{
        Entry,
        State, //
    },
    snapshot::Snapshot,
    view::View,
};
use crate::{
    clock::Time,
    name::{
        Instance,
        Zone, //
    },
};

/// Thread-safe handle to the view; readers get immutable snapshots.
#[derive(Clone, Debug)]
pub struct Roster {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    view: Mutex<View>,
    snapshots: watch::Sender<Arc<Snapshot>>,
    pending: Notify,
}

impl Roster {
    /// Creates a handle to a view.
    pub fn new(view: View) -> Self {
        let (snapshots, _) = watch::channel(Arc::new(view.snapshot()));
        Self {
            shared: Arc::new(Shared {
                view: Mutex::new(view),
                snapshots,
                pending: Notify::new(),
            }),
        }
    }

    /// Creates the view of an instance that starts now.
    pub fn start(instance: Instance, zone: Zone, address: &str) -> Self {
        Self::new(View::new(Entry {
            instance,
            incarnation: Time::now().0 / 1_000_000,
            state: State::Live,
            zone,
            address: address.into(),
            capacity: 0,
            started: Time::now().0 / 1_000,
        }))
    }

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        self.shared.snapshots.borrow().clone()
    }

    /// Returns a receiver of the latest snapshot, notified of each later one.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.shared.snapshots.subscribe()
    }

    /// Runs `read` on the locked view.
    pub fn read<T>(&self, read: impl FnOnce(&View) -> T) -> T {
        let view = self.shared.view.lock();
        read(&view.unwrap_or_else(|error| error.into_inner()))
    }

    /// Changes the view and publishes a snapshot if the change is visible to readers.
    pub fn update<T>(&self, change: impl FnOnce(&mut View) -> T) -> T {
        let view = self.shared.view.lock();
        let mut view = view.unwrap_or_else(|error| error.into_inner());
        let before = (view.revision(), view.highest_applied().to_vec());
        let result = change(&mut view);
        if before.0 != view.revision() || before.1 != view.highest_applied() {
            self.shared
                .snapshots
                .send_replace(Arc::new(view.snapshot()));
        }
        if view.has_pending() {
            self.shared.pending.notify_one();
        }
        result
    }

    /// Waits until there are changes that have not been sent to other instances.
    pub async fn wait_pending(&self) {
        self.shared.pending.notified().await;
    }
}
