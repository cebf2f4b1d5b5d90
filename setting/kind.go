package setting

import (
	"net"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"hyssopjunction/ident"
)

// Kinds of strings, as given in the `kind` tag.
const (
	kindName    = "name"    // an identifier, see ident.Valid
	kindAddress = "address" // IP:port
	kindURL     = "url"     // http or https with an IP address and a port
	kindFile    = "file"    // the name of a file, whose existence is not checked
	kindLevel   = "level"   // a log level
)

var logLevels = []string{"Debug", "Info", "Warn", "Error"}

// checkString reports a string that is not of its field's kind. The string of an optional field may be
// empty, but not an element of an array.
func (reader *reader) checkString(key string, field reflect.StructField, text string) {
	if text == "" {
		if !isOptional(field) || field.Type.Kind() == reflect.Slice {
			reader.addProblem(key, "must not be empty")
		}
		return
	}
	if reason := kindRequirement(field.Tag.Get("kind"), text); reason != "" {
		reader.addProblem(key, "%s, is %q", reason, text)
	}
}

// kindRequirement returns the requirement of the kind that text does not meet, or an empty string.
func kindRequirement(kind, text string) string {
	switch kind {
	case kindName:
		if !ident.Valid(text) {
			return "must be 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit"
		}
	case kindAddress:
		if !isAddress(text) {
			return "must be an IP address and a port, as in 127.0.0.1:7000"
		}
	case kindURL:
		parsed, err := url.Parse(text)
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || !isAddress(parsed.Host) {
			return "must be a URL with an IP address and a port, as in http://127.0.0.1:7000"
		}
		if parsed.RawQuery != "" || parsed.ForceQuery {
			return "must be a URL without a query"
		}
	case kindLevel:
		if !slices.Contains(logLevels, text) {
			return "must be one of " + strings.Join(logLevels, ", ")
		}
	}
	return ""
}

// isAddress reports whether text is an IP address and a port from 0 to 65535. Host names are refused,
// because the daemons do not resolve them.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number <= 65535
}
