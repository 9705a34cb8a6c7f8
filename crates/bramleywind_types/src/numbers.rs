//! The numeric newtypes, all defined by one macro.

use crate::number_type::number_type;

number_type! {
    /// A number of model tokens, the unit of budgets and charges.
    ///
    /// ```
    /// use bramleywind_types::TokenCount;
    ///
    /// let balance: TokenCount = "120".parse().unwrap();
    /// assert_eq!(balance.saturating_sub(TokenCount(200)), TokenCount(0));
    /// ```
    TokenCount
}
number_type! {
    /// The revision of the operators' configuration. It only increases.
    ConfigRevision
}
number_type! {
    /// The position of an entry in the journal of one incarnation.
    JournalSequence
}
number_type! {
    /// A number that increases with each holder of a lease. Receivers reject orders with an older token.
    FencingToken
}

impl TokenCount {
    /// Returns the sum, or the largest count if the sum overflows.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// Returns the difference, or zero if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// Returns the sum, or `None` if it overflows.
    #[must_use]
    pub fn checked_add(self, other: Self) -> Option<Self> {
        self.0.checked_add(other.0).map(Self)
    }
}

impl std::iter::Sum for TokenCount {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self(0), Self::saturating_add)
    }
}

impl ConfigRevision {
    /// Returns the revision that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl JournalSequence {
    /// Returns the sequence number that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
