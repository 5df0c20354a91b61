use std::{
    fmt::{self, Debug, Formatter},
    fs,
    os::unix::fs::PermissionsExt,
    path::Path,
    sync::Arc,
};

/// The operators' token, which is never printed.
#[derive(Clone, Eq, PartialEq)]
pub struct Token(Arc<str>);

impl Token {
    /// Reads a token file that only its owner can read.
    pub fn load(path: &Path) -> Result<Self, String> {
        let cause = |e| format!("cannot read {}: {e}", path.display());
        let mode = fs::metadata(path).map_err(cause)?.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            return Err(format!(
                "{} has mode {mode:04o}; set it to 0600",
                path.display()
            ));
        }
        let text = fs::read_to_string(path).map_err(cause)?;
        match text.trim() {
            "" => Err(format!("{} is empty", path.display())),
            token => Ok(Self(Arc::from(token))),
        }
    }

    /// The text of the token, for comparison with that of a request.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl Debug for Token {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
