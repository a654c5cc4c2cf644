package document

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"lavenderdeal/internal/units"
)

// maxTimeSpan is the longest time that a document can state.
const maxTimeSpan = 24 * time.Hour

// registerFormats makes the compiler check the formats that the schemas name.
func registerFormats(compiler *jsonschema.Compiler) {
	compiler.RegisterFormat(&jsonschema.Format{Name: "addressPort", Validate: checkAddressPort})
	compiler.RegisterFormat(&jsonschema.Format{Name: "timeSpan", Validate: checkTimeSpan})
	compiler.AssertFormat()
}

func checkAddressPort(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Newf("%q: want an IP address and a port, such as 127.0.0.1:7000", text)
	}
	return nil
}

func checkTimeSpan(value any) error {
	text, ok := value.(string)
	if !ok {
		return nil
	}
	var d units.Duration
	if err := d.UnmarshalText([]byte(text)); err != nil {
		return err
	}
	if d < 0 || d.Std() > maxTimeSpan {
		return errors.Newf("duration %q: want 0s to %s", text, maxTimeSpan)
	}
	return nil
}
