package setting

import (
	"errors"
	"flag"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"hyssopjunction/clock"
)

var update = flag.Bool("update", false, "write docs/settings.md again")

// minimalEntry holds the required keys of an entry.
const minimalEntry = "[Identity]\nName = \"e1\"\nRegion = \"khomas\"\nDataCentre = \"khomas-1\"\n"

// TestDefaults guards against a default that changes unnoticed, or that a missing key does not get.
func TestDefaults(t *testing.T) {
	entry, err := Parse[Entry]("entry.toml", []byte(minimalEntry))
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, entry.Tasks.ReservationTermMillis, 2*clock.Second)
	assertEqual(t, entry.Tasks.LeaseTermMillis, 20*clock.Second)
	assertEqual(t, entry.Tasks.OutageGraceMillis, 3_700*clock.Second)
	assertEqual(t, entry.Requests.RetentionMillis, clock.Day)
	assertEqual(t, entry.Objects.TimeoutMillis, 5*clock.Second)
	assertEqual(t, entry.Table.ReadsPerSecond, 900.0)
	assertEqual(t, entry.Log.Level, "Info")
}

// TestTagsAreValid guards against a default that is malformed or out of its range, and against a key
// without a range or description or with an unknown kind.
func TestTagsAreValid(t *testing.T) {
	for _, section := range sections() {
		for index := range section.structType.NumField() {
			field := section.structType.Field(index)
			name := section.structType.Name() + "." + field.Name
			if field.Tag.Get("doc") == "" || typeText(field) == "" {
				t.Errorf("%s has no description or an unknown kind", name)
			}
			text, ok := field.Tag.Lookup("default")
			if !ok {
				continue
			}
			checker := &reader{file: name}
			switch field.Type.Kind() {
			case reflect.String:
				checker.checkString(name, field, text)
			case reflect.Bool:
				if text != "true" && text != "false" {
					t.Errorf("default of %s is %q", name, text)
				}
			default:
				number, err := strconv.ParseFloat(text, 64)
				if err != nil || field.Tag.Get("min") == "" || field.Tag.Get("max") == "" {
					t.Errorf("%s has no range or a default that is no number: %v", name, err)
				}
				checker.checkRange(name, field, number)
			}
			if len(checker.problems) > 0 {
				t.Errorf("default of %s: %v", name, checker.problems)
			}
		}
	}
}

// TestAllProblemsReported guards against a reader that stops at the first problem, so that an operator
// needs several attempts, and against reported contradictions that only follow from another problem.
func TestAllProblemsReported(t *testing.T) {
	_, err := Parse[Entry]("entry.toml", []byte(`
Colour = "red"
[Identity]
Name = "e 1"
Region = 7
[Listen]
Caller = "localhost:80"
Operator = "127.0.0.1:9"
Control = "127.0.0.1:9"
[Table]
TimeoutMillis = "fast"
WritesPerSecond = 900
timeoutmillis = 3
[Requests]
MinPatienceMillis = 6000
Slots = 5000
[Tasks]
HeartbeatMillis = 10000
RoundMillis = 0
[TLS]
KeyFile = "a.key"
[Log]
Level = "Loud"
`))
	assertProblems(t, err,
		"Colour: unknown key",
		"Identity.DataCentre: is required",
		"Identity.Name: must be 1 to 64 letters, digits, dots, dashes and underscores, starting with a letter or digit, is \"e 1\"",
		"Identity.Region: must be a string, is 7",
		"Listen.Caller: must be an IP address and a port, as in 127.0.0.1:7000, is \"localhost:80\"",
		"Listen.Operator: 127.0.0.1:9 is also the address of Listen.Control",
		"Log.Level: must be one of Debug, Info, Warn, Error, is \"Loud\"",
		"Requests.MinPatienceMillis: must not exceed Requests.DefaultPatienceMillis (5000), is 6000",
		"Requests.Slots: unknown key",
		"TLS.AuthorityFile: is required when another file of TLS is given",
		"TLS.CertificateFile: is required when another file of TLS is given",
		"Table.TimeoutMillis: must be a whole number, is the string \"fast\"",
		"Table.WritesPerSecond: must be from 0.1 to 500, is 900",
		"Table.timeoutmillis: unknown key",
		"Tasks.HeartbeatMillis: must be at most a third of Tasks.LeaseTermMillis (20000), is 10000",
		"Tasks.RoundMillis: must be from 10 to 10000, is 0",
	)
}

// TestStandInContradictions guards against contradictions between elements of arrays that are accepted.
func TestStandInContradictions(t *testing.T) {
	_, err := Parse[StandIn]("standin.toml", []byte(`
Workers = [{Name = "w1"}, {Name = "w1"}, 3]
Interference = 4
[[Endpoints]]
Name = "e1"
Service = "checks"
Listen = "127.0.0.1:7000"
Worker = "w9"
Slots = 65
`))
	assertProblems(t, err,
		"Endpoints[0].Slots: must not exceed Connections (64), is 65",
		"Endpoints[0].Worker: there is no worker \"w9\"",
		"Interference: must be an array, is 4",
		"Listen.Platform: 127.0.0.1:7000 is also the address of Endpoints[0].Listen",
		"Workers[1].Name: \"w1\" is used twice",
		"Workers[2]: must be a table, is 3",
	)
}

// TestAgentContradictions guards against an agent whose endpoint has a name but no address, and against
// an agent without entries.
func TestAgentContradictions(t *testing.T) {
	_, err := Parse[Agent]("agent.toml", []byte(minimalEntry+"[Worker]\nName = \"w1\"\n[Peers]\nEntries = []\n[Endpoint]\nName = \"e1\"\n"))
	assertProblems(t, err,
		"Endpoint.Service: is required when the worker has an endpoint",
		"Endpoint.URL: is required when the worker has an endpoint",
		"Peers.Entries: must name at least one entry",
	)
}

// TestUnreadableFileNamesPosition guards against a syntax error that is reported without the file's name
// and the position, and against a missing file that is reported without its name.
func TestUnreadableFileNamesPosition(t *testing.T) {
	_, err := Parse[Entry]("entry.toml", []byte("[Identity]\nName = \n"))
	if !IsErrBadSettings(err) || !strings.HasPrefix(err.Error(), "entry.toml: line 2 column") {
		t.Errorf("syntax fault is reported as %v", err)
	}
	_, err = Load[Entry]("testdata/missing.toml")
	if !IsErrBadSettings(err) || !strings.HasPrefix(err.Error(), "testdata/missing.toml: ") {
		t.Errorf("missing file is reported as %v", err)
	}
}

// TestSamplesMentionEveryKey guards against a sample file that does not load or leaves out a key.
func TestSamplesMentionEveryKey(t *testing.T) {
	checkSample[Entry](t, "../custom/entry.toml")
	checkSample[Agent](t, "../custom/agent.toml")
	checkSample[StandIn](t, "../custom/standin.toml")
}

func checkSample[Root Entry | Agent | StandIn](t *testing.T, file string) {
	t.Helper()
	if _, err := Load[Root](file); err != nil {
		t.Errorf("sample does not load: %v", err)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	sampleKeys := keysInSample(string(text))
	root := reflect.TypeFor[Root]()
	for index := range root.NumField() {
		section := root.Field(index)
		kind := section.Type
		if kind.Kind() == reflect.Slice {
			kind = kind.Elem()
		}
		for inner := range kind.NumField() {
			if key := section.Name + "." + kind.Field(inner).Name; !slices.Contains(sampleKeys, key) {
				t.Errorf("%s does not mention %s", file, key)
			}
		}
	}
}

// keysInSample returns the keys of a sample with their sections, including those that are commented out.
func keysInSample(text string) []string {
	var keys []string
	section := ""
	heading, assignment := regexp.MustCompile(`^\[+(\w+)\]+$`), regexp.MustCompile(`^(?:# )?(\w+) = \S`)
	for line := range strings.Lines(text) {
		if match := heading.FindStringSubmatch(strings.TrimSpace(line)); match != nil {
			section = match[1]
		}
		if match := assignment.FindStringSubmatch(line); match != nil {
			keys = append(keys, section+"."+match[1])
		}
	}
	return keys
}

// TestPage guards against a reference page that differs from the settings.
func TestPage(t *testing.T) {
	const file = "../docs/settings.md"
	if *update {
		if err := os.WriteFile(file, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	assertEqual(t, string(text), Page())
}

// FuzzParse guards against a text on which the reader panics, accepts an invalid file or refuses one
// without a reason.
func FuzzParse(f *testing.F) {
	f.Add(minimalEntry)
	f.Fuzz(func(t *testing.T, text string) {
		entry, err := Parse[Entry]("fuzz.toml", []byte(text))
		var badSettings ErrBadSettings
		switch {
		case err == nil:
			if entry.Identity.Name == "" || entry.Tasks.LeaseTermMillis < 3*entry.Tasks.HeartbeatMillis {
				t.Errorf("accepted %+v", entry)
			}
		case !errors.As(err, &badSettings) || len(badSettings.Problems) == 0:
			t.Errorf("error without problems: %v", err)
		}
		for _, problem := range badSettings.Problems {
			if problem.File != "fuzz.toml" || problem.Reason == "" {
				t.Errorf("problem without file or reason: %+v", problem)
			}
		}
		_, _ = Parse[StandIn]("fuzz.toml", []byte(text))
	})
}

func assertProblems(t *testing.T, err error, want ...string) {
	t.Helper()
	var badSettings ErrBadSettings
	if !errors.As(err, &badSettings) {
		t.Fatalf("error is %v", err)
	}
	var have []string
	for _, problem := range badSettings.Problems {
		have = append(have, problem.Key+": "+problem.Reason)
	}
	assertEqual(t, have, want)
}

func assertEqual[Value any](t *testing.T, have, want Value) {
	t.Helper()
	if difference := cmp.Diff(want, have); difference != "" {
		t.Errorf("differs (-want +have):\n%s", difference)
	}
}

// TestAgentRequestsSection guards against an agent that accepts keys of the entry without using them, or
// more slots than connections.
func TestAgentRequestsSection(t *testing.T) {
	_, err := Parse[Agent]("agent.toml", []byte(minimalEntry+`Rack = "r1"
[Peers]
Entries = ["127.0.0.1:7012"]
[Worker]
Name = "w1"
[Requests]
Slots = 5000
RetentionMillis = 5000
`))
	assertProblems(t, err,
		"Requests.RetentionMillis: unknown key",
		"Requests.Slots: must be from 1 to 1024, is 5000",
	)
	_, err = Parse[Agent]("agent.toml", []byte(minimalEntry+"[Peers]\nEntries = [\"127.0.0.1:7012\"]\n[Worker]\nName = \"w1\"\n[Requests]\nSlots = 65\n"))
	assertProblems(t, err, "Requests.Slots: must not exceed Requests.Connections (64), is 65")
}
