//! The control side: the agent that runs many fronts, the operators' console, maintenance and discovery.

pub mod agent;
pub mod console;
pub mod discovery;
pub mod etcd;
pub mod http_client;
pub mod json_stream;
pub mod maintenance;
