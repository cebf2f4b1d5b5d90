package httpserver

import (
	"errors"
	"fmt"
)

// Limits of the JSON text of a body. The decoded form of a short text can be a hundred times as large: `{}` may become an object
// with all its fields.
const (
	// maxContainers limits the objects and lists. A job of 64 steps has 130.
	maxContainers = 2048
	// maxValues limits the values of all objects and lists. A job of 64 steps, each of which follows all earlier ones, has 3,232.
	maxValues = 16_384
	// maxDepth limits objects and lists inside others.
	maxDepth = 64
)

// ErrTooComplex reports a JSON text with too many values.
type ErrTooComplex struct {
	Reason string
}

// Error names the limit that is exceeded.
func (err ErrTooComplex) Error() string { return "the body " + err.Reason }

// IsErrTooComplex reports whether err is or wraps an ErrTooComplex.
func IsErrTooComplex(err error) bool { return errors.As(err, new(ErrTooComplex)) }

// checkJSON returns an ErrTooComplex if the text exceeds a limit. It does not check the syntax.
func checkJSON(text []byte) error {
	containers, values, depth := 0, 1, 0
	for position := 0; position < len(text); position++ {
		switch text[position] {
		case '"':
			for position++; position < len(text) && text[position] != '"'; position++ {
				if text[position] == '\\' {
					position++
				}
			}
		case '{', '[':
			containers++
			values++
			depth++
		case '}', ']':
			depth--
		case ',':
			values++
		}
		switch {
		case containers > maxContainers:
			return ErrTooComplex{Reason: fmt.Sprintf("holds more than %d objects and lists", maxContainers)}
		case values > maxValues:
			return ErrTooComplex{Reason: fmt.Sprintf("holds more than %d values", maxValues)}
		case depth > maxDepth:
			return ErrTooComplex{Reason: fmt.Sprintf("is nested more than %d times", maxDepth)}
		}
	}
	return nil
}
