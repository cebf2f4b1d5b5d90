package recorded

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"
	"k8s.io/klog/v2"

	"hyssopjunction/clock"
)

var (
	seeds     = flag.Int("recorded.seeds", 2, "number of seeds of each whole session without a golden file")
	firstSeed = flag.Uint64("recorded.seed", 1, "first of these seeds")
)

func TestMain(main *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	goleak.VerifyTestMain(main)
}

// short is the first minutes of a session with a data centre that leaves and returns.
func short(session Session) Session {
	session.Name += "-short"
	session.Length = 180 * clock.Second
	session.Settle = 300 * clock.Second
	session.Incidents = Incidents{
		Impossible: 20 * clock.Second, CentreOut: 60*clock.Second + 8, CentreBack: 120 * clock.Second, Race: 70 * clock.Second,
		RaceBack: 90 * clock.Second, Pause: 125 * clock.Second, Wake: 160 * clock.Second, Silent: 165 * clock.Second,
	}
	return session
}

// TestSessions guards against decisions that change unnoticed and against every violation of an
// invariant in a whole session with all incidents. Run with -update after a wanted change.
func TestSessions(t *testing.T) {
	for _, session := range []Session{short(ContestDay()), ContestDay(), CastingWeek()} {
		t.Run(session.Name, func(t *testing.T) {
			began := time.Now()
			result := Run(session, Policy{})
			t.Logf("%s of fake time took %s", session.Length+session.Settle, time.Since(began))
			for _, fault := range result.Broken {
				t.Errorf("seed %d: %s", session.Seed, fault)
			}
			measures := result.Measures
			if measures.Open > 0 || measures.Failed > 0 {
				t.Errorf("seed %d: %d batch tasks have not ended and %d failed for good", session.Seed, measures.Open, measures.Failed)
			}
			if !strings.HasPrefix(measures.Parked, "Parked: ") || len(measures.Parked) < 12 {
				t.Errorf("seed %d: the job that can never run is %q, not parked with a reason", session.Seed, measures.Parked)
			}
			goldie.New(t).Assert(t, session.Name, []byte(result.Golden()))
		})
	}
}

// TestSeeds guards against violations of invariants that the two recorded seeds do not meet.
func TestSeeds(t *testing.T) {
	for _, session := range []Session{ContestDay(), CastingWeek()} {
		for offset := range uint64(*seeds) {
			session.Seed = *firstSeed + offset
			t.Run(fmt.Sprintf("%s/seed-%d", session.Name, session.Seed), func(t *testing.T) {
				t.Parallel()
				for _, fault := range Run(session, Policy{}).Broken {
					t.Errorf("seed %d: %s", session.Seed, fault)
				}
			})
		}
	}
}
