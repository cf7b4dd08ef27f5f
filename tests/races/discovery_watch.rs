//! A watch on discovery that is silent, reset, incomplete or hangs, and when it is opened again.

use crate::scenario::scenarios;

scenarios! {
    watch_without_any_event_is_reopened_in_time: Platform, 1, "
        expect d
        within 5700 expect d";

    watch_that_falls_silent_after_an_event_is_reopened_in_time: Platform, 1, "
        expect d
        send d Ready 0
        within 5700 expect d";

    watch_that_never_completes_an_event_is_reopened: Platform, 1, "
        expect d
        within 5700 drip d";

    watch_that_is_reset_is_reopened_at_once: Platform, 1, "
        expect d
        reset d
        within 3700 expect d";

    hanging_subscription_is_repeated_in_time: Platform, 1, "
        call d
        within 5700 expect d
        send d Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect c1";

    subscription_that_is_answered_late_is_awaited: Platform, 1, "
        call d
        wait 1700
        answer d
        send d Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect c1";

    discovery_that_restarts_is_subscribed_to_in_time: Platform, 1, "
        down d
        wait 4000
        up d
        within 3700 expect d
        send d Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect c1";

    hanging_subscription_is_abandoned_when_discovery_moves: Platform, 1, "
        call d
        reload
        within 1000 expect d
        send d Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect c1";

    new_discovery_that_hangs_at_first_is_subscribed_to_again_in_time: Platform, 1, "
        expect d
        reload
        call d
        within 3000 expect d
        send d Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect c1";

    watch_event_may_be_indented: Platform, 2, "
        expect d
        send d indented Terminating 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect c1
        send d Terminating 1
        await app_cluster_unhealthy 2
        send d indented Ready 0
        await app_cluster_unhealthy 1
        send c1 GET /api
        expect s0
        send s0 200 | back
        expect c1
        send c1 GET /api shard:1
        expect c1";
}
