//! This front among its peers: membership, limits that the whole fleet shares, and outlier ejection.

pub mod ejections;
pub mod limits;
pub mod peers;
