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

    // Guards against answers that are given up for their framing: a server that announces no length
    // may write a long answer slowly, too.
    slow_response_in_chunks_is_passed_on_as_it_comes: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nea60\\r\\n
        more s0 *60000
        wait 150
        more s0 \\r\\n2710\\r\\n
        more s0 *10000
        wait 1500
        more s0 \\r\\n4\\r\\nlast\\r\\n0\\r\\n\\r\\n
        expect c1";

    // The same for one that ends with its connection, and for a class that is not repeated.
    slow_response_without_a_length_is_passed_on_as_it_comes: Platform, 1, "
        send c1 ${write} | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        more s0 *60000
        wait 150
        more s0 and
        wait 1500
        more s0 last
        end s0
        expect c1";

    // What has been passed on of it ends with the client's connection where the server resets it.
    slow_response_without_a_length_that_is_reset_is_truncated: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        more s0 *60000
        wait 150
        more s0 and
        wait 150
        break s0
        expect c1";

    // Guards against a server that hangs once it has sent a head: there is nothing to pass on.
    response_without_a_length_that_stalls_at_its_head_is_retried: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        expect s0
        send s0 200 | again
        expect c1";

    // Guards against sound answers that are given up because their body begins late, in each framing.
    late_body_in_chunks_is_passed_on: Platform, 1, "
        send c1 GET /api X-Lane:batch-export X-Remaining:8000m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n
        wait 500
        more s0 4\\r\\nlate\\r\\n0\\r\\n\\r\\n
        expect c1";

    late_body_with_a_length_is_passed_on: Platform, 1, "
        send c1 GET /api X-Lane:batch-export X-Remaining:8000m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\n
        wait 500
        more s0 late
        expect c1";

    late_body_without_a_length_is_passed_on: Platform, 1, "
        send c1 GET /api X-Lane:batch-export X-Remaining:8000m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        wait 500
        more s0 *100000
        end s0
        expect c1";

    // The same for a server that pauses within its head.
    response_whose_head_comes_in_pieces_is_passed_on: Platform, 1, "
        send c1 GET /api X-Lane:batch-export X-Remaining:8000m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-
        wait 500
        more s0 Length: 4\\r\\n\\r\\nlate
        expect c1";

    // The same for a class that is not repeated, whose client has little time left: it gets the head
    // in time.
    response_that_nothing_replaces_is_passed_on_before_its_deadline: Platform, 1, "
        send c1 ${write} X-Remaining:600m | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n
        wait 750
        more s0 186a0\\r\\n
        more s0 *100000
        more s0 \\r\\n0\\r\\n\\r\\n
        expect c1";

    // Guards against a first piece that is held back until its client's time is over.
    beginning_of_a_response_that_pauses_is_not_held_back: Platform, 1, "
        send c1 GET /api X-Remaining:600m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\nc350\\r\\n
        more s0 *50000
        wait 900
        more s0 \\r\\nc350\\r\\n
        more s0 *50000
        more s0 \\r\\n0\\r\\n\\r\\n
        expect c1";

    // Guards against a server that hangs behind its head and leaves its client without an end.
    response_that_hangs_behind_its_head_ends_soon_after_its_deadline: Platform, 1, "
        send c1 ${write} X-Remaining:1200m | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n
        within 3000 expect c1
        expect s0 raw left";

    // Guards against a server that gets no requests because it writes its answers slowly.
    server_that_pauses_in_a_response_is_not_suspected: Platform, 1, "
        send c1 GET /api X-Lane:batch-export X-Remaining:8000m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 4\\r\\n\\r\\n
        wait 500
        send console GET /status/metrics app_cluster_unhealthy
        more s0 late
        expect c1";

    // Guards against a server that hangs behind its heads and counts as one that answers at once.
    server_that_hangs_behind_its_heads_is_suspected: Platform, 1, "
        send c1 ${write} X-Remaining:300m | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        send c2 ${write} X-Remaining:300m | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        send c3 ${write} X-Remaining:300m | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        expect c1
        expect c2
        expect c3
        await app_cluster_unhealthy 1";
}
