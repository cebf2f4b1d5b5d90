package agent

import (
	"math/rand/v2"

	"hyssopjunction/controlpb"
)

// failuresBeforeMove is how many announcements in a row may fail before the agent tries another
// entry. One failure can be a single lost message.
const failuresBeforeMove = 2

// maxRedirects is how many redirects in a row are followed at once. Entries that disagree about the
// home, or a leaving entry without a successor, would otherwise receive announcements without pause.
const maxRedirects = 2

// homeFinder chooses the entry that the agent announces itself to.
type homeFinder struct {
	bootstrap []string
	random    *rand.Rand
	entries   []*controlpb.EntryState
	current   string
	failures  int
	// redirects counts the announcements in a row that were not accepted.
	redirects int
}

func newHomeFinder(bootstrap []string, random *rand.Rand) *homeFinder {
	return &homeFinder{bootstrap: bootstrap, random: random}
}

// target returns the address to announce to next.
func (finder *homeFinder) target() string {
	if finder.current == "" {
		finder.current = finder.another("")
	}
	return finder.current
}

// accepted records that the current target is the home and which entries exist.
func (finder *homeFinder) accepted(entries []*controlpb.EntryState) {
	finder.failures, finder.redirects = 0, 0
	if len(entries) > 0 {
		finder.entries = entries
	}
}

// redirected makes home the next target and reports whether to announce there at once.
func (finder *homeFinder) redirected(home *controlpb.EntryState, entries []*controlpb.EntryState) bool {
	finder.failures = 0
	finder.redirects++
	if len(entries) > 0 {
		finder.entries = entries
	}
	former := finder.current
	if finder.current = home.GetControlAddress(); finder.current == "" {
		finder.current = finder.another(former)
	}
	return finder.current != former && finder.redirects <= maxRedirects
}

// failed records an announcement without answer and reports whether the target changed.
func (finder *homeFinder) failed() bool {
	finder.failures++
	if finder.failures < failuresBeforeMove {
		return false
	}
	finder.failures = 0
	finder.current = finder.another(finder.current)
	return true
}

// another returns a known entry other than avoid, or a bootstrap address.
func (finder *homeFinder) another(avoid string) string {
	addresses := make([]string, 0, len(finder.entries)+len(finder.bootstrap))
	for _, known := range finder.entries {
		if known.ControlAddress != avoid && !known.Leaving {
			addresses = append(addresses, known.ControlAddress)
		}
	}
	for _, address := range finder.bootstrap {
		if address != avoid {
			addresses = append(addresses, address)
		}
	}
	if len(addresses) == 0 {
		return avoid
	}
	return addresses[finder.random.IntN(len(addresses))]
}
