//! Rollout of a version: bound of the exposure, evidence, verdict and stages.

mod evidence;
mod fleet;
mod ration;
mod stage;
mod verdict;
