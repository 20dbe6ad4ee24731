//! HTTP/1.1 for the stand-ins: a server with one thread a connection, and single calls.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

#[derive(Debug)]
pub struct Call {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Call {
    pub fn param(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value)
    }
}

fn read_call(reader: &mut BufReader<TcpStream>) -> Option<Call> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        if header.trim().is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        if name.eq_ignore_ascii_case("content-length") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|it| it.split_once('='));
    Some(Call {
        method,
        path: path.to_owned(),
        query: pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Serves calls at `address` until the process ends.
pub fn serve<F>(address: SocketAddrV4, answer: F) -> std::io::Result<()>
where
    F: Fn(Call) -> (u16, String) + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address)?;
    serve_on(listener, Arc::new(answer));
    Ok(())
}

pub fn serve_on<F>(listener: TcpListener, answer: Arc<F>)
where
    F: Fn(Call) -> (u16, String) + Send + Sync + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Some(call) = read_call(&mut reader) {
                    let (status, body) = answer(call);
                    let head = format!(
                        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                         Content-Length: {}\r\n\r\n",
                        body.len()
                    );
                    let sent = writer.write_all(head.as_bytes());
                    if sent
                        .and_then(|()| writer.write_all(body.as_bytes()))
                        .is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
}

/// Makes one call and returns the status, or `None` if there is no answer within `timeout`.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
