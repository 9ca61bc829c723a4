//! Jobs that other threads submit to the peer plane.

use std::{
    sync::Mutex,
    time::Duration, //
};

use tokio::sync::{
    mpsc,
    oneshot, //
};

/// Timeout for a majority to hold a revision.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(2);

/// One job, with the channel for its result.
#[derive(Debug)]
pub enum Job {
    /// Push the settings in force to all members.
    Replicate(oneshot::Sender<Replication>),
    /// Send the digest of this instance to all members.
    Announce(oneshot::Sender<Announcement>),
}

/// How many members hold a revision.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Replication {
    /// Number of members that hold it, including this one.
    pub holders: usize,
    /// Number of members of which a majority is required.
    pub members: usize,
}

impl Replication {
    /// Whether a majority holds the revision, so that every other majority has a member that does.
    pub fn is_majority(&self) -> bool {
        self.holders >= policy::freshness::majority(self.members)
    }
}

/// Which members have merged the digest of this instance.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Announcement {
    /// Names of the members that answered, including this one.
    pub reached: Vec<String>,
    /// Names of the members that did not.
    pub unreached: Vec<String>,
}

/// Queue of jobs for the peer plane.
#[derive(Debug)]
pub struct Jobs {
    sender: mpsc::UnboundedSender<Job>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Job>>>,
}

impl Default for Jobs {
    fn default() -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        Self {
            sender,
            receiver: Mutex::new(Some(receiver)),
        }
    }
}

impl Jobs {
    /// Pushes the settings in force to all members and waits until a majority holds them.
    ///
    /// Returns the default if that times out or there is no peer plane.
    pub async fn replicate(&self) -> Replication {
        let (done, result) = oneshot::channel();
        // Fails only without a peer plane.
        self.sender.send(Job::Replicate(done)).ok();
        match tokio::time::timeout(REPLICATION_TIMEOUT, result).await {
            Ok(Ok(progress)) => progress,
            _ => Replication::default(),
        }
    }

    /// Sends the digest of this instance to all members; those that do not answer in time count as
    /// not reached.
    pub async fn announce(&self) -> Announcement {
        let (done, result) = oneshot::channel();
        // Fails only without a peer plane.
        self.sender.send(Job::Announce(done)).ok();
        result.await.unwrap_or_default()
    }

    /// The receiving end, for the peer plane; `None` if it was taken before.
    pub(super) fn take_receiver(&self) -> Option<mpsc::UnboundedReceiver<Job>> {
        self.receiver.lock().ok()?.take()
    }
}
