use tarragon_codes::{Code, Failure, Outcome};

use crate::percent;

/// Decoded parameters of a query string, in their order.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueryParams(Vec<(String, String)>);

impl QueryParams {
    /// Splits a query string and decodes its percent-encoding.
    pub(crate) fn parse(query: &str) -> Outcome<Self> {
        query
            .split('&')
            .filter(|pair| !pair.is_empty())
            .map(|pair| {
                let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
                Ok((percent::decode(key)?, percent::decode(value)?))
            })
            .collect::<Outcome<Vec<_>>>()
            .map(Self)
    }

    /// Value of a parameter; an empty value counts as absent.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(name, value)| name == key && !value.is_empty())
            .map(|(_, value)| value.as_str())
    }

    /// Value of a parameter, parsed as a number.
    pub(crate) fn number(&self, key: &str) -> Outcome<Option<u64>> {
        self.get(key)
            .map(|text| {
                text.parse()
                    .map_err(|e| Failure::new(Code::Malformed, format!("{key}: {e}")))
            })
            .transpose()
    }
}
