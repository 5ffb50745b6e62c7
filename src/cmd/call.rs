use tide::http::Method;

/// A request to an entry host.
#[derive(Clone, Copy, Debug)]
pub struct Call<'a> {
    /// Method of the request.
    pub method: Method,
    /// Path with its query.
    pub path: &'a str,
    /// Body; empty for none.
    pub body: &'a [u8],
    /// Type of the body.
    pub content_type: &'a str,
    /// Key under which a resend has no second effect; empty for none.
    pub key: &'a str,
    /// The body names its own command id, so a resend has no second effect.
    pub is_idempotent: bool,
}

impl<'a> Call<'a> {
    /// A read.
    pub fn get(path: &'a str) -> Self {
        Self {
            method: Method::Get,
            path,
            body: &[],
            content_type: "",
            key: "",
            is_idempotent: true,
        }
    }

    /// A change with a JSON body.
    pub fn post(path: &'a str, body: &'a [u8]) -> Self {
        let content_type = "application/json";
        Self { method: Method::Post, path, body, content_type, key: "", is_idempotent: false }
    }

    /// The same call under an idempotency key.
    pub fn under_key(self, key: &'a str) -> Self {
        Self { key, is_idempotent: true, ..self }
    }
}
