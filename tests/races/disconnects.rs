//! Clients that disconnect while a connection to a chunk server is being established or in use.

use crate::scenario::scenarios;

scenarios! {
    write_is_not_sent_when_its_client_disconnects_during_the_dial: Platform, 2, "
        settings ${long-dial-timeout}
        full s0
        send c1 ${write} | never
        wait 100
        close c1
        wait 100
        free s0
        ${two-more-writes}";

    draining_server_gets_no_request_that_was_still_dialling: Platform, 2, "
        settings ${long-dial-timeout}
        expect d
        full s0
        send c1 ${write} | not there
        wait 100
        send d Terminating 0
        expect c1
        free s0
        wait 1500
        send c2 GET /api shard:1
        expect s1
        send s1 200 | elsewhere
        expect c2
        close front
        wait front";

    retry_is_not_sent_when_its_client_disconnects_during_the_dial: Platform, 1, "
        settings ${long-dial-timeout}
        send c1 GET /api
        expect s0
        full s0
        reset s0
        wait 100
        close c1
        wait 100
        free s0
        send c2 GET /api
        expect s0
        send s0 200 | wanted
        expect c2
        wait 1500
        send c2 GET /api
        expect s0
        send s0 200 | wanted too
        expect c2";

    burst_of_disconnecting_clients_leaves_no_request_behind: Platform, 1, "
        settings ${long-dial-timeout}
        full s0
        send c1 ${write} | never
        send c2 ${write} | never
        send c3 ${write} | never
        send c4 ${write} | never
        wait 100
        close c1
        reset c2
        half-close c3
        close c4
        wait 100
        free s0
        send c5 ${write} | wanted
        expect s0
        send s0 200 | stored
        expect c5
        wait 1500
        send c5 ${write} | wanted too
        expect s0
        send s0 200 | stored
        expect c5";

    six_hundred_idle_clients_do_not_block_discovery_servers_or_new_clients: Platform, 1, "
        expect d
        down d
        crowd 600
        up d
        within 3700 expect d
        within 3000 send c1 until s0 GET /api
        send s0 200 | served
        expect c1";

    client_that_pipelines_requests_and_closes_counts_as_disconnected: Platform, 1, "
        send c1 GET /api X-Remaining:9000m
        expect s0
        send c1 raw GET /api HTTP/1.1\\r\\nHost: t\\r\\n\\r\\nGET /api HTTP/1.1\\r\\nHost: t\\r\\n\\r\\n
        wait 100
        close c1
        within 1000 expect s0 left";

    client_that_half_closes_or_resets_counts_as_disconnected: Platform, 1, "
        send c1 GET /api X-Remaining:9000m
        expect s0
        half-close c1
        within 1000 expect s0 left
        send c2 GET /api X-Remaining:9000m
        expect s0
        reset c2
        within 1000 expect s0 left";

    // Guards against a request that is sent for a client that has left: its close waits behind bytes
    // that nobody reads, as they belong to no request.
    write_in_chunks_is_not_sent_when_its_client_leaves_bytes_behind_it: Platform, 1, "
        settings ${long-dial-timeout}
        full s0
        send c1 raw ${write-start}${platform-headers}Transfer-Encoding: chunked\\r\\n\\r\\n4\\r\\nform\\r\\n0\\r\\n\\r\\nmore
        wait 100
        close c1
        wait 100
        free s0
        ${two-more-writes}";

    // The same with a length, and more bytes behind the body than are read.
    write_is_not_sent_when_its_client_leaves_megabytes_behind_it: Platform, 1, "
        settings ${long-dial-timeout}
        full s0
        send c1 raw ${write-start}${platform-headers}Content-Length: 4\\r\\n\\r\\nform
        wait 100
        send c1 bytes 9000000
        close c1
        wait 100
        free s0
        ${two-more-writes}";

    // The same while a chunk server has the request.
    server_is_left_when_its_client_leaves_bytes_behind_the_request: Platform, 1, "
        send c1 GET /api X-Remaining:9000m Transfer-Encoding:chunked
        send c1 raw 0\\r\\n\\r\\nmore
        expect s0
        send c1 bytes 2000000
        close c1
        within 1000 expect s0 left
        send c2 GET /api X-Remaining:9000m
        expect s0
        send c2 bytes 9000000
        close c2
        within 1000 expect s0 left";

    // Guards against a write that runs twice, since its id comes again once its client has left, or
    // has its answer. A rejected write may come again, and so may a read.
    write_does_not_run_again_under_the_id_of_one_that_may_have_run: Platform, 1, "
        send c1 ${write} X-Txn:00000000000000f1 | form
        expect s0
        close c1
        wait 100
        send c2 ${write} X-Txn:00000000000000f1 | form
        expect c2
        send s0 200 | stored
        send c2 ${write} X-Txn:00000000000000f1 | form
        expect c2
        send c3 ${write} X-Txn:00000000000000f2 | form
        expect s0
        send s0 200 | stored
        expect c3
        send c3 ${write} X-Txn:00000000000000f2 | form
        expect c3
        send c4 GET /api X-Txn:00000000000000f3
        expect s0
        close c4
        expect s0 left
        send c5 GET /api X-Txn:00000000000000f3
        expect s0
        send s0 200 | read
        expect c5";

    // Guards against a write that runs at both processes of an upgrade: its id comes to one while it
    // is open at the other, and once its client has left.
    write_does_not_run_at_both_processes_of_an_upgrade: Platform, 1, "
        send c1 ${write} X-Txn:00000000000000f1 | form
        expect s0
        send old GET /health/live
        expect old
        upgrade
        send c2 ${write} X-Txn:00000000000000f1 | form
        expect c2
        close c1
        wait 100
        send c2 ${write} X-Txn:00000000000000f1 | form
        expect c2
        send s0 200 | stored
        send c2 ${write} X-Txn:00000000000000f2 | form
        expect s0
        send old ${write} X-Txn:00000000000000f2 | form
        expect old
        send s0 200 | stored
        expect c2
        send old ${write} X-Txn:00000000000000f3 | form
        expect s0
        send s0 200 | stored
        expect old";
}
