//! TCP connections.

use std::{
    io,
    net::SocketAddr, //
};

use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::{
        TcpListener, TcpStream,
        tcp::{
            OwnedReadHalf,
            OwnedWriteHalf, //
        },
    },
    sync::{
        mpsc,
        mpsc::{
            Receiver,
            Sender, //
        },
    },
    task::JoinSet,
    time::Instant, //
};

use super::{
    Gate,
    Shared,
    count,
    open,
    until_cut, //
};

const PIECE_BYTES: usize = 64 << 10;

/// Pieces that wait to be passed on, each way. More stay with their sender, as in a black hole.
const PIECES: usize = 16;

pub(super) async fn run(listener: TcpListener, upstream: SocketAddr, gate: Shared) {
    let mut conns = JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let number = open(&gate);
        let gate = gate.clone();
        conns.spawn(async move {
            tokio::select! {
                _ = connection(client, upstream, &gate, number) => {}
                () = until_cut(&gate, number) => {}
            }
        });
        while conns.try_join_next().is_some() {}
    }
}

async fn connection(
    client: TcpStream,
    upstream: SocketAddr,
    gate: &Shared,
    number: u64,
) -> io::Result<()> {
    until_open(gate, number, Way::There).await;
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        pump(from_client, to_server, gate, number, Way::There),
        pump(from_server, to_client, gate, number, Way::Back),
    )?;
    Ok(())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

/// What one side sent, and when it is passed on; an empty piece is its end.
struct Piece {
    due: Instant,
    bytes: io::Result<Vec<u8>>,
}

async fn pump(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    gate: &Shared,
    number: u64,
    way: Way,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(PIECES);
    tokio::try_join!(read(from, tx, gate), write(to, rx, gate, number, way))?;
    Ok(())
}

/// Reads without waiting for what is delayed, so that the end of a connection comes as long after
/// its last piece as it was sent.
async fn read(mut from: OwnedReadHalf, tx: Sender<Piece>, gate: &Shared) -> io::Result<()> {
    let mut buf = vec![0; PIECE_BYTES];
    loop {
        let bytes = from.read(&mut buf).await.map(|len| buf[..len].to_vec());
        gate.send_modify(|gate| gate.read += 1);
        let due = Instant::now() + gate.borrow().delay;
        let is_last = bytes.as_ref().map_or(true, Vec::is_empty);
        let passed_on = tx.send(Piece { due, bytes }).await;
        if is_last || passed_on.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut rx: Receiver<Piece>,
    gate: &Shared,
    number: u64,
    way: Way,
) -> io::Result<()> {
    while let Some(piece) = rx.recv().await {
        tokio::time::sleep_until(piece.due).await;
        // A reset of one side, too, must not show on the other side of a black hole.
        until_open(gate, number, way).await;
        let bytes = piece.bytes?;
        if bytes.is_empty() {
            return to.shutdown().await;
        }
        count(gate, bytes.len());
        to.write_all(&bytes).await?;
    }
    Ok(())
}

async fn until_open(gate: &Shared, number: u64, way: Way) {
    let held = |gate: &Gate| way == Way::Back && gate.answers_silent;
    let mut rx = gate.subscribe();
    let _ = rx
        .wait_for(|gate| !gate.is_silent(number) && !held(gate))
        .await;
}
