//! Builds of a service's endpoints, and which of them may have begun a stream.
//!
//! A build is a version of the endpoints' software. A stream goes on only at the build that began it,
//! since endpoints do not check whether what two builds write fits together.

use std::{
    sync::Arc,
    time::Duration, //
};

/// A build that endpoints of a service have, or had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Name of the build.
    pub build: Arc<str>,
    /// When the last endpoint with it was gone; `None` while there is one.
    pub gone_at: Option<Duration>,
}

/// Recorded builds of one service. Times are by a clock that all instances share.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct History {
    /// # Invariants
    ///
    /// Sorted by build, each once.
    sightings: Vec<Sighting>,
}

impl History {
    /// Creates a history; of several sightings of a build, one that is not gone or was gone last counts.
    pub fn new(mut sightings: Vec<Sighting>) -> Self {
        let age = |s: &Sighting| (s.gone_at.is_some(), s.gone_at.map(std::cmp::Reverse));
        sightings.sort_by(|a, b| (&a.build, age(a)).cmp(&(&b.build, age(b))));
        sightings.dedup_by(|later, first| later.build == first.build);
        Self { sightings }
    }

    /// Recorded builds, sorted by name.
    pub fn sightings(&self) -> &[Sighting] {
        &self.sightings
    }

    /// Whether endpoints with this build are recorded.
    pub fn is_recorded(&self, build: &str) -> bool {
        let found = self.find(build).map(|index| &self.sightings[index]);
        found.is_ok_and(|sighting| sighting.gone_at.is_none())
    }

    /// The history at `now`, when endpoints with the builds `registered` are registered. Builds that
    /// were gone for longer than `horizon`, the longest time from the begin of a stream until it is
    /// taken up for the last time, are dropped.
    pub fn update(&self, registered: &[Arc<str>], now: Duration, horizon: Duration) -> Self {
        let mut sightings: Vec<Sighting> = registered.iter().map(Sighting::present).collect();
        let is_gone = |s: &&Sighting| !registered.contains(&s.build);
        for sighting in self.sightings.iter().filter(is_gone) {
            // A clock that has started again is behind the recorded time.
            let gone_at = sighting.gone_at.map_or(now, |at| at.min(now));
            if now - gone_at <= horizon {
                sightings.push(Sighting {
                    build: sighting.build.clone(),
                    gone_at: Some(gone_at),
                });
            }
        }
        Self::new(sightings)
    }

    /// What both histories have.
    pub fn merge(&self, other: &Self) -> Self {
        let both = self.sightings.iter().chain(&other.sightings);
        Self::new(both.cloned().collect())
    }

    /// The only build of the history; `None` if there are several or none.
    pub fn sole(&self) -> Option<&Arc<str>> {
        match self.sightings.as_slice() {
            [sighting] => Some(&sighting.build),
            _ => None,
        }
    }

    fn find(&self, build: &str) -> Result<usize, usize> {
        self.sightings
            .binary_search_by(|sighting| (*sighting.build).cmp(build))
    }
}

impl Sighting {
    /// A build that endpoints have.
    pub fn present(build: &Arc<str>) -> Self {
        Self {
            build: build.clone(),
            gone_at: None,
        }
    }
}
