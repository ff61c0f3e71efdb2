package sqsettings

import (
	"bytes"
	"os"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
)

// ReadFile decodes a TOML file into v, a pointer to a struct. A field in the file that
// v does not have is an error.
func ReadFile(file string, v any) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v); err != nil {
		return errors.Wrapf(err, "decode %s", file)
	}
	return nil
}
