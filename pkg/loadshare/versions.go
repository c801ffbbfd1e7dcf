package loadshare

import (
	"bytes"
	"fmt"
	"reflect"

	"github.com/vmihailenco/msgpack/v5"
)

// unmarshal decodes a message of this or of another version of the code. Messages are arrays,
// and new fields are added at the end: those that an older sender does not know keep their
// zero value, those of a newer one are left out.
func unmarshal(content []byte, message any) error {
	exact := msgpack.Unmarshal(content, message)
	if exact == nil {
		return nil
	}
	value := reflect.ValueOf(message).Elem()
	value.SetZero()
	decoder := msgpack.NewDecoder(bytes.NewReader(content))
	if err := decodeFields(decoder, value); err != nil {
		return fmt.Errorf("%w, nor is it of another version: %w", exact, err)
	}
	return nil
}

// decodeFields decodes an array of any length into the fields of a struct.
func decodeFields(decoder *msgpack.Decoder, message reflect.Value) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	decoded := 0
	for field, value := range message.Fields() {
		if !field.IsExported() {
			continue
		}
		if decoded == max(0, length) {
			return nil
		}
		decoded++
		if err := decodeField(decoder, value); err != nil {
			return fmt.Errorf("%s: %w", field.Name, err)
		}
	}
	for range length - decoded {
		if err := decoder.Skip(); err != nil {
			return err
		}
	}
	return nil
}

// decodeField decodes a field, which may be a list of messages of another version.
func decodeField(decoder *msgpack.Decoder, value reflect.Value) error {
	switch {
	case value.Kind() == reflect.Struct:
		return decodeFields(decoder, value)
	case value.Kind() != reflect.Slice || value.Type().Elem().Kind() != reflect.Struct:
		return decoder.DecodeValue(value)
	}
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range length {
		// One element at a time: the length that a broken message states may be of any size.
		element := reflect.New(value.Type().Elem()).Elem()
		if err := decodeFields(decoder, element); err != nil {
			return err
		}
		value.Set(reflect.Append(value, element))
	}
	return nil
}
