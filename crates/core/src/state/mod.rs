//! The state and the estimators of the decision module. The decisions and their constants are in
//! [`crate::policy`].

mod request;
mod request_table;
mod settings_check;
mod statistics;
mod token_bucket;

pub(crate) use request::{LiveRequest, PossibleExecution};
pub(crate) use request_table::RequestTable;
pub use statistics::Rate;
pub(crate) use statistics::{
    decayed, mean, moving_average, time_aware_alpha, weighted_choice, SlidingMinimum,
};
pub(crate) use token_bucket::{RateLimit, TokenBucket};
