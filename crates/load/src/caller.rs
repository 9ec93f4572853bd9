//! Client side of the protocol: look-up of entry hosts, then requests with failover between them.

use bytes::Bytes;
use http_body_util::Full;
use skylark_wire::header;
use skylark_wire::http;

use super::error;
use super::options;

/// Placeholder in an idempotency key.
const HOME_PLACEHOLDER: &str = "HOME";

/// HTTP client with the entry hosts that a look-up returned.
#[derive(Clone, Debug)]
pub struct Caller {
    base_urls: Vec<String>,
    home: String,
    timeout_millis: u128,
    http: http::Client,
}

/// Fields of a look-up response that a caller uses.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct Lookup {
    hosts: Vec<Host>,
    home: Option<String>,
}

/// Entry host in a look-up response.
#[derive(Debug)]
#[derive(serde::Deserialize)]
struct Host {
    address: std::net::SocketAddr,
}

/// Request to send.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// API key of the account, sent as a bearer token.
    pub key: Option<&'a str>,
    /// Idempotency key, in which `HOME` is replaced by the home that the look-up returned.
    pub idempotency_key: Option<&'a str>,
    /// Number of the attempt under the idempotency key, from 1.
    pub attempt: u32,
    /// Text of the body.
    pub body: &'a str,
}

impl Caller {
    /// Returns a caller for the entry hosts of a destination.
    ///
    /// A base URL in the destination replaces the entry hosts; without a look-up the home is empty.
    ///
    /// # Errors
    ///
    /// Fails when the look-up fails or returns no entry host.
    pub async fn new(destination: &options::Destination) -> error::Result<Self> {
        let http = http::Client::new(destination.timeout);
        let timeout_millis = destination.timeout.as_millis();
        let given = destination.url.as_ref();
        let given = given.map(|url| vec![url.trim_end_matches('/').to_owned()]);
        if let (Some(base_urls), None) = (&given, &destination.lookup) {
            return Ok(Self {
                base_urls: base_urls.clone(),
                home: String::new(),
                timeout_millis,
                http,
            });
        }
        let lookup = destination
            .lookup
            .as_ref()
            .ok_or(error::Error::MissingUrl)?;
        let zone = destination
            .zone
            .as_ref()
            .map(|zone| format!("?zone={zone}"));
        let url = format!(
            "{}/entry-hosts{}",
            lookup.trim_end_matches('/'),
            zone.unwrap_or_default()
        );
        let response = http.send("GET", &url, Vec::new()).await?;
        let found: Lookup =
            serde_json::from_slice(&response.body).map_err(|error| error::Error::NoEntryHost {
                url: url.clone(),
                reason: error.to_string(),
            })?;
        let base_urls: Vec<String> = found
            .hosts
            .iter()
            .map(|host| format!("http://{}", host.address))
            .collect();
        if base_urls.is_empty() {
            return Err(error::Error::NoEntryHost {
                url,
                reason: "its list of hosts is empty".to_owned(),
            });
        }
        Ok(Self {
            base_urls: given.unwrap_or(base_urls),
            home: found.home.unwrap_or_default(),
            timeout_millis,
            http,
        })
    }

    /// Sends a request to the first entry host that returns a complete response.
    ///
    /// The attempt number increases with each further host, which tells that host that an
    /// earlier one may have run the request.
    ///
    /// # Errors
    ///
    /// Fails with the error of the last entry host when none returns a complete response.
    pub async fn send(&self, request: &Request<'_>) -> error::Result<http::Reply> {
        let mut last_error = error::Error::MissingUrl;
        for (attempt, base_url) in (request.attempt..).zip(&self.base_urls) {
            let request = Request {
                attempt,
                ..*request
            };
            match self.http.call(self.build(base_url, &request)?).await {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error.into(),
            }
        }
        Err(last_error)
    }

    /// Returns an idempotency key with `HOME` replaced by the home that the look-up returned.
    #[must_use]
    pub fn expand_key(&self, text: &str) -> String {
        text.replace(HOME_PLACEHOLDER, &self.home)
    }

    fn build(
        &self,
        base_url: &str,
        request: &Request<'_>,
    ) -> error::Result<hyper::Request<Full<Bytes>>> {
        let mut builder = hyper::Request::builder()
            .method(request.method)
            .uri(format!("{base_url}{}", request.path))
            .header(header::TIMEOUT, self.timeout_millis.to_string());
        if let Some(key) = request.key {
            builder = builder.header(hyper::header::AUTHORIZATION, format!("Bearer {key}"));
        }
        if let Some(text) = request.idempotency_key {
            builder = builder
                .header(header::IDEMPOTENCY_KEY, self.expand_key(text))
                .header(header::ATTEMPT, request.attempt);
        }
        Ok(builder.body(Full::from(request.body.to_owned()))?)
    }
}
