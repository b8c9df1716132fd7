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
    task::JoinSet, //
};

use super::{
    Shared,
    open,
    until_cut, //
};

const PIECE_BYTES: usize = 64 << 10;

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
    until_open(gate, number).await;
    let server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        pump(from_client, to_server, gate, number),
        pump(from_server, to_client, gate, number),
    )?;
    Ok(())
}

async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    gate: &Shared,
    number: u64,
) -> io::Result<()> {
    let mut buf = vec![0; PIECE_BYTES];
    loop {
        let len = match from.read(&mut buf).await {
            Ok(len) => len,
            Err(e) => {
                // A reset of one side must not show on the other side of a black hole.
                until_open(gate, number).await;
                return Err(e);
            }
        };
        let delay = gate.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        until_open(gate, number).await;
        if len == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..len]).await?;
    }
}

async fn until_open(gate: &Shared, number: u64) {
    let mut rx = gate.subscribe();
    let _ = rx.wait_for(|gate| !gate.is_silent(number)).await;
}
