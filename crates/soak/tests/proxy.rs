//! The proxy simulates TCP retransmission across a cut.

use beamtray_soak::{LinkFault, Proxy};
use std::io::ErrorKind;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep, timeout};

const CUT: Duration = Duration::from_millis(500);
/// Data written as the cut begins is retransmitted after 0.2, 0.6 and 1.4 s.
const SENT_AGAIN: Duration = Duration::from_millis(1_400);
/// Time for data to pass over loopback.
const SOON: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(5);

struct Path {
    proxy: Proxy,
    listener: TcpListener,
}

impl Path {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let target = listener.local_addr().expect("an address");
        let proxy = Proxy::start(target).await.expect("a port");
        Self { proxy, listener }
    }

    /// Both ends of an established connection that has carried data.
    async fn connection(&self) -> (TcpStream, TcpStream) {
        let client = TcpStream::connect(self.proxy.address).await;
        let mut client = client.expect("it comes up");
        let (mut server, _) = self.listener.accept().await.expect("it comes up");
        client.write_all(b"used").await.expect("it is written");
        assert_eq!(read(&mut server, LONG).await, Some(b"used".to_vec()));
        (client, server)
    }

    async fn cut(&self) {
        self.proxy.set_fault(LinkFault::cut());
        // Connections are blocked once the accept queue is full.
        sleep(SOON).await;
    }

    fn heal(&self) {
        self.proxy.set_fault(LinkFault::default());
    }
}

/// Data received within the given time; empty at the end of the stream.
async fn read(stream: &mut TcpStream, within: Duration) -> Option<Vec<u8>> {
    let mut buffer = vec![0; 1_024];
    let read = timeout(within, stream.read(&mut buffer)).await.ok()?;
    buffer.truncate(read.unwrap_or_default());
    Some(buffer)
}

fn run_plan(story: impl Future<Output = ()>) {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, story);
}

#[test]
fn bytes_pass_a_cut_when_they_are_sent_again() {
    run_plan(async {
        let path = Path::start().await;
        let (mut client, mut server) = path.connection().await;
        path.cut().await;
        let written = Instant::now();
        client.write_all(b"order").await.expect("it is written");
        sleep(CUT).await;
        path.heal();
        // The retransmission after 0.2 s falls into the cut; that after 0.6 s is delivered.
        assert_eq!(read(&mut server, LONG).await, Some(b"order".to_vec()));
        let passed = written.elapsed();
        let sent_again = passed > CUT && passed < SENT_AGAIN + SOON;
        assert!(sent_again, "after {passed:?}");
        assert_eq!(path.proxy.take_delayed_deliveries().len(), 1);
    });
}

#[test]
fn an_ordinary_close_does_not_end_what_was_written() {
    run_plan(async {
        let path = Path::start().await;
        let (mut client, mut server) = path.connection().await;
        path.cut().await;
        client.write_all(b"order").await.expect("it is written");
        drop(client);
        assert_eq!(read(&mut server, CUT).await, None, "nothing passes a cut");
        path.heal();
        assert_eq!(read(&mut server, LONG).await, Some(b"order".to_vec()));
        assert_eq!(read(&mut server, LONG).await, Some(Vec::new()), "its end");
    });
}

#[test]
fn a_reset_drops_what_was_written() {
    run_plan(async {
        let path = Path::start().await;
        let (mut client, mut server) = path.connection().await;
        path.cut().await;
        client.write_all(b"order").await.expect("it is written");
        sleep(SOON).await;
        client.set_zero_linger().expect("it can be reset");
        drop(client);
        assert_eq!(read(&mut server, CUT).await, None, "nothing passes a cut");
        path.heal();
        assert_eq!(read(&mut server, LONG).await, Some(Vec::new()), "its end");
        assert!(path.proxy.take_delayed_deliveries().is_empty());
    });
}

#[test]
fn no_connection_comes_up_in_a_cut_nor_is_one_refused() {
    run_plan(async {
        let path = Path::start().await;
        path.cut().await;
        for _ in 0..3 {
            let connected = timeout(SOON, TcpStream::connect(path.proxy.address)).await;
            assert!(connected.is_err(), "{connected:?}");
        }
        path.heal();
        sleep(SOON).await;
        path.connection().await;
    });
}

/// Neither queued nor established connections deliver data after the proxy is dropped.
#[test]
fn nothing_passes_after_the_end_of_a_proxy() {
    run_plan(async {
        let path = Path::start().await;
        let (client, mut server) = path.connection().await;
        let Path { proxy, listener } = path;
        // The proxy's tasks, which would read both, have not run since.
        let mut waiting = std::net::TcpStream::connect(proxy.address).expect("it comes up");
        std::io::Write::write_all(&mut waiting, b"order").expect("it is written");
        client.try_write(b"order").expect("it is written");
        drop(proxy);
        let end = read(&mut server, LONG).await;
        assert_eq!(end, Some(Vec::new()), "its end");
        let accepted = timeout(SOON, listener.accept()).await;
        assert!(accepted.is_err(), "{accepted:?}");
    });
}

#[test]
fn a_target_that_is_gone_resets() {
    run_plan(async {
        let Path { proxy, listener } = Path::start().await;
        drop(listener);
        let client = TcpStream::connect(proxy.address).await;
        let mut client = client.expect("the proxy is there");
        let mut buffer = [0; 8];
        let read = timeout(LONG, client.read(&mut buffer)).await;
        let error = read.expect("at once").expect_err("it is reset");
        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    });
}
