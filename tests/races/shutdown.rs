//! SIGTERM while requests, bodies, responses and idle connections are under way.

use crate::scenario::scenarios;

scenarios! {
    shutdown_completes_and_answers_a_partial_request_head: Platform, 1, "
        send c1 raw ${read-start}X-Lane: form-read\\r\\n
        close front
        wait shut
        send c1 raw ${platform-headers}\\r\\n
        expect s0
        send s0 200 | whole
        expect c1
        wait front";

    shutdown_completes_and_answers_a_partial_request_body: Platform, 1, "
        send c1 raw ${write-start}${platform-headers}Content-Length: 8\\r\\n\\r\\nhalf
        close front
        wait shut
        send c1 raw done
        expect s0
        send s0 200 | stored
        expect c1
        wait front";

    shutdown_answers_a_request_that_arrives_as_the_socket_closes: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 | first
        expect c1
        close front
        wait 200
        signal STOP
        wait 600
        send c1 GET /api
        signal CONT
        expect s0
        wait shut
        send s0 200 | second
        expect c1
        wait front";

    shutdown_completes_a_partial_request_that_arrives_as_the_socket_closes: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 | first
        expect c1
        close front
        wait 200
        signal STOP
        wait 600
        send c1 raw ${read-start}
        signal CONT
        wait shut
        send c1 raw X-Lane: form-read\\r\\n${platform-headers}\\r\\n
        expect s0
        send s0 200 | second
        expect c1
        wait front";

    shutdown_waits_until_a_slow_client_has_read_its_response: Platform, 1, "
        slow c1
        send c1 GET /api
        expect s0
        send s0 200 | *65536
        close front
        wait shut
        wait 400
        expect c1
        wait front";

    // Guards against a sound answer that a shutdown cuts off between its head and its body.
    shutdown_waits_for_a_response_whose_body_begins_late: Platform, 1, "
        send c1 GET /api X-Lane:batch-export X-Remaining:2500m
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        close front
        wait 600
        more s0 *100000
        wait 300
        end s0
        expect c1
        wait front";

    // Guards against long responses that are cut off since their requests' time is over.
    shutdown_waits_for_a_long_response_that_its_server_still_writes: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 200000\\r\\n\\r\\n
        more s0 *100000
        close front
        wait shut
        wait 3500
        more s0 *100000
        expect c1
        wait front";

    // The same for a client that reads slowly: the system takes a part of the response at once.
    shutdown_waits_for_a_long_response_that_its_client_still_reads: Platform, 1, "
        slow c1
        send c1 GET /api
        expect s0
        send s0 200 | *4000000
        close front
        wait shut
        wait 3500
        expect c1
        wait front";

    // Guards against a long object that is cut off since its pieces are read by further requests.
    shutdown_waits_for_a_long_object_that_is_read_in_pieces: Object, 1, "
        settings \"read\":\"form-read\" => \"read\":\"batch-export\"
        send c1 GET /photos/a?versionId=0.
        expect s0
        send s0 206 ETag:'e' Content-Range:bytes~0-65535/262144 | *65536
        close front
        expect s0
        wait 1300
        send s0 206 ETag:'e' Content-Range:bytes~65536-131071/262144 | *65536
        expect s0
        wait 1300
        send s0 206 ETag:'e' Content-Range:bytes~131072-196607/262144 | *65536
        expect s0
        wait 1300
        send s0 206 ETag:'e' Content-Range:bytes~196608-262143/262144 | *65536
        expect c1
        wait front";

    // Guards against a request that completes while the front waits for another's long response,
    // and gets no answer.
    shutdown_answers_a_request_that_completes_beside_a_long_response: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\nContent-Length: 200000\\r\\n\\r\\n
        more s0 *100000
        send c2 raw ${write-start}${platform-headers}Content-Length: 8\\r\\n\\r\\n1
        close front
        wait shut
        wait 1000
        send c2 raw 2
        wait 1000
        send c2 raw 3
        wait 1000
        send c2 raw 4
        wait 1000
        send c2 raw 5678
        within 500 expect c2
        more s0 *100000
        expect c1
        wait front";

    shutdown_is_not_delayed_by_a_hanging_server: Platform, 1, "
        send c1 ${write} X-Remaining:9000m | form
        expect s0
        send c2 GET /api X-Remaining:9000m
        expect s0
        close front
        within 3400 wait front
        expect c1
        expect c2";

    shutdown_closes_idle_connections_without_delay: Platform, 1, "
        crowd 20 GET /health/live HTTP/1.1\\r\\nHost: t\\r\\n\\r\\n
        close front
        expect crowd
        close crowd
        within 1500 wait front";

    repeated_sigterm_after_a_reload_shuts_down_once: Platform, 1, "
        expect d
        send c1 GET /api
        expect s0
        signal HUP
        close front
        close front
        wait shut
        close front
        send s0 200 | taken before
        expect c1
        wait front";
}
