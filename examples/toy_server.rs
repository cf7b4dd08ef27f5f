//! A toy chunk server that keeps all objects in memory. It handles the requests of both fronts,
//! that of the platform (any path is stored and read the same way) and that of the object API, so
//! that both can be tried out.
//!
//!     cargo run --example toy_server 127.0.0.1:7101

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::ops::Range;
use std::rc::Rc;
use std::time::SystemTime;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, CONTENT_RANGE, ETAG, LAST_MODIFIED, RANGE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

const DEFAULT_ADDRESS: &str = "127.0.0.1:7101";
/// The entity tag of every part; parts have no tags of their own.
const PART_TAG: &str = "\"part\"";

/// A stored object with the headers that are returned with it.
struct Object {
    bytes: Bytes,
    headers: HeaderMap,
}

/// A multipart upload that is neither completed nor aborted.
struct Upload {
    path: String,
    headers: HeaderMap,
    /// The parts received so far, by part number.
    parts: BTreeMap<u32, Bytes>,
}

#[derive(Default)]
struct Store {
    /// The stored objects, by path.
    objects: BTreeMap<String, Object>,
    /// The uploads in progress, by upload id.
    uploads: BTreeMap<String, Upload>,
    uploads_created: u64,
}

type HttpResponse = Response<Full<Bytes>>;

fn main() {
    let address = std::env::args()
        .nth(1)
        .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, serve(&address));
}

async fn serve(address: &str) {
    let listener = TcpListener::bind(address)
        .await
        .expect("the address is free");
    println!(
        "toy chunk server on {}",
        listener.local_addr().expect("bound")
    );
    let store = Rc::new(RefCell::new(Store::default()));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let store = Rc::clone(&store);
        spawn_local(async move {
            let service = service_fn(move |request| handle_request(Rc::clone(&store), request));
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                // The error affects only the client of this connection.
                eprintln!("connection failed: {error}");
            }
        });
    }
}

/// Handles a request of either API.
async fn handle_request(
    store: Rc<RefCell<Store>>,
    request: Request<Incoming>,
) -> Result<HttpResponse, Infallible> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return Ok(empty_response(StatusCode::BAD_REQUEST));
    };
    println!("{} {}", head.method, head.uri);
    let query = head.uri.query().unwrap_or_default();
    let path = head.uri.path().to_owned();
    let body = body.to_bytes();
    let mut store = store.borrow_mut();
    Ok(match (query_field(query, "uploadId"), &head.method) {
        (Some(id), method) => {
            store.handle_upload(id, method, query_field(query, "partNumber"), body)
        }
        (None, &Method::POST) => store.create_upload(path, head.headers),
        (None, &Method::PUT) => store.put(path, head.headers, body),
        (None, &Method::DELETE) => {
            store.objects.remove(&path);
            empty_response(StatusCode::NO_CONTENT)
        }
        (None, &Method::HEAD) => store.head(&path),
        (None, _) => store.get(&path, &head.headers),
    })
}

fn query_field<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut fields = query
        .split('&')
        .map(|field| field.split_once('=').unwrap_or((field, "")));
    fields
        .find(|(field, _)| *field == name)
        .map(|(_, value)| value)
}

impl Store {
    fn put(&mut self, path: String, headers: HeaderMap, bytes: Bytes) -> HttpResponse {
        let mut headers: HeaderMap = headers
            .into_iter()
            .filter_map(|(name, value)| Some((name?, value)))
            .filter(is_stored)
            .collect();
        let tag = entity_tag(&bytes);
        set_header(&mut headers, ETAG, &tag);
        set_header(
            &mut headers,
            LAST_MODIFIED,
            &httpdate::fmt_http_date(SystemTime::now()),
        );
        println!("stored {path}");
        self.objects.insert(path, Object { bytes, headers });
        let mut reply = empty_response(StatusCode::OK);
        set_header(reply.headers_mut(), ETAG, &tag);
        reply
    }

    fn head(&self, path: &str) -> HttpResponse {
        let Some(object) = self.objects.get(path) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let mut reply = empty_response(StatusCode::OK);
        reply
            .headers_mut()
            .insert(CONTENT_LENGTH, HeaderValue::from(object.bytes.len()));
        reply.headers_mut().extend(object.headers.clone());
        reply
    }

    fn get(&self, path: &str, request_headers: &HeaderMap) -> HttpResponse {
        let Some(object) = self.objects.get(path) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let size = object.bytes.len();
        let mut reply = empty_response(StatusCode::OK);
        match requested_range(request_headers, size) {
            None => *reply.body_mut() = Full::new(object.bytes.clone()),
            Some(range) if range.is_empty() => {
                *reply.status_mut() = StatusCode::RANGE_NOT_SATISFIABLE;
                set_header(
                    reply.headers_mut(),
                    CONTENT_RANGE,
                    &format!("bytes */{size}"),
                );
                return reply;
            }
            Some(range) => {
                *reply.status_mut() = StatusCode::PARTIAL_CONTENT;
                let content_range = format!("bytes {}-{}/{size}", range.start, range.end - 1);
                set_header(reply.headers_mut(), CONTENT_RANGE, &content_range);
                *reply.body_mut() = Full::new(object.bytes.slice(range));
            }
        }
        reply.headers_mut().extend(object.headers.clone());
        reply
    }

    fn create_upload(&mut self, path: String, headers: HeaderMap) -> HttpResponse {
        self.uploads_created += 1;
        let id = self.uploads_created.to_string();
        self.uploads.insert(
            id.clone(),
            Upload {
                path,
                headers,
                parts: BTreeMap::new(),
            },
        );
        xml_response(
            "InitiateMultipartUploadResult",
            &format!("<UploadId>{id}</UploadId>"),
        )
    }

    fn handle_upload(
        &mut self,
        id: &str,
        method: &Method,
        part: Option<&str>,
        body: Bytes,
    ) -> HttpResponse {
        let Some(upload) = self.uploads.get_mut(id) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        match *method {
            Method::PUT => {
                upload.parts.insert(
                    part.and_then(|number| number.parse().ok()).unwrap_or(1),
                    body,
                );
                let mut reply = empty_response(StatusCode::OK);
                set_header(reply.headers_mut(), ETAG, PART_TAG);
                reply
            }
            Method::GET => xml_response("ListPartsResult", &list_parts(upload)),
            Method::DELETE => {
                self.uploads.remove(id);
                empty_response(StatusCode::NO_CONTENT)
            }
            _ => self.complete_upload(id),
        }
    }

    fn complete_upload(&mut self, id: &str) -> HttpResponse {
        let Some(upload) = self.uploads.remove(id) else {
            return empty_response(StatusCode::NOT_FOUND);
        };
        let bytes: Vec<u8> = upload
            .parts
            .values()
            .flat_map(|part| part.to_vec())
            .collect();
        let stored = self.put(upload.path, upload.headers, bytes.into());
        let tag = stored
            .headers()
            .get(ETAG)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default();
        xml_response(
            "CompleteMultipartUploadResult",
            &format!("<ETag>{tag}</ETag>"),
        )
    }
}

/// Returns the bytes that a `Range` header selects, empty if they lie past the end; `None` if
/// there is no header of the form `bytes=FIRST-LAST`.
fn requested_range(headers: &HeaderMap, size: usize) -> Option<Range<usize>> {
    let header = headers.get(RANGE)?.to_str().ok()?;
    let (first, last) = header.strip_prefix("bytes=")?.split_once('-')?;
    let range = match first.parse::<usize>() {
        Ok(first) => {
            first
                ..last
                    .parse()
                    .map_or(size, |last: usize| last.saturating_add(1).min(size))
        }
        Err(_) => size.saturating_sub(last.parse().unwrap_or(0))..size,
    };
    Some(range)
}

fn entity_tag(bytes: &[u8]) -> String {
    let hash = bytes
        .iter()
        .fold(7u64, |hash, byte| hash.wrapping_mul(31) + u64::from(*byte));
    format!("\"{hash:x}-{}\"", bytes.len())
}

fn list_parts(upload: &Upload) -> String {
    let part = |(number, bytes): (&u32, &Bytes)| {
        let size = bytes.len();
        format!("<Part><PartNumber>{number}</PartNumber><ETag>{PART_TAG}</ETag><Size>{size}</Size></Part>")
    };
    upload.parts.iter().map(part).collect()
}

/// Returns whether a request header is stored with the object.
fn is_stored((name, _): &(HeaderName, HeaderValue)) -> bool {
    name == "content-type" || name.as_str().starts_with("x-amz-meta-")
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    headers.insert(name, HeaderValue::try_from(value).expect("a valid header"));
}

fn xml_response(root: &str, content: &str) -> HttpResponse {
    Response::new(Full::from(format!("<{root}>{content}</{root}>")))
}

fn empty_response(status: StatusCode) -> HttpResponse {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}
