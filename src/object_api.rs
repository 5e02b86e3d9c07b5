//! Client of the platform's object API: versioned objects, conditional writes, watches.

use crate::{
    http_client::{self, BufferedResponse, CallError, HttpClient},
    metrics,
};
use bytes::Bytes;
use http::{
    HeaderValue, Method,
    header::{IF_MATCH, IF_NONE_MATCH},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::{
    fmt::{Display, Formatter},
    net::SocketAddr,
    time::Duration,
};

/// Timeout of a read or a write.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time added to a watch's own wait for its timeout.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);

/// Version of an object; grows with every write to the store.
pub type Version = u64;

/// Condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Condition {
    /// The object must not exist.
    Absent,
    /// The object must be at this version.
    At(Version),
}

/// Why a call to the object API failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ObjectError {
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The store refused the call, by its rate limit or in an outage; nothing was written.
    Refused,
    /// The response was lost; a write may have taken effect.
    Unknown,
    /// The store's response was malformed.
    Malformed,
}

impl Display for ObjectError {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Conflict => "the write's condition did not hold",
            Self::Refused => "the object API refused the call",
            Self::Unknown => "the response was lost",
            Self::Malformed => "the response was malformed",
        })
    }
}

impl std::error::Error for ObjectError {}

/// An object in the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StoredObject {
    /// Key.
    pub key: String,
    /// Version of the last write.
    pub version: Version,
    /// Value, as JSON text.
    pub value: String,
}

impl StoredObject {
    /// Deserialises the value as `T`.
    ///
    /// # Errors
    /// [`ObjectError::Malformed`].
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, ObjectError> {
        serde_json::from_str(&self.value).map_err(|_e| ObjectError::Malformed)
    }
}

/// Objects below a prefix, and the store's version when they were read.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Listing {
    /// The store's version.
    pub version: Version,
    /// Objects, by key.
    pub items: Vec<StoredObject>,
}

/// Response of the store to a write.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct WriteResponse {
    /// New version of the object.
    pub version: Version,
}

/// Client of one object API.
#[derive(Clone, Debug)]
pub struct ObjectApi {
    base: String,
    client: HttpClient,
}

impl ObjectApi {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_client(address, http_client::build())
    }

    /// Creates a client of the store at `address` that uses the connections of `client`.
    pub fn with_client(address: SocketAddr, client: HttpClient) -> Self {
        Self {
            base: format!("http://{address}"),
            client,
        }
    }

    /// Reads an object; returns `None` if it does not exist.
    ///
    /// # Errors
    /// See [`ObjectError`].
    pub async fn get(&self, key: &str) -> Result<Option<StoredObject>, ObjectError> {
        let uri = format!("{}/objects/{key}", self.base);
        let response = self
            .send("get", Method::GET, &uri, Bytes::new(), None, CALL_TIMEOUT)
            .await?;
        match response.status {
            200 => parse(&response).map(Some),
            404 => Ok(None),
            _ => Err(ObjectError::Refused),
        }
    }

    /// Reads every object below `prefix`.
    ///
    /// # Errors
    /// See [`ObjectError`].
    pub async fn list(&self, prefix: &str) -> Result<Listing, ObjectError> {
        let uri = format!("{}/objects?prefix={prefix}", self.base);
        let response = self
            .send("list", Method::GET, &uri, Bytes::new(), None, CALL_TIMEOUT)
            .await?;
        if response.status == 200 {
            parse(&response)
        } else {
            Err(ObjectError::Refused)
        }
    }

    /// Waits at most `wait` until the object at `key` has a version above `after`.
    ///
    /// # Errors
    /// See [`ObjectError`].
    pub async fn watch(
        &self,
        key: &str,
        after: Version,
        wait: Duration,
    ) -> Result<Option<StoredObject>, ObjectError> {
        let ms = wait.as_millis();
        let uri = format!("{}/watch/{key}?after={after}&wait_ms={ms}", self.base);
        let timeout = wait + WATCH_TIMEOUT_MARGIN;
        let response = self
            .send("watch", Method::GET, &uri, Bytes::new(), None, timeout)
            .await?;
        match response.status {
            200 => parse(&response).map(Some),
            204 => Ok(None),
            _ => Err(ObjectError::Refused),
        }
    }

    /// Writes an object under a condition and returns its new version.
    ///
    /// # Errors
    /// See [`ObjectError`]; after [`ObjectError::Unknown`] the caller must read the object to learn whether it was written.
    pub async fn put<T: Serialize>(
        &self,
        key: &str,
        value: &T,
        condition: Condition,
    ) -> Result<Version, ObjectError> {
        let body = serde_json::to_vec(value).map_err(|_e| ObjectError::Malformed)?;
        let uri = format!("{}/objects/{key}", self.base);
        let condition = Some(condition);
        let response = self
            .send(
                "put",
                Method::PUT,
                &uri,
                body.into(),
                condition,
                CALL_TIMEOUT,
            )
            .await?;
        match response.status {
            200 => parse::<WriteResponse>(&response).map(|w| w.version),
            412 => Err(ObjectError::Conflict),
            429 | 503 => Err(ObjectError::Refused),
            _ => Err(ObjectError::Malformed),
        }
    }

    /// Deletes an object if it is at `version`; a missing object is no error.
    ///
    /// # Errors
    /// See [`ObjectError`].
    pub async fn delete(&self, key: &str, version: Version) -> Result<(), ObjectError> {
        let uri = format!("{}/objects/{key}", self.base);
        let at = Some(Condition::At(version));
        let response = self
            .send(
                "delete",
                Method::DELETE,
                &uri,
                Bytes::new(),
                at,
                CALL_TIMEOUT,
            )
            .await?;
        match response.status {
            200 | 404 => Ok(()),
            412 => Err(ObjectError::Conflict),
            _ => Err(ObjectError::Refused),
        }
    }

    async fn send(
        &self,
        kind: &'static str,
        method: Method,
        uri: &str,
        body: Bytes,
        condition: Option<Condition>,
        timeout: Duration,
    ) -> Result<BufferedResponse, ObjectError> {
        metrics::object_api_call(kind);
        let mut request = http_client::json_request(&method, uri, body);
        let headers = request.headers_mut();
        match condition {
            Some(Condition::Absent) => {
                headers.insert(IF_NONE_MATCH, HeaderValue::from_static("*"));
            }
            Some(Condition::At(version)) => {
                headers.insert(IF_MATCH, HeaderValue::from(version));
            }
            None => {}
        }
        match http_client::call(&self.client, request, timeout).await {
            Ok(response) => Ok(response),
            Err(CallError::NotSent) => Err(ObjectError::Refused),
            Err(CallError::Unknown | CallError::Timeout) => Err(ObjectError::Unknown),
        }
    }
}

fn parse<T: DeserializeOwned>(response: &BufferedResponse) -> Result<T, ObjectError> {
    serde_json::from_slice(&response.body).map_err(|_e| ObjectError::Malformed)
}
