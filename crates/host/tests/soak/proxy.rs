//! TCP proxy on a loopback address that injects network faults.

use std::net;
use std::time;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::tcp;
use tokio::sync::watch;

/// How a proxy forwards bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    Forward,
    /// Each read is forwarded after this delay.
    Slow(time::Duration),
    /// Nothing is forwarded to the server until the mode changes.
    StallUpstream,
    /// Nothing is forwarded to the client until the mode changes.
    StallDownstream,
    /// Connections are reset, including new ones.
    Reset,
}

/// Forwards connections to an address.
#[derive(Debug)]
pub(crate) struct Proxy {
    pub(crate) address: net::SocketAddr,
    mode: watch::Sender<Mode>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    Up,
    Down,
}

impl Proxy {
    pub(crate) async fn start(remote: net::SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind");
        let address = listener.local_addr().expect("address");
        let (mode, state) = watch::channel(Mode::Forward);
        tokio::spawn(async move {
            while let Ok((local, _peer)) = listener.accept().await {
                tokio::spawn(forward(local, remote, state.clone()));
            }
        });
        Self { address, mode }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(
    mut local: tokio::net::TcpStream,
    remote: net::SocketAddr,
    mut mode: watch::Receiver<Mode>,
) {
    let state = *mode.borrow();
    let remote = match state {
        Mode::Reset => None,
        _ => tokio::net::TcpStream::connect(remote).await.ok(),
    };
    let Some(mut remote) = remote else {
        reset(&local);
        return;
    };
    let is_reset = {
        let (mut from_local, mut to_local) = local.split();
        let (mut from_remote, mut to_remote) = remote.split();
        let (up, down) = (mode.clone(), mode.clone());
        tokio::select! {
            ended = async {
                tokio::try_join!(
                    copy(&mut from_local, &mut to_remote, up, Direction::Up),
                    copy(&mut from_remote, &mut to_local, down, Direction::Down),
                )
            } => ended.is_err(),
            _reset = mode.wait_for(|mode| *mode == Mode::Reset) => true,
        }
    };
    if is_reset {
        reset(&local);
        reset(&remote);
    }
}

/// Makes closing a connection reset it.
fn reset(stream: &tokio::net::TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_linger(Some(time::Duration::ZERO)) {
        eprintln!("connection cannot be reset: {error}");
    }
}

/// Copies one direction until its end.
async fn copy(
    from: &mut tcp::ReadHalf<'_>,
    to: &mut tcp::WriteHalf<'_>,
    mut mode: watch::Receiver<Mode>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 16_384];
    loop {
        let count = from.read(&mut buffer).await?;
        wait_for_mode(&mut mode, direction).await;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Waits until a read may be forwarded.
async fn wait_for_mode(mode: &mut watch::Receiver<Mode>, direction: Direction) {
    let is_stalled = |mode: &Mode| match mode {
        Mode::StallUpstream => direction == Direction::Up,
        Mode::StallDownstream => direction == Direction::Down,
        _ => false,
    };
    let state = mode.wait_for(|mode| !is_stalled(mode)).await;
    // The channel has no sender when the run is over.
    let Ok(Mode::Slow(delay)) = state.map(|mode| *mode) else {
        return;
    };
    tokio::time::sleep(delay).await;
}
