//! HTTP/1.1 over TCP: a server with a thread for each connection, and single calls.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

pub struct Request {
    pub path: String,
    pub body: String,
}

pub fn serve(
    address: SocketAddrV4,
    answer: impl Fn(Request) -> (u16, String) + Send + Sync + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*answer);
            });
        }
    });
    Ok(())
}

fn serve_connection(
    stream: TcpStream,
    answer: &(impl Fn(Request) -> (u16, String) + ?Sized),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some((first, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let path = words.nth(1).unwrap_or_default().to_owned();
        let (status, body) = answer(Request { path, body });
        let head = format!(
            "HTTP/1.1 {status} s\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_message(reader: &mut impl BufRead) -> std::io::Result<Option<(String, String)>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            if name.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((
        first.trim().to_owned(),
        String::from_utf8_lossy(&body).into_owned(),
    )))
}

/// Makes a call on a connection of its own, and returns the status.
pub fn call(to: SocketAddrV4, method: &str, path: &str, body: &str) -> std::io::Result<u16> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_nodelay(true)?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes())?;
    let answer = read_message(&mut BufReader::new(stream))?;
    let status = answer.and_then(|(first, _)| first.split(' ').nth(1)?.parse().ok());
    status.ok_or_else(|| std::io::Error::other("no status"))
}
