//! Chunk servers that drain, reset a connection or end a response without a length.

use crate::scenario::scenarios;

scenarios! {
    request_in_flight_at_a_draining_server_is_awaited: Platform, 1, "
        expect d
        send c1 ${write} | form
        expect s0
        send d Terminating 0
        await app_cluster_unhealthy 1
        wait 300
        send s0 200 | done while it drained
        expect c1";

    reset_during_a_write_fails_it_without_a_retry: Platform, 1, "
        send c1 ${write} | form
        expect s0
        wait 600
        reset s0
        expect c1
        send c2 until s0 GET /api
        send s0 200 | well again
        expect c2";

    response_without_a_length_ends_at_close_and_not_at_a_reset: Platform, 1, "
        send c1 ${write} | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\nthe whole of it
        end s0
        expect c1
        send c1 ${write} | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\nnot the whole
        break s0
        expect c1
        send c2 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\nnot the whole
        break s0
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nConnection: close\\r\\n\\r\\nthe whole
        end s0
        expect c2";

    deduplication_headers_are_forwarded_and_retries_stay_within_the_window: Platform, 1, "
        settings \"Semantics\": \"at_most_once\", \"Stream\": false, \"Window\": 5000000000 => \"Semantics\": \"deduplicated\", \"Stream\": false, \"Window\": 300000000
        send c1 ${write} Idempotency-Key:k-1 Range:bytes=0-1 | form
        expect s0 cookie
        close s0
        expect s0 idempotency-key
        send s0 200 | stored once
        expect c1
        send c1 ${write} | form
        expect s0 range
        wait 350
        close s0
        expect c1";
}
