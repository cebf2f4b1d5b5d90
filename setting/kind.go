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
	kindFile    = "file"    // the name of a file, which is not opened here
	kindLevel   = "level"   // a log level
)

var levels = []string{"Debug", "Info", "Warn", "Error"}

// checkString reports a string that is not of the kind of its field. Strings of optional fields may
// be empty.
func (reader *reader) checkString(key string, field reflect.StructField, text string) {
	if text == "" {
		if !isOptional(field) || field.Type.Kind() == reflect.Slice {
			reader.add(key, "must not be empty")
		}
		return
	}
	if reason := kindProblem(field.Tag.Get("kind"), text); reason != "" {
		reader.add(key, "%s, is %q", reason, text)
	}
}

// kindProblem returns what text must be, or an empty string if it is of the kind.
func kindProblem(kind, text string) string {
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
		if strings.Trim(parsed.Path, "/") != "" && parsed.RawQuery != "" {
			return "must be a URL without a query"
		}
	case kindLevel:
		if !slices.Contains(levels, text) {
			return "must be one of " + strings.Join(levels, ", ")
		}
	}
	return ""
}

// isAddress reports whether text is an IP address and a port from 0 to 65535. Names are refused,
// because the daemons resolve no names.
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
