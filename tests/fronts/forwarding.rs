//! Requests and responses on their way through the platform front, and when a request is retried.

use crate::scenario::scenarios;

scenarios! {
    request_and_response_are_forwarded_unchanged: Platform, 1, "
        expect d
        within 2000 await ready
        send c1 GET /health/ready
        expect c1
        send c1 PUT /api?a=%20b X-Lane:form-submit | form
        expect s0
        send s0 200 X-Pressure:TEXT~queue=2 | stored
        expect c1
        send c1 GET /api
        expect s0
        send s0 200 | *65536
        expect c1";

    long_body_and_slow_body_are_accepted: Platform, 1, "
        send c1 ${write} | *200000
        expect s0
        send s0 200 | stored
        expect c1
        send c2 raw ${write-start}${platform-headers}Content-Length: 13\\r\\n\\r\\nslow
        wait 1000
        send c2 raw body
        wait 1000
        send c2 raw sent
        wait 1000
        send c2 raw !
        expect s0
        send s0 200 | stored slowly
        expect c2";

    long_response_is_streamed: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 | *3000000
        expect c1
        send c1 GET /api
        expect s0
        send s0 200 part | *100000
        expect c1
        send c2 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n5\\r\\nhello\\r\\n0\\r\\n\\r\\n
        expect c2";

    read_is_retried_after_a_reset_and_a_submit_is_not: Platform, 1, "
        send c1 GET /api
        expect s0
        close s0
        expect s0
        send s0 200 | again
        expect c1
        send c1 ${write} | form
        expect s0
        close s0
        expect c1
        send c1 ${write} | form
        expect s0
        send s0 500
        expect c1
        send c1 ${write} | form
        expect s0
        send s0 200 part | half of it
        close c1
        send c2 GET /api
        expect s0
        send s0 200 | well
        expect c2";

    request_rejected_by_a_server_is_retried: Platform, 1, "
        send c1 ${write} | form
        expect s0
        send s0 503 X-Turned-Away:1
        expect s0
        send s0 200 | stored
        expect c1";

    idle_connection_closed_by_a_server_loses_no_request: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 Connection:close | first
        expect c1
        send c1 ${write} | form
        expect s0
        send s0 200 | second
        expect c1";

    silent_server_leads_to_one_response_at_the_deadline: Platform, 1, "
        send c1 ${write} X-Remaining:300m | form
        expect s0
        expect c1
        send c2 GET /api X-Remaining:300000u
        expect s0
        expect c2";
}
