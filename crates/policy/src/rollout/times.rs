//! Times that engines take to load new weights.

use std::time::Duration;

use super::{
    Engine,
    Mode,
    Weights,
    max_loading, //
};

/// Largest part of the engines that may be absent at the same time while time is ample: one in this
/// many.
const MAX_ABSENT_DIVISOR: usize = 3;
/// Weight of a new sample in the moving average of the absences.
const ABSENCE_SAMPLE_WEIGHT: f64 = 0.3;
/// Factor by which the estimated duration of a load may grow with each sample.
const MAX_LOAD_GROWTH: f64 = 1.1;
/// Factor by which the longest absence falls with each sample that is shorter.
const LONGEST_DECAY: f64 = 0.9;
/// Fraction of the estimated duration of a load after which an engine is first polled.
const FIRST_POLL_FRACTION: f64 = 0.5;
/// Delay before the first poll of a loading engine while no load was observed.
const INITIAL_POLL_DELAY: Duration = Duration::from_millis(250);
/// Time in seconds that an absence takes in addition to the load: the other instances are told, and
/// the end is seen at a poll.
const ABSENCE_OVERHEAD_S: f64 = 0.4;

/// Multiple of the longest absence after which a load does not hold up others any more.
const OVERDUE_FACTOR: f64 = 1.5;
/// Fractions of the time of a rollout between which that time lies.
const MIN_OVERDUE_FRACTION: f64 = 0.25;
const MAX_OVERDUE_FRACTION: f64 = 0.4;
/// Time in seconds for which a load may always hold up others: an order that stays unanswered is
/// repeated after about that time.
const MIN_OVERDUE_S: f64 = 1.5;

/// Fraction of the time left that is planned for; the rest is for what goes wrong.
const USABLE_FRACTION: f64 = 0.9;
/// Factor by which an absence may be longer than many that were observed.
const LONGEST_MARGIN_FACTOR: f64 = 1.25;
/// Addition to that factor while none was observed.
const UNSEEN_MARGIN_FACTOR: f64 = 0.5;
/// Number of absences that tell how long others may be.
const MANY_SAMPLES: u32 = 8;
/// Fraction of the time of a rollout beyond which a running absence says nothing of the others.
const OUTLIER_FRACTION: f64 = 0.5;

/// Engines that have yet to load.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Time left for each of them.
    pub time_left: Vec<Duration>,
    /// Longest absence of those that load, in seconds.
    longest_absence: f64,
}

impl Pending {
    /// Selects the engines that have yet to load from all of the model; `bound` is the time in which
    /// they have to.
    pub fn new(engines: &[Engine], bound: Duration) -> Self {
        let outlier = bound.mul_f64(OUTLIER_FRACTION);
        let pending = engines.iter().filter(|e| e.weights != Weights::Wanted);
        let absences = engines
            .iter()
            .filter(|e| e.weights == Weights::Loading && e.absence < outlier)
            .map(|e| e.absence.as_secs_f64());
        Self {
            time_left: pending.map(|engine| engine.time_left).collect(),
            longest_absence: absences.fold(0.0, f64::max),
        }
    }
}

/// Times that engines take to load new weights, as observed, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadTimes {
    /// Duration of a load; `None` before the first sample.
    load: Option<f64>,
    /// Absences of engines that finish their requests before they load.
    finishing: Option<Absences>,
    /// Absences of engines that continue their requests.
    continuing: Option<Absences>,
    /// Duration of the longest requests.
    longest_request: f64,
}

/// Absences of engines, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Absences {
    average: f64,
    /// High estimate, lowered slowly by shorter ones.
    longest: f64,
    /// Number of samples, up to [`MANY_SAMPLES`].
    samples: u32,
}

impl Absences {
    /// Assumed absences, before the first sample.
    fn assumed(absence: f64) -> Self {
        Self {
            average: absence,
            longest: absence,
            samples: 0,
        }
    }

    fn add(&mut self, sample: f64) {
        self.average += (sample - self.average) * ABSENCE_SAMPLE_WEIGHT;
        self.longest = sample.max(self.longest * LONGEST_DECAY);
        self.samples = (self.samples + 1).min(MANY_SAMPLES);
    }

    /// Estimate of the longest absence to come, if one may take `possible` as far as is known
    /// otherwise, even if those before were shorter. The first samples are the shortest of those that
    /// run.
    fn bound(&self, possible: f64) -> f64 {
        let unseen = f64::from(MANY_SAMPLES - self.samples) / f64::from(MANY_SAMPLES);
        let factor = LONGEST_MARGIN_FACTOR + UNSEEN_MARGIN_FACTOR * unseen;
        (self.longest * factor).max(possible)
    }

    /// Number of engines that have to be absent at the same time so that `count` load within
    /// `time_left`; `None` if one alone may take longer.
    fn needed(&self, count: usize, time_left: Duration, possible: f64) -> Option<usize> {
        // The last of them is ordered so early that it may take the longest time.
        let until_last = time_left.as_secs_f64() * USABLE_FRACTION - self.bound(possible);
        let needed =
            count as f64 * self.average / (until_last + self.average).max(f64::MIN_POSITIVE);
        (until_last >= 0.0).then_some(needed.ceil() as usize)
    }
}

impl LoadTimes {
    /// Records an engine that was absent for `absence` and loaded within `load` of its order.
    ///
    /// An engine may first finish its requests, so that the shortest times are those of the load.
    pub fn record(&mut self, mode: Mode, absence: Duration, load: Duration) {
        let load = load.as_secs_f64();
        let absence = absence.as_secs_f64().max(load);
        let shortest = self
            .load
            .map_or(load, |known| load.min(known * MAX_LOAD_GROWTH));
        self.load = Some(shortest);
        let absences = match mode {
            Mode::Finish => &mut self.finishing,
            Mode::Continue => &mut self.continuing,
        };
        let mut known = absences.unwrap_or_else(|| Absences::assumed(absence));
        known.add(absence);
        *absences = Some(known);
    }

    /// Sets the duration of the longest requests: engines that finish theirs may be absent as long.
    pub fn set_longest_request(&mut self, duration: Duration) {
        self.longest_request = duration.as_secs_f64();
    }

    /// Delay after an order until the engine is first polled: earlier than the shortest load seen,
    /// since a load is not seen to be shorter than that delay.
    pub fn first_poll_delay(&self) -> Duration {
        self.load.map_or(INITIAL_POLL_DELAY, |load| {
            Duration::from_secs_f64(load * FIRST_POLL_FRACTION)
        })
    }

    /// Whether an engine that has been absent for `absence` to load takes so long that it may never
    /// finish, so that others should not wait for it; `bound` is the time that a rollout has.
    pub fn is_overdue(&self, absence: Duration, bound: Duration) -> bool {
        let bound = bound.as_secs_f64();
        let usual = self.finishing.map_or(0.0, |known| known.longest);
        let limit = (usual * OVERDUE_FACTOR)
            .clamp(bound * MIN_OVERDUE_FRACTION, bound * MAX_OVERDUE_FRACTION);
        absence.as_secs_f64() > limit.max(MIN_OVERDUE_S)
    }

    /// Number of engines, out of `engines`, that may be absent at the same time while time is ample,
    /// so that as many load as [`max_loading`] allows while the others finish their requests.
    pub fn max_absent(&self, engines: usize) -> usize {
        let max_loading = max_loading(engines);
        let (Some(absences), Some(load)) = (self.finishing, self.load) else {
            return max_loading;
        };
        let absence = absences.average.max(load);
        let absent = max_loading as f64 * absence / load.max(f64::MIN_POSITIVE);
        (absent as usize)
            .min(engines / MAX_ABSENT_DIVISOR)
            .max(max_loading)
    }

    /// Number of engines that have to be absent at the same time so that the first `count` of the
    /// pending ones load within `time_left` if they finish their requests before; `None` if one
    /// alone may take longer.
    pub(super) fn finishing(
        &self,
        count: usize,
        time_left: Duration,
        pending: &Pending,
    ) -> Option<usize> {
        let running = pending.longest_absence;
        let known = self.finishing.unwrap_or_else(|| Absences::assumed(running));
        let longest = known.longest.max(running);
        Absences { longest, ..known }.needed(count, time_left, self.longest_finish())
    }

    /// The same as far as is known before the first absence: if the engines' requests last half as long
    /// as the longest ones.
    pub(super) fn finishing_unseen(&self, count: usize, time_left: Duration) -> usize {
        if self.finishing.is_some() {
            return 0;
        }
        let longest = self.longest_finish();
        let needed = Absences::assumed(longest / 2.0).needed(count, time_left, longest);
        needed.unwrap_or_default()
    }

    /// Time in seconds that an engine may take to finish the longest requests and to load.
    fn longest_finish(&self) -> f64 {
        self.longest_request + self.load.unwrap_or_default() + ABSENCE_OVERHEAD_S
    }

    /// Mode of an order that was planned as `planned` and is given with `time_left`: after orders that
    /// got lost, an engine may no longer have the time to finish its requests.
    pub fn mode(&self, planned: Mode, time_left: Duration) -> Mode {
        if self.longest_finish() <= time_left.as_secs_f64() {
            planned
        } else {
            Mode::Continue
        }
    }

    /// Like [`Self::finishing`], if the engines continue their requests; not more than keep the weight
    /// store busy if there is no time left at all.
    pub(super) fn continuing(&self, count: usize, time_left: Duration, engines: usize) -> usize {
        let Some(load) = self.load else {
            return max_loading(engines);
        };
        let least = load + ABSENCE_OVERHEAD_S;
        let known = self.continuing.unwrap_or_else(|| Absences::assumed(least));
        if time_left.is_zero() {
            let absence = known.average.max(least);
            let absent = max_loading(engines) as f64 * absence / load.max(f64::MIN_POSITIVE);
            return count.min(absent.ceil() as usize);
        }
        known.needed(count, time_left, 0.0).unwrap_or(engines)
    }
}
