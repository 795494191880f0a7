//! Generational arenas: values addressed by small `Copy` keys.
//!
//! Each key contains a generation, so the key of a removed value never refers to a later value in
//! the same slot.

use std::marker::PhantomData;

/// Key type of a [`KeyArena`], implemented by [`define_key!`](crate::define_key).
pub trait ArenaKey: Copy {
    /// Creates the key of a slot's value in one generation.
    fn new(index: u32, generation: u32) -> Self;
    /// Returns the index of the slot.
    fn index(self) -> u32;
    /// Returns the generation of the slot that the key is valid for.
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

/// Arena whose slots are reused after a value is removed.
#[derive(Debug, Clone)]
pub struct KeyArena<K, V> {
    slots: Vec<ArenaSlot<V>>,
    /// Invariant: contains exactly the indices of the slots without a value.
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

    /// Returns the value of `key`, or `None` if it was removed.
    pub fn get(&self, key: K) -> Option<&V> {
        let slot = self.slots.get(key.index() as usize)?;
        slot.value.as_ref().filter(|_| slot.generation == key.generation())
    }

    /// Returns a mutable reference to the value of `key`, or `None` if it was removed.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        let slot = self.slots.get_mut(key.index() as usize)?;
        slot.value.as_mut().filter(|_| slot.generation == key.generation())
    }

    /// Returns the key of the value in slot `index`, or `None` if the slot is free.
    pub fn key_at(&self, index: u32) -> Option<K> {
        let slot = self.slots.get(index as usize)?;
        slot.value.as_ref().map(|_| K::new(index, slot.generation))
    }

    /// Removes and returns the value of `key`, or returns `None` if it was already removed.
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

    /// Iterates over all keys and values in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.slots.iter().enumerate().filter_map(|(index, slot)| {
            slot.value.as_ref().map(|value| (K::new(index as u32, slot.generation), value))
        })
    }

    /// Iterates over all keys and mutable values in slot order.
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
