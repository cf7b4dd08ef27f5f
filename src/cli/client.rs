//! Calls from commands to the console of a front or the API of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::cli::arguments::OutputFormat;
use crate::cli::error::{CliError, Service};
use crate::control::http_client::{call, CallTimeouts};
use crate::control::json_object;

/// Maximum duration of each step of a call.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeouts of a call for the steps until its response begins.
const CALL_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: STEP_TIMEOUT,
    response: STEP_TIMEOUT,
};

/// Calls a service and returns the body of its response. A status other than 200, or 202 from an
/// agent, is an error.
pub async fn fetch(
    service: Service,
    address: SocketAddr,
    method: Method,
    path: &str,
) -> Result<Vec<u8>, CliError> {
    let response = call(address, method, path, String::new(), CALL_TIMEOUTS).await;
    let response = response.map_err(|source| CliError::NoResponse {
        service,
        address,
        source,
    })?;
    let status = response.status;
    let body = response.read_all(STEP_TIMEOUT).await?;
    match (service, status) {
        (_, StatusCode::OK) | (Service::Agent, StatusCode::ACCEPTED) => Ok(body),
        _ => Err(CliError::Rejected {
            service,
            address,
            message: error_message(service, &body),
        }),
    }
}

/// Returns the message in the body of an error response.
fn error_message(service: Service, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    match service {
        // A console ends its messages with a newline.
        Service::Console => text.trim().to_owned(),
        Service::Agent => text.into_owned(),
    }
}

/// Decodes the JSON object in the body of a response.
pub fn parse<T: DeserializeOwned>(service: Service, mut body: Vec<u8>) -> Result<T, CliError> {
    json_object::parse(&mut body).map_err(|source| CliError::InvalidResponse { service, source })
}

/// Fetches `path` from the console of a front. For JSON output, prints the response unchanged and
/// returns `None`; otherwise returns the decoded response.
pub async fn fetch_from_console<T: DeserializeOwned>(
    console: SocketAddr,
    path: &str,
    output: OutputFormat,
) -> Result<Option<T>, CliError> {
    let body = fetch(Service::Console, console, Method::GET, path).await?;
    if output == OutputFormat::Json {
        println!("{}", String::from_utf8_lossy(&body));
        return Ok(None);
    }
    parse(Service::Console, body).map(Some)
}

/// Formats a duration given in milliseconds as seconds; returns a dash for `None`.
pub fn format_seconds(milliseconds: Option<i64>) -> String {
    milliseconds.map_or("-".to_owned(), |milliseconds| {
        format!("{:.1} s", milliseconds as f64 / 1e3)
    })
}
