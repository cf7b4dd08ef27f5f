//! When a starting front calls discovery, and when it is ready.

use crate::scenario::scenarios;

scenarios! {
    front_in_a_large_fleet_subscribes_before_its_list_expires: Platform, 1, "
        settings \"Balancers\": 3 => \"Balancers\": 3000
        within 5500 expect d";

    starting_front_calls_discovery_at_once_whatever_the_size_of_its_fleet: Platform, 1, "
        settings \"Balancers\": 3 => \"Balancers\": 900
        within 700 expect d";

    starting_front_is_ready_once_its_list_is_confirmed: Platform, 1, "
        call d
        send c1 GET /health/ready
        expect c1
        answer d
        send d Ready 0
        within 1000 await ready";

    starting_front_is_ready_from_its_last_list_where_discovery_is_down: Platform, 1, "
        expect d
        down d
        restart
        within 1000 await ready
        send c1 GET /api
        expect s0
        send s0 200 | from the last list
        expect c1";

    starting_front_is_ready_in_time_where_discovery_hangs: Platform, 1, "
        call d
        send c1 GET /health/ready
        expect c1
        within 2900 await ready";

    starting_front_waits_only_briefly_for_a_silent_agent: Platform, 1, "
        settings \"Discovery\": \"on_request\" => \"Discovery\": \"pushed\"
        call d
        within 1000 await ready";

    pushed_discovery_is_subscribed_to_at_once: Platform, 1, "
        settings \"Discovery\": \"on_request\" => \"Discovery\": \"pushed\"
        within 1000 expect d";
}
