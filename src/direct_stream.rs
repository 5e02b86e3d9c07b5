//! TCP stream of a client connection whose reads don't wait for a notification.

use hyper_util::client::legacy::connect::{Connected, Connection};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes read at once without a notification; the runtime is notified of any others that wait.
const DIRECT_BYTES: usize = 256;

/// TCP stream that returns bytes which the runtime has not been notified of yet.
///
/// An HTTP client reads an idle connection before it writes a request, and gives the connection up if bytes wait there, as they
/// belong to no request. The runtime's own stream finds none until the runtime has polled for events.
#[derive(Debug)]
pub struct DirectStream(TcpStream);

impl DirectStream {
    /// Wraps a connected stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(stream)
    }
}

impl Connection for DirectStream {
    fn connected(&self) -> Connected {
        self.0.connected()
    }
}

impl AsyncRead for DirectStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Also registers the task for the next notification.
        if let Poll::Ready(read) = Pin::new(&mut self.0).poll_read(cx, buf) {
            return Poll::Ready(read);
        }
        let mut bytes = [0; DIRECT_BYTES];
        let room = buf.remaining().min(DIRECT_BYTES);
        match rustix::io::read(&self.0, &mut bytes[..room]) {
            Ok(count) => {
                buf.put_slice(&bytes[..count]);
                Poll::Ready(Ok(()))
            }
            Err(rustix::io::Errno::WOULDBLOCK | rustix::io::Errno::INTR) => Poll::Pending,
            Err(e) => Poll::Ready(Err(e.into())),
        }
    }
}

impl AsyncWrite for DirectStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }
}
