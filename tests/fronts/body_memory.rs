//! The memory that request bodies take, against the limit in the front's configuration.

use crate::scenario::scenarios;

scenarios! {
    // Guards against a front that is killed for memory by one long body.
    body_longer_than_the_memory_for_bodies_is_rejected: Platform, 1, "
        settings \"memory_mb\":192 => \"memory_mb\":48
        send c1 ${write} | *33554432
        expect c1
        memory at-most 48
        send c2 GET /api
        expect s0
        send s0 200 | well
        expect c2
        send console GET /status/metrics app_request_bod";
}
