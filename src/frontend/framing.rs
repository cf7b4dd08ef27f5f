//! The framing of a request body, determined from the request head before hyper parses it.
//!
//! hyper resolves contradictory lengths silently; another party could then take the end of a body
//! for a second request (request smuggling). Such requests are rejected here.

use hyper::StatusCode;

/// Maximum number of header fields of a request, the same as hyper's limit.
const MAX_HEADER_FIELDS: usize = 100;

/// How the end of a request body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes; 0 where the head has neither `Content-Length` nor
    /// `Transfer-Encoding`.
    Length(u64),
    /// The body ends with its last chunk: `Transfer-Encoding: chunked`.
    Chunked,
}

/// Determines the framing of a request body from its complete head, including the final blank line.
///
/// # Errors
/// Returns the status of the response: 400 for a malformed head or ambiguous framing, 413 for a
/// length that does not fit into 64 bits, 431 for too many header fields.
pub fn body_framing(head: &[u8]) -> Result<BodyFraming, StatusCode> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    match request.parse(head) {
        Ok(httparse::Status::Complete(length)) if length == head.len() => {}
        Err(httparse::Error::TooManyHeaders) => {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        }
        _ => return Err(StatusCode::BAD_REQUEST),
    }
    let lengths = field_values(request.headers, "content-length");
    let codings = field_values(request.headers, "transfer-encoding");
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) => Ok(BodyFraming::Length(0)),
        ([length], []) => content_length(length),
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Ok(BodyFraming::Chunked),
        _ => Err(StatusCode::BAD_REQUEST),
    }
}

/// Returns the values of all header fields with this name; case is ignored.
fn field_values<'a>(headers: &[httparse::Header<'a>], name: &str) -> Vec<&'a [u8]> {
    headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name))
        .map(|field| field.value)
        .collect()
}

/// Parses the value of a `Content-Length` field. Only decimal digits are allowed; `parse` alone
/// would accept a sign.
fn content_length(value: &[u8]) -> Result<BodyFraming, StatusCode> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let length = std::str::from_utf8(value)
        .ok()
        .and_then(|digits| digits.parse().ok());
    length
        .map(BodyFraming::Length)
        .ok_or(StatusCode::PAYLOAD_TOO_LARGE)
}
