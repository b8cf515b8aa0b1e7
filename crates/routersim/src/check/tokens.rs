//! Tracks the fencing tokens under which upstreams have held each key.

use beamtray_catalog::UpstreamId;
use beamtray_sharding::KeyRange;
use std::fmt;

/// An upstream. `incarnation` identifies one process or, when incarnations are merged, all
/// processes with its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Index of the upstream.
    pub index: usize,
    /// Number of its incarnation.
    pub incarnation: u64,
    /// Its identity.
    pub id: UpstreamId,
}

/// A grant that an upstream accepts.
#[derive(Clone, Copy, Debug)]
pub struct GrantObservation {
    /// The granted keys.
    pub range: KeyRange,
    /// The fencing token.
    pub token: u64,
    /// Whether a token that is too low counts as a violation.
    pub is_counted: bool,
}

/// A token under which an upstream has held a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct TokenUse {
    token: u64,
    index: usize,
    incarnation: u64,
}

impl TokenUse {
    fn is_by(&self, holder: &Holder) -> bool {
        (self.index, self.incarnation) == (holder.index, holder.incarnation)
    }
}

/// The highest token of a key and the highest among its other holders.
#[derive(Clone, Copy, Debug, Default)]
struct KeyTokens {
    highest: TokenUse,
    of_others: u64,
}

impl KeyTokens {
    fn highest_of_others(&self, holder: &Holder) -> u64 {
        if self.highest.is_by(holder) {
            self.of_others
        } else {
            self.highest.token
        }
    }

    fn note(&mut self, holder: &Holder, token: u64) {
        if self.highest.is_by(holder) {
            self.highest.token = self.highest.token.max(token);
        } else if token > self.highest.token {
            self.of_others = self.highest.token;
            self.highest = TokenUse {
                token,
                index: holder.index,
                incarnation: holder.incarnation,
            };
        } else {
            self.of_others = self.of_others.max(token);
        }
    }
}

/// A token that is not higher than all tokens of other holders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TokenTooLow {
    token: u64,
    highest_other_token: u64,
}

impl fmt::Display for TokenTooLow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (token, had) = (self.token, self.highest_other_token);
        write!(formatter, "under {token}, another had them under {had}")
    }
}

/// Tokens of all keys.
#[derive(Clone, Debug)]
pub(super) struct Tokens {
    keys: Vec<KeyTokens>,
}

impl Default for Tokens {
    fn default() -> Self {
        Self {
            keys: vec![KeyTokens::default(); KeyRange::ALL.len() as usize],
        }
    }
}

impl Tokens {
    /// Records an accepted grant and returns an error value if its token is too low.
    pub fn take(
        &mut self,
        holder: &Holder,
        accepted_grant: GrantObservation,
    ) -> Option<TokenTooLow> {
        let range = accepted_grant.range;
        let keys = &mut self.keys[usize::from(range.first.0)..=usize::from(range.last.0)];
        let mut highest_other_token = 0;
        for key in keys {
            highest_other_token = highest_other_token.max(key.highest_of_others(holder));
            key.note(holder, accepted_grant.token);
        }
        let token = accepted_grant.token;
        (highest_other_token >= token && accepted_grant.is_counted).then_some(TokenTooLow {
            token,
            highest_other_token,
        })
    }
}
