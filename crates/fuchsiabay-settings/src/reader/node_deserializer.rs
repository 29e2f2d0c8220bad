//! Deserializes a syntax tree and reports the path of a field in errors.

use jsonc_parser::ast::{Array, Object, ObjectProp, Value};
use serde::{
    Deserializer,
    de::{
        DeserializeSeed, EnumAccess, Error, IntoDeserializer, MapAccess, SeqAccess, Unexpected,
        VariantAccess, Visitor,
        value::{MapAccessDeserializer, StrDeserializer},
    },
    forward_to_deserialize_any,
};

use super::error::FieldError;

/// A deserializer of a node of the syntax tree.
#[derive(Clone, Copy)]
pub(super) struct NodeDeserializer<'a>(&'a Value<'a>);

impl<'a> NodeDeserializer<'a> {
    /// Creates a deserializer of `value`.
    pub(super) fn new(value: &'a Value<'a>) -> Self {
        Self(value)
    }
}

impl<'de> Deserializer<'de> for NodeDeserializer<'de> {
    type Error = FieldError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        match self.0 {
            Value::StringLit(text) => visitor.visit_str(&text.value),
            Value::NumberLit(number) => visit_number(number.value, visitor),
            Value::BooleanLit(boolean) => visitor.visit_bool(boolean.value),
            Value::NullKeyword(_) => visitor.visit_unit(),
            Value::Object(object) => visitor.visit_map(ObjectAccess::new(object)),
            Value::Array(array) => visitor.visit_seq(ArrayAccess::new(array)),
        }
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        if matches!(self.0, Value::NullKeyword(_)) {
            return visitor.visit_none();
        }
        visitor.visit_some(self)
    }

    fn deserialize_newtype_struct<V: Visitor<'de>>(
        self,
        _: &'static str,
        visitor: V,
    ) -> Result<V::Value, FieldError> {
        visitor.visit_newtype_struct(self)
    }

    fn deserialize_enum<V: Visitor<'de>>(
        self,
        name: &'static str,
        variants: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, FieldError> {
        match self.0 {
            Value::StringLit(text) => visitor.visit_enum(VariantName(&text.value)),
            Value::Object(object) => MapAccessDeserializer::new(ObjectAccess::new(object))
                .deserialize_enum(name, variants, visitor),
            _ => Err(FieldError::unknown_variant("", variants)),
        }
    }

    forward_to_deserialize_any! {
        bool i8 i16 i32 i64 i128 u8 u16 u32 u64 u128 f32 f64 char str string bytes byte_buf unit unit_struct
        seq tuple tuple_struct map struct identifier ignored_any
    }
}

fn visit_number<'de, V: Visitor<'de>>(number: &str, visitor: V) -> Result<V::Value, FieldError> {
    if let Ok(value) = number.parse::<u64>() {
        return visitor.visit_u64(value);
    }
    if let Ok(value) = number.parse::<i64>() {
        return visitor.visit_i64(value);
    }
    match number.parse::<f64>() {
        Ok(value) => visitor.visit_f64(value),
        Err(_) => Err(FieldError::invalid_value(Unexpected::Other("a malformed number"), &"a number")),
    }
}

/// Gives access to an enum variant that is written as a string.
struct VariantName<'a>(&'a str);

impl<'de> EnumAccess<'de> for VariantName<'de> {
    type Error = FieldError;
    type Variant = Self;

    fn variant_seed<V: DeserializeSeed<'de>>(self, seed: V) -> Result<(V::Value, Self), FieldError> {
        let variant: StrDeserializer<'_, FieldError> = self.0.into_deserializer();
        Ok((seed.deserialize(variant)?, self))
    }
}

/// A string can only name a variant without content.
impl<'de> VariantAccess<'de> for VariantName<'de> {
    type Error = FieldError;

    fn unit_variant(self) -> Result<(), FieldError> {
        Ok(())
    }

    fn newtype_variant_seed<T: DeserializeSeed<'de>>(self, _: T) -> Result<T::Value, FieldError> {
        Err(FieldError::custom("allowed: an object"))
    }

    fn tuple_variant<V: Visitor<'de>>(self, _: usize, _: V) -> Result<V::Value, FieldError> {
        Err(FieldError::custom("allowed: an object"))
    }

    fn struct_variant<V: Visitor<'de>>(
        self,
        _: &'static [&'static str],
        _: V,
    ) -> Result<V::Value, FieldError> {
        Err(FieldError::custom("allowed: an object"))
    }
}

/// Gives access to the fields of an object.
struct ObjectAccess<'a> {
    rest: std::slice::Iter<'a, ObjectProp<'a>>,
    current: Option<&'a ObjectProp<'a>>,
}

impl<'a> ObjectAccess<'a> {
    fn new(object: &'a Object<'a>) -> Self {
        Self { rest: object.properties.iter(), current: None }
    }
}

impl<'de> MapAccess<'de> for ObjectAccess<'de> {
    type Error = FieldError;

    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, FieldError> {
        self.current = self.rest.next();
        let Some(prop) = self.current else {
            return Ok(None);
        };
        let name: StrDeserializer<'_, FieldError> = prop.name.as_str().into_deserializer();
        seed.deserialize(name).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, FieldError> {
        let prop =
            self.current.take().ok_or_else(|| FieldError::custom("a value was requested before its key"))?;
        seed.deserialize(NodeDeserializer(&prop.value)).map_err(|error| error.within(prop.name.as_str()))
    }
}

/// Gives access to the elements of an array.
struct ArrayAccess<'a> {
    rest: std::iter::Enumerate<std::slice::Iter<'a, Value<'a>>>,
}

impl<'a> ArrayAccess<'a> {
    fn new(array: &'a Array<'a>) -> Self {
        Self { rest: array.elements.iter().enumerate() }
    }
}

impl<'de> SeqAccess<'de> for ArrayAccess<'de> {
    type Error = FieldError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, FieldError> {
        let Some((i, element)) = self.rest.next() else {
            return Ok(None);
        };
        seed.deserialize(NodeDeserializer(element)).map(Some).map_err(|error| error.within(&format!("[{i}]")))
    }
}
