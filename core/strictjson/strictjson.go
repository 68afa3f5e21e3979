package strictjson

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/zeebo/errs"
)

// Error is the class of decoding errors.
var Error = errs.Class("json")

// Unmarshal decodes data into v. Unknown fields and data after the value are errors.
func Unmarshal(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return Error.New("at byte %d: %v", decoder.InputOffset(), err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Error.New("at byte %d: unexpected data after the value", decoder.InputOffset())
	}
	return nil
}

// Validator is a value that can validate itself.
type Validator interface {
	Validate() error
}

// Decode decodes and validates a value. Decoding errors are wrapped in class.
func Decode[T Validator](data []byte, class *errs.Class) (T, error) {
	var value, zero T
	if err := Unmarshal(data, &value); err != nil {
		return zero, class.Wrap(err)
	}
	if err := value.Validate(); err != nil {
		return zero, err
	}
	return value, nil
}
