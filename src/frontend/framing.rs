//! How the body of a request is framed, decided from its head before hyper sees it.
//!
//! hyper resolves contradictory lengths silently; another party could then take the tail of a body
//! for a second request (request smuggling). Such requests are rejected here.

use hyper::StatusCode;

/// The most header fields of a request, the limit of hyper.
const MAX_HEADER_FIELDS: usize = 100;

/// How the end of a request body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// The body has this many bytes; 0 where the head has no framing field.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
}

/// Parses a complete request head, blank line included, for the framing of its body.
///
/// # Errors
/// The status to answer: 400 for a malformed head or ambiguous framing, 413 for a length that does
/// not fit 64 bits, 431 for too many header fields.
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

/// The values of all header fields with this name, in any case.
fn field_values<'a>(headers: &[httparse::Header<'a>], name: &str) -> Vec<&'a [u8]> {
    headers
        .iter()
        .filter(|field| field.name.eq_ignore_ascii_case(name))
        .map(|field| field.value)
        .collect()
}

/// The framing by the value of a `Content-Length` field: decimal digits alone, where `parse` would
/// accept a sign.
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
