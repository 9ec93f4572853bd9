//! Caller of one host in a soak run.

use std::time;

use super::common;
use super::deployment;
use super::history;

/// Time that a caller waits for a response; longer than the time limit of any route.
const CALLER_WAIT: time::Duration = time::Duration::from_secs(6);

/// A caller that keeps its connection to one host.
#[derive(Debug)]
pub(crate) struct Caller {
    host: usize,
    sender: Option<Sender>,
}

type Sender = hyper::client::conn::http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

impl Caller {
    pub(crate) const fn new(host: usize) -> Self {
        Self { host, sender: None }
    }

    /// Sends a request, on the previous connection if that is still open.
    ///
    /// Returns `None` if no connection could be opened.
    pub(crate) async fn call(
        &mut self,
        deployment: &deployment::Deployment,
        spec: &RequestSpec<'_>,
    ) -> Option<history::Outcome> {
        let mut sender = match self.sender.take() {
            Some(sender) if sender.is_ready() => sender,
            _ => connect(deployment, self.host).await?,
        };
        let id = deployment.next_id();
        let sent = history::Sent {
            path: spec.path.to_owned(),
            is_safe: spec.is_safe,
            is_probe: spec.is_probe,
            account: spec.account,
            host: self.host,
            at: time::Instant::now(),
        };
        deployment.history.send(&id, &sent);
        let method = if spec.is_safe { "GET" } else { "POST" };
        let mut request = common::request(method, spec.path, &id, spec.body.to_vec());
        let key = format!("Bearer {}", spec.key);
        let headers = request.headers_mut();
        headers.insert("authorization", key.parse().expect("header"));
        let answer = async {
            let reply = common::read(sender.send_request(request).await?).await?;
            Ok::<_, hyper::Error>((reply, sender))
        };
        let outcome = match tokio::time::timeout(CALLER_WAIT, answer).await {
            Ok(Ok((reply, sender))) => {
                self.sender = Some(sender);
                history::Outcome::Answered(reply)
            }
            Ok(Err(_broken)) => history::Outcome::Closed,
            Err(_elapsed) => history::Outcome::TimedOut,
        };
        deployment
            .history
            .end(&id, &sent, &outcome, time::Instant::now());
        Some(outcome)
    }
}

/// A request that a caller sends.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestSpec<'a> {
    pub(crate) path: &'a str,
    pub(crate) is_safe: bool,
    /// Whether the request may be answered with 401 or 404.
    pub(crate) is_probe: bool,
    pub(crate) account: &'static str,
    pub(crate) key: &'a str,
    pub(crate) body: &'a [u8],
}

async fn connect(deployment: &deployment::Deployment, host: usize) -> Option<Sender> {
    let address = deployment.caller_proxies[host].address;
    let stream = tokio::net::TcpStream::connect(address).await.ok()?;
    let io = hyper_util::rt::TokioIo::new(stream);
    let (sender, connection) = hyper::client::conn::http1::handshake(io).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}
