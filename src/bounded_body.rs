//! Reads HTTP bodies within limits of size and memory.

use crate::byte_budget::ByteAccount;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// Error of reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyError {
    /// The body exceeds the limit.
    TooLarge,
    /// Other bodies take up the memory.
    NoMemory,
    /// The connection broke before the body was complete.
    Broken,
}

/// Size of a body.
#[derive(Clone, Copy, Debug, Default)]
pub struct BodySize {
    /// Size that the peer has declared, in bytes; 0 if it has not.
    pub declared: usize,
    /// Largest size that is read, in bytes.
    pub limit: usize,
}

/// Reads a body to its end, and records the memory that it takes up in `account`.
///
/// The memory of a declared size is reserved first: otherwise many bodies would be read in part, and none to its end.
///
/// # Errors
/// See [`BodyError`].
pub async fn read<B>(
    body: &mut B,
    size: BodySize,
    account: &mut ByteAccount,
) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
{
    if size.declared > size.limit {
        return Err(BodyError::TooLarge);
    }
    if !account.grow(size.declared) {
        return Err(BodyError::NoMemory);
    }
    let mut read = BytesMut::with_capacity(size.declared);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_e| BodyError::Broken)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if read.len() + data.len() > size.limit {
            return Err(BodyError::TooLarge);
        }
        read.reserve(data.len());
        if !account.grow(read.capacity()) {
            return Err(BodyError::NoMemory);
        }
        read.extend_from_slice(&data);
    }
    Ok(read.freeze())
}

/// Reads a body to its end and discards it: a peer that is still writing would lose a response that comes before that.
pub async fn discard<B>(mut body: B)
where
    B: Body<Data = Bytes> + Unpin,
{
    while let Some(Ok(_frame)) = body.frame().await {}
}
