package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"

	"hyssopjunction/clock"
	"hyssopjunction/ident"
	"hyssopjunction/set"
	"hyssopjunction/unit"
)

// Ranges of the documents' fields.
const (
	maxPercent   = 100
	maxEvictions = 100_000
	// Slowdowns are in percent; 100 means no interference.
	minSlowdown         = 100
	maxSlowdown         = 1000
	maxDescriptionBytes = 200
	maxRetentionMillis  = 7 * clock.Day
	maxDrainMillis      = clock.Hour
	// A stream may stay open for a day.
	maxPatienceMillis = clock.Day
	maxCPU            = unit.MilliCPU(10_000_000)
	maxMemory         = unit.Mebibytes(100_000_000)
	maxAccelerators   = unit.Accelerators(100_000)
	// maxValueBytes keeps a change of several documents, which is stored twice in a history row,
	// well below the table's limit for one row.
	maxValueBytes = 16 << 10
)

// checker collects the faults of one document.
type checker struct {
	document Name
	faults   []Fault
	// unreadable is set if the document cannot be decoded into its type.
	unreadable bool
}

func (checker *checker) addFault(field, format string, arguments ...any) {
	checker.faults = append(checker.faults, Fault{
		Document: checker.document, Field: field, Reason: fmt.Sprintf(format, arguments...),
	})
}

// checkRange checks that a number is in a range.
func checkRange[Number ~int | ~int64](checker *checker, field string, value, low, high Number) {
	if value < low || value > high {
		checker.addFault(field, "is %d, not from %d to %d", value, low, high)
	}
}

// checkIdentifier checks that an identifier is valid, see ident.Valid.
func checkIdentifier[Identifier ~string](checker *checker, field string, identifier Identifier) {
	if !ident.Valid(identifier) {
		checker.addFault(field, "%q is no identifier", string(identifier))
	}
}

// decodeStrict decodes a document into target. Unlike encoding/json it compares keys exactly and reports
// unknown and repeated ones as faults. It returns false if target must not be used; with a field of the
// wrong type it returns true, so that the remaining fields are checked too.
func decodeStrict(checker *checker, raw json.RawMessage, target any) bool {
	if len(raw) > maxValueBytes {
		checker.addFault("", "has %d bytes, more than %d", len(raw), maxValueBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	err := decoder.Decode(target)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		checker.addFault(mismatch.Field, "is a %s, not a %s", mismatch.Value, mismatch.Type)
		checker.unreadable = true
		checkKeys(checker, raw, reflect.TypeOf(target).Elem(), "")
		return true
	}
	if err != nil {
		checker.addFault("", "is no JSON document: %v", err)
		checker.unreadable = true
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		checker.addFault("", "has data after its end")
		return false
	}
	checkKeys(checker, raw, reflect.TypeOf(target).Elem(), "")
	return true
}

// checkKeys adds a fault for each key without a field in valueType and for each repeated key, also in
// nested objects. Path is the path of the object within the document, empty for the document itself.
func checkKeys(checker *checker, raw json.RawMessage, valueType reflect.Type, path string) {
	if valueType.Kind() != reflect.Struct && valueType.Kind() != reflect.Map {
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		if path == "" {
			checker.addFault("", "is no JSON object")
		}
		return
	}
	seen := set.New[string]()
	for decoder.More() {
		token, err := decoder.Token()
		key, isKey := token.(string)
		var value json.RawMessage
		if err != nil || !isKey || decoder.Decode(&value) != nil {
			return
		}
		field := key
		if path != "" {
			field = path + "." + key
		}
		if !seen.Add(key) {
			checker.addFault(field, "is given twice")
		}
		if valueType.Kind() == reflect.Map {
			checkKeys(checker, value, valueType.Elem(), field)
			continue
		}
		structField, exists := valueType.FieldByName(key)
		if !exists {
			checker.addFault(field, "is no known field")
			continue
		}
		checkKeys(checker, value, structField.Type, field)
	}
}

func (weights Weights) check(checker *checker, field string) {
	checkRange(checker, field+".TailLatency", weights.TailLatency, 0, maxPercent)
	checkRange(checker, field+".Throughput", weights.Throughput, 0, maxPercent)
	checkRange(checker, field+".Evictions", weights.Evictions, 0, maxPercent)
	if weights == (Weights{}) {
		checker.addFault(field, "has no weight above 0")
	}
}

func (preset Preset) check(checker *checker) {
	for _, team := range set.SortedKeys(preset.Weights) {
		field := "Weights." + string(team)
		checkIdentifier(checker, field, team)
		preset.Weights[team].check(checker, field)
	}
	preset.Other.check(checker, "Other")
	checkRange(checker, "HeadroomPercent", preset.HeadroomPercent, 0, 90)
	checkRange(checker, "SlowdownLimitPercent", preset.SlowdownLimitPercent, minSlowdown, maxSlowdown)
	if len(preset.Description) > maxDescriptionBytes {
		checker.addFault("Description", "has %d bytes, more than %d", len(preset.Description), maxDescriptionBytes)
	}
	checkRange(checker, "EvictionsPerHour", preset.EvictionsPerHour, 0, maxEvictions)
}

func (dataCentre DataCentre) check(checker *checker) {
	checkIdentifier(checker, "Region", dataCentre.Region)
	checkRange(checker, "DrainMillis", dataCentre.DrainMillis, 0, maxDrainMillis)
	if dataCentre.Open && dataCentre.Lost {
		checker.addFault("Lost", "is set for an open data centre")
	}
}

func (team Team) check(checker *checker) {
	for _, region := range set.SortedKeys(team.Quotas) {
		field := "Quotas." + string(region)
		checkIdentifier(checker, field, region)
		quota := team.Quotas[region]
		checkRange(checker, field+".CPU", quota.CPU, 0, maxCPU)
		checkRange(checker, field+".Memory", quota.Memory, 0, maxMemory)
		checkRange(checker, field+".Accelerators", quota.Accelerators, 0, maxAccelerators)
	}
}

func (service Service) check(checker *checker) {
	checkIdentifier(checker, "Team", service.Team)
	checkRange(checker, "PatienceMillis", service.PatienceMillis, 1, maxPatienceMillis)
	if service.SlowdownLimitPercent != 0 {
		checkRange(checker, "SlowdownLimitPercent", service.SlowdownLimitPercent, minSlowdown, maxSlowdown)
	}
	checkRange(checker, "RetentionMillis", service.RetentionMillis, 0, maxRetentionMillis)
}
