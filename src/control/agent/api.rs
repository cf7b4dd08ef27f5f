//! The agent's HTTP API, for the command line.
//!
//! - `GET /fronts`: the status of all fronts, as JSON.
//! - `POST /fronts/NAME/drain`, `/resume` and `/restart`: changes the desired state of a front.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{Either, Full};
use hyper::{Method, Response, StatusCode};

use crate::control::agent::command::FrontCommand;
use crate::control::agent::fleet::Fleet;
use crate::control::agent::supervisor::STOP_TIMEOUT;
use crate::frontend::listener::{Handler, ReceivedRequest};
use crate::frontend::replies::{plain, Reply};

/// The HTTP handler that shows and commands the fronts of an agent.
pub struct AgentApi {
    fleet: Rc<Fleet>,
}

impl AgentApi {
    /// Creates the API for the fronts of `fleet`.
    pub fn new(fleet: Rc<Fleet>) -> AgentApi {
        AgentApi { fleet }
    }

    /// Returns the status of all fronts as JSON.
    fn show_fronts(&self) -> Reply {
        match simd_json::serde::to_vec(&self.fleet.status()) {
            Ok(json) => Response::new(Either::Left(Full::from(json))),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// Passes a command on to the front `name`, and returns before it is carried out.
    fn command_front(&self, name: &str, command: &str) -> Reply {
        if !self.fleet.contains(name) {
            return plain(StatusCode::NOT_FOUND, "no such front");
        }
        let Some(command) = FrontCommand::from_name(command) else {
            return plain(StatusCode::NOT_FOUND, "no such command");
        };
        self.fleet.command(name, command);
        plain(StatusCode::ACCEPTED, "ok")
    }
}

impl Handler for AgentApi {
    fn longest_deadline(&self) -> Duration {
        STOP_TIMEOUT
    }

    async fn answer(&self, request: ReceivedRequest, _shutting_down: bool) -> Reply {
        if let Err(status) = *request.body() {
            return plain(status, "the request is not taken");
        }
        let path = request.uri().path().to_owned();
        let segments: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (request.method(), segments.as_slice()) {
            (&Method::GET, ["fronts"]) => self.show_fronts(),
            (&Method::POST, ["fronts", name, command]) => self.command_front(name, command),
            _ => plain(StatusCode::NOT_FOUND, "no such thing"),
        }
    }
}
