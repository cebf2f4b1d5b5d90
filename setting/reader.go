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

// reader collects the problems of one file.
type reader struct {
	file     string
	problems []Problem
	// wrong are the keys with a problem; contradictions that involve them are not reported.
	wrong set.Set[string]
}

// add records a problem of a key.
func (reader *reader) add(key, format string, values ...any) {
	if reader.wrong == nil {
		reader.wrong = set.New[string]()
	}
	reader.wrong.Add(key)
	reader.problems = append(reader.problems, Problem{File: reader.file, Key: key, Reason: fmt.Sprintf(format, values...)})
}

// require reports a contradiction between the named keys unless one of them is wrong by itself.
func (reader *reader) require(holds bool, keys []string, format string, values ...any) {
	if holds || slices.ContainsFunc(keys, reader.wrong.Has) {
		return
	}
	reader.add(keys[0], format, values...)
}

// read fills root from text. It returns false if the text is not TOML, in which case nothing else
// can be checked.
//
// The strict decoder of go-toml stops at the first wrong type. To report all problems at once, the
// keys are checked one by one against the fields of root; the strict decoder has the last word on a
// file without problems.
func (reader *reader) read(text []byte, root any) bool {
	var values map[string]any
	if err := toml.Unmarshal(text, &values); err != nil {
		reader.addSyntax(err)
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
		reader.add("", "%v", err)
	}
	return true
}

func (reader *reader) addSyntax(err error) {
	var syntax *toml.DecodeError
	if errors.As(err, &syntax) {
		row, column := syntax.Position()
		reader.add("", "line %d column %d: %v", row, column, err)
		return
	}
	reader.add("", "%v", err)
}

// fillStruct sets the fields of target from the table and reports unknown keys.
func (reader *reader) fillStruct(path string, values map[string]any, target reflect.Value) {
	known := set.New[string]()
	for index := range target.NumField() {
		field := target.Type().Field(index)
		known.Add(field.Name)
		value, present := values[field.Name]
		reader.fillField(join(path, field.Name), field, value, present, target.Field(index))
	}
	for _, key := range set.SortedKeys(values) {
		if !known.Has(key) {
			reader.add(join(path, key), "unknown key")
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func (reader *reader) fillField(key string, field reflect.StructField, value any, present bool, target reflect.Value) {
	switch {
	case field.Type.Kind() == reflect.Struct:
		reader.fillSection(key, value, present, target)
	case field.Type.Kind() == reflect.Slice:
		reader.fillSlice(key, field, value, present, target)
	case present:
		reader.fillScalar(key, field, value, target)
	default:
		reader.fillDefault(key, field, target)
	}
}

func (reader *reader) fillSection(key string, value any, present bool, target reflect.Value) {
	values, ok := value.(map[string]any)
	if present && !ok {
		reader.add(key, "must be a table, is %s", describe(value))
		return
	}
	reader.fillStruct(key, values, target)
}

func (reader *reader) fillSlice(key string, field reflect.StructField, value any, present bool, target reflect.Value) {
	values, ok := value.([]any)
	if present && !ok {
		reader.add(key, "must be an array, is %s", describe(value))
		return
	}
	if !present && !isOptional(field) {
		reader.add(key, "is required")
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
			reader.add(key, "is required")
		}
		return
	}
	// Defaults are part of the program; TestDefaults checks that all of them can be read.
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
			reader.add(key, "must be a string, is %s", describe(value))
			return
		}
		target.SetString(text)
		reader.checkString(key, field, text)
	case reflect.Bool:
		truth, ok := value.(bool)
		if !ok {
			reader.add(key, "must be true or false, is %s", describe(value))
			return
		}
		target.SetBool(truth)
	case reflect.Float64:
		number, ok := asFloat(value)
		if !ok {
			reader.add(key, "must be a number, is %s", describe(value))
			return
		}
		target.SetFloat(number)
		reader.checkRange(key, field, number)
	default:
		number, ok := value.(int64)
		if !ok {
			reader.add(key, "must be a whole number, is %s", describe(value))
			return
		}
		target.SetInt(number)
		reader.checkRange(key, field, float64(number))
	}
}

func asFloat(value any) (float64, bool) {
	switch number := value.(type) {
	case float64:
		return number, true
	case int64:
		return float64(number), true
	}
	return 0, false
}

func (reader *reader) checkRange(key string, field reflect.StructField, number float64) {
	low, high := bound(field, "min", math.Inf(-1)), bound(field, "max", math.Inf(1))
	// The negated form also refuses a value that is not a number.
	if !(number >= low && number <= high) {
		reader.add(key, "must be from %s to %s, is %s", formatNumber(low), formatNumber(high), formatNumber(number))
	}
}

func bound(field reflect.StructField, tag string, missing float64) float64 {
	number, err := strconv.ParseFloat(field.Tag.Get(tag), 64)
	if err != nil {
		return missing
	}
	return number
}

func formatNumber(number float64) string {
	return strconv.FormatFloat(number, 'f', -1, 64)
}

func isOptional(field reflect.StructField) bool {
	return field.Tag.Get("optional") == "true"
}

func describe(value any) string {
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
