//! When other instances were asked for their last answers.

use std::time::Duration;

use super::{
    ANSWER_TIME,
    Evaluation,
    Evidence, //
};

/// Age at which an inquiry about a segment is repeated before the segment is found.
const ASKED_MAX_AGE: Duration = Duration::from_secs(1);

/// When other instances were asked about a segment.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inquiry {
    segment: u64,
    /// First time that is not too long ago or, if they are asked again and again, the latest one to
    /// which they had the time to answer.
    at: Duration,
    /// The latest time if they are asked again and again.
    repeated_at: Duration,
    /// Whether the segment was found, so that they need not be asked again.
    is_closed: bool,
}

impl Evidence {
    /// When other instances were last asked about a segment, if that is not too long ago.
    pub(super) fn asked_at(&self, now: Duration, segment: u64) -> Duration {
        let inquiry = self.inquiry(segment);
        let recent =
            inquiry.filter(|inquiry| inquiry.is_closed || inquiry.at + ASKED_MAX_AGE >= now);
        recent.map_or(now, |inquiry| inquiry.at)
    }

    fn inquiry(&self, segment: u64) -> Option<&Inquiry> {
        let index = self
            .inquiries
            .binary_search_by_key(&segment, |inquiry| inquiry.segment);
        Some(&self.inquiries[index.ok()?])
    }

    pub(super) fn is_found(&self, segment: u64) -> bool {
        let inquiry = self.inquiry(segment);
        inquiry.is_some_and(|inquiry| inquiry.is_closed)
    }

    /// Remembers what others are asked now. The open segments from number `watched` on are asked
    /// about again and again.
    pub(super) fn remember_asked(
        &mut self,
        now: Duration,
        evaluation: &Evaluation,
        watched: usize,
    ) {
        let culprits = evaluation.culprits.iter();
        let found = culprits.map(|culprit| (culprit.segment, true, false));
        let open = evaluation.open.iter().enumerate();
        let open = open.map(|(number, segment)| (*segment, false, number >= watched));
        let inquiries = found.chain(open).map(|(segment, is_closed, is_watched)| {
            let at = self.asked_at(now, segment);
            let known = self.inquiry(segment).filter(|known| known.at == at);
            let repeated_at = known.map_or(at, |known| known.repeated_at);
            let is_next = is_watched && repeated_at + ANSWER_TIME <= now;
            Inquiry {
                segment,
                at: if is_next { repeated_at } else { at },
                repeated_at: if is_next { now } else { repeated_at },
                is_closed,
            }
        });
        let mut inquiries: Vec<Inquiry> = inquiries.collect();
        inquiries.sort_unstable_by_key(|inquiry| inquiry.segment);
        self.inquiries = inquiries;
    }
}
