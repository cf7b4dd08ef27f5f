//! Calls from commands to the console of a front or the API of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;

use crate::cli::arguments::OutputFormat;
use crate::cli::error::{CliError, Service};
use crate::control::http_client::{call, CallTimeouts};
use crate::control::json_object;

/// The longest time for each step of a call.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);
/// The timeouts of a call until its response begins.
const CALL_TIMEOUTS: CallTimeouts = CallTimeouts {
    connect: STEP_TIMEOUT,
    response: STEP_TIMEOUT,
};

/// The body of the response to a call.
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
            message: message(service, &body),
        }),
    }
}

/// The message in the body of an error response.
fn message(service: Service, body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    match service {
        // A console ends its messages with a line end.
        Service::Console => text.trim().to_owned(),
        Service::Agent => text.into_owned(),
    }
}

/// Decodes the JSON object in the body of a response.
pub fn parse<T: DeserializeOwned>(service: Service, mut body: Vec<u8>) -> Result<T, CliError> {
    json_object::parse(&mut body).map_err(|source| CliError::InvalidResponse { service, source })
}

/// What a front's console returns for `path`. For JSON output it is printed as it is, and `None`
/// returned.
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

/// A duration in milliseconds as text in seconds; a dash where there is none.
pub fn format_seconds(milliseconds: Option<i64>) -> String {
    milliseconds.map_or("-".to_owned(), |milliseconds| {
        format!("{:.1} s", milliseconds as f64 / 1e3)
    })
}
