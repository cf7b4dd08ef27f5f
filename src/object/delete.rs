//! Removing objects.

use std::rc::Rc;

use hyper::{Method, StatusCode};

use super::error::ApiError;
use super::front_state::FrontState;
use super::node_request::{encode_query_value, NodeRequest};
use super::replies::empty;
use super::request::ObjectRequest;
use crate::frontend::replies::Reply;
use crate::upstream::Answer;

impl FrontState {
    /// DeleteObject: one version, or all copies of the object. Deleting what does not exist is a
    /// success.
    pub(super) async fn delete(self: &Rc<Self>, request: ObjectRequest) -> Result<Reply, ApiError> {
        match request.version()? {
            Some(version) if version.own.is_empty() => {
                return Err(ApiError::not_implemented(
                    "The node that holds this keeps no versions.",
                ));
            }
            Some(version) => {
                let node = NodeRequest {
                    shard: Some(version.shard),
                    query: format!("versionId={}", encode_query_value(&version.own)),
                    units: self.mean_units,
                    ..NodeRequest::new(request.bucket.read_class, Method::DELETE)
                };
                let answer = self.send(&request, node).await;
                check_deleted(answer.and_then(|answer| answer.into_success("NoSuchKey")))?;
            }
            // Older copies at other shards would become visible once the latest is deleted.
            None => {
                for shard in self.send_to_all_shards(&request, Method::DELETE).await {
                    check_deleted(shard.result)?;
                }
            }
        }
        Ok(empty(StatusCode::NO_CONTENT))
    }
}

fn check_deleted(result: Result<Answer, ApiError>) -> Result<(), ApiError> {
    match result {
        Ok(_) => Ok(()),
        Err(error) if error.is_not_found() => Ok(()),
        Err(error) => Err(error),
    }
}
