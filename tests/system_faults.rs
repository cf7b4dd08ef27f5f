//! Fronts whose system calls fail as Linux documents it, and whose machine's clock is wrong. The
//! fault shim makes the calls fail.

mod scenario;

use scenario::scenarios;

scenarios! {
    shutdown_answers_all_connections_although_accepting_fails_for_some: Platform, 1, "
        faults none
        send c0 GET /api
        expect s0
        send s0 200 | before
        expect c0
        close front
        wait 200
        signal STOP
        wait 600
        send c1 GET /health/live
        send c2 GET /health/live
        send c3 GET /health/live
        send c4 GET /health/live
        send c5 GET /health/live
        send c6 GET /health/live
        faults accept ECONNABORTED 50
        signal CONT
        expect c1
        expect c2
        expect c3
        expect c4
        expect c5
        expect c6
        close c1
        close c2
        close c3
        close c4
        close c5
        close c6
        wait front";

    requests_are_answered_although_reads_and_writes_are_short: Platform, 2, "
        faults recv short 50; send short 50
        expect d
        send c1 GET /api
        expect s0
        send s0 200 | one
        expect c1
        send c1 ${write} | *3000
        expect s0
        send s0 200 | two
        expect c1
        send c2 GET /api
        expect s0
        send s0 200 | *3000
        expect c2
        send console GET /status
        send d Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api shard:1
        expect s1
        send s1 200 | three
        expect c1";

    server_that_starts_is_started_slowly_although_the_wall_clock_is_ahead: Platform, 2, "
        faults clock 3600000
        expect d
        send d Ready 0
        send d started 0 0
        send d Terminating 1
        await app_cluster_unhealthy 1
        load s0 1000 at-most 20 GET /api";

    server_is_warm_in_time_although_the_wall_clock_is_behind: Platform, 2, "
        settings \"Cold\": 17000000000 => \"Cold\": 600000000
        faults clock -3600000
        expect d
        send d started 0 60000
        send d Terminating 1
        await app_cluster_unhealthy 1
        wait 700
        load s0 1000 at-least 50 GET /api";

    server_stays_in_maintenance_although_the_folder_was_full: Platform, 2, "
        faults none
        expect d
        faults file-write ENOSPC 100
        send console PUT /maintenance/enter/s-0
        faults none
        await held s-0
        restart
        await app_cluster_unhealthy 1
        send c1 GET /api shard:0
        expect c1
        send c1 GET /api shard:1
        expect s1
        send s1 200 | the other
        expect c1";

    servers_in_maintenance_are_kept_although_their_file_was_unreadable: Platform, 2, "
        faults none
        expect d
        send console PUT /maintenance/enter/s-0
        await held s-0
        faults open EIO 100 held.json
        restart
        send console PUT /maintenance/enter/s-1
        faults none
        await held s-1
        await held s-0
        await app_cluster_unhealthy 2";

    stopped_process_with_the_lock_delays_no_request: Platform, 2, "
        faults none
        expect d
        lock held
        within 1000 send console PUT /maintenance/enter/s-0
        send c1 GET /api shard:0
        expect c1
        send c1 GET /api shard:1
        expect s1
        send s1 200 | the other
        expect c1
        unlock held
        await held s-0";
}
