use super::SystemKey;

/// The valid keys, by their number, and which of them is used for new things.
#[derive(Debug, Clone)]
pub struct KeyRing {
    /// At the index of a key's number. The entry at `current` is never `None`.
    keys: [Option<SystemKey>; KeyRing::MAX_KEYS],
    /// Always below [`KeyRing::MAX_KEYS`].
    current: u8,
}

/// What is wrong with a set of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRingError {
    /// The key's number is past the last slot.
    NumberTooLarge(u8),
    /// Two keys carry one number.
    Duplicate(u8),
    /// No key carries the current number.
    CurrentMissing(u8),
}

impl KeyRing {
    /// How many keys can be valid at once; a key's number is below it.
    pub const MAX_KEYS: usize = 4;

    /// Makes a ring of one key, number 0.
    #[must_use]
    pub fn single(key: SystemKey) -> Self {
        Self {
            keys: [Some(key), None, None, None],
            current: 0,
        }
    }

    /// Makes a ring of numbered keys.
    ///
    /// # Errors
    ///
    /// Fails where a number is too large or stands twice, or none is the current one.
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

    /// The number of the key for new things.
    #[must_use]
    pub const fn current_number(&self) -> u8 {
        self.current
    }

    /// The key for new things.
    ///
    /// # Panics
    ///
    /// Never, by the invariant of the ring.
    #[must_use]
    pub fn current(&self) -> &SystemKey {
        self.keys[usize::from(self.current)]
            .as_ref()
            .expect("the current key is present")
    }

    /// The key with `number`, if it is valid.
    #[must_use]
    pub fn get(&self, number: u8) -> Option<&SystemKey> {
        self.keys.get(usize::from(number))?.as_ref()
    }
}

impl std::fmt::Display for KeyRingError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NumberTooLarge(number) => write!(f, "key number {number} is above 3"),
            Self::Duplicate(number) => write!(f, "key number {number} stands twice"),
            Self::CurrentMissing(number) => write!(f, "no key has the current number {number}"),
        }
    }
}

impl std::error::Error for KeyRingError {}
