//! Loopback TCP proxy that forwards bytes and can delay, block, silence or reset connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

const BUFFER_BYTES: usize = 16 * 1024;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    ToTarget,
    FromTarget,
}

/// Faults in effect; connections are numbered in the order in which they are accepted.
#[derive(Debug, Clone, Copy, Default)]
struct State {
    next_connection: u64,
    refuses: bool,
    delay_ms: u64,
    cut_to_target: bool,
    cut_from_target: bool,
    /// Connections below this number never forward another byte.
    silent_below: u64,
    /// Connections below this number are reset.
    reset_below: u64,
}

impl State {
    fn may_forward(&self, connection: u64, direction: Direction) -> bool {
        let is_cut = match direction {
            Direction::ToTarget => self.cut_to_target,
            Direction::FromTarget => self.cut_from_target,
        };
        !is_cut && connection >= self.silent_below
    }
}

/// A running proxy; dropping it closes the listener and all connections.
pub struct Proxy {
    state: Arc<watch::Sender<State>>,
    task: JoinHandle<()>,
}

impl Proxy {
    pub async fn start(address: SocketAddr, target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(address)
            .await
            .expect("cannot bind the address of the proxy");
        let state = Arc::new(watch::Sender::new(State::default()));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Proxy { state, task }
    }

    pub fn refuse(&self, refuses: bool) {
        self.state.send_modify(|state| state.refuses = refuses);
    }

    pub fn delay(&self, delay_ms: u64) {
        self.state.send_modify(|state| state.delay_ms = delay_ms);
    }

    pub fn cut(&self, direction: Direction) {
        self.state.send_modify(|state| match direction {
            Direction::ToTarget => state.cut_to_target = true,
            Direction::FromTarget => state.cut_from_target = true,
        });
    }

    /// Stops forwarding on all open connections for good; new ones work.
    pub fn silence(&self) {
        self.state
            .send_modify(|state| state.silent_below = state.next_connection);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state
            .send_modify(|state| state.reset_below = state.next_connection);
    }

    /// Ends delays, cuts and refusals; silenced connections stay silent.
    pub fn heal(&self) {
        self.state.send_modify(|state| {
            *state = State {
                next_connection: state.next_connection,
                silent_below: state.silent_below,
                reset_below: state.reset_below,
                ..State::default()
            };
        });
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<watch::Sender<State>>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let mut number = 0;
        state.send_modify(|state| {
            number = state.next_connection;
            state.next_connection += 1;
        });
        if state.borrow().refuses {
            reset_on_close(&stream);
            continue;
        }
        connections.spawn(connect(stream, target, number, state.subscribe()));
        while connections.try_join_next().is_some() {}
    }
}

async fn connect(
    stream: TcpStream,
    target: SocketAddr,
    number: u64,
    mut state: watch::Receiver<State>,
) {
    // A cut towards the target also holds back new connections.
    let is_open = |state: &State| state.may_forward(number, Direction::ToTarget);
    if state.wait_for(is_open).await.is_err() {
        return;
    }
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return reset_on_close(&stream);
    };
    let _ = (stream.set_nodelay(true), target_stream.set_nodelay(true));
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = target_stream.into_split();
    let mut resets = state.clone();
    let both_directions = async {
        tokio::try_join!(
            forward(
                from_caller,
                to_target,
                number,
                Direction::ToTarget,
                state.clone()
            ),
            forward(
                from_target,
                to_caller,
                number,
                Direction::FromTarget,
                state.clone()
            ),
        )
    };
    tokio::select! {
        // A failure of one direction drops both, which resets the connections.
        _ = both_directions => {}
        _ = resets.wait_for(|state| number < state.reset_below) => {}
    }
}

/// Write half that resets its connection if it is dropped before the end of the stream was
/// forwarded.
struct ResetOnDrop {
    half: OwnedWriteHalf,
    is_finished: bool,
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if !self.is_finished {
            reset_on_close(self.half.as_ref());
        }
    }
}

async fn forward(
    mut from: OwnedReadHalf,
    to: OwnedWriteHalf,
    number: u64,
    direction: Direction,
    mut state: watch::Receiver<State>,
) -> std::io::Result<()> {
    let mut to = ResetOnDrop {
        half: to,
        is_finished: false,
    };
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        let may_forward = |state: &State| state.may_forward(number, direction);
        let Ok(delay_ms) = state
            .wait_for(may_forward)
            .await
            .map(|state| state.delay_ms)
        else {
            return Ok(());
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        if count == 0 {
            to.is_finished = true;
            return to.half.shutdown().await;
        }
        to.half.write_all(&buffer[..count]).await?;
    }
}

/// Makes the connection end with a reset when its socket is closed.
fn reset_on_close(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
