//! Length-delimited frames.
//!
//! A frame is a four-byte big-endian length, a one-byte tag and a payload of that length: a message
//! in postcard, or raw body bytes. The length is checked against the reader's limit before any
//! memory is allocated, so a hostile peer cannot exhaust a process's memory.

use bytes::{
    Bytes,
    BytesMut, //
};
use serde::{
    Serialize,
    de::DeserializeOwned, //
};
use tokio::io::{
    AsyncRead,
    AsyncReadExt,
    AsyncWrite,
    AsyncWriteExt, //
};

/// Longest message, in bytes. A peer's snapshot may be longer and is sent as a body.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Longest body frame, in bytes.
pub const MAX_BODY_BYTES: usize = 32 << 20;

/// Stands for the fields that an extension from an earlier release lacks.
const MISSING_FIELDS: [u8; 16] = [0; 16];

const HEADER_BYTES: usize = 5;
const TAG_MESSAGE: u8 = 0;
const TAG_BODY: u8 = 1;

/// Errors of reading and writing frames.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The stream failed.
    #[error("the stream failed: {0}")]
    Io(#[from] std::io::Error),
    /// The frame is longer than the limit.
    #[error("a frame of {found} bytes exceeds the limit of {limit}")]
    TooLong {
        /// The announced length, in bytes.
        found: usize,
        /// The limit for this kind of frame, in bytes.
        limit: usize,
    },
    /// The tag denotes neither a message nor a body.
    #[error("unknown frame tag {0}")]
    BadTag(u8),
    /// The message does not decode.
    #[error("a message does not decode: {0}")]
    Decode(#[from] postcard::Error),
    /// A message arrived in place of a body, or a body in place of a message.
    #[error("a frame of the wrong kind arrived")]
    WrongKind,
}

/// The payload of one frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Frame<M> {
    /// A message, decoded.
    Message(M),
    /// Raw bytes.
    Body(Bytes),
}

/// Writes a message.
///
/// # Errors
///
/// Fails when the message exceeds [`MAX_MESSAGE_BYTES`] or the stream fails.
pub async fn write_message<W, M>(w: &mut W, msg: &M) -> Result<(), Error>
where
    W: AsyncWrite + Unpin,
    M: Serialize,
{
    let mut buf = vec![0; HEADER_BYTES];
    buf = postcard::to_extend(msg, buf)?;
    write_framed(w, buf).await
}

/// Writes a message and an extension, which readers of earlier releases ignore.
///
/// # Errors
///
/// As [`write_message`].
pub async fn write_extended<W, M, E>(w: &mut W, msg: &M, ext: &E) -> Result<(), Error>
where
    W: AsyncWrite + Unpin,
    M: Serialize,
    E: Serialize,
{
    let buf = postcard::to_extend(msg, vec![0; HEADER_BYTES])?;
    write_framed(w, postcard::to_extend(ext, buf)?).await
}

async fn write_framed<W>(w: &mut W, mut buf: Vec<u8>) -> Result<(), Error>
where
    W: AsyncWrite + Unpin,
{
    let len = buf.len() - HEADER_BYTES;
    if len > MAX_MESSAGE_BYTES {
        return Err(Error::TooLong {
            found: len,
            limit: MAX_MESSAGE_BYTES,
        });
    }
    buf[..HEADER_BYTES].copy_from_slice(&header(len, TAG_MESSAGE));
    w.write_all(&buf).await?;
    Ok(())
}

/// Writes a body frame without copying the body.
///
/// # Errors
///
/// Fails when the body exceeds [`MAX_BODY_BYTES`] or the stream fails.
pub async fn write_body<W>(w: &mut W, body: &[u8]) -> Result<(), Error>
where
    W: AsyncWrite + Unpin,
{
    if body.len() > MAX_BODY_BYTES {
        return Err(Error::TooLong {
            found: body.len(),
            limit: MAX_BODY_BYTES,
        });
    }
    w.write_all(&header(body.len(), TAG_BODY)).await?;
    w.write_all(body).await?;
    Ok(())
}

/// Reads one frame.
///
/// # Errors
///
/// Fails when the stream ends or fails, when the frame exceeds its limit, has an unknown tag, or
/// does not decode.
pub async fn read<R, M>(r: &mut R) -> Result<Frame<M>, Error>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    let (tag, buf) = read_frame(r).await?;
    match tag {
        TAG_MESSAGE => Ok(Frame::Message(postcard::from_bytes(&buf)?)),
        _ => Ok(Frame::Body(buf)),
    }
}

/// Reads the tag and the payload of one frame.
async fn read_frame<R>(r: &mut R) -> Result<(u8, Bytes), Error>
where
    R: AsyncRead + Unpin,
{
    let mut head = [0; HEADER_BYTES];
    r.read_exact(&mut head).await?;
    let len = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let limit = match head[4] {
        TAG_MESSAGE => MAX_MESSAGE_BYTES,
        TAG_BODY => MAX_BODY_BYTES,
        tag => return Err(Error::BadTag(tag)),
    };
    if len > limit {
        return Err(Error::TooLong { found: len, limit });
    }
    Ok((head[4], read_bytes(r, len).await?))
}

/// Reads a frame that must be a message.
///
/// # Errors
///
/// As [`read`], and [`Error::WrongKind`] for a body.
pub async fn read_message<R, M>(r: &mut R) -> Result<M, Error>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
{
    match read(r).await? {
        Frame::Message(msg) => Ok(msg),
        Frame::Body(_) => Err(Error::WrongKind),
    }
}

/// Reads a message and its extension; the default if the writer has sent none.
///
/// An extension from an earlier release lacks the fields that were added at its end since. Those are
/// read from zeros, as false, 0, none or empty.
///
/// # Errors
///
/// As [`read_message`].
pub async fn read_extended<R, M, E>(r: &mut R) -> Result<(M, E), Error>
where
    R: AsyncRead + Unpin,
    M: DeserializeOwned,
    E: DeserializeOwned + Default,
{
    let (tag, buf) = read_frame(r).await?;
    if tag != TAG_MESSAGE {
        return Err(Error::WrongKind);
    }
    let (msg, rest) = postcard::take_from_bytes(&buf)?;
    let ext = match rest {
        [] => E::default(),
        rest => postcard::from_bytes(&[rest, &MISSING_FIELDS].concat())?,
    };
    Ok((msg, ext))
}

/// Reads a frame that must be a body.
///
/// # Errors
///
/// As [`read`], and [`Error::WrongKind`] for a message.
pub async fn read_body<R>(r: &mut R) -> Result<Bytes, Error>
where
    R: AsyncRead + Unpin,
{
    match read::<_, ()>(r).await {
        Ok(Frame::Body(buf)) => Ok(buf),
        Ok(Frame::Message(())) | Err(Error::Decode(_)) => Err(Error::WrongKind),
        Err(e) => Err(e),
    }
}

/// Reads a payload. The buffer grows with the bytes received and not with the announced length: a
/// peer that announces 32 MiB and sends nothing costs one small buffer.
async fn read_bytes<R>(r: &mut R, len: usize) -> Result<Bytes, Error>
where
    R: AsyncRead + Unpin,
{
    const STEP: usize = 64 << 10;
    let mut buf = BytesMut::new();
    while buf.len() < len {
        let from = buf.len();
        buf.resize(len.min(from + STEP), 0);
        r.read_exact(&mut buf[from..]).await?;
    }
    Ok(buf.freeze())
}

fn header(len: usize, tag: u8) -> [u8; HEADER_BYTES] {
    let n = u32::try_from(len).unwrap_or(u32::MAX).to_be_bytes();
    [n[0], n[1], n[2], n[3], tag]
}
