//! A toy chunk server that keeps everything in memory: the platform's requests (any path without a bucket it
//! knows is stored and read the same way) and the object API's, so that a newcomer can try both fronts.
//!
//!     cargo run --example toy_server 127.0.0.1:7101

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::SystemTime;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH, CONTENT_RANGE, ETAG, LAST_MODIFIED, RANGE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::{spawn_local, LocalSet};

struct Object {
    bytes: Bytes,
    headers: HeaderMap,
}

struct Upload {
    path: String,
    headers: HeaderMap,
    parts: BTreeMap<u32, Bytes>,
}

#[derive(Default)]
struct Store {
    objects: BTreeMap<String, Object>,
    uploads: BTreeMap<String, Upload>,
    opened: u64,
}

type Reply = Response<Full<Bytes>>;

fn main() {
    let address = std::env::args().nth(1).unwrap_or_else(|| "127.0.0.1:7101".to_owned());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(&address).await.expect("the address is free");
        println!("toy chunk server on {}", listener.local_addr().expect("bound"));
        let store = Rc::new(RefCell::new(Store::default()));
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let store = Rc::clone(&store);
            spawn_local(async move {
                let service = service_fn(move |request| answer(Rc::clone(&store), request));
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
}

async fn answer(store: Rc<RefCell<Store>>, request: Request<Incoming>) -> Result<Reply, Infallible> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else { return Ok(plain(StatusCode::BAD_REQUEST, "")) };
    println!("{} {}", head.method, head.uri);
    let query = head.uri.query().unwrap_or_default();
    let field = |name: &str| {
        let fields = query.split('&').map(|f| f.split_once('=').unwrap_or((f, "")));
        fields.filter(|(n, _)| *n == name).map(|(_, v)| v.to_owned()).next()
    };
    let (path, body) = (head.uri.path().to_owned(), body.to_bytes());
    let mut store = store.borrow_mut();
    Ok(match (field("uploadId"), &head.method) {
        (Some(id), method) => store.upload(&id, method, field("partNumber"), body),
        (None, &Method::POST) => store.open(path, head.headers),
        (None, &Method::PUT) => store.put(path, head.headers, body),
        (None, &Method::DELETE) => {
            store.objects.remove(&path);
            plain(StatusCode::NO_CONTENT, "")
        }
        (None, method) => store.get(&path, method == Method::HEAD, &head.headers),
    })
}

impl Store {
    fn put(&mut self, path: String, mut headers: HeaderMap, bytes: Bytes) -> Reply {
        headers = headers.into_iter().filter_map(|(n, v)| Some((n?, v))).filter(described).collect();
        let tag = format!(
            "\"{:x}-{}\"",
            bytes.iter().fold(7u64, |h, b| h.wrapping_mul(31) + u64::from(*b)),
            bytes.len()
        );
        insert(&mut headers, ETAG, &tag);
        insert(&mut headers, LAST_MODIFIED, &httpdate::fmt_http_date(SystemTime::now()));
        println!("stored {path}");
        self.objects.insert(path, Object { bytes, headers });
        let mut reply = plain(StatusCode::OK, "");
        insert(reply.headers_mut(), ETAG, &tag);
        reply
    }

    fn get(&self, path: &str, head: bool, asked: &HeaderMap) -> Reply {
        let Some(object) = self.objects.get(path) else { return plain(StatusCode::NOT_FOUND, "") };
        let size = object.bytes.len();
        let range = asked.get(RANGE).and_then(|v| v.to_str().ok()).and_then(|r| r.strip_prefix("bytes="));
        let range = range.and_then(|r| r.split_once('-')).map(|(first, last)| match first.parse::<usize>() {
            Ok(first) => (first, last.parse().map_or(size, |l: usize| l.saturating_add(1).min(size))),
            Err(_) => (size.saturating_sub(last.parse().unwrap_or(0)), size),
        });
        let mut reply = plain(StatusCode::OK, "");
        if let Some((first, end)) = range.filter(|_| !head) {
            if first >= end {
                *reply.status_mut() = StatusCode::RANGE_NOT_SATISFIABLE;
                insert(reply.headers_mut(), CONTENT_RANGE, &format!("bytes */{size}"));
                return reply;
            }
            *reply.status_mut() = StatusCode::PARTIAL_CONTENT;
            *reply.body_mut() = Full::new(object.bytes.slice(first..end));
            insert(reply.headers_mut(), CONTENT_RANGE, &format!("bytes {first}-{}/{size}", end - 1));
        } else if head {
            reply.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(size));
        } else {
            *reply.body_mut() = Full::new(object.bytes.clone());
        }
        reply.headers_mut().extend(object.headers.clone());
        reply
    }

    fn open(&mut self, path: String, headers: HeaderMap) -> Reply {
        self.opened += 1;
        let id = self.opened.to_string();
        self.uploads.insert(id.clone(), Upload { path, headers, parts: BTreeMap::new() });
        xml("InitiateMultipartUploadResult", &format!("<UploadId>{id}</UploadId>"))
    }

    fn upload(&mut self, id: &str, method: &Method, number: Option<String>, body: Bytes) -> Reply {
        let Some(upload) = self.uploads.get_mut(id) else { return plain(StatusCode::NOT_FOUND, "") };
        match *method {
            Method::PUT => {
                upload.parts.insert(number.and_then(|n| n.parse().ok()).unwrap_or(1), body);
                let mut reply = plain(StatusCode::OK, "");
                insert(reply.headers_mut(), ETAG, "\"part\"");
                reply
            }
            Method::GET => {
                let part = |(n, b): (&u32, &Bytes)| {
                    format!(
                        "<Part><PartNumber>{n}</PartNumber><ETag>\"part\"</ETag><Size>{}</Size></Part>",
                        b.len()
                    )
                };
                xml("ListPartsResult", &upload.parts.iter().map(part).collect::<String>())
            }
            Method::DELETE => {
                self.uploads.remove(id);
                plain(StatusCode::NO_CONTENT, "")
            }
            _ => {
                let Some(upload) = self.uploads.remove(id) else { return plain(StatusCode::NOT_FOUND, "") };
                let whole: Vec<u8> = upload.parts.values().flat_map(|b| b.to_vec()).collect();
                let stored = self.put(upload.path, upload.headers, whole.into());
                let tag = stored.headers().get(ETAG).and_then(|v| v.to_str().ok()).unwrap_or_default();
                xml("CompleteMultipartUploadResult", &format!("<ETag>{tag}</ETag>"))
            }
        }
    }
}

fn described((name, _): &(hyper::header::HeaderName, HeaderValue)) -> bool {
    name == "content-type" || name.as_str().starts_with("x-amz-meta-")
}

fn insert(headers: &mut HeaderMap, name: hyper::header::HeaderName, value: &str) {
    headers.insert(name, HeaderValue::try_from(value).expect("plain text"));
}

fn xml(root: &str, inner: &str) -> Reply {
    plain(StatusCode::OK, &format!("<{root}>{inner}</{root}>"))
}

fn plain(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(Full::from(text.to_owned()));
    *reply.status_mut() = status;
    reply
}
