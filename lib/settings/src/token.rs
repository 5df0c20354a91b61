use std::{
    fmt::{self, Debug, Formatter},
    fs,
    os::unix::fs::PermissionsExt,
    path::Path,
    sync::Arc,
};

/// Token that authenticates operators. `Debug` does not print it.
#[derive(Clone, Eq, PartialEq)]
pub struct Token(Arc<str>);

impl Token {
    /// Loads a token from a file. The file must be accessible only to its owner.
    pub fn load(path: &Path) -> Result<Self, String> {
        let read_error = |e| format!("cannot read {}: {e}", path.display());
        let mode = fs::metadata(path).map_err(read_error)?.permissions().mode() & 0o777;
        if mode & 0o077 != 0 {
            return Err(format!(
                "{} has mode {mode:04o}; set it to 0600",
                path.display()
            ));
        }
        let text = fs::read_to_string(path).map_err(read_error)?;
        match text.trim() {
            "" => Err(format!("{} is empty", path.display())),
            token => Ok(Self(Arc::from(token))),
        }
    }

    /// Returns the secret itself, to compare it with the token of a request.
    pub fn reveal(&self) -> &str {
        &self.0
    }
}

impl Debug for Token {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
