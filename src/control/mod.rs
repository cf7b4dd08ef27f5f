//! The control plane: discovery, the operators' console, maintenance of chunk servers, and the
//! agent that runs several fronts.

pub mod agent;
pub mod console;
pub mod discovery;
pub mod endpoint_list;
pub mod http_client;
pub mod json_object;
pub mod json_stream;
pub mod maintenance;
pub mod maintenance_call;
pub mod maintenance_file;
pub mod readiness;
