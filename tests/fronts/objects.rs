//! Objects through the object front: stored, read in ranges, deleted.

use crate::scenario::scenarios;

scenarios! {
    objects_are_stored_read_in_ranges_and_deleted: Object, 1, "
        send c1 PUT /photos/meter%201.jpg Content-Type:image/jpeg | 0123456789
        expect s0
        send s0 200 ETag:'e1' x-amz-version-id:v1
        expect c1
        send c1 GET /photos/meter%201.jpg?versionId=0.v1
        expect s0
        send s0 206 ETag:'e1' Content-Range:bytes~0-9/10 x-amz-version-id:v1 | 0123456789
        expect c1
        send c1 GET /photos/meter%201.jpg?versionId=0.v1 Range:bytes=2-4
        expect s0
        send s0 206 ETag:'e1' Content-Range:bytes~2-4/10 x-amz-version-id:v1 | 234
        expect c1
        send c1 GET /photos/meter%201.jpg?versionId=0.v1 Range:bytes=10-
        expect s0
        send s0 416 Content-Range:bytes~*/10
        expect c1
        send c1 HEAD /photos/meter%201.jpg?versionId=0.v1
        expect s0
        send s0 200 ETag:'e1' Content-Length:10
        expect c1
        send c1 DELETE /photos/meter%201.jpg?versionId=0.v1
        expect s0
        send s0 204
        expect c1";

    ranges_are_cut_from_the_answer_of_a_server_without_range_support: Object, 1, "
        send c1 GET /photos/a?versionId=0. Range:bytes=-3
        expect s0
        send s0 200 | 0123456789
        expect c1
        send c1 GET /photos/a?versionId=0. Range:bytes=10-12
        expect s0
        send s0 200 | 0123456789
        expect c1
        send c1 GET /photos/a?versionId=0.
        expect s0
        send s0 416 Content-Range:bytes~*/0
        expect s0
        send s0 200 ETag:'none'
        expect c1
        send c1 GET /photos/a?versionId=0. Range:bytes=0-
        expect s0
        send s0 416 Content-Range:bytes~*/0
        expect c1";

    large_object_is_streamed_in_pieces_and_truncated_where_one_fails: Object, 1, "
        send c1 GET /photos/a?versionId=0.
        expect s0
        send s0 206 ETag:'e' Content-Range:bytes~0-65535/65540 | *65536
        expect s0
        send s0 206 ETag:'e' Content-Range:bytes~65536-65539/65540 | last
        expect c1
        send c1 GET /photos/a?versionId=0. Range:bytes=4-
        expect s0
        send s0 206 ETag:'e' Content-Range:bytes~4-65539/65541 | *65536
        expect s0
        send s0 412
        expect c1";

    // Guards against a sound server that is given up because its body begins late.
    object_whose_body_begins_late_is_served: Object, 1, "
        settings \"read\":\"form-read\" => \"read\":\"batch-export\"
        send c1 GET /photos/a?versionId=0.v1
        expect s0
        send s0 raw HTTP/1.1 206 Part\\r\\nETag: 'e1'\\r\\nContent-Range: bytes 0-9/10\\r\\nContent-Length: 10\\r\\n\\r\\n
        wait 500
        more s0 0123456789
        expect c1";

    object_whose_chunks_begin_late_is_served: Object, 1, "
        settings \"read\":\"form-read\" => \"read\":\"batch-export\"
        send c1 GET /photos/a?versionId=0.v1
        expect s0
        send s0 raw HTTP/1.1 206 Part\\r\\nETag: 'e1'\\r\\nContent-Range: bytes 0-9/10\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n
        wait 500
        more s0 a\\r\\n0123456789\\r\\n0\\r\\n\\r\\n
        expect c1";

    // Guards against a long object that is cut off since a slow server's next piece is rejected.
    large_object_is_streamed_whole_where_its_server_is_slow: Object, 1, "
        settings \"read\":\"form-read\" => \"read\":\"batch-export\"
        send c1 GET /photos/a?versionId=0.
        expect s0
        wait 700
        send s0 206 ETag:'e' Content-Range:bytes~0-65535/327680 | *65536
        expect s0
        wait 700
        send s0 206 ETag:'e' Content-Range:bytes~65536-131071/327680 | *65536
        expect s0
        wait 700
        send s0 206 ETag:'e' Content-Range:bytes~131072-196607/327680 | *65536
        expect s0
        wait 700
        send s0 206 ETag:'e' Content-Range:bytes~196608-262143/327680 | *65536
        expect s0
        wait 700
        send s0 206 ETag:'e' Content-Range:bytes~262144-327679/327680 | *65536
        expect c1";

    // Guards against a piece that is requested for a client that has left.
    pieces_of_an_object_are_not_read_for_a_client_that_left: Object, 1, "
        settings \"read\":\"form-read\" => \"read\":\"batch-export\"
        send c1 GET /photos/a?versionId=0.
        expect s0
        send s0 206 ETag:'e' Content-Range:bytes~0-65535/327680 | *65536
        expect s0
        close c1
        expect s0 left";

    object_without_a_version_is_read_from_the_shard_with_the_latest: Object, 2, "
        send c1 GET /photos/a
        expect s0
        expect s1
        send s0 200 Last-Modified:Tue,~01~Dec~2026~09:00:00~GMT
        send s1 200 Last-Modified:Tue,~01~Dec~2026~10:00:00~GMT
        expect s1
        send s1 206 Content-Range:bytes~0-4/5 | later
        expect c1
        send c1 GET /photos/b
        expect s0
        expect s1
        send s0 404
        send s1 404
        expect c1
        send c1 DELETE /photos/a
        expect s0
        expect s1
        send s0 204
        send s1 404
        expect c1";

    unsupported_requests_get_errors_of_the_object_api: Object, 1, "
        send c1 GET /unknown/a
        expect c1
        send c1 GET /photos/
        expect c1
        send c1 GET /photos/a?acl
        expect c1
        send c1 PUT /photos/a x-amz-content-sha256:STREAMING-AWS4-HMAC-SHA256-PAYLOAD | 5;x
        expect c1
        send c1 GET /photos/a?versionId=mine
        expect c1
        send c1 PUT /photos/a?partNumber=1&uploadId=mine | part
        expect c1
        send c1 PUT /photos/a?partNumber=0&uploadId=0.t.o | part
        expect c1
        send c1 POST /photos/a?uploadId=0.t.o | <nothing
        expect c1
        send c1 PATCH /photos/a
        expect c1
        send c1 PUT /photos/a | *65537
        expect c1
        send c2 HEAD /photos/a?versionId=0.
        expect s0
        send s0 404
        expect c2
        send c2 PUT /photos/a | whole
        expect s0
        send s0 500
        expect c2";
}
