//! What operators do to a running front: console, maintenance, reload, discovery, shutdown.

use crate::scenario::scenarios;

scenarios! {
    console_shows_status_and_request_counts: Platform, 1, "
        send console GET /status
        send c1 GET /api
        expect s0
        send s0 200 | well
        expect c1
        send c1 GET /api X-Lane:form-submit
        expect c1
        send console GET /status/metrics app_
        send console GET /nothing
        send console POST /status
        send console GET /maintenance/enter/s-0
        send console PUT /maintenance/leave/s-0";

    server_in_maintenance_gets_no_new_requests: Platform, 1, "
        expect d
        send console PUT /maintenance/enter/s-0
        send console PUT /maintenance/enter/s-0
        send console PUT /maintenance/enter/s-9
        send console PUT /maintenance/exit/s-9
        send c1 GET /api shard:0
        expect c1
        send d Ready 0
        send c1 GET /api shard:0
        expect c1
        send console GET /status/metrics cluster
        send console PUT /maintenance/exit/s-0
        send console GET /status/metrics cluster
        send c1 GET /api shard:0
        expect s0
        send s0 200 | back
        expect c1";

    reload_adds_a_class_and_ignores_an_invalid_file: Platform, 1, "
        retune \"Window\": 5000000000}] => \"Window\": 5000000000}, {\"Aim\": 200000000, \"Deadline\": 1200000000, \"Group\": \"all\", \"LateWorth\": 0.1, \"Name\": \"form-note\", \"Points\": 2.0, \"Semantics\": \"at_most_once\", \"Stream\": false, \"Window\": 5000000000}]
        send c1 PUT /api X-Lane:form-note | note
        expect s0
        send s0 200 | noted
        expect c1
        retune \"Deadline\": 1200000000, \"Group\": \"all\", \"LateWorth\": 0.1, \"Name\": \"form-note\" => \"Deadline\": 0, \"Group\": \"all\", \"LateWorth\": 0.1, \"Name\": \"form-note\"
        retune \"MostTries\": 3 => \"MostTries\": \"three\"
        retune \"Points\": 2.0, \"Semantics\": \"at_most_once\" => \"Semantics\": \"at_most_once\"
        reload {half a file
        reload
        send console GET /status/metrics app_conf
        send c1 PUT /api X-Lane:form-note | note
        expect s0
        send s0 200 | noted again
        expect c1
        retune , {\"Aim\": 200000000, \"Deadline\": 1200000000, \"Group\": \"all\", \"LateWorth\": 0.1, \"Name\": \"form-note\", \"Points\": 2.0, \"Semantics\": \"at_most_once\", \"Stream\": false, \"Window\": 5000000000}] => ]
        send c1 PUT /api X-Lane:form-note | note
        expect c1
        send console GET /status/metrics form-note";

    draining_server_gets_no_new_requests: Platform, 2, "
        expect d
        send c1 GET /api shard:0
        expect s0
        send d Terminating 0
        wait 300
        send s0 200 | finished
        expect c1
        send c1 ${write} shard:-1 | form
        expect s1
        send s1 200 | stored
        expect c1
        send c1 GET /api shard:0 X-Remaining:400m
        expect c1
        send d Ready 0
        wait 300
        send c1 GET /api shard:0
        expect s0
        send s0 200 | back
        expect c1";

    ended_watch_is_reopened: Platform, 1, "
        expect d
        send d Ready 0
        wait 300
        close d
        expect d
        close d
        expect d
        send c1 GET /api
        expect s0
        send s0 200 | well
        expect c1";

    reload_moves_the_watch_and_ignores_an_invalid_file: Platform, 2, "
        expect d
        reload {half a file
        wait 300
        send c1 GET /api shard:0
        expect s0
        reload
        wait 300
        send d Terminating 1
        wait 300
        send c2 GET /api shard:1 X-Remaining:400m
        expect c2
        expect d
        send s0 200 | taken before
        expect c1
        send d Ready 1
        wait 300
        send c2 GET /api shard:1
        expect s1
        send s1 200 | told by the new one
        expect c2";

    closed_log_does_not_stop_the_front: Platform, 1, "
        expect d
        close log
        close d
        expect d
        send c1 GET /api
        expect s0
        send s0 200 | well
        expect c1";

    shutdown_answers_clients_with_longer_deadlines: Platform, 1, "
        retune \"Deadline\": 1200000000 => \"Deadline\": 9000000000
        retune \"Deadline\": 2500000000 => \"Deadline\": 9000000000
        send c1 GET /api X-Lane:batch-export X-Remaining:8000m
        expect s0
        send c2 ${write} X-Remaining:8000m | form
        expect s0
        close front
        expect c1
        expect c2
        wait front";

    shutdown_answers_all_received_requests: Platform, 1, "
        send c1 GET /api
        expect s0
        close front
        send c2 ${write} | form
        expect s0
        wait 900
        send s0 200 | first
        send s0 200 | second
        expect c1
        expect c2
        wait front";
}
