//! Connections of clients: many that are silent or idle, and clients that disconnect.

use crate::scenario::scenarios;

scenarios! {
    silent_connections_do_not_exclude_new_clients: Platform, 1, "
        crowd 300
        send c1 until s0 GET /api
        send s0 200 | well
        expect c1
        expect crowd";

    idle_connections_do_not_exclude_new_clients: Platform, 1, "
        crowd 200 GET /health/live HTTP/1.1\\r\\n\\r\\n
        send c1 GET /api
        expect s0
        send s0 200 | well
        expect c1";

    idle_connections_are_closed_when_connections_are_scarce: Platform, 1, "
        crowd 80 GET /health/live HTTP/1.1\\r\\n\\r\\n
        expect crowd 18";

    disconnecting_client_does_not_affect_others: Platform, 1, "
        send c1 GET /api
        expect s0
        close c1
        send c2 GET /api
        expect s0
        send s0 200 | for nobody
        send s0 200 | for the second
        expect c2
        send c3 GET /api X-Remaining:60000m
        expect s0
        close c3
        expect s0 left";
}
