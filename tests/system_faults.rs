//! Fronts whose system calls fail as Linux documents it, and whose machine's clock is wrong. The fault shim makes the
//! calls fail.

#[macro_use]
mod scenario;

use scenario::{run, Front};

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
}
