//! A TCP proxy that can hold back what it receives, as a partition does.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct HoldingProxy {
    holding: Arc<AtomicBool>,
    release: Arc<AtomicBool>,
}

impl HoldingProxy {
    /// Forwards connections at `listen` to `target`.
    pub fn start(listen: SocketAddrV4, target: SocketAddrV4) -> std::io::Result<HoldingProxy> {
        let listener = TcpListener::bind(listen)?;
        let (holding, release) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicBool::new(false)),
        );
        let (holds, released) = (holding.clone(), release.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (held, released) = (holds.load(Ordering::SeqCst), released.clone());
                thread::spawn(move || forward(stream, target, held, &released));
            }
        });
        Ok(HoldingProxy { holding, release })
    }

    /// Holds back all connections that are opened from now on.
    pub fn hold(&self) {
        self.holding.store(true, Ordering::SeqCst);
    }

    /// Forwards connections that are opened from now on at once. Those that are held stay so.
    pub fn pass(&self) {
        self.holding.store(false, Ordering::SeqCst);
    }

    /// Delivers what was held back.
    pub fn release(&self) {
        self.release.store(true, Ordering::SeqCst);
    }
}

/// Forwards one call, which its sender has written in full, and the answer to it.
fn forward(mut stream: TcpStream, target: SocketAddrV4, held: bool, released: &AtomicBool) {
    let mut call = Vec::new();
    let mut buf = [0; 4_096];
    let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
    while let Ok(count) = stream.read(&mut buf) {
        if count == 0 {
            break;
        }
        call.extend_from_slice(&buf[..count]);
    }
    while held && !released.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(2));
    }
    let Ok(mut server) = TcpStream::connect(target) else {
        return;
    };
    let _ = server.set_read_timeout(Some(Duration::from_secs(2)));
    if server.write_all(&call).is_err() {
        return;
    }
    while let Ok(count) = server.read(&mut buf) {
        if count == 0 || stream.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
