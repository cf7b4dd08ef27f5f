//! State of the object API's handler.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use super::config::Bucket;
use crate::exchange::Exchange;
use crate::upstream::Upstream;

/// State of the handler, shared with the tasks that stream objects.
pub(super) struct FrontState {
    pub(super) exchange: Rc<Exchange<Upstream>>,
    /// Buckets by name.
    pub(super) buckets: HashMap<String, Bucket>,
    /// Number of shards.
    pub(super) shards: u32,
    /// Deadlines by class.
    pub(super) deadlines: Vec<Duration>,
    /// Mean units of a request, assumed where the size is not known.
    pub(super) mean_units: f64,
    /// The most units of a request.
    pub(super) max_units: f64,
    /// Upload ids whose completion runs or may still run, and until when.
    pub(super) pending_completions: RefCell<HashMap<String, Instant>>,
}
