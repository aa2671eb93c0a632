package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

const (
	allowedName    = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit"
	allowedListen  = `IP:port with a port from 1 to 65535, such as "10.0.0.7:7080" or "[fd00::7]:7080"`
	allowedAddress = allowedListen + "; not the unspecified IP, since others connect to it"
)

// allowedValues describes the allowed values of each key.
var allowedValues = map[string]string{
	"vm":                allowedName,
	"zone":              allowedName,
	"region":            allowedName,
	"peer_listen":       allowedListen,
	"peer_address":      allowedAddress + " (default: peer_listen)",
	"caller_listen":     allowedListen + "; not the same as peer_listen",
	"caller_address":    allowedAddress + " (default: caller_listen)",
	"platform":          allowedAddress,
	"locate_ttl":        `a duration with its unit from "1s" to "5m"`,
	"shutdown_grace":    `a duration with its unit from "1s" to "10m", not less than locate_ttl`,
	"max_body_bytes":    "an integer from 1024 to 16777216 bytes",
	"timeline_capacity": "an integer from 16 to 65536 events",
	"log_verbosity":     "an integer from 0 to 9",
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	v.RegisterCustomTypeFunc(func(f reflect.Value) any { return f.Interface().(Duration).Duration }, Duration{})
	rules := map[string]validator.Func{
		"name":    func(f validator.FieldLevel) bool { return namePattern.MatchString(f.Field().String()) },
		"ip_port": func(f validator.FieldLevel) bool { _, err := parseAddress(f.Field().String()); return err == nil },
		"specified": func(f validator.FieldLevel) bool {
			address, err := parseAddress(f.Field().String())
			return err == nil && !address.Addr().IsUnspecified()
		},
	}
	for tag, rule := range rules {
		// callValidationEvenIfNull is true, since the check of an empty value must fail and not be skipped.
		if err := v.RegisterValidation(tag, rule, true); err != nil {
			panic(err)
		}
	}
	return v
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err == nil && address.Port() == 0 {
		err = errors.New("port 0")
	}
	return address, err
}

// Validate checks the settings. Its error names every invalid key with its value and what is allowed.
func (s Settings) Validate() error {
	err := validate.Struct(s)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return Class.Wrap(err)
	}
	parts := make([]string, len(fieldErrors))
	for i, field := range fieldErrors {
		parts[i] = fmt.Sprintf("%s = %s; allowed: %s", field.Field(), formatValue(field.Value()), allowedValues[field.Field()])
	}
	return Class.New("%s", strings.Join(parts, "\n"))
}

// formatValue returns a value as it is written in a settings file.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("%q", v)
	case time.Duration:
		return fmt.Sprintf("%q", v.String())
	case Duration:
		return fmt.Sprintf("%q", v.String())
	default:
		return fmt.Sprint(v)
	}
}
