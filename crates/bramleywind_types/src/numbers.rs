//! The numeric newtypes. They share one macro, so they stand in one file.

use crate::number_type::number_type;

number_type! {
    /// A number of model tokens, the unit of budgets and bills.
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
    /// The version of the operators' configuration. It only goes up.
    ConfigRevision
}
number_type! {
    /// The position of an entry in the journal of one incarnation.
    JournalSequence
}
number_type! {
    /// A number that grows with each holder of a lease; a receiver refuses orders with an older one.
    FencingToken
}

impl TokenCount {
    /// The sum, or the largest count if it does not fit.
    #[must_use]
    pub fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }

    /// The difference, or zero if `other` is larger.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The sum, or nothing if it does not fit.
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
    /// The revision that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl JournalSequence {
    /// The sequence number that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
