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
	// Slowdowns are in percent, where 100 is undisturbed.
	minSlowdown         = 100
	maxSlowdown         = 1000
	maxDescriptionBytes = 200
	maxRetentionMillis  = 7 * clock.Day
	maxDrainMillis      = clock.Hour
	// A stream stays open for a day.
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

func (checker *checker) fault(field, format string, arguments ...any) {
	checker.faults = append(checker.faults, Fault{
		Document: checker.document, Field: field, Reason: fmt.Sprintf(format, arguments...),
	})
}

// within checks that a number is in a range.
func within[Number ~int | ~int64](checker *checker, field string, value, low, high Number) {
	if value < low || value > high {
		checker.fault(field, "is %d, not from %d to %d", value, low, high)
	}
}

// named checks that an identifier is well formed.
func named[Identifier ~string](checker *checker, field string, identifier Identifier) {
	if !ident.Valid(identifier) {
		checker.fault(field, "%q is no identifier", string(identifier))
	}
}

// decode reads a document strictly: keys are compared exactly and unknown ones are faults.
func decode(checker *checker, raw json.RawMessage, target any) bool {
	if len(raw) > maxValueBytes {
		checker.fault("", "has %d bytes, more than %d", len(raw), maxValueBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	err := decoder.Decode(target)
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		checker.fault(mismatch.Field, "is a %s, not a %s", mismatch.Value, mismatch.Type)
		checker.unreadable = true
		checkKeys(checker, raw, reflect.TypeOf(target).Elem(), "")
		return true
	}
	if err != nil {
		checker.fault("", "is no JSON document: %v", err)
		checker.unreadable = true
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		checker.fault("", "has data after its end")
		return false
	}
	checkKeys(checker, raw, reflect.TypeOf(target).Elem(), "")
	return true
}

// checkKeys adds a fault for each key that the type has no field for, and for repeated keys.
func checkKeys(checker *checker, raw json.RawMessage, kind reflect.Type, path string) {
	if kind.Kind() != reflect.Struct && kind.Kind() != reflect.Map {
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		if path == "" {
			checker.fault("", "is no JSON object")
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
			checker.fault(field, "is given twice")
		}
		if kind.Kind() == reflect.Map {
			checkKeys(checker, value, kind.Elem(), field)
			continue
		}
		member, known := kind.FieldByName(key)
		if !known {
			checker.fault(field, "is no known field")
			continue
		}
		checkKeys(checker, value, member.Type, field)
	}
}

func (weights Weights) check(checker *checker, field string) {
	within(checker, field+".TailLatency", weights.TailLatency, 0, maxPercent)
	within(checker, field+".Throughput", weights.Throughput, 0, maxPercent)
	within(checker, field+".Evictions", weights.Evictions, 0, maxPercent)
	if weights == (Weights{}) {
		checker.fault(field, "has no weight above 0")
	}
}

func (preset Preset) check(checker *checker) {
	for _, team := range set.SortedKeys(preset.Weights) {
		field := "Weights." + string(team)
		named(checker, field, team)
		preset.Weights[team].check(checker, field)
	}
	preset.Other.check(checker, "Other")
	within(checker, "HeadroomPercent", preset.HeadroomPercent, 0, 90)
	within(checker, "SlowdownLimitPercent", preset.SlowdownLimitPercent, minSlowdown, maxSlowdown)
	if len(preset.Description) > maxDescriptionBytes {
		checker.fault("Description", "has %d bytes, more than %d", len(preset.Description), maxDescriptionBytes)
	}
	within(checker, "EvictionsPerHour", preset.EvictionsPerHour, 0, maxEvictions)
}

func (dataCentre DataCentre) check(checker *checker) {
	named(checker, "Region", dataCentre.Region)
	within(checker, "DrainMillis", dataCentre.DrainMillis, 0, maxDrainMillis)
	if dataCentre.Open && dataCentre.Lost {
		checker.fault("Lost", "is set for an open data centre")
	}
}

func (team Team) check(checker *checker) {
	for _, region := range set.SortedKeys(team.Quotas) {
		field := "Quotas." + string(region)
		named(checker, field, region)
		quota := team.Quotas[region]
		within(checker, field+".CPU", quota.CPU, 0, maxCPU)
		within(checker, field+".Memory", quota.Memory, 0, maxMemory)
		within(checker, field+".Accelerators", quota.Accelerators, 0, maxAccelerators)
	}
}

func (service Service) check(checker *checker) {
	named(checker, "Team", service.Team)
	within(checker, "PatienceMillis", service.PatienceMillis, 1, maxPatienceMillis)
	if service.SlowdownLimitPercent != 0 {
		within(checker, "SlowdownLimitPercent", service.SlowdownLimitPercent, minSlowdown, maxSlowdown)
	}
	within(checker, "RetentionMillis", service.RetentionMillis, 0, maxRetentionMillis)
}
