package setting

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2"

	"hyssopjunction/set"
)

// reader reads one file and collects its problems.
type reader struct {
	file     string
	problems []Problem
	// invalidKeys are the keys with a problem. Contradictions with them are not reported.
	invalidKeys set.Set[string]
}

// addProblem records a problem of a key.
func (reader *reader) addProblem(key, format string, values ...any) {
	if reader.invalidKeys == nil {
		reader.invalidKeys = set.New[string]()
	}
	reader.invalidKeys.Add(key)
	reader.problems = append(reader.problems, Problem{File: reader.file, Key: key, Reason: fmt.Sprintf(format, values...)})
}

// require reports a contradiction between the named keys if it is not satisfied. Nothing is reported if
// one of the keys already has a problem.
func (reader *reader) require(satisfied bool, keys []string, format string, values ...any) {
	if satisfied || slices.ContainsFunc(keys, reader.invalidKeys.Has) {
		return
	}
	reader.addProblem(keys[0], format, values...)
}

// read fills root from text. It returns false if the text is not TOML, in which case nothing else
// can be checked.
//
// The strict decoder of go-toml stops at the first wrong type. To report all problems at once, the
// keys are checked one by one against the fields of root. A file without problems is decoded with the
// strict decoder too, which may find what these checks missed.
func (reader *reader) read(text []byte, root any) bool {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		reader.addSyntaxProblem(err)
		return false
	}
	reader.fillStruct("", values, reflect.ValueOf(root).Elem())
	if len(reader.problems) > 0 {
		return true
	}
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	strict := reflect.New(reflect.TypeOf(root).Elem())
	if err := decoder.Decode(strict.Interface()); err != nil {
		reader.addProblem("", "%v", err)
	}
	return true
}

// addSyntaxProblem reports text that is not TOML, with the position if it is known.
func (reader *reader) addSyntaxProblem(err error) {
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, column := syntax.Position()
		reader.addProblem("", "line %d column %d: %v", row, column, err)
		return
	}
	reader.addProblem("", "%v", err)
}

// fillStruct sets the fields of target from a TOML table and reports unknown keys.
func (reader *reader) fillStruct(path string, values map[string]any, target reflect.Value) {
	fieldNames := set.New[string]()
	for index := range target.NumField() {
		field := target.Type().Field(index)
		fieldNames.Add(field.Name)
		value, exists := values[field.Name]
		reader.fillField(joinKey(path, field.Name), field, value, exists, target.Field(index))
	}
	for _, key := range set.SortedKeys(values) {
		if !fieldNames.Has(key) {
			reader.addProblem(joinKey(path, key), "unknown key")
		}
	}
}

func joinKey(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// fillField sets target to the value of a key, or to the default if exists is false.
func (reader *reader) fillField(key string, field reflect.StructField, value any, exists bool, target reflect.Value) {
	switch {
	case field.Type.Kind() == reflect.Struct:
		reader.fillSection(key, value, exists, target)
	case field.Type.Kind() == reflect.Slice:
		reader.fillSlice(key, field, value, exists, target)
	case exists:
		reader.fillScalar(key, field, value, target)
	default:
		reader.fillDefault(key, field, target)
	}
}

func (reader *reader) fillSection(key string, value any, exists bool, target reflect.Value) {
	values, ok := value.(map[string]any)
	if exists && !ok {
		reader.addProblem(key, "must be a table, is %s", describeValue(value))
		return
	}
	reader.fillStruct(key, values, target)
}

func (reader *reader) fillSlice(key string, field reflect.StructField, value any, exists bool, target reflect.Value) {
	values, ok := value.([]any)
	if exists && !ok {
		reader.addProblem(key, "must be an array, is %s", describeValue(value))
		return
	}
	if !exists && !isOptional(field) {
		reader.addProblem(key, "is required")
		return
	}
	slice := reflect.MakeSlice(field.Type, len(values), len(values))
	for index, element := range values {
		elementKey := fmt.Sprintf("%s[%d]", key, index)
		if field.Type.Elem().Kind() == reflect.Struct {
			reader.fillSection(elementKey, element, true, slice.Index(index))
			continue
		}
		reader.fillScalar(elementKey, field, element, slice.Index(index))
	}
	target.Set(slice)
}

func (reader *reader) fillDefault(key string, field reflect.StructField, target reflect.Value) {
	text, ok := field.Tag.Lookup("default")
	if !ok {
		if !isOptional(field) {
			reader.addProblem(key, "is required")
		}
		return
	}
	// A default cannot be malformed: TestTagsAreValid parses all of them.
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
	case reflect.Bool:
		target.SetBool(text == "true")
	case reflect.Float64:
		number, _ := strconv.ParseFloat(text, 64)
		target.SetFloat(number)
	default:
		number, _ := strconv.ParseInt(text, 10, 64)
		target.SetInt(number)
	}
}

func (reader *reader) fillScalar(key string, field reflect.StructField, value any, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		text, ok := value.(string)
		if !ok {
			reader.addProblem(key, "must be a string, is %s", describeValue(value))
			return
		}
		target.SetString(text)
		reader.checkString(key, field, text)
	case reflect.Bool:
		boolean, ok := value.(bool)
		if !ok {
			reader.addProblem(key, "must be true or false, is %s", describeValue(value))
			return
		}
		target.SetBool(boolean)
	case reflect.Float64:
		number, ok := toFloat(value)
		if !ok {
			reader.addProblem(key, "must be a number, is %s", describeValue(value))
			return
		}
		target.SetFloat(number)
		reader.checkRange(key, field, number)
	default:
		number, ok := value.(int64)
		if !ok {
			reader.addProblem(key, "must be a whole number, is %s", describeValue(value))
			return
		}
		target.SetInt(number)
		reader.checkRange(key, field, float64(number))
	}
}

func toFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case float64:
		return number, true
	case int64:
		return float64(number), true
	}
	return 0, false
}

func (reader *reader) checkRange(key string, field reflect.StructField, number float64) {
	low, high := limitFromTag(field, "min", math.Inf(-1)), limitFromTag(field, "max", math.Inf(1))
	// This condition is also true for NaN.
	if !(number >= low && number <= high) {
		reader.addProblem(key, "must be from %s to %s, is %s", formatNumber(low), formatNumber(high), formatNumber(number))
	}
}

// limitFromTag returns the number in a tag of the field, or fallback if there is none.
func limitFromTag(field reflect.StructField, tag string, fallback float64) float64 {
	number, err := strconv.ParseFloat(field.Tag.Get(tag), 64)
	if err != nil {
		return fallback
	}
	return number
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}

func isOptional(field reflect.StructField) bool {
	return field.Tag.Get("optional") == "true"
}

// describeValue describes a TOML value for a problem's reason.
func describeValue(value any) string {
	switch value := value.(type) {
	case string:
		return fmt.Sprintf("the string %q", value)
	case int64, float64, bool:
		return fmt.Sprintf("%v", value)
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	default:
		return fmt.Sprintf("a %T", value)
	}
}
