//! The state of the decision module and its bookkeeping. No decision is made here and no constant
//! of a decision is chosen here: both are in [`crate::policy`].

mod active_nodes;
mod admission;
mod bookkeeping;
mod fingerprint;
mod node;
mod node_table;
mod request;
mod scheduler;
mod settings_check;
mod statistics;
mod token_bucket;
mod volume;

pub(crate) use admission::{Admission, ClientPatience};
pub(crate) use node::{AttemptKey, Health, Node, SentAttempt, WarmupSend};
pub(crate) use request::{KeyQueue, LiveRequest, PossibleExecution};
pub use scheduler::Scheduler;
pub use statistics::Rate;
pub(crate) use statistics::{mean, moving_average, time_aware_alpha, weighted_choice};
pub(crate) use token_bucket::{RateLimit, TokenBucket};
pub(crate) use volume::Volume;
