//! HTTP/1.1 server and client with JSON bodies.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use crate::json::Json;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Json,
}

pub enum Reply {
    Answer(u16, Json),
    /// Nothing is sent on this connection any more.
    Silence,
    /// The connection is closed.
    Close,
}

pub type Handler = Arc<dyn Fn(&Request) -> Reply + Send + Sync>;

/// Serves each connection on a thread of its own until the process ends.
pub fn serve(listener: TcpListener, handler: Handler) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = Arc::clone(&handler);
            std::thread::spawn(move || serve_connection(stream, &handler));
        }
    });
}

fn serve_connection(stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match handler(&request) {
            Reply::Answer(status, body) => {
                let body = body.to_string();
                let head = format!(
                    "HTTP/1.1 {status} Status\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                if writer.write_all((head + &body).as_bytes()).is_err() {
                    return;
                }
            }
            Reply::Close => return,
            Reply::Silence => {
                let mut rest = [0; 1024];
                while matches!(reader.read(&mut rest), Ok(count) if count > 0) {}
                return;
            }
        }
    }
}

fn read_headers(reader: &mut impl BufRead) -> Option<(String, BTreeMap<String, String>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_headers(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some(Request {
        method,
        path: path.to_owned(),
        query,
        headers,
        body: Json::parse(&body).unwrap_or(Json::Null),
    })
}

/// Sends a request on a connection of its own. `None` if there is no complete answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: Option<&Json>,
    timeout: Duration,
) -> Option<(u16, Json)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let body = body.map(Json::to_string).unwrap_or_default();
    let mut head = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream.write_all((head + "\r\n" + &body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_headers(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let length = headers.get("content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8(body).ok()?;
    Some((status, Json::parse(&body).unwrap_or(Json::Null)))
}
