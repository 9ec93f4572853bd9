//! What a caller does: look up, then send to the first entry host that answers.

use bytes::Bytes;
use http_body_util::Full;
use skylark_wire::header;
use skylark_wire::http;

use super::error;
use super::options;

const HOME: &str = "HOME";

/// A caller with the entry hosts that a look-up named.
#[derive(Clone, Debug)]
pub struct Caller {
    bases: Vec<String>,
    home: String,
    timeout_millis: u128,
    http: http::Client,
}

/// The part of a look-up answer that a caller uses.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct Answer {
    hosts: Vec<Host>,
    home: Option<String>,
}

/// One entry host of a look-up answer.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct Host {
    address: std::net::SocketAddr,
}

/// What is sent.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Key of the caller.
    pub key: Option<&'a str>,
    /// Idempotency key; `HOME` stands for the home that the look-up named.
    pub idempotency: Option<&'a str>,
    /// Number of the attempt.
    pub attempt: u32,
    /// Body.
    pub body: &'a str,
}

impl Caller {
    /// Finds the entry hosts of a destination.
    ///
    /// # Errors
    ///
    /// Fails when the look-up names no entry host.
    pub async fn new(destination: &options::Destination) -> error::Result<Self> {
        let http = http::Client::new(destination.timeout);
        let timeout_millis = destination.timeout.as_millis();
        let own = destination.url.as_ref();
        let own = own.map(|url| vec![url.trim_end_matches('/').to_owned()]);
        if let (Some(bases), None) = (&own, &destination.lookup) {
            return Ok(Self {
                bases: bases.clone(),
                home: String::new(),
                timeout_millis,
                http,
            });
        }
        let lookup = destination.lookup.as_ref().ok_or(error::Error::NoAddress)?;
        let zone = destination
            .zone
            .as_ref()
            .map(|zone| format!("?zone={zone}"));
        let url = format!(
            "{}/entry-hosts{}",
            lookup.trim_end_matches('/'),
            zone.unwrap_or_default()
        );
        let reply = http.send("GET", &url, Vec::new()).await?;
        let answer: Answer =
            serde_json::from_slice(&reply.body).map_err(|error| error::Error::NoHost {
                url: url.clone(),
                reason: error.to_string(),
            })?;
        let bases: Vec<String> = answer
            .hosts
            .iter()
            .map(|host| format!("http://{}", host.address))
            .collect();
        if bases.is_empty() {
            return Err(error::Error::NoHost {
                url,
                reason: "the answer is empty".to_owned(),
            });
        }
        Ok(Self {
            bases: own.unwrap_or(bases),
            home: answer.home.unwrap_or_default(),
            timeout_millis,
            http,
        })
    }

    /// Sends a request to the first entry host that can be reached.
    ///
    /// Each further host gets a further attempt, so that it knows that an earlier one may
    /// have run the request.
    ///
    /// # Errors
    ///
    /// Fails when no entry host gives a whole answer.
    pub async fn send(&self, request: &Request<'_>) -> error::Result<http::Reply> {
        let mut last = error::Error::NoAddress;
        for (attempt, base) in (request.attempt..).zip(&self.bases) {
            let request = Request {
                attempt,
                ..*request
            };
            match self.http.call(self.form(base, &request)?).await {
                Ok(reply) => return Ok(reply),
                Err(error) => last = error.into(),
            }
        }
        Err(last)
    }

    /// Returns an idempotency key with the home that the look-up named.
    #[must_use]
    pub fn expand(&self, text: &str) -> String {
        text.replace(HOME, &self.home)
    }

    fn form(
        &self,
        base: &str,
        request: &Request<'_>,
    ) -> error::Result<hyper::Request<Full<Bytes>>> {
        let mut builder = hyper::Request::builder()
            .method(request.method)
            .uri(format!("{base}{}", request.path))
            .header(header::TIMEOUT, self.timeout_millis.to_string());
        if let Some(key) = request.key {
            builder = builder.header(hyper::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(text) = request.idempotency {
            builder = builder
                .header(header::IDEMPOTENCY_KEY, self.expand(text))
                .header(header::ATTEMPT, request.attempt);
        }
        Ok(builder.body(Full::from(request.body.to_owned()))?)
    }
}
