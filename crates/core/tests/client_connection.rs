//! Client connections: whether a request would be lost if the connection were closed now.

use tulipbridge_core::client_connection::{ClientConnection, ClientEvent};
use tulipbridge_core::Nanos;

const MS: Nanos = 1_000_000;

/// Returns a connection that was accepted at time 0 and handled the events at time 0.
fn after(events: &[ClientEvent]) -> ClientConnection {
    let mut connection = ClientConnection::new(0);
    events.iter().for_each(|event| connection.on(0, *event));
    connection
}

#[test]
fn connection_with_an_arriving_request_is_not_closed_at_shutdown() {
    use ClientEvent::{Answered, BodyStarted, Closing, HeadStarted, RequestReceived};
    let now = 1_000 * MS;
    for (name, connection, unread_bytes, arriving) in [
        ("partial head", after(&[HeadStarted]), false, true),
        (
            "partial body",
            after(&[HeadStarted, BodyStarted]),
            false,
            true,
        ),
        (
            "idle",
            after(&[HeadStarted, RequestReceived, Answered]),
            false,
            false,
        ),
        (
            "idle, with bytes unread",
            after(&[HeadStarted, RequestReceived, Answered]),
            true,
            true,
        ),
        ("silent", after(&[]), false, false),
        ("silent, with bytes unread", after(&[]), true, true),
        (
            "responding",
            after(&[HeadStarted, RequestReceived]),
            true,
            false,
        ),
        (
            "closing",
            after(&[HeadStarted, RequestReceived, Answered, Closing]),
            true,
            false,
        ),
    ] {
        assert_eq!(
            connection.is_arriving(now, unread_bytes),
            arriving,
            "{name}"
        );
    }
    assert!(
        after(&[]).is_arriving(100 * MS, false),
        "a new connection is expected to send a request"
    );
}

#[test]
fn close_waits_for_a_request_that_arrived_meanwhile() {
    use ClientEvent::{Answered, HeadStarted, RequestReceived};
    assert!(after(&[HeadStarted, RequestReceived, Answered]).may_close_now(100 * MS, false));
    assert!(!after(&[HeadStarted, RequestReceived, Answered]).may_close_now(100 * MS, true));
    assert!(
        !after(&[HeadStarted, RequestReceived]).may_close_now(100 * MS, false),
        "a request is open"
    );
    assert!(!after(&[HeadStarted]).may_close_now(2_700 * MS, true));
    assert!(
        after(&[HeadStarted]).may_close_now(3_300 * MS, true),
        "a request that keeps arriving in pieces does not prevent the close"
    );
}

#[test]
fn response_is_under_way_until_it_is_written_or_its_client_stops_reading() {
    use ClientEvent::{Answered, Closing, HeadStarted, RequestReceived, ResponseWritten};
    let begun = [HeadStarted, RequestReceived, ResponseWritten];
    let answered = [HeadStarted, RequestReceived, ResponseWritten, Answered];
    let closing = [
        HeadStarted,
        RequestReceived,
        ResponseWritten,
        Answered,
        Closing,
    ];
    let next_request = [
        HeadStarted,
        RequestReceived,
        ResponseWritten,
        RequestReceived,
    ];
    for (name, connection, now, unflushed, delivering) in [
        ("begun", after(&begun), 7_999 * MS, false, true),
        ("stalled", after(&begun), 8_000 * MS, false, false),
        ("unanswered", after(&begun[..2]), 0, false, false),
        ("answered next", after(&next_request), 0, false, false),
        ("unflushed", after(&answered), 7_999 * MS, true, true),
        (
            "unflushed, stalled",
            after(&answered),
            8_000 * MS,
            true,
            false,
        ),
        ("written", after(&answered), 0, false, false),
        ("closing", after(&closing), 0, true, false),
    ] {
        assert_eq!(
            connection.is_delivering(now, unflushed),
            delivering,
            "{name}"
        );
    }
}
