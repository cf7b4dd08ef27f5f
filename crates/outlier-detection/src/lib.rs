//! Detection and ejection of outliers among chunk servers by a fleet of front ends. Each front runs
//! one [`OutlierDetector`]. Its inputs are the results of the front's own attempts and the evidence
//! and votes of the peers in the [`GossipStore`]; its outputs say which servers the front must
//! eject and when it is the front's turn to probe one.
//!
//! The crate does no I/O and reads no clock. The protocol and its bounds are described in
//! `docs/outlier-ejection.md`.

mod attempt_counts;
mod attempt_observer;
mod config;
mod detector;
mod event;
mod evidence;
mod gossip;
mod ids;
pub mod mutations;
mod report;
mod target;

pub use attempt_observer::{AttemptId, AttemptObserver, AttemptResult};
pub use config::{DetectorConfig, DetectorConfigError};
pub use detector::OutlierDetector;
pub use event::{Effect, Event, KnownServer};
pub use evidence::{ClassEvidence, Evidence, SampleQuality};
pub use gossip::{EVIDENCE, PROBE, VOTE};
pub use ids::{ClassId, ServerId, ZoneId};
pub use report::{EjectionReport, Observation, Vote};
pub use target::{EjectionTarget, Scope};
pub use tulipbridge_membership::{EntryKey, GossipStore, Incarnation, Nanos, PeerId};
