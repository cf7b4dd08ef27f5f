//! Requests that the platform front rejects, without harm to other requests.

use crate::scenario::scenarios;

scenarios! {
    invalid_requests_are_rejected_without_affecting_others: Platform, 1, "
        send c1 GET /api X-Lane:unknown
        expect c1
        send c1 GET /api X-Plan:unknown
        expect c1
        send c1 GET /api X-Remaining:soon
        expect c1
        send c1 GET /api X-Remaining:-5m
        expect c1
        send c1 GET /api X-IO:volume=zz,units=1,shard=0,hosts=1
        expect c1
        send c1 GET /api X-IO:volume=00000003b4d60021,units=NaN,shard=0,hosts=1
        expect c1
        send c1 GET /api X-IO:volume=00000003b4d60021,units=7,shard=0,hosts=1
        expect c1
        send c1 GET /api shard:-7
        expect c1
        send c1 GET /api shard:1
        expect c1
        send c1 GET /api shard:-1
        expect c1
        send c1 GET /api X-IO:volume=00000003b4d60021,units=1,shard=0,hosts=9
        expect c1
        send c1 GET /api X-Txn:+000000000000001
        expect c1
        send c1 GET /api X-Txn:1
        expect c1
        send c1 PUT /api | form
        expect c1
        send c1 GET /api | form
        expect c1
        send c1 GET /api Cookie:block=none
        expect c1
        send c1 raw PUT /api HTTP/1.1\\r\\nX-Lane: form-submit\\r\\nContent-Length: 33554433\\r\\n\\r\\ntoo long
        expect c1
        send c2 raw \\u{1}\\r\\n\\r\\n
        expect c2
        send c3 raw GET /api HTTP/1.1\\r\\nContent-Length: 12\\r\\n\\r\\nhalf
        close c3
        send c4 GET /api X-Remaining:0m
        expect c4
        send c5 GET /api
        expect s0
        send s0 200 | well
        expect c5";

    transaction_id_of_an_open_request_is_rejected: Platform, 1, "
        send c1 GET /api X-Txn:00000000000000aa
        expect s0
        send c2 GET /api X-Txn:00000000000000aa
        expect c2
        send s0 200 | for the first
        expect c1
        send c2 GET /api X-Txn:00000000000000aa
        expect s0
        send s0 200 | for the second
        expect c2";

    ambiguously_framed_requests_are_rejected_and_nothing_is_smuggled: Platform, 1, "
        send c1 raw PUT /api HTTP/1.1\\r\\nContent-Length: 4\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n0\\r\\n\\r\\nGET /hidden HTTP/1.1\\r\\n\\r\\n
        expect c1
        expect c1
        send c2 ${write} Content-Length:4 | half
        expect c2
        send c3 ${write} Content-Length:-4 | half
        expect c3
        send c4 raw PUT /api HTTP/1.1\\r\\nContent-Length: 4\\r\\n\\r\\nhalf and more
        expect c4
        expect c4
        send c5 raw GET /api HTTP/1.1\\r\\n\\r\\nGET /hidden HTTP/1.1\\r\\n\\r\\n
        expect c5
        expect c5
        send c6 GET /api
        expect s0
        send s0 200 | well
        expect c6";

    error_response_reaches_a_client_that_is_still_sending: Platform, 1, "
        send c1 ${write} | *60000000
        expect c1";

    partial_request_times_out: Platform, 1, "
        send c1 raw GET /api HTTP/1.1\\r\\nX-Lane: form
        send c2 raw PUT /api HTTP/1.1\\r\\nContent-Length: 12\\r\\n\\r\\nhalf
        expect c1
        expect c2";
}
