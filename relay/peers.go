package relay

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"

	"hyssopjunction/clock"
)

const (
	// skipTime is for how long an entry that did not reach the store is skipped, as long as for direct calls: entries are
	// rejected for seconds.
	skipTime = directRetryDelay
	// maxProbes is the number of entries that a call tries if all are skipped. It bounds the calls among entries while the
	// store is away for all of them.
	maxProbes = 2
)

// peers holds what is known of the other entries' access to the store. It is safe for concurrent use.
type peers struct {
	mu   sync.Mutex
	list []*peer
}

// peer is another entry.
type peer struct {
	address string
	// servedAt is when a call through the entry last reached the store, or 0.
	servedAt clock.Time
	// skipUntil is the time until which the entry is skipped, because the store rejected it too or it did not answer.
	skipUntil clock.Time
}

// newPeers returns the entries at the addresses except the own one. They are in an order that depends on the own address, so
// that entries that are rejected together do not all begin with the same one.
func newPeers(own string, addresses []string) *peers {
	peers := &peers{}
	for _, address := range addresses {
		if address != own {
			peers.list = append(peers.list, &peer{address: address})
		}
	}
	slices.SortFunc(peers.list, func(left, right *peer) int {
		return cmp.Or(cmp.Compare(hash(own, left.address), hash(own, right.address)), cmp.Compare(left.address, right.address))
	})
	return peers
}

func hash(own, other string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(own + " " + other)) // Never returns an error.
	return sum.Sum64()
}

// order returns the addresses in the order in which a call tries them: those that reached the store last come first. Skipped
// entries are left out unless all are; then up to maxProbes are returned, those that were tried longest ago first.
func (peers *peers) order(now clock.Time) []string {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	usable := slices.DeleteFunc(slices.Clone(peers.list), func(peer *peer) bool { return now.Before(peer.skipUntil) })
	if len(usable) > 0 {
		slices.SortStableFunc(usable, func(left, right *peer) int { return cmp.Compare(right.servedAt, left.servedAt) })
		return addressesOf(usable)
	}
	skipped := slices.Clone(peers.list)
	slices.SortStableFunc(skipped, func(left, right *peer) int { return cmp.Compare(left.skipUntil, right.skipUntil) })
	return addressesOf(skipped[:min(len(skipped), maxProbes)])
}

func addressesOf(list []*peer) []string {
	addresses := make([]string, len(list))
	for position, peer := range list {
		addresses[position] = peer.address
	}
	return addresses
}

// record records whether a call through the entry reached the store.
func (peers *peers) record(address string, served bool, now clock.Time) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	for _, peer := range peers.list {
		switch {
		case peer.address != address:
		case served:
			peer.servedAt, peer.skipUntil = now, 0
		default:
			peer.skipUntil = now.Add(skipTime)
		}
	}
}
