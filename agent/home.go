package agent

import (
	"math/rand/v2"

	"hyssopjunction/controlpb"
)

// failuresBeforeMove is how many announcements in a row to the accepted home may fail before the agent
// tries another entry. One failure can be a single lost message. Any other entry is left after the
// first failure: when several entries are lost at once, each further wait brings the lease closer to
// its end.
const failuresBeforeMove = 2

// maxRedirects is how many redirects in a row are followed at once. Entries that disagree about the
// home, or a leaving entry without a successor, would otherwise receive announcements without pause.
const maxRedirects = 2

// maxSkips is how many redirects in a row to an entry that did not answer are not followed. They come
// one a second from entries that do not know yet that it is dead, which takes 8 s. Following them, the
// agent would wait for answers of the dead entry until it stops its tasks.
const maxSkips = 10

// homeFinder chooses the entry that the agent announces itself to.
type homeFinder struct {
	bootstrap []string
	random    *rand.Rand
	entries   []*controlpb.EntryState
	current   string
	failures  int
	// home is the entry that accepted the last announcement.
	home string
	// redirects counts the announcements in a row that were not accepted.
	redirects int
	// silent holds the addresses that did not answer since the last accepted announcement, and counts
	// the redirects to them that were not followed.
	silent map[string]int
}

// next tells when the agent announces itself again.
type next int

const (
	// atHeartbeat waits for the next heartbeat, soon for announceRetry, and atOnce not at all.
	atHeartbeat next = iota
	soon
	atOnce
)

func newHomeFinder(bootstrap []string, random *rand.Rand) *homeFinder {
	return &homeFinder{bootstrap: bootstrap, random: random, silent: map[string]int{}}
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
	clear(finder.silent)
	finder.home = finder.current
	if len(entries) > 0 {
		finder.entries = entries
	}
}

// redirected makes home the next target, unless it did not answer lately, and returns when to announce
// there.
func (finder *homeFinder) redirected(home *controlpb.EntryState, entries []*controlpb.EntryState) next {
	finder.failures = 0
	if len(entries) > 0 {
		finder.entries = entries
	}
	if skips, silent := finder.silent[home.GetControlAddress()]; silent && skips < maxSkips {
		finder.silent[home.GetControlAddress()]++
		return soon
	}
	finder.redirects++
	former := finder.current
	if finder.current = home.GetControlAddress(); finder.current == "" {
		finder.current = finder.another(former)
	}
	if finder.current != former && finder.redirects <= maxRedirects {
		return atOnce
	}
	return atHeartbeat
}

// failed records an announcement without answer. It reports whether the target changed, and whether to
// announce there at once. If every known entry failed since the last acceptance, the agent pauses
// between attempts.
func (finder *homeFinder) failed() (moved, hurry bool) {
	finder.failures++
	_, before := finder.silent[finder.current]
	if finder.current == finder.home && !before && finder.failures < failuresBeforeMove {
		return false, false
	}
	finder.failures, finder.redirects = 0, 0
	finder.silent[finder.current] = 0
	finder.current = finder.another(finder.current)
	_, silent := finder.silent[finder.current]
	return true, !silent
}

// another returns a known entry other than avoid, or a bootstrap address, and one that answered lately
// if there is any.
func (finder *homeFinder) another(avoid string) string {
	var known []string
	for _, entry := range finder.entries {
		if !entry.Leaving {
			known = append(known, entry.ControlAddress)
		}
	}
	var addresses, answering []string
	for _, address := range append(known, finder.bootstrap...) {
		if address == avoid {
			continue
		}
		addresses = append(addresses, address)
		if _, silent := finder.silent[address]; !silent {
			answering = append(answering, address)
		}
	}
	if len(answering) > 0 {
		addresses = answering
	}
	if len(addresses) == 0 {
		return avoid
	}
	return addresses[finder.random.IntN(len(addresses))]
}
