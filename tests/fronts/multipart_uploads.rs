//! Multipart uploads through the object front.

use crate::scenario::scenarios;

scenarios! {
    multipart_upload_is_created_listed_and_completed: Object, 1, "
        send c1 ${create-upload}
        expect s0
        send s0 200 | <InitiateMultipartUploadResult><UploadId>own/1</UploadId></InitiateMultipartUploadResult>
        expect c1
        send c1 ${put-part-1} | part
        expect s0
        send s0 200 ETag:'p1'
        expect c1
        send c1 GET /photos/a?uploadId=$upload&max-parts=5
        expect s0
        send s0 200 | <ListPartsResult><MaxParts>5</MaxParts><Part><PartNumber>1</PartNumber><ETag>'p1'</ETag><Size>4</Size></Part></ListPartsResult>
        expect c1
        send c1 ${complete-upload} | <CompleteMultipartUpload><Part><PartNumber>1</PartNumber><ETag>p1</ETag></Part></CompleteMultipartUpload>
        expect s0
        send s0 200 | <ListPartsResult/>
        expect s0
        send s0 200 x-amz-version-id:v9 | <CompleteMultipartUploadResult><ETag>'whole'</ETag></CompleteMultipartUploadResult>
        expect c1";

    completion_with_unknown_outcome_is_looked_up_and_not_repeated: Object, 1, "
        send c1 ${create-upload}
        expect s0
        send s0 200 | ${upload-created}
        expect c1
        send c1 ${complete-upload} | ${completion}
        expect s0
        send s0 200 | <ListPartsResult/>
        expect s0
        close s0
        expect s0
        send s0 200 | <ListPartsResult/>
        expect c1
        send c1 ${complete-upload} | ${completion}
        expect s0
        send s0 200 | <ListPartsResult/>
        expect c1
        send c1 ${complete-upload} | ${completion}
        expect s0
        send s0 404
        expect s0
        send s0 200 ETag:'whole' x-amz-version-id:v9 x-amz-meta-tulipbridge-upload:$token
        expect c1";

    part_for_a_draining_server_is_rejected_once_with_retry_after: Object, 2, "
        expect d
        send d Terminating 1
        wait 300
        send c1 ${create-upload}
        expect s0
        send s0 200 | ${upload-created}
        expect c1
        send c1 ${put-part-1} | lands
        expect s0
        send d Terminating 0
        wait 300
        send c2 ${put-part-2} | late
        expect c2
        send s0 200 ETag:'p1'
        expect c1
        send d Ready 0
        wait 300
        send c2 ${put-part-2} | late
        expect s0
        send s0 200 ETag:'p2'
        expect c2";
}
