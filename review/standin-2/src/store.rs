//! Stand-in of the platform's store: objects, revisions, watches, eras.

use crate::{
    http::{self, Reply, Request},
    json::{Json, quote},
};
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

/// Time after which a watch counts as waiting.
const WAITS: Duration = Duration::from_millis(20);

/// Objects on a page.
const PAGE: usize = 500;

#[derive(Clone, Debug)]
struct Object {
    spec: String,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    name: String,
    object: Object,
    deleted: bool,
}

/// Content of the store.
#[derive(Clone, Debug, Default)]
pub struct Content {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    history: Vec<Event>,
}

/// A write of the system that was carried out.
#[derive(Clone, Debug)]
pub struct Write {
    /// Time.
    pub at: Instant,
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Content.
    pub spec: Json,
}

#[derive(Debug, Default)]
struct Inner {
    content: Content,
    era: Option<u64>,
    is_down: bool,
    silent: HashSet<IpAddr>,
    cuts: HashMap<String, HashSet<IpAddr>>,
    writes: Vec<Write>,
}

/// The store.
#[derive(Clone, Debug, Default)]
pub struct Store(Arc<(Mutex<Inner>, Condvar)>);

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"createdAt\":0,\"finalizers\":[],\"deleting\":false}},\"spec\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.spec
    )
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        if let Some(byte) = hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

impl Store {
    /// Starts an empty store; `era` is what `Store-Era` names in all answers.
    ///
    /// # Errors
    /// The address is in use.
    pub fn start(address: SocketAddr, era: Option<u64>) -> std::io::Result<Self> {
        let store = Self::default();
        store.lock().era = era;
        let serving = store.clone();
        http::serve(address, move |request, _stream| serving.handle(request))?;
        Ok(store)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.0.lock().unwrap()
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.lock().write(kind, name, spec.to_owned());
        self.0.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.lock().remove(kind, name);
        self.0.1.notify_all();
    }

    /// Returns the content of an object.
    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let inner = self.lock();
        let object = inner
            .content
            .objects
            .get(&(kind.to_owned(), name.to_owned()))?;
        Json::parse(&object.spec)
    }

    /// Returns the names and contents of all objects of a kind.
    pub fn all(&self, kind: &str) -> Vec<(String, Json)> {
        let inner = self.lock();
        let of_kind = inner.content.objects.iter().filter(|((k, _), _)| k == kind);
        of_kind
            .filter_map(|((_, n), o)| Some((n.clone(), Json::parse(&o.spec)?)))
            .collect()
    }

    /// Returns what the system wrote so far.
    pub fn writes(&self) -> Vec<Write> {
        self.lock().writes.clone()
    }

    /// Copies the content.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// Is away from now on: connections are closed without an answer.
    pub fn go_away(&self) {
        self.lock().is_down = true;
        self.0.1.notify_all();
    }

    /// Returns from an older copy, in the next era.
    pub fn come_back(&self, copy: &Content) {
        let mut inner = self.lock();
        inner.content = copy.clone();
        inner.era = inner.era.map(|era| era + 1);
        inner.is_down = false;
    }

    /// Partitions callers from the store, until it is called again without them.
    pub fn partition(&self, callers: &[IpAddr]) {
        self.lock().silent = callers.iter().copied().collect();
        self.0.1.notify_all();
    }

    /// Cuts off one watch of `kind` of each of these callers, once it waits.
    pub fn cut_watches(&self, kind: &str, callers: &[IpAddr]) {
        self.lock()
            .cuts
            .insert(kind.to_owned(), callers.iter().copied().collect());
        self.0.1.notify_all();
    }

    /// Holds a call of a partitioned caller, then drops it.
    fn is_partitioned(&self, request: &Request) -> bool {
        let is_silent = || {
            request
                .peer
                .is_some_and(|ip| self.lock().silent.contains(&ip))
        };
        let was_silent = is_silent();
        while is_silent() {
            thread::sleep(Duration::from_millis(10));
        }
        was_silent
    }

    fn handle(&self, request: &Request) -> Reply {
        if self.is_partitioned(request) || self.lock().is_down {
            return Reply::Close;
        }
        thread::sleep(Duration::from_millis(4));
        let path = request.path.trim_start_matches("/-/objects/");
        let (kind, name) = path
            .split_once('/')
            .map_or((path, None), |(k, n)| (k, Some(decode(n))));
        let reply = match (request.method.as_str(), name) {
            ("GET", None) if !request.param("watch").is_empty() => self.watch(kind, request),
            ("GET", None) => self.list(kind, &decode(request.param("after"))),
            ("GET", Some(name)) => self.read(kind, &name),
            ("POST", None) => self.create(kind, &request.body),
            ("PUT", Some(name)) => self.replace(kind, &name, &request.body),
            _ => Some((400, String::new())),
        };
        if self.is_partitioned(request) || self.lock().is_down {
            return Reply::Close;
        }
        let Some((status, body)) = reply else {
            return Reply::Close;
        };
        let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        if let Some(era) = self.lock().era {
            headers.push(("Store-Era".to_owned(), era.to_string()));
        }
        Reply::Full(status, headers, body)
    }

    fn list(&self, kind: &str, after: &str) -> Option<(u16, String)> {
        let inner = self.lock();
        let all: Vec<(&String, &Object)> = inner
            .content
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after)
            .map(|((_, n), o)| (n, o))
            .collect();
        let items: Vec<String> = all
            .iter()
            .take(PAGE)
            .map(|(n, o)| object_text(n, o))
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"hasMore\":{},\"at\":{}}}",
            items.join(","),
            all.len() > PAGE,
            inner.content.revision
        );
        Some((200, body))
    }

    fn watch(&self, kind: &str, request: &Request) -> Option<(u16, String)> {
        let from: u64 = request.param("watch").parse().unwrap_or(0);
        let wait = request.param("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.lock();
        if from > inner.content.revision {
            return Some((410, String::new()));
        }
        let began = Instant::now();
        let era = inner.era;
        loop {
            if inner.is_down || inner.era != era {
                return None;
            }
            let events: Vec<&Event> = inner
                .content
                .history
                .iter()
                .filter(|e| e.revision > from && e.kind == kind)
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let events: Vec<String> = events
                    .iter()
                    .map(|e| {
                        format!(
                            "{{\"object\":{},\"deleted\":{}}}",
                            object_text(&e.name, &e.object),
                            e.deleted
                        )
                    })
                    .collect();
                return Some((
                    200,
                    format!(
                        "{{\"events\":[{}],\"at\":{}}}",
                        events.join(","),
                        inner.content.revision
                    ),
                ));
            }
            if began.elapsed() >= WAITS {
                let cuts = inner.cuts.get_mut(kind);
                if cuts.is_some_and(|all| request.peer.is_some_and(|ip| all.remove(&ip))) {
                    return None;
                }
            }
            let left = until.saturating_duration_since(Instant::now()).min(WAITS);
            inner = self.0.1.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn read(&self, kind: &str, name: &str) -> Option<(u16, String)> {
        let inner = self.lock();
        let object = inner
            .content
            .objects
            .get(&(kind.to_owned(), name.to_owned()));
        Some(object.map_or((404, String::new()), |o| (200, object_text(name, o))))
    }

    fn create(&self, kind: &str, body: &str) -> Option<(u16, String)> {
        let Some(body) = Json::parse(body) else {
            return Some((400, String::new()));
        };
        let name = body.get("metadata").get("name").str().to_owned();
        let mut inner = self.lock();
        if let Some(object) = inner.content.objects.get(&(kind.to_owned(), name.clone())) {
            return Some((409, object_text(&name, object)));
        }
        Some(self.written(&mut inner, kind, &name, body.get("spec")))
    }

    fn replace(&self, kind: &str, name: &str, body: &str) -> Option<(u16, String)> {
        let Some(body) = Json::parse(body) else {
            return Some((400, String::new()));
        };
        let mut inner = self.lock();
        let Some(object) = inner
            .content
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
        else {
            return Some((404, String::new()));
        };
        let expected = body.get("metadata").get("revision").int();
        if expected.is_some_and(|r| r != object.revision) {
            return Some((409, object_text(name, object)));
        }
        Some(self.written(&mut inner, kind, name, body.get("spec")))
    }

    fn written(&self, inner: &mut Inner, kind: &str, name: &str, spec: &Json) -> (u16, String) {
        let object = inner.write(kind, name, spec.write());
        let (kind, name_) = (kind.to_owned(), name.to_owned());
        inner.writes.push(Write {
            at: Instant::now(),
            kind,
            name: name_,
            spec: spec.clone(),
        });
        self.0.1.notify_all();
        (200, object_text(name, &object))
    }
}

impl Inner {
    fn write(&mut self, kind: &str, name: &str, spec: String) -> Object {
        self.content.revision += 1;
        let object = Object {
            spec,
            revision: self.content.revision,
        };
        self.content
            .objects
            .insert((kind.to_owned(), name.to_owned()), object.clone());
        self.add_event(kind, name, &object, false);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self
            .content
            .objects
            .remove(&(kind.to_owned(), name.to_owned()))
        {
            self.content.revision += 1;
            self.add_event(kind, name, &object, true);
        }
    }

    fn add_event(&mut self, kind: &str, name: &str, object: &Object, deleted: bool) {
        self.content.history.push(Event {
            revision: self.content.revision,
            kind: kind.to_owned(),
            name: name.to_owned(),
            object: object.clone(),
            deleted,
        });
    }
}
