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

// shortened returns the first minutes of a session, in which a data centre is taken out and
// returns.
func shortened(session Session) Session {
	session.Name += "-short"
	session.Length = 180 * clock.Second
	session.Settle = 300 * clock.Second
	session.Incidents = Incidents{
		Impossible: 20 * clock.Second, CentreOut: 60*clock.Second + 8, CentreBack: 120 * clock.Second, Race: 70 * clock.Second,
		RaceBack: 90 * clock.Second, Pause: 125 * clock.Second, Wake: 160 * clock.Second, Silent: 165 * clock.Second,
	}
	return session
}

// TestSessionsMatchGoldenFiles guards against decisions that change unnoticed and against
// violations of invariants in whole sessions with all incidents. Run with -update after an intended
// change.
func TestSessionsMatchGoldenFiles(t *testing.T) {
	for _, session := range []Session{shortened(ContestDay()), ContestDay(), CastingWeek()} {
		t.Run(session.Name, func(t *testing.T) {
			start := time.Now()
			result := Run(session, Policy{})
			t.Logf("%s of fake time took %s", session.Length+session.Settle, time.Since(start))
			for _, violation := range result.Violations {
				t.Errorf("seed %d: %s", session.Seed, violation)
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

// TestInvariantsHoldForOtherSeeds guards against violations of invariants that the seeds of the
// golden files do not bring about.
func TestInvariantsHoldForOtherSeeds(t *testing.T) {
	for _, session := range []Session{ContestDay(), CastingWeek()} {
		for offset := range uint64(*seeds) {
			session.Seed = *firstSeed + offset
			t.Run(fmt.Sprintf("%s/seed-%d", session.Name, session.Seed), func(t *testing.T) {
				t.Parallel()
				for _, violation := range Run(session, Policy{}).Violations {
					t.Errorf("seed %d: %s", session.Seed, violation)
				}
			})
		}
	}
}
