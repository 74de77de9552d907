//! Rows of a list that its sender may have cut.

/// Rows of a list. Nothing may be concluded from the absence of a row in a part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListedRows<T> {
    /// All rows of the list.
    Whole(Vec<T>),
    /// Some of the rows; the list may have more.
    Part(Vec<T>),
}

impl<T> Default for ListedRows<T> {
    fn default() -> Self {
        Self::Whole(Vec::new())
    }
}

impl<T> ListedRows<T> {
    /// Rows of a list that its sender cuts to `limit` rows.
    pub fn with_limit(rows: Vec<T>, limit: usize) -> Self {
        if rows.len() < limit {
            Self::Whole(rows)
        } else {
            Self::Part(rows)
        }
    }

    /// The rows that are known.
    pub fn rows(&self) -> &[T] {
        match self {
            Self::Whole(rows) | Self::Part(rows) => rows,
        }
    }

    /// The rows that are known.
    pub fn into_rows(self) -> Vec<T> {
        match self {
            Self::Whole(rows) | Self::Part(rows) => rows,
        }
    }

    /// Whether a row that is absent is not in the list.
    pub fn is_whole(&self) -> bool {
        matches!(self, Self::Whole(_))
    }
}
