package httpserver

import (
	"fmt"
	"strings"
	"testing"
)

// TestCheckJSON guards against texts that decode into much more than they are, and against a limit that a legal job meets.
func TestCheckJSON(t *testing.T) {
	var steps []string
	for step := range 64 {
		earlier := strings.Trim(strings.ReplaceAll(fmt.Sprint(make([]int, step)), " ", ","), "[]")
		steps = append(steps, `{"Count":1,"Cpu":2,"MemoryLimitMb":3,"Gpu":4,"EstimatedMs":5,"After":[`+earlier+
			`],"Checkpointing":true,"Gang":true,"RackLocal":true,"Requirements":"a","Affinity":"b","AntiAffinity":6,"Speculative":true,`+
			`"LongRunning":true,"Image":"c","TargetMs":7,"Fills":true,"MayMiss":8}`)
	}
	largest := `{"Spec":"` + strings.Repeat(`{[,\"`, 1000) + `","Steps":[` + strings.Join(steps, ",") + `]}`
	for _, test := range []struct {
		name, text string
		want       bool
	}{
		{"largest job", largest, false},
		{"empty", "", false},
		{"not closed", `{"Spec":"text`, false},
		{"escape at the end", `"\`, false},
		{"objects", "[" + strings.Repeat("{},", maxContainers), true},
		{"numbers", "[" + strings.Repeat("0,", maxValues), true},
		{"depth", strings.Repeat("[", maxDepth+1), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := checkJSON([]byte(test.text)); IsErrTooComplex(err) != test.want {
				t.Errorf("got %v, want an ErrTooComplex: %t", err, test.want)
			}
		})
	}
}
