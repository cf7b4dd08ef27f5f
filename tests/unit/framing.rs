//! Framing of request bodies.

use hyper::StatusCode;
use tulipbridge::frontend::framing::{body_framing, BodyFraming};

fn framing_of(fields: &str) -> Result<BodyFraming, StatusCode> {
    body_framing(format!("PUT / HTTP/1.1\r\n{fields}\r\n").as_bytes())
}

#[test]
fn a_body_is_framed_by_its_length_or_in_chunks() {
    assert_eq!(framing_of(""), Ok(BodyFraming::Length(0)));
    assert_eq!(
        framing_of("content-length: 12\r\n"),
        Ok(BodyFraming::Length(12))
    );
    assert_eq!(
        framing_of("Transfer-Encoding: chunked\r\n"),
        Ok(BodyFraming::Chunked)
    );
}

#[test]
fn ambiguous_or_malformed_framing_is_refused() {
    for fields in [
        "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 3\r\n",
        "Content-Length: -3\r\n",
        "Content-Length: +3\r\n",
        "Content-Length: 3, 3\r\n",
        "Content-Length:\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length : 3\r\n",
        "\n",
    ] {
        assert_eq!(
            framing_of(fields),
            Err(StatusCode::BAD_REQUEST),
            "{fields:?}"
        );
    }
    assert_eq!(
        framing_of("Content-Length: 99999999999999999999\r\n"),
        Err(StatusCode::PAYLOAD_TOO_LARGE)
    );
}
