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

    // Guards against copies of long bodies that stay with the connections that have sent them.
    long_bodies_take_no_memory_once_they_are_answered: Platform, 3, "
        settings \"memory_mb\":192 => \"memory_mb\":128
        settings \"Deadline\": 1200000000 => \"Deadline\": 9000000000
        send c1 ${write} shard:0 X-Remaining:9000m | *33554432
        expect s0
        send s0 200 | first
        expect c1
        send c1 ${write} shard:1 X-Remaining:9000m | *33554432
        expect s1
        send s1 200 | second
        expect c1
        send c1 ${write} shard:2 X-Remaining:9000m | *33554432
        expect s2
        send s2 200 | third
        expect c1
        memory at-most 128";

    // Guards against bodies that stay resident once they are answered, since the allocator keeps
    // what long ones have freed: the program has 8 MB beside the memory for bodies.
    memory_of_long_bodies_is_returned_once_they_are_answered: Platform, 4, "
        settings \"Deadline\": 1200000000 => \"Deadline\": 9000000000
        send c1 ${write} shard:0 X-Remaining:9000m | *16000000
        expect s0
        send s0 200 | first
        expect c1
        send c1 ${write} shard:0 X-Remaining:9000m | *12000000
        expect s0
        send c2 ${write} shard:1 X-Remaining:9000m | *12000000
        expect s1
        send c3 ${write} shard:2 X-Remaining:9000m | *12000000
        expect s2
        send c4 ${write} shard:3 X-Remaining:9000m | *200000
        expect s3
        send s0 200 | second
        expect c1
        send s1 200 | third
        expect c2
        send s2 200 | fourth
        expect c3
        await memory at-most 8
        send s3 200 | fifth
        expect c4";

    // Guards against long bodies that are rejected although half of the memory holds them.
    body_that_half_of_the_memory_holds_is_served: Platform, 1, "
        settings \"memory_mb\":192 => \"memory_mb\":80
        settings \"Deadline\": 1200000000 => \"Deadline\": 9000000000
        send c1 ${write} X-Remaining:9000m | *33554432
        expect s0
        send c2 GET /health/live
        expect c2
        send s0 200 | stored
        expect c1
        memory at-most 80";

    // Guards against long objects that take the memory of others before they are rejected.
    long_object_is_rejected_before_it_is_sent: Object, 1, "
        send c1 raw PUT /photos/a HTTP/1.1\\r\\nHost: t\\r\\nContent-Length: 65537\\r\\n\\r\\n
        expect c1";
}
