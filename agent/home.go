package agent

import (
	"math/rand/v2"

	"hyssopjunction/controlpb"
)

// failuresBeforeMove is the number of consecutive failed announcements to the accepted home before
// the agent tries another entry: a single failure can be one lost message. Other entries are left
// after one failure, because each further wait brings the lease closer to its end when several
// entries are lost at once.
const failuresBeforeMove = 2

// maxRedirects is the number of consecutive redirects that are followed without delay. Entries that
// disagree about the home, or a leaving entry without a successor, would otherwise cause an endless
// loop of announcements.
const maxRedirects = 2

// maxSkippedRedirects is the number of consecutive redirects to an unresponsive entry that are not
// followed. Entries that have not yet detected its death, which takes 8 s, send one redirect a
// second. Following them, the agent would wait for the dead entry until its tasks have to stop.
const maxSkippedRedirects = 10

// homeFinder chooses the entry that the agent announces itself to. Entries are identified by
// control address.
type homeFinder struct {
	bootstrap []string
	random    *rand.Rand
	entries   []*controlpb.EntryState
	current   string
	failures  int
	// home is the entry that accepted the last announcement.
	home string
	// redirects is the number of consecutive announcements that were not accepted.
	redirects int
	// unresponsive holds the addresses that did not answer since the last accepted announcement.
	// The value is the number of redirects to the address that were not followed.
	unresponsive map[string]int
}

// announceTiming is the time of the next announcement.
type announceTiming int

const (
	// nextHeartbeat waits for the next heartbeat.
	nextHeartbeat announceTiming = iota
	// afterDelay waits for announceRetryDelay.
	afterDelay
	immediately
)

func newHomeFinder(bootstrap []string, random *rand.Rand) *homeFinder {
	return &homeFinder{bootstrap: bootstrap, random: random, unresponsive: map[string]int{}}
}

// nextAddress returns the address for the next announcement.
func (finder *homeFinder) nextAddress() string {
	if finder.current == "" {
		finder.current = finder.chooseOther("")
	}
	return finder.current
}

// accepted records that the current entry is the home. A non-empty list replaces the stored one.
func (finder *homeFinder) accepted(entries []*controlpb.EntryState) {
	finder.failures, finder.redirects = 0, 0
	clear(finder.unresponsive)
	finder.home = finder.current
	if len(entries) > 0 {
		finder.entries = entries
	}
}

// redirected makes home the current entry, unless it is unresponsive, and returns when to send the
// next announcement.
func (finder *homeFinder) redirected(home *controlpb.EntryState, entries []*controlpb.EntryState) announceTiming {
	finder.failures = 0
	if len(entries) > 0 {
		finder.entries = entries
	}
	if skips, unresponsive := finder.unresponsive[home.GetControlAddress()]; unresponsive && skips < maxSkippedRedirects {
		finder.unresponsive[home.GetControlAddress()]++
		return afterDelay
	}
	finder.redirects++
	previous := finder.current
	if finder.current = home.GetControlAddress(); finder.current == "" {
		finder.current = finder.chooseOther(previous)
	}
	if finder.current != previous && finder.redirects <= maxRedirects {
		return immediately
	}
	return nextHeartbeat
}

// failed records an unanswered announcement. It reports whether another entry was chosen, and
// whether to announce to it without delay. The announcement is delayed if that entry is
// unresponsive too, because then no other listed entry has answered since the last accepted
// announcement.
func (finder *homeFinder) failed() (moved, retryNow bool) {
	finder.failures++
	_, repeated := finder.unresponsive[finder.current]
	if finder.current == finder.home && !repeated && finder.failures < failuresBeforeMove {
		return false, false
	}
	finder.failures, finder.redirects = 0, 0
	finder.unresponsive[finder.current] = 0
	finder.current = finder.chooseOther(finder.current)
	_, unresponsive := finder.unresponsive[finder.current]
	return true, !unresponsive
}

// chooseOther returns a random address other than excluded out of the listed entries that are not
// leaving and the bootstrap addresses. Addresses that are not unresponsive are preferred.
func (finder *homeFinder) chooseOther(excluded string) string {
	var active []string
	for _, entry := range finder.entries {
		if !entry.Leaving {
			active = append(active, entry.ControlAddress)
		}
	}
	var addresses, responsive []string
	for _, address := range append(active, finder.bootstrap...) {
		if address == excluded {
			continue
		}
		addresses = append(addresses, address)
		if _, unresponsive := finder.unresponsive[address]; !unresponsive {
			responsive = append(responsive, address)
		}
	}
	if len(responsive) > 0 {
		addresses = responsive
	}
	if len(addresses) == 0 {
		return excluded
	}
	return addresses[finder.random.IntN(len(addresses))]
}
