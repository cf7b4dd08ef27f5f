//! A front that is stopped for a while, or whose log or clients are not read or do not go on.

use crate::scenario::scenarios;

scenarios! {
    remaining_time_at_a_server_is_what_its_client_has_left_after_a_stall: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 | first
        expect c1
        signal STOP
        send c1 GET /api X-Remaining:1500m
        send c2 GET /api X-Remaining:1500m
        wait 800
        signal CONT
        expect s0 told-at-most 850
        send s0 200 | in time
        expect s0 told-at-most 850
        send s0 200 | in time";

    // Guards against a sound answer that is cut off since its server went on while the front was
    // stopped.
    response_that_goes_on_during_a_stall_is_passed_on: Platform, 1, "
        send c1 ${write} X-Remaining:300m | form
        expect s0
        send s0 raw HTTP/1.1 200 OK\\r\\n\\r\\n
        wait 400
        signal STOP
        more s0 *100000
        wait 900
        signal CONT
        wait 100
        end s0
        expect c1";

    log_that_nobody_reads_delays_no_request: Platform, 1, "
        expect d
        send c1 GET /api
        expect s0
        send s0 200 | first
        expect c1
        flood d 5000
        wait 300
        send c1 GET /api
        expect s0
        send s0 200 | second
        expect c1";

    client_that_stops_in_a_later_request_gets_its_error_in_time: Platform, 1, "
        send c1 GET /api
        expect s0
        send s0 200 | first
        expect c1
        send c1 raw ${read-start}
        within 3000 expect c1
        send c2 GET /api
        expect s0
        send s0 200 | first
        expect c2
        send c2 raw PUT /api HTTP/1.1\\r\\nHost: t\\r\\nContent-Length: 8\\r\\nX-Txn: 00000000000000a2\\r\\n\\r\\n
        within 3000 expect c2";

    write_is_not_sent_when_its_client_disconnects_while_the_front_is_stopped: Platform, 1, "
        settings ${long-dial-timeout}
        full s0
        send c1 ${write} X-Remaining:9000m | never
        wait 100
        signal STOP
        free s0
        wait 1500
        close c1
        wait 200
        signal CONT
        wait 100
        send c2 ${write} | wanted
        expect s0
        send s0 200 | stored
        expect c2";
}
