//! Responses of chunk servers that are malformed, stalled or unsolicited.

use crate::scenario::scenarios;

scenarios! {
    malformed_response_is_a_failed_attempt: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\nended only by closing
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 3000000000\\r\\n\\r\\nand more
        expect s0
        send s0 200 | the third
        expect c1
        send c1 ${write} | form
        expect s0
        send s0 raw ICY 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\nwell
        expect c1";

    // Guards against connections that a hung server keeps for good: the client of a long response
    // leaves while the server is silent.
    stopped_response_of_a_client_that_left_frees_its_connection: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 200000\\r\\n\\r\\nand no more
        wait 300
        close c1
        expect s0 raw left";

    // Guards against the same while the client waits on.
    stopped_response_is_given_up_although_its_client_stays: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 200000\\r\\n\\r\\nand no more
        expect c1
        expect s0 raw left";

    stalled_response_leaves_time_for_a_retry: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 12\\r\\n\\r\\nhalf of
        expect s0
        send s0 200 | the second
        expect c1
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nX-Pad: and so on
        expect s0
        send s0 200 | the second
        expect c1";

    informational_responses_and_trailing_bytes_are_ignored: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 101 Switching\\r\\nUpgrade: x\\r\\n\\r\\n
        expect s0
        send s0 raw HTTP/1.1 103 Early\\r\\n\\r\\nHTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\nX-Volume-Use: {\\r\\n\\r\\nwellHTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\ncopy
        expect c1
        send c1 GET /api
        expect s0
        send s0 200 | its own
        expect c1";

    unsolicited_response_is_not_taken_for_the_next_one: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 | first
        expect c1
        send s0 unasked HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\ncopy
        send c1 GET /api
        expect s0
        send s0 200 | second
        expect c1";
}
