//! Arenas addressed by small `Copy` keys.
//!
//! Keys carry a generation, so a key of a removed value never reaches the value that took its
//! slot.

use std::marker::PhantomData;

/// A key type that [`define_key!`](crate::define_key) generates.
pub trait ArenaKey: Copy {
    /// Builds the key of a slot.
    fn new(index: u32, generation: u32) -> Self;
    /// The slot's index.
    fn index(self) -> u32;
    /// The slot's generation.
    fn generation(self) -> u32;
}

/// Defines a `Copy` key type for a [`KeyArena`].
#[macro_export]
macro_rules! define_key {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        pub struct $name {
            index: u32,
            generation: u32,
        }

        impl $crate::arena::ArenaKey for $name {
            fn new(index: u32, generation: u32) -> Self {
                $name { index, generation }
            }

            fn index(self) -> u32 {
                self.index
            }

            fn generation(self) -> u32 {
                self.generation
            }
        }
    };
}

/// Values in slots that are reused after removal.
#[derive(Debug, Clone)]
pub struct KeyArena<K, V> {
    slots: Vec<ArenaSlot<V>>,
    /// Invariant: holds exactly the indices of the slots without a value.
    free_slots: Vec<u32>,
    key: PhantomData<K>,
}

#[derive(Debug, Clone)]
struct ArenaSlot<V> {
    generation: u32,
    value: Option<V>,
}

impl<K, V> Default for KeyArena<K, V> {
    fn default() -> Self {
        KeyArena { slots: Vec::new(), free_slots: Vec::new(), key: PhantomData }
    }
}

impl<K: ArenaKey, V> KeyArena<K, V> {
    /// Creates an empty arena.
    pub fn new() -> Self {
        KeyArena::default()
    }

    /// Stores `value` and returns its key.
    pub fn insert(&mut self, value: V) -> K {
        if let Some(index) = self.free_slots.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return K::new(index, slot.generation);
        }
        let index = self.slots.len() as u32;
        self.slots.push(ArenaSlot { generation: 0, value: Some(value) });
        K::new(index, 0)
    }

    /// The value of `key`, if it has not been removed.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = self.slots.get(key.index() as usize)?;
        slot.value.as_ref().filter(|_| slot.generation == key.generation())
    }

    /// The value of `key` for change, if it has not been removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        slot.value.as_mut().filter(|_| slot.generation == key.generation())
    }

    /// The key of the value in a slot, if the slot has one.
    pub fn key_at(&self, index: u32) -> Option<K> {
        let slot = self.slots.get(index as usize)?;
        slot.value.as_ref().map(|_| K::new(index, slot.generation))
    }

    /// Removes and returns the value of `key`.
    pub fn remove(&mut self, key: K) -> Option<V> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        if slot.generation != key.generation() {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free_slots.push(key.index());
        Some(value)
    }

    /// Every key with its value, by slot.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            slot.value.as_ref().map(|value| (K::new(index as u32, slot.generation), value))
        })
    }

    /// Every key with its value for change, by slot.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.slots.iter_mut().enumerate().filter_map(|(index, slot)| {
            let generation = slot.generation;
            slot.value.as_mut().map(|value| (K::new(index as u32, generation), value))
        })
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Whether the arena holds no value.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
