//! Serde helper that leaves fields with their default value out of stored records.

/// Whether a field has its default value, for `skip_serializing_if`.
pub fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
