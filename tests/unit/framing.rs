//! Where a request ends.

use super::*;

#[test]
fn lengths_that_contradict_each_other_are_no_framing() {
    let told = |fields: &str| framing(format!("PUT / HTTP/1.1\r\n{fields}\r\n").as_bytes());
    assert_eq!(told(""), Ok(Some(0)));
    assert_eq!(told("content-length: 12\r\n"), Ok(Some(12)));
    assert_eq!(told("Transfer-Encoding: chunked\r\n"), Ok(None));
    for bad in [
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
        assert_eq!(told(bad), Err(StatusCode::BAD_REQUEST), "{bad:?}");
    }
    assert_eq!(told("Content-Length: 99999999999999999999\r\n"), Err(StatusCode::PAYLOAD_TOO_LARGE));
}
