use super::SystemKey;

/// The valid keys by number, one of which is current and used for encoding.
#[derive(Debug, Clone)]
pub struct KeyRing {
    /// Indexed by key number. The entry at `current` is never `None`.
    keys: [Option<SystemKey>; KeyRing::MAX_KEYS],
    /// Always below [`KeyRing::MAX_KEYS`].
    current: u8,
}

/// Error returned for an invalid set of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRingError {
    /// The key number is not below [`KeyRing::MAX_KEYS`].
    NumberTooLarge(u8),
    /// Two keys have the same number.
    Duplicate(u8),
    /// No key has the current number.
    CurrentMissing(u8),
}

impl KeyRing {
    /// Maximum number of keys; key numbers are below it.
    pub const MAX_KEYS: usize = 4;

    /// Creates a ring with a single key, number 0.
    #[must_use]
    pub fn single(key: SystemKey) -> Self {
        Self {
            keys: [Some(key), None, None, None],
            current: 0,
        }
    }

    /// Creates a ring from numbered keys.
    ///
    /// # Errors
    ///
    /// Returns an error if a number is too large or used twice, or if no key has the number
    /// `current`.
    pub fn new(
        numbered: impl IntoIterator<Item = (u8, SystemKey)>,
        current: u8,
    ) -> Result<Self, KeyRingError> {
        let mut keys = [None, None, None, None];
        for (number, key) in numbered {
            let slot = keys
                .get_mut(usize::from(number))
                .ok_or(KeyRingError::NumberTooLarge(number))?;
            if slot.replace(key).is_some() {
                return Err(KeyRingError::Duplicate(number));
            }
        }
        match keys.get(usize::from(current)) {
            Some(Some(_)) => Ok(Self { keys, current }),
            _ => Err(KeyRingError::CurrentMissing(current)),
        }
    }

    /// Returns the number of the current key.
    #[must_use]
    pub const fn current_number(&self) -> u8 {
        self.current
    }

    /// Returns the current key, which is used for encoding.
    ///
    /// # Panics
    ///
    /// Never: the current key is always present.
    #[must_use]
    pub fn current(&self) -> &SystemKey {
        self.keys[usize::from(self.current)]
            .as_ref()
            .expect("the current key is present")
    }

    /// Returns the key with `number`, if there is one.
    #[must_use]
    pub fn get(&self, number: u8) -> Option<&SystemKey> {
        self.keys.get(usize::from(number))?.as_ref()
    }
}

impl std::fmt::Display for KeyRingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NumberTooLarge(number) => write!(f, "key number {number} is above 3"),
            Self::Duplicate(number) => write!(f, "key number {number} is used twice"),
            Self::CurrentMissing(number) => write!(f, "no key has the current number {number}"),
        }
    }
}

impl std::error::Error for KeyRingError {}
